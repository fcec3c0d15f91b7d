//! The configuration in force, and how changes to it are accepted ([`configure`]).

pub mod configure;

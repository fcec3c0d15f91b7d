//! The configuration in force, and how a change of it is accepted ([`configure`]).

pub mod configure;

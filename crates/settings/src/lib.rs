//! Settings files of the daemon, in a crate of their own so that the operators' command can check them.

pub mod error;
pub mod gateway;
pub mod settings;

//! The settings file of the daemon, apart from it so that the operators' command can check one.

pub mod error;
pub mod gateway;
pub mod settings;

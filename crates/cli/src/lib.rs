//! Implementation of the operators' command, without the parsing of its arguments.

pub mod client;
pub mod command;
pub mod error;
pub mod log;
pub mod output;
pub mod patch;
pub mod streams;

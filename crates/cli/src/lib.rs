//! The operators' command, as a library: what it does, apart from how it is asked.

pub mod client;
pub mod command;
pub mod error;
pub mod log;
pub mod output;
pub mod patch;
pub mod streams;

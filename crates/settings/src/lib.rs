//! Settings files of the daemon, in a crate of their own so that the operators' command can check them.
//!
//! - [`settings`]: of a daemon that serves the endpoints declared by operators.
//! - [`gateway`]: of a daemon that serves by routes, which it reads from the platform's store with the replicas.
//! - [`memory`]: how the memory of the machine is divided.
//! - [`error`]: why a file cannot be used.

pub mod error;
pub mod gateway;
pub mod memory;
pub mod settings;

//! Errors that keep the daemon from starting, and the one place that prints them.

use std::{io, path::PathBuf};

use dahliaseam_wire::error::ReadError;
use quick_error::quick_error;

quick_error! {
    /// Why the daemon does not start.
    #[derive(Debug)]
    pub enum StartError {
        /// The settings file cannot be read.
        Open(path: PathBuf, e: io::Error) {
            display("cannot read {}: {}", path.display(), e)
        }
        /// The settings file is not what is expected.
        Settings(path: PathBuf, e: ReadError) {
            display("{}: {}", path.display(), e)
        }
        /// A setting has a value that cannot be used.
        Value(path: String, expected: String) {
            display("{}: expected {}", path, expected)
        }
        /// An address cannot be bound.
        Bind(what: &'static str, address: String, e: io::Error) {
            display("cannot listen at {} {}: {}", what, address, e)
        }
        /// The metrics or traces cannot be set up.
        Telemetry(why: String) {
            display("cannot set up telemetry: {}", why)
        }
    }
}

/// Print why the daemon does not start.
pub fn report(error: &StartError) {
    eprintln!("dahliaseamd: {error}");
}

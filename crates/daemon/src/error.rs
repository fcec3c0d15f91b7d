//! Errors that keep the daemon from starting, and the one place that prints them.

use std::io;

use dahliaseam_settings::error::SettingsError;
use quick_error::quick_error;

quick_error! {
    /// Why the daemon cannot start.
    #[derive(Debug)]
    pub enum StartError {
        /// The settings cannot be used.
        Settings(e: SettingsError) {
            from()
            display("{}", e)
        }
        /// An address cannot be bound.
        Bind(what: &'static str, address: String, e: io::Error) {
            display("cannot listen at {} {}: {}", what, address, e)
        }
        /// The signals cannot be handled.
        Signals(e: io::Error) {
            display("cannot handle signals: {}", e)
        }
        /// The metrics or traces cannot be set up.
        Telemetry(why: String) {
            display("cannot set up telemetry: {}", why)
        }
    }
}

/// Prints why the daemon cannot start.
pub fn report(error: &StartError) {
    eprintln!("dahliaseamd: {error}");
}

//! Errors of settings files.

use std::{io, path::PathBuf};

use dahliaseam_wire::error::ParseError;
use quick_error::quick_error;

quick_error! {
    /// Why a settings file cannot be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file cannot be read.
        Read(path: PathBuf, e: io::Error) {
            display("cannot read {}: {}", path.display(), e)
        }
        /// The content is not valid JSON, or a field is missing, unknown or of the wrong type.
        Parse(path: PathBuf, e: ParseError) {
            display("{}: {}", path.display(), e)
        }
        /// A field has an invalid value.
        Value(path: String, expected: String) {
            display("{}: expected {}", path, expected)
        }
    }
}

//! Why a settings file cannot be used.

use std::{io, path::PathBuf};

use dahliaseam_wire::error::ReadError;
use quick_error::quick_error;

quick_error! {
    /// Why a settings file cannot be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// It cannot be opened.
        Open(path: PathBuf, e: io::Error) {
            display("cannot read {}: {}", path.display(), e)
        }
        /// It is not what is expected.
        Read(path: PathBuf, e: ReadError) {
            display("{}: {}", path.display(), e)
        }
        /// A field has a value that cannot be used.
        Value(path: String, expected: String) {
            display("{}: expected {}", path, expected)
        }
    }
}

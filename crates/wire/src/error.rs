//! Errors of reading a message or a file.

use quick_error::quick_error;

quick_error! {
    /// Why a text could not be read.
    #[derive(Debug)]
    pub enum ReadError {
        /// The text is not what is expected at `path`.
        Invalid(path: String, expected: String) {
            display("{}: {}", path, expected)
        }
    }
}

/// Read JSON; the error names the field.
///
/// # Errors
/// The path of the first field that is wrong, and what was expected there.
pub fn from_json<T: serde::de::DeserializeOwned>(text: &[u8]) -> Result<T, ReadError> {
    let mut de = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut de)
        .map_err(|e| ReadError::Invalid(e.path().to_string(), e.inner().to_string()))?;
    de.end().map_err(|e| ReadError::Invalid(".".into(), e.to_string()))?;
    Ok(value)
}

/// Read a JSON value that is already parsed; the error names the field.
///
/// # Errors
/// The path of the first field that is wrong, and what was expected there.
pub fn from_value<T: serde::de::DeserializeOwned>(value: serde_json::Value) -> Result<T, ReadError> {
    serde_path_to_error::deserialize(value).map_err(|e| ReadError::Invalid(e.path().to_string(), e.inner().to_string()))
}

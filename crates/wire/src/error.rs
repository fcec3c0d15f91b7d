//! Parsing of JSON messages and files, with errors that name the invalid field.

use quick_error::quick_error;

quick_error! {
    /// Why a JSON text could not be parsed.
    #[derive(Debug)]
    pub enum ParseError {
        /// The value at `path` is not as expected.
        Invalid(path: String, expected: String) {
            display("{}: {}", path, expected)
        }
    }
}

/// Parses JSON.
///
/// # Errors
/// Returns the path of the first invalid field and what was expected there.
pub fn from_json<T: serde::de::DeserializeOwned>(text: &[u8]) -> Result<T, ParseError> {
    let mut de = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut de)
        .map_err(|e| ParseError::Invalid(e.path().to_string(), e.inner().to_string()))?;
    de.end().map_err(|e| ParseError::Invalid(".".into(), e.to_string()))?;
    Ok(value)
}

/// Converts a JSON value that is already parsed.
///
/// # Errors
/// Returns the path of the first invalid field and what was expected there.
pub fn from_value<T: serde::de::DeserializeOwned>(value: serde_json::Value) -> Result<T, ParseError> {
    serde_path_to_error::deserialize(value)
        .map_err(|e| ParseError::Invalid(e.path().to_string(), e.inner().to_string()))
}

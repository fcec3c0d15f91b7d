//! Assignments to fields of a specification, of the form `path=value`.

use serde_json::Value;

use crate::error::CommandError;

/// Sets the field at a dotted path, and creates missing objects on that path.
///
/// A value that is not JSON is set as a string.
///
/// # Errors
/// Returns an error if there is no `=`, or if the path leads through a value that is not an object.
pub fn set(spec: &mut Value, assignment: &str) -> Result<(), CommandError> {
    let (path, text) = assignment
        .split_once('=')
        .ok_or_else(|| CommandError::Usage(format!("{assignment:?}: expected PATH=VALUE")))?;
    let value = serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()));
    let mut at = spec;
    let mut parts = path.split('.').peekable();
    while let Some(part) = parts.next() {
        let Value::Object(fields) = at else {
            return Err(CommandError::Usage(format!("{path}: the parent of {part} is not an object")));
        };
        if parts.peek().is_none() {
            fields.insert(part.to_owned(), value);
            return Ok(());
        }
        at = fields.entry(part).or_insert_with(|| Value::Object(serde_json::Map::new()));
    }
    Ok(())
}

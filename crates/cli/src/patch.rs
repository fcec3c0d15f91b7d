//! Changes to a specification, given as `path=value`.

use serde_json::Value;

use crate::error::CommandError;

/// Set the field at a dotted path; the value is JSON, or else a string.
///
/// # Errors
/// When there is no `=`, or the path leads through something that is not an object.
pub fn set(spec: &mut Value, assignment: &str) -> Result<(), CommandError> {
    let (path, text) = assignment
        .split_once('=')
        .ok_or_else(|| CommandError::Usage(format!("{assignment:?}: expected PATH=VALUE")))?;
    let value = serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()));
    let mut at = spec;
    let mut parts = path.split('.').peekable();
    while let Some(part) = parts.next() {
        let Value::Object(fields) = at else {
            return Err(CommandError::Usage(format!("{path}: {part} is not in an object")));
        };
        if parts.peek().is_none() {
            fields.insert(part.to_owned(), value);
            return Ok(());
        }
        at = fields.entry(part).or_insert_with(|| Value::Object(serde_json::Map::new()));
    }
    Ok(())
}

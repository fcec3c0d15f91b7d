//! Search of daemons' logs for one request.

use std::{
    fs::File,
    io::{BufRead, BufReader, Read, stdin},
    path::Path,
};

use serde_json::{Map, Value};

use crate::error::CommandError;

/// Fields that are not printed as `name=value`: the time and the event start the line, the others are omitted.
const EXCLUDED_FIELDS: [&str; 5] = ["timestamp", "level", "code", "event", "request"];

/// Formats those log lines in `file`, or on standard input for `-`, that name `request`, in the order of the file.
///
/// # Errors
/// Returns an error if the file cannot be read or no line names the request.
pub fn explain(file: &Path, request: &str) -> Result<String, CommandError> {
    let mut text = String::new();
    for_each_line(file, |json| {
        if let Some(line) = format_line(json, request) {
            text.push_str(&line);
        }
    })?;
    if text.is_empty() {
        return Err(CommandError::Answer(format!("no log line in {} names request {request}", file.display())));
    }
    Ok(text)
}

/// Calls `f` with the JSON part of each log line in `file`, or on standard input for `-`.
///
/// The logs of several processes are often collected in one file, with a time and a name before the JSON of each line.
///
/// # Errors
/// Returns an error if the file cannot be read.
pub(crate) fn for_each_line(file: &Path, mut f: impl FnMut(&str)) -> Result<(), CommandError> {
    let read_error = |e| CommandError::Read(file.to_owned(), e);
    let input: Box<dyn Read> =
        if file == Path::new("-") { Box::new(stdin()) } else { Box::new(File::open(file).map_err(read_error)?) };
    for line in BufReader::new(input).lines() {
        let line = line.map_err(read_error)?;
        if let Some(start) = line.find('{') {
            f(&line[start..]);
        }
    }
    Ok(())
}

/// Formats a log line that names the request; `None` for other lines and for lines that are not JSON.
fn format_line(json: &str, request: &str) -> Option<String> {
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    if fields.get("request")?.as_str()? != request {
        return None;
    }
    let text_of = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or("").to_owned();
    let other_fields: Vec<String> = fields
        .iter()
        .filter(|(name, _)| !EXCLUDED_FIELDS.contains(&name.as_str()))
        .map(|(name, value)| format!("{name}={}", value.as_str().map_or_else(|| value.to_string(), str::to_owned)))
        .collect();
    Some(format!("{}  {:<16} {}\n", text_of("timestamp"), text_of("event"), other_fields.join(" ")))
}

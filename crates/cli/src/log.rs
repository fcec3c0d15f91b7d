//! What daemons' logs say of one request.

use std::{
    fs::File,
    io::{BufRead, BufReader, Read, stdin},
    path::Path,
};

use serde_json::{Map, Value};

use crate::error::CommandError;

/// Fields that stand before the others in a shown line.
const LEADING_FIELDS: [&str; 5] = ["timestamp", "level", "code", "event", "request"];

/// The lines of the logs in `file`, or of standard input for `-`, that name `request`, one after
/// the other as they stand there.
///
/// # Errors
/// The file cannot be read, or no line names the request.
pub fn explain(file: &Path, request: &str) -> Result<String, CommandError> {
    let mut text = String::new();
    for_each_line(file, |json| {
        if let Some(line) = format_line(json, request) {
            text.push_str(&line);
        }
    })?;
    if text.is_empty() {
        return Err(CommandError::Answer(format!("no line of {} names the request {request}", file.display())));
    }
    Ok(text)
}

/// Pass each line of the logs in `file`, or of standard input for `-`, to `f`, from where its JSON
/// begins: logs of several processes often stand in one file behind a name and a time.
///
/// # Errors
/// The file cannot be read.
pub(crate) fn for_each_line(file: &Path, mut f: impl FnMut(&str)) -> Result<(), CommandError> {
    let open = |e| CommandError::Open(file.to_owned(), e);
    let input: Box<dyn Read> =
        if file == Path::new("-") { Box::new(stdin()) } else { Box::new(File::open(file).map_err(open)?) };
    for line in BufReader::new(input).lines() {
        let line = line.map_err(open)?;
        if let Some(start) = line.find('{') {
            f(&line[start..]);
        }
    }
    Ok(())
}

/// A line that names the request, as it is shown. Other lines, and what is no JSON, are passed over.
fn format_line(json: &str, request: &str) -> Option<String> {
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    if fields.get("request")?.as_str()? != request {
        return None;
    }
    let text_of = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or("").to_owned();
    let other_fields: Vec<String> = fields
        .iter()
        .filter(|(name, _)| !LEADING_FIELDS.contains(&name.as_str()))
        .map(|(name, value)| format!("{name}={}", value.as_str().map_or_else(|| value.to_string(), str::to_owned)))
        .collect();
    Some(format!("{}  {:<16} {}\n", text_of("timestamp"), text_of("event"), other_fields.join(" ")))
}

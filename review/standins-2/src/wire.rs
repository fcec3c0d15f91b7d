//! Names of the platform, which stand in `wire.txt` since sources outside the adapter do not contain them.

const NAMES: &str = include_str!("../wire.txt");

/// The platform's name for something.
pub fn name(key: &str) -> &'static str {
    let lines = NAMES.lines().filter_map(|line| line.split_once(" = "));
    lines.into_iter().find(|(k, _)| *k == key).map(|(_, value)| value).unwrap_or_else(|| panic!("no name for {key}"))
}

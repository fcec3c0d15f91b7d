//! Errors of the command, their exit codes, and the function that prints them.

use std::{io, path::PathBuf};

use dahliaseam_border::error::CallError;
use dahliaseam_settings::error::SettingsError;
use dahliaseam_wire::{error::ParseError, operator::ApiError};
use quick_error::quick_error;

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CommandError {
        /// The daemon answered with an error.
        Api(e: Box<ApiError>) {
            display("{}: {}{}", e.code, e.message, details(e))
        }
        /// The call to the daemon failed.
        Call(e: CallError) {
            from()
            display("the daemon does not answer: {}", e)
        }
        /// A file cannot be read.
        Read(path: PathBuf, e: io::Error) {
            display("cannot read {}: {}", path.display(), e)
        }
        /// The content of a file is not valid JSON, or a field is missing, unknown or of the wrong type.
        Parse(path: PathBuf, e: ParseError) {
            display("{}: {}", path.display(), e)
        }
        /// A settings file is not valid.
        Settings(e: SettingsError) {
            from()
            display("{}", e)
        }
        /// The resources in a file are not valid.
        Invalid(path: PathBuf, problems: Vec<dahliaseam_wire::validate::Problem>) {
            display("{}: not valid{}", path.display(), problem_lines(problems))
        }
        /// The daemon's answer cannot be parsed, or the logs do not contain what was searched for.
        Answer(why: String) {
            display("no usable result: {}", why)
        }
        /// The arguments are not valid.
        Usage(why: String) {
            display("{}", why)
        }
        /// The expected state was not reached in time.
        TimedOut(what: String) {
            display("timed out: {}", what)
        }
    }
}

/// Exit code: the daemon refused the call, or a file is not valid.
pub const REFUSED: u8 = 1;
/// Exit code: the arguments are not valid, or a file cannot be read.
pub const USAGE: u8 = 2;
/// Exit code: there is no usable answer. A change had no effect, or that is unknown; the command can be repeated.
pub const UNAVAILABLE: u8 = 3;
/// Exit code: the expected state was not reached in time.
pub const TIMED_OUT: u8 = 4;

impl CommandError {
    /// Exit code of the command.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Api(e) if matches!(e.code.as_str(), "unavailable" | "unknown") => UNAVAILABLE,
            Self::Api(_) | Self::Parse(..) | Self::Settings(_) | Self::Invalid(..) => REFUSED,
            Self::Call(_) | Self::Answer(_) => UNAVAILABLE,
            Self::Read(..) | Self::Usage(_) => USAGE,
            Self::TimedOut(_) => TIMED_OUT,
        }
    }
}

/// Prints why a command failed, to standard error.
pub fn print_error(error: &CommandError) {
    eprintln!("dahliaseam: {error}");
}

fn details(e: &ApiError) -> String {
    let version = e.present_version.map(|v| format!(" (present version {v})")).unwrap_or_default();
    version + &problem_lines(&e.problems)
}

fn problem_lines(problems: &[dahliaseam_wire::validate::Problem]) -> String {
    let lines = problems.iter().map(|p| format!("\n  {}: expected {}", p.path, p.expected));
    lines.collect::<Vec<_>>().concat()
}

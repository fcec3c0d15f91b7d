//! Errors of the command, their exit codes, and the one place that prints them.

use std::{io, path::PathBuf};

use dahliaseam_border::error::CallError;
use dahliaseam_settings::error::SettingsError;
use dahliaseam_wire::{error::ReadError, operator::ApiError};
use quick_error::quick_error;

quick_error! {
    /// Why a command did not do what was asked.
    #[derive(Debug)]
    pub enum CommandError {
        /// The daemon refused it.
        Api(e: Box<ApiError>) {
            display("{}: {}{}", e.code, e.message, details(e))
        }
        /// The daemon did not answer.
        Call(e: CallError) {
            from()
            display("the daemon does not answer: {}", e)
        }
        /// A file cannot be read.
        Open(path: PathBuf, e: io::Error) {
            display("cannot read {}: {}", path.display(), e)
        }
        /// A file is not what is expected.
        Read(path: PathBuf, e: ReadError) {
            display("{}: {}", path.display(), e)
        }
        /// A settings file is not what is expected.
        Settings(e: SettingsError) {
            from()
            display("{}", e)
        }
        /// A resource file would not be valid.
        Invalid(path: PathBuf, problems: Vec<dahliaseam_wire::validate::Problem>) {
            display("{}: not valid{}", path.display(), problem_lines(problems))
        }
        /// The answer cannot be understood.
        Answer(why: String) {
            display("the daemon's answer cannot be read: {}", why)
        }
        /// The words of the command are off.
        Usage(why: String) {
            display("{}", why)
        }
        /// It did not come about in time.
        TimedOut(what: String) {
            display("not in time: {}", what)
        }
    }
}

/// Exit code: the daemon refused, or a file is not valid.
pub const REFUSED: u8 = 1;
/// Exit code: the command's words are off.
pub const USAGE: u8 = 2;
/// Exit code: nothing took effect, or that is not known; try again.
pub const UNAVAILABLE: u8 = 3;
/// Exit code: it did not come about in time.
pub const TIMED_OUT: u8 = 4;

impl CommandError {
    /// The exit code.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Api(e) if matches!(e.code.as_str(), "unavailable" | "unknown") => UNAVAILABLE,
            Self::Api(_) | Self::Read(..) | Self::Settings(_) | Self::Invalid(..) => REFUSED,
            Self::Call(_) | Self::Answer(_) => UNAVAILABLE,
            Self::Open(..) | Self::Usage(_) => USAGE,
            Self::TimedOut(_) => TIMED_OUT,
        }
    }
}

/// Print why a command failed.
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

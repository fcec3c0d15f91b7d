//! What finally became of a request, and of one attempt at it.

use serde::{Deserialize, Serialize};

/// The final outcome of a request, as the caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer was delivered.
    Whole,
    /// No endpoint ran any part of it.
    NotRun,
    /// An endpoint ran it, wholly or in part, and the answer is not whole.
    Ran,
    /// Whether an endpoint ran it cannot be known.
    Unknown,
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// The answer was whole.
    Whole,
    /// The connection was never made, so no byte was written.
    NotSent,
    /// The endpoint refused it and vouched that it did not run.
    Refused,
    /// The endpoint answered with an error of the request's own.
    Rejected,
    /// Bytes were written and the rest is not known.
    Lost,
    /// The stream broke, or left a gap, after the endpoint began to answer.
    Broken,
    /// The endpoint was silent for too long.
    Stalled,
    /// The caller went away, or the attempt was moved elsewhere on purpose.
    Cancelled,
}

impl AttemptEnd {
    /// Whether it is certain that the endpoint ran nothing.
    #[must_use]
    pub const fn is_certainly_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Refused)
    }

    /// Whether this speaks against the endpoint's health.
    #[must_use]
    pub const fn is_fault(self) -> bool {
        matches!(self, Self::NotSent | Self::Lost | Self::Broken | Self::Stalled)
    }

    /// What the request's outcome would be if no further attempt were made.
    #[must_use]
    pub const fn outcome(self) -> Outcome {
        match self {
            Self::Whole => Outcome::Whole,
            Self::NotSent | Self::Refused => Outcome::NotRun,
            Self::Rejected | Self::Broken => Outcome::Ran,
            Self::Lost | Self::Stalled | Self::Cancelled => Outcome::Unknown,
        }
    }
}

/// The outcome of a request whose attempts ended so, in order.
#[must_use]
pub fn combined_outcome(ends: &[AttemptEnd]) -> Outcome {
    if ends.contains(&AttemptEnd::Whole) {
        return Outcome::Whole;
    }
    if ends.iter().all(|end| end.is_certainly_not_run()) {
        return Outcome::NotRun;
    }
    if ends.iter().any(|end| end.outcome() == Outcome::Ran) {
        return Outcome::Ran;
    }
    Outcome::Unknown
}

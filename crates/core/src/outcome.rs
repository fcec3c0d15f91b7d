//! Outcomes of requests and of their attempts.

use serde::{Deserialize, Serialize};

/// Final outcome of a request, as reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer was delivered.
    Whole,
    /// No endpoint ran any part of the request.
    NotRun,
    /// An endpoint ran at least a part of the request, and the answer is incomplete.
    Ran,
    /// It is unknown whether an endpoint ran the request.
    Unknown,
}

/// How an attempt ended. The variants' names, in snake case, are also those in records and metric labels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptEnd {
    /// The answer was complete.
    Whole,
    /// No connection was made, so nothing was sent.
    NotSent,
    /// The endpoint rejected the request and stated that it did not run it.
    Refused,
    /// The endpoint responded with an error about the request itself. Unlike with [`Self::Refused`], the request
    /// counts as run.
    Rejected,
    /// Bytes were sent; nothing else is known.
    Lost,
    /// The stream broke or had a gap after the endpoint had begun to answer.
    Broken,
    /// The endpoint was silent for too long.
    Stalled,
    /// The caller left, or the attempt was stopped to be moved elsewhere.
    Cancelled,
}

impl AttemptEnd {
    /// Whether the endpoint certainly ran nothing.
    #[must_use]
    pub const fn is_certainly_not_run(self) -> bool {
        matches!(self, Self::NotSent | Self::Refused)
    }

    /// Whether this counts as a fault of the endpoint.
    #[must_use]
    pub const fn is_fault(self) -> bool {
        matches!(self, Self::NotSent | Self::Lost | Self::Broken | Self::Stalled)
    }

    /// Outcome of the request if no other attempt is made.
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

/// Outcome of a request whose attempts ended in these ways.
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

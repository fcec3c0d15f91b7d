//! Why a request has no whole answer, as its caller is told.

use dahliaseam_core::{claim::Duplicate, dispatch::Refusal, outcome::Outcome};

/// Why a request has no whole answer.
#[derive(Clone, Debug)]
pub struct Failure {
    /// What became of it.
    pub outcome: Outcome,
    /// A stable word.
    pub reason: &'static str,
    /// A sentence.
    pub message: String,
    /// Milliseconds after which to come back.
    pub retry_after_ms: Option<u64>,
    /// The status of a rejection, in place of the outcome's own.
    pub status: Option<u16>,
}

/// Milliseconds after which a caller may ask again when nothing better is known.
const DEFAULT_RETRY_MS: u64 = 1_000;

impl Failure {
    /// A failure with the usual time to come back.
    #[must_use]
    pub fn new(outcome: Outcome, reason: &'static str, message: impl Into<String>) -> Self {
        Self { outcome, reason, message: message.into(), retry_after_ms: Some(DEFAULT_RETRY_MS), status: None }
    }

    /// The request itself is wrong; asking again does not help.
    #[must_use]
    pub fn bad_request(status: u16, reason: &'static str, message: impl Into<String>) -> Self {
        Self { retry_after_ms: None, status: Some(status), ..Self::new(Outcome::NotRun, reason, message) }
    }

    pub(super) fn refused(outcome: Outcome, reason: Refusal, retry_after_ms: u64) -> Self {
        let (word, message) = match reason {
            Refusal::TeamLimit => ("team_limit", "the team has used its rate"),
            Refusal::QueueFull => ("queue_full", "too many requests wait for this pool"),
            Refusal::TooLate => ("too_late", "it could not be answered in time"),
            Refusal::NoEndpoint => ("no_endpoint", "the pool has no endpoint"),
        };
        Self { retry_after_ms: Some(retry_after_ms), ..Self::new(outcome, word, message) }
    }

    pub(super) fn ended(outcome: Outcome, detail: &str) -> Self {
        let message = match outcome {
            Outcome::Whole => "the answer was whole",
            Outcome::NotRun => "no endpoint ran it",
            Outcome::Ran => "an endpoint ran it, and the answer is not whole",
            Outcome::Unknown => "whether an endpoint ran it cannot be known",
        };
        Self::new(outcome, "endpoint_failed", format!("{message}{}{detail}", if detail.is_empty() { "" } else { ": " }))
    }

    /// What a second request with the same key is told, when nothing is recorded.
    pub(super) fn duplicate(duplicate: &Duplicate) -> Self {
        match duplicate {
            Duplicate::InProgress => Self {
                status: Some(409),
                ..Self::new(Outcome::Unknown, "in_progress", "the request with this key is still running")
            },
            Duplicate::Mismatch => Self::bad_request(422, "key_reused", "this key belongs to another request"),
            Duplicate::Unknown | Duplicate::Recorded(_) => Self {
                status: Some(409),
                retry_after_ms: None,
                ..Self::new(Outcome::Unknown, "key_used", "the request with this key ended without a known outcome")
            },
        }
    }
}

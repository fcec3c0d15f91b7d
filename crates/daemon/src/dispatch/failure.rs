//! Why a request has no complete answer, as reported to its caller.

use dahliaseam_core::{claim::Duplicate, dispatch::Refusal, outcome::Outcome};

/// Why a request has no complete answer.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Machine-readable reason, which does not change between versions.
    pub reason: &'static str,
    /// Explanation in a sentence.
    pub message: String,
    /// Time after which the caller may retry, in milliseconds; none if retrying does not help.
    pub retry_after_ms: Option<u64>,
    /// HTTP status to use instead of the outcome's default.
    pub status: Option<u16>,
}

/// Default time after which a caller may retry, in milliseconds.
const DEFAULT_RETRY_MS: u64 = 1_000;

impl Failure {
    /// Creates a failure with the default retry time.
    #[must_use]
    pub fn new(outcome: Outcome, reason: &'static str, message: impl Into<String>) -> Self {
        Self { outcome, reason, message: message.into(), retry_after_ms: Some(DEFAULT_RETRY_MS), status: None }
    }

    /// Creates the failure of an invalid request; retrying does not help.
    #[must_use]
    pub fn bad_request(status: u16, reason: &'static str, message: impl Into<String>) -> Self {
        Self { retry_after_ms: None, status: Some(status), ..Self::new(Outcome::NotRun, reason, message) }
    }

    pub(super) fn refused(outcome: Outcome, reason: Refusal, retry_after_ms: u64) -> Self {
        let (name, message) = match reason {
            Refusal::TeamLimit => ("team_limit", "the team has used its rate"),
            Refusal::QueueFull => ("queue_full", "too many requests wait for this pool"),
            Refusal::TooLate => ("too_late", "it could not be answered in time"),
            Refusal::NoEndpoint => ("no_endpoint", "the pool has no endpoint"),
        };
        Self { retry_after_ms: Some(retry_after_ms), ..Self::new(outcome, name, message) }
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

    /// The failure reported to a duplicate of a request whose key has no recorded result.
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

//! What callers send beside the usual protocols, and what a refusal looks like.

use dahliaseam_core::outcome::Outcome;
use serde::{Deserialize, Serialize};

/// Header that names the request's kind; without it the listener's default kind applies.
pub const KIND: &str = "x-dahliaseam-kind";
/// Header with the milliseconds within which the answer is useful.
pub const DEADLINE: &str = "x-dahliaseam-deadline-ms";
/// Header that names the team.
pub const TEAM: &str = "x-dahliaseam-team";
/// Header with the key under which a request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header of each answer with the request's identifier, for `dahliaseam explain`.
pub const REQUEST: &str = "x-dahliaseam-request";
/// Header of each answer with the outcome; a trailing event in a stream.
pub const OUTCOME: &str = "x-dahliaseam-outcome";

/// The body of an answer that is not whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong, for a program and for a person.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// What became of the request: `not_run`, `ran` or `unknown`.
    pub outcome: Outcome,
    /// A stable word for the reason.
    pub reason: String,
    /// A sentence.
    pub message: String,
    /// The request's identifier.
    pub request: String,
    /// Milliseconds after which it is worth asking again.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

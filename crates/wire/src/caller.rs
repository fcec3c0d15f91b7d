//! Headers that extend the callers' protocols, and the body of error responses.

use dahliaseam_core::outcome::Outcome;
use serde::{Deserialize, Serialize};

/// Header with the name of the request's kind; without it, the daemon's default kind applies.
pub const KIND: &str = "x-dahliaseam-kind";
/// Header with the number of milliseconds within which the answer is useful.
pub const DEADLINE: &str = "x-dahliaseam-deadline-ms";
/// Header with the name of the caller's team.
pub const TEAM: &str = "x-dahliaseam-team";
/// Header with the idempotency key, under which a request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header of each response with the request's identifier, for `dahliaseam explain`.
pub const REQUEST: &str = "x-dahliaseam-request";
/// Header of each response with the outcome of the request. In a stream, its last event reports the outcome instead.
pub const OUTCOME: &str = "x-dahliaseam-outcome";

/// Body of the response to a request that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Details of the error.
    pub error: ErrorDetail,
}

/// Description of a failure, for programs and for people.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Outcome of the request: `not_run`, `ran` or `unknown`.
    pub outcome: Outcome,
    /// Stable identifier of the reason.
    pub reason: String,
    /// Explanation in plain words.
    pub message: String,
    /// Identifier of the request.
    pub request: String,
    /// Milliseconds after which a retry is worthwhile.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

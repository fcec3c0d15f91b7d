//! At-most-once execution by idempotency key.
//!
//! Before a request that must not be repeated is sent, its key is claimed by a compare-and-swap that creates a
//! record. A later request that finds a record does not run: it gets the recorded result, or an error if the
//! result is not known.

use serde::{Deserialize, Serialize};

use crate::{member::Incarnation, outcome::Outcome};

/// The record of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Identifier of the request that holds the claim.
    pub request: String,
    /// Process that created the claim.
    pub owner: Incarnation,
    /// Hash of the request's content, to detect a key that is reused for another request.
    pub content: u64,
    /// Result of the request, once it is known.
    pub result: Option<RecordedResult>,
}

/// A recorded result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResult {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// HTTP status of the response.
    pub status: u16,
    /// Media type of the response.
    pub content_type: String,
    /// Body of the response; `None` if it was too large to record.
    pub body: Option<String>,
}

/// What a second request with the same key gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Duplicate {
    /// The recorded result.
    Recorded(RecordedResult),
    /// The first request is still running at its owner; the caller may ask again later.
    InProgress,
    /// The owner terminated without recording a result.
    Unknown,
    /// The key belongs to a request with different content.
    Mismatch,
}

/// Decides what a request with the hash `content` gets when its key is already claimed.
///
/// `owner_terminated` tells whether the claim's owner has certainly terminated.
#[must_use]
pub fn check_duplicate(claim: &Claim, content: u64, owner_terminated: bool) -> Duplicate {
    if claim.content != content {
        return Duplicate::Mismatch;
    }
    match &claim.result {
        Some(recorded) => Duplicate::Recorded(recorded.clone()),
        None if owner_terminated => Duplicate::Unknown,
        None => Duplicate::InProgress,
    }
}

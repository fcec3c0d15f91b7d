//! At most one run of a request that may not be repeated.
//!
//! Before such a request is sent, its key is claimed by a compare-and-swap that creates the
//! record. Whoever finds a record there does not run the request again: it tells what is
//! recorded, or that the outcome is not known.

use serde::{Deserialize, Serialize};

use crate::{member::Incarnation, outcome::Outcome};

/// The record under an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request that holds the claim.
    pub request: String,
    /// The process that took it.
    pub owner: Incarnation,
    /// Hash of the request's content, so that a key is not used for two different ones.
    pub content: u64,
    /// What became of it, once that is known.
    pub result: Option<RecordedResult>,
}

/// A recorded result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResult {
    /// The outcome.
    pub outcome: Outcome,
    /// HTTP status of the answer.
    pub status: u16,
    /// Media type of the answer.
    pub content_type: String,
    /// The answer, or nothing when it was too large to record.
    pub body: Option<String>,
}

/// What a second request with the same key gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Duplicate {
    /// The recorded result.
    Recorded(RecordedResult),
    /// It is still running at its owner; come back.
    InProgress,
    /// Its owner is over and recorded nothing.
    Unknown,
    /// The key belongs to a request with another content.
    Mismatch,
}

/// What a request with `content` is told when `claim` is already there.
///
/// `owner_over` says whether the claim's owner is known to be over.
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

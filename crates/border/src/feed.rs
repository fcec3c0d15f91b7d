//! Ordered changes of a key-value service, for clients that keep a local copy of many keys.

use std::fmt::Debug;

use async_trait::async_trait;
use dahliaseam_core::time::Span;

use crate::{error::CallError, kv::Entry};

/// All entries whose keys begin with a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The entries.
    pub entries: Vec<Entry>,
    /// Items that the service returned beside them and that cannot be decoded.
    pub unreadable: Vec<UnreadableItem>,
    /// Revision after which to read the changes, so that none is missed. Some entries may be newer.
    pub revision: i64,
    /// Revision of the newest part of the read.
    pub newest: i64,
    /// Number of pages that were read; zero for entries from a peer.
    pub pages: usize,
}

/// A read that failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadFailure {
    /// Why it failed.
    pub why: CallError,
    /// What had been read by then.
    pub so_far: Snapshot,
}

impl From<Box<ReadFailure>> for CallError {
    fn from(failure: Box<ReadFailure>) -> Self {
        failure.why
    }
}

/// An item of the service that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableItem {
    /// Its key, if that can be decoded.
    pub key: Option<String>,
    /// Why it cannot be decoded.
    pub why: String,
}

/// One change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was created or changed to this entry.
    Put(Entry),
    /// The key was removed.
    Removed {
        /// The key.
        key: String,
        /// Revision at which it was removed.
        revision: i64,
    },
}

/// Result of a wait for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// The changes since the given revision.
    Next {
        /// The changes in the order in which they happened; empty if the wait ended before any.
        changes: Vec<Change>,
        /// Items among them that cannot be decoded.
        unreadable: Vec<UnreadableItem>,
        /// Revision from which to continue.
        revision: i64,
    },
    /// The service no longer has the changes since the given revision; a new snapshot is required.
    HistoryGone,
}

/// Interface to a key-value service whose changes can be read in order.
#[async_trait]
pub trait ChangeFeed: Debug + Send + Sync {
    /// The highest era that the service has stated: it rises each time that the service comes back from an older copy
    /// of itself. Zero if it has stated none.
    fn era(&self) -> i64;

    /// Reads all keys that begin with `prefix`.
    ///
    /// With `allow_stale`, the read costs less, but its result may be some seconds old, so the changes after its
    /// revision must be read too. Otherwise the result is no older than the call.
    ///
    /// # Errors
    /// Returns an error, with what had been read by then, if no valid answer arrives to one of its calls.
    async fn snapshot(&self, prefix: &str, allow_stale: bool) -> Result<Snapshot, Box<ReadFailure>>;

    /// Makes the cheapest call that shows whether the service answers.
    ///
    /// # Errors
    /// Returns an error if no valid answer arrives.
    async fn probe(&self) -> Result<(), CallError>;

    /// Waits up to `wait` for changes after `revision` to keys that begin with `prefix`.
    ///
    /// # Errors
    /// Returns an error if no valid answer arrives.
    async fn changes(&self, prefix: &str, revision: i64, wait: Span) -> Result<Changes, CallError>;
}

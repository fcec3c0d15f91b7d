//! Ordered changes of a key-value service's keys, for those that keep a copy of many.

use std::fmt::Debug;

use async_trait::async_trait;
use dahliaseam_core::time::Span;

use crate::{error::CallError, kv::Entry};

/// All keys below a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The entries.
    pub entries: Vec<Entry>,
    /// A revision from which on following the changes misses none.
    pub revision: i64,
}

/// One change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key has this entry.
    Put(Entry),
    /// The key is gone.
    Removed {
        /// The key.
        key: String,
        /// The revision at which it went.
        revision: i64,
    },
}

/// What a wait for changes brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changes {
    /// The changes, none when the wait ended first.
    Next {
        /// In the order in which they happened.
        changes: Vec<Change>,
        /// The revision to go on from.
        revision: i64,
    },
    /// The service no longer has the changes since then; a new snapshot is needed.
    HistoryGone,
}

/// A key-value service whose changes can be followed.
#[async_trait]
pub trait ChangeFeed: Debug + Send + Sync {
    /// Read all keys that begin with `prefix`, no older than this call unless it `allow_stale`: such
    /// a read costs less and may be some seconds behind, so that the changes since must be followed.
    ///
    /// # Errors
    /// Why there is no answer.
    async fn snapshot(&self, prefix: &str, allow_stale: bool) -> Result<Snapshot, CallError>;

    /// Ask at the lowest cost whether the service answers at all.
    ///
    /// # Errors
    /// Why there is no answer.
    async fn probe(&self) -> Result<(), CallError>;

    /// Wait up to `wait` for changes after `revision` of keys that begin with `prefix`.
    ///
    /// # Errors
    /// Why there is no answer.
    async fn changes(&self, prefix: &str, revision: i64, wait: Span) -> Result<Changes, CallError>;
}

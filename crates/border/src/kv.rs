//! Interface to the key-value service: compare-and-swap, leases and watches.

use std::fmt::Debug;

use async_trait::async_trait;
use futures_util::stream::BoxStream;

use crate::error::CallError;

/// Identifier of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub i64);

/// A key with its stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Revision of the service at which the key last changed.
    pub revision: i64,
}

/// A compare-and-swap operation on one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// The key.
    pub key: String,
    /// Revision that the key must have for the swap to happen; zero if the key must be absent.
    pub required_revision: i64,
    /// New value; `None` to delete the key.
    pub value: Option<String>,
    /// Lease to attach the key to, if any; the key is deleted when the lease ends.
    pub lease: Option<LeaseId>,
}

/// Result of a compare-and-swap operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swapped {
    /// The operation took effect at this revision.
    Done(i64),
    /// The key had another revision, so nothing changed; contains the present entry, if the key exists.
    Differs(Option<Entry>),
}

/// An event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key was created or changed to this entry.
    Put(Entry),
    /// The key was removed.
    Removed,
    /// Nothing changed, and the watch still works.
    Alive,
}

/// Events of one watch, until it breaks.
pub type WatchStream = BoxStream<'static, Result<WatchEvent, CallError>>;

/// Client of a key-value service.
#[async_trait]
pub trait KeyValue: Debug + Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    /// Returns an error if no valid answer arrives.
    async fn read(&self, key: &str) -> Result<Option<Entry>, CallError>;

    /// Reads all keys that begin with `prefix`. Entries that are no text are left out.
    ///
    /// # Errors
    /// Returns an error if no valid answer arrives.
    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, CallError>;

    /// Performs several swaps in one call, each independent of the others; returns their results in the same order.
    ///
    /// # Errors
    /// Returns an error if no valid answer arrives; on [`CallError::Lost`] the swaps may have taken effect.
    async fn swap_each(&self, swaps: Vec<Swap>) -> Result<Vec<Swapped>, CallError>;

    /// Performs several swaps atomically, all or none; returns whether they took effect.
    ///
    /// # Errors
    /// Returns an error if no valid answer arrives; on [`CallError::Lost`] the swaps may have taken effect.
    async fn swap_all(&self, swaps: Vec<Swap>) -> Result<bool, CallError>;

    /// Creates a lease that ends `ttl_seconds` after its last renewal.
    ///
    /// # Errors
    /// Returns an error if no valid answer arrives.
    async fn grant(&self, ttl_seconds: u64) -> Result<LeaseId, CallError>;

    /// Renews a lease; returns whether it still exists.
    ///
    /// # Errors
    /// Returns an error if no valid answer arrives.
    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, CallError>;

    /// Revokes a lease, which deletes all keys attached to it.
    ///
    /// # Errors
    /// Returns an error if no valid answer arrives.
    async fn revoke(&self, lease: LeaseId) -> Result<(), CallError>;

    /// Watches one key from now on.
    ///
    /// # Errors
    /// Returns an error if the watch cannot be opened.
    async fn watch(&self, key: &str) -> Result<WatchStream, CallError>;
}

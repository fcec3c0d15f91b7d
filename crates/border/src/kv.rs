//! The key-value service: compare-and-swap, leases and watches.

use std::fmt::Debug;

use async_trait::async_trait;
use futures_util::stream::BoxStream;

use crate::error::CallError;

/// A lease's identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub i64);

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: String,
    /// The service's revision at which it last changed.
    pub revision: i64,
}

/// A compare-and-swap of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Swap {
    /// The key.
    pub key: String,
    /// The revision that it must have; zero for absent.
    pub expect: i64,
    /// The new value; absent to delete.
    pub value: Option<String>,
    /// The lease that the value ends with.
    pub lease: Option<LeaseId>,
}

/// What became of one swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swapped {
    /// It took effect at this revision.
    Done(i64),
    /// The key had another revision; this is what is there.
    Differs(Option<Entry>),
}

/// A change that a watch saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key has this entry now.
    Put(Entry),
    /// The key is gone.
    Removed,
    /// Nothing changed, and the watch is alive.
    Alive,
}

/// The news of one watch, until it breaks.
pub type WatchStream = BoxStream<'static, Result<WatchEvent, CallError>>;

/// The key-value service.
#[async_trait]
pub trait KeyValue: Debug + Send + Sync {
    /// Read one key.
    ///
    /// # Errors
    /// Why there is no answer.
    async fn read(&self, key: &str) -> Result<Option<Entry>, CallError>;

    /// Read all keys that begin with `prefix`.
    ///
    /// # Errors
    /// Why there is no answer.
    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, CallError>;

    /// Do several swaps in one call, each for itself.
    ///
    /// # Errors
    /// Why there is no answer; on [`CallError::Lost`] the swaps may have taken effect.
    async fn swap_each(&self, swaps: Vec<Swap>) -> Result<Vec<Swapped>, CallError>;

    /// Do several swaps as one; returns whether they took effect.
    ///
    /// # Errors
    /// Why there is no answer; on [`CallError::Lost`] the swaps may have taken effect.
    async fn swap_all(&self, swaps: Vec<Swap>) -> Result<bool, CallError>;

    /// Get a lease of `ttl_seconds`.
    ///
    /// # Errors
    /// Why there is no answer.
    async fn grant(&self, ttl_seconds: u64) -> Result<LeaseId, CallError>;

    /// Renew a lease; returns whether it still existed.
    ///
    /// # Errors
    /// Why there is no answer.
    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, CallError>;

    /// Give a lease up, and all values that end with it.
    ///
    /// # Errors
    /// Why there is no answer.
    async fn revoke(&self, lease: LeaseId) -> Result<(), CallError>;

    /// Watch one key from now on.
    ///
    /// # Errors
    /// Why there is no watch.
    async fn watch(&self, key: &str) -> Result<WatchStream, CallError>;
}

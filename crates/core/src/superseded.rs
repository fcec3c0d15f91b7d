//! Versions of entries that are known to have been replaced or removed.
//!
//! A key-value service that comes back from an older copy of itself shows some of them again. They say nothing new:
//! what replaced them stays in force until the entry is written again.

use std::{collections::HashMap, sync::Arc};

use crate::{
    hash, revision,
    time::{Span, Time},
};

/// Time for which a version is remembered. Copies are some seconds old.
const RETENTION: Span = Span::millis(120_000);
/// Maximum number of versions per key, the newest ones.
const MAX_VERSIONS: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Version {
    revision: i64,
    value_hash: u64,
    forget_at: Time,
}

/// The superseded versions of all keys.
#[derive(Debug, Default)]
pub struct SupersededVersions {
    by_key: HashMap<Arc<str>, Vec<Version>>,
}

impl SupersededVersions {
    /// Records that a version was replaced or removed.
    pub fn record(&mut self, key: &str, revision: i64, value: &str, now: Time) {
        let version = Version { revision, value_hash: hash::bytes(value.as_bytes()), forget_at: now + RETENTION };
        let versions = self.by_key.entry(Arc::from(key)).or_default();
        versions.push(version);
        if versions.len() > MAX_VERSIONS {
            versions.remove(0);
        }
    }

    /// Whether an entry, read at a revision, shows a version again that was superseded in an earlier era.
    #[must_use]
    pub fn contains(&self, key: &str, revision: i64, value: &str) -> bool {
        let value_hash = hash::bytes(value.as_bytes());
        self.by_key.get(key).is_some_and(|versions| {
            versions.iter().any(|version| {
                revision::era(version.revision) < revision::era(revision)
                    && revision::number(version.revision) == revision::number(revision)
                    && version.value_hash == value_hash
            })
        })
    }

    /// Forgets old versions.
    pub fn expire(&mut self, now: Time) {
        self.by_key.retain(|_, versions| {
            versions.retain(|version| !version.forget_at.is_past(now));
            !versions.is_empty()
        });
    }
}

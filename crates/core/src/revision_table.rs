//! Copy of a versioned store, with the changes after a revision.
//!
//! A copy of thousands of entries is kept up to date by its changes, at a cost that depends on the number of
//! changes and not of entries. Removals are remembered as long as sending them costs less than sending all
//! entries.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
};

/// Minimum number of removals that are remembered.
const MIN_RETAINED_REMOVALS: usize = 512;

/// Entries by key, each with the revision of its last change.
#[derive(Debug)]
pub struct RevisionTable<V> {
    entries: HashMap<Arc<str>, (i64, V)>,
    by_revision: BTreeSet<(i64, Arc<str>)>,
    removals: BTreeSet<(i64, Arc<str>)>,
    /// Revision after which all removals are remembered.
    removals_complete_from: i64,
}

impl<V> Default for RevisionTable<V> {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            by_revision: BTreeSet::new(),
            removals: BTreeSet::new(),
            removals_complete_from: 0,
        }
    }
}

impl<V> RevisionTable<V> {
    /// Returns the value of a key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&V> {
        self.entries.get(key).map(|(_, value)| value)
    }

    /// Iterates over all values.
    pub fn values(&self) -> impl Iterator<Item = &V> {
        self.entries.values().map(|(_, value)| value)
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether a change of a key at a revision is newer than the known entry.
    #[must_use]
    pub fn is_newer(&self, key: &str, revision: i64) -> bool {
        self.entries.get(key).is_none_or(|(present, _)| *present < revision)
    }

    /// Sets the value of a key unless a newer one is known, and returns whether it did.
    pub fn put(&mut self, key: &str, revision: i64, value: V) -> bool {
        if !self.is_newer(key, revision) {
            return false;
        }
        let key: Arc<str> = Arc::from(key);
        if let Some((previous, _)) = self.entries.insert(Arc::clone(&key), (revision, value)) {
            self.by_revision.remove(&(previous, Arc::clone(&key)));
        }
        self.by_revision.insert((revision, key));
        true
    }

    /// Sets the value of a key unless a newer one is known, also if one with the same revision is; returns whether it
    /// did.
    pub fn replace(&mut self, key: &str, revision: i64, value: V) -> bool {
        if self.entries.get(key).is_some_and(|(present, _)| *present == revision) {
            self.entries.insert(Arc::from(key), (revision, value));
            return true;
        }
        self.put(key, revision, value)
    }

    /// The revision of a key.
    #[must_use]
    pub fn revision_of(&self, key: &str) -> Option<i64> {
        self.entries.get(key).map(|(revision, _)| *revision)
    }

    /// Removes a key unless it was written after `revision`, and returns its value if there was one.
    pub fn remove(&mut self, key: &str, revision: i64) -> Option<V> {
        if self.entries.get(key).is_some_and(|(present, _)| *present > revision) {
            return None;
        }
        self.removals.insert((revision, Arc::from(key)));
        let removed = self.entries.remove_entry(key);
        let value = removed.map(|(key, (previous, value))| {
            self.by_revision.remove(&(previous, key));
            value
        });
        self.prune_removals();
        value
    }

    fn prune_removals(&mut self) {
        while self.removals.len() > self.entries.len().max(MIN_RETAINED_REMOVALS) {
            if let Some((revision, _)) = self.removals.pop_first() {
                self.removals_complete_from = revision;
            }
        }
    }

    /// Records that all entries were read at a revision. Earlier removals are unknown.
    pub fn record_full_read(&mut self, revision: i64) {
        self.removals_complete_from = revision;
        self.removals.clear();
    }

    /// Keys that are missing from a complete read.
    #[must_use]
    pub fn missing_from(&self, read: &HashSet<&str>) -> Vec<Arc<str>> {
        self.entries.keys().filter(|key| !read.contains(&***key)).cloned().collect()
    }

    /// Whether all removals after a revision are remembered.
    #[must_use]
    pub const fn is_complete_after(&self, revision: i64) -> bool {
        revision >= self.removals_complete_from
    }

    /// Values that changed after a revision.
    pub fn changed_after(&self, revision: i64) -> impl Iterator<Item = &V> {
        let changed = self.by_revision.range((revision.saturating_add(1), Arc::from(""))..);
        changed.filter_map(|(_, key)| self.get(key))
    }

    /// Keys removed after a revision, with the revisions of their removals.
    pub fn removed_after(&self, revision: i64) -> impl Iterator<Item = (&str, i64)> {
        let removed = self.removals.range((revision.saturating_add(1), Arc::from(""))..);
        removed.map(|(revision, key)| (&**key, *revision))
    }
}

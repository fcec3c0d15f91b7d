//! The store cache: what was last read from the store, and updates of it for other daemons.

use bytes::Bytes;
use dahliaseam_border::{error::CallError, kv::Entry};
use dahliaseam_core::{
    revision,
    revision_table::RevisionTable,
    superseded::SupersededVersions,
    time::{Span, Time},
};

use crate::gateway::snapshot_transfer::{CacheUpdate, CachedEntry};

/// What was last read from the store, unparsed.
#[derive(Debug, Default)]
pub(super) struct StoreCache {
    /// The configuration.
    pub(super) configuration: Option<Entry>,
    /// Revision of the newest configuration, even if that is unreadable.
    pub(super) newest_configuration: i64,
    /// Entries of replicas, by key.
    pub(super) replicas: RevisionTable<Entry>,
    /// Entries of daemons, by key.
    pub(super) daemons: RevisionTable<Entry>,
    /// Versions that were replaced or removed, which an older copy of the store may show again.
    pub(super) superseded: SupersededVersions,
    /// The era in which this cache was compared with what was known before; 0 if it was read from a copy of the store
    /// alone.
    pub(super) merged_era: i64,
    /// When the store was found to have come back from an older copy.
    pub(super) returned_at: Option<Time>,
    /// Revision of the store up to which nothing is missing.
    pub(super) revision: i64,
    /// Whether this daemon, or the peer whose copy it took, has read the store up to date since it started.
    pub(super) is_confirmed: bool,
    /// When the store last answered.
    pub(super) last_answer_at: Time,
    /// Whether this daemon watches the store itself.
    pub(super) watching: bool,
    /// Until when entries that lapsed while the store was unreachable may come back.
    pub(super) grace_until: Time,
    /// Removals up to this revision may be such lapses; later ones are intended.
    pub(super) lapsed_up_to: i64,
    /// Until when removals that the store reports may still be lapses from the outage.
    pub(super) lapses_until: Time,
    /// Whether this daemon's last call to the store failed.
    pub(super) unreachable: bool,
    /// The update that was last packed.
    packed: Option<PackedUpdate>,
}

/// A packed update, kept for other daemons that request the same: packing takes some tens of milliseconds on a small
/// VM, and all daemons of a hall request each change.
#[derive(Debug)]
struct PackedUpdate {
    after: i64,
    revision: i64,
    bytes: Bytes,
}

impl StoreCache {
    /// Time since the store last answered, if it is unreachable.
    pub(super) fn unreachable_for(&self, now: Time) -> Option<Span> {
        self.unreachable.then(|| now.since(self.last_answer_at))
    }

    /// The changes after a revision, for another daemon; everything if the changes are not known.
    fn update_since(&self, after: i64, now: Time) -> CacheUpdate {
        let whole = !self.replicas.is_complete_after(after) || !self.daemons.is_complete_after(after);
        let from = if whole { i64::MIN } else { after };
        let configuration = self.configuration.iter().filter(|entry| entry.revision > from);
        let entries = configuration.chain(self.replicas.changed_after(from)).chain(self.daemons.changed_after(from));
        let removed = self.replicas.removed_after(after).chain(self.daemons.removed_after(after));
        CacheUpdate {
            revision: self.revision,
            whole,
            entries: entries.map(CachedEntry::from).collect(),
            removed: removed.map(|(key, revision)| (key.to_owned(), revision)).collect(),
            grace_ms: self.grace_until.since(now).as_millis(),
            lapsed_up_to: self.lapsed_up_to,
            merged_era: self.merged_era,
            is_confirmed: self.is_confirmed,
        }
    }

    /// The same update, packed for sending.
    pub(super) fn packed(&mut self, after: i64, now: Time) -> Result<Bytes, CallError> {
        let in_grace = !self.grace_until.is_past(now);
        if let Some(packed) = &self.packed
            && (packed.after, packed.revision) == (after, self.revision)
            && !in_grace
        {
            return Ok(packed.bytes.clone());
        }
        let bytes = Bytes::from(self.update_since(after, now).pack()?);
        // While entries may come back, an update states for how much longer, and so differs each time.
        self.packed = (!in_grace).then(|| PackedUpdate { after, revision: self.revision, bytes: bytes.clone() });
        Ok(bytes)
    }

    /// Records that everything was read, and advances to the revision of that: which keys were removed before is not known.
    pub(super) fn record_full_read(&mut self, revision: i64) {
        self.advance(revision);
        self.replicas.record_full_read(self.revision);
        self.daemons.record_full_read(self.revision);
    }

    /// Whether an entry is known to have been removed since: it is missing here, although everything that the store held
    /// at its revision was read.
    pub(super) fn is_outdated(&self, entry: &Entry) -> bool {
        let is_known = self.replicas.get(&entry.key).is_some() || self.daemons.get(&entry.key).is_some();
        !is_known && entry.revision <= self.revision && revision::era(entry.revision) == revision::era(self.revision)
    }

    /// Allows entries that were removed up to the revision `lapsed_up_to` to come back until `until`.
    pub(super) fn set_grace(&mut self, until: Time, lapsed_up_to: i64) {
        self.grace_until = self.grace_until.max(until);
        self.lapsed_up_to = self.lapsed_up_to.max(lapsed_up_to);
    }

    /// When a replica whose entry was removed at a revision counts as gone.
    pub(super) fn gone_at(&self, revision: i64, now: Time) -> Time {
        if revision <= self.lapsed_up_to { now.max(self.grace_until) } else { now }
    }

    /// Stores the entry of a replica unless a newer one is known; returns whether it did.
    pub(super) fn put_replica_entry(&mut self, entry: &Entry, now: Time) -> bool {
        let Self { replicas, superseded, .. } = self;
        put(replicas, superseded, entry, now)
    }

    /// Stores an entry of the daemons unless a newer one is known; returns whether it did.
    pub(super) fn put_daemon_entry(&mut self, entry: &Entry, now: Time) -> bool {
        let Self { daemons, superseded, .. } = self;
        put(daemons, superseded, entry, now)
    }

    /// Removes the entry of a replica unless a newer one is known; returns whether it did.
    pub(super) fn remove_replica_entry(&mut self, key: &str, revision: i64, now: Time) -> bool {
        let removed = self.replicas.remove(key, revision);
        self.record_superseded(removed.as_ref(), now);
        removed.is_some()
    }

    /// Removes an entry of the daemons unless a newer one is known; returns whether it did.
    pub(super) fn remove_daemon_entry(&mut self, key: &str, revision: i64, now: Time) -> bool {
        let removed = self.daemons.remove(key, revision);
        self.record_superseded(removed.as_ref(), now);
        removed.is_some()
    }

    /// Sets the configuration.
    pub(super) fn set_configuration(&mut self, entry: Entry, now: Time) {
        let before = self.configuration.replace(entry);
        self.record_superseded(before.as_ref(), now);
    }

    fn record_superseded(&mut self, entry: Option<&Entry>, now: Time) {
        if let Some(entry) = entry {
            self.superseded.record(&entry.key, entry.revision, &entry.value, now);
        }
    }

    /// Prepares for a snapshot at this revision. If the store has come back from an older copy since, entries that the
    /// copy lacks get time to come back; returns whether it has.
    pub(super) fn note_return(&mut self, snapshot: i64, grace_until: Time, lapses_until: Time, now: Time) -> bool {
        let is_return = self.revision > 0 && revision::era(snapshot) > revision::era(self.revision);
        if is_return {
            self.grace_until = self.grace_until.max(grace_until);
            self.lapses_until = self.lapses_until.max(lapses_until);
            self.lapsed_up_to = self.lapsed_up_to.max(snapshot);
            self.merged_era = revision::era(snapshot);
            self.returned_at = Some(now);
        }
        is_return
    }

    /// The entry as it is to be applied; `None` if the store shows an entry again that is known to be gone. An older
    /// version gives way to the known one.
    pub(super) fn merge(&self, entry: Entry) -> Option<Entry> {
        if !self.superseded.contains(&entry.key, entry.revision, &entry.value) {
            return Some(entry);
        }
        let known = self.configuration.as_ref().filter(|known| known.key == entry.key);
        let known = known.or_else(|| self.replicas.get(&entry.key)).or_else(|| self.daemons.get(&entry.key));
        known.map(|known| Entry { value: known.value.clone(), ..entry })
    }

    /// Advances to a revision up to which all changes have been applied.
    pub(super) fn advance(&mut self, revision: i64) {
        self.revision = self.revision.max(revision);
    }

    /// Whether this cache holds what was known before the store came back, if that is known to anybody here.
    pub(super) const fn is_merged(&self) -> bool {
        self.merged_era == revision::era(self.revision)
    }

    /// Whether everything was read once.
    pub(super) const fn is_complete(&self) -> bool {
        self.configuration.is_some() && self.revision > 0
    }
}

/// Stores an entry unless a newer one is known, and remembers the version that it replaces; returns whether it did.
fn put(table: &mut RevisionTable<Entry>, superseded: &mut SupersededVersions, entry: &Entry, now: Time) -> bool {
    let before = table.get(&entry.key).cloned();
    let is_put = table.put(&entry.key, entry.revision, entry.clone());
    if let Some(before) = before.filter(|_| is_put) {
        superseded.record(&before.key, before.revision, &before.value, now);
    }
    is_put
}

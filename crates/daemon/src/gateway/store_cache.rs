//! The store cache: what was last read from the store, and updates of it for other daemons.

use bytes::Bytes;
use dahliaseam_border::{error::CallError, kv::Entry};
use dahliaseam_core::{
    revision_table::RevisionTable,
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
    /// Revision of the store up to which nothing is missing.
    pub(super) revision: i64,
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

    /// Records that everything was read at a revision: which keys were removed before is not known.
    pub(super) fn record_full_read(&mut self, revision: i64) {
        self.replicas.record_full_read(revision);
        self.daemons.record_full_read(revision);
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

    /// Advances to a revision up to which all changes have been applied.
    pub(super) fn advance(&mut self, revision: i64) {
        self.revision = self.revision.max(revision);
    }

    /// Whether everything was read once.
    pub(super) const fn is_complete(&self) -> bool {
        self.configuration.is_some() && self.revision > 0
    }
}

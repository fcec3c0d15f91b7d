//! Which replicas there are, from the entries that they keep in the store.
//!
//! An entry that is removed means that the replica left. Right after the store was away that is
//! not certain: entries lapsed that their replicas could not renew. Such a replica stays for a
//! short while, and counts as gone if its entry does not come back by then.

use std::sync::Arc;

use crate::{
    fleet::{
        Fleet,
        replica::{Replica, ReplicaFacts, ReplicaKey},
        short_id,
    },
    time::Time,
};

impl Fleet {
    /// Note a replica's entry at a revision of the store; older news is ignored.
    ///
    /// Returns whether something that matters changed.
    pub fn put(&mut self, facts: ReplicaFacts, revision: i64) -> bool {
        if let Some(key) = self.by_id.get(&facts.id).copied() {
            return self.update(key, facts, revision);
        }
        let memory = self.services.entry(Arc::clone(&facts.service)).or_default().memory_tokens;
        let memory = (memory as f64 * self.policy.cache_share) as u64;
        let id = Arc::clone(&facts.id);
        let key = self.replicas.insert(Replica::new(facts, revision, memory));
        self.by_hash.insert(short_id(&id), key);
        self.by_id.insert(id, key);
        true
    }

    /// Note that a replica's entry was removed at a revision; it counts as gone at `gone_at`.
    ///
    /// Returns whether the replica was known.
    pub fn removed(&mut self, id: &str, revision: i64, gone_at: Time) -> bool {
        let Some(replica) = self.by_id.get(id).and_then(|key| self.replicas.get_mut(*key)) else {
            return false;
        };
        if replica.revision > revision {
            return false;
        }
        replica.revision = revision;
        replica.gone_at = replica.gone_at.min(gone_at);
        true
    }

    /// Note that the process at a replica's address is another one.
    pub fn replaced(&mut self, key: ReplicaKey, now: Time) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.gone_at = now;
        }
    }

    /// Forget replicas that are gone and have nothing under way.
    pub fn forget_gone(&mut self, now: Time) -> Vec<Arc<str>> {
        let gone: Vec<ReplicaKey> = self
            .replicas
            .iter()
            .filter(|(_, replica)| replica.gone_at.is_past(now) && replica.own.active == 0)
            .map(|(key, _)| key)
            .collect();
        gone.into_iter().filter_map(|key| self.forget(key)).collect()
    }

    fn forget(&mut self, key: ReplicaKey) -> Option<Arc<str>> {
        let replica = self.replicas.remove(key)?;
        self.by_hash.remove(&short_id(&replica.facts.id));
        self.by_id.remove(&replica.facts.id);
        Some(replica.facts.id)
    }

    fn update(&mut self, key: ReplicaKey, facts: ReplicaFacts, revision: i64) -> bool {
        let Some(replica) = self.replicas.get_mut(key) else {
            return false;
        };
        if replica.revision > revision {
            return false;
        }
        let changed = replica.facts != facts || replica.gone_at != Time::NEVER;
        // A replica that said that it leaves does not come back under the same identifier.
        let draining = replica.facts.draining || facts.draining;
        if replica.facts.role != facts.role {
            replica.changing_until = Time(0);
        }
        replica.facts = ReplicaFacts { draining, ..facts };
        replica.revision = revision;
        replica.gone_at = Time::NEVER;
        changed
    }
}

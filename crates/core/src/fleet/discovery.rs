//! Which replicas there are, from the entries that they keep in the store.
//!
//! An entry that is removed means that the replica left. Right after the store was away that is
//! not certain: entries lapsed that their replicas could not renew. Such a replica stays for a
//! short while, and counts as gone if its entry does not come back by then.
//!
//! A replica that starts again may keep its identifier. Then it gets a row of its own, with a key and a hash of its own, so
//! nothing that is believed of the start before reaches it: work under way, memory, health, orders, what peers tell.
//! How slow the machine is stays.

use std::sync::Arc;

use crate::{
    fleet::{
        Fleet,
        replica::{Replica, ReplicaFacts, ReplicaKey},
    },
    time::Time,
};

impl Fleet {
    /// Note a replica's entry at a revision of the store; older news is ignored.
    ///
    /// Returns whether something that matters changed.
    pub fn put(&mut self, facts: ReplicaFacts, revision: i64) -> bool {
        let known = self.by_id.get(&facts.id).copied();
        let Some((key, replica)) = known.and_then(|key| Some((key, self.replicas.get(key)?))) else {
            self.add(facts, revision);
            return true;
        };
        if replica.facts.is_same_start(&facts) {
            return self.update(key, facts, revision);
        }
        let is_older = match (facts.start_time_ms, replica.facts.start_time_ms) {
            (Some(reported), Some(known)) => reported < known,
            _ => replica.revision > revision,
        };
        if is_older {
            return false;
        }
        let before = self.replicas.remove(key);
        if let Some(before) = &before {
            self.candidates.remove(&before.facts.service, key);
        }
        let next = self.add(facts, revision);
        if let (Some(before), Some(next)) = (before, self.replicas.get_mut(next)) {
            self.by_start_id.remove(&before.start_id);
            next.inherit_speed(&before);
        }
        true
    }

    fn add(&mut self, facts: ReplicaFacts, revision: i64) -> ReplicaKey {
        let memory = self.services.entry(Arc::clone(&facts.service)).or_default().kv_capacity_tokens;
        let memory = (memory as f64 * self.policy.cache_share) as u64;
        let id = Arc::clone(&facts.id);
        let hall = self.hall_latencies.key(&facts.hall);
        let mut replica = Replica::new(facts, revision, memory);
        replica.hall = hall;
        let start_id = replica.start_id;
        let (service, in_hall) = (Arc::clone(&replica.facts.service), *replica.facts.hall == *self.hall);
        let key = self.replicas.insert(replica);
        self.candidates.add(&service, key, in_hall);
        self.by_start_id.insert(start_id, key);
        self.by_id.insert(id, key);
        key
    }

    /// Note that a replica's entry was removed at a revision; it counts as gone at `gone_at`.
    ///
    /// Returns whether the replica was known.
    pub fn mark_removed(&mut self, id: &str, revision: i64, gone_at: Time) -> bool {
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
    pub fn mark_replaced(&mut self, key: ReplicaKey, now: Time) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.gone_at = now;
        }
    }

    /// Forget replicas that are gone and have nothing under way.
    pub fn remove_gone(&mut self, now: Time) -> Vec<Arc<str>> {
        let gone: Vec<ReplicaKey> = self
            .replicas
            .iter()
            .filter(|(_, replica)| replica.gone_at.is_past(now) && replica.own_load.active == 0)
            .map(|(key, _)| key)
            .collect();
        gone.into_iter().filter_map(|key| self.remove(key)).collect()
    }

    fn remove(&mut self, key: ReplicaKey) -> Option<Arc<str>> {
        let replica = self.replicas.remove(key)?;
        self.candidates.remove(&replica.facts.service, key);
        self.by_start_id.remove(&replica.start_id);
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
            replica.role_change_until = Time(0);
        }
        replica.facts = ReplicaFacts { draining, ..facts };
        replica.revision = revision;
        replica.gone_at = Time::NEVER;
        changed
    }
}

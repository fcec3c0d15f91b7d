//! Adds, updates and removes replicas according to their entries in the store.
//!
//! A removed entry means that the replica has left. Shortly after an outage of the store this is not certain, since
//! replicas could not renew their entries and some lapsed. Such a replica is kept for a grace period and counts as
//! gone if its entry is not restored by then.
//!
//! A restarted replica may keep its identifier. It is then added as a new replica with a key and a hash of its own,
//! so that no state of the previous start applies to it: load, cache, health, orders, and reports of peers. Only the
//! slowness is kept, since it is a property of the machine.

use std::sync::Arc;

use crate::{
    fleet::{
        Fleet,
        replica::{Replica, ReplicaFacts, ReplicaKey},
    },
    time::Time,
};

impl Fleet {
    /// Applies a replica's entry at a store revision; older information is ignored.
    ///
    /// Returns whether relevant information changed.
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
        let previous = self.replicas.remove(key);
        if let Some(previous) = &previous {
            self.candidates.remove(&previous.facts.service, key);
        }
        let new_key = self.add(facts, revision);
        if let (Some(previous), Some(new)) = (previous, self.replicas.get_mut(new_key)) {
            self.by_start_id.remove(&previous.start_id);
            self.replaced.push(previous.facts.clone());
            new.inherit_slowness(&previous);
        }
        true
    }

    fn add(&mut self, facts: ReplicaFacts, revision: i64) -> ReplicaKey {
        let kv_capacity = self.services.entry(Arc::clone(&facts.service)).or_default().kv_capacity_tokens;
        let kv_capacity = (kv_capacity as f64 * self.policy.cache_share) as u64;
        let id = Arc::clone(&facts.id);
        let hall = self.hall_latencies.key(&facts.hall);
        let mut replica = Replica::new(facts, revision, kv_capacity);
        replica.hall = hall;
        let start_id = replica.start_id;
        let (service, in_hall) = (Arc::clone(&replica.facts.service), *replica.facts.hall == *self.hall);
        let key = self.replicas.insert(replica);
        self.candidates.add(&service, key, in_hall);
        self.by_start_id.insert(start_id, key);
        self.by_id.insert(id, key);
        key
    }

    /// Records that a replica's entry was removed at a store revision; the replica counts as gone at `gone_at`.
    ///
    /// Returns whether the replica is known and the information is not outdated.
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

    /// Records that another process now listens at a replica's address.
    pub fn mark_replaced(&mut self, key: ReplicaKey, now: Time) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.gone_at = now;
        }
    }

    /// Removes replicas that are gone and have no active requests; returns their identifiers.
    pub fn remove_gone(&mut self, now: Time) -> Vec<Arc<str>> {
        for facts in std::mem::take(&mut self.replaced) {
            self.left_software.record(&facts, now);
        }
        let gone: Vec<ReplicaKey> = self
            .replicas
            .iter()
            .filter(|(_, replica)| replica.gone_at.is_past(now) && replica.own_load.active == 0)
            .map(|(key, _)| key)
            .collect();
        gone.into_iter().filter_map(|key| self.remove(key, now)).collect()
    }

    fn remove(&mut self, key: ReplicaKey, now: Time) -> Option<Arc<str>> {
        let replica = self.replicas.remove(key)?;
        self.left_software.record(&replica.facts, now);
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
        // A draining replica does not become available again under the same identifier.
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

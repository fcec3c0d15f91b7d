//! The candidate replicas for a request.
//!
//! In a service with few replicas, all are candidates. In larger ones the candidates are a random sample for each
//! request, most of it from the own hall, and the replicas that hold a part of the prompt. The cost of a selection
//! therefore does not grow with the service, and the best of a hundred is hardly worse than the best of all.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use crate::{
    fleet::replica::ReplicaKey,
    hash::rendezvous,
    prompt::{Part, Prompt},
};

/// Number of replicas in a service up to which all are candidates.
const FULL_SCAN_LIMIT: usize = 128;
/// Number of replicas sampled from the own hall.
const SAMPLE_IN_HALL: usize = 64;
/// Number of replicas sampled from all halls.
const SAMPLE_ANYWHERE: usize = 32;
/// Maximum number of replicas recorded for a part; the most recent ones are kept.
const MAX_REPLICAS_PER_PART: usize = 8;
/// Maximum number of recorded parts; the most recently added ones are kept.
const MAX_PARTS: usize = 32_768;

/// The replicas of each service, and those that hold a prompt part in their KV cache.
#[derive(Clone, Debug, Default)]
pub(super) struct Candidates {
    services: HashMap<Arc<str>, ServiceReplicas>,
    replicas_by_part: HashMap<u64, VecDeque<ReplicaKey>>,
    /// Parts in the order in which they were added.
    parts: VecDeque<u64>,
}

#[derive(Clone, Debug, Default)]
struct ServiceReplicas {
    all: Vec<ReplicaKey>,
    in_hall: Vec<ReplicaKey>,
}

impl Candidates {
    /// Adds a replica.
    pub(super) fn add(&mut self, service: &Arc<str>, key: ReplicaKey, in_hall: bool) {
        let replicas = self.services.entry(Arc::clone(service)).or_default();
        replicas.all.push(key);
        if in_hall {
            replicas.in_hall.push(key);
        }
    }

    /// Removes a replica.
    pub(super) fn remove(&mut self, service: &str, key: ReplicaKey) {
        if let Some(replicas) = self.services.get_mut(service) {
            replicas.all.retain(|other| *other != key);
            replicas.in_hall.retain(|other| *other != key);
        }
    }

    /// Records that a replica prefills these parts and so will hold them.
    pub(super) fn record_prompt(&mut self, key: ReplicaKey, parts: &[Part]) {
        for part in parts {
            let replicas = self.replicas_by_part.entry(part.prefix_hash).or_default();
            if replicas.is_empty() {
                self.parts.push_back(part.prefix_hash);
            }
            replicas.retain(|other| *other != key);
            replicas.push_back(key);
            if replicas.len() > MAX_REPLICAS_PER_PART {
                replicas.pop_front();
            }
        }
        while self.parts.len() > MAX_PARTS {
            if let Some(oldest) = self.parts.pop_front() {
                self.replicas_by_part.remove(&oldest);
            }
        }
    }

    /// All replicas of a service.
    pub(super) fn all(&self, service: &str) -> &[ReplicaKey] {
        self.services.get(service).map_or(&[], |replicas| &replicas.all)
    }

    /// The candidates for a request, without duplicates.
    pub(super) fn select(&self, service: &str, prompt: Option<&Prompt>, draw: u64) -> Vec<ReplicaKey> {
        let Some(replicas) = self.services.get(service) else {
            return Vec::new();
        };
        if replicas.all.len() <= FULL_SCAN_LIMIT {
            return replicas.all.clone();
        }
        let mut sample = Vec::with_capacity(FULL_SCAN_LIMIT);
        sample.extend(sample_keys(&replicas.in_hall, SAMPLE_IN_HALL, draw));
        sample.extend(sample_keys(&replicas.all, SAMPLE_ANYWHERE, !draw));
        let parts = prompt.into_iter().flat_map(|prompt| &prompt.parts);
        sample.extend(parts.filter_map(|part| self.replicas_by_part.get(&part.prefix_hash)).flatten());
        sample.sort_unstable();
        sample.dedup();
        sample
    }
}

/// Draws `count` keys with replacement.
fn sample_keys(keys: &[ReplicaKey], count: usize, draw: u64) -> impl Iterator<Item = ReplicaKey> {
    let count = if keys.is_empty() { 0 } else { count };
    (0..count as u64).map(move |n| keys[rendezvous(draw, n) as usize % keys.len()])
}

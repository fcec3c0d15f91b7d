//! The versions of software that serve or served a short time ago.

use std::{collections::HashMap, sync::Arc};

use crate::{
    fleet::{Fleet, replica::ReplicaFacts},
    stream_origin::{Origin, RecentSoftware},
    time::{Span, Time},
};

/// Maximum number of versions that left of which the time is known, for each service.
const MAX_LEFT: usize = 16;

/// When the last replica of each version that left was removed, by service.
#[derive(Clone, Debug, Default)]
pub(super) struct LeftSoftware(HashMap<Arc<str>, Vec<(Origin, Time)>>);

impl LeftSoftware {
    /// Records that a replica was removed.
    pub(super) fn record(&mut self, facts: &ReplicaFacts, now: Time) {
        let left = self.0.entry(Arc::clone(&facts.service)).or_default();
        let origin = facts.origin();
        left.retain(|(other, _)| *other != origin);
        left.push((origin, now));
        if left.len() > MAX_LEFT {
            left.remove(0);
        }
    }
}

impl Fleet {
    /// Which versions of a service's software served within the last `time`.
    #[must_use]
    pub fn recent_software(&self, service: &str, time: Span, now: Time) -> RecentSoftware {
        if now.since(self.started_at) < time {
            return RecentSoftware::Unknown;
        }
        self.known_software(service, time, now)
    }

    /// Like [`Self::recent_software`], also if this daemon has not run for so long.
    #[must_use]
    pub fn known_software(&self, service: &str, time: Span, now: Time) -> RecentSoftware {
        let serving =
            self.candidates.all(service).iter().filter_map(|key| self.get(*key)).map(|replica| replica.origin);
        let left = self.left_software.0.get(service).into_iter().flatten();
        let left = left.filter(|(_, left_at)| now.since(*left_at) < time).map(|(origin, _)| *origin);
        let replaced = self.replaced.iter().filter(|facts| *facts.service == *service).map(ReplicaFacts::origin);
        let mut only = None;
        for origin in serving.chain(left).chain(replaced) {
            if only.is_some_and(|only| only != origin) {
                return RecentSoftware::Several;
            }
            only = Some(origin);
        }
        only.map_or(RecentSoftware::Several, RecentSoftware::Only)
    }

    /// The versions of a service's software that replicas have at present.
    #[must_use]
    pub fn serving_software(&self, service: &str) -> Vec<Arc<str>> {
        let replicas = self.candidates.all(service).iter().filter_map(|key| self.get(*key));
        let mut versions: Vec<&Arc<str>> = Vec::new();
        for replica in replicas {
            if !versions.contains(&&replica.facts.software) {
                versions.push(&replica.facts.software);
            }
        }
        versions.into_iter().cloned().collect()
    }

    /// Name of the software version of an origin, if a replica has it.
    #[must_use]
    pub fn software_name(&self, origin: Origin) -> Option<&str> {
        let mut replicas = self.replicas.values();
        replicas.find(|replica| replica.origin == origin).map(|replica| &*replica.facts.software)
    }
}

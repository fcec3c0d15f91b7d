//! What daemons tell each other of the work that they have under way.
//!
//! Each message carries absolute figures, so a lost one is made good by the next.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    endpoint::Role,
    fleet::{
        Fleet,
        replica::{Load, Replica, ReplicaKey},
        short_id,
        split::Demand,
    },
    prompt::{Part, Prompt},
    time::{Span, Time},
};

/// Silence after which a daemon's work counts as over.
pub const SILENT: Span = Span::millis(1_500);
/// Time for which a peer's failure to reach a replica counts, unless it repeats it.
const DOUBT: Span = Span::millis(600);
/// Prompts in one message at most; the rest is not told.
const MAX_NOTES: usize = 32;

/// What one daemon has under way at one replica.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaLoad {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// Milliseconds of reading.
    pub reading_ms: u32,
    /// Requests under way.
    pub active: u32,
    /// Those of them whose answers are long.
    pub streams: u32,
    /// Whether it could not be reached lately.
    pub unreachable: bool,
}

/// What a daemon sees of the demand for one service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Hash of the service's name.
    pub service: u32,
    /// Engines that would be reading all the time.
    pub reading: f32,
    /// Slots that long answers would take.
    pub slots: f32,
}

/// An engine whose role is about to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangingEngine {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// Whether it becomes a prefill engine; a decode engine otherwise.
    pub to_prefill: bool,
    /// Milliseconds for which it gets no new work.
    pub left_ms: u32,
}

/// All that a daemon says in one message.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Its work, by replica.
    pub loads: Vec<ReplicaLoad>,
    /// Prompts that it sent since its last message.
    pub reads: Vec<ReadNote>,
    /// The demand that it sees, by service.
    pub demands: Vec<ServiceDemand>,
    /// Engines whose role it is changing.
    pub changing: Vec<ChangingEngine>,
}

/// A prompt that was sent to a replica, so that its memory holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadNote {
    /// Hash of the replica's identifier.
    pub replica: u32,
    /// Chain identifiers and tokens of the prompt's parts.
    pub parts: Vec<(u64, u32)>,
}

impl ReadNote {
    /// A note of a prompt that is read at the replica `id`.
    #[must_use]
    pub fn new(id: &str, prompt: &Prompt) -> Self {
        Self { replica: short_id(id), parts: prompt.parts.iter().map(|part| (part.chain, part.tokens)).collect() }
    }
}

/// What a daemon last said.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    number: u64,
    heard: Time,
    loads: HashMap<ReplicaKey, Load>,
    /// By the hash of the service's name.
    pub(super) demands: HashMap<u32, Demand>,
}

impl Fleet {
    /// What this daemon has to say now.
    pub fn own_news(&mut self, now: Time) -> News {
        let mut reads = std::mem::take(&mut self.notes);
        reads.truncate(MAX_NOTES);
        let left_out = |replica: &Replica| replica.health.ejected_until(now).is_some();
        let busy = self.replicas.values().filter(|replica| replica.own.active > 0 || left_out(replica));
        let loads = busy.map(|replica| ReplicaLoad {
            replica: short_id(&replica.facts.id),
            reading_ms: replica.own.reading_ms as u32,
            active: replica.own.active,
            streams: replica.own.streams,
            unreachable: left_out(replica),
        });
        let demands = self.services.iter().map(|(name, state)| {
            let demand = state.meter.demand(now);
            ServiceDemand { service: short_id(name), reading: demand.reading as f32, slots: demand.slots as f32 }
        });
        let changing =
            self.replicas.values().filter(|replica| replica.ordered_here && !replica.changing_until.is_past(now));
        let changing = changing.map(|replica| ChangingEngine {
            replica: short_id(&replica.facts.id),
            to_prefill: replica.changing_to == Role::Prefill,
            left_ms: replica.changing_until.since(now).as_millis() as u32,
        });
        News {
            loads: loads.collect(),
            reads,
            demands: demands.filter(|demand| demand.reading > 0.0 || demand.slots > 0.0).collect(),
            changing: changing.collect(),
        }
    }

    /// Take in what the daemon `sender` said in its message `number`.
    pub fn peer_news(&mut self, sender: u64, number: u64, news: &News, now: Time) {
        let overtaken = self.peers.get(&sender).is_some_and(|peer| peer.number >= number);
        if !overtaken {
            self.replace_peer(sender, &news.loads, now);
            let peer = self.peers.entry(sender).or_default();
            peer.number = number;
            peer.heard = now;
            peer.demands = news
                .demands
                .iter()
                .map(|d| (d.service, Demand { reading: f64::from(d.reading), slots: f64::from(d.slots) }))
                .collect();
            self.peer_changes(&news.changing, now);
        }
        for note in &news.reads {
            let replica = self.by_hash.get(&note.replica).and_then(|key| self.replicas.get_mut(*key));
            if let Some(replica) = replica {
                let parts: Vec<Part> =
                    note.parts.iter().map(|(chain, tokens)| Part { chain: *chain, tokens: *tokens }).collect();
                replica.cache.read(&parts);
            }
        }
    }

    fn peer_changes(&mut self, changing: &[ChangingEngine], now: Time) {
        for change in changing {
            let to = if change.to_prefill { Role::Prefill } else { Role::Decode };
            let until = now + Span::millis(u64::from(change.left_ms));
            let replica = self.by_hash.get(&change.replica).and_then(|key| self.replicas.get_mut(*key));
            if let Some(replica) = replica
                && replica.facts.role != to
            {
                replica.changing_until = until;
                replica.changing_to = to;
            }
        }
    }

    /// Forget daemons that have been silent for long; returns the numbers of their runs.
    pub fn forget_silent(&mut self, now: Time) -> Vec<u64> {
        let silent: Vec<u64> =
            self.peers.iter().filter(|(_, peer)| now.since(peer.heard) > SILENT).map(|(sender, _)| *sender).collect();
        for sender in &silent {
            self.replace_peer(*sender, &[], now);
            self.peers.remove(sender);
        }
        silent
    }

    /// Daemons heard of lately, this one included.
    #[must_use]
    pub fn daemons(&self) -> usize {
        self.peers.len() + 1
    }

    /// Age of the oldest view that a peer gave, in milliseconds.
    #[must_use]
    pub fn peers_age_ms(&self, now: Time) -> u64 {
        self.peers.values().map(|peer| now.since(peer.heard).as_millis()).max().unwrap_or(0)
    }

    fn replace_peer(&mut self, sender: u64, loads: &[ReplicaLoad], now: Time) {
        let before = std::mem::take(&mut self.peers.entry(sender).or_default().loads);
        for (key, load) in before {
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.peers = replica.peers.minus(load);
            }
        }
        let mut after = HashMap::with_capacity(loads.len());
        for load in loads {
            let Some(key) = self.by_hash.get(&load.replica).copied() else {
                continue;
            };
            let value = Load { reading_ms: f64::from(load.reading_ms), active: load.active, streams: load.streams };
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.peers = replica.peers.plus(value);
                if load.unreachable {
                    replica.doubted_until = now + DOUBT;
                }
            }
            after.insert(key, value);
        }
        self.peers.entry(sender).or_default().loads = after;
    }
}

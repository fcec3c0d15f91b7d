//! What daemons tell each other of the work that they have under way.
//!
//! Each message carries absolute figures, so a lost one is made good by the next.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    fleet::{
        Fleet,
        replica::{Load, ReplicaKey},
        short_id,
    },
    prompt::{Part, Prompt},
    time::{Span, Time},
};

/// Silence after which a daemon's work counts as over.
pub const SILENT: Span = Span::millis(1_500);
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
}

impl Fleet {
    /// What this daemon has under way, and the prompts it sent since the last call.
    pub fn own_loads(&mut self) -> (Vec<ReplicaLoad>, Vec<ReadNote>) {
        let busy = self.replicas.values().filter(|replica| replica.own.active > 0);
        let loads = busy.map(|replica| ReplicaLoad {
            replica: short_id(&replica.facts.id),
            reading_ms: replica.own.reading_ms as u32,
            active: replica.own.active,
            streams: replica.own.streams,
        });
        let loads = loads.collect();
        let mut notes = std::mem::take(&mut self.notes);
        notes.truncate(MAX_NOTES);
        (loads, notes)
    }

    /// Take in what the daemon `sender` said in its message `number`.
    pub fn peer_loads(&mut self, sender: u64, number: u64, loads: &[ReplicaLoad], notes: &[ReadNote], now: Time) {
        let known = self.peers.get(&sender).is_some_and(|peer| peer.number >= number);
        if !known {
            self.replace_peer(sender, loads);
            let peer = self.peers.entry(sender).or_default();
            peer.number = number;
            peer.heard = now;
        }
        for note in notes {
            let replica = self.by_hash.get(&note.replica).and_then(|key| self.replicas.get_mut(*key));
            if let Some(replica) = replica {
                let parts: Vec<Part> =
                    note.parts.iter().map(|(chain, tokens)| Part { chain: *chain, tokens: *tokens }).collect();
                replica.cache.read(&parts);
            }
        }
    }

    /// Forget daemons that have been silent for long.
    pub fn forget_silent(&mut self, now: Time) {
        let silent: Vec<u64> =
            self.peers.iter().filter(|(_, peer)| now.since(peer.heard) > SILENT).map(|(sender, _)| *sender).collect();
        for sender in silent {
            self.replace_peer(sender, &[]);
            self.peers.remove(&sender);
        }
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

    fn replace_peer(&mut self, sender: u64, loads: &[ReplicaLoad]) {
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
            }
            after.insert(key, value);
        }
        self.peers.entry(sender).or_default().loads = after;
    }
}

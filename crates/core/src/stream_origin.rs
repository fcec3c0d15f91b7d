//! Where streams began: at which service and at which version of its software.
//!
//! What two versions send does not fit together, so a stream may go on only at the version that began it, and a caller may
//! take it up at any daemon. The daemon that begins a stream therefore tells some others, which a hash of the request's
//! identifier names, and a daemon at which a stream is taken up asks them. A daemon can be killed or lose its peers at
//! any moment, so it tells them before the caller gets the first event.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use crate::{
    hash::{self, rendezvous},
    peer::Peer,
    time::Time,
};

/// Maximum number of recorded streams; the oldest ones are forgotten first.
const MAX_STREAMS: usize = 65_536;
/// Number of daemons that are told where a stream began.
const TOLD_DAEMONS: usize = 3;
/// Number of daemons that are asked. More than are told, since daemons know of starts and ends at different times.
const ASKED_DAEMONS: usize = 6;

/// Which versions of a service's software served within some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecentSoftware {
    /// Only this one.
    Only(Origin),
    /// Several, or none.
    Several,
    /// The daemon has not run for so long.
    Unknown,
}

/// Identifies a stream by the request that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamId(u64);

impl StreamId {
    /// The stream that the request with this identifier began.
    #[must_use]
    pub fn of(request: &str) -> Self {
        Self(hash::bytes(request.as_bytes()))
    }
}

/// A service and a version of its software.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Origin(u64);

impl Origin {
    /// This version of a service's software.
    #[must_use]
    pub fn of(service: &str, software: &str) -> Self {
        Self(rendezvous(hash::bytes(service.as_bytes()), hash::bytes(software.as_bytes())))
    }

    /// The origin with this identifier, as it is displayed.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }

    /// Its identifier.
    #[must_use]
    pub const fn id(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

#[derive(Clone, Copy, Debug)]
struct Record {
    origin: Origin,
    until: Time,
}

/// The streams of which this daemon knows where they began.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    records: HashMap<StreamId, Record>,
    /// The recorded streams in the order in which they were recorded.
    order: VecDeque<(StreamId, Time)>,
}

impl StreamOrigins {
    /// Records where a stream began; forgotten after `until`, when it can no longer go on.
    pub fn record(&mut self, stream: StreamId, origin: Origin, until: Time, now: Time) {
        while let Some((oldest, until)) = self.order.front().copied()
            && (until.is_past(now) || self.order.len() >= MAX_STREAMS)
        {
            self.order.pop_front();
            if self.records.get(&oldest).is_some_and(|record| record.until == until) {
                self.records.remove(&oldest);
            }
        }
        self.records.insert(stream, Record { origin, until });
        self.order.push_back((stream, until));
    }

    /// Where a stream began, if that is known.
    #[must_use]
    pub fn get(&self, stream: StreamId, now: Time) -> Option<Origin> {
        let record = self.records.get(&stream).filter(|record| !record.until.is_past(now));
        record.map(|record| record.origin)
    }

    /// Number of recorded streams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no stream is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// The origin of a stream of which nobody knows where it began: the only version of the service's software that could
/// have begun it. `own` is what this daemon knows, and `replies` is what those of the `asked` daemons know that replied.
///
/// Daemons that lost the store together agree on an old view, so most of the asked ones must have replied.
#[must_use]
pub fn only_origin(own: RecentSoftware, replies: &[RecentSoftware], asked: usize) -> Option<Origin> {
    if replies.len() * 2 < asked {
        return None;
    }
    let mut only = None;
    for known in replies.iter().chain([&own]) {
        match known {
            RecentSoftware::Only(origin) if only.is_none_or(|only| only == *origin) => only = Some(*origin),
            RecentSoftware::Unknown => {}
            RecentSoftware::Only(_) | RecentSoftware::Several => return None,
        }
    }
    only
}

/// The daemons to tell where a stream began: of two halls, if there are several.
#[must_use]
pub fn daemons_to_tell(stream: StreamId, daemons: &[Peer]) -> Vec<SocketAddr> {
    let heard: Vec<Peer> = daemons.iter().copied().filter(|daemon| !daemon.is_silent).collect();
    keepers(stream, &heard, TOLD_DAEMONS).into_iter().map(|daemon| daemon.address).collect()
}

/// The daemons to ask where a stream began.
#[must_use]
pub fn daemons_to_ask(stream: StreamId, daemons: &[Peer]) -> Vec<Peer> {
    keepers(stream, daemons, ASKED_DAEMONS)
}

/// The daemons with the highest hashes for a stream, in turn of each hall.
fn keepers(stream: StreamId, daemons: &[Peer], count: usize) -> Vec<Peer> {
    let mut ranked: Vec<(u64, Peer)> = daemons
        .iter()
        .map(|daemon| (rendezvous(stream.0, hash::bytes(daemon.address.to_string().as_bytes())), *daemon))
        .collect();
    ranked.sort_unstable_by_key(|(rank, daemon)| (*rank, daemon.address));
    let mut in_hall: HashMap<u32, usize> = HashMap::new();
    let mut by_turn: Vec<(usize, Peer)> = Vec::with_capacity(ranked.len());
    for (_, daemon) in ranked {
        let turn = in_hall.entry(daemon.hall).or_default();
        by_turn.push((*turn, daemon));
        *turn += 1;
    }
    by_turn.sort_by_key(|(turn, _)| *turn);
    by_turn.into_iter().take(count).map(|(_, daemon)| daemon).collect()
}

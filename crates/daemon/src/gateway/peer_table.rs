//! The other daemons that this one knows of: those that it hears, and those that are registered.

use std::{
    cmp::Reverse,
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use dahliaseam_border::kv::Entry;
use dahliaseam_core::{
    time::{Span, Time},
    watcher_election::{HallPeer, PEER_SILENCE_TIMEOUT, Priority},
};
use serde::{Deserialize, Serialize};

/// Time after which a daemon that is neither registered nor heard gets no more reports.
const PEER_FORGET_TIMEOUT: Span = Span::millis(5_000);

/// How a daemon is registered in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Registration {
    /// Where it takes messages.
    pub(super) load: SocketAddr,
    /// Hash of its hall.
    pub(super) hall: u32,
    /// Megabits a second of its link.
    pub(super) link_mbps: u32,
}

/// What another daemon last reported of itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerState {
    pub(super) heard_at: Time,
    /// Its run.
    pub(super) sender: u64,
    /// Where its state can be read.
    pub(super) state_address: SocketAddr,
    /// Revision up to which it has followed the store.
    pub(super) revision: i64,
    /// Hash of its hall.
    pub(super) hall: u32,
    /// Megabits a second of its link.
    pub(super) link_mbps: u32,
    /// When the store last answered it, if it watches the store.
    pub(super) watched_at: Option<Time>,
}

impl PeerState {
    const fn priority(&self) -> Priority {
        Priority { link_mbps: self.link_mbps, run: self.sender }
    }
}

/// Other daemons, by where they take messages.
#[derive(Debug, Default)]
pub(super) struct Peers {
    heard: Mutex<HashMap<SocketAddr, PeerState>>,
    /// Those that are registered in the store, by key.
    registered: Mutex<HashMap<String, Registration>>,
    /// The daemon that last aggregated each other hall, by the hall's hash.
    aggregators: Mutex<HashMap<u32, Aggregator>>,
}

/// A daemon of another hall, known only from what was relayed.
#[derive(Clone, Copy, Debug)]
struct Aggregator {
    /// Where its state can be read.
    state_address: SocketAddr,
    /// Revision up to which it has followed the store.
    revision: i64,
    /// When it was last heard of.
    heard_at: Time,
}

impl Peers {
    /// Where the state of a daemon can be read that has followed the store beyond `revision`.
    ///
    /// It is drawn among those of the hall, so that what a few have learned spreads to all in a few
    /// rounds instead of being asked of one. Another hall is asked only if no peer is ahead: both
    /// watchers of a hall may be cut off at once.
    pub(super) fn ahead_of(&self, revision: i64, hall: u32, random: u64, now: Time) -> Option<SocketAddr> {
        let heard = self.heard();
        let (hall_peers, others): (Vec<&PeerState>, Vec<&PeerState>) =
            heard.values().filter(|peer| peer.revision > revision).partition(|peer| peer.hall == hall);
        // The better link of two that are drawn: small ones are seldom asked, but good ones not by all.
        let pick = |peers: &[&PeerState]| {
            let candidate = |random: u64| peers.get(random as usize % peers.len().max(1));
            let best =
                [candidate(random), candidate(random >> 32)].into_iter().flatten().max_by_key(|peer| peer.link_mbps);
            best.map(|peer| peer.state_address)
        };
        pick(&hall_peers).or_else(|| pick(&others)).or_else(|| self.aggregator_ahead_of(revision, now))
    }

    fn aggregator_ahead_of(&self, revision: i64, now: Time) -> Option<SocketAddr> {
        let aggregators = self.aggregators();
        let ahead = aggregators.values().filter(|aggregator| {
            aggregator.revision > revision && now.since(aggregator.heard_at) < PEER_FORGET_TIMEOUT
        });
        ahead.max_by_key(|aggregator| aggregator.revision).map(|aggregator| aggregator.state_address)
    }

    /// Note which daemon aggregated a hall.
    pub(super) fn record_aggregator(&self, state: PeerState) {
        self.aggregators().insert(
            state.hall,
            Aggregator { state_address: state.state_address, revision: state.revision, heard_at: state.heard_at },
        );
    }

    /// Whether other daemons of a hall are registered.
    pub(super) fn has_hall_peers(&self, hall: u32) -> bool {
        // One registration is this daemon's own.
        self.registered().values().filter(|registration| registration.hall == hall).nth(1).is_some()
    }

    /// The other daemons of a hall that were heard.
    pub(super) fn hall_peers(&self, hall: u32) -> Vec<HallPeer> {
        let heard = self.heard();
        let hall_peers = heard.values().filter(|peer| peer.hall == hall);
        hall_peers
            .map(|peer| HallPeer { priority: peer.priority(), heard_at: peer.heard_at, watched_at: peer.watched_at })
            .collect()
    }

    /// Note what a daemon reported of itself; returns whether it is the first time in its run.
    pub(super) fn record_peer(&self, from: SocketAddr, state: PeerState) -> bool {
        self.heard().insert(from, state).is_none_or(|before| before.sender != state.sender)
    }

    /// Note an entry of the store; those that register no daemon are of no interest here.
    pub(super) fn register(&self, entry: &Entry) {
        if let Ok(registration) = serde_json::from_str::<Registration>(&entry.value) {
            self.registered().insert(entry.key.clone(), registration);
        }
    }

    /// A daemon of a hall that watches the store, drawn among those that are heard.
    pub(super) fn watcher(&self, hall: u32, random: u64, now: Time) -> Option<SocketAddr> {
        let is_watcher = |peer: &PeerState| {
            let follows = peer.watched_at.is_some_and(|at| now.since(at) < PEER_FORGET_TIMEOUT);
            peer.hall == hall && follows && now.since(peer.heard_at) < PEER_SILENCE_TIMEOUT
        };
        let heard = self.heard();
        let mut watchers: Vec<SocketAddr> =
            heard.iter().filter(|(_, peer)| is_watcher(peer)).map(|(address, _)| *address).collect();
        watchers.sort_unstable();
        watchers.get(random as usize % watchers.len().max(1)).copied()
    }

    /// Any daemon of a hall that was heard.
    pub(super) fn any_hall_peer(&self, hall: u32, random: u64) -> Option<SocketAddr> {
        let heard = self.heard();
        let mut hall_peers: Vec<SocketAddr> =
            heard.iter().filter(|(_, peer)| peer.hall == hall).map(|(address, _)| *address).collect();
        hall_peers.sort_unstable();
        hall_peers.get(random as usize % hall_peers.len().max(1)).copied()
    }

    /// Where the daemon that is registered under a key takes messages.
    pub(super) fn address_of(&self, key: &str) -> Option<SocketAddr> {
        self.registered().get(key).map(|registration| registration.load)
    }

    /// Names of the VMs whose daemons are registered, under keys with this prefix.
    pub(super) fn registered_vms(&self, prefix: &str) -> Vec<String> {
        self.registered().keys().filter_map(|key| key.strip_prefix(prefix)).map(str::to_owned).collect()
    }

    /// Daemons that are registered.
    pub(super) fn count_registered(&self) -> usize {
        self.registered().len()
    }

    /// Zero-based rank of a key among those of the registered daemons.
    pub(super) fn rank(&self, key: &str) -> usize {
        self.registered().keys().filter(|other| other.as_str() < key).count()
    }

    /// Note that an entry of the store is gone.
    pub(super) fn deregister(&self, key: &str) {
        self.registered().remove(key);
    }

    /// All other daemons that are registered, or were heard of lately, each with the hash of its hall.
    pub(super) fn all(&self, own: SocketAddr, now: Time) -> Vec<(SocketAddr, u32)> {
        let mut heard = self.heard();
        heard.retain(|_, peer| now.since(peer.heard_at) < PEER_FORGET_TIMEOUT);
        let registered = self.registered();
        let heard = heard.iter().map(|(address, peer)| (*address, peer.hall));
        let known = heard.chain(registered.values().map(|registration| (registration.load, registration.hall)));
        let mut all: Vec<_> = known.filter(|(address, _)| *address != own).collect();
        all.sort_unstable();
        all.dedup_by_key(|(address, _)| *address);
        all
    }

    /// Whether no other daemon of the hall that is heard has a better link.
    pub(super) fn is_aggregator(&self, own: Priority, hall: u32, now: Time) -> bool {
        let heard = self.heard();
        let mut hall_peers =
            heard.values().filter(|peer| peer.hall == hall && now.since(peer.heard_at) < PEER_SILENCE_TIMEOUT);
        hall_peers.all(|peer| peer.priority() < own)
    }

    /// One registered daemon of each other hall, drawn among the better half of links there.
    pub(super) fn one_of_each_hall(&self, own_hall: u32, random: u64) -> Vec<SocketAddr> {
        let mut halls: HashMap<u32, Vec<Registration>> = HashMap::new();
        for registration in self.registered().values().filter(|registration| registration.hall != own_hall) {
            halls.entry(registration.hall).or_default().push(*registration);
        }
        let picked = halls.into_values().map(|mut daemons| {
            daemons.sort_unstable_by_key(|registration| (Reverse(registration.link_mbps), registration.load));
            let better_half = daemons.len().div_ceil(2);
            daemons[random as usize % better_half].load
        });
        picked.collect()
    }

    fn aggregators(&self) -> MutexGuard<'_, HashMap<u32, Aggregator>> {
        self.aggregators.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn registered(&self) -> MutexGuard<'_, HashMap<String, Registration>> {
        self.registered.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn heard(&self) -> MutexGuard<'_, HashMap<SocketAddr, PeerState>> {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

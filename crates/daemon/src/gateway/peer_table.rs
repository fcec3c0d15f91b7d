//! The peers that this daemon knows of: those that it hears, and those that are registered.

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

/// Registration of a daemon in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Registration {
    /// Address for datagrams.
    pub(super) load: SocketAddr,
    /// Hash of its hall.
    pub(super) hall: u32,
    /// Link speed in megabits per second.
    pub(super) link_mbps: u32,
}

/// What a peer last reported of itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerState {
    pub(super) heard_at: Time,
    /// Run identifier.
    pub(super) sender: u64,
    /// Address at which its state can be read.
    pub(super) state_address: SocketAddr,
    /// Revision up to which it has read the store.
    pub(super) revision: i64,
    /// The era in which it compared the store with what was known before.
    pub(super) merged_era: i64,
    /// Hash of its hall.
    pub(super) hall: u32,
    /// Link speed in megabits per second.
    pub(super) link_mbps: u32,
    /// When the store last answered it; `None` if it does not watch the store.
    pub(super) watched_at: Option<Time>,
}

impl PeerState {
    const fn priority(&self) -> Priority {
        Priority { link_mbps: self.link_mbps, run: self.sender }
    }
}

/// Peers, by their address for datagrams.
#[derive(Debug, Default)]
pub(super) struct Peers {
    heard: Mutex<HashMap<SocketAddr, PeerState>>,
    /// Registrations in the store, by key.
    registered: Mutex<HashMap<String, Registration>>,
    /// The daemon that last aggregated each other hall, by the hall's hash.
    aggregators: Mutex<HashMap<u32, Aggregator>>,
}

/// A daemon of another hall, known only from relayed summaries.
#[derive(Clone, Copy, Debug)]
struct Aggregator {
    /// Address at which its state can be read.
    state_address: SocketAddr,
    /// Revision up to which it has read the store.
    revision: i64,
    /// When it was last heard of.
    heard_at: Time,
}

impl Peers {
    /// Address at which the state of a daemon can be read that has read the store beyond `revision`.
    ///
    /// It is chosen at random among the peers of the hall, so that what a few know spreads to all in a few rounds
    /// instead of being requested from one. Another hall is asked only if no peer of the hall is ahead: both watchers
    /// of a hall may lose the store at once.
    pub(super) fn ahead_of(&self, revision: i64, hall: u32, random: u64, now: Time) -> Option<SocketAddr> {
        let heard = self.heard();
        let (hall_peers, others): (Vec<&PeerState>, Vec<&PeerState>) =
            heard.values().filter(|peer| peer.revision > revision).partition(|peer| peer.hall == hall);
        // Of two random candidates, the one with the better link: small links are seldom used, and the best one is not
        // used by all.
        let pick = |peers: &[&PeerState]| {
            let candidate = |random: u64| peers.get(random as usize % peers.len().max(1));
            let best =
                [candidate(random), candidate(random >> 32)].into_iter().flatten().max_by_key(|peer| peer.link_mbps);
            best.map(|peer| peer.state_address)
        };
        pick(&hall_peers).or_else(|| pick(&others)).or_else(|| self.aggregator_ahead_of(revision, now))
    }

    /// Address at which the state of a peer can be read that compared the store with what was known before this era.
    pub(super) fn merged_in(&self, era: i64, now: Time) -> Option<SocketAddr> {
        let heard = self.heard();
        let is_merged = |peer: &&PeerState| peer.merged_era == era && now.since(peer.heard_at) < PEER_SILENCE_TIMEOUT;
        heard.values().filter(is_merged).max_by_key(|peer| peer.revision).map(|peer| peer.state_address)
    }

    fn aggregator_ahead_of(&self, revision: i64, now: Time) -> Option<SocketAddr> {
        let aggregators = self.aggregators();
        let ahead = aggregators.values().filter(|aggregator| {
            aggregator.revision > revision && now.since(aggregator.heard_at) < PEER_FORGET_TIMEOUT
        });
        ahead.max_by_key(|aggregator| aggregator.revision).map(|aggregator| aggregator.state_address)
    }

    /// Records which daemon aggregated a hall.
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

    /// The peers of a hall that were heard.
    pub(super) fn hall_peers(&self, hall: u32) -> Vec<HallPeer> {
        let heard = self.heard();
        let hall_peers = heard.values().filter(|peer| peer.hall == hall);
        hall_peers
            .map(|peer| HallPeer { priority: peer.priority(), heard_at: peer.heard_at, watched_at: peer.watched_at })
            .collect()
    }

    /// Records what a peer reported of itself; returns whether this is the first report of its run.
    pub(super) fn record_peer(&self, from: SocketAddr, state: PeerState) -> bool {
        self.heard().insert(from, state).is_none_or(|before| before.sender != state.sender)
    }

    /// Applies an entry of the store; entries that are not registrations are ignored.
    pub(super) fn register(&self, entry: &Entry) {
        if let Ok(registration) = serde_json::from_str::<Registration>(&entry.value) {
            self.registered().insert(entry.key.clone(), registration);
        }
    }

    /// A random peer of a hall that watches the store and is still heard.
    pub(super) fn watcher(&self, hall: u32, random: u64, now: Time) -> Option<SocketAddr> {
        let is_watcher = |peer: &PeerState| {
            let watches = peer.watched_at.is_some_and(|at| now.since(at) < PEER_FORGET_TIMEOUT);
            peer.hall == hall && watches && now.since(peer.heard_at) < PEER_SILENCE_TIMEOUT
        };
        let heard = self.heard();
        let mut watchers: Vec<SocketAddr> =
            heard.iter().filter(|(_, peer)| is_watcher(peer)).map(|(address, _)| *address).collect();
        watchers.sort_unstable();
        watchers.get(random as usize % watchers.len().max(1)).copied()
    }

    /// A random peer of a hall that was heard.
    pub(super) fn any_hall_peer(&self, hall: u32, random: u64) -> Option<SocketAddr> {
        let heard = self.heard();
        let mut hall_peers: Vec<SocketAddr> =
            heard.iter().filter(|(_, peer)| peer.hall == hall).map(|(address, _)| *address).collect();
        hall_peers.sort_unstable();
        hall_peers.get(random as usize % hall_peers.len().max(1)).copied()
    }

    /// Address for datagrams of the daemon that is registered under a key.
    pub(super) fn address_of(&self, key: &str) -> Option<SocketAddr> {
        self.registered().get(key).map(|registration| registration.load)
    }

    /// Names of the VMs with a registered daemon, taken from keys with this prefix.
    pub(super) fn registered_vms(&self, prefix: &str) -> Vec<String> {
        self.registered().keys().filter_map(|key| key.strip_prefix(prefix)).map(str::to_owned).collect()
    }

    /// Number of registered daemons.
    pub(super) fn count_registered(&self) -> usize {
        self.registered().len()
    }

    /// Zero-based rank of a key among those of the registered daemons.
    pub(super) fn rank(&self, key: &str) -> usize {
        self.registered().keys().filter(|other| other.as_str() < key).count()
    }

    /// Applies the removal of an entry of the store.
    pub(super) fn deregister(&self, key: &str) {
        self.registered().remove(key);
    }

    /// All peers that are registered or were heard recently, each with the hash of its hall.
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

    /// All peers as [`Self::all`] returns them, each with whether it was heard of late.
    pub(super) fn all_with_heard(&self, own: SocketAddr, now: Time) -> Vec<(SocketAddr, u32, bool)> {
        let all = self.all(own, now);
        let heard = self.heard();
        let is_heard =
            |peer: &SocketAddr| heard.get(peer).is_some_and(|peer| now.since(peer.heard_at) < PEER_SILENCE_TIMEOUT);
        all.into_iter().map(|(peer, hall)| (peer, hall, is_heard(&peer))).collect()
    }

    /// Whether this daemon aggregates its hall: no peer of the hall that is still heard has a higher priority.
    pub(super) fn is_aggregator(&self, own: Priority, hall: u32, now: Time) -> bool {
        let heard = self.heard();
        let mut hall_peers =
            heard.values().filter(|peer| peer.hall == hall && now.since(peer.heard_at) < PEER_SILENCE_TIMEOUT);
        hall_peers.all(|peer| peer.priority() < own)
    }

    /// One registered daemon of each other hall, chosen at random among the half with the better links.
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

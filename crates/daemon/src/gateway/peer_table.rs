//! The other daemons that this one knows of: those that it hears, and those that are listed.

use std::{
    cmp::Reverse,
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use dahliaseam_border::kv::Entry;
use dahliaseam_core::time::{Span, Time};
use serde::{Deserialize, Serialize};

/// Daemons of a hall that follow the store; the others learn from them. Each call counts, and
/// one of them may be gone at any time.
const FOLLOWERS: usize = 2;
/// Silence, of a daemon or of the store to it, after which it no longer counts as one that follows.
const FOLLOWER_SILENT: Span = Span::millis(1_000);
/// Silence of the daemon that sums a hall up, after which another one of the hall does.
const SUM_SILENT: Span = Span::millis(1_000);
/// Time after which a daemon that is neither listed nor heard is no longer told anything.
const FORGET: Span = Span::millis(5_000);

/// How a daemon is listed in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Listing {
    /// Where it takes messages.
    pub(super) load: SocketAddr,
    /// Hash of its hall.
    pub(super) hall: u32,
    /// Megabits a second of its link.
    pub(super) link_mbps: u32,
}

/// Order of the daemons of a hall: those with better links do what is done for the hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    pub(super) link_mbps: u32,
    /// The run, so that no two are equal.
    pub(super) run: u64,
}

/// What another daemon last said of itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct Seen {
    pub(super) at: Time,
    /// Its run.
    pub(super) sender: u64,
    /// Where its state can be read.
    pub(super) state: SocketAddr,
    /// Revision up to which it has followed the store.
    pub(super) revision: i64,
    /// Hash of its hall.
    pub(super) hall: u32,
    /// Megabits a second of its link.
    pub(super) link_mbps: u32,
    /// When the store last answered it, if it follows the store.
    pub(super) followed_at: Option<Time>,
}

impl Seen {
    const fn rank(&self) -> Rank {
        Rank { link_mbps: self.link_mbps, run: self.sender }
    }
}

/// Other daemons, by where they take messages.
#[derive(Debug, Default)]
pub(super) struct Peers {
    seen: Mutex<HashMap<SocketAddr, Seen>>,
    /// Those that are listed in the store, by key.
    listed: Mutex<HashMap<String, Listing>>,
}

impl Peers {
    /// Where the state of a daemon can be read that has followed the store beyond `revision`,
    /// best one in the same hall.
    pub(super) fn ahead_of(&self, revision: i64, hall: u32) -> Option<SocketAddr> {
        let seen = self.lock();
        let ahead = seen.values().filter(|peer| peer.revision > revision);
        ahead.max_by_key(|peer| (peer.hall == hall, peer.revision, peer.link_mbps)).map(|peer| peer.state)
    }

    /// Whether enough other daemons of the hall, with better links, follow the store, so that this
    /// one need not. A large configuration goes out to all of the hall from those that do.
    pub(super) fn followed(&self, own: Rank, hall: u32, now: Time) -> bool {
        let fresh = |at: Time| now.since(at) < FOLLOWER_SILENT;
        let seen = self.lock();
        let followers = seen.values().filter(|peer| {
            let following = peer.followed_at.is_some_and(fresh) && fresh(peer.at);
            following && peer.hall == hall && peer.rank() > own
        });
        followers.count() >= FOLLOWERS
    }

    /// Note what a daemon said of itself; returns whether it is the first time.
    pub(super) fn hear(&self, from: SocketAddr, said: Seen) -> bool {
        self.lock().insert(from, said).is_none()
    }

    /// Note an entry of the store; those that list no daemon are of no interest here.
    pub(super) fn list(&self, entry: &Entry) {
        if let Ok(listing) = serde_json::from_str::<Listing>(&entry.value) {
            self.listed().insert(entry.key.clone(), listing);
        }
    }

    /// Daemons that are listed.
    pub(super) fn count_listed(&self) -> usize {
        self.listed().len()
    }

    /// Note that an entry of the store is gone.
    pub(super) fn unlist(&self, key: &str) {
        self.listed().remove(key);
    }

    /// All other daemons that are listed, or were heard of lately, each with the hash of its hall.
    pub(super) fn all(&self, own: SocketAddr, now: Time) -> Vec<(SocketAddr, u32)> {
        let mut seen = self.lock();
        seen.retain(|_, peer| now.since(peer.at) < FORGET);
        let listed = self.listed();
        let heard = seen.iter().map(|(address, peer)| (*address, peer.hall));
        let known = heard.chain(listed.values().map(|listing| (listing.load, listing.hall)));
        let mut all: Vec<_> = known.filter(|(address, _)| *address != own).collect();
        all.sort_unstable();
        all.dedup_by_key(|(address, _)| *address);
        all
    }

    /// Whether no other daemon of the hall that is heard has a better link.
    pub(super) fn sums_up(&self, own: Rank, hall: u32, now: Time) -> bool {
        let seen = self.lock();
        let mut mates = seen.values().filter(|peer| peer.hall == hall && now.since(peer.at) < SUM_SILENT);
        mates.all(|mate| mate.rank() < own)
    }

    /// One listed daemon of each other hall, drawn among the better half of links there.
    pub(super) fn one_of_each_hall(&self, own_hall: u32, draw: u64) -> Vec<SocketAddr> {
        let mut halls: HashMap<u32, Vec<Listing>> = HashMap::new();
        for listing in self.listed().values().filter(|listing| listing.hall != own_hall) {
            halls.entry(listing.hall).or_default().push(*listing);
        }
        let drawn = halls.into_values().map(|mut daemons| {
            daemons.sort_unstable_by_key(|listing| (Reverse(listing.link_mbps), listing.load));
            let better = daemons.len().div_ceil(2);
            daemons[draw as usize % better].load
        });
        drawn.collect()
    }

    fn listed(&self) -> MutexGuard<'_, HashMap<String, Listing>> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

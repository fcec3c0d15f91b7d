//! The network path from this daemon to each replica: its own, or through a peer.
//!
//! A daemon may lose its own paths to replicas that other daemons still reach. As with the indirect probes of SWIM, a
//! replica that this daemon fails to reach is therefore asked for through peers before it counts as unreachable. No
//! number of failures decides: each ejection starts a check, and its result sets the path. While calls go through peers,
//! the own path is checked again from time to time. So is a replica that nobody reached, if a service has no other one:
//! its ejection, which grows with each failure, must not outlast a cut.

use std::net::SocketAddr;

use crate::{
    fleet::{
        Fleet,
        replica::{Replica, ReplicaFacts, ReplicaKey},
    },
    hash::rendezvous,
    time::{Span, Time},
};

/// Number of replicas in a row that only peers reach after which all paths of this VM count as cut. The replicas that are
/// checked are drawn at random, so a cut of some paths has one of them found reachable before.
const FINDINGS_OF_CUT: u32 = 5;
/// Interval between two checks of the own path to a replica that is called through peers.
const RECHECK_INTERVAL: Span = Span::millis(500);

/// The path of calls to a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Path {
    /// A connection from this VM.
    #[default]
    Direct,
    /// A connection from the VM of a peer.
    ThroughPeers,
}

/// What a check of the paths to a replica found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathCheck {
    /// This daemon reaches the replica itself.
    Direct,
    /// Only peers reach it.
    PeersOnly,
    /// Neither this daemon nor a peer is known to reach it.
    Unreachable,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Direct,
    ThroughPeers {
        check_at: Time,
    },
    /// Calls go directly, and the last check reached nobody.
    Unreachable {
        check_at: Time,
    },
}

/// The path to one replica and whether it is being checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathState {
    state: State,
    is_checking: bool,
    /// Whether a connection has failed since the last check.
    lost_connection: bool,
}

impl PathState {
    /// The path that a call takes now.
    #[must_use]
    pub const fn path(&self) -> Path {
        match self.state {
            State::Direct | State::Unreachable { .. } => Path::Direct,
            State::ThroughPeers { .. } => Path::ThroughPeers,
        }
    }

    /// Whether the last check reached nobody.
    #[must_use]
    pub const fn is_unreachable(&self) -> bool {
        matches!(self.state, State::Unreachable { .. })
    }

    /// Has calls go through peers, and the own path checked at the next one.
    const fn use_peers(&mut self, now: Time) {
        if matches!(self.state, State::Direct) {
            self.state = State::ThroughPeers { check_at: now };
        }
    }

    /// Whether a check is running.
    #[must_use]
    pub const fn is_checking(&self) -> bool {
        self.is_checking
    }

    /// Whether the own path is to be checked again.
    #[must_use]
    pub const fn is_check_due(&self, now: Time) -> bool {
        match self.state {
            State::Direct => false,
            State::ThroughPeers { check_at } | State::Unreachable { check_at } => check_at.is_past(now),
        }
    }

    /// Starts a check; returns `false` if one is running.
    pub const fn begin_check(&mut self) -> bool {
        !std::mem::replace(&mut self.is_checking, true)
    }

    /// Ends the running check; returns whether the replica is reached on another path than before, or again.
    pub fn end_check(&mut self, found: PathCheck, now: Time) -> bool {
        self.is_checking = false;
        self.lost_connection = false;
        let before = *self;
        let check_at = now + RECHECK_INTERVAL;
        self.state = match (found, self.state) {
            (PathCheck::Direct, _) => State::Direct,
            (PathCheck::PeersOnly, _) | (PathCheck::Unreachable, State::ThroughPeers { .. }) => {
                State::ThroughPeers { check_at }
            }
            (PathCheck::Unreachable, _) => State::Unreachable { check_at },
        };
        self.path() != before.path() || (before.is_unreachable() && !self.is_unreachable())
    }
}

impl Fleet {
    /// The path that a call to a replica takes now.
    #[must_use]
    pub fn path(&self, facts: &ReplicaFacts) -> Path {
        let replica = self.key(&facts.id).and_then(|key| self.get(key));
        replica.map_or(Path::Direct, |replica| replica.path.path())
    }

    /// Starts a check of the paths to a replica; `None` if it is gone or a check is running.
    pub fn begin_path_check(&mut self, key: ReplicaKey) -> Option<ReplicaFacts> {
        let replica = self.replicas.get_mut(key)?;
        replica.path.begin_check().then(|| replica.facts.clone())
    }

    /// Applies the result of a check; returns whether the replica is reached on another path than before, or again.
    ///
    /// A replica that is reached so is no longer ejected, since its failures were those of the former path.
    pub fn end_path_check(&mut self, key: ReplicaKey, found: PathCheck, now: Time) -> bool {
        let Some(replica) = self.replicas.get_mut(key) else {
            return false;
        };
        let was_lossy = self.loss.is_lossy();
        let is_lost = found != PathCheck::Direct;
        // A connection that fails says nothing about packets unless its replica is reached.
        if is_lost && replica.path.path() == Path::ThroughPeers && was_lossy {
            self.loss.record(true);
        } else if !is_lost && (was_lossy || replica.path.lost_connection) {
            self.loss.record(replica.path.lost_connection);
        }
        let is_lossy = self.loss.is_lossy();
        let found = if is_lossy { PathCheck::PeersOnly } else { found };
        let changed = replica.path.end_check(found, now);
        if changed {
            replica.health.readmit();
        }
        match found {
            PathCheck::Direct => self.cut_findings = 0,
            PathCheck::PeersOnly => self.cut_findings += 1,
            PathCheck::Unreachable => {}
        }
        if self.cut_findings == FINDINGS_OF_CUT || (is_lossy && !was_lossy) {
            self.use_peers_for_all(now);
        }
        changed
    }

    /// Records that a connection of this daemon to a replica was established.
    pub fn record_connection(&mut self) {
        self.loss.record(false);
    }

    /// Records that a connection of this daemon to a replica was not established in time.
    pub fn record_lost_connection(&mut self, facts: &ReplicaFacts) {
        if let Some(replica) = self.key(&facts.id).and_then(|key| self.replicas.get_mut(key)) {
            replica.path.lost_connection = true;
        }
    }

    /// Whether this VM's own paths to replicas lose so many packets that calls go through peers.
    #[must_use]
    pub const fn has_lossy_paths(&self) -> bool {
        self.loss.is_lossy()
    }

    /// Has all replicas called through peers until their own paths are checked, at the next call to each.
    fn use_peers_for_all(&mut self, now: Time) {
        for replica in self.replicas.values_mut() {
            replica.path.use_peers(now);
            replica.health.readmit();
        }
    }

    /// Random replicas of a service that are to be checked again: nobody reached them, or those that were called through
    /// peers are ejected, so that no call has their paths checked.
    #[must_use]
    pub fn sample_unreachable(&self, service: &str, count: usize, draw: u64, now: Time) -> Vec<ReplicaKey> {
        let is_due = |key: &ReplicaKey| {
            self.get(*key).is_some_and(|replica| replica.path.is_check_due(now) && !replica.path.is_checking())
        };
        let keys = self.candidates.all(service).iter().copied().filter(is_due);
        self.sample(keys.collect(), count, draw)
    }

    fn sample(&self, mut keys: Vec<ReplicaKey>, count: usize, draw: u64) -> Vec<ReplicaKey> {
        keys.sort_by_cached_key(|key| self.get(*key).map(|replica| rendezvous(draw, u64::from(replica.start_id))));
        keys.truncate(count);
        keys
    }

    /// Whether a path to a replica of a service is being checked.
    #[must_use]
    pub fn is_checking_paths(&self, service: &str) -> bool {
        let keys = self.candidates.all(service).iter();
        keys.filter_map(|key| self.get(*key)).any(|replica| replica.path.is_checking())
    }

    /// Random replicas that are called on a path and are not being checked.
    #[must_use]
    pub fn sample_on_path(&self, path: Path, count: usize, draw: u64) -> Vec<ReplicaKey> {
        let on_path = self.replicas.iter().filter(|(_, replica)| {
            replica.path.path() == path && !replica.path.is_checking() && replica.gone_at == Time::NEVER
        });
        self.sample(on_path.map(|(key, _)| key).collect(), count, draw)
    }

    /// The replica at an address, if there is one.
    #[must_use]
    pub fn at_address(&self, address: SocketAddr) -> Option<ReplicaKey> {
        let at_address =
            |(_, replica): &(ReplicaKey, &Replica)| replica.facts.address == address && replica.gone_at == Time::NEVER;
        self.replicas.iter().find(at_address).map(|(key, _)| key)
    }

    /// Number of replicas that are called through peers.
    #[must_use]
    pub fn count_through_peers(&self) -> usize {
        let through_peers =
            |replica: &&Replica| replica.path.path() == Path::ThroughPeers && replica.gone_at == Time::NEVER;
        self.replicas.values().filter(through_peers).count()
    }
}

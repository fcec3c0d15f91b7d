//! Election of the daemons of a hall that watch the store for all of it.
//!
//! Each call to the store counts, so two daemons of a hall watch its changes and the others learn from
//! them. A daemon decides alone, by its priority among the hall peers that it hears: it watches when too
//! few peers of higher priority do. A quiet store answers a watcher only at the end of a waiting call,
//! so that a watcher is believed for longer than such a call may take. Daemons that all see the same
//! lack step in one after the other, highest priority first; the first of them ends the lack for the
//! rest.

use crate::time::{Span, Time};

/// Daemons of a hall that watch the store: one of them may be gone at any time.
pub const WATCHERS: usize = 2;
/// Silence after which a hall peer is taken to be gone; daemons send a report every 400 ms at least.
pub const PEER_SILENCE_TIMEOUT: Span = Span::millis(1_000);
/// Time between two daemons that see the same lack, longer than a report of the first takes to the second.
const PRIORITY_DELAY: Span = Span::millis(100);
/// Part of the time allowed for watching again that an election may take.
const ELECTION_SHARE: f64 = 0.5;
/// Part of that time that one waiting call may take. Longer calls are fewer, but a connection that
/// silently died is noticed only at the end of one.
const WAIT_SHARE: f64 = 0.4;
/// What is added to a call's wait before a watcher is no longer believed: the pause before its
/// next call, the time of an answer, and the time until a report of that arrives.
const WATCHER_TIMEOUT_SLACK: Span = Span::millis(1_000);
/// Waits between calls that fail, doubling from the first to the last.
const RETRY_DELAY: (Span, Span) = (Span::millis(50), Span::millis(800));
/// Doublings after which a wait has reached its longest.
const MAX_RETRY_DOUBLINGS: u32 = 4;

/// Order of the daemons of a hall: those with better links do what is done for the hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Megabits a second of the link.
    pub link_mbps: u32,
    /// The run, so that no two are equal.
    pub run: u64,
}

/// What is known of another daemon of the hall.
#[derive(Clone, Copy, Debug)]
pub struct HallPeer {
    /// Its priority.
    pub priority: Priority,
    /// When it was last heard.
    pub heard_at: Time,
    /// When the store last answered it, if it watches the store.
    pub watched_at: Option<Time>,
}

/// Times that elections go by.
#[derive(Clone, Copy, Debug)]
pub struct ElectionTiming {
    /// Time from an undisturbed store on in which a daemon must watch it again.
    pub watch_deadline: Span,
}

/// Whether this daemon is to watch the store itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Election {
    /// When too few peers of higher priority were first seen to watch; absent while enough do.
    shortage_since: Option<Time>,
    /// Calls in a row that failed.
    failures: u32,
    /// Living peers of higher priority.
    higher_peers: usize,
    /// Whether the store has answered since this election was won.
    has_store_answered: bool,
}

impl ElectionTiming {
    /// Longest wait of one call for changes.
    #[must_use]
    pub fn max_wait(self) -> Span {
        Span::seconds(self.watch_deadline.as_seconds() * WAIT_SHARE)
    }

    /// Age of the store's last answer to a watcher up to which that one is believed.
    #[must_use]
    pub fn watcher_timeout(self) -> Span {
        self.max_wait() + WATCHER_TIMEOUT_SLACK
    }

    /// How long an election may take for all daemons together.
    fn max_election_time(self) -> Span {
        Span::seconds(self.watch_deadline.as_seconds() * ELECTION_SHARE)
    }
}

impl Election {
    /// Whether this daemon is elected; `watching` if it watches at present.
    pub fn is_elected(
        &mut self,
        watching: bool,
        own: Priority,
        peers: &[HallPeer],
        timing: ElectionTiming,
        now: Time,
    ) -> bool {
        let higher = peers.iter().filter(|peer| peer.priority > own && now.since(peer.heard_at) < PEER_SILENCE_TIMEOUT);
        let is_watcher = |peer: &&HallPeer| peer.watched_at.is_some_and(|at| now.since(at) < timing.watcher_timeout());
        self.higher_peers = higher.clone().count();
        if !watching {
            self.has_store_answered = false;
        }
        if higher.filter(is_watcher).count() >= WATCHERS {
            self.shortage_since = None;
            return false;
        }
        let shortage_since = *self.shortage_since.get_or_insert(now);
        let before = (self.higher_peers + 1).saturating_sub(WATCHERS) as u64;
        let wait = Span(PRIORITY_DELAY.0 * before);
        watching || (shortage_since + wait.min(timing.max_election_time())).is_past(now)
    }

    /// How long the next call may wait for changes: the first after an election not at all, so that
    /// peers soon hear of an answer and hold none of their own.
    #[must_use]
    pub fn next_wait(&self, timing: ElectionTiming) -> Span {
        if self.has_store_answered { timing.max_wait() } else { Span::default() }
    }

    /// Note that the store answered; returns whether for the first time since this election.
    pub const fn record_answer(&mut self) -> bool {
        self.failures = 0;
        !std::mem::replace(&mut self.has_store_answered, true)
    }

    /// Note that it did not; returns the time until the next call.
    ///
    /// The lower its priority the longer a daemon waits, which bounds the calls of a hall whose store is away. None
    /// waits longer than half of the time in which it must watch the store again, since the store may answer only
    /// that one.
    pub fn record_failure(&mut self, timing: ElectionTiming) -> Span {
        let doubled = Span(RETRY_DELAY.0.0 << self.failures.min(MAX_RETRY_DOUBLINGS)).min(RETRY_DELAY.1);
        self.failures = self.failures.saturating_add(1);
        self.has_store_answered = false;
        let factor = (self.higher_peers / WATCHERS).max(1) as u64;
        Span(doubled.0 * factor).min(timing.max_election_time())
    }
}

//! Election of the daemons of a hall that watch the store on behalf of the hall.
//!
//! Each call to the store has a cost, so only two daemons of a hall watch it for changes and the others learn
//! of the changes from them. Each daemon decides on its own, by its priority among the hall peers that it
//! hears from: it watches if too few peers of higher priority do. A store without changes answers a watcher only at
//! the end of a long poll, so a watcher is trusted for longer than such a call may take. Daemons that see the
//! same shortage start one after the other, highest priority first; the first to succeed ends the shortage for
//! the others.

use crate::time::{Span, Time};

/// Number of watchers per hall: one of them may fail at any time.
pub const WATCHERS: usize = 2;
/// Silence after which a hall peer expires; daemons send a report at least every 400 ms.
pub const PEER_SILENCE_TIMEOUT: Span = Span::millis(1_000);
/// Delay between two daemons that see the same shortage, longer than a report of the first takes to reach the
/// second.
const PRIORITY_DELAY: Span = Span::millis(100);
/// Share of [`ElectionTiming::watch_deadline`] that an election may take.
const ELECTION_SHARE: f64 = 0.5;
/// Share of [`ElectionTiming::watch_deadline`] that one long poll may take. Longer polls need fewer calls, but
/// a connection that was lost silently is noticed only at the end of one.
const WAIT_SHARE: f64 = 0.4;
/// Time added to a long poll before a watcher is no longer trusted: the pause before its next call, the time of
/// an answer, and the time until a report of that arrives.
const WATCHER_TIMEOUT_SLACK: Span = Span::millis(1_000);
/// First and last delay between failing calls; the delay doubles in between.
const RETRY_DELAY: (Span, Span) = (Span::millis(50), Span::millis(800));
/// Number of doublings after which the delay has reached its maximum.
const MAX_RETRY_DOUBLINGS: u32 = 4;

/// Priority of a daemon in its hall: those with faster links do the work for the hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Speed of the link in megabits per second.
    pub link_mbps: u32,
    /// Identifier of the run, which makes priorities unique.
    pub run: u64,
}

/// What is known of another daemon of the hall.
#[derive(Clone, Copy, Debug)]
pub struct HallPeer {
    /// Its priority.
    pub priority: Priority,
    /// When its last report arrived.
    pub heard_at: Time,
    /// When the store last answered it, if it watches the store.
    pub watched_at: Option<Time>,
}

/// Time limits of elections.
#[derive(Clone, Copy, Debug)]
pub struct ElectionTiming {
    /// Time in which a daemon must watch the store again after a disturbance has ended.
    pub watch_deadline: Span,
}

/// State of the election at one daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Election {
    /// Since when too few peers of higher priority are watching; `None` while enough are.
    shortage_since: Option<Time>,
    /// Number of consecutive failed calls.
    failures: u32,
    /// Number of live peers of higher priority.
    higher_peers: usize,
    /// Whether the store has answered since this daemon was elected.
    has_store_answered: bool,
}

impl ElectionTiming {
    /// Maximum wait of one long poll.
    #[must_use]
    pub fn max_wait(self) -> Span {
        Span::seconds(self.watch_deadline.as_seconds() * WAIT_SHARE)
    }

    /// Maximum age of the store's last answer to a watcher that is still trusted.
    #[must_use]
    pub fn watcher_timeout(self) -> Span {
        self.max_wait() + WATCHER_TIMEOUT_SLACK
    }

    /// Maximum time of an election over all daemons.
    fn max_election_time(self) -> Span {
        Span::seconds(self.watch_deadline.as_seconds() * ELECTION_SHARE)
    }
}

impl Election {
    /// Whether this daemon is elected; `watching` tells whether it watches now.
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
        let delay_steps = (self.higher_peers + 1).saturating_sub(WATCHERS) as u64;
        let wait = Span(PRIORITY_DELAY.0 * delay_steps);
        watching || (shortage_since + wait.min(timing.max_election_time())).is_past(now)
    }

    /// Maximum wait of the next call. The first call after an election does not wait, so that peers soon learn
    /// of its answer and do not elect themselves.
    #[must_use]
    pub fn next_wait(&self, timing: ElectionTiming) -> Span {
        if self.has_store_answered { timing.max_wait() } else { Span::default() }
    }

    /// Records an answer of the store and returns whether it is the first since this election.
    pub const fn record_answer(&mut self) -> bool {
        self.failures = 0;
        !std::mem::replace(&mut self.has_store_answered, true)
    }

    /// Records a failed call and returns the delay before the next one.
    ///
    /// Daemons of lower priority wait longer, which bounds the call rate of a hall whose store is unreachable.
    /// No delay exceeds half of the time in which the daemon must watch the store again, since the store may
    /// answer only that daemon.
    pub fn record_failure(&mut self, timing: ElectionTiming) -> Span {
        let doubled = Span(RETRY_DELAY.0.0 << self.failures.min(MAX_RETRY_DOUBLINGS)).min(RETRY_DELAY.1);
        self.failures = self.failures.saturating_add(1);
        self.has_store_answered = false;
        let factor = (self.higher_peers / WATCHERS).max(1) as u64;
        Span(doubled.0 * factor).min(timing.max_election_time())
    }
}

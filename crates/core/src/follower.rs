//! Which daemons of a hall follow the store for all of it.
//!
//! Each call to the store counts, so two daemons of a hall follow its changes and the others learn
//! from them. A daemon decides alone, by its rank among the mates that it hears: it takes a turn
//! when too few mates of better rank follow. A quiet store answers a follower only at the end of a
//! waiting call, so that a follower is believed for longer than such a call may take. Daemons that
//! all see the same lack take their turns one after the other, best rank first; the first of them
//! ends the lack for the rest. With three hundred daemons that followed by turns, calls to the store
//! cost 0.07 of a quiet day's worth and 0.26 of one on which the store turned machines away; with two
//! a hall 0.02 and 0.03.

use crate::time::{Span, Time};

/// Daemons of a hall that follow the store: one of them may be gone at any time.
pub const FOLLOWERS: usize = 2;
/// Silence after which a mate is taken to be gone. Daemons tell each other something every 400 ms.
pub const MATE_SILENT: Span = Span::millis(1_000);
/// Time between the turns of two daemons that see the same lack: some way more than news of the
/// first takes to the second, which is 60 ms in a hall of sixty.
const NEXT_TURN: Span = Span::millis(100);
/// Part of the time allowed for following again that all turns together may take.
const TURNS_SHARE: f64 = 0.5;
/// Part of that time that one waiting call may take. Longer calls are fewer, but a connection that
/// silently died is noticed only at the end of one.
const WAIT_SHARE: f64 = 0.4;
/// What is added to a call's wait before a follower is no longer believed: the pause before its
/// next call, the time of an answer, and the time until news of that arrives.
const BELIEF_SLACK: Span = Span::millis(1_000);
/// Waits between calls that fail, doubling from the first to the last.
const RETRY: (Span, Span) = (Span::millis(50), Span::millis(800));
/// Doublings after which a wait has reached its longest.
const RETRY_DOUBLINGS: u32 = 4;

/// Order of the daemons of a hall: those with better links do what is done for the hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Megabits a second of the link.
    pub link_mbps: u32,
    /// The run, so that no two are equal.
    pub run: u64,
}

/// What is known of another daemon of the hall.
#[derive(Clone, Copy, Debug)]
pub struct Mate {
    /// Its rank.
    pub rank: Rank,
    /// When it was last heard.
    pub heard_at: Time,
    /// When the store last answered it, if it follows the store.
    pub followed_at: Option<Time>,
}

/// Times that the turns go by.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Time from an undisturbed store on in which a daemon must follow it again.
    pub contact: Span,
}

/// Whether this daemon is to follow the store itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turn {
    /// When too few mates of better rank were first seen to follow; absent while enough do.
    lacking_from: Option<Time>,
    /// Calls in a row that failed.
    failures: u32,
    /// Living mates of better rank.
    ahead: usize,
    /// Whether the store has answered since this turn began.
    is_served: bool,
}

impl Terms {
    /// Longest wait of one call for changes.
    #[must_use]
    pub fn wait(self) -> Span {
        Span::seconds(self.contact.as_seconds() * WAIT_SHARE)
    }

    /// Age of the store's last answer to a follower up to which that one is believed.
    #[must_use]
    pub fn believed(self) -> Span {
        self.wait() + BELIEF_SLACK
    }

    /// How long the turns of all daemons together may take.
    fn turns(self) -> Span {
        Span::seconds(self.contact.as_seconds() * TURNS_SHARE)
    }
}

impl Turn {
    /// Whether it is this daemon's turn; `following` if it follows at present.
    pub fn is_due(&mut self, following: bool, own: Rank, mates: &[Mate], terms: Terms, now: Time) -> bool {
        let better = mates.iter().filter(|mate| mate.rank > own && now.since(mate.heard_at) < MATE_SILENT);
        let is_follower = |mate: &&Mate| mate.followed_at.is_some_and(|at| now.since(at) < terms.believed());
        self.ahead = better.clone().count();
        if !following {
            self.is_served = false;
        }
        if better.filter(is_follower).count() >= FOLLOWERS {
            self.lacking_from = None;
            return false;
        }
        let lacking_from = *self.lacking_from.get_or_insert(now);
        let before = (self.ahead + 1).saturating_sub(FOLLOWERS) as u64;
        let wait = Span(NEXT_TURN.0 * before);
        following || (lacking_from + wait.min(terms.turns())).is_past(now)
    }

    /// How long the next call may wait for changes: the first of a turn not at all, so that mates
    /// soon hear of an answer and need no turn of their own.
    #[must_use]
    pub fn next_wait(&self, terms: Terms) -> Span {
        if self.is_served { terms.wait() } else { Span::default() }
    }

    /// Note that the store answered; returns whether for the first time in this turn.
    pub const fn answered(&mut self) -> bool {
        self.failures = 0;
        !std::mem::replace(&mut self.is_served, true)
    }

    /// Note that it did not; returns the time until the next call.
    ///
    /// The lower its rank the longer a daemon waits: sixty of a hall whose store is away call it less
    /// than thirty times a second together. None waits longer than half of the time in which it must
    /// follow the store again, since the store may answer only that one.
    pub fn failed(&mut self, terms: Terms) -> Span {
        let doubled = Span(RETRY.0.0 << self.failures.min(RETRY_DOUBLINGS)).min(RETRY.1);
        self.failures = self.failures.saturating_add(1);
        self.is_served = false;
        let factor = (self.ahead / FOLLOWERS).max(1) as u64;
        Span(doubled.0 * factor).min(terms.turns())
    }
}

//! What is known about one part of prompts.

use std::cmp::Reverse;

use crate::{
    fleet::endings::record::{Crash, Refused, Schedule},
    time::{Span, Time},
};

/// Crashes after which a part is suspected, if different requests were running.
pub(super) const CRASHES_TO_SUSPECT: usize = 2;
/// Requests that must have crashed replicas for their common part to be suspected.
pub(super) const REQUESTS_TO_SUSPECT: usize = 2;
/// Time after an answer in which crashes do not count against its parts: replicas that crash together, as when a rack
/// fails, leave no time for another answer in between.
pub(super) const ANSWER_VALIDITY: Span = Span::millis(500);
/// Maximum number of crashes kept for one part, the newest ones.
const MAX_CRASHES: usize = 16;
/// Maximum number of requests kept for one part, enough to see that they differ.
const MAX_REQUESTS: usize = 4;

/// A run that shows whether a part crashes replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Trial {
    /// Short hash of its request.
    pub(super) request: u32,
    pub(super) until: Time,
    /// Whether it runs at this daemon.
    pub(super) own: bool,
}

/// What is known about one part.
#[derive(Clone, Debug)]
pub(super) struct PartRecord {
    pub(super) crashes: Vec<Crash>,
    /// Short hashes of the requests that were running then.
    pub(super) requests: Vec<u32>,
    /// Whether this daemon itself lost a request with the part.
    pub(super) observed_here: bool,
    /// When an answer last went on.
    pub(super) answered_at: Time,
    /// When an operator last lifted a refusal.
    pub(super) lifted_at: Time,
    pub(super) refused: Option<Refused>,
    pub(super) expired_refusals: u32,
    pub(super) refusal_expired_at: Time,
    pub(super) ambiguous_since: Option<Time>,
    pub(super) trial: Option<Trial>,
    /// Whether the log tells that it is suspected.
    pub(super) is_logged: bool,
    pub(super) expires_at: Time,
    pub(super) to_hall_peers: Schedule,
    pub(super) to_other_halls: Schedule,
}

impl PartRecord {
    pub(super) const fn new(expires_at: Time) -> Self {
        Self {
            crashes: Vec::new(),
            requests: Vec::new(),
            observed_here: false,
            answered_at: Time(0),
            lifted_at: Time(0),
            refused: None,
            expired_refusals: 0,
            refusal_expired_at: Time(0),
            ambiguous_since: None,
            trial: None,
            is_logged: false,
            expires_at,
            to_hall_peers: Schedule::IDLE,
            to_other_halls: Schedule::IDLE,
        }
    }

    /// Time up to which crashes do not count.
    fn cleared_until(&self) -> Time {
        let answered = if self.answered_at == Time(0) { Time(0) } else { self.answered_at + ANSWER_VALIDITY };
        answered.max(self.lifted_at).max(self.refusal_expired_at)
    }

    pub(super) fn has_crash(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|known| known.is_same(crash))
    }

    /// Whether a crash at this time counts.
    pub(super) fn counts(&self, at: Time) -> bool {
        self.cleared_until() < at
    }

    /// Adds a request that was running at a crash.
    pub(super) fn add_request(&mut self, request: u32) {
        if !self.requests.contains(&request) && self.requests.len() < MAX_REQUESTS {
            self.requests.push(request);
        }
    }

    /// Adds a crash; returns whether it is new and counts.
    pub(super) fn add_crash(&mut self, crash: Crash) -> bool {
        if !self.counts(crash.at) || self.has_crash(&crash) {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_unstable_by_key(|crash| Reverse(crash.at));
        self.crashes.truncate(MAX_CRASHES);
        self.has_crash(&crash)
    }

    /// Whether anything counts against the part that an answer would clear.
    pub(super) const fn is_accused(&self) -> bool {
        !self.crashes.is_empty() || self.refused.is_some() || self.expired_refusals > 0
    }

    /// Whether an answer at this time clears the part from crashes.
    pub(super) fn would_clear(&self, answered_at: Time) -> bool {
        self.crashes.iter().any(|crash| crash.at <= answered_at + ANSWER_VALIDITY)
    }

    /// Drops the crashes and the refusal from before the last answer or permission.
    pub(super) fn apply_clearance(&mut self) {
        let until = self.cleared_until();
        self.crashes.retain(|crash| crash.at > until);
        if self.crashes.is_empty() {
            self.requests.clear();
            self.trial = None;
            self.ambiguous_since = None;
            self.expired_refusals = 0;
        }
        self.refused = self.refused.filter(|refused| refused.since > until);
    }

    /// Whether a refusal decided at `since` has been lifted or has expired.
    pub(super) fn refusal_is_over(&self, since: Time) -> bool {
        self.cleared_until() >= since
    }

    /// Whether other daemons must know the record for as long as it is kept.
    pub(super) const fn needs_resending(&self) -> bool {
        self.refused.is_some()
            || (self.crashes.len() >= CRASHES_TO_SUSPECT && self.requests.len() >= REQUESTS_TO_SUSPECT)
    }

    pub(super) const fn schedule_notes(&mut self, now: Time) {
        self.to_hall_peers.start(now);
        self.to_other_halls.start(now);
    }

    pub(super) fn last_crash(&self) -> Time {
        self.crashes.first().map(|crash| crash.at).unwrap_or_default()
    }
}

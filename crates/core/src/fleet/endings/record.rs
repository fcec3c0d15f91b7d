//! What is known of one request.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use crate::{
    fleet::endings::answered::ANSWER_VALIDITY,
    time::{Span, Time},
};

/// Two notes of the same replica within this time are of one end: a replica that ended is back after
/// some seconds, also where it keeps its identifier.
const SAME_CRASH_WINDOW: Span = Span::millis(1_000);
/// Ends that are kept of one request, the newest: twice as many as decide on it, since others may explain half.
const MAX_CRASHES: usize = 8;
/// Times after a change at which it is sent. A lost message is made good by the next: of one in three
/// lost, one in eighty is lost four times.
const SEND_DELAYS: [Span; 4] = [Span(0), Span::millis(50), Span::millis(200), Span::millis(800)];

/// A replica that ended while it had the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    /// Hash of the replica's identifier.
    pub(super) replica: u32,
    /// When, as well as messages tell it.
    pub(super) at: Time,
    /// Whether that is certain to some milliseconds. What stands in the store names times of day, by which machines may be
    /// seconds apart.
    pub(super) precise: bool,
}

impl Crash {
    pub(super) const fn is_same(&self, other: &Self) -> bool {
        let both_precise = self.precise && other.precise;
        self.replica == other.replica && (!both_precise || self.is_within(SAME_CRASH_WINDOW, other))
    }

    /// Whether it was at most so long before or after another.
    pub(super) const fn is_within(&self, span: Span, other: &Self) -> bool {
        let apart = self.at.since(other.at).0 + other.at.since(self.at).0;
        apart <= span.0
    }
}

/// Why and for how long a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Ends that were known when it was decided.
    pub crashes: u32,
    /// When that was.
    pub since: Time,
    /// Until when it holds.
    pub until: Time,
    /// Whether no other request explains these ends as well; then they do not count against others.
    pub unambiguous: bool,
    /// How this daemon knows.
    pub known_by: KnownBy,
}

/// What speaks for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClearReason {
    /// A replica answered it whole.
    Answered,
    /// An operator lets it through.
    #[serde(rename = "LetThrough")]
    AllowedByOperator,
}

/// That something speaks for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Clearance {
    pub(super) at: Time,
    pub(super) reason: ClearReason,
}

impl Clearance {
    /// Until when ends do not count. One that a replica has just answered is not what ends replicas; one that an
    /// operator lets through may be.
    pub(super) fn covers_until(&self) -> Time {
        match self.reason {
            ClearReason::Answered => self.at + ANSWER_VALIDITY,
            ClearReason::AllowedByOperator => self.at,
        }
    }
}

/// How a daemon knows that a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownBy {
    /// It decided so, and lost the request at a replica itself.
    Own,
    /// It decided so by what others told.
    Told,
    /// Another daemon decided so.
    Peer,
    /// It stands in the store.
    Store,
}

impl KnownBy {
    /// Its name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Told => "told",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

/// When a record is sent next.
#[derive(Clone, Copy, Debug)]
pub(super) struct Schedule {
    changed_at: Time,
    sends: usize,
    /// When it was last sent.
    sent_at: Time,
}

impl Schedule {
    /// Nothing is to be sent.
    pub(super) const IDLE: Self = Self { changed_at: Time(0), sends: SEND_DELAYS.len(), sent_at: Time(0) };

    /// Something changed, and is to be sent.
    pub(super) const fn start(&mut self, now: Time) {
        self.changed_at = now;
        self.sends = 0;
    }

    /// Whether a change is still being sent.
    pub(super) const fn is_running(&self) -> bool {
        self.sends < SEND_DELAYS.len()
    }

    /// Whether a change is to be sent now.
    pub(super) fn is_due(&self, now: Time) -> bool {
        SEND_DELAYS.get(self.sends).is_some_and(|after| (self.changed_at + *after).is_past(now))
    }

    /// When it was last sent.
    pub(super) const fn sent_at(&self) -> Time {
        self.sent_at
    }

    /// It was sent.
    pub(super) fn mark_sent(&mut self, now: Time) {
        self.sends = (self.sends + 1).min(SEND_DELAYS.len());
        self.sent_at = now;
    }
}

/// One request under which replicas ended.
#[derive(Clone, Debug)]
pub(super) struct Record {
    /// Replicas that ended under it.
    pub(super) crashes: Vec<Crash>,
    /// Whether this daemon itself lost it so.
    pub(super) observed_here: bool,
    /// Why nothing counts that was known before; absent if nothing speaks for it.
    pub(super) clearance: Option<Clearance>,
    /// Whether it is refused.
    pub(super) refused: Option<Refused>,
    /// How often it was refused until the time was over.
    pub(super) expired_refusals: u32,
    /// When that was last so: who says that it is refused since before has not noticed.
    pub(super) refusal_expired_at: Time,
    /// Until when a run is under way here that tells whether it is to blame.
    pub(super) trial_until: Time,
    /// When it is forgotten.
    pub(super) expires_at: Time,
    /// When hall peers get it.
    pub(super) to_hall_peers: Schedule,
    /// When other halls get it.
    pub(super) to_other_halls: Schedule,
}

impl Record {
    pub(super) const fn new(expires_at: Time) -> Self {
        Self {
            crashes: Vec::new(),
            observed_here: false,
            clearance: None,
            refused: None,
            expired_refusals: 0,
            refusal_expired_at: Time(0),
            trial_until: Time(0),
            expires_at,
            to_hall_peers: Schedule::IDLE,
            to_other_halls: Schedule::IDLE,
        }
    }

    /// Add an end; returns whether it is new.
    pub(super) fn add_crash(&mut self, crash: Crash) -> bool {
        let is_covered = self.clearance.is_some_and(|clearance| clearance.covers_until() >= crash.at);
        let was_counted = self.refusal_expired_at > crash.at;
        if is_covered || was_counted || self.has_crash(&crash) {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_unstable_by_key(|crash| Reverse(crash.at));
        self.crashes.truncate(MAX_CRASHES);
        self.has_crash(&crash)
    }

    /// Whether it was at a replica that ended.
    pub(super) fn has_crash(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|known| known.is_same(crash))
    }

    pub(super) const fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// When the last of its replicas ended.
    pub(super) fn last_crash(&self) -> Time {
        self.crashes.iter().map(|crash| crash.at).max().unwrap_or_default()
    }

    /// Its ends but for these, which explain all of a request that is surely to blame itself.
    pub(super) fn unexplained_crashes(&self, explained: &[Crash]) -> impl Iterator<Item = Crash> {
        let unexplained = self.crashes.iter().filter(move |crash| !explained.iter().any(|other| other.is_same(crash)));
        unexplained.copied()
    }

    /// Something changed that all others must know.
    pub(super) const fn schedule_notes(&mut self, now: Time) {
        self.to_hall_peers.start(now);
        self.to_other_halls.start(now);
    }

    /// Something speaks for it: what was known before does not count.
    pub(super) fn clear(&mut self, clearance: Clearance) {
        self.clearance = Some(clearance);
        self.crashes.retain(|crash| crash.at > clearance.covers_until());
        self.refused = self.refused.filter(|refused| refused.since > clearance.covers_until());
        self.trial_until = Time(0);
    }

    /// Whether a refusal that holds since then was lifted, or is past its time, since.
    pub(super) fn refusal_is_over(&self, since: Time) -> bool {
        self.refusal_expired_at >= since || self.clearance.is_some_and(|clearance| clearance.covers_until() >= since)
    }

    /// Whether others must know it for as long as it is known.
    pub(super) const fn needs_resending(&self) -> bool {
        self.refused.is_some() || self.crash_count() >= 2
    }
}

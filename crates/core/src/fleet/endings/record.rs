//! What is known about one request.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use crate::{
    fleet::endings::answered::ANSWER_VALIDITY,
    time::{Span, Time},
};

/// Two reports on the same replica within this time are about one crash: a replica takes some seconds to restart,
/// even if it keeps its identifier.
const SAME_CRASH_WINDOW: Span = Span::millis(1_000);
/// Maximum number of crashes kept for one request, the newest ones: enough to refuse it in an ambiguous case even if
/// other requests explain half of them.
const MAX_CRASHES: usize = 8;
/// Delays after a change at which it is sent. Each send makes up for a lost one before it: if one in three messages
/// is lost, one change in eighty is lost four times.
const SEND_DELAYS: [Span; 4] = [Span(0), Span::millis(50), Span::millis(200), Span::millis(800)];

/// The crash of a replica that was running the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    /// The replica's `start_id`.
    pub(super) replica: u32,
    /// Time of the crash, as exactly as messages state it.
    pub(super) at: Time,
    /// Whether the time is exact to some milliseconds. Entries in the store have wall-clock times, and the clocks of
    /// machines may differ by seconds.
    pub(super) precise: bool,
}

impl Crash {
    pub(super) const fn is_same(&self, other: &Self) -> bool {
        let both_precise = self.precise && other.precise;
        self.replica == other.replica && (!both_precise || self.is_within(SAME_CRASH_WINDOW, other))
    }

    /// Whether the other crash was at most `span` earlier or later.
    pub(super) const fn is_within(&self, span: Span, other: &Self) -> bool {
        let distance = self.at.since(other.at).0 + other.at.since(self.at).0;
        distance <= span.0
    }
}

/// Why and for how long a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Number of crashes known at the decision.
    pub crashes: u32,
    /// Time of the decision.
    pub since: Time,
    /// Time at which the refusal expires.
    pub until: Time,
    /// Whether no other request explains these crashes as well. If so, they count little against other requests.
    pub unambiguous: bool,
    /// How this daemon knows of the refusal.
    pub known_by: KnownBy,
}

/// Why a request was cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClearReason {
    /// A replica answered it completely.
    Answered,
    /// An operator lifted the refusal.
    #[serde(rename = "LetThrough")]
    AllowedByOperator,
}

/// Clearance of a request from earlier crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Clearance {
    pub(super) at: Time,
    pub(super) reason: ClearReason,
}

impl Clearance {
    /// Time up to which crashes do not count.
    ///
    /// A request that was just answered does not crash replicas, so an answer also covers a period after it. A request
    /// that an operator allows may still crash them.
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
    /// This daemon decided it, and itself lost the request in a crash.
    Own,
    /// This daemon decided it from the reports of others.
    PeerReports,
    /// Another daemon decided it.
    Peer,
    /// It is in the store.
    Store,
}

impl KnownBy {
    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::PeerReports => "told",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

/// When a change of a record is sent, and sent again.
#[derive(Clone, Copy, Debug)]
pub(super) struct Schedule {
    changed_at: Time,
    sends: usize,
    sent_at: Time,
}

impl Schedule {
    /// There is nothing to send.
    pub(super) const IDLE: Self = Self { changed_at: Time(0), sends: SEND_DELAYS.len(), sent_at: Time(0) };

    /// Starts to send a change.
    pub(super) const fn start(&mut self, now: Time) {
        self.changed_at = now;
        self.sends = 0;
    }

    /// Whether some sends of the last change are still to come.
    pub(super) const fn is_running(&self) -> bool {
        self.sends < SEND_DELAYS.len()
    }

    pub(super) fn is_due(&self, now: Time) -> bool {
        SEND_DELAYS.get(self.sends).is_some_and(|after| (self.changed_at + *after).is_past(now))
    }

    pub(super) const fn sent_at(&self) -> Time {
        self.sent_at
    }

    pub(super) fn mark_sent(&mut self, now: Time) {
        self.sends = (self.sends + 1).min(SEND_DELAYS.len());
        self.sent_at = now;
    }
}

/// What is known about one request during which replicas crashed.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) crashes: Vec<Crash>,
    /// Whether this daemon itself lost the request in a crash.
    pub(super) observed_here: bool,
    /// Why earlier crashes and refusals do not count; `None` if the request was not cleared.
    pub(super) clearance: Option<Clearance>,
    pub(super) refused: Option<Refused>,
    /// Number of refusals that expired.
    pub(super) expired_refusals: u32,
    /// When a refusal last expired. A daemon that reports an earlier one has not noticed that it is over.
    pub(super) refusal_expired_at: Time,
    /// Time until which a trial is running at this daemon.
    pub(super) trial_until: Time,
    /// When this record is removed.
    pub(super) expires_at: Time,
    /// Reports to hall peers.
    pub(super) to_hall_peers: Schedule,
    /// Reports to other halls.
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

    /// Adds a crash; returns whether it is new and counts against the request.
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

    /// Whether the request was running on the replica that crashed.
    pub(super) fn has_crash(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|known| known.is_same(crash))
    }

    pub(super) const fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Time of the last crash.
    pub(super) fn last_crash(&self) -> Time {
        self.crashes.iter().map(|crash| crash.at).max().unwrap_or_default()
    }

    /// The crashes that are not among `explained`. These include all crashes of a request that was itself refused
    /// unambiguously.
    pub(super) fn unexplained_crashes(&self, explained: &[Crash]) -> impl Iterator<Item = Crash> {
        let unexplained = self.crashes.iter().filter(move |crash| !explained.iter().any(|other| other.is_same(crash)));
        unexplained.copied()
    }

    /// Schedules reports of a change to all other daemons.
    pub(super) const fn schedule_notes(&mut self, now: Time) {
        self.to_hall_peers.start(now);
        self.to_other_halls.start(now);
    }

    /// Clears the request: drops the crashes and the refusal that the clearance covers.
    pub(super) fn clear(&mut self, clearance: Clearance) {
        self.clearance = Some(clearance);
        self.crashes.retain(|crash| crash.at > clearance.covers_until());
        self.refused = self.refused.filter(|refused| refused.since > clearance.covers_until());
        self.trial_until = Time(0);
    }

    /// Whether a refusal decided at `since` has been lifted or has expired.
    pub(super) fn refusal_is_over(&self, since: Time) -> bool {
        self.refusal_expired_at >= since || self.clearance.is_some_and(|clearance| clearance.covers_until() >= since)
    }

    /// Whether other daemons must know the record for as long as it is kept.
    pub(super) const fn needs_resending(&self) -> bool {
        self.refused.is_some() || self.crash_count() >= 2
    }
}

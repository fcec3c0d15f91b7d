//! Rate limits of replicas, and their division among the daemons.
//!
//! A replica may state in its responses how many requests per second it accepts from all daemons combined. Time is
//! divided into that many slots per second, which are assigned to the daemons in rotation. The owner of a slot may send
//! one request within `SLOT_LIFETIME` of its start. Unused slots expire, so idle daemons cannot accumulate a burst.
//! Each daemon computes its slots from the time of day, the number of daemons and its own rank, without coordination.
//!
//! Daemons report the latest limits that replicas stated to them, with their age; the most recent one applies.
//! Limits learned from a report are not reported again within the hall, so relaying cannot make an old limit look new.

use serde::{Deserialize, Serialize};

use crate::time::{Span, Time};

/// Time after the start of a slot during which its owner may use it.
const SLOT_LIFETIME: Span = Span::millis(500);
/// Minimum rate at which requests are sent, in requests per second. A limit is lifted only by a response, so a limit of
/// zero must still let some requests through.
const MIN_PER_SECOND: f64 = 0.1;
/// Time for which a lifted limit is reported.
const LIFTED_REPORT_PERIOD: Span = Span::millis(5_000);
/// Maximum rounding error of a slot's start, in microseconds; keeps a used slot from being computed as the next one.
const ROUNDING_MICROS: f64 = 2.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// Determines which slots of a rate limit belong to this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RateLimitShare {
    /// Number of daemons that share the limits, including this one.
    pub(super) daemons: u64,
    /// Zero-based rank of this daemon among them.
    pub(super) rank: u64,
    /// Offset from the local clock to the time of day, which is common to all daemons.
    pub(super) clock_offset: Span,
    /// Time of day at which `daemons` or `rank` last changed. Another daemon may have used earlier slots.
    pub(super) changed_at: Time,
}

/// A replica's rate limit as reported by a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimitNote {
    /// The replica's `start_id`.
    pub replica: u32,
    /// Requests per second, or `None` if the limit was lifted.
    pub per_second: Option<f64>,
    /// Age of this information in milliseconds.
    pub age_ms: u32,
}

/// Source of the current state of a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Origin {
    /// No response or report yet.
    #[default]
    Unknown,
    /// A response to this daemon.
    Own,
    /// A report from another daemon in this hall.
    HallPeer,
    /// A report from another hall.
    OtherHall,
}

/// The most recently stated rate limit of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RateLimit {
    per_second: Option<f64>,
    /// Time at which the limit was last stated, or at which the request was sent whose response lifted it.
    known_at: Time,
    origin: Origin,
    /// Start of the last used slot, as time of day.
    last_slot: Time,
}

impl RateLimit {
    /// Updates the limit from the response to a request that was sent at `sent_at`; returns whether the limit changed.
    pub(super) fn update_from_response(
        &mut self,
        per_second: Option<f64>,
        sent_at: Time,
        share: RateLimitShare,
        now: Time,
    ) -> bool {
        match per_second {
            Some(_) => self.set(per_second, now, Origin::Own, share, now),
            // The response to an earlier request may predate the limit.
            None if self.per_second.is_some() && sent_at >= self.known_at => {
                self.set(None, sent_at, Origin::Own, share, now)
            }
            None => false,
        }
    }

    /// Updates the limit from the report of a peer if it is newer; returns whether the limit changed.
    pub(super) fn update_from_report(
        &mut self,
        note: &RateLimitNote,
        in_hall: bool,
        share: RateLimitShare,
        now: Time,
    ) -> bool {
        let known_at = now - Span::millis(u64::from(note.age_ms));
        if known_at <= self.known_at {
            return false;
        }
        let per_second = note.per_second.filter(|rate| rate.is_finite() && *rate >= 0.0);
        let origin = if in_hall { Origin::HallPeer } else { Origin::OtherHall };
        self.set(per_second, known_at, origin, share, now)
    }

    fn set(
        &mut self,
        per_second: Option<f64>,
        known_at: Time,
        origin: Origin,
        share: RateLimitShare,
        now: Time,
    ) -> bool {
        if self.per_second.is_none() {
            self.last_slot = now + share.clock_offset;
        }
        let changed = self.per_second != per_second;
        self.per_second = per_second;
        self.known_at = known_at;
        self.origin = origin;
        changed
    }

    /// Whether a limit is in force.
    pub(super) const fn is_limited(&self) -> bool {
        self.per_second.is_some()
    }

    /// Requests per second that the replica accepts, or `None` if it states no limit.
    pub(super) const fn per_second(&self) -> Option<f64> {
        self.per_second
    }

    /// Whether this daemon reports the limit within its hall, or to other halls if `to_halls` is set.
    pub(super) fn is_reportable(&self, to_halls: bool, now: Time) -> bool {
        let is_own = self.origin == Origin::Own || (to_halls && self.origin == Origin::HallPeer);
        is_own && (self.is_limited() || now.since(self.known_at) < LIFTED_REPORT_PERIOD)
    }

    /// The report entry for this limit of `replica`.
    pub(super) fn note(&self, replica: u32, now: Time) -> RateLimitNote {
        let age_ms = now.since(self.known_at).as_millis() as u32;
        RateLimitNote { replica, per_second: self.per_second, age_ms }
    }

    /// Takes a slot for one request; returns whether the request may be sent.
    pub(super) fn take_slot(&mut self, replica: u32, share: RateLimitShare, now: Time) -> bool {
        let Some(slot) = self.next_slot(replica, share, now) else {
            return true;
        };
        let has_started = slot <= now + share.clock_offset;
        if has_started {
            self.last_slot = slot;
        }
        has_started
    }

    /// Time until this daemon may send a request; zero if no limit is in force.
    pub(super) fn time_until_slot(&self, replica: u32, share: RateLimitShare, now: Time) -> Span {
        self.next_slot(replica, share, now).map_or(Span(0), |slot| slot.since(now + share.clock_offset))
    }

    /// Start of the first slot of this daemon that is neither used nor expired, as time of day; `None` if no limit is
    /// in force.
    fn next_slot(&self, replica: u32, share: RateLimitShare, now: Time) -> Option<Time> {
        let interval = MICROS_PER_SECOND / self.per_second?.max(MIN_PER_SECOND);
        let daemons = share.daemons.max(1);
        // The rotation is offset per replica, so that a daemon's slots at several replicas do not coincide.
        let first = (share.rank + u64::from(replica)) % daemons;
        let (own_interval, first) = (interval * daemons as f64, interval * first as f64);
        let time_of_day = now + share.clock_offset;
        // Times in the future were recorded before the clock was set back; they would block all slots until then.
        let past_times = [self.last_slot, share.changed_at].into_iter().filter(|time| *time <= time_of_day);
        let after = past_times.fold(time_of_day - SLOT_LIFETIME, Time::max);
        let number = ((after.0 as f64 + ROUNDING_MICROS - first) / own_interval).floor() + 1.0;
        Some(Time((number * own_interval + first).ceil() as u64))
    }
}

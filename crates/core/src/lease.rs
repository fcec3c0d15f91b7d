//! Authority that is bounded by a lease.
//!
//! The deadline is counted from before the renewal was sent and shortened by a margin for drift,
//! so the holder stops believing before the key-value service can give the lease to another.

use crate::time::{Span, Time};

/// Part of a lease's length that is kept as a margin for clock drift.
const DRIFT_DIVISOR: u64 = 10;

/// The holder's own view of its lease and fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Authority {
    epoch: u64,
    until: Time,
}

impl Authority {
    /// Authority under `epoch` from a grant or renewal sent at `sent`, for `ttl`.
    #[must_use]
    pub fn granted(epoch: u64, sent: Time, ttl: Span) -> Self {
        Self { epoch, until: sent + Span(ttl.0 - ttl.0 / DRIFT_DIVISOR) }
    }

    /// Extend after a renewal that was sent at `sent` and confirmed for `ttl`.
    pub fn renewed(&mut self, sent: Time, ttl: Span) {
        let until = Self::granted(self.epoch, sent, ttl).until;
        self.until = self.until.max(until);
    }

    /// The fencing number.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The time after which nothing may be ordered.
    #[must_use]
    pub const fn until(&self) -> Time {
        self.until
    }

    /// Whether orders may still be given at `now`.
    #[must_use]
    pub const fn holds(&self, now: Time) -> bool {
        !self.until.is_past(now)
    }
}

/// The highest fencing number seen by one that obeys orders or marks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fence {
    highest: u64,
}

impl Fence {
    /// Admit a message under `epoch` unless a higher one has been seen.
    pub fn admit(&mut self, epoch: u64) -> bool {
        let admitted = epoch >= self.highest;
        if admitted {
            self.highest = epoch;
        }
        admitted
    }

    /// The highest number seen.
    #[must_use]
    pub const fn highest(&self) -> u64 {
        self.highest
    }
}

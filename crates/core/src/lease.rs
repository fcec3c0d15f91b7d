//! Authority bounded by a lease.
//!
//! The deadline is counted from before the grant or renewal was sent and shortened by a margin for clock drift,
//! so that the holder stops before the key-value service can give the lease to another process.

use crate::time::{Span, Time};

/// Divisor of the lease duration that gives the margin for clock drift.
const DRIFT_DIVISOR: u64 = 10;

/// A lease and its fencing number, as its holder sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Authority {
    epoch: u64,
    until: Time,
}

impl Authority {
    /// Creates the authority of `epoch` from a grant or renewal that was sent at `sent` and lasts for `ttl`.
    #[must_use]
    pub fn granted(epoch: u64, sent: Time, ttl: Span) -> Self {
        Self { epoch, until: sent + Span(ttl.0 - ttl.0 / DRIFT_DIVISOR) }
    }

    /// Extends the authority after a renewal that was sent at `sent` and confirmed for `ttl`.
    pub fn renewed(&mut self, sent: Time, ttl: Span) {
        let until = Self::granted(self.epoch, sent, ttl).until;
        self.until = self.until.max(until);
    }

    /// Fencing number.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Time from which no orders may be given.
    #[must_use]
    pub const fn until(&self) -> Time {
        self.until
    }

    /// Whether orders may be given at `now`.
    #[must_use]
    pub const fn holds(&self, now: Time) -> bool {
        !self.until.is_past(now)
    }
}

/// Highest fencing number seen by a receiver of fenced messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fence {
    highest: u64,
}

impl Fence {
    /// Accepts a message with the number `epoch` unless a higher one has been seen; returns whether it does.
    pub fn admit(&mut self, epoch: u64) -> bool {
        let admitted = epoch >= self.highest;
        if admitted {
            self.highest = epoch;
        }
        admitted
    }

    /// Highest fencing number seen.
    #[must_use]
    pub const fn highest(&self) -> u64 {
        self.highest
    }
}

//! Points in time and time spans.
//!
//! The core has no clock. The driver reads one that continues during a suspend, and passes in the time. State
//! holds the [`Time`] at which something is due, never a [`Span`].

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// A reading of the driver's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Time(pub u64);

/// A length of time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span(pub u64);

impl Time {
    /// The latest representable time.
    pub const NEVER: Self = Self(u64::MAX);

    /// Time since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// Whether this time has been reached at `now`.
    #[must_use]
    pub const fn is_past(self, now: Self) -> bool {
        now.0 >= self.0
    }
}

impl Span {
    /// Creates a span of whole milliseconds.
    #[must_use]
    pub const fn millis(n: u64) -> Self {
        Self(n.saturating_mul(MICROS_PER_MILLI))
    }

    /// Creates a span from seconds; negative values and NaN give zero.
    #[must_use]
    pub fn seconds(n: f64) -> Self {
        Self((n.max(0.0) * MICROS_PER_SECOND) as u64)
    }

    /// This span in seconds.
    #[must_use]
    pub fn as_seconds(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// This span in milliseconds, with a fraction.
    #[must_use]
    pub fn as_millis_f64(self) -> f64 {
        self.as_seconds() * 1_000.0
    }

    /// This span in whole milliseconds, rounded down.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }
}

impl Add<Span> for Time {
    type Output = Self;
    fn add(self, rhs: Span) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Add for Span {
    type Output = Self;
    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl Sub<Span> for Time {
    type Output = Self;
    fn sub(self, rhs: Span) -> Self {
        Self(self.0.saturating_sub(rhs.0))
    }
}

//! Short-term and long-term averages of the demand for prefill and decode.

use serde::{Deserialize, Serialize};

use crate::time::{Span, Time};

/// Time constant of the short-term average.
pub const SHORT_TIME_CONSTANT: Span = Span::millis(10_000);
/// Time constant of the long-term average.
pub const LONG_TIME_CONSTANT: Span = Span::millis(120_000);

/// Demand in tokens per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TokenDemand {
    /// Prompt tokens per second that need prefill.
    pub prefill: f64,
    /// Output tokens per second.
    pub decode: f64,
}

impl TokenDemand {
    /// Sum of two demands.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { prefill: self.prefill + other.prefill, decode: self.decode + other.decode }
    }

    fn decayed(self, factor: f64) -> Self {
        Self { prefill: self.prefill * factor, decode: self.decode * factor }
    }
}

/// Exponential averages of the demand for one pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandAverages {
    short: TokenDemand,
    long: TokenDemand,
    updated_at: Time,
}

impl DemandAverages {
    /// Adds the tokens of a request that arrived at `now`.
    pub fn add_request(&mut self, prefill: u32, decode: u32, now: Time) {
        self.decay(now);
        let add = |avg: TokenDemand, tau: Span| TokenDemand {
            prefill: avg.prefill + f64::from(prefill) / tau.as_seconds(),
            decode: avg.decode + f64::from(decode) / tau.as_seconds(),
        };
        self.short = add(self.short, SHORT_TIME_CONSTANT);
        self.long = add(self.long, LONG_TIME_CONSTANT);
    }

    /// Short-term average at `now`.
    #[must_use]
    pub fn short(&self, now: Time) -> TokenDemand {
        self.short.decayed(factor(now.since(self.updated_at), SHORT_TIME_CONSTANT))
    }

    /// Long-term average at `now`.
    #[must_use]
    pub fn long(&self, now: Time) -> TokenDemand {
        self.long.decayed(factor(now.since(self.updated_at), LONG_TIME_CONSTANT))
    }

    fn decay(&mut self, now: Time) {
        self.short = self.short(now);
        self.long = self.long(now);
        self.updated_at = now;
    }
}

fn factor(age: Span, tau: Span) -> f64 {
    (-age.as_seconds() / tau.as_seconds()).exp()
}

//! Token bucket for rate limits.

use crate::time::{Span, Time};

/// A token bucket with a steady refill rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` tokens that regains `rate` tokens per second.
    #[must_use]
    pub const fn new(rate: f64, burst: f64, now: Time) -> Self {
        Self { rate, burst, tokens: burst, updated_at: now }
    }

    /// Creates a bucket that was empty at the given time.
    #[must_use]
    pub const fn empty(rate: f64, burst: f64, at: Time) -> Self {
        Self { rate, burst, tokens: 0.0, updated_at: at }
    }

    /// Changes rate and burst and keeps the current tokens, up to the new burst.
    pub fn resize(&mut self, rate: f64, burst: f64, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Takes `n` tokens if available and returns whether it did.
    pub fn take(&mut self, n: f64, now: Time) -> bool {
        self.refill(now);
        let enough = self.tokens >= n;
        if enough {
            self.tokens -= n;
        }
        enough
    }

    /// Earliest time at which `n` tokens are available, ignoring the burst; [`Time::NEVER`] without a refill.
    #[must_use]
    pub fn available_at(&self, n: f64, now: Time) -> Time {
        let missing = n - self.tokens_at(now);
        if missing <= 0.0 {
            return now;
        }
        if self.rate <= 0.0 {
            return Time::NEVER;
        }
        now + Span::seconds(missing / self.rate)
    }

    /// Whether the bucket is full.
    #[must_use]
    pub fn is_full(&self, now: Time) -> bool {
        self.tokens_at(now) >= self.burst
    }

    /// Time in which an empty bucket fills up.
    #[must_use]
    pub fn fill_time(&self) -> Span {
        if self.rate > 0.0 { Span::seconds(self.burst / self.rate) } else { Span(u64::MAX) }
    }

    /// Tokens available at `now`.
    #[must_use]
    pub fn tokens_at(&self, now: Time) -> f64 {
        let gained = now.since(self.updated_at).as_seconds() * self.rate;
        (self.tokens + gained).min(self.burst)
    }

    fn refill(&mut self, now: Time) {
        self.tokens = self.tokens_at(now);
        self.updated_at = now;
    }
}

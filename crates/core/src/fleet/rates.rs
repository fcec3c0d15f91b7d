//! How fast the engines of a service read prompts, learned from what they did.

use crate::time::Span;

/// Tokens read in a millisecond before anything is learned.
const FIRST_GUESS: f64 = 200.0;
/// Milliseconds of each read that do not depend on its size, before anything is learned.
const BASE_MS: f64 = 6.0;
/// Smallest read that says something about the rate, in tokens.
const TELLING_TOKENS: f64 = 800.0;
/// Weight of a new observation, once there are many.
const LEARN: f64 = 0.05;
/// Bounds on one observation against the present rate.
const OUTLIER: f64 = 4.0;

/// The learned rate of the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct ReadRate {
    tokens_per_ms: f64,
    seen: u32,
}

impl Default for ReadRate {
    fn default() -> Self {
        Self { tokens_per_ms: FIRST_GUESS, seen: 0 }
    }
}

impl ReadRate {
    /// Milliseconds of an idle engine's work to read `tokens`.
    #[must_use]
    pub fn work_ms(&self, tokens: u32) -> f64 {
        BASE_MS + f64::from(tokens) / self.tokens_per_ms
    }

    /// Learn from a read of `tokens` by an engine that had nothing else to read.
    pub fn learn(&mut self, tokens: u32, took: Span) {
        let tokens = f64::from(tokens);
        let spent = took.as_seconds() * 1_000.0 - BASE_MS;
        if tokens < TELLING_TOKENS || spent <= 0.0 {
            return;
        }
        let seen = (tokens / spent).clamp(self.tokens_per_ms / OUTLIER, self.tokens_per_ms * OUTLIER);
        self.seen += 1;
        let weight = LEARN.max(1.0 / f64::from(self.seen + 1));
        self.tokens_per_ms += weight * (seen - self.tokens_per_ms);
    }

    /// Tokens read in a millisecond.
    #[must_use]
    pub const fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }
}

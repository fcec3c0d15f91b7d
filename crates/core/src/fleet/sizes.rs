//! Whether large prompts are admitted as often as others, and what evens that out.
//!
//! A prompt is in time if the work ahead of it and its own reading are. Where more is asked than engines can
//! read, small ones fill the queue to where none that takes long itself is in time any more. So the
//! less often large ones are admitted, the more each prompt is judged by the work ahead alone, as if all took as long as a large
//! one.

use crate::fleet::engine::{running_mean::RunningMean, running_quantile::RunningQuantile};

/// Share of the prompts that are not large.
const NOT_LARGE: f64 = 0.9;
/// Tokens of a large prompt before any was seen.
const TOKENS_GUESS: f64 = 8_000.0;
/// Milliseconds of reading that a large one takes before any was seen.
const READING_GUESS_MS: f64 = 40.0;
/// Least weight of a large prompt in how often they are admitted: some twenty of them count.
const LEARN_LARGE: f64 = 0.05;
/// The same of any prompt, for the same time.
const LEARN_ALL: f64 = 0.005;
/// By how much less often large ones are admitted, as a part of all, when the work ahead alone counts.
const ENOUGH: f64 = 0.6;
const FULL_AT: f64 = 0.1;
/// Beyond that a large one's own reading counts for it, up to this many times: small ones have more ways to be read.
/// With up to 1 of 1.3 to 2.2 times the load that engines can bear 0.67 to 0.8 times as many of the largest tenth as of all are
/// served, with up to 2 0.77 to 0.83; without any of this 0.11 to 0.51 (emulation).
const MOST: f64 = 2.0;
/// Part of the time in which a prompt is in time that a large one's reading counts at most: engines that are too
/// slow for these still read the others.
const MOST_SHARE: f64 = 0.35;

/// What is seen of the sizes of a service's prompts.
#[derive(Clone, Copy, Debug)]
pub(super) struct SizeBalance {
    tokens: RunningQuantile,
    reading_ms: RunningQuantile,
    large: RunningMean,
    all: RunningMean,
}

impl Default for SizeBalance {
    fn default() -> Self {
        Self {
            tokens: RunningQuantile::new(TOKENS_GUESS, NOT_LARGE),
            reading_ms: RunningQuantile::new(READING_GUESS_MS, NOT_LARGE),
            large: RunningMean::new(1.0, LEARN_LARGE),
            all: RunningMean::new(1.0, LEARN_ALL),
        }
    }
}

impl SizeBalance {
    /// Note a prompt, what its reading takes an idle engine, and whether it is admitted.
    pub(super) fn note(&mut self, tokens: u32, reading_ms: f64, admitted: bool) {
        let seen = f64::from(u8::from(admitted));
        if f64::from(tokens) > self.tokens.value() {
            self.large.learn(seen);
        }
        self.all.learn(seen);
        self.tokens.learn(f64::from(tokens));
        self.reading_ms.learn(reading_ms);
    }

    /// Milliseconds by which a prompt is judged that is predicted to take `predicted_ms`, `own_ms` of these for its
    /// own reading, where `in_time_ms` would be in time.
    pub(super) fn judged_ms(&self, predicted_ms: f64, own_ms: f64, in_time_ms: f64) -> f64 {
        let alike_ms = self.reading_ms.value().min(in_time_ms * MOST_SHARE);
        let evening = self.evening();
        // Small ones are never held for more than the time of a large one.
        let evening = if own_ms < alike_ms { evening.min(1.0) } else { evening };
        predicted_ms + (alike_ms - own_ms) * evening
    }

    /// How much sizes are evened out, of one.
    fn evening(&self) -> f64 {
        let all = self.all.value();
        let missing = all * ENOUGH - self.large.value();
        (missing / (all * FULL_AT).max(f64::EPSILON)).clamp(0.0, MOST)
    }
}

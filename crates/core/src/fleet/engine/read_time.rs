//! What reading a prompt takes, learned from what engines did.
//!
//! The time grows with the tokens that are read, and with the pairs of a token that is read and
//! one before it, since each attends to all before. A decode engine reads in smaller pieces
//! between the steps of its answers; how many times as long that takes is learned apart.

use crate::{
    fleet::engine::{least_squares::LeastSquares, running_mean::RunningMean},
    time::Span,
};

/// Milliseconds of each reading, of each thousand tokens, and of each million pairs, before
/// anything is learned.
const INITIAL_WEIGHTS: [f64; 3] = [6.0, 8.0, 0.3];
/// How far off each of these may be: engines of ten to a thousand tokens in a millisecond.
const INITIAL_SIGMAS: [f64; 3] = [15.0, 40.0, 1.5];
/// How many times as long a decode engine takes before anything is learned.
const INITIAL_DECODE_FACTOR: f64 = 2.0;
/// Bounds of that.
const DECODE_FACTOR_BOUNDS: (f64, f64) = (1.0, 6.0);
/// Least weight of a new observation of it.
const MIN_DECODE_WEIGHT: f64 = 0.03;
/// Readings of a decode engine shorter than this say little about how it reads, in milliseconds.
const MIN_DECODE_SAMPLE_MS: f64 = 10.0;

/// A prompt's reading: the tokens that are read, and those before them that are held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillWork {
    /// Tokens to be read.
    pub uncached: u32,
    /// Tokens before them that the engine holds.
    pub cached: u32,
}

impl PrefillWork {
    fn features(self) -> [f64; 3] {
        let uncached = f64::from(self.uncached);
        let pairs = uncached * (f64::from(self.cached) + uncached / 2.0);
        [1.0, uncached / 1e3, pairs / 1e6]
    }
}

/// The learned time to read, for the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct PrefillTime {
    fit: LeastSquares<3>,
    decode_factor: RunningMean,
}

impl Default for PrefillTime {
    fn default() -> Self {
        let fit = LeastSquares::new(INITIAL_WEIGHTS, INITIAL_SIGMAS);
        Self { fit, decode_factor: RunningMean::new(INITIAL_DECODE_FACTOR, MIN_DECODE_WEIGHT) }
    }
}

impl PrefillTime {
    /// Milliseconds that an idle prefill engine needs.
    #[must_use]
    pub fn duration_ms(&self, work: PrefillWork) -> f64 {
        self.fit.predict(&work.features())
    }

    /// How many times as long a decode engine needs.
    #[must_use]
    pub const fn decode_factor(&self) -> f64 {
        self.decode_factor.value()
    }

    /// Learn from a reading by a prefill engine that had nothing else to read.
    pub fn learn(&mut self, work: PrefillWork, took: Span) {
        self.fit.learn(&work.features(), took.as_millis_f64());
    }

    /// Learn from a reading by a decode engine that had nothing else to read.
    pub fn learn_decode(&mut self, work: PrefillWork, took: Span) {
        let usual_ms = self.duration_ms(work);
        if usual_ms < MIN_DECODE_SAMPLE_MS {
            return;
        }
        let max_factor = self.decode_factor() * 2.0;
        self.decode_factor.learn((took.as_millis_f64() / usual_ms).clamp(DECODE_FACTOR_BOUNDS.0, max_factor));
        self.decode_factor.clamp(DECODE_FACTOR_BOUNDS);
    }

    /// Observations of prefill engines.
    #[must_use]
    pub const fn observations(&self) -> u32 {
        self.fit.observations()
    }

    /// The learned terms.
    #[must_use]
    pub fn weights(&self) -> [f32; 3] {
        self.fit.weights_f32()
    }

    /// Take over what a daemon with more observations learned.
    pub fn adopt(&mut self, observations: u32, weights: [f32; 3], decode_factor: f32) {
        if self.fit.adopt(observations, weights) {
            self.decode_factor
                .set_initial(f64::from(decode_factor).clamp(DECODE_FACTOR_BOUNDS.0, DECODE_FACTOR_BOUNDS.1));
        }
    }
}

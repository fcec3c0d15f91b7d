//! Time to prefill a prompt, learned from the work of the engines.
//!
//! The time grows with the number of uncached tokens, and with the number of pairs of an uncached token and one before
//! it, since each token attends to all before it. A decode engine prefills in smaller chunks between the decoding
//! steps of its answers; the factor by which this takes longer is learned separately.

use crate::{
    fleet::engine::{least_squares::LeastSquares, running_mean::RunningMean},
    time::Span,
};

/// Initial guess: milliseconds per prefill, per thousand tokens, and per million pairs.
const INITIAL_WEIGHTS: [f64; 3] = [6.0, 8.0, 0.3];
/// Uncertainty of each initial weight: it covers engines of ten to a thousand tokens per millisecond.
const INITIAL_SIGMAS: [f64; 3] = [15.0, 40.0, 1.5];
/// Initial ratio of the prefill time of a decode engine to that of a prefill engine.
const INITIAL_DECODE_FACTOR: f64 = 2.0;
/// Bounds of the ratio.
const DECODE_FACTOR_BOUNDS: (f64, f64) = (1.0, 6.0);
/// Minimum weight of a new observation of the ratio.
const MIN_DECODE_WEIGHT: f64 = 0.03;
/// Minimum predicted milliseconds of a prefill to learn the ratio from: shorter ones say little about a decode engine.
const MIN_DECODE_SAMPLE_MS: f64 = 10.0;

/// The prefill of a prompt, of which the engine may have a prefix cached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillWork {
    /// Tokens to compute.
    pub uncached: u32,
    /// Tokens before them that are in the engine's cache.
    pub cached: u32,
}

impl PrefillWork {
    fn features(self) -> [f64; 3] {
        let uncached = f64::from(self.uncached);
        let pairs = uncached * (f64::from(self.cached) + uncached / 2.0);
        [1.0, uncached / 1e3, pairs / 1e6]
    }
}

/// Learned prefill time of the engines of one service.
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
    /// Predicted milliseconds at an idle prefill engine.
    #[must_use]
    pub fn duration_ms(&self, work: PrefillWork) -> f64 {
        self.fit.predict(&work.features())
    }

    /// Prefill time of a decode engine, as a multiple of a prefill engine's.
    #[must_use]
    pub const fn decode_factor(&self) -> f64 {
        self.decode_factor.value()
    }

    /// Learns from a prefill by a prefill engine that had no other prefill work.
    pub fn learn(&mut self, work: PrefillWork, took: Span) {
        self.fit.learn(&work.features(), took.as_millis_f64());
    }

    /// Learns from a prefill by a decode engine that had no other prefill work.
    pub fn learn_decode(&mut self, work: PrefillWork, took: Span) {
        let usual_ms = self.duration_ms(work);
        if usual_ms < MIN_DECODE_SAMPLE_MS {
            return;
        }
        let max_factor = self.decode_factor() * 2.0;
        self.decode_factor.learn((took.as_millis_f64() / usual_ms).clamp(DECODE_FACTOR_BOUNDS.0, max_factor));
        self.decode_factor.clamp(DECODE_FACTOR_BOUNDS);
    }

    /// Number of observations at prefill engines.
    #[must_use]
    pub const fn observations(&self) -> u32 {
        self.fit.observations()
    }

    /// Learned weights.
    #[must_use]
    pub fn weights(&self) -> [f32; 3] {
        self.fit.weights_f32()
    }

    /// Adopts the weights of a daemon with more observations.
    pub fn adopt(&mut self, observations: u32, weights: [f32; 3], decode_factor: f32) {
        if self.fit.adopt(observations, weights) {
            self.decode_factor
                .set_initial(f64::from(decode_factor).clamp(DECODE_FACTOR_BOUNDS.0, DECODE_FACTOR_BOUNDS.1));
        }
    }
}

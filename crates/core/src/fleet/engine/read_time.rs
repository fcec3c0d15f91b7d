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
const GUESS: [f64; 3] = [6.0, 8.0, 0.3];
/// How far off each of these may be: engines of ten to a thousand tokens in a millisecond.
const GUESS_WIDTH: [f64; 3] = [15.0, 40.0, 1.5];
/// How many times as long a decode engine takes before anything is learned.
const DECODE_GUESS: f64 = 2.0;
/// Bounds of that.
const DECODE_BOUNDS: (f64, f64) = (1.0, 6.0);
/// Least weight of a new observation of it.
const DECODE_LEARN: f64 = 0.03;
/// Readings of a decode engine shorter than this say little about how it reads, in milliseconds.
const DECODE_TELLING_MS: f64 = 10.0;

/// A prompt's reading: the tokens that are read, and those before them that are held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reading {
    /// Tokens to be read.
    pub uncached: u32,
    /// Tokens before them that the engine holds.
    pub held: u32,
}

impl Reading {
    fn terms(self) -> [f64; 3] {
        let uncached = f64::from(self.uncached);
        let pairs = uncached * (f64::from(self.held) + uncached / 2.0);
        [1.0, uncached / 1e3, pairs / 1e6]
    }
}

/// The learned time to read, for the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct ReadTime {
    fit: LeastSquares<3>,
    decode_factor: RunningMean,
}

impl Default for ReadTime {
    fn default() -> Self {
        let fit = LeastSquares::new(GUESS, GUESS_WIDTH);
        Self { fit, decode_factor: RunningMean::new(DECODE_GUESS, DECODE_LEARN) }
    }
}

impl ReadTime {
    /// Milliseconds that an idle prefill engine needs.
    #[must_use]
    pub fn work_ms(&self, reading: Reading) -> f64 {
        self.fit.expect(&reading.terms())
    }

    /// How many times as long a decode engine needs.
    #[must_use]
    pub const fn decode_factor(&self) -> f64 {
        self.decode_factor.value()
    }

    /// Learn from a reading by a prefill engine that had nothing else to read.
    pub fn learn(&mut self, reading: Reading, took: Span) {
        self.fit.learn(&reading.terms(), took.as_millis_f64());
    }

    /// Learn from a reading by a decode engine that had nothing else to read.
    pub fn learn_decode(&mut self, reading: Reading, took: Span) {
        let usual = self.work_ms(reading);
        if usual < DECODE_TELLING_MS {
            return;
        }
        let most = self.decode_factor() * 2.0;
        self.decode_factor.learn((took.as_millis_f64() / usual).clamp(DECODE_BOUNDS.0, most));
        self.decode_factor.clamp(DECODE_BOUNDS);
    }

    /// Observations of prefill engines.
    #[must_use]
    pub const fn seen(&self) -> u32 {
        self.fit.seen()
    }

    /// The learned terms.
    #[must_use]
    pub fn terms(&self) -> [f32; 3] {
        self.fit.shared()
    }

    /// Take over what a daemon with more observations learned.
    pub fn adopt(&mut self, seen: u32, terms: [f32; 3], decode_factor: f32) {
        if self.fit.adopt(seen, terms) {
            self.decode_factor.guess(f64::from(decode_factor).clamp(DECODE_BOUNDS.0, DECODE_BOUNDS.1));
        }
    }
}

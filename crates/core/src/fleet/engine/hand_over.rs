//! What it takes to bring a prompt's memory from one engine to another, learned from what
//! hand-overs took until the first event.

use crate::{fleet::engine::least_squares::LeastSquares, time::Span};

/// Milliseconds of each hand-over and of each thousand tokens, before anything is learned.
const GUESS: [f64; 2] = [8.0, 0.5];
/// How far off each of these may be.
const GUESS_WIDTH: [f64; 2] = [8.0, 1.5];
/// How many times as long the links between halls take.
const OTHER_HALL: f64 = 2.0;

/// The learned time to hand over, for the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct HandOverTime {
    fit: LeastSquares<2>,
}

impl Default for HandOverTime {
    fn default() -> Self {
        Self { fit: LeastSquares::new(GUESS, GUESS_WIDTH) }
    }
}

/// Memory that is brought to another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moved {
    /// Tokens that it holds.
    pub tokens: u32,
    /// Whether the engines are in different halls.
    pub across: bool,
}

impl Moved {
    fn terms(self) -> [f64; 2] {
        [1.0, f64::from(self.tokens) / 1e3 * if self.across { OTHER_HALL } else { 1.0 }]
    }
}

impl HandOverTime {
    /// Milliseconds until the other engine has it and begins.
    #[must_use]
    pub fn work_ms(&self, moved: Moved) -> f64 {
        self.fit.expect(&moved.terms())
    }

    /// The part of that in which the links of both engines are taken.
    #[must_use]
    pub fn link_ms(&self, moved: Moved) -> f64 {
        let [_, tokens] = moved.terms();
        self.fit.expect(&[0.0, tokens])
    }

    /// Learn from a hand-over.
    pub fn learn(&mut self, moved: Moved, took: Span) {
        self.fit.learn(&moved.terms(), took.as_millis_f64());
    }

    /// Observations.
    #[must_use]
    pub const fn seen(&self) -> u32 {
        self.fit.seen()
    }

    /// The learned terms.
    #[must_use]
    pub fn terms(&self) -> [f32; 2] {
        self.fit.shared()
    }

    /// Take over what a daemon with more observations learned.
    pub fn adopt(&mut self, seen: u32, terms: [f32; 2]) {
        self.fit.adopt(seen, terms);
    }
}

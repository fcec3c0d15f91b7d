//! What it takes to bring a prompt's memory from one engine to another, learned from what
//! hand-overs took until the first event.

use crate::{fleet::engine::least_squares::LeastSquares, time::Span};

/// Milliseconds of each hand-over and of each thousand tokens, before anything is learned.
const INITIAL_WEIGHTS: [f64; 2] = [8.0, 0.5];
/// How far off each of these may be.
const INITIAL_SIGMAS: [f64; 2] = [8.0, 1.5];
/// How many times as long the links between halls take.
const CROSS_HALL_FACTOR: f64 = 2.0;

/// The learned time to hand over, for the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct KvTransferTime {
    fit: LeastSquares<2>,
}

impl Default for KvTransferTime {
    fn default() -> Self {
        Self { fit: LeastSquares::new(INITIAL_WEIGHTS, INITIAL_SIGMAS) }
    }
}

/// Memory that is brought to another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KvTransfer {
    /// Tokens that it holds.
    pub tokens: u32,
    /// Whether the engines are in different halls.
    pub cross_hall: bool,
}

impl KvTransfer {
    fn features(self) -> [f64; 2] {
        [1.0, f64::from(self.tokens) / 1e3 * if self.cross_hall { CROSS_HALL_FACTOR } else { 1.0 }]
    }
}

impl KvTransferTime {
    /// Milliseconds until the other engine has it and begins.
    #[must_use]
    pub fn duration_ms(&self, transfer: KvTransfer) -> f64 {
        self.fit.predict(&transfer.features())
    }

    /// The part of that in which the links of both engines are taken.
    #[must_use]
    pub fn link_ms(&self, transfer: KvTransfer) -> f64 {
        let [_, tokens] = transfer.features();
        self.fit.predict(&[0.0, tokens])
    }

    /// Learn from a hand-over.
    pub fn learn(&mut self, transfer: KvTransfer, took: Span) {
        self.fit.learn(&transfer.features(), took.as_millis_f64());
    }

    /// Observations.
    #[must_use]
    pub const fn observations(&self) -> u32 {
        self.fit.observations()
    }

    /// The learned terms.
    #[must_use]
    pub fn weights(&self) -> [f32; 2] {
        self.fit.weights_f32()
    }

    /// Take over what a daemon with more observations learned.
    pub fn adopt(&mut self, observations: u32, weights: [f32; 2]) {
        self.fit.adopt(observations, weights);
    }
}

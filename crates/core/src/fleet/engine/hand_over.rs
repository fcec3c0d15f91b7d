//! Time to transfer the KV cache of a prompt from one engine to another, learned from the time that transfers took
//! until the first event.

use crate::{fleet::engine::least_squares::LeastSquares, time::Span};

/// Initial guess: milliseconds per transfer, and milliseconds per thousand tokens.
const INITIAL_WEIGHTS: [f64; 2] = [8.0, 0.5];
/// Uncertainty of each initial weight.
const INITIAL_SIGMAS: [f64; 2] = [8.0, 1.5];
/// Time on the links between halls, as a multiple of the time within a hall.
const CROSS_HALL_FACTOR: f64 = 2.0;

/// Learned KV transfer time of the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct KvTransferTime {
    fit: LeastSquares<2>,
}

impl Default for KvTransferTime {
    fn default() -> Self {
        Self { fit: LeastSquares::new(INITIAL_WEIGHTS, INITIAL_SIGMAS) }
    }
}

/// A transfer of KV cache to another engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KvTransfer {
    /// Number of tokens transferred.
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
    /// Predicted milliseconds until the other engine has the KV cache and starts.
    #[must_use]
    pub fn duration_ms(&self, transfer: KvTransfer) -> f64 {
        self.fit.predict(&transfer.features())
    }

    /// Predicted milliseconds for which the transfer occupies the links of both engines.
    #[must_use]
    pub fn link_ms(&self, transfer: KvTransfer) -> f64 {
        let [_, tokens] = transfer.features();
        self.fit.predict(&[0.0, tokens])
    }

    /// Learns from a transfer.
    pub fn learn(&mut self, transfer: KvTransfer, took: Span) {
        self.fit.learn(&transfer.features(), took.as_millis_f64());
    }

    /// Number of observations.
    #[must_use]
    pub const fn observations(&self) -> u32 {
        self.fit.observations()
    }

    /// Learned weights.
    #[must_use]
    pub fn weights(&self) -> [f32; 2] {
        self.fit.weights_f32()
    }

    /// Adopts the weights of a daemon with more observations.
    pub fn adopt(&mut self, observations: u32, weights: [f32; 2]) {
        self.fit.adopt(observations, weights);
    }
}

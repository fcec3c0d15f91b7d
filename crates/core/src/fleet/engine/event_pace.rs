//! Usual interval between the events of a stream, learned from relayed streams.

use crate::{fleet::engine::running_mean::RunningMean, time::Span};

/// Initial guess of the milliseconds between two events.
const INITIAL_INTERVAL_MS: f64 = 40.0;
/// Weight of a new observation once there are many.
const MIN_WEIGHT: f64 = 0.01;
/// Longer intervals count as this multiple of the usual one: a pause is not the usual pace.
const OUTLIER_FACTOR: f64 = 2.0;

/// Learned interval between two events of a stream, for the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct EventPace {
    interval_ms: RunningMean,
}

impl Default for EventPace {
    fn default() -> Self {
        Self { interval_ms: RunningMean::new(INITIAL_INTERVAL_MS, MIN_WEIGHT) }
    }
}

impl EventPace {
    /// Usual milliseconds between two events.
    #[must_use]
    pub const fn interval_ms(&self) -> f64 {
        self.interval_ms.value()
    }

    /// Learns from the interval between two events.
    pub fn learn(&mut self, interval: Span) {
        self.interval_ms.learn(interval.as_millis_f64().min(self.interval_ms() * OUTLIER_FACTOR));
    }
}

//! How far apart the events of a stream usually come, learned from streams that were passed on.

use crate::{fleet::engine::running_mean::RunningMean, time::Span};

/// Milliseconds between two events before anything is learned.
const INITIAL_INTERVAL_MS: f64 = 40.0;
/// Weight of a new observation, once there are many.
const MIN_WEIGHT: f64 = 0.01;
/// How many times as long as usual an interval counts at most: a pause is not the usual pace.
const OUTLIER_FACTOR: f64 = 2.0;

/// The learned interval between two events, for the engines of one service.
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

    /// Learn from the time between two events.
    pub fn learn(&mut self, interval: Span) {
        self.interval_ms.learn(interval.as_millis_f64().min(self.interval_ms() * OUTLIER_FACTOR));
    }
}

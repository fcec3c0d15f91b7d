//! Adaptive limit on the attempts that a daemon has in flight at an endpoint.
//!
//! Additive increase while first tokens arrive in time, multiplicative decrease when they are late. Each daemon
//! has its own window per endpoint, so the windows of all daemons converge to what the endpoint can handle
//! without messages between them.

/// Minimum window, which leaves a place for urgent requests.
const MIN_SIZE: f64 = 2.0;
/// Increase per full window of timely answers.
const INCREASE: f64 = 1.0;
/// Factor applied after a late answer or a fault.
const DECREASE_FACTOR: f64 = 0.85;

/// An adaptive limit on attempts in flight.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    size: f64,
    max: f64,
    in_flight: u32,
}

impl Window {
    /// Creates a window of `start` attempts that never exceeds `max` attempts.
    #[must_use]
    pub fn new(start: f64, max: f64) -> Self {
        Self { size: start.clamp(MIN_SIZE, max.max(MIN_SIZE)), max: max.max(MIN_SIZE), in_flight: 0 }
    }

    /// Whether one more attempt fits while `headroom` places stay reserved for urgent requests.
    #[must_use]
    pub fn has_room(&self, headroom: f64) -> bool {
        f64::from(self.in_flight) + headroom < self.size
    }

    /// Number of attempts in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Current size in attempts.
    #[must_use]
    pub const fn size(&self) -> f64 {
        self.size
    }

    /// Records that an attempt was sent.
    pub const fn record_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Records that an attempt has ended.
    pub const fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Adapts the window to a first token that was in time or late.
    pub fn adapt(&mut self, timely: bool) {
        if timely {
            let full = f64::from(self.in_flight) >= self.size / 2.0;
            if full {
                self.size = (self.size + INCREASE / self.size).min(self.max);
            }
        } else {
            self.size = (self.size * DECREASE_FACTOR).max(MIN_SIZE);
        }
    }
}

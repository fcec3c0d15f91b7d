//! How much one daemon keeps in flight at one endpoint.
//!
//! Additive increase while first tokens come in time, multiplicative decrease when they do not.
//! Each daemon has a window of its own for each endpoint, so the windows of all daemons settle
//! near what the endpoint can take without any message between them.

/// The smallest window: urgent work must always find a place.
const MIN_SIZE: f64 = 2.0;
/// Growth for a full window's worth of timely answers.
const INCREASE: f64 = 1.0;
/// Factor after a late one.
const DECREASE_FACTOR: f64 = 0.85;

/// An adaptive bound on attempts in flight.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    size: f64,
    max: f64,
    in_flight: u32,
}

impl Window {
    /// A window that starts at `start` and never exceeds `max` attempts.
    #[must_use]
    pub fn new(start: f64, max: f64) -> Self {
        Self { size: start.clamp(MIN_SIZE, max.max(MIN_SIZE)), max: max.max(MIN_SIZE), in_flight: 0 }
    }

    /// Whether one more attempt fits; `headroom` places stay free for urgent kinds.
    #[must_use]
    pub fn has_room(&self, headroom: f64) -> bool {
        f64::from(self.in_flight) + headroom < self.size
    }

    /// Attempts in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The present size, in attempts.
    #[must_use]
    pub const fn size(&self) -> f64 {
        self.size
    }

    /// Note an attempt sent.
    pub const fn record_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Note an attempt over.
    pub const fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Adapt to a first token that came in time or late.
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

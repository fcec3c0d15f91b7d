//! A mean that follows what it observes: exact over the first few, then fading.

/// A running mean.
#[derive(Clone, Copy, Debug)]
pub(in crate::fleet) struct RunningMean {
    value: f64,
    /// Least weight of a new observation, which it has once there are many.
    least: f64,
    seen: u32,
}

impl RunningMean {
    /// A first guess, which counts as one observation.
    pub(in crate::fleet) const fn new(guess: f64, least: f64) -> Self {
        Self { value: guess, least, seen: 0 }
    }

    pub(in crate::fleet) const fn value(&self) -> f64 {
        self.value
    }

    /// Replace the first guess, unless something was observed.
    pub(in crate::fleet) const fn guess(&mut self, guess: f64) {
        if self.seen == 0 {
            self.value = guess;
        }
    }

    /// Keep the value within bounds.
    pub(in crate::fleet) const fn clamp(&mut self, (least, most): (f64, f64)) {
        self.value = self.value.clamp(least, most);
    }

    pub(in crate::fleet) fn learn(&mut self, observed: f64) {
        self.seen = self.seen.saturating_add(1);
        let weight = self.least.max(1.0 / (f64::from(self.seen) + 1.0));
        self.value += weight * (observed - self.value);
    }
}

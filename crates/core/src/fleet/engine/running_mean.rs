//! A mean that follows what it observes: exact over the first few, then fading.

/// A running mean.
#[derive(Clone, Copy, Debug)]
pub(in crate::fleet) struct RunningMean {
    value: f64,
    /// Least weight of a new observation, which it has once there are many.
    min_weight: f64,
    observations: u32,
}

impl RunningMean {
    /// A first guess, which counts as one observation.
    pub(in crate::fleet) const fn new(initial: f64, min_weight: f64) -> Self {
        Self { value: initial, min_weight, observations: 0 }
    }

    pub(in crate::fleet) const fn value(&self) -> f64 {
        self.value
    }

    /// Replace the first guess, unless something was observed.
    pub(in crate::fleet) const fn set_initial(&mut self, initial: f64) {
        if self.observations == 0 {
            self.value = initial;
        }
    }

    /// Keep the value within bounds.
    pub(in crate::fleet) const fn clamp(&mut self, (min, max): (f64, f64)) {
        self.value = self.value.clamp(min, max);
    }

    pub(in crate::fleet) fn learn(&mut self, observed: f64) {
        self.observations = self.observations.saturating_add(1);
        let weight = self.min_weight.max(1.0 / (f64::from(self.observations) + 1.0));
        self.value += weight * (observed - self.value);
    }
}

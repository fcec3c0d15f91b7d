//! A running mean: the exact mean of the first few observations, then an exponential moving average.

#[derive(Clone, Copy, Debug)]
pub(in crate::fleet) struct RunningMean {
    value: f64,
    /// Minimum weight of a new observation, reached once there are many.
    min_weight: f64,
    observations: u32,
}

impl RunningMean {
    /// Creates a mean with an initial value that counts as one observation.
    pub(in crate::fleet) const fn new(initial: f64, min_weight: f64) -> Self {
        Self { value: initial, min_weight, observations: 0 }
    }

    pub(in crate::fleet) const fn value(&self) -> f64 {
        self.value
    }

    /// Replaces the initial value if there are no observations yet.
    pub(in crate::fleet) const fn set_initial(&mut self, initial: f64) {
        if self.observations == 0 {
            self.value = initial;
        }
    }

    /// Clamps the current value.
    pub(in crate::fleet) const fn clamp(&mut self, (min, max): (f64, f64)) {
        self.value = self.value.clamp(min, max);
    }

    pub(in crate::fleet) fn learn(&mut self, observed: f64) {
        self.observations = self.observations.saturating_add(1);
        let weight = self.min_weight.max(1.0 / (f64::from(self.observations) + 1.0));
        self.value += weight * (observed - self.value);
    }
}

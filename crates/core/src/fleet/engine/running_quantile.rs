//! A running estimate of a quantile.

/// Maximum change by one observation, as a share of the value.
const MAX_STEP: f64 = 0.05;

/// A running quantile of positive values.
#[derive(Clone, Copy, Debug)]
pub(in crate::fleet) struct RunningQuantile {
    value: f64,
    /// Share of the observations that should lie below the value.
    quantile: f64,
}

impl RunningQuantile {
    /// Creates a quantile with an initial value.
    pub(in crate::fleet) const fn new(initial: f64, quantile: f64) -> Self {
        Self { value: initial, quantile }
    }

    pub(in crate::fleet) const fn value(&self) -> f64 {
        self.value
    }

    /// Updates the value. At the true quantile, the expected steps up and down are equal.
    pub(in crate::fleet) fn learn(&mut self, observed: f64) {
        let direction = if observed > self.value { self.quantile } else { self.quantile - 1.0 };
        self.value *= 1.0 + MAX_STEP * direction;
    }
}

//! A quantile that follows what it observes.

/// Part of its value by which one observation moves it at most.
const MAX_STEP: f64 = 0.05;

/// A running quantile of positive values.
#[derive(Clone, Copy, Debug)]
pub(in crate::fleet) struct RunningQuantile {
    value: f64,
    /// Share of the observations that are to lie below.
    quantile: f64,
}

impl RunningQuantile {
    /// A first guess of what this share of the observations lies below.
    pub(in crate::fleet) const fn new(initial: f64, quantile: f64) -> Self {
        Self { value: initial, quantile }
    }

    pub(in crate::fleet) const fn value(&self) -> f64 {
        self.value
    }

    /// Where the share is met, the steps up and down weigh the same.
    pub(in crate::fleet) fn learn(&mut self, observed: f64) {
        let direction = if observed > self.value { self.quantile } else { self.quantile - 1.0 };
        self.value *= 1.0 + MAX_STEP * direction;
    }
}

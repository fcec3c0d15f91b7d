//! Recursive least squares: a weighted sum of a few features, fitted one observation at a time.
//!
//! The covariance of the weights is kept with them. An uncertain initial guess is replaced within a few observations,
//! while a weight that is known well moves slowly.

/// Factor by which the weight of past observations shrinks with each new one. An engine's speed changes over minutes,
/// if at all, so some five hundred observations count.
const FORGETTING_FACTOR: f64 = 0.998;
/// Standard deviations above the prediction at which an observation is clipped. Queueing behind other work looks like
/// slowness and only ever adds time.
const CLIP_ABOVE: f64 = 1.0;
/// Standard deviations below the prediction at which an observation is clipped. Only lost precision makes work look
/// faster than it is.
const CLIP_BELOW: f64 = 4.0;
/// Factor by which an observation below the prediction counts as more precise. With a lower one, prompts that queue
/// unnoticed make a fast engine look slower; with a higher one, engines are predicted faster than they are under load.
const PRECISION_BELOW: f64 = 1.15;
/// Standard error of one observation as a share of the prediction.
const RELATIVE_NOISE: f64 = 0.1;
/// Additional standard error of one observation in milliseconds, caused by the network and timers.
const ABSOLUTE_NOISE_MS: f64 = 2.0;

/// Number of observations after which the weights of others are no longer adopted.
const ADOPTION_LIMIT: u32 = 30;

/// Weights of `N` features.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeastSquares<const N: usize> {
    weights: [f64; N],
    /// Standard deviations of the initial weights, which bound the uncertainty.
    initial_sigmas: [f64; N],
    covariance: [[f64; N]; N],
    observations: u32,
}

impl<const N: usize> LeastSquares<N> {
    /// Creates a fit with initial weights and the standard deviation of each.
    pub(super) fn new(weights: [f64; N], initial_sigmas: [f64; N]) -> Self {
        let mut covariance = [[0.0; N]; N];
        for (i, sigma) in initial_sigmas.iter().enumerate() {
            covariance[i][i] = sigma * sigma;
        }
        Self { weights, initial_sigmas, covariance, observations: 0 }
    }

    pub(super) const fn observations(&self) -> u32 {
        self.observations
    }

    pub(super) const fn weights(&self) -> [f64; N] {
        self.weights
    }

    /// The weights as reported to other daemons.
    pub(super) fn weights_f32(&self) -> [f32; N] {
        self.weights.map(|weight| weight as f32)
    }

    /// Adopts weights from more than twice as many observations while this fit has few; returns whether it did.
    pub(super) fn adopt(&mut self, observations: u32, weights: [f32; N]) -> bool {
        if self.observations >= ADOPTION_LIMIT || observations <= self.observations.saturating_mul(2) {
            return false;
        }
        self.weights = weights.map(f64::from);
        true
    }

    pub(super) fn predict(&self, features: &[f64; N]) -> f64 {
        dot(&self.weights, features)
    }

    /// Updates the weights with one observation.
    pub(super) fn learn(&mut self, features: &[f64; N], observed: f64) {
        self.observations = self.observations.saturating_add(1);
        let mut active = *features;
        while let Some(negative) = self.learn_active(features, &active, observed) {
            // A negative weight has no meaning for a time, so the other features take the whole error. Updating all
            // weights together and then clipping each moved them away from the observations if these were all alike:
            // 14 s were predicted where 20 ms were observed.
            self.weights[negative] = 0.0;
            active[negative] = 0.0;
            self.decorrelate(negative);
        }
        self.inflate_covariance();
    }

    /// Updates the weights of the active features, unless one of them would become negative; returns the index of that
    /// weight.
    fn learn_active(&mut self, features: &[f64; N], active: &[f64; N], observed: f64) -> Option<usize> {
        let expected = self.predict(features);
        let spread: [f64; N] =
            std::array::from_fn(|i| if active[i] == 0.0 { 0.0 } else { dot(&self.covariance[i], active) });
        let error = observed - expected;
        let precision = if error > 0.0 { 1.0 } else { PRECISION_BELOW };
        let noise = (ABSOLUTE_NOISE_MS + RELATIVE_NOISE * expected) / precision;
        let variance = dot(&spread, active) + noise * noise;
        // An outlier moves the weights as far as an observation at the bound, but leaves them less certain: if all
        // observations are outliers, the weights were wrong and must be able to move.
        let bound = variance.sqrt() * if error > 0.0 { CLIP_ABOVE } else { CLIP_BELOW };
        let variance = variance * (error.abs() / bound).max(1.0);
        let updated: [f64; N] = std::array::from_fn(|i| self.weights[i] + spread[i] / variance * error);
        let negative = (0..N).find(|i| updated[*i] < 0.0);
        if negative.is_none() {
            self.weights = updated;
            for (i, row) in self.covariance.iter_mut().enumerate() {
                for (j, covariance) in row.iter_mut().enumerate() {
                    *covariance -= spread[i] * spread[j] / variance;
                }
            }
        }
        negative
    }

    /// Removes the correlation of one weight with the others.
    fn decorrelate(&mut self, weight: usize) {
        for other in (0..N).filter(|other| *other != weight) {
            self.covariance[weight][other] = 0.0;
            self.covariance[other][weight] = 0.0;
        }
    }

    /// Increases the uncertainty, for each weight up to the initial one. Whole rows and columns are scaled: clipping
    /// single entries would leave no valid covariance matrix once observations are alike.
    fn inflate_covariance(&mut self) {
        let factors: [f64; N] = std::array::from_fn(|i| {
            let variance = (self.covariance[i][i] / FORGETTING_FACTOR).max(f64::MIN_POSITIVE);
            (self.initial_sigmas[i] / variance.sqrt()).min(1.0)
        });
        for (i, row) in self.covariance.iter_mut().enumerate() {
            for (j, covariance) in row.iter_mut().enumerate() {
                *covariance *= factors[i] * factors[j] / FORGETTING_FACTOR;
            }
        }
    }
}

fn dot<const N: usize>(a: &[f64; N], b: &[f64; N]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

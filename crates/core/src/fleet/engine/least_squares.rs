//! Recursive least squares: a weighted sum of a few terms, fitted as observations come.
//!
//! The uncertainty of each weight is kept with it. A first guess with a wide uncertainty gives
//! way within a few observations, a well-known weight moves slowly.

/// Share of what was learned that the next observation leaves; an engine's speed changes over
/// minutes, if at all, so some five hundred observations count.
const FORGETTING_FACTOR: f64 = 0.998;
/// How many standard deviations above the expected an observation counts at most. Waiting for
/// other work looks like slowness and only ever adds.
const CLIP_ABOVE: f64 = 1.0;
/// The same below: nothing makes work look faster than it is, but lost precision.
const CLIP_BELOW: f64 = 4.0;
/// How many times as exact an observation below the expected is taken to be. With less, reads that
/// wait unseen make a fast engine look slower; with more, engines are thought faster than they are under load.
const PRECISION_BELOW: f64 = 1.15;
/// Error of one observation as a share of what is expected.
const RELATIVE_NOISE: f64 = 0.1;
/// Error of one observation beside that, in milliseconds: the way there and timers.
const ABSOLUTE_NOISE_MS: f64 = 2.0;

/// Observations after which what others have learned is not needed.
const MIN_OBSERVATIONS: u32 = 30;

/// Weights of `N` terms.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeastSquares<const N: usize> {
    weights: [f64; N],
    /// Spread of the first guess, which bounds the uncertainty.
    initial_sigmas: [f64; N],
    covariance: [[f64; N]; N],
    observations: u32,
}

impl<const N: usize> LeastSquares<N> {
    /// A first guess of the weights, and how far off each may be.
    pub(super) fn new(weights: [f64; N], initial_sigmas: [f64; N]) -> Self {
        let mut covariance = [[0.0; N]; N];
        for (i, sigma) in initial_sigmas.iter().enumerate() {
            covariance[i][i] = sigma * sigma;
        }
        Self { weights, initial_sigmas, covariance, observations: 0 }
    }

    /// Observations so far.
    pub(super) const fn observations(&self) -> u32 {
        self.observations
    }

    /// The weights.
    pub(super) const fn weights(&self) -> [f64; N] {
        self.weights
    }

    /// The weights, as they are shared.
    pub(super) fn weights_f32(&self) -> [f32; N] {
        self.weights.map(|weight| weight as f32)
    }

    /// Take over weights that rest on more observations, while this has few; returns whether it did.
    pub(super) fn adopt(&mut self, observations: u32, weights: [f32; N]) -> bool {
        if self.observations >= MIN_OBSERVATIONS || observations <= self.observations.saturating_mul(2) {
            return false;
        }
        self.weights = weights.map(f64::from);
        true
    }

    /// The weighted sum.
    pub(super) fn predict(&self, features: &[f64; N]) -> f64 {
        dot(&self.weights, features)
    }

    /// Learn from one observation.
    pub(super) fn learn(&mut self, features: &[f64; N], observed: f64) {
        self.observations = self.observations.saturating_add(1);
        let mut active = *features;
        while let Some(negative) = self.learn_active(features, &active, observed) {
            // A negative time for a term has no meaning, so the others take the whole of the error. Weights that
            // are moved together and then cut one by one moved away from what was observed where observations
            // are alike: 14 s expected where 20 ms were seen.
            self.weights[negative] = 0.0;
            active[negative] = 0.0;
            self.decorrelate(negative);
        }
        self.inflate_covariance();
    }

    /// Move the weights of the terms that are free to move, unless one of them would become negative:
    /// returns which.
    fn learn_active(&mut self, features: &[f64; N], active: &[f64; N], observed: f64) -> Option<usize> {
        let expected = self.predict(features);
        let spread: [f64; N] =
            std::array::from_fn(|i| if active[i] == 0.0 { 0.0 } else { dot(&self.covariance[i], active) });
        let error = observed - expected;
        let precision = if error > 0.0 { 1.0 } else { PRECISION_BELOW };
        let noise = (ABSOLUTE_NOISE_MS + RELATIVE_NOISE * expected) / precision;
        let variance = dot(&spread, active) + noise * noise;
        // An outlier moves the weights as far as one at the bound, and makes them less certain
        // than that one would: if all are so, the weights were wrong and must stay free to move.
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

    /// Take what is learned of one weight from now on to say nothing of the others.
    fn decorrelate(&mut self, weight: usize) {
        for other in (0..N).filter(|other| *other != weight) {
            self.covariance[weight][other] = 0.0;
            self.covariance[other][weight] = 0.0;
        }
    }

    /// Let the uncertainty grow, for each weight up to that of the first guess. Whole rows and columns are
    /// scaled: cut one by one, they are no covariance any more once observations are alike.
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

//! Keeps large prompts from being refused far more often than others.
//!
//! A prompt is in time if the work queued before it and its own prefill are. When the demand exceeds the prefill
//! capacity, small prompts fill the queue to the point where no prompt with a long prefill can be in time, and
//! callers with large prompts are refused however often they retry. If large prompts are admitted far less often
//! than others, a part of their own prefill, or a multiple of it, is therefore not counted: they are started if the
//! queued work alone would be in time, and end slightly late.

use crate::fleet::engine::running_quantile::RunningQuantile;

/// Quantiles of the prompt sizes above which a prompt belongs to the largest tenth and to the fifth below it.
const SIZE_QUANTILES: [f64; 2] = [0.9, 0.7];
/// Initial estimates of these quantiles in tokens.
const INITIAL_BOUNDS: [f64; 2] = [12_000.0, 8_000.0];
/// Target for the share of large prompts that is admitted, relative to that of all prompts. Users require one half. The
/// target is not far above that, since a discount for large prompts comes at the expense of the others.
const MIN_RELATIVE_SHARE: f64 = 0.6;
/// Change of the discount for each large prompt that is or is not admitted. With ten a second at each of eight
/// daemons, the discount reaches its maximum within ten seconds.
const DISCOUNT_STEP: f64 = 0.1;
/// Maximum discount as a multiple of a prompt's own prefill time.
const MAX_DISCOUNT: f64 = 2.0;
/// Weight of a new request in the admitted share of all prompts; about 500 requests count.
const ADMISSION_WEIGHT: f64 = 0.002;

/// Admissions of a service's prompts by size.
#[derive(Clone, Copy, Debug)]
pub(super) struct LargePromptFairness {
    bounds: [RunningQuantile; 2],
    /// Decaying averages of the shares of requests that are not retries, and that are admitted.
    new_callers: f64,
    admitted: f64,
    /// Discount as a multiple of a prompt's own prefill time, for each of the two size classes.
    discount: [f64; 2],
}

impl Default for LargePromptFairness {
    fn default() -> Self {
        let bound = |n: usize| RunningQuantile::new(INITIAL_BOUNDS[n], SIZE_QUANTILES[n]);
        Self { bounds: [bound(0), bound(1)], new_callers: 0.0, admitted: 0.0, discount: [0.0; 2] }
    }
}

impl LargePromptFairness {
    /// Records a request, whether its caller was refused before, and whether it is admitted.
    pub(super) fn record(&mut self, tokens: u32, was_refused: bool, admitted: bool) {
        let (is_new, admitted) = (f64::from(u8::from(!was_refused)), f64::from(u8::from(admitted)));
        if let Some(size) = self.size_class(tokens) {
            // Each caller counts as new once and is admitted at most once.
            let shortfall = is_new * MIN_RELATIVE_SHARE * self.admitted_share() - admitted;
            self.discount[size] = (self.discount[size] + shortfall * DISCOUNT_STEP).clamp(0.0, MAX_DISCOUNT);
        }
        self.new_callers += (is_new - self.new_callers) * ADMISSION_WEIGHT;
        self.admitted += (admitted - self.admitted) * ADMISSION_WEIGHT;
        if !was_refused {
            self.bounds.iter_mut().for_each(|bound| bound.learn(f64::from(tokens)));
        }
    }

    /// Milliseconds by which the predicted time of a prompt is reduced.
    pub(super) fn discount_ms(&self, tokens: u32, own_ms: f64) -> f64 {
        self.size_class(tokens).map_or(0.0, |size| self.discount[size] * own_ms)
    }

    /// The size class of a prompt; `None` if it is not large.
    fn size_class(&self, tokens: u32) -> Option<usize> {
        self.bounds.iter().position(|bound| f64::from(tokens) > bound.value())
    }

    /// Share of callers that are admitted.
    fn admitted_share(&self) -> f64 {
        if self.new_callers > 0.0 { (self.admitted / self.new_callers).min(1.0) } else { 0.0 }
    }
}

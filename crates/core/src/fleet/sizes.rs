//! Whether large prompts are served about as often as others, and what evens that out.
//!
//! A prompt is in time if the work ahead of it and its own reading are. Where more is asked than engines can
//! read, small ones fill the queue to where none that takes long itself is in time any more, and a caller with a large one
//! comes in vain each time. So where large ones are served far less often than all, a part of their own reading, or more, is not
//! counted: they are begun where the work ahead alone would be in time, and end a little late.

use crate::fleet::engine::running_quantile::RunningQuantile;

/// Shares of the prompts below the largest tenth, and below the fifth before it.
const SIZE_QUANTILES: [f64; 2] = [0.9, 0.7];
/// Tokens of such prompts before any was seen.
const INITIAL_BOUNDS: [f64; 2] = [12_000.0, 8_000.0];
/// How often large ones are to be served, as a part of how often all are. The bound that users ask for is half; relief for
/// the large costs the others.
const MIN_RELATIVE_SHARE: f64 = 0.6;
/// Change of the relief for each large prompt that was served or not: with ten a second at each of eight daemons all of
/// it comes within ten seconds.
const DISCOUNT_STEP: f64 = 0.1;
/// How many times its own reading is not counted at most.
const MAX_DISCOUNT: f64 = 2.0;
/// Weight of a new try in how often all are served: some 500 count.
const ADMISSION_WEIGHT: f64 = 0.002;

/// What is seen of the sizes of a service's prompts.
#[derive(Clone, Copy, Debug)]
pub(super) struct LargePromptFairness {
    bounds: [RunningQuantile; 2],
    /// Callers, by their first tries, and how many were admitted in any, both with the weight of lately.
    callers: f64,
    admitted: f64,
    /// How many times a prompt's own reading is not counted, for each of the two.
    discount: [f64; 2],
}

impl Default for LargePromptFairness {
    fn default() -> Self {
        let bound = |n: usize| RunningQuantile::new(INITIAL_BOUNDS[n], SIZE_QUANTILES[n]);
        Self { bounds: [bound(0), bound(1)], callers: 0.0, admitted: 0.0, discount: [0.0; 2] }
    }
}

impl LargePromptFairness {
    /// Note a try, whether its caller was here before, and whether it is admitted.
    pub(super) fn record(&mut self, tokens: u32, was_refused: bool, admitted: bool) {
        let (first, admitted) = (f64::from(u8::from(!was_refused)), f64::from(u8::from(admitted)));
        if let Some(size) = self.size_class(tokens) {
            // Each caller comes a first time once, and is admitted once at most.
            let missing = first * MIN_RELATIVE_SHARE * self.admitted_share() - admitted;
            self.discount[size] = (self.discount[size] + missing * DISCOUNT_STEP).clamp(0.0, MAX_DISCOUNT);
        }
        self.callers += (first - self.callers) * ADMISSION_WEIGHT;
        self.admitted += (admitted - self.admitted) * ADMISSION_WEIGHT;
        if !was_refused {
            self.bounds.iter_mut().for_each(|bound| bound.learn(f64::from(tokens)));
        }
    }

    /// Milliseconds of its own reading that are not counted for a prompt.
    pub(super) fn discount_ms(&self, tokens: u32, own_ms: f64) -> f64 {
        self.size_class(tokens).map_or(0.0, |size| self.discount[size] * own_ms)
    }

    /// Which of the two a prompt belongs to.
    fn size_class(&self, tokens: u32) -> Option<usize> {
        self.bounds.iter().position(|bound| f64::from(tokens) > bound.value())
    }

    /// Share of the callers that are served.
    fn admitted_share(&self) -> f64 {
        if self.callers > 0.0 { (self.admitted / self.callers).min(1.0) } else { 0.0 }
    }
}

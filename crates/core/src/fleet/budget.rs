//! The retry budget of a service, shared by all daemons.
//!
//! Each daemon spends a share of what its own requests earn and its share of the fixed slack. The total therefore
//! stays within the limit without coordination between daemons.

use crate::time::{Span, Time};

/// Number of slices in a window; the window slides by one slice at a time.
const SLICES: u64 = 10;
/// Share of the limit that is spent, since the daemons' windows are not aligned with those in which the limit is
/// checked.
const SAFE_SHARE: f64 = 0.7;

/// Limits on the retries of all daemons together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetTerms {
    /// Retries for each new request.
    pub ratio: f64,
    /// Additional retries in each window.
    pub slack: f64,
    /// Length of a window.
    pub window: Span,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Recent requests and retries of this daemon to one service.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    slices: [Slice; SLICES as usize],
}

impl RetryBudget {
    /// Records a new request.
    pub fn record_request(&mut self, terms: &RetryBudgetTerms, now: Time) {
        self.slice(terms, now).requests += 1;
    }

    /// Takes `count` retries if the budget of one of `daemons` daemons allows them; returns whether it does.
    pub fn take(&mut self, count: u32, terms: &RetryBudgetTerms, daemons: usize, now: Time) -> bool {
        let number = slice_number(terms, now);
        let recent = self.slices.iter().filter(|slice| slice.number + SLICES > number);
        let (requests, retries) =
            recent.fold((0, 0), |(requests, retries), slice| (requests + slice.requests, retries + slice.retries));
        let earned = f64::from(requests) * terms.ratio + terms.slack / daemons.max(1) as f64;
        let allowed = f64::from(retries + count) <= earned * SAFE_SHARE;
        if allowed {
            self.slice(terms, now).retries += count;
        }
        allowed
    }

    /// Charges an attempt that turned out to be a retry only after it was sent.
    pub fn charge(&mut self, terms: &RetryBudgetTerms, now: Time) {
        self.slice(terms, now).retries += 1;
    }

    fn slice(&mut self, terms: &RetryBudgetTerms, now: Time) -> &mut Slice {
        let number = slice_number(terms, now);
        let slice = &mut self.slices[(number % SLICES) as usize];
        if slice.number != number {
            *slice = Slice { number, ..Slice::default() };
        }
        slice
    }
}

fn slice_number(terms: &RetryBudgetTerms, now: Time) -> u64 {
    // Numbers start at `SLICES`, so that a default slice never counts as recent.
    now.0 / (terms.window.0 / SLICES).max(1) + SLICES
}

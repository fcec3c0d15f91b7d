//! The budget of repeated sends to a service, shared by all daemons.
//!
//! Each daemon spends a part of what its own requests earn and its share of the fixed slack, so
//! the sum stays within the bound without any daemon asking another.

use crate::time::{Span, Time};

/// Slices of a window; a window slides by one slice.
const SLICES: u64 = 10;
/// Part of the bound that is spent, since the daemons' windows are not the judge's.
const SAFE_SHARE: f64 = 0.7;

/// Bounds on repeated sends, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetTerms {
    /// Repeats for each new request.
    pub ratio: f64,
    /// Repeats in a window beside those.
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

/// What this daemon sent to one service lately.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    slices: [Slice; SLICES as usize],
}

impl RetryBudget {
    /// Note a new request.
    pub fn record_request(&mut self, terms: &RetryBudgetTerms, now: Time) {
        self.slice(terms, now).requests += 1;
    }

    /// Take so many repeats if the budget has them, for a daemon among `daemons`.
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

    /// Count a repeat that turned out to be one only after it was sent.
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
    // Counted from one slice's length on, so that a fresh slice never looks recent.
    now.0 / (terms.window.0 / SLICES).max(1) + SLICES
}

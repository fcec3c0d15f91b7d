//! The retry budget of a service, shared by all daemons.
//!
//! Each daemon spends a share of what its own requests earn and its share of the fixed slack. The total therefore
//! stays within the limit without coordination between daemons.
//!
//! A daemon does not know what the process before it spent, and all of them may have lost power at once. In the first
//! window after its start it therefore spends little of the slack: the limit holds if all daemons restart up to twice within
//! a window.

use crate::time::{Span, Time};

/// Number of slices in a window; the window slides by one slice at a time.
const SLICES: u64 = 10;
/// Share of the limit that is spent, since the daemons' windows are not aligned with those in which the limit is
/// checked.
const SAFE_SHARE: f64 = 0.7;
/// Share of the slack that a daemon may spend right after its start.
const START_SLACK_SHARE: f64 = 0.1;
/// Share of the slack that becomes available in the course of the first window, in addition to [`START_SLACK_SHARE`].
const FIRST_WINDOW_SLACK_SHARE: f64 = 0.1;

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

/// What determines a daemon's share of the slack.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetShare {
    /// Number of daemons that share the budget.
    pub daemons: usize,
    /// When this daemon started.
    pub started_at: Time,
}

impl BudgetShare {
    fn of_slack(self, terms: &RetryBudgetTerms, now: Time) -> f64 {
        let age = now.since(self.started_at);
        let all_daemons = if age < terms.window {
            START_SLACK_SHARE + FIRST_WINDOW_SLACK_SHARE * age.as_seconds() / terms.window.as_seconds()
        } else {
            SAFE_SHARE
        };
        all_daemons / self.daemons.max(1) as f64
    }
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

    /// Takes `count` retries if the budget of a daemon with this share allows them; returns whether it does.
    pub fn take(&mut self, count: u32, terms: &RetryBudgetTerms, share: BudgetShare, now: Time) -> bool {
        let number = slice_number(terms, now);
        let recent = self.slices.iter().filter(|slice| slice.number + SLICES > number);
        let (requests, retries) =
            recent.fold((0, 0), |(requests, retries), slice| (requests + slice.requests, retries + slice.retries));
        let earned = f64::from(requests) * terms.ratio * SAFE_SHARE;
        let slack = terms.slack * share.of_slack(terms, now);
        let allowed = f64::from(retries + count) <= earned + slack;
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

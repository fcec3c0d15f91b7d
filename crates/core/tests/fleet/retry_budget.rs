//! The retry budget in every window, also over restarts of all daemons.

use std::ops::RangeInclusive;

use dahliaseam_core::{
    fleet::budget::{BudgetShare, RetryBudget, RetryBudgetTerms},
    time::{Span, Time},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const TERMS: RetryBudgetTerms = RetryBudgetTerms { ratio: 0.2, slack: 40.0, window: Span::millis(10_000) };
const START: Time = Time(1_000_000_000);
/// Time for which the daemons run.
const DURATION_MS: u64 = 60_000;
const SEEDS: u64 = 10;

/// The requests and retries of one daemon, in milliseconds since the start.
#[derive(Default)]
struct Sent {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Sent {
    /// Panics if a window has more retries than its requests and the slack allow.
    fn check(&self, seed: u64) {
        let window = TERMS.window.as_millis();
        for until in &self.retries {
            let within = |at: &&u64| **at + window > *until && **at <= *until;
            let retries = self.retries.iter().filter(within).count() as f64;
            let allowed = self.requests.iter().filter(within).count() as f64 * TERMS.ratio + TERMS.slack;
            assert!(retries <= allowed, "seed {seed}: {retries} retries until {until} ms, {allowed} allowed");
        }
    }
}

/// Pauses between bursts of failures, in milliseconds, and requests per second.
const LOADS: [(u64, f64); 3] = [(2_000, 20.0), (500, 200.0), (7_000, 1.0)];
/// Length of a burst of failures, in milliseconds.
const BURST_MS: u64 = 700;

/// Runs a daemon that takes each retry that it may, and starts anew after each of the pauses.
fn run(seed: u64, (pause, requests_per_s): (u64, f64), restart_after: Option<&RangeInclusive<u64>>) -> Sent {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sent = Sent::default();
    let mut budget = RetryBudget::default();
    let mut share = BudgetShare { daemons: 1, started_at: Time(0) };
    let draw_restart = |rng: &mut StdRng, ms| restart_after.map(|after| ms + rng.random_range(after.clone()));
    let mut restart_at = draw_restart(&mut rng, 0);
    for ms in 0..DURATION_MS {
        let now = START + Span::millis(ms);
        if restart_at == Some(ms) {
            budget = RetryBudget::default();
            share.started_at = now;
            restart_at = draw_restart(&mut rng, ms);
        }
        if rng.random_bool(requests_per_s / 1_000.0) {
            budget.record_request(&TERMS, now);
            sent.requests.push(ms);
        }
        let in_burst = ms % (pause + BURST_MS) < BURST_MS;
        while in_burst && budget.take(1, &TERMS, share, now) {
            sent.retries.push(ms);
        }
    }
    sent
}

#[test]
fn bursts_of_retries_stay_within_the_budget_in_every_window() {
    for seed in 0..SEEDS {
        for load in LOADS {
            let sent = run(seed, load, None);
            sent.check(seed);
            assert!(sent.retries.len() > 90, "seed {seed}: the budget is used: {}", sent.retries.len());
        }
    }
}

/// Guards against a daemon that forgets in a restart what it has spent.
#[test]
fn retries_of_daemons_that_restart_stay_within_the_budget_in_every_window() {
    for seed in 0..SEEDS {
        for load in LOADS {
            run(seed, load, Some(&(5_001..=30_000))).check(seed);
        }
    }
}

#[test]
fn a_daemon_that_has_just_started_may_retry() {
    let share = BudgetShare { daemons: 3, started_at: START };
    assert!(RetryBudget::default().take(1, &TERMS, share, START));
}

/// Guards against a daemon that spends its share twice within a window, as its own windows are not aligned with it.
#[test]
fn two_bursts_within_a_window_stay_within_the_budget() {
    let share = BudgetShare { daemons: 1, started_at: Time(0) };
    let mut budget = RetryBudget::default();
    let mut sent = Sent::default();
    for ms in [990, 10_000] {
        while budget.take(1, &TERMS, share, START + Span::millis(ms)) {
            sent.retries.push(ms);
        }
    }
    sent.check(0);
}

//! Usage counts under repeated and reordered messages, and reports across changes of the leader.

use std::{collections::BTreeMap, sync::Arc};

use dahliaseam_core::usage::{Counter, Ledger, Report, ReportStep, Reporter, WindowSchedule};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

const WINDOWS: WindowSchedule = WindowSchedule { length_ms: 5_000, due_ms: 10_000 };
/// Milliseconds after a window's end for which the leader waits for missing counts.
const MAX_WAIT_MS: u64 = 5_000;

#[test]
fn repeated_and_reordered_counts_are_counted_once() {
    for seed in 0..1_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut ledger = Ledger::default();
        let mut counters = [Counter::default(), Counter::default(), Counter::default()];
        let teams: [Arc<str>; 2] = [Arc::from("a"), Arc::from("b")];
        let mut expected: BTreeMap<(u64, String), u64> = BTreeMap::new();
        let mut messages = Vec::new();
        for _ in 0..200 {
            let daemon = rng.random_range(0..counters.len());
            let window = rng.random_range(10..13);
            let team = &teams[rng.random_range(0..2)];
            counters[daemon].count(window, team);
            *expected.entry((window, team.to_string())).or_default() += 1;
            if rng.random_bool(0.3) {
                messages.push((daemon, counters[daemon].unacknowledged(10, 13, 0)));
            }
        }
        messages
            .extend(counters.iter().enumerate().map(|(daemon, counter)| (daemon, counter.unacknowledged(10, 13, 13))));
        let again = messages.clone();
        messages.extend(again);
        messages.shuffle(&mut rng);
        for (daemon, windows) in messages {
            for window in windows {
                ledger.record(&format!("vm-{daemon}"), 7, window);
            }
        }
        for window in 10..13 {
            let sum = ledger.sum(window);
            for team in &teams {
                let counted = sum.get(&**team).copied().unwrap_or(0);
                let truth = expected.get(&(window, team.to_string())).copied().unwrap_or(0);
                assert_eq!(counted, truth, "seed {seed}, window {window}");
            }
            assert!(ledger.is_complete(window, ["vm-0", "vm-1", "vm-2"].into_iter()));
            assert!(!ledger.is_complete(window, ["vm-0", "vm-3"].into_iter()));
        }
    }
}

#[test]
fn counts_of_earlier_run_are_added_to_next_run() {
    let mut ledger = Ledger::default();
    let team: Arc<str> = Arc::from("a");
    for run in [1, 2] {
        let mut counter = Counter::default();
        counter.count(10, &team);
        counter.unacknowledged(10, 10, 0).into_iter().for_each(|window| ledger.record("vm", run, window));
    }
    assert_eq!(ledger.sum(10).get("a"), Some(&2));
}

#[test]
fn acknowledged_windows_are_resent_to_new_leader() {
    let mut counter = Counter::default();
    counter.count(10, &Arc::from("a"));
    counter.acknowledge(10);
    assert!(counter.unacknowledged(10, 10, 11).is_empty());
    counter.resend_all();
    assert_eq!(counter.unacknowledged(10, 10, 11).len(), 1);
}

/// The store's one key, and the reports that the platform accepted.
#[derive(Default)]
struct Environment {
    stored: Option<(i64, Report)>,
    revision: i64,
    accepted: BTreeMap<u64, BTreeMap<String, u64>>,
}

impl Environment {
    /// Carries out a step of a leader; `lost` tells whether its answer is lost.
    fn perform(&mut self, seed: u64, reporter: &mut Reporter, step: ReportStep, counts: u64, lost: bool) {
        match step {
            ReportStep::Wait => {}
            ReportStep::Read => reporter.set_stored(self.stored.clone()),
            ReportStep::Store { window, expect } => {
                reporter.forget_stored();
                let present = self.stored.as_ref().map_or(0, |(revision, _)| *revision);
                if present == expect {
                    self.revision += 1;
                    let report = Report { window, counts: BTreeMap::from([("a".to_owned(), counts)]) };
                    self.stored = Some((self.revision, report));
                    if !lost {
                        reporter.set_stored(self.stored.clone());
                    }
                }
            }
            ReportStep::Send(report) => {
                let before = self.accepted.insert(report.window, report.counts.clone());
                assert!(before.is_none_or(|before| before == report.counts), "seed {seed}: two reports differ");
                if !lost {
                    reporter.mark_done(report.window);
                }
            }
        }
    }
}

/// Leaders fail at any step and answers get lost; each leader has different counts.
#[test]
fn reports_of_one_window_never_differ_across_leaders() {
    for seed in 0..10_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut environment = Environment::default();
        let mut leader = (0, Reporter::new(WINDOWS, 100));
        for now_ms in (500_000..600_000).step_by(250) {
            if rng.random_bool(0.02) {
                leader = (leader.0 + 1, Reporter::new(WINDOWS, 100));
            }
            let complete = rng.random_bool(0.5);
            let step = leader.1.next_step(now_ms, MAX_WAIT_MS, |_| complete);
            let lost = rng.random_bool(0.2);
            environment.perform(seed, &mut leader.1, step, leader.0, lost);
        }
        // The windows whose reports were due, except a few that a leader could not report in time.
        assert!(environment.accepted.len() >= 17, "seed {seed}: only {} windows", environment.accepted.len());
    }
}

#[test]
fn window_waits_for_missing_counts_up_to_max_wait() {
    let mut reporter = Reporter::new(WINDOWS, 100);
    reporter.set_stored(None);
    let end_ms = WINDOWS.end_ms(100);
    assert_eq!(reporter.next_step(end_ms - 1, MAX_WAIT_MS, |_| true), ReportStep::Wait);
    assert_eq!(reporter.next_step(end_ms, MAX_WAIT_MS, |_| false), ReportStep::Wait);
    assert_eq!(reporter.next_step(end_ms, MAX_WAIT_MS, |_| true), ReportStep::Store { window: 100, expect: 0 });
    assert_eq!(
        reporter.next_step(end_ms + MAX_WAIT_MS, MAX_WAIT_MS, |_| false),
        ReportStep::Store { window: 100, expect: 0 }
    );
}

#[test]
fn overdue_windows_are_skipped() {
    let mut reporter = Reporter::new(WINDOWS, 100);
    reporter.set_stored(Some((5, Report { window: 100, counts: BTreeMap::new() })));
    let now_ms = WINDOWS.due_at_ms(103);
    assert_eq!(reporter.next_step(now_ms, MAX_WAIT_MS, |_| true), ReportStep::Store { window: 104, expect: 5 });
}

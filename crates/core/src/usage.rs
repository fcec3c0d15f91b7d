//! Usage accounting: counts of requests per team and time window, and their reports.
//!
//! Each daemon counts the requests that began to run for its callers and reports the counts to the leader.
//! Counts only grow, so the messages may be repeated, delayed and reordered ([`Counter`], [`Ledger`]). The
//! leader sends one report per window ([`Reporter`]). A report is stored before it is first sent, and a new
//! leader sends the stored one, so that two reports of one window never differ.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

/// Number of past windows that a daemon and the leader keep in memory.
const RETAINED_WINDOWS: u64 = 12;

/// Number of requests per team.
pub type Counts = BTreeMap<Arc<str>, u32>;

/// Time windows, aligned to the Unix epoch, and the due times of their reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowSchedule {
    /// Length of a window in milliseconds; window `k` begins `k` lengths after the Unix epoch.
    pub length_ms: u64,
    /// Milliseconds after the end of a window within which its report must arrive.
    pub due_ms: u64,
}

impl WindowSchedule {
    /// Window that contains a Unix time in milliseconds.
    #[must_use]
    pub const fn window_at(self, unix_ms: u64) -> u64 {
        unix_ms / self.length_ms
    }

    /// Unix time in milliseconds at which a window ends.
    #[must_use]
    pub const fn end_ms(self, window: u64) -> u64 {
        (window + 1) * self.length_ms
    }

    /// Unix time in milliseconds at which a window's report is due.
    #[must_use]
    pub const fn due_at_ms(self, window: u64) -> u64 {
        self.end_ms(window) + self.due_ms
    }
}

/// Counts of one daemon for one window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Index of the window.
    pub window: u64,
    /// Whether the counts are final.
    #[serde(rename = "is_over")]
    pub is_final: bool,
    /// Number of requests per team.
    pub counts: Vec<(String, u32)>,
}

/// Counts of this daemon.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    windows: BTreeMap<u64, Counts>,
    /// Windows whose final counts the leader has recorded.
    acknowledged: BTreeSet<u64>,
}

impl Counter {
    /// Counts a request that began to run.
    pub fn count(&mut self, window: u64, team: &Arc<str>) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(Arc::clone(team)).or_default() += 1;
    }

    /// Returns the counts to report now, for the windows from `first` to `current`; those before `final_before` are
    /// final. Windows without a request are included, since the leader waits for each daemon's final counts.
    #[must_use]
    pub fn unacknowledged(&self, first: u64, current: u64, final_before: u64) -> Vec<WindowCounts> {
        let first = first.max(current.saturating_sub(RETAINED_WINDOWS));
        let windows = (first..=current).filter(|window| !self.acknowledged.contains(window)).map(|window| {
            let counts = self.windows.get(&window).into_iter().flatten();
            let counts = counts.map(|(team, count)| (team.to_string(), *count)).collect();
            WindowCounts { window, is_final: window < final_before, counts }
        });
        windows.collect()
    }

    /// Marks a window as done after the leader has recorded its final counts.
    pub fn acknowledge(&mut self, window: u64) {
        self.acknowledged.insert(window);
    }

    /// Reports everything again, because a new leader knows nothing of earlier reports.
    pub fn resend_all(&mut self) {
        self.acknowledged.clear();
    }

    /// Drops windows that are too old to be reported.
    pub fn prune(&mut self, current: u64) {
        self.windows.retain(|window, _| window + RETAINED_WINDOWS > current);
        self.acknowledged.retain(|window| window + RETAINED_WINDOWS >= current);
    }
}

/// Counts that one run of a daemon reported for a window.
#[derive(Clone, Debug, Default)]
struct RunCounts {
    is_final: bool,
    counts: HashMap<String, u32>,
}

/// Run of a daemon: name of its VM and identifier of the run.
type DaemonRun = (String, u64);

/// Counts reported to the leader.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    windows: BTreeMap<u64, HashMap<DaemonRun, RunCounts>>,
}

impl Ledger {
    /// Records counts reported by a run of a daemon. Reports may be repeated and may arrive in any order.
    pub fn record(&mut self, vm: &str, run: u64, reported: WindowCounts) {
        let window = self.windows.entry(reported.window).or_default();
        let run_counts = window.entry((vm.to_owned(), run)).or_default();
        run_counts.is_final |= reported.is_final;
        for (team, count) in reported.counts {
            let present = run_counts.counts.entry(team).or_default();
            *present = (*present).max(count);
        }
    }

    /// Whether all of these VMs have reported final counts for a window.
    #[must_use]
    pub fn is_complete<'a>(&self, window: u64, mut vms: impl Iterator<Item = &'a str>) -> bool {
        let Some(runs) = self.windows.get(&window) else {
            return false;
        };
        vms.all(|vm| runs.iter().any(|((name, _), run)| name == vm && run.is_final))
    }

    /// Total number of requests per team in a window.
    #[must_use]
    pub fn sum(&self, window: u64) -> BTreeMap<String, u64> {
        let mut sum = BTreeMap::new();
        for (team, count) in self.windows.get(&window).into_iter().flat_map(HashMap::values).flat_map(|t| &t.counts) {
            *sum.entry(team.clone()).or_default() += u64::from(*count);
        }
        sum
    }

    /// Drops windows that are too old to be reported.
    pub fn prune(&mut self, current: u64) {
        self.windows.retain(|window, _| window + RETAINED_WINDOWS > current);
    }
}

/// Usage report of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Index of the window.
    pub window: u64,
    /// Number of requests per team.
    pub counts: BTreeMap<String, u64>,
}

/// The next step of the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReportStep {
    /// Read the stored report.
    Read,
    /// Store the report of this window if the stored one is unchanged.
    Store {
        /// Index of the window.
        window: u64,
        /// Expected store revision of the stored report, 0 if there is none.
        expect: i64,
    },
    /// Send this report.
    Send(Report),
    /// Nothing to do for now.
    Wait,
}

/// What is known of the report in the store.
#[derive(Clone, Debug, Default)]
enum Stored {
    #[default]
    Unknown,
    Nothing,
    Report {
        revision: i64,
        report: Report,
        /// Whether it was accepted, or can never be accepted.
        is_done: bool,
    },
}

/// State machine of the reports of one leader.
#[derive(Clone, Debug)]
pub struct Reporter {
    windows: WindowSchedule,
    /// First window to report if none was ever stored.
    first: u64,
    stored: Stored,
}

impl Reporter {
    /// Creates the state of a new leader, which reports from window `first` on if none was ever stored.
    #[must_use]
    pub fn new(windows: WindowSchedule, first: u64) -> Self {
        Self { windows, first, stored: Stored::default() }
    }

    /// Returns the next step. `is_complete` tells whether all daemons have reported final counts for a window.
    /// After `max_wait_ms` past its end a window is reported without the missing ones.
    pub fn next_step(&mut self, unix_ms: u64, max_wait_ms: u64, is_complete: impl Fn(u64) -> bool) -> ReportStep {
        let is_overdue = |window: u64| self.windows.due_at_ms(window) <= unix_ms;
        let (window, expect) = match &self.stored {
            Stored::Unknown => return ReportStep::Read,
            Stored::Nothing => (self.first, 0),
            Stored::Report { report, is_done: false, .. } if !is_overdue(report.window) => {
                return ReportStep::Send(report.clone());
            }
            Stored::Report { revision, report, .. } => (report.window + 1, *revision),
        };
        // Overdue windows are skipped: their reports have no use, and might delay those that can still be in
        // time.
        let window = window.max(self.windows.window_at(unix_ms.saturating_sub(self.windows.due_ms)));
        let end_ms = self.windows.end_ms(window);
        let is_ready = end_ms <= unix_ms && (is_complete(window) || end_ms + max_wait_ms <= unix_ms);
        if is_ready { ReportStep::Store { window, expect } } else { ReportStep::Wait }
    }

    /// Sets the stored report and its revision, as read or written by this leader.
    pub fn set_stored(&mut self, stored: Option<(i64, Report)>) {
        self.stored = match stored {
            Some((revision, report)) => Stored::Report { revision, report, is_done: false },
            None => Stored::Nothing,
        };
    }

    /// Discards the knowledge of the store after a write with an unknown result.
    pub fn forget_stored(&mut self) {
        self.stored = Stored::Unknown;
    }

    /// Marks the report of a window as accepted, or as never to be accepted.
    pub fn mark_done(&mut self, window: u64) {
        if let Stored::Report { report, is_done, .. } = &mut self.stored
            && report.window == window
        {
            *is_done = true;
        }
    }
}

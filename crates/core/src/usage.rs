//! Counts of requests by team and window of true time, and the reports of them.
//!
//! Each daemon counts what began to run for its callers and reports it to the leader, in numbers that
//! only grow, so that messages may come twice, late or in any order ([`Counter`], [`Ledger`]). The leader
//! reports each window once ([`Reporter`]): a report is stored before it is first sent, and whoever takes
//! over sends what is stored, so that two reports of one window never differ.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

/// Windows for which a daemon keeps its own counts, and a leader what was reported to it.
const RETAINED_WINDOWS: u64 = 12;

/// Requests by team.
pub type Counts = BTreeMap<Arc<str>, u32>;

/// Windows of true time, and when their reports are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowSchedule {
    /// Milliseconds of a window; window `k` begins `k` times that after the start of 1970.
    pub length_ms: u64,
    /// Milliseconds after a window's end within which its report must have come.
    pub due_ms: u64,
}

impl WindowSchedule {
    /// The window of a Unix millisecond.
    #[must_use]
    pub const fn window_at(self, unix_ms: u64) -> u64 {
        unix_ms / self.length_ms
    }

    /// The Unix millisecond at which a window ends.
    #[must_use]
    pub const fn end_ms(self, window: u64) -> u64 {
        (window + 1) * self.length_ms
    }

    /// The Unix millisecond at which a window's report is due.
    #[must_use]
    pub const fn due_at_ms(self, window: u64) -> u64 {
        self.end_ms(window) + self.due_ms
    }
}

/// What a daemon counted in one window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: u64,
    /// Whether the daemon counts no more in it.
    pub is_over: bool,
    /// Requests by team.
    pub counts: Vec<(String, u32)>,
}

/// What this daemon counts.
#[derive(Clone, Debug, Default)]
pub struct Counter {
    windows: BTreeMap<u64, Counts>,
    /// Windows that the leader recorded after they were over.
    acknowledged: BTreeSet<u64>,
}

impl Counter {
    /// A request began to run.
    pub fn count(&mut self, window: u64, team: &Arc<str>) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(Arc::clone(team)).or_default() += 1;
    }

    /// What is to be reported now: windows from `first` to `present`, of which those before `over` are over.
    /// A window without a request is reported too, or the leader would wait for it.
    #[must_use]
    pub fn unacknowledged(&self, first: u64, present: u64, over: u64) -> Vec<WindowCounts> {
        let first = first.max(present.saturating_sub(RETAINED_WINDOWS));
        let windows = (first..=present).filter(|window| !self.acknowledged.contains(window)).map(|window| {
            let counts = self.windows.get(&window).into_iter().flatten();
            let counts = counts.map(|(team, count)| (team.to_string(), *count)).collect();
            WindowCounts { window, is_over: window < over, counts }
        });
        windows.collect()
    }

    /// The leader has recorded a window that is over.
    pub fn acknowledge(&mut self, window: u64) {
        self.acknowledged.insert(window);
    }

    /// Another daemon leads, which knows nothing yet of what was reported to the one before.
    pub fn resend_all(&mut self) {
        self.acknowledged.clear();
    }

    /// Forget what is too old to be reported.
    pub fn prune(&mut self, present: u64) {
        self.windows.retain(|window, _| window + RETAINED_WINDOWS > present);
        self.acknowledged.retain(|window| window + RETAINED_WINDOWS >= present);
    }
}

/// What one run of a daemon reported.
#[derive(Clone, Debug, Default)]
struct RunCounts {
    is_over: bool,
    counts: HashMap<String, u32>,
}

/// A run of a daemon: the VM's name and the run's number.
type DaemonRun = (String, u64);

/// What was reported to a leader.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    windows: BTreeMap<u64, HashMap<DaemonRun, RunCounts>>,
}

impl Ledger {
    /// Record what a daemon reported; in any order, and more than once.
    pub fn record(&mut self, vm: &str, run: u64, reported: WindowCounts) {
        let window = self.windows.entry(reported.window).or_default();
        let known = window.entry((vm.to_owned(), run)).or_default();
        known.is_over |= reported.is_over;
        for (team, count) in reported.counts {
            let present = known.counts.entry(team).or_default();
            *present = (*present).max(count);
        }
    }

    /// Whether all these VMs have reported that a window is over.
    #[must_use]
    pub fn is_complete<'a>(&self, window: u64, mut vms: impl Iterator<Item = &'a str>) -> bool {
        let Some(runs) = self.windows.get(&window) else {
            return false;
        };
        vms.all(|vm| runs.iter().any(|((name, _), run)| name == vm && run.is_over))
    }

    /// Requests of a window by team.
    #[must_use]
    pub fn sum(&self, window: u64) -> BTreeMap<String, u64> {
        let mut sum = BTreeMap::new();
        for (team, count) in self.windows.get(&window).into_iter().flat_map(HashMap::values).flat_map(|t| &t.counts) {
            *sum.entry(team.clone()).or_default() += u64::from(*count);
        }
        sum
    }

    /// Forget what is too old to be reported.
    pub fn prune(&mut self, present: u64) {
        self.windows.retain(|window, _| window + RETAINED_WINDOWS > present);
    }
}

/// A report of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The window.
    pub window: u64,
    /// Requests by team.
    pub counts: BTreeMap<String, u64>,
}

/// What the holder of the duty is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the report that is stored.
    Read,
    /// Store the report of this window in place of the one at this revision, 0 for none.
    Store {
        /// The window.
        window: u64,
        /// The revision.
        expect: i64,
    },
    /// Send this report.
    Send(Report),
    /// Nothing, for now.
    Wait,
}

/// What is known of the report that lies in the store.
#[derive(Clone, Debug, Default)]
enum Stored {
    #[default]
    Unknown,
    Nothing,
    Report {
        revision: i64,
        report: Report,
        /// Whether it needs no more sends.
        is_done: bool,
    },
}

/// The reports of one holder, from when it took over.
#[derive(Clone, Debug)]
pub struct Reporter {
    windows: WindowSchedule,
    /// The first window that is owed if none was ever reported.
    first: u64,
    stored: Stored,
}

impl Reporter {
    /// A holder that took over; `first` is owed if no window was ever reported.
    #[must_use]
    pub fn new(windows: WindowSchedule, first: u64) -> Self {
        Self { windows, first, stored: Stored::default() }
    }

    /// What to do next; `is_complete` says whether all have reported a window that is over, and `latest_ms`
    /// is how long after its end a window waits for those who have not.
    pub fn next_step(&mut self, unix_ms: u64, max_wait_ms: u64, is_complete: impl Fn(u64) -> bool) -> Step {
        let is_overdue = |window: u64| self.windows.due_at_ms(window) <= unix_ms;
        let (window, expect) = match &self.stored {
            Stored::Unknown => return Step::Read,
            Stored::Nothing => (self.first, 0),
            Stored::Report { report, is_done: false, .. } if !is_overdue(report.window) => {
                return Step::Send(report.clone());
            }
            Stored::Report { revision, report, .. } => (report.window + 1, *revision),
        };
        // What is overdue helps nobody, and may hold up those that are not.
        let window = window.max(self.windows.window_at(unix_ms.saturating_sub(self.windows.due_ms)));
        let end_ms = self.windows.end_ms(window);
        let is_ready = end_ms <= unix_ms && (is_complete(window) || end_ms + max_wait_ms <= unix_ms);
        if is_ready { Step::Store { window, expect } } else { Step::Wait }
    }

    /// What was read from the store, or was stored by this holder.
    pub fn set_stored(&mut self, present: Option<(i64, Report)>) {
        self.stored = match present {
            Some((revision, report)) => Stored::Report { revision, report, is_done: false },
            None => Stored::Nothing,
        };
    }

    /// Whether something was stored is not certain.
    pub fn forget_stored(&mut self) {
        self.stored = Stored::Unknown;
    }

    /// A report was accepted, or can never be.
    pub fn mark_done(&mut self, window: u64) {
        if let Stored::Report { report, is_done, .. } = &mut self.stored
            && report.window == window
        {
            *is_done = true;
        }
    }
}

//! Usage reports: each daemon publishes its counts to the leader, which reports them to the platform.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dahliaseam_border::{
    dialect::DutyAnswer,
    error::CallError,
    kv::{Entry, Swap, Swapped},
    once,
};
use dahliaseam_core::{
    revision,
    team::Team,
    usage::{Counter, Ledger, Report, ReportStep, Reporter, WindowCounts, WindowSchedule},
};

use crate::{
    clock::wall_millis,
    emit,
    gateway::{
        leadership::{self, LeaderLease, LeaseScoped},
        metrics::StoreCall,
        packet::Packet,
        peers,
        state::Gateway,
    },
};

/// Interval between two publications of a daemon's counts; counts that are not published yet are lost if it crashes.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(400);
/// Milliseconds after the end of a window until a daemon's counts for it are final: responses that show that a run
/// started before the end may still arrive.
const WINDOW_GRACE_MS: u64 = 700;
/// Share of the time until a report is due after which it no longer waits for daemons that have not published.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Delay before a report that was not accepted is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(750);
/// Interval between two checks by the leader for reports to send.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Counts of this daemon and, if it is the leader, those that were published to it.
#[derive(Debug)]
pub(super) struct Usage {
    /// Where and for which windows to report; `None` if the platform does not ask for reports.
    config: Option<ReportConfig>,
    /// The window in which the daemon started.
    first_window: u64,
    counter: Mutex<Counter>,
    ledger: Mutex<Ledger>,
}

#[derive(Clone, Copy, Debug)]
struct ReportConfig {
    address: SocketAddr,
    windows: WindowSchedule,
}

impl Usage {
    pub(super) fn new(config: Option<(SocketAddr, WindowSchedule)>) -> Self {
        let config = config.map(|(address, windows)| ReportConfig { address, windows });
        let first_window = config.map_or(0, |config| config.windows.window_at(wall_millis()));
        Self { config, first_window, counter: Mutex::default(), ledger: Mutex::default() }
    }

    /// Counts a request of a team that started to run at a Unix millisecond.
    pub(super) fn count(&self, team: &Team, at_ms: u64) {
        if let Some(config) = self.config {
            self.counter().count(config.windows.window_at(at_ms), &team.name);
        }
    }

    /// Counts to publish now, for windows from `first` on.
    fn unacknowledged(&self, windows: WindowSchedule, first: u64) -> Vec<WindowCounts> {
        let now_ms = wall_millis();
        let current = windows.window_at(now_ms);
        let mut counter = self.counter();
        counter.prune(current);
        counter.unacknowledged(first, current, windows.window_at(now_ms.saturating_sub(WINDOW_GRACE_MS)))
    }

    fn counter(&self) -> MutexGuard<'_, Counter> {
        self.counter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gateway {
    /// Whether the platform asks for usage reports.
    pub(super) fn reports_usage(&self) -> bool {
        self.usage.config.is_some()
    }
}

/// Publishes and reports until the daemon shuts down.
pub(super) async fn run(gw: Arc<Gateway>) {
    let Some(config) = gw.usage.config else {
        return;
    };
    let stop = gw.stop.finished.clone();
    tokio::select! {
        () = publish(&gw, config) => {}
        () = report(&gw, config) => {}
        () = stop.cancelled() => {}
    }
}

/// Publishes the last counts of this daemon, when no request is in flight any more.
pub(super) async fn publish_final(gw: &Gateway) {
    if let Some(config) = gw.usage.config {
        publish_once(gw, config.windows).await;
    }
}

/// Publishes the counts of this daemon; the leader records its own directly.
async fn publish(gw: &Gateway, config: ReportConfig) {
    let mut last_leader = None;
    loop {
        gw.sleep(PUBLISH_INTERVAL).await;
        let leader = leader_entry(gw).map(|entry| entry.revision);
        if leader != last_leader {
            last_leader = leader;
            gw.usage.counter().resend_all();
        }
        publish_once(gw, config.windows).await;
    }
}

async fn publish_once(gw: &Gateway, windows: WindowSchedule) {
    let Some(entry) = leader_entry(gw) else { return };
    let windows = gw.usage.unacknowledged(windows, first_unreported(gw));
    if entry.value == gw.settings.vm {
        for window in windows {
            record(gw, &gw.settings.vm, gw.run_id, window);
        }
    } else if let Some(address) = gw.peers.address_of(&peers::registration_key(gw, &entry.value)) {
        for window in windows {
            let packet = Packet::Usage { vm: gw.settings.vm.clone(), run: gw.run_id, window };
            peers::send_packet(gw, &packet, &[address]).await;
        }
    }
}

/// The first window that is not reported yet, as far as this daemon knows.
fn first_unreported(gw: &Gateway) -> u64 {
    let stored = gw.store_cache().daemons.get(&key(gw)).and_then(|entry| parse(entry).ok());
    stored.map_or(gw.usage.first_window, |(_, report)| gw.usage.first_window.max(report.window + 1))
}

/// The leader's entry in the store.
fn leader_entry(gw: &Gateway) -> Option<Entry> {
    gw.store_cache().daemons.get(&leadership::key(gw)).cloned()
}

/// Records what a daemon published; acknowledges final counts, so that they are not published again.
pub(super) async fn handle_usage(gw: &Gateway, from: SocketAddr, vm: String, run: u64, window: WindowCounts) {
    let Some(entry) = leader_entry(gw).filter(|entry| entry.value == gw.settings.vm) else {
        return;
    };
    let (number, is_final) = (window.window, window.is_final);
    record(gw, &vm, run, window);
    if is_final {
        let packet = Packet::UsageAck { fence: entry.revision as u64, window: number };
        peers::send_packet(gw, &packet, &[from]).await;
    }
}

fn record(gw: &Gateway, vm: &str, run: u64, window: WindowCounts) {
    gw.usage.ledger().record(vm, run, window);
}

/// Handles the leader's acknowledgement of a window that is over.
pub(super) fn handle_ack(gw: &Gateway, fence: u64, window: u64) {
    let is_current_leader = leader_entry(gw).is_some_and(|entry| entry.revision as u64 == fence);
    if is_current_leader {
        gw.usage.counter().acknowledge(window);
    }
}

/// Stores and sends the outstanding reports while this daemon is the leader.
async fn report(gw: &Gateway, config: ReportConfig) {
    let mut state = LeaseScoped::empty();
    loop {
        gw.sleep(REPORT_INTERVAL).await;
        let Some((lease, kept)) = state.take(gw.leadership.current(gw.now())) else { continue };
        let mut reporter = kept.unwrap_or_else(|| Reporter::new(config.windows, gw.usage.first_window));
        let step = next_step(gw, config, &mut reporter);
        if let Err(e) = run_step(gw, config, &lease, &mut reporter, step).await {
            emit!(info, USAGE_NOT_REPORTED, fence = lease.fence(), why = %e);
        }
        state.keep(&lease, reporter);
    }
}

fn next_step(gw: &Gateway, config: ReportConfig, reporter: &mut Reporter) -> ReportStep {
    let now_ms = wall_millis();
    let latest_ms = (config.windows.due_ms as f64 * MAX_WAIT_SHARE) as u64;
    let vms = gw.peers.registered_vms(&peers::registration_prefix(gw));
    let mut ledger = gw.usage.ledger();
    ledger.prune(config.windows.window_at(now_ms));
    reporter.next_step(now_ms, latest_ms, |window| ledger.is_complete(window, vms.iter().map(String::as_str)))
}

async fn run_step(
    gw: &Gateway,
    config: ReportConfig,
    lease: &LeaderLease,
    reporter: &mut Reporter,
    step: ReportStep,
) -> Result<(), CallError> {
    match step {
        ReportStep::Wait => Ok(()),
        ReportStep::Read => {
            gw.metrics.store_call(StoreCall::Usage);
            let entry = gw.deps.kv.read(&key(gw)).await?;
            let stored = entry.as_ref().map(parse).transpose()?;
            let known = gw.store_cache().daemons.get(&key(gw)).and_then(|entry| parse(entry).ok());
            reporter.set_stored(newest(stored, known));
            Ok(())
        }
        ReportStep::Store { window, expect } => store(gw, reporter, window, expect).await,
        ReportStep::Send(report) => send(gw, config, lease, reporter, &report).await,
    }
}

/// Key of the report that was started last.
fn key(gw: &Gateway) -> String {
    format!("{}usage", gw.settings.keyspace)
}

fn parse(entry: &Entry) -> Result<(i64, Report), CallError> {
    let report = serde_json::from_str(&entry.value)
        .map_err(|e| CallError::Lost(format!("the stored usage report is unreadable: {e}")))?;
    Ok((entry.revision, report))
}

/// The report to continue from, with the revision of the stored one. A store that came back from an older copy lacks the
/// last reports; they must not be made anew.
fn newest(stored: Option<(i64, Report)>, known: Option<(i64, Report)>) -> Option<(i64, Report)> {
    let revision = stored.as_ref().map_or(0, |(revision, _)| *revision);
    let newest = stored.into_iter().chain(known).map(|(_, report)| report).max_by_key(|report| report.window);
    newest.map(|report| (revision, report))
}

/// Whether a key is that of the report.
pub(super) fn is_report_key(gw: &Gateway, other: &str) -> bool {
    other == key(gw)
}

async fn store(gw: &Gateway, reporter: &mut Reporter, window: u64, expect: i64) -> Result<(), CallError> {
    let report = Report { window, counts: gw.usage.ledger().sum(window) };
    let value = serde_json::to_string(&report).map_err(|e| CallError::NotSent(e.to_string()))?;
    // Until the response arrives, the stored report is unknown.
    reporter.forget_stored();
    gw.metrics.store_call(StoreCall::Usage);
    let swap = Swap { key: key(gw), required_revision: expect, value: Some(value.clone()), lease: None };
    if let Some(Swapped::Done(revision)) = gw.deps.kv.swap_each(vec![swap]).await?.pop() {
        // Known at once, in case the store comes back from an older copy.
        let now = gw.now();
        gw.store_cache().put_daemon_entry(&Entry { key: key(gw), value, revision }, now);
        let requests: u64 = report.counts.values().sum();
        emit!(info, USAGE_STORED, window, teams = report.counts.len(), requests, revision = revision::number(revision));
        reporter.set_stored(Some((revision, report)));
    }
    Ok(())
}

async fn send(
    gw: &Gateway,
    config: ReportConfig,
    lease: &LeaderLease,
    reporter: &mut Reporter,
    report: &Report,
) -> Result<(), CallError> {
    let leader = lease.leader(&gw.settings.vm);
    let req = gw.deps.dialect.report_usage(config.address, &leader, report);
    let req = req.map_err(|e| CallError::NotSent(e.to_string()))?;
    gw.confirm_leadership(lease).await?;
    let result = once::call(config.address, req, leadership::CALL_TIMEOUT).await;
    let status = result.as_ref().map_or(0, |(status, _)| status.as_u16());
    let answer = result.as_ref().ok().map(|_| gw.deps.dialect.duty_answer(status));
    let late_ms = wall_millis().saturating_sub(config.windows.end_ms(report.window));
    emit!(info, USAGE_REPORTED, window = report.window, fence = lease.fence(), answer = ?answer, status, late_ms);
    gw.metrics.usage_report(answer.map_or("unanswered", DutyAnswer::name));
    match answer {
        Some(DutyAnswer::Taken | DutyAnswer::Refused) => reporter.mark_done(report.window),
        Some(DutyAnswer::Later) | None => gw.sleep(RETRY_INTERVAL).await,
    }
    result.map(|_| ())
}

//! Reports of usage: what each daemon counts and publishes to the leader, and what that one reports.

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
    team::Team,
    usage::{Counter, Ledger, Report, Reporter, Step, WindowCounts, WindowSchedule},
};

use crate::{
    clock::wall_millis,
    emit,
    gateway::{
        leadership::{self, LeaderLease, UnderLease},
        metrics::StoreCall,
        packet::Packet,
        peers,
        state::Gateway,
    },
};

/// Time between two times that a daemon publishes its counts: what it has not published is lost with it.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(400);
/// Milliseconds after a window's end until a daemon counts no more in it: answers that show a beginning
/// before the end are still under way.
const SETTLE_MS: u64 = 700;
/// Part of the time until a report is due after which it no longer waits for daemons that have not published.
const WAIT_SHARE: f64 = 0.5;
/// Time until a report that was not taken is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(750);
/// Time between two checks of the leader.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// What a daemon counts and, if it leads, what was published to it.
#[derive(Debug)]
pub(super) struct Usage {
    /// Where reports go, and by which windows; absent where nobody asks for them.
    terms: Option<Terms>,
    /// The window in which the daemon began.
    first: u64,
    counter: Mutex<Counter>,
    ledger: Mutex<Ledger>,
}

#[derive(Clone, Copy, Debug)]
struct Terms {
    address: SocketAddr,
    windows: WindowSchedule,
}

impl Usage {
    pub(super) fn new(terms: Option<(SocketAddr, WindowSchedule)>) -> Self {
        let terms = terms.map(|(address, windows)| Terms { address, windows });
        let first = terms.map_or(0, |terms| terms.windows.window_at(wall_millis()));
        Self { terms, first, counter: Mutex::default(), ledger: Mutex::default() }
    }

    /// A request of a team began to run, at a Unix millisecond.
    pub(super) fn count(&self, team: &Team, at_ms: u64) {
        if let Some(terms) = self.terms {
            self.counter().count(terms.windows.window_at(at_ms), &team.name);
        }
    }

    /// What is to be published now, of the windows from `first` on.
    fn unacknowledged(&self, windows: WindowSchedule, first: u64) -> Vec<WindowCounts> {
        let now_ms = wall_millis();
        let present = windows.window_at(now_ms);
        let mut counter = self.counter();
        counter.prune(present);
        counter.unacknowledged(first, present, windows.window_at(now_ms.saturating_sub(SETTLE_MS)))
    }

    fn counter(&self) -> MutexGuard<'_, Counter> {
        self.counter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gateway {
    /// Whether the platform asks for reports of usage.
    pub(super) fn reports_usage(&self) -> bool {
        self.usage.terms.is_some()
    }
}

/// Publish and report until the daemon is over.
pub(super) async fn run(gw: Arc<Gateway>) {
    let Some(terms) = gw.usage.terms else {
        return;
    };
    let over = gw.stop.over.clone();
    tokio::select! {
        () = publish(&gw, terms) => {}
        () = report(&gw, terms) => {}
        () = over.cancelled() => {}
    }
}

/// Publish for the last time what this daemon counted, when no request is under way any more.
pub(super) async fn publish_last(gw: &Gateway) {
    if let Some(terms) = gw.usage.terms {
        publish_once(gw, terms.windows).await;
    }
}

/// Publish what this daemon counted; the leader records its own counts itself.
async fn publish(gw: &Gateway, terms: Terms) {
    let mut holder = None;
    loop {
        gw.pause(PUBLISH_INTERVAL).await;
        let present = leader_entry(gw).map(|entry| entry.revision);
        if present != holder {
            holder = present;
            gw.usage.counter().resend_all();
        }
        publish_once(gw, terms.windows).await;
    }
}

async fn publish_once(gw: &Gateway, windows: WindowSchedule) {
    let Some(entry) = leader_entry(gw) else { return };
    let windows = gw.usage.unacknowledged(windows, first_owed(gw));
    if entry.value == gw.settings.vm {
        for window in windows {
            record(gw, &gw.settings.vm, gw.start, window);
        }
    } else if let Some(address) = gw.peers.address_of(&peers::registration_key(gw, &entry.value)) {
        for window in windows {
            let packet = Packet::Usage { vm: gw.settings.vm.clone(), run: gw.start, window };
            peers::send_packet(gw, &packet, &[address]).await;
        }
    }
}

/// The first window that is not reported yet, as far as is known here.
fn first_owed(gw: &Gateway) -> u64 {
    let stored = gw.store_cache().daemons.get(&key(gw)).and_then(|entry| read(entry).ok());
    stored.map_or(gw.usage.first, |(_, report)| gw.usage.first.max(report.window + 1))
}

/// The entry of the leader.
fn leader_entry(gw: &Gateway) -> Option<Entry> {
    gw.store_cache().daemons.get(&leadership::key(gw)).cloned()
}

/// Record what a daemon published; answer it if it need not publish that again.
pub(super) async fn receive(gw: &Gateway, from: SocketAddr, vm: String, run: u64, window: WindowCounts) {
    let Some(entry) = leader_entry(gw).filter(|entry| entry.value == gw.settings.vm) else {
        return;
    };
    let (number, is_over) = (window.window, window.is_over);
    record(gw, &vm, run, window);
    if is_over {
        let packet = Packet::UsageAck { fence: entry.revision as u64, window: number };
        peers::send_packet(gw, &packet, &[from]).await;
    }
}

fn record(gw: &Gateway, vm: &str, run: u64, window: WindowCounts) {
    gw.usage.ledger().record(vm, run, window);
}

/// The leader has recorded what this daemon published of a window that is over.
pub(super) fn acknowledged(gw: &Gateway, fence: u64, window: u64) {
    let is_present = leader_entry(gw).is_some_and(|entry| entry.revision as u64 == fence);
    if is_present {
        gw.usage.counter().acknowledge(window);
    }
}

/// Report what is owed, while this daemon leads.
async fn report(gw: &Gateway, terms: Terms) {
    let mut present = UnderLease::none();
    loop {
        gw.pause(REPORT_INTERVAL).await;
        let Some((lease, kept)) = present.take(gw.leadership.current(gw.now())) else { continue };
        let mut reporter = kept.unwrap_or_else(|| Reporter::new(terms.windows, gw.usage.first));
        let step = next_step(gw, terms, &mut reporter);
        if let Err(e) = take_step(gw, terms, &lease, &mut reporter, step).await {
            emit!(info, USAGE_NOT_REPORTED, fence = lease.fence(), why = %e);
        }
        present.keep(&lease, reporter);
    }
}

fn next_step(gw: &Gateway, terms: Terms, reporter: &mut Reporter) -> Step {
    let now_ms = wall_millis();
    let latest_ms = (terms.windows.due_ms as f64 * WAIT_SHARE) as u64;
    let vms = gw.peers.registered_vms(&peers::prefix(gw));
    let mut ledger = gw.usage.ledger();
    ledger.prune(terms.windows.window_at(now_ms));
    reporter.next_step(now_ms, latest_ms, |window| ledger.is_complete(window, vms.iter().map(String::as_str)))
}

async fn take_step(
    gw: &Gateway,
    terms: Terms,
    lease: &LeaderLease,
    reporter: &mut Reporter,
    step: Step,
) -> Result<(), CallError> {
    match step {
        Step::Wait => Ok(()),
        Step::Read => {
            gw.metrics.store_call(StoreCall::Usage);
            let entry = gw.outside.kv.read(&key(gw)).await?;
            reporter.set_stored(entry.as_ref().map(read).transpose()?);
            Ok(())
        }
        Step::Store { window, expect } => store(gw, reporter, window, expect).await,
        Step::Send(report) => send(gw, terms, lease, reporter, &report).await,
    }
}

/// Key of the report that was last begun.
fn key(gw: &Gateway) -> String {
    format!("{}usage", gw.settings.keyspace)
}

fn read(entry: &Entry) -> Result<(i64, Report), CallError> {
    let report = serde_json::from_str(&entry.value).map_err(|e| CallError::Lost(format!("unreadable report: {e}")))?;
    Ok((entry.revision, report))
}

async fn store(gw: &Gateway, reporter: &mut Reporter, window: u64, expect: i64) -> Result<(), CallError> {
    let report = Report { window, counts: gw.usage.ledger().sum(window) };
    let value = serde_json::to_string(&report).map_err(|e| CallError::NotSent(e.to_string()))?;
    // Until its answer is there nobody knows what is stored.
    reporter.forget_stored();
    gw.metrics.store_call(StoreCall::Usage);
    let swap = Swap { key: key(gw), expect, value: Some(value), lease: None };
    if let Some(Swapped::Done(revision)) = gw.outside.kv.swap_each(vec![swap]).await?.pop() {
        let requests: u64 = report.counts.values().sum();
        emit!(info, USAGE_STORED, window, teams = report.counts.len(), requests, revision);
        reporter.set_stored(Some((revision, report)));
    }
    Ok(())
}

async fn send(
    gw: &Gateway,
    terms: Terms,
    lease: &LeaderLease,
    reporter: &mut Reporter,
    report: &Report,
) -> Result<(), CallError> {
    let holder = lease.holder(&gw.settings.vm);
    let req = gw.outside.dialect.report_usage(terms.address, &holder, report);
    let req = req.map_err(|e| CallError::NotSent(e.to_string()))?;
    gw.confirm_leadership(lease).await?;
    let answered = once::call(terms.address, req, leadership::CALL_TIMEOUT).await;
    let status = answered.as_ref().map_or(0, |(status, _)| status.as_u16());
    let answer = answered.as_ref().ok().map(|_| gw.outside.dialect.duty_answer(status));
    let late_ms = wall_millis().saturating_sub(terms.windows.end_ms(report.window));
    emit!(info, USAGE_REPORTED, window = report.window, fence = lease.fence(), answer = ?answer, status, late_ms);
    gw.metrics.usage_report(answer.map_or("unanswered", DutyAnswer::name));
    match answer {
        Some(DutyAnswer::Taken | DutyAnswer::Refused) => reporter.mark_done(report.window),
        Some(DutyAnswer::Later) | None => gw.pause(RETRY_INTERVAL).await,
    }
    answered.map(|_| ())
}

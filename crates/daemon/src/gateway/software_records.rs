//! Keeps the versions of software that may have begun streams in the store, for daemons that start when no other is left.
//!
//! The daemons that watch the store record a version when its first replica registers; others do so if none has. The leader
//! alone removes the record of a version that has had no replica for as long as its streams last, so that a daemon with
//! another view doesn't.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dahliaseam_border::kv::{Entry, Swap};
use dahliaseam_core::{
    hash::rendezvous,
    software_records::{LIFETIME_FACTOR, RecordChange, SoftwareRecord, SoftwareRecords},
    stream_origin::{Origin, RecentSoftware},
    time::{Span, Time},
};

use crate::{
    emit,
    gateway::{metrics::StoreCall, state::Gateway},
};

/// Prefix of the keys below the daemons' keyspace.
const PREFIX: &str = "software/";
/// Longest time between two comparisons of the records with the replicas.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest such time, for replicas that change together.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a daemon records what one that watches the store should have recorded.
const TAKEOVER_DELAY: Span = Span::millis(3_000);
/// Upper bound of the jitter added to that delay, per daemon.
const TAKEOVER_JITTER_PER_DAEMON: Span = Span::millis(20);
/// Delay before a change that failed, or whose effect is not visible yet, is made again.
const RETRY_INTERVAL: Span = Span::millis(1_000);
/// Time added to that for which a stream may be taken up, for the time that requests and changes are on their way.
const MARGIN: Span = Span::millis(2_000);

/// The records, as far as this daemon knows them.
#[derive(Debug, Default)]
pub(super) struct Records(Mutex<SoftwareRecords>);

impl Records {
    fn lock(&self) -> MutexGuard<'_, SoftwareRecords> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gateway {
    /// Which versions of a service's software may have begun streams that were taken up within `lifetime`.
    ///
    /// A daemon that is younger than that relies on the records, once it has read the store up to date.
    pub(super) fn possible_origins(&self, service: &str, lifetime: Span) -> RecentSoftware {
        let now = self.now();
        let (known, is_young) = {
            let fleet = self.fleet();
            let recent = fleet.recent_software(service, lifetime, now);
            (fleet.known_software(service, lifetime, now), recent == RecentSoftware::Unknown)
        };
        let records = self.software_records.lock();
        let is_recorded = matches!(known, RecentSoftware::Only(only) if records.contains(only));
        if is_young && !(is_recorded && self.store_cache().is_confirmed) {
            return RecentSoftware::Unknown;
        }
        records.restrict(service, known)
    }
}

fn key(gw: &Gateway, origin: Origin) -> String {
    format!("{}{PREFIX}{origin}", gw.settings.keyspace)
}

fn is_key(gw: &Gateway, key: &str) -> bool {
    key.strip_prefix(&gw.settings.keyspace).is_some_and(|rest| rest.starts_with(PREFIX))
}

/// Applies an entry of the store; returns whether it is a record.
pub(super) fn apply_put(gw: &Gateway, entry: &Entry) -> bool {
    if !is_key(gw, &entry.key) {
        return false;
    }
    if let Ok(record) = serde_json::from_str::<SoftwareRecord>(&entry.value) {
        gw.software_records.lock().put(record);
    }
    true
}

/// Applies the removal of an entry.
pub(super) fn apply_removal(gw: &Gateway, key: &str) {
    let origin = key.strip_prefix(&gw.settings.keyspace).and_then(|rest| Origin::parse(rest.strip_prefix(PREFIX)?));
    if let Some(origin) = origin {
        gw.software_records.lock().remove(origin);
    }
}

/// Keeps the records up to date until the daemon shuts down.
pub(super) async fn run(gw: Arc<Gateway>) {
    let stop = gw.stop.finished.clone();
    let mut due = HashMap::new();
    loop {
        tokio::select! {
            () = gw.replicas_changed.notified() => {}
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        record_changes(&gw, &mut due).await;
        tokio::time::sleep(MIN_CHECK_INTERVAL).await;
    }
}

/// Makes the changes that are due; `due` states when each is.
async fn record_changes(gw: &Gateway, due: &mut HashMap<Origin, Time>) {
    let Some(table) = gw.table().filter(|_| !gw.store_cache().unreachable) else { return };
    let lifetimes: HashMap<Arc<str>, Span> = table
        .services()
        .filter_map(|service| Some((Arc::clone(&service.name), table.resumable_time(&service.name)?)))
        .collect();
    let mut serving = Vec::new();
    for service in lifetimes.keys() {
        let versions = gw.fleet().serving_software(service).into_iter();
        serving.extend(versions.map(|software| SoftwareRecord { service: Arc::clone(service), software }));
    }
    let longest = lifetimes.values().copied().max().unwrap_or_default();
    let lifetime =
        |service: &str| Span(lifetimes.get(service).unwrap_or(&longest).0.saturating_mul(LIFETIME_FACTOR)) + MARGIN;
    let now = gw.now();
    let mut changes = gw.software_records.lock().changes(&serving, lifetime, now);
    let lost = lost_records(gw, &serving);
    changes.extend(lost.into_iter().map(RecordChange::Serves));
    let is_leader = gw.leadership.current(now).is_some();
    due.retain(|origin, _| changes.iter().any(|change| origin_of(change) == *origin));
    for change in changes {
        let origin = origin_of(&change);
        let value = match &change {
            RecordChange::Ended(_) if !is_leader => continue,
            RecordChange::Serves(record) => serde_json::to_string(record).ok(),
            RecordChange::Ended(_) => None,
        };
        let due_at = due.entry(origin).or_insert_with(|| first_attempt_at(gw, is_leader, origin, now));
        if !due_at.is_past(now) {
            continue;
        }
        *due_at = now + RETRY_INTERVAL;
        write(gw, origin, value).await;
    }
}

fn origin_of(change: &RecordChange) -> Origin {
    match change {
        RecordChange::Serves(record) => record.origin(),
        RecordChange::Ended(origin) => *origin,
    }
}

/// The records of versions that serve and that the store lacks since it came back from an older copy.
fn lost_records(gw: &Gateway, serving: &[SoftwareRecord]) -> Vec<SoftwareRecord> {
    let known = gw.software_records.lock();
    let cache = gw.store_cache();
    let is_lost = |record: &&SoftwareRecord| {
        known.contains(record.origin()) && cache.daemons.get(&key(gw, record.origin())).is_none()
    };
    serving.iter().filter(is_lost).cloned().collect()
}

/// When this daemon makes a change: at once if it watches the store or leads, otherwise if nobody else has made it.
fn first_attempt_at(gw: &Gateway, is_leader: bool, origin: Origin, now: Time) -> Time {
    if is_leader || gw.store_cache().watching {
        return now;
    }
    let max_jitter = TAKEOVER_JITTER_PER_DAEMON.0 * gw.fleet().daemons() as u64;
    now + TAKEOVER_DELAY + Span(rendezvous(origin.id(), gw.run_id) % max_jitter.max(1))
}

async fn write(gw: &Gateway, origin: Origin, value: Option<String>) {
    let key = key(gw, origin);
    let required_revision = gw.store_cache().daemons.revision_of(&key).unwrap_or(0);
    if value.is_none() && required_revision == 0 {
        gw.software_records.lock().remove(origin);
        return;
    }
    gw.metrics.store_call(StoreCall::Software);
    let swap = Swap { key, required_revision, value, lease: None };
    // A conflict means that another daemon was first; the store reports what it wrote.
    if let Err(e) = gw.deps.kv.swap_each(vec![swap]).await {
        emit!(info, SOFTWARE_NOT_RECORDED, why = %e);
    }
}

//! Watches the store for the configuration in force and for the replicas; [`store_entries`](super::store_entries) applies what
//! it reports.
//!
//! The first read fetches everything; after that, long polls deliver each change. While the store is unreachable, the
//! daemon continues with what it knows and probes it with the cheapest call. Entries that lapsed in the meantime get a
//! short time to come back, since their replicas could not renew them. In large deployments a few daemons of each hall
//! watch the store for the whole hall.

use std::{sync::Arc, time::Duration};

use dahliaseam_border::{
    error::CallError,
    feed::{Change, Changes, Snapshot, UnreadableItem},
};
use dahliaseam_core::{
    proof::{Proof, proved_at},
    revision,
    time::{Span, Time},
    watcher_election::{Election, ElectionTiming},
};

use crate::{
    clock::duration,
    emit,
    gateway::{
        metrics::StoreCall,
        peers::priority,
        state::Gateway,
        store_entries::{LAPSE_SETTLE_TIME, REREGISTRATION_GRACE, apply, apply_snapshot, apply_unless_outdated},
    },
};

/// Delay between two watch calls, so that one call returns changes that come together. It is small compared with the
/// seconds within which a change must be in force.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two checks whether peers still watch the store.
const ELECTION_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two sweeps for replicas that are gone and for old connections.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of items of one answer that are logged because they cannot be decoded.
const MAX_LOGGED_ITEMS: usize = 8;

/// Watches the store until the daemon shuts down.
pub(super) async fn run(gw: Arc<Gateway>) {
    let stop = gw.stop.finished.clone();
    tokio::select! {
        () = watch(&gw) => {}
        () = sweep(&gw) => {}
        () = stop.cancelled() => {}
    }
}

async fn watch(gw: &Arc<Gateway>) {
    let mut election = Election::default();
    let timing = ElectionTiming { watch_deadline: Span::millis(gw.settings.timing.contact_ms) };
    loop {
        let (is_initialized, may_stand_by) = {
            let cache = gw.store_cache();
            (cache.revision > 0, cache.revision > 0 && (cache.is_confirmed || cache.unreachable))
        };
        if may_stand_by && !is_elected(gw, &mut election, timing) && !gw.keys.is_proof_stale(gw.now()) {
            stand_by(gw).await;
            continue;
        }
        set_watching(gw, true);
        let wait = next_wait(gw, &election, timing);
        match poll(gw, is_initialized, wait).await {
            Ok(()) => {
                if election.record_answer() {
                    gw.load_changed.notify_one();
                }
                tokio::time::sleep(WATCH_INTERVAL).await;
            }
            Err(e) => {
                store_failed(gw, &e);
                let wait = election.record_failure(timing);
                let jitter = Span(gw.random() % wait.0.max(1));
                tokio::time::sleep(duration(wait) + duration(jitter)).await;
            }
        }
    }
}

/// Maximum wait of the next call. The first one after a read that may be old does not wait, so that the daemon soon knows
/// that nothing is missing.
fn next_wait(gw: &Gateway, election: &Election, timing: ElectionTiming) -> Span {
    if !gw.store_cache().is_confirmed {
        return Span::default();
    }
    let wait = election.next_wait(timing);
    gw.keys.max_watch_wait().map_or(wait, |longest| wait.min(longest))
}

fn is_elected(gw: &Gateway, election: &mut Election, timing: ElectionTiming) -> bool {
    let now = gw.now();
    let is_alone = gw.seeds().is_empty() && !gw.peers.has_hall_peers(gw.hall);
    if !is_alone && gw.fleet().is_warming_up(now) {
        // This daemon has just started to hear its peers and cannot know which of them watch the store. If it called
        // the store now, so would all daemons that start together.
        return false;
    }
    let watching = gw.store_cache().watching;
    election.is_elected(watching, priority(gw), &gw.peers.hall_peers(gw.hall), timing, now)
}

/// Makes one call, or two while the store is unreachable: the first is cheap and only checks whether it is back.
async fn poll(gw: &Arc<Gateway>, is_initialized: bool, wait: Span) -> Result<(), CallError> {
    if gw.store_cache().unreachable {
        gw.metrics.store_call(StoreCall::Probe);
        gw.deps.feed.probe().await?;
    }
    if is_initialized { poll_changes(gw, wait).await } else { read_all(gw, true).await }
}

/// Leaves watching the store to peers for a while.
async fn stand_by(gw: &Arc<Gateway>) {
    set_watching(gw, false);
    tokio::time::sleep(ELECTION_INTERVAL).await;
}

fn set_watching(gw: &Gateway, watching: bool) {
    let mut cache = gw.store_cache();
    if cache.watching != watching {
        cache.watching = watching;
        // Whether the store is reachable is unknown to this daemon while peers watch it.
        cache.unreachable &= watching;
        emit!(
            info,
            FOLLOWING,
            following = watching,
            era = revision::era(cache.revision),
            revision = revision::number(cache.revision)
        );
    }
}

/// Reads everything. `may_be_old` allows a stale read, for callers that read the changes since then right after it.
async fn read_all(gw: &Arc<Gateway>, may_be_old: bool) -> Result<(), CallError> {
    gw.metrics.store_call(StoreCall::ReadAll);
    emit!(info, READING_STORE, may_be_old);
    let asked_at = gw.now();
    let snapshot = match gw.deps.feed.snapshot("", may_be_old).await {
        Ok(snapshot) => snapshot,
        Err(failure) => {
            apply_part(gw, failure.so_far);
            return Err(failure.why);
        }
    };
    store_answered(gw, snapshot.revision);
    log_unreadable(&snapshot.unreadable);
    let is_configuration_read = is_configuration_readable(gw, &snapshot.unreadable);
    apply_snapshot(gw, snapshot);
    if !may_be_old {
        gw.store_cache().is_confirmed = true;
        if is_configuration_read {
            record_proof(gw, asked_at);
        }
    }
    Ok(())
}

/// Applies what was read before a read failed, if the one before failed too and nothing else is known. The daemon is not ready
/// with it, but serves what callers send all the same.
fn apply_part(gw: &Arc<Gateway>, part: Snapshot) {
    let is_needed = {
        let cache = gw.store_cache();
        cache.revision == 0 && cache.unreachable
    };
    if !is_needed || part.entries.is_empty() {
        return;
    }
    emit!(warn, STORE_READ_IN_PART, pages = part.pages, entries = part.entries.len());
    for entry in part.entries {
        apply(gw, Change::Put(entry));
    }
}

/// Records that the store has reported all changes of the configuration up to `at`.
fn record_proof(gw: &Gateway, at: Time) {
    let revision = gw.store_cache().newest_configuration;
    gw.keys.record_proof(Proof { revision, at });
}

async fn poll_changes(gw: &Arc<Gateway>, wait: Span) -> Result<(), CallError> {
    let revision = gw.store_cache().revision;
    let asked_at = gw.now();
    gw.metrics.store_call(StoreCall::Watch);
    let changes = tokio::select! {
        changes = gw.deps.feed.changes("", revision, wait) => changes?,
        // A call from before the machine was suspended may never be answered.
        () = gw.resumed.notified() => return Ok(()),
    };
    match changes {
        Changes::HistoryGone => {
            emit!(info, HISTORY_GONE, era = revision::era(revision), revision = revision::number(revision));
            read_all(gw, false).await
        }
        Changes::Next { changes, unreadable, revision } => {
            store_answered(gw, revision);
            log_unreadable(&unreadable);
            let is_configuration_read = is_configuration_readable(gw, &unreadable);
            let at = proved_at(asked_at, wait, !changes.is_empty() || !unreadable.is_empty(), gw.now());
            for change in changes {
                apply_unless_outdated(gw, change);
            }
            {
                let mut cache = gw.store_cache();
                cache.advance(revision);
                cache.is_confirmed = true;
            }
            if is_configuration_read {
                record_proof(gw, at);
            }
            Ok(())
        }
    }
}

/// Whether none of these items may have been the configuration.
fn is_configuration_readable(gw: &Gateway, unreadable: &[UnreadableItem]) -> bool {
    let key = gw.deps.dialect.configuration_key();
    unreadable.iter().all(|item| item.key.as_deref().is_some_and(|other| other != key))
}

/// Logs the first of the items that cannot be decoded.
fn log_unreadable(items: &[UnreadableItem]) {
    for UnreadableItem { key, why } in items.iter().take(MAX_LOGGED_ITEMS) {
        emit!(error, STORE_ITEM_UNREADABLE, key, why, items = items.len());
    }
}

/// Records that the store answered with its contents up to a revision.
fn store_answered(gw: &Gateway, revision: i64) {
    gw.metrics.store_read("answered");
    let now = gw.now();
    let mut cache = gw.store_cache();
    cache.last_answer_at = now;
    if std::mem::take(&mut cache.unreachable) {
        cache.grace_until = now + REREGISTRATION_GRACE;
        cache.lapses_until = now + LAPSE_SETTLE_TIME;
        emit!(info, STORE_BACK, era = revision::era(cache.revision), revision = revision::number(cache.revision));
    }
    if !cache.lapses_until.is_past(now) {
        cache.lapsed_up_to = cache.lapsed_up_to.max(revision);
    }
}

fn store_failed(gw: &Gateway, e: &CallError) {
    gw.metrics.store_read("failed");
    let now = gw.now();
    let mut cache = gw.store_cache();
    if !std::mem::replace(&mut cache.unreachable, true) {
        let silent_ms = now.since(cache.last_answer_at).as_millis();
        let (era, revision) = (revision::era(cache.revision), revision::number(cache.revision));
        emit!(warn, STORE_LOST, era, revision, silent_ms, why = %e);
    }
}

async fn sweep(gw: &Arc<Gateway>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = gw.now();
        gw.upstream.close_expired();
        gw.store_cache().superseded.expire(now);
        let mut fleet = gw.fleet();
        gw.metrics.replicas_through_peers(fleet.count_through_peers() as u64);
        for sender in fleet.remove_expired_peers(now) {
            emit!(info, PEER_SILENT, sender);
        }
        for id in fleet.remove_gone(now) {
            emit!(info, REPLICA_FORGOTTEN, replica = %id);
        }
    }
}

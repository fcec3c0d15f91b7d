//! Watches the store for the configuration in force and for the replicas.
//!
//! The first read fetches everything; after that, long polls deliver each change. While the store is unreachable, the
//! daemon continues with what it knows and probes it with the cheapest call. Entries that lapsed in the meantime get a
//! short time to come back, since their replicas could not renew them. In large deployments a few daemons of each hall
//! watch the store for the whole hall.

use std::{collections::HashSet, sync::Arc, time::Duration};

use dahliaseam_border::{
    error::CallError,
    feed::{Change, Changes, Snapshot, UnreadableItem},
    kv::Entry,
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
        autoscaler, blamed, metrics::StoreCall, peers::priority, quota, snapshot_transfer::CacheUpdate,
        software_records, state::Gateway, store_cache::StoreCache, usage,
    },
};

/// Time for lapsed entries to come back after the store is reachable again. Live replicas write their entry again
/// within about two seconds; the rest is for transmission.
const REREGISTRATION_GRACE: Span = Span::millis(2_200);
/// Time after the store is reachable again in which entries may still lapse because of the outage. A later removal is
/// intended by its replica, and the only daemon that could not reach the store must not mistake it for a lapse.
const LAPSE_SETTLE_TIME: Span = Span::millis(300);
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

/// Applies all entries, which are as of a revision or newer.
pub(super) fn apply_snapshot(gw: &Arc<Gateway>, snapshot: Snapshot) {
    let prefix = gw.deps.dialect.replica_prefix();
    let revision = snapshot.revision;
    let now = gw.now();
    log_unreadable(&snapshot.unreadable);
    let (is_return, missing, entries) = {
        // What is known of an item that cannot be decoded now stays known.
        let unreadable = snapshot.unreadable.iter().filter_map(|item| item.key.as_deref());
        let keys: HashSet<&str> = snapshot.entries.iter().map(|entry| &*entry.key).chain(unreadable).collect();
        let mut cache = gw.store_cache();
        let before = cache.revision;
        let is_return = cache.note_return(revision, now + REREGISTRATION_GRACE, now + LAPSE_SETTLE_TIME, now);
        if is_return {
            let (era, after) = (revision::era(revision), revision::number(revision));
            emit!(
                warn,
                STORE_RETURNED,
                era,
                revision = after,
                before_era = revision::era(before),
                before = revision::number(before)
            );
        }
        let missing = [cache.replicas.missing_from(&keys), cache.daemons.missing_from(&keys)].concat();
        let is_older = revision < before;
        let entries = snapshot.entries.into_iter().filter(|entry| !is_older || !is_outdated(gw, &cache, entry));
        // An older copy may show a version that is cached without its value.
        let entries = entries.map(|entry| if is_return { to_cached(gw, entry) } else { entry });
        let entries: Vec<Entry> = entries.filter_map(|entry| cache.merge(entry)).collect();
        (is_return, missing, entries)
    };
    let replicas = entries.iter().filter(|entry| entry.key.starts_with(prefix)).count();
    for entry in entries {
        apply(gw, Change::Put(entry));
    }
    for key in missing {
        if is_return && key.starts_with(&gw.settings.keyspace) {
            forget_lost(gw, &key, revision);
        } else {
            apply(gw, Change::Removed { key: key.to_string(), revision });
        }
    }
    gw.store_cache().record_full_read(revision);
    emit!(
        info,
        STORE_READ,
        era = revision::era(revision),
        revision = revision::number(revision),
        newest = revision::number(snapshot.newest),
        pages = snapshot.pages,
        replicas
    );
}

/// Handles the loss of an entry of the daemons that an older copy of the store lacks: nobody has removed it.
fn forget_lost(gw: &Gateway, key: &str, revision: i64) {
    if usage::is_report_key(gw, key) || autoscaler::is_sizes_key(gw, key) {
        // The next leader continues from what was stored there.
        return;
    }
    if gw.store_cache().daemons.remove(key, revision).is_some() {
        gw.peers.deregister(key);
        quota::apply_removal(gw, key);
    }
}

/// Applies all that a peer knows which compared the store with what was known before it came back. Of entries with the
/// same revision, the peer's is preferred.
pub(super) fn apply_merged(gw: &Arc<Gateway>, update: CacheUpdate) {
    let entries: Vec<Entry> = update.entries.into_iter().map(Entry::from).collect();
    let gone: Vec<Arc<str>> = {
        let keys: HashSet<&str> = entries.iter().map(|entry| &*entry.key).collect();
        let cache = gw.store_cache();
        let missing = cache.replicas.missing_from(&keys);
        missing.into_iter().filter(|key| cache.replicas.revision_of(key) <= Some(update.revision)).collect()
    };
    for entry in entries {
        if entry.key == gw.deps.dialect.configuration_key() {
            let is_newer = gw.store_cache().configuration.as_ref().is_none_or(|known| known.revision <= entry.revision);
            if is_newer {
                apply_configuration(gw, entry);
            }
        } else if entry.key.starts_with(gw.deps.dialect.replica_prefix()) {
            if gw.store_cache().replicas.replace(&entry.key, entry.revision, entry.clone()) {
                apply_replica(gw, &entry);
            }
        } else if !apply_known(gw, &entry) {
            apply(gw, Change::Put(entry));
        }
    }
    for key in gone {
        remove_replica(gw, &key, update.revision);
    }
    gw.store_cache().merged_era = update.merged_era;
}

/// Applies an entry from which the next leader continues; returns whether it is one.
fn apply_known(gw: &Gateway, entry: &Entry) -> bool {
    let is_duty = usage::is_report_key(gw, &entry.key) || autoscaler::is_sizes_key(gw, &entry.key);
    if is_duty {
        gw.store_cache().daemons.replace(&entry.key, entry.revision, entry.clone());
    }
    is_duty
}

/// Applies a change that may have been on its way for longer than what is known.
pub(super) fn apply_unless_outdated(gw: &Arc<Gateway>, change: Change) {
    let is_outdated = matches!(&change, Change::Put(entry) if is_outdated(gw, &gw.store_cache(), entry));
    if !is_outdated {
        apply(gw, change);
    }
}

/// Whether an entry is known to have been removed since. The configuration never is.
fn is_outdated(gw: &Gateway, cache: &StoreCache, entry: &Entry) -> bool {
    entry.key != gw.deps.dialect.configuration_key() && cache.is_outdated(entry)
}

/// Applies one change.
pub(super) fn apply(gw: &Arc<Gateway>, change: Change) {
    let dialect = &gw.deps.dialect;
    match change {
        Change::Put(entry) if entry.key == dialect.configuration_key() => put_configuration(gw, entry),
        Change::Put(entry) if entry.key.starts_with(dialect.replica_prefix()) => put_replica(gw, &entry),
        Change::Put(entry) if entry.key.starts_with(&gw.settings.keyspace) => {
            if !gw.store_cache().put_daemon_entry(&entry, gw.now()) {
                return;
            }
            if !blamed::apply_put(gw, &entry)
                && !quota::apply_put(gw, &entry)
                && !software_records::apply_put(gw, &entry)
            {
                gw.peers.register(&entry);
            }
        }
        Change::Removed { key, revision } if key.starts_with(dialect.replica_prefix()) => {
            remove_replica(gw, &key, revision);
        }
        Change::Removed { key, revision } => {
            let now = gw.now();
            if gw.store_cache().remove_daemon_entry(&key, revision, now) {
                gw.peers.deregister(&key);
                quota::apply_removal(gw, &key);
                blamed::apply_removal(gw, &key);
                software_records::apply_removal(gw, &key);
            }
        }
        Change::Put(_) => {}
    }
}

fn put_configuration(gw: &Gateway, entry: Entry) {
    let is_stale = gw.store_cache().configuration.as_ref().is_some_and(|present| present.revision >= entry.revision);
    if is_stale {
        return;
    }
    apply_configuration(gw, entry);
}

fn apply_configuration(gw: &Gateway, entry: Entry) {
    gw.store_cache().newest_configuration = entry.revision;
    match gw.deps.dialect.decode_configuration(&entry.value) {
        Ok(table) => {
            let (version, routes) = (table.version, table.len());
            for service in table.services() {
                if let Some(engine) = &service.engine {
                    let mut fleet = gw.fleet();
                    fleet.set_kv_capacity(&service.name, engine.kv_capacity_tokens);
                    fleet.set_max_pause(&service.name, table.max_event_gap(&service.name));
                }
            }
            if gw.set_table(table) {
                emit!(
                    info,
                    ROUTES_IN_FORCE,
                    configuration = version,
                    era = revision::era(entry.revision),
                    revision = revision::number(entry.revision),
                    routes
                );
            }
            gw.keys.set_in_force(entry.revision);
            let is_older = gw.table().is_some_and(|table| table.version > version);
            let known = gw.store_cache().configuration.as_ref().map(|known| known.value.clone());
            // Peers must not get an older version from here than the one in force.
            let value = known.filter(|_| is_older).unwrap_or_else(|| entry.value.clone());
            gw.store_cache().set_configuration(Entry { value, ..entry }, gw.now());
        }
        Err(e) => {
            let (era, revision) = (revision::era(entry.revision), revision::number(entry.revision));
            emit!(error, CONFIG_REJECTED, era, revision, why = %e);
        }
    }
}

/// The identifier in the key of a replica's entry, which may begin like the prefix itself.
fn replica_id<'a>(gw: &Gateway, key: &'a str) -> &'a str {
    key.strip_prefix(gw.deps.dialect.replica_prefix()).unwrap_or(key)
}

fn put_replica(gw: &Gateway, entry: &Entry) {
    // Stored even if it turns out to be unreadable, so that reading it again at the same revision is not a change.
    let is_new = gw.store_cache().replicas.is_newer(&entry.key, entry.revision);
    if is_new && gw.store_cache().put_replica_entry(&to_cached(gw, entry.clone()), gw.now()) {
        apply_replica(gw, entry);
    }
}

/// The entry as it is kept and sent to peers: without its value if it names no replica, since other writers may put any number
/// of bytes there.
fn to_cached(gw: &Gateway, entry: Entry) -> Entry {
    let dialect = &gw.deps.dialect;
    let is_foreign = entry.key.starts_with(dialect.replica_prefix())
        && dialect.decode_replica(replica_id(gw, &entry.key), &entry.value).is_err();
    if is_foreign { Entry { value: String::new(), ..entry } } else { entry }
}

fn apply_replica(gw: &Gateway, entry: &Entry) {
    let id = replica_id(gw, &entry.key).to_owned();
    match gw.deps.dialect.decode_replica(&id, &entry.value) {
        Ok((facts, _)) => {
            let (draining, role) = (facts.draining, facts.role);
            let (service, address, born) = (Arc::clone(&facts.service), facts.address, facts.start_time_ms);
            if gw.fleet().is_replaced(&facts) {
                gw.upstream.close_idle(address);
            }
            if gw.fleet().put(facts, entry.revision) {
                gw.replicas_changed.notify_one();
                emit!(
                    info,
                    REPLICA_KNOWN,
                    replica = id,
                    service = %service,
                    address = %address,
                    role = ?role,
                    draining,
                    born,
                    era = revision::era(entry.revision),
                    revision = revision::number(entry.revision)
                );
            }
        }
        Err(e) => {
            // The entry names no usable replica, so the replica that the previous entry named gets no more requests.
            gw.fleet().mark_removed(&id, entry.revision, gw.now());
            let (era, revision) = (revision::era(entry.revision), revision::number(entry.revision));
            emit!(error, REPLICA_UNREADABLE, replica = id, era, revision, why = %e);
        }
    }
}

fn remove_replica(gw: &Gateway, key: &str, revision: i64) {
    let id = replica_id(gw, key);
    let now = gw.now();
    let gone_at = {
        let mut cache = gw.store_cache();
        if !cache.remove_replica_entry(key, revision, now) {
            return;
        }
        cache.gone_at(revision, now)
    };
    if gw.fleet().mark_removed(id, revision, gone_at) {
        gw.replicas_changed.notify_one();
        emit!(
            info,
            REPLICA_LEFT,
            replica = id,
            era = gw.deps.feed.era(),
            revision,
            grace_ms = gone_at.since(now).as_millis()
        );
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

//! Applies entries of the store: the configuration, the replicas, and what daemons keep there for each other.
//!
//! They come from this daemon's own reads and watches, or from a peer. Each key is ordered by its own revision, so entries may
//! be applied in any order. Anybody may write beside the replicas; an entry that names none affects no other.

use std::{collections::HashSet, sync::Arc};

use dahliaseam_border::{
    feed::{Change, Snapshot},
    kv::Entry,
};
use dahliaseam_core::{revision, time::Span};

use crate::{
    emit,
    gateway::{
        autoscaler, blamed, quota, snapshot_transfer::CacheUpdate, software_records, state::Gateway,
        store_cache::StoreCache, usage,
    },
};

/// Time for lapsed entries to come back after the store is reachable again. Live replicas write their entry again
/// within about two seconds; the rest is for transmission.
pub(super) const REREGISTRATION_GRACE: Span = Span::millis(2_200);
/// Time after the store is reachable again in which entries may still lapse because of the outage. A later removal is
/// intended by its replica, and the only daemon that could not reach the store must not mistake it for a lapse.
pub(super) const LAPSE_SETTLE_TIME: Span = Span::millis(300);

/// Applies all entries, which are as of a revision or newer.
pub(super) fn apply_snapshot(gw: &Arc<Gateway>, snapshot: Snapshot) {
    let prefix = gw.deps.dialect.replica_prefix();
    let revision = snapshot.revision;
    let now = gw.now();
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

//! Ownership of quota shards.
//!
//! Each shard has a key in the store, which expires with its owner's lease. Daemons rank themselves for each shard by
//! rendezvous hashing and take a free shard in that order, so that only a few try at once. A restarted daemon
//! immediately takes the shards of its previous run, which certainly grants nothing any more.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use dahliaseam_border::{
    error::CallError,
    kv::{LeaseId, Swap, Swapped},
};
use dahliaseam_core::{
    hash,
    lease::Authority,
    quota::{SHARDS, shard::ShardBuckets},
    revision,
    time::{Span, Time},
};

use crate::{
    emit,
    gateway::{
        metrics::StoreCall,
        peers,
        quota::{OwnedShard, Owner, OwnerEntry, key, lock},
        state::Gateway,
    },
};

/// Interval between two checks of the shards.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// TTL of an owner's lease, in seconds. It bridges shorter outages of the store.
const LEASE_S: u64 = 20;
/// Interval between two renewals.
const RENEW_INTERVAL: Span = Span::millis(4_000);
/// Delay before a failed renewal is retried.
const RETRY_INTERVAL: Span = Span::millis(500);
/// Time for which a shard must be free before the daemon that ranks first for it takes it.
const MIN_FREE_TIME: Span = Span::millis(600);
/// Additional delay for each daemon that ranks before this one.
const RANK_DELAY: Span = Span::millis(400);
/// Time after a failed call in which no shard is taken.
const BACKOFF: Span = Span::millis(2_000);

/// The lease of all shards that this daemon owns.
#[derive(Debug)]
struct HeldLease {
    lease: LeaseId,
    authority: Authority,
    renew_at: Time,
    /// The store's era at which it was granted.
    era: i64,
}

/// Keeps the shards owned until the daemon stops.
pub(in crate::gateway) async fn run(gw: Arc<Gateway>) {
    let stop = gw.stop.begun.clone();
    let mut held_lease = None;
    tokio::select! {
        () = maintain(&gw, &mut held_lease) => {}
        () = stop.cancelled() => {}
    }
    lock(&gw.quotas.owned).clear();
    if let Some(HeldLease { lease, .. }) = held_lease
        && let Err(e) = gw.deps.kv.revoke(lease).await
    {
        emit!(info, QUOTA_SHARD_NOT_TAKEN, why = %e);
    }
}

async fn maintain(gw: &Gateway, held_lease: &mut Option<HeldLease>) {
    let mut free_since: HashMap<u8, Time> = HashMap::new();
    let mut returned = HashSet::new();
    let mut backoff_until = Time(0);
    loop {
        gw.sleep(CHECK_INTERVAL).await;
        if gw.table().is_none_or(|table| !table.has_quotas()) {
            continue;
        }
        returned.extend(give_up_after_return(gw, held_lease));
        renew(gw, held_lease).await;
        let now = gw.now();
        let mut due = shards_to_acquire(gw, &returned, &mut free_since, now);
        due.retain(|(shard, _)| returned.contains(shard) || !may_be_owned(gw, now));
        returned.retain(|shard| !lock(&gw.quotas.owned).contains_key(shard));
        if due.is_empty() || !backoff_until.is_past(now) {
            continue;
        }
        if let Err(e) = acquire(gw, held_lease, due).await {
            emit!(info, QUOTA_SHARD_NOT_TAKEN, why = %e);
            backoff_until = gw.now() + BACKOFF;
        }
    }
}

/// The shards that this daemon should take now, each with the revision of its present entry, or 0 if there is none. It
/// owned those in `returned` when the store came back from an older copy.
fn shards_to_acquire(
    gw: &Gateway,
    returned: &HashSet<u8>,
    free_since: &mut HashMap<u8, Time>,
    now: Time,
) -> Vec<(u8, i64)> {
    let is_current = {
        let cache = gw.store_cache();
        // The entries are read again first after the store came back from an older copy.
        cache.is_complete() && revision::era(cache.revision) >= gw.deps.feed.era()
    };
    if !is_current {
        return Vec::new();
    }
    let is_warming_up = gw.fleet().is_warming_up(now);
    let owner_entries = lock(&gw.quotas.owner_entries).clone();
    let mut due = Vec::new();
    let mut vms = None;
    for shard in 0..SHARDS {
        if let Some(entry) = owner_entries.get(&shard) {
            free_since.remove(&shard);
            // Until the lease of the last owner has passed, the copy names no later owner than that one.
            let was_last_owner = returned.contains(&shard) && may_be_owned(gw, now);
            if was_last_owner || is_own_stale_entry(gw, shard, entry) {
                due.push((shard, entry.revision));
            }
            continue;
        }
        if is_warming_up {
            continue;
        }
        let since = *free_since.entry(shard).or_insert(now);
        let vms = vms.get_or_insert_with(|| gw.peers.registered_vms(&peers::registration_prefix(gw)));
        let Some(rank) = rank(shard, &gw.settings.vm, vms) else { continue };
        if (since + MIN_FREE_TIME + Span(RANK_DELAY.0 * rank)).is_past(now) {
            due.push((shard, 0));
        }
    }
    due
}

/// Gives up the shards if the store came back from an older copy, which may lack their entries or the lease, or name
/// earlier owners; returns those that no other daemon can have owned since. This daemon may take them again at once.
fn give_up_after_return(gw: &Gateway, held_lease: &mut Option<HeldLease>) -> Vec<u8> {
    if held_lease.take_if(|held| held.era < gw.deps.feed.era()).is_none() {
        return Vec::new();
    }
    let now = gw.now();
    let given_up = std::mem::take(&mut *lock(&gw.quotas.owned));
    let lost: Vec<u8> = given_up.keys().copied().collect();
    emit!(info, QUOTA_SHARD_LOST, shards = ?lost);
    given_up.into_iter().filter(|(_, owned)| owned.authority.holds(now)).map(|(shard, _)| shard).collect()
}

/// Whether a daemon may still own a shard that it took after the copy from which the store came back less than a lease
/// ago.
fn may_be_owned(gw: &Gateway, now: Time) -> bool {
    let returned_at = gw.store_cache().returned_at;
    returned_at.is_some_and(|at| !(at + Span::seconds(LEASE_S as f64)).is_past(now))
}

/// Whether an entry names this VM although this daemon does not own the shard: it is from a previous run, or from a
/// call whose response was lost.
fn is_own_stale_entry(gw: &Gateway, shard: u8, entry: &OwnerEntry) -> bool {
    let is_owned = lock(&gw.quotas.owned).contains_key(&shard);
    !is_owned && entry.owner.as_ref().is_some_and(|owner| owner.vm == gw.settings.vm)
}

/// Number of daemons that rank before this one; `None` while this daemon is not registered.
fn rank(shard: u8, own: &str, vms: &[String]) -> Option<u64> {
    let weight = |vm: &str| hash::rendezvous(u64::from(shard), hash::bytes(vm.as_bytes()));
    let is_registered = vms.iter().any(|vm| vm == own);
    is_registered.then(|| vms.iter().filter(|vm| weight(vm) > weight(own)).count() as u64)
}

async fn grant_lease(gw: &Gateway) -> Result<HeldLease, CallError> {
    let sent = gw.now();
    gw.metrics.store_call(StoreCall::Quota);
    let lease = gw.deps.kv.grant(LEASE_S).await?;
    let authority = Authority::granted(0, sent, Span::seconds(LEASE_S as f64));
    Ok(HeldLease { lease, authority, renew_at: sent + RENEW_INTERVAL, era: gw.deps.feed.era() })
}

async fn acquire(gw: &Gateway, held_lease: &mut Option<HeldLease>, due: Vec<(u8, i64)>) -> Result<(), CallError> {
    let held = if let Some(held) = held_lease { held } else { held_lease.insert(grant_lease(gw).await?) };
    let owner = Owner { vm: gw.settings.vm.clone(), run: gw.run_id, address: gw.settings.load_address };
    let value = serde_json::to_string(&owner).map_err(|e| CallError::NotSent(e.to_string()))?;
    let swaps = due.iter().map(|(shard, revision)| Swap {
        key: key(gw, *shard),
        required_revision: *revision,
        value: Some(value.clone()),
        lease: Some(held.lease),
    });
    gw.metrics.store_call(StoreCall::Quota);
    let swapped = gw.deps.kv.swap_each(swaps.collect()).await?;
    let now = gw.now();
    for ((shard, _), swapped) in due.into_iter().zip(swapped) {
        if let Swapped::Done(revision) = swapped {
            emit!(info, QUOTA_SHARD_TAKEN, shard, era = revision::era(revision), revision = revision::number(revision));
            let taken = OwnedShard { authority: held.authority, buckets: ShardBuckets::taken_over(now) };
            lock(&gw.quotas.owned).insert(shard, taken);
        }
    }
    Ok(())
}

/// Renews the lease when it is due. While the store is unreachable, units are granted until the lease may have expired;
/// if the lease is still there afterwards, no other daemon can have owned the shards.
async fn renew(gw: &Gateway, held_lease: &mut Option<HeldLease>) {
    let Some(held) = held_lease else { return };
    let now = gw.now();
    if !held.renew_at.is_past(now) {
        return;
    }
    gw.metrics.store_call(StoreCall::Quota);
    match gw.deps.kv.keep_alive(held.lease).await {
        Ok(true) => {
            held.authority.renewed(now, Span::seconds(LEASE_S as f64));
            held.renew_at = now + RENEW_INTERVAL;
            for owned in lock(&gw.quotas.owned).values_mut() {
                owned.authority = held.authority;
            }
        }
        Ok(false) => {
            let lost: Vec<u8> = lock(&gw.quotas.owned).drain().map(|(shard, _)| shard).collect();
            emit!(info, QUOTA_SHARD_LOST, shards = ?lost);
            *held_lease = None;
        }
        Err(e) => {
            held.renew_at = gw.now() + RETRY_INTERVAL;
            emit!(info, QUOTA_SHARD_NOT_TAKEN, why = %e);
        }
    }
}

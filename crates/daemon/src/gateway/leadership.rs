//! Leader election: duties that only one daemon may have at a time, under a lease in the store.
//!
//! One daemon is the leader for everything that the platform accepts from only one at a time: orders to engines, usage
//! reports and pool sizes. The leader's key expires with its lease, and the revision at which it was written is the
//! fencing number of its calls. The recipients of these calls need not check that number, so the calls of two leaders
//! are kept apart in time: a new leader waits until any call of the previous one has certainly ended. A leader reads
//! its key before each call, makes no call that its lease does not cover, and each call ends, with its connection,
//! within [`CALL_TIMEOUT`].
//!
//! If the store comes back from an older copy, the leader gives up: its key has another revision there, or is missing.
//! Fencing numbers contain the store's era, so those of the next leader are higher than all from before.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use dahliaseam_border::{
    dialect::Leader,
    error::CallError,
    kv::{LeaseId, Swap, Swapped},
};
use dahliaseam_core::{
    lease::Authority,
    revision,
    time::{Span, Time},
};

use crate::{
    clock::duration,
    emit,
    gateway::{metrics::StoreCall, state::Gateway},
};

/// Interval between two checks of the lease.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Number of renewals within the TTL of a lease.
const RENEWALS_PER_LEASE: u64 = 3;
/// Delay before a failed renewal is retried.
const RENEW_RETRY_INTERVAL: Span = Span::millis(300);
/// Time limit for one call of the leader, after which its connection is reset.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Added to the time that must lie between the calls of two leaders: covers the last call of the previous leader, which
/// started under its lease, and transmission.
const WAIT_MARGIN: Span = Span::millis(1_200);
/// TTL of the key's lease, in seconds. A short TTL lets another daemon take over soon; it must bridge a slow store,
/// which takes some hundred milliseconds for a call.
const LEASE_S: u64 = 2;
/// Upper bound of the random delay before a daemon tries to take the free key, so that not all try at once.
const JITTER: Span = Span::millis(300);

/// The leader's lease, as far as this daemon knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeaderLease {
    authority: Authority,
    /// When calls of the previous leader have certainly ended.
    may_act_from: Time,
}

impl LeaderLease {
    /// The fencing number.
    pub(super) const fn fence(&self) -> u64 {
        self.authority.epoch()
    }

    /// The leader on whose behalf calls are made: this daemon, whose name is `vm`.
    pub(super) fn leader(&self, vm: &str) -> Leader {
        Leader { name: vm.to_owned(), fence: self.fence() }
    }
}

/// Whether this daemon is the leader.
#[derive(Debug, Default)]
pub(super) struct Leadership {
    lease: Mutex<Option<LeaderLease>>,
}

impl Leadership {
    /// The lease, while it is valid and calls are allowed.
    pub(super) fn current(&self, now: Time) -> Option<LeaderLease> {
        let lease = *self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        lease.filter(|lease| lease.may_act_from.is_past(now) && lease.authority.holds(now))
    }

    fn set(&self, lease: Option<LeaderLease>) {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = lease;
    }
}

/// State of a leader that is valid under one lease only: what it knew of the store under an earlier lease may be
/// outdated.
#[derive(Debug)]
pub(super) struct LeaseScoped<T> {
    state: Option<(u64, T)>,
}

impl<T> LeaseScoped<T> {
    pub(super) const fn empty() -> Self {
        Self { state: None }
    }

    /// Returns the current lease, with the state if it belongs to that lease; `None` while this daemon is not the
    /// leader.
    pub(super) fn take(&mut self, current: Option<LeaderLease>) -> Option<(LeaderLease, Option<T>)> {
        let kept = self.state.take();
        let lease = current?;
        let state = kept.filter(|(fence, _)| *fence == lease.fence()).map(|(_, state)| state);
        Some((lease, state))
    }

    /// Keeps the state until the lease changes.
    pub(super) fn keep(&mut self, lease: &LeaderLease, state: T) {
        self.state = Some((lease.fence(), state));
    }
}

/// The lease in the store, and the leadership that it grants.
#[derive(Debug)]
struct HeldLease {
    lease: LeaseId,
    leader: LeaderLease,
    renew_at: Time,
}

/// Becomes the leader whenever there is none.
pub(super) async fn run(gw: Arc<Gateway>) {
    let stop = gw.stop.begun.clone();
    let mut held_lease = None;
    tokio::select! {
        () = maintain(&gw, &mut held_lease) => {}
        () = stop.cancelled() => {}
    }
    gw.leadership.set(None);
    if let Some(HeldLease { lease, .. }) = held_lease
        && let Err(e) = gw.deps.kv.revoke(lease).await
    {
        emit!(info, ORDERS_KEPT, why = %e);
    }
}

async fn maintain(gw: &Gateway, held_lease: &mut Option<HeldLease>) {
    loop {
        gw.sleep(CHECK_INTERVAL).await;
        match held_lease {
            None => *held_lease = acquire(gw).await,
            Some(held) => {
                if !renew(gw, held).await {
                    emit!(info, ORDERS_LOST, fence = held.leader.fence());
                    *held_lease = None;
                }
            }
        }
        gw.leadership.set(held_lease.as_ref().map(|held| held.leader));
    }
}

/// Key of the leader.
pub(super) fn key(gw: &Gateway) -> String {
    format!("{}orders", gw.settings.keyspace)
}

/// Tries to become the leader if there is none.
async fn acquire(gw: &Gateway) -> Option<HeldLease> {
    let key = key(gw);
    let is_vacant = {
        let cache = gw.store_cache();
        // Only daemons that watch the store try. Otherwise, all of them would request a lease, try, and return it
        // whenever the leader is lost, and again and again while the store is unreachable.
        cache.watching && !cache.unreachable && cache.is_complete() && cache.daemons.get(&key).is_none()
    };
    if !is_vacant || !(gw.fleet().has_split_engines() || gw.reports_usage() || gw.size_address().is_some()) {
        return None;
    }
    gw.sleep(duration(Span(gw.random() % JITTER.0))).await;
    if gw.store_cache().daemons.get(&key).is_some() {
        return None;
    }
    match try_acquire(gw, &key).await {
        Ok(held) => held,
        Err(e) => {
            emit!(info, ORDERS_NOT_HELD, why = %e);
            None
        }
    }
}

async fn try_acquire(gw: &Gateway, key: &str) -> Result<Option<HeldLease>, CallError> {
    let sent = gw.now();
    gw.metrics.store_call(StoreCall::Leadership);
    let lease = gw.deps.kv.grant(LEASE_S).await?;
    let swap =
        Swap { key: key.to_owned(), required_revision: 0, value: Some(gw.settings.vm.clone()), lease: Some(lease) };
    gw.metrics.store_call(StoreCall::Leadership);
    let Some(Swapped::Done(revision)) = gw.deps.kv.swap_each(vec![swap]).await?.pop() else {
        gw.metrics.store_call(StoreCall::Leadership);
        gw.deps.kv.revoke(lease).await?;
        return Ok(None);
    };
    let ttl = Span::seconds(LEASE_S as f64);
    let authority = Authority::granted(revision as u64, sent, ttl);
    let may_act_from = gw.now() + Span::millis(gw.settings.timing.order_lease_ms) + WAIT_MARGIN;
    emit!(info, ORDERS_HELD, fence = revision, wait_ms = may_act_from.since(sent).as_millis());
    Ok(Some(HeldLease {
        lease,
        leader: LeaderLease { authority, may_act_from },
        renew_at: sent + Span(ttl.0 / RENEWALS_PER_LEASE),
    }))
}

/// Renews the lease when it is due; returns whether it is still in the store, as far as is known.
///
/// While the store is unreachable, it does not expire leases, and this daemon makes no calls. If the lease is still
/// there afterwards, no other daemon can have been the leader, and this one continues.
async fn renew(gw: &Gateway, held: &mut HeldLease) -> bool {
    let ttl = Span::seconds(LEASE_S as f64);
    let now = gw.now();
    if revision::era(held.leader.fence().cast_signed()) < gw.deps.feed.era() {
        // The store came back from an older copy; its key, if it is there, is of another revision.
        return false;
    }
    if !held.renew_at.is_past(now) {
        return true;
    }
    gw.metrics.store_call(StoreCall::Leadership);
    match gw.deps.kv.keep_alive(held.lease).await {
        Ok(true) => {
            held.leader.authority.renewed(now, ttl);
            held.renew_at = now + Span(ttl.0 / RENEWALS_PER_LEASE);
        }
        Ok(false) => return false,
        Err(e) => {
            held.renew_at = gw.now() + RENEW_RETRY_INTERVAL;
            emit!(info, ORDERS_NOT_RENEWED, fence = held.leader.fence(), why = %e);
        }
    }
    true
}

impl Gateway {
    /// Confirms, immediately before a call, that this daemon is still the leader: while the key exists and the lease is
    /// valid, no other daemon makes such calls.
    pub(super) async fn confirm_leadership(&self, lease: &LeaderLease) -> Result<(), CallError> {
        self.metrics.store_call(StoreCall::Leadership);
        let present = self.deps.kv.read(&key(self)).await?;
        let is_own = present.is_some_and(|entry| entry.revision as u64 == lease.fence());
        let is_current = self.leadership.current(self.now()).is_some_and(|current| current.fence() == lease.fence());
        if is_own && is_current && !self.stop.begun.is_cancelled() {
            return Ok(());
        }
        Err(CallError::NotSent("this daemon is no longer the leader".to_owned()))
    }
}

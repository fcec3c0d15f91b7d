//! Autoscaling: orders for the number of engines in each hall, where the configuration lets the system choose it.
//!
//! The leader decides ([`pool`]) and stores each order before sending it, so that its successor continues from there.
//! An order is repeated until it is accepted or refused. If it has no effect within some time, because engines were
//! taken away or none were available, it is sent again.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use dahliaseam_border::{
    dialect::{DutyAnswer, SizeOrder},
    error::CallError,
    kv::{Swap, Swapped},
    once,
};
use dahliaseam_core::{
    fleet::pool::{self, Peak, PoolSize, Scaling},
    time::{Span, Time},
};
use serde::{Deserialize, Serialize};

use crate::{
    emit,
    gateway::{
        leadership::{self, LeaderLease, LeaseScoped},
        metrics::StoreCall,
        state::Gateway,
    },
};

/// Interval between two passes of the reconcile loop.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before an order that was not settled is sent again. Engines may be unavailable for some ten seconds.
const RETRY_INTERVAL: Span = Span::millis(2_000);
/// Added to the start time of an engine before a settled order without effect is sent again.
const EFFECT_TIMEOUT: Span = Span::millis(3_000);

/// Stored state of one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct StoredPool {
    /// The target size.
    wanted: PoolSize,
    /// The size that was last ordered on the way to the target, or is about to be.
    ordered: PoolSize,
    /// The number of engines that the target was chosen for, without headroom.
    #[serde(default)]
    needed: Option<Needed>,
}

/// Number of engines that a size was chosen for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Needed {
    engines: f64,
    /// Whether demand was observed that needs the engines; otherwise they are only expected to be needed.
    seen: bool,
}

type StoredPools = BTreeMap<Arc<str>, StoredPool>;

/// Identifies an order: service, hall, and whether it is for reclaimable engines.
type OrderKey = (Arc<str>, Arc<str>, bool);

/// State of the leader, valid under one lease.
#[derive(Debug, Default)]
struct Autoscaler {
    revision: i64,
    stored: StoredPools,
    peaks: BTreeMap<Arc<str>, Peak>,
    /// When each order is to be sent; no entry for an order that is settled and has taken effect.
    due: BTreeMap<OrderKey, Time>,
}

/// Orders sizes while this daemon is the leader.
pub(super) async fn run(gw: Arc<Gateway>) {
    let Some(address) = gw.size_address() else {
        return;
    };
    let stop = gw.stop.begun.clone();
    tokio::select! {
        () = reconcile(&gw, address) => {}
        () = stop.cancelled() => {}
    }
}

impl Gateway {
    /// Address for size orders, if the platform accepts any.
    pub(super) fn size_address(&self) -> Option<SocketAddr> {
        let duties = self.settings.duties.as_ref()?;
        self.deps.dialect.accepts_size_orders(&duties.asked).then_some(duties.address)
    }
}

async fn reconcile(gw: &Gateway, address: SocketAddr) {
    let mut state = LeaseScoped::empty();
    loop {
        gw.sleep(RECONCILE_INTERVAL).await;
        let Some((lease, kept)) = state.take(gw.leadership.current(gw.now())) else { continue };
        match reconcile_once(gw, address, &lease, kept).await {
            Ok(autoscaler) => state.keep(&lease, autoscaler),
            // The stored state is uncertain now; it is read again.
            Err(e) => emit!(info, SIZE_NOT_ORDERED, fence = lease.fence(), why = %e),
        }
    }
}

async fn reconcile_once(
    gw: &Gateway,
    address: SocketAddr,
    lease: &LeaderLease,
    kept: Option<Autoscaler>,
) -> Result<Autoscaler, CallError> {
    let mut autoscaler = match kept {
        Some(autoscaler) => autoscaler,
        None => Autoscaler::read(gw).await?,
    };
    autoscaler.step(gw, address, lease).await?;
    Ok(autoscaler)
}

fn key(gw: &Gateway) -> String {
    format!("{}sizes", gw.settings.keyspace)
}

/// Whether a key is that of the stored sizes.
pub(super) fn is_sizes_key(gw: &Gateway, other: &str) -> bool {
    other == key(gw)
}

/// The services whose size may be chosen. The capacity of plain services is unknown.
fn scalable_services(gw: &Gateway) -> Vec<(Arc<str>, Scaling)> {
    let table = gw.table();
    let services = table.iter().flat_map(|table| table.services()).filter(|service| service.engine.is_some());
    services.filter_map(|service| Some((Arc::clone(&service.name), service.scaling.clone()?))).collect()
}

impl Autoscaler {
    async fn read(gw: &Gateway) -> Result<Self, CallError> {
        gw.metrics.store_call(StoreCall::Sizes);
        let entry = gw.deps.kv.read(&key(gw)).await?;
        let revision = entry.as_ref().map_or(0, |entry| entry.revision);
        // After the store came back from an older copy, what was known stays in force.
        let known = gw.store_cache().daemons.get(&key(gw)).filter(|known| known.revision >= revision).cloned();
        let Some(entry) = known.or(entry) else {
            return Ok(Self::default());
        };
        let stored: StoredPools = serde_json::from_str(&entry.value)
            .map_err(|e| CallError::Lost(format!("the stored pool sizes are unreadable: {e}")))?;
        let now = gw.now();
        // It is unknown whether the previous leader sent these orders.
        let due = stored.iter().flat_map(|(service, pool)| order_keys(service, &pool.ordered)).map(|key| (key, now));
        Ok(Self { revision, due: due.collect(), stored, peaks: BTreeMap::new() })
    }

    async fn step(&mut self, gw: &Gateway, address: SocketAddr, lease: &LeaderLease) -> Result<(), CallError> {
        let now = gw.now();
        let mut next = self.stored.clone();
        for (service, scaling) in scalable_services(gw) {
            let current = gw.fleet().pool_size(&service, now);
            if current.is_empty() {
                continue;
            }
            let pool = next.entry(Arc::clone(&service)).or_insert_with(|| StoredPool {
                wanted: PoolSize::new(),
                ordered: current.clone(),
                needed: None,
            });
            self.choose_size(gw, &service, &scaling, pool, &current, now);
            let ordered = scaling.next_order(&pool.wanted, &current, &pool.ordered);
            self.schedule_orders(&service, &scaling, &current, &pool.ordered, &ordered, now);
            pool.ordered = ordered;
        }
        if next != self.stored {
            self.store(gw, next).await?;
        }
        self.send_due_orders(gw, address, lease, now).await
    }

    /// Updates the target size.
    fn choose_size(
        &mut self,
        gw: &Gateway,
        service: &Arc<str>,
        scaling: &Scaling,
        pool: &mut StoredPool,
        current: &PoolSize,
        now: Time,
    ) {
        let engines = current.values().map(|hall| f64::from(hall.total())).sum::<f64>();
        let known = pool.needed;
        let peak = self.peaks.entry(Arc::clone(service)).or_insert_with(|| match known {
            Some(Needed { engines, seen: true }) => Peak::observed(engines, now),
            Some(Needed { engines, seen: false }) => Peak::expected(engines, now),
            None => Peak::default(),
        });
        let demand = gw.fleet().demand(service, now);
        let needed = gw.fleet().needed_engines(service, demand, gw.now()).unwrap_or_default();
        if needed > 0.0 {
            peak.observe(needed, now);
        } else if !known.is_some_and(|known| known.seen) {
            // Before any demand is observed, the number of engines that the operators configured counts as expected.
            let configured = current.values().map(|hall| f64::from(hall.staying)).sum();
            peak.set_expected(known.map_or(configured, |known| known.engines), now);
        }
        let wanted = scaling.wanted(peak.at(now), &gw.settings.policy);
        if pool::should_replace(&wanted, &pool.wanted) {
            let hall = wanted.values().next().copied().unwrap_or_default();
            emit!(
                info,
                SIZE_WANTED,
                service = %service,
                needed,
                peak = peak.at(now),
                reading = demand.prefill,
                slots = demand.slots,
                there = engines,
                halls = wanted.len(),
                staying = hall.staying,
                reclaimable = hall.reclaimable
            );
            pool.wanted = wanted;
            let seen = needed > 0.0 || known.is_some_and(|known| known.seen);
            pool.needed = Some(Needed { engines: peak.at(now), seen });
        }
    }

    /// Schedules the orders that are to be sent.
    fn schedule_orders(
        &mut self,
        service: &Arc<str>,
        scaling: &Scaling,
        current: &PoolSize,
        before: &PoolSize,
        next: &PoolSize,
        now: Time,
    ) {
        let count = |pool: &PoolSize, (_, hall, reclaimable): &OrderKey| {
            let size = pool.get(hall).copied().unwrap_or_default();
            if *reclaimable { size.reclaimable } else { size.staying }
        };
        for key in order_keys(service, next) {
            let ordered = count(next, &key);
            if ordered != count(before, &key) {
                self.due.insert(key, now);
            } else if count(current, &key) < ordered {
                self.due.entry(key).or_insert(now + scaling.start_time + EFFECT_TIMEOUT);
            }
        }
    }

    async fn store(&mut self, gw: &Gateway, next: StoredPools) -> Result<(), CallError> {
        let value = serde_json::to_string(&next).map_err(|e| CallError::NotSent(e.to_string()))?;
        gw.metrics.store_call(StoreCall::Sizes);
        let swap = Swap { key: key(gw), required_revision: self.revision, value: Some(value), lease: None };
        match gw.deps.kv.swap_each(vec![swap]).await?.pop() {
            Some(Swapped::Done(revision)) => {
                self.revision = revision;
                self.stored = next;
                Ok(())
            }
            Some(Swapped::Differs(_)) | None => Err(CallError::Refused(0, "another daemon stored sizes".to_owned())),
        }
    }

    /// Sends the orders that are due.
    async fn send_due_orders(
        &mut self,
        gw: &Gateway,
        address: SocketAddr,
        lease: &LeaderLease,
        now: Time,
    ) -> Result<(), CallError> {
        let due: Vec<OrderKey> =
            self.due.iter().filter(|(_, at)| at.is_past(now)).map(|(key, _)| key.clone()).collect();
        if due.is_empty() {
            return Ok(());
        }
        for key in due {
            let Some(desired) = self.desired(&key) else {
                self.due.remove(&key);
                continue;
            };
            gw.confirm_leadership(lease).await?;
            if send_order(gw, address, lease, &key, desired).await {
                self.due.remove(&key);
            } else {
                self.due.insert(key, gw.now() + RETRY_INTERVAL);
            }
        }
        Ok(())
    }

    fn desired(&self, (service, hall, reclaimable): &OrderKey) -> Option<u32> {
        let size = self.stored.get(service)?.ordered.get(hall)?;
        Some(if *reclaimable { size.reclaimable } else { size.staying })
    }
}

fn order_keys(service: &Arc<str>, ordered: &PoolSize) -> Vec<OrderKey> {
    let keys = |hall: &Arc<str>| [false, true].map(|reclaimable| (Arc::clone(service), Arc::clone(hall), reclaimable));
    ordered.keys().flat_map(keys).collect()
}

/// Sends one order; returns whether it is settled, that is, accepted or refused.
async fn send_order(gw: &Gateway, address: SocketAddr, lease: &LeaderLease, key: &OrderKey, desired: u32) -> bool {
    let (service, hall, reclaimable) = key;
    let order = SizeOrder { service: service.to_string(), hall: hall.to_string(), reclaimable: *reclaimable, desired };
    let leader = lease.leader(&gw.settings.vm);
    let req = match gw.deps.dialect.order_size(address, &leader, &order) {
        Ok(req) => req,
        Err(e) => {
            emit!(error, SIZE_NOT_ORDERED, fence = lease.fence(), why = %e);
            return false;
        }
    };
    let result = once::call(address, req, leadership::CALL_TIMEOUT).await;
    let status = result.as_ref().map_or(0, |(status, _)| status.as_u16());
    let answer = result.as_ref().ok().map(|_| gw.deps.dialect.duty_answer(status));
    emit!(
        info,
        SIZE_ORDERED,
        service = %service,
        hall = %hall,
        reclaimable,
        desired,
        fence = lease.fence(),
        answer = ?answer,
        status
    );
    gw.metrics.size_order(answer.map_or("unanswered", DutyAnswer::name));
    matches!(answer, Some(DutyAnswer::Taken | DutyAnswer::Refused))
}

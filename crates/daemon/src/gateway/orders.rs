//! Orders to engines: one daemon at a time gives them, under a lease in the store.
//!
//! The holder's key ends with its lease, and the revision at which it was written is the fencing
//! number of its orders. Engines need not check that number, so time keeps two holders apart: a
//! new holder waits until any order of the one before is surely past. Each order names how many
//! orders the engine must have taken before, so one that comes into effect late does nothing.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use dahliaseam_border::{
    dialect::{EngineReport, OrderAnswer, RoleOrder},
    error::CallError,
    kv::{LeaseId, Swap, Swapped},
};
use dahliaseam_core::{
    fleet::{replica::ReplicaFacts, split::Shift},
    lease::Authority,
    time::{Span, Time},
};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};

use crate::{
    emit,
    gateway::{attempt::duration, metrics::StoreCall, state::Gateway, upstream::SendError},
};

/// Time between two looks at the roles.
const LOOK: Duration = Duration::from_millis(200);
/// Renewals in the life of a lease.
const RENEWALS: u64 = 3;
/// What a new holder waits beyond the time that must lie between the orders of two holders. The
/// former one reads its key before each order and sends it within [`ANSWER`], so its last order
/// is sent less than a second after its key was gone; the rest is for the way.
const WAIT_MARGIN: Span = Span::millis(1_200);
/// Life of the key's lease, in seconds. A short one lets another daemon take over soon; it must
/// bridge a slow store, which takes some hundred milliseconds for a call.
const LEASE_S: u64 = 2;
/// Time for the other daemons to hear that an engine gets no more work.
const TELL: Duration = Duration::from_millis(60);
/// Time for an engine's answer.
const ANSWER: Duration = Duration::from_millis(800);
/// Time after an unanswered order in which it may still take effect; engines carry one out up to
/// twelve seconds late.
const UNCERTAIN: Span = Span::millis(13_000);
/// Time after a refused order until the engine is asked again.
const REFUSED: Span = Span::millis(3_000);
/// Time beyond the change itself for which an engine gets no work: what runs there ends first.
const DRAIN: Span = Span::millis(700);
/// Bytes of an engine's answer at most.
const ANSWER_BYTES: usize = 64 << 10;

/// The right to give orders, as the store granted it.
#[derive(Debug)]
struct Holding {
    lease: LeaseId,
    authority: Authority,
    renew_at: Time,
    orders_from: Time,
}

/// Give orders whenever this daemon holds the right to.
pub(super) async fn run(gw: Arc<Gateway>) {
    let over = gw.stop.begun.clone();
    let mut holding = None;
    let holder = hold(&gw, &mut holding);
    tokio::select! {
        () = holder => {}
        () = over.cancelled() => {}
    }
    if let Some(Holding { lease, .. }) = holding
        && let Err(e) = gw.outside.kv.revoke(lease).await
    {
        emit!(info, ORDERS_KEPT, why = %e);
    }
}

async fn hold(gw: &Arc<Gateway>, holding: &mut Option<Holding>) {
    loop {
        tokio::time::sleep(LOOK).await;
        match holding {
            None => *holding = acquire(gw).await,
            Some(held) => {
                if renew(gw, held).await {
                    order(gw, held).await;
                } else {
                    emit!(info, ORDERS_LOST, fence = held.authority.epoch());
                    *holding = None;
                }
            }
        }
    }
}

fn key(gw: &Gateway) -> String {
    format!("{}orders", gw.settings.keyspace)
}

/// Take the right to give orders if nobody has it.
async fn acquire(gw: &Arc<Gateway>) -> Option<Holding> {
    let key = key(gw);
    let free = {
        let copies = gw.copies();
        // Only those that follow the store try: else each of three hundred daemons would ask for a
        // lease, try, and give it back whenever the holder is lost, or again and again without a store.
        copies.following && !copies.lost && copies.is_complete() && !copies.daemons.contains_key(&key)
    };
    if !free || !gw.fleet().has_split_engines() {
        return None;
    }
    // All daemons see the key go at the same time; they should not all try at once.
    tokio::time::sleep(duration(Span(gw.draw() % Span::millis(300).0))).await;
    if gw.copies().daemons.contains_key(&key) {
        return None;
    }
    match try_acquire(gw, &key).await {
        Ok(holding) => holding,
        Err(e) => {
            emit!(info, ORDERS_NOT_HELD, why = %e);
            None
        }
    }
}

async fn try_acquire(gw: &Gateway, key: &str) -> Result<Option<Holding>, CallError> {
    let sent = gw.now();
    gw.metrics.store_call(StoreCall::Orders);
    let lease = gw.outside.kv.grant(LEASE_S).await?;
    let swap = Swap { key: key.to_owned(), expect: 0, value: Some(gw.settings.vm.clone()), lease: Some(lease) };
    gw.metrics.store_call(StoreCall::Orders);
    let Some(Swapped::Done(revision)) = gw.outside.kv.swap_each(vec![swap]).await?.pop() else {
        gw.metrics.store_call(StoreCall::Orders);
        gw.outside.kv.revoke(lease).await?;
        return Ok(None);
    };
    let ttl = Span::seconds(LEASE_S as f64);
    let authority = Authority::granted(revision as u64, sent, ttl);
    let orders_from = gw.now() + Span::millis(gw.settings.timing.order_lease_ms) + WAIT_MARGIN;
    emit!(info, ORDERS_HELD, fence = revision, wait_ms = orders_from.since(sent).as_millis());
    Ok(Some(Holding { lease, authority, renew_at: sent + Span(ttl.0 / RENEWALS), orders_from }))
}

/// Renew the lease when it is time; returns whether the right is still held.
async fn renew(gw: &Gateway, held: &mut Holding) -> bool {
    let ttl = Span::seconds(LEASE_S as f64);
    let now = gw.now();
    if held.renew_at.is_past(now) {
        gw.metrics.store_call(StoreCall::Orders);
        match gw.outside.kv.keep_alive(held.lease).await {
            Ok(true) => {
                held.authority.renewed(now, ttl);
                held.renew_at = now + Span(ttl.0 / RENEWALS);
            }
            Ok(false) => return false,
            Err(e) => emit!(info, ORDERS_NOT_RENEWED, fence = held.authority.epoch(), why = %e),
        }
    }
    held.authority.holds(gw.now())
}

/// Give the next order, if one is worth it.
async fn order(gw: &Arc<Gateway>, held: &Holding) {
    let now = gw.now();
    if !held.orders_from.is_past(now) {
        return;
    }
    let Some((shift, replica)) = next_shift(gw, now) else {
        return;
    };
    emit!(
        info,
        ROLE_SHIFT,
        replica = %replica.id,
        to = ?shift.to,
        reading = shift.demand.reading,
        slots = shift.demand.slots,
        prefill = shift.before.0,
        decode = shift.before.1,
        fence = held.authority.epoch()
    );
    let change = role_change_time(gw, &replica);
    gw.fleet().set_changing(shift.key, shift.to, now + change + DRAIN);
    gw.load_changed.notify_one();
    tokio::time::sleep(TELL).await;
    let answer = send_order(gw, held, &shift, &replica).await;
    emit!(info, ROLE_ORDERED, replica = %replica.id, to = ?shift.to, fence = held.authority.epoch(), answer = ?answer);
    settle(gw, &shift, change, answer.as_ref().ok());
}

/// What an order's answer means for the engine.
fn settle(gw: &Gateway, shift: &Shift, change: Span, answer: Option<&OrderAnswer>) {
    let now = gw.now();
    let mut fleet = gw.fleet();
    match answer {
        Some(OrderAnswer::Accepted) => {
            fleet.set_changing(shift.key, shift.to, now + change + DRAIN);
            fleet.no_orders_until(shift.key, now + change + REFUSED);
        }
        Some(_) => {
            fleet.set_changing(shift.key, shift.to, now);
            fleet.no_orders_until(shift.key, now + REFUSED);
        }
        None => {
            fleet.set_changing(shift.key, shift.to, now);
            fleet.no_orders_until(shift.key, now + UNCERTAIN);
        }
    }
    drop(fleet);
    gw.load_changed.notify_one();
}

fn next_shift(gw: &Gateway, now: Time) -> Option<(Shift, ReplicaFacts)> {
    let table = gw.table()?;
    let fleet = gw.fleet();
    let engines = table.services().filter(|service| service.engine.is_some());
    let mut shifts = engines.filter_map(|service| {
        let demand = fleet.demand(&service.name, now);
        fleet.next_shift(&service.name, demand, now)
    });
    let shift = shifts.next()?;
    let facts = fleet.get(shift.key)?.facts.clone();
    Some((shift, facts))
}

fn role_change_time(gw: &Gateway, replica: &ReplicaFacts) -> Span {
    let table = gw.table();
    let engine = table.as_ref().and_then(|table| table.service(&replica.service)?.engine);
    engine.map_or(Span::default(), |engine| engine.role_change)
}

async fn send_order(
    gw: &Gateway,
    held: &Holding,
    shift: &Shift,
    replica: &ReplicaFacts,
) -> Result<OrderAnswer, CallError> {
    let report = report(gw, replica).await?;
    if report.born.is_some() && report.born != replica.born {
        // An order for the start before is not for this one, whose count of orders began anew.
        return Ok(OrderAnswer::OtherReplica);
    }
    if report.changing {
        return Ok(OrderAnswer::Conflict);
    }
    if report.role == shift.to {
        return Ok(OrderAnswer::Holds);
    }
    let order = RoleOrder {
        role: shift.to,
        holder: gw.settings.vm.clone(),
        fence: held.authority.epoch(),
        expected_orders: report.orders,
    };
    let req = gw.outside.dialect.order_role(replica, &order).map_err(|e| CallError::NotSent(e.to_string()))?;
    // The key is read last: while it is there and the lease holds, nobody else gives orders.
    gw.metrics.store_call(StoreCall::Orders);
    let present = gw.outside.kv.read(&key(gw)).await?;
    let mine = present.is_some_and(|entry| entry.revision as u64 == held.authority.epoch());
    if !mine || !held.authority.holds(gw.now()) || gw.stop.begun.is_cancelled() {
        return Err(CallError::NotSent("the right to give orders is gone".to_owned()));
    }
    let (status, _) = call(gw, replica, req).await?;
    gw.outside.dialect.order_answer(status.as_u16()).ok_or_else(|| CallError::Lost(format!("status {status}")))
}

/// Ask an engine for its state.
pub(super) async fn report(gw: &Gateway, replica: &ReplicaFacts) -> Result<EngineReport, CallError> {
    let req = gw.outside.dialect.ask_report(replica).map_err(|e| CallError::NotSent(e.to_string()))?;
    let (status, body) = call(gw, replica, req).await?;
    if status != StatusCode::OK {
        return Err(CallError::NotSent(format!("the report has status {status}")));
    }
    gw.outside.dialect.report(&body).map_err(|e| CallError::NotSent(e.to_string()))
}

async fn call(
    gw: &Gateway,
    replica: &ReplicaFacts,
    req: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), CallError> {
    let answer = async {
        let (resp, conn) = gw.upstream.send(replica.address, req).await.map_err(|e| match e {
            SendError::NobodyListens => CallError::NotSent("nothing listens there".to_owned()),
            SendError::NotSent(why) => CallError::NotSent(why),
            SendError::Broke(why) | SendError::Lost(why) => CallError::Lost(why),
        })?;
        let status = resp.status();
        let body = Limited::new(resp.into_body(), ANSWER_BYTES).collect().await;
        let body = body.map_err(|e| CallError::Lost(e.to_string()))?.to_bytes();
        gw.upstream.keep(replica.address, conn);
        Ok((status, body))
    };
    tokio::time::timeout(ANSWER, answer).await.unwrap_or_else(|_| Err(CallError::Lost("no answer in time".to_owned())))
}

//! Orders to engines to change their role, sent by the leader.
//!
//! Each order states how many orders the engine must have accepted before, so that an order that arrives late has no
//! effect.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use dahliaseam_border::{
    dialect::{EngineReport, OrderAnswer, RoleOrder},
    error::CallError,
    once,
};
use dahliaseam_core::{
    fleet::{replica::ReplicaFacts, split::RoleChange},
    time::{Span, Time},
};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};

use crate::{
    emit,
    gateway::{
        leadership::{self, LeaderLease},
        state::Gateway,
        upstream::{Received, SendError},
    },
};

/// Interval between two passes of the reconcile loop.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(200);
/// Time for a load report to tell the other daemons that an engine gets no more work.
const REPORT_DELAY: Duration = Duration::from_millis(60);
/// Time limit for an engine's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after an unanswered order in which it may still take effect; engines may carry out an order up to twelve seconds
/// late.
const LATE_ORDER_TIMEOUT: Span = Span::millis(13_000);
/// Time after an order that the engine did not accept, or after the role change of an accepted one, until the engine
/// gets another order.
const ORDER_BACKOFF: Span = Span::millis(3_000);
/// Time in addition to the role change itself for which an engine gets no requests: running ones finish first.
const DRAIN_TIME: Span = Span::millis(700);
/// Maximum bytes of an engine's response.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Sends orders while this daemon is the leader.
pub(super) async fn run(gw: Arc<Gateway>) {
    let stop = gw.stop.begun.clone();
    tokio::select! {
        () = reconcile(&gw) => {}
        () = stop.cancelled() => {}
    }
}

async fn reconcile(gw: &Arc<Gateway>) {
    loop {
        gw.sleep(RECONCILE_INTERVAL).await;
        if let Some(lease) = gw.leadership.current(gw.now()) {
            reconcile_once(gw, &lease).await;
        }
    }
}

/// Sends the next order, if one is worthwhile.
async fn reconcile_once(gw: &Arc<Gateway>, lease: &LeaderLease) {
    let now = gw.now();
    let Some((change, replica)) = next_role_change(gw, now) else {
        return;
    };
    emit!(
        info,
        ROLE_SHIFT,
        replica = %replica.id,
        to = ?change.to,
        reading = change.demand.prefill,
        slots = change.demand.slots,
        prefill = change.counts_before.0,
        decode = change.counts_before.1,
        fence = lease.fence()
    );
    let change_time = role_change_time(gw, &replica);
    gw.fleet().start_role_change(change.key, change.to, now + change_time + DRAIN_TIME);
    gw.load_changed.notify_one();
    tokio::time::sleep(REPORT_DELAY).await;
    let answer = send_order(gw, lease, &change, &replica).await;
    emit!(info, ROLE_ORDERED, replica = %replica.id, to = ?change.to, fence = lease.fence(), answer = ?answer);
    apply_answer(gw, &change, change_time, &answer);
}

/// Updates the engine's state according to the answer to an order.
fn apply_answer(gw: &Gateway, change: &RoleChange, change_time: Span, answer: &Result<OrderAnswer, CallError>) {
    let now = gw.now();
    let mut fleet = gw.fleet();
    match answer {
        Ok(OrderAnswer::Accepted) => {
            fleet.start_role_change(change.key, change.to, now + change_time + DRAIN_TIME);
            fleet.hold_orders_until(change.key, now + change_time + ORDER_BACKOFF);
        }
        Err(e) if !e.had_no_effect() => {
            fleet.start_role_change(change.key, change.to, now);
            fleet.hold_orders_until(change.key, now + LATE_ORDER_TIMEOUT);
        }
        Ok(_) | Err(_) => {
            fleet.start_role_change(change.key, change.to, now);
            fleet.hold_orders_until(change.key, now + ORDER_BACKOFF);
        }
    }
    drop(fleet);
    gw.load_changed.notify_one();
}

fn next_role_change(gw: &Gateway, now: Time) -> Option<(RoleChange, ReplicaFacts)> {
    let table = gw.table()?;
    let fleet = gw.fleet();
    let engines = table.services().filter(|service| service.engine.is_some());
    let mut changes = engines.filter_map(|service| {
        let demand = fleet.demand(&service.name, now);
        fleet.next_role_change(&service.name, demand, now)
    });
    let change = changes.next()?;
    let facts = fleet.get(change.key)?.facts.clone();
    Some((change, facts))
}

fn role_change_time(gw: &Gateway, replica: &ReplicaFacts) -> Span {
    let table = gw.table();
    let engine = table.as_ref().and_then(|table| table.service(&replica.service)?.engine);
    engine.map_or(Span::default(), |engine| engine.role_change)
}

async fn send_order(
    gw: &Gateway,
    lease: &LeaderLease,
    change: &RoleChange,
    replica: &ReplicaFacts,
) -> Result<OrderAnswer, CallError> {
    // Without a report no order is sent.
    let report = fetch_report(gw, replica).await.map_err(|e| CallError::NotSent(e.to_string()))?;
    if report.start_time_ms.is_some() && report.start_time_ms != replica.start_time_ms {
        // The order was meant for the engine's previous replica; the new one counts its orders from zero again.
        return Ok(OrderAnswer::OtherReplica);
    }
    if report.changing {
        return Ok(OrderAnswer::Conflict);
    }
    if report.role == change.to {
        return Ok(OrderAnswer::Holds);
    }
    let order = RoleOrder {
        role: change.to,
        leader: gw.settings.vm.clone(),
        fence: lease.fence(),
        expected_orders: report.orders,
    };
    let req = gw.deps.dialect.order_role(replica, &order).map_err(|e| CallError::NotSent(e.to_string()))?;
    gw.confirm_leadership(lease).await?;
    let (status, _) = {
        let connecting = gw.deps.dialer.connect(replica.address);
        once::call_on(connecting, req, leadership::CALL_TIMEOUT).await?
    };
    gw.deps.dialect.order_answer(status.as_u16()).ok_or_else(|| CallError::Lost(format!("status {status}")))
}

/// Requests the state of an engine.
pub(super) async fn fetch_report(gw: &Gateway, replica: &ReplicaFacts) -> Result<EngineReport, CallError> {
    let req = gw.deps.dialect.ask_report(replica).map_err(|e| CallError::NotSent(e.to_string()))?;
    let (status, body) = call(gw, replica, req).await?;
    if status != StatusCode::OK {
        return Err(CallError::NotSent(format!("the engine's report has status {status}")));
    }
    gw.deps.dialect.decode_report(&body).map_err(|e| CallError::NotSent(e.to_string()))
}

async fn call(
    gw: &Gateway,
    replica: &ReplicaFacts,
    req: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), CallError> {
    let exchange = async {
        let Received { resp, conn, .. } = gw.send_unnamed(replica, req).await.map_err(|e| match e {
            SendError::NobodyListens => CallError::NotSent("nothing listens at the engine's address".to_owned()),
            SendError::NoConnection => CallError::NotSent("no connection within the time limit".to_owned()),
            SendError::NotSent(why) => CallError::NotSent(why),
            SendError::NoTunnel => CallError::NotSent("no peer reaches the engine".to_owned()),
            SendError::Broke(why) | SendError::Lost(why) => CallError::Lost(why),
        })?;
        let status = resp.status();
        let body = Limited::new(resp.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|e| CallError::Lost(e.to_string()))?.to_bytes();
        gw.upstream.keep(replica.address, conn);
        Ok((status, body))
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err(CallError::Lost("no response in time".to_owned())))
}

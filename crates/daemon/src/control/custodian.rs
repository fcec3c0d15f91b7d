//! One engine's custody record, its steps, and the orders sent to the engine.

use std::time::Duration;

use dahliaseam_border::{
    error::CallError,
    http::{HttpClient, TCP_USER_TIMEOUT},
    kv::{Swap, Swapped},
};
use dahliaseam_core::{
    custody::{self, CustodyStep, EngineRecord, EngineStatus, Fencing, Order, OrderKind, StepInputs, WaitReason},
    time::{Span, Time},
};
use dahliaseam_wire::{
    engine::{ORDER_PATH, OrderAnswer, OrderRequest, STATUS_PATH, StatusReport},
    resource::EndpointSpec,
};

use super::shard::Shard;
use crate::{clock::wall_millis, emit, node::Node};

/// Timeout of a call to an engine.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Validity of an order, in milliseconds.
const ORDER_VALIDITY_MS: u64 = 2_000;
/// Maximum number of steps in one round.
const MAX_STEPS_PER_ROUND: usize = 4;

/// The custody of one engine: what this daemon knows of the engine's record.
#[derive(Debug)]
pub(super) struct EngineCustody {
    name: String,
    key: String,
    record: Option<(EngineRecord, i64)>,
    /// Whether the stored record may name this process as custodian; stays set while that is unknown.
    may_be_own: bool,
    /// Set after an order without an answer to an engine that ignores fencing numbers: no order is sent until none of
    /// that order's bytes can still arrive.
    no_send_until: Time,
}

/// Result of a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReconcileResult {
    /// The engine is in the desired state.
    Done,
    /// More remains to be done in a later round.
    Incomplete,
    /// Nothing can be done now, for this reason.
    Waiting(WaitReason),
}

impl EngineCustody {
    pub(super) fn new(node: &Node, name: &str) -> Self {
        Self {
            name: name.to_owned(),
            key: format!("{}engines/{name}", node.settings.keyspace),
            record: None,
            may_be_own: false,
            no_send_until: Time::default(),
        }
    }

    /// Whether the stored record may name this process as custodian.
    pub(super) const fn may_be_own(&self) -> bool {
        self.may_be_own
    }

    /// Whether an order may be outstanding; also true while the record is not loaded.
    pub(super) fn may_have_open_order(&self) -> bool {
        self.record.as_ref().is_none_or(|(record, _)| record.intent.is_some())
    }

    /// Brings the engine as close to `wanted` as this round allows.
    pub(super) async fn reconcile(
        &mut self,
        node: &Node,
        client: &HttpClient,
        shard: &Shard,
        spec: &EndpointSpec,
        wanted: Option<&OrderKind>,
        mut status: Option<EngineStatus>,
    ) -> ReconcileResult {
        for _ in 0..MAX_STEPS_PER_ROUND {
            if !self.load_record(node).await {
                return ReconcileResult::Incomplete;
            }
            let Some((record, _)) = &self.record else { return ReconcileResult::Incomplete };
            let former = record.custodian.as_ref().filter(|c| *c != node.identity.me());
            let inputs = StepInputs {
                me: node.identity.me(),
                epoch: shard.authority(node.now()).map(|a| a.epoch()),
                fencing: spec.fencing,
                custodian_terminated: former.is_some_and(|c| node.control.is_terminated(node, c)),
                status: status.as_ref(),
                wanted,
            };
            match custody::next_step(record, &inputs) {
                CustodyStep::Done => return ReconcileResult::Done,
                CustodyStep::Wait(wait) => {
                    // A release by the former custodian shows only in the stored record, so read it again next time.
                    if wait == WaitReason::FormerCustodian {
                        self.record = None;
                    }
                    return ReconcileResult::Waiting(wait);
                }
                CustodyStep::Write(next) => {
                    if !self.write_record(node, next).await {
                        return ReconcileResult::Incomplete;
                    }
                }
                CustodyStep::Send(order) => {
                    if !self.no_send_until.is_past(node.now()) {
                        return ReconcileResult::Incomplete;
                    }
                    self.send_order(node, client, shard, spec, order).await;
                    status = query_status(client, spec).await;
                }
            }
        }
        ReconcileResult::Incomplete
    }

    /// Releases the record once its intent is settled.
    pub(super) async fn release(&mut self, node: &Node, client: &HttpClient, spec: &EndpointSpec) {
        self.record = None;
        if !self.load_record(node).await {
            return;
        }
        let Some((record, _)) = self.record.clone() else { return };
        if !self.may_be_own {
            return;
        }
        let record = match &record.intent {
            Some(intent) if self.is_settled(node, client, spec, intent).await => {
                EngineRecord { intent: None, ..record.clone() }
            }
            _ => record,
        };
        if let Some(next) = custody::release(&record, node.identity.me()) {
            self.write_record(node, next).await;
        }
    }

    /// Whether an intended order has taken effect or no longer can.
    async fn is_settled(&self, node: &Node, client: &HttpClient, spec: &EndpointSpec, intent: &Order) -> bool {
        let Some(status) = query_status(client, spec).await else { return false };
        let accepted = (status.epoch, status.sequence) == (intent.epoch, intent.sequence);
        !status.changing && (accepted || self.no_send_until.is_past(node.now()))
    }

    async fn load_record(&mut self, node: &Node) -> bool {
        if self.record.is_some() {
            return true;
        }
        node.metrics.kv_call("record_read");
        let Ok(entry) = node.kv.read(&self.key).await else { return false };
        self.record = match entry {
            None => Some((EngineRecord::default(), 0)),
            Some(entry) => serde_json::from_str(&entry.value).ok().map(|record| (record, entry.revision)),
        };
        let custodian = self.record.as_ref().map(|(record, _)| record.custodian.as_ref());
        if let Some(custodian) = custodian {
            self.may_be_own = custodian == Some(node.identity.me());
        }
        self.record.is_some()
    }

    /// Writes the record if it is unchanged in the store. If it has changed, or that is unknown, it is read again next
    /// time.
    async fn write_record(&mut self, node: &Node, next: EngineRecord) -> bool {
        let Some((_, revision)) = self.record.take() else { return false };
        let swap = Swap {
            key: self.key.clone(),
            required_revision: revision,
            value: serde_json::to_string(&next).ok(),
            lease: None,
        };
        let is_custodian = next.custodian.as_ref() == Some(node.identity.me());
        self.may_be_own |= is_custodian;
        node.metrics.kv_call("record_write");
        if let Ok([Swapped::Done(revision)]) = node.kv.swap_each(vec![swap]).await.as_deref() {
            self.record = Some((next, *revision));
            self.may_be_own = is_custodian;
            return true;
        }
        false
    }

    async fn send_order(&mut self, node: &Node, client: &HttpClient, shard: &Shard, spec: &EndpointSpec, order: Order) {
        // Last check before the order is sent: this process may have been paused at any await above.
        if shard.authority(node.now()).is_none_or(|a| a.epoch() != order.epoch) {
            return;
        }
        let req = OrderRequest { not_after_ms: wall_millis() + ORDER_VALIDITY_MS, order };
        emit!(info, ORDER_SENT, engine = self.name, epoch = req.order.epoch, sequence = req.order.sequence,
            kind = ?req.order.kind);
        let url = format!("http://{}{ORDER_PATH}", spec.address);
        match client.post::<_, OrderAnswer>(&url, &req, CALL_TIMEOUT).await {
            Ok(answer) => emit!(info, ORDER_ANSWERED, engine = self.name, answer = ?answer),
            Err(e) => {
                emit!(warn, ORDER_UNANSWERED, engine = self.name, why = %e);
                if matches!(e, CallError::Lost(_)) && spec.fencing == Fencing::Ignores {
                    self.no_send_until = node.now() + Span(TCP_USER_TIMEOUT.as_micros() as u64);
                }
            }
        }
    }
}

/// Requests an engine's status.
pub(super) async fn query_status(client: &HttpClient, spec: &EndpointSpec) -> Option<EngineStatus> {
    let url = format!("http://{}{STATUS_PATH}", spec.address);
    client.get::<StatusReport>(&url, CALL_TIMEOUT).await.ok().map(|report| report.status)
}

//! One engine's record, its steps, and the orders that go out.

use std::time::Duration;

use dahliaseam_border::{
    error::CallError,
    http::{HttpClient, TCP_USER_TIMEOUT},
    kv::{Swap, Swapped},
};
use dahliaseam_core::{
    custody::{self, EngineRecord, EngineStatus, Fencing, Order, OrderKind, Step, View, WaitReason},
    time::{Span, Time},
};
use dahliaseam_wire::{
    engine::{ORDER_PATH, OrderAnswer, OrderRequest, STATUS_PATH, StatusReport},
    resource::EndpointSpec,
};

use super::shard::Shard;
use crate::{clock::wall_millis, emit, node::Node};

/// Time for one call to an engine.
const CALL: Duration = Duration::from_secs(1);
/// Time for which an order stays good.
const ORDER_GOOD_MS: u64 = 2_000;
/// Steps in one round at most.
const STEPS: usize = 4;

/// What this daemon knows of one engine's record.
#[derive(Debug)]
pub(super) struct Custodian {
    name: String,
    key: String,
    record: Option<(EngineRecord, i64)>,
    /// Whether the stored record may name this process; holds on while that is not known.
    may_be_mine: bool,
    /// After an order without an answer, nothing is sent before its bytes are surely gone.
    quiet_until: Time,
}

/// What a round led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reached {
    /// The engine is as wanted.
    Done,
    /// More is to be done in the next round.
    Going,
    /// Nothing can be done now.
    Waits(WaitReason),
}

impl Custodian {
    pub(super) fn new(node: &Node, name: &str) -> Self {
        Self {
            name: name.to_owned(),
            key: format!("{}engines/{name}", node.settings.keyspace),
            record: None,
            may_be_mine: false,
            quiet_until: Time::default(),
        }
    }

    /// Whether the stored record may name this process.
    pub(super) const fn may_be_mine(&self) -> bool {
        self.may_be_mine
    }

    /// Whether an order may be open, or the record is not at hand.
    pub(super) fn is_busy(&self) -> bool {
        self.record.as_ref().is_none_or(|(record, _)| record.intent.is_some())
    }

    /// Take the engine as far towards `wanted` as this round allows.
    pub(super) async fn drive(
        &mut self,
        node: &Node,
        client: &HttpClient,
        shard: &Shard,
        spec: &EndpointSpec,
        wanted: Option<&OrderKind>,
        mut status: Option<EngineStatus>,
    ) -> Reached {
        for _ in 0..STEPS {
            if !self.load(node).await {
                return Reached::Going;
            }
            let Some((record, _)) = &self.record else { return Reached::Going };
            let former = record.custodian.as_ref().filter(|c| *c != node.identity.me());
            let view = View {
                me: node.identity.me(),
                epoch: shard.authority(node.now()).map(|a| a.epoch()),
                fencing: spec.fencing,
                custodian_terminated: former.is_some_and(|c| node.board.is_over(node, c)),
                status: status.as_ref(),
                wanted,
            };
            match custody::next_step(record, &view) {
                Step::Done => return Reached::Done,
                Step::Wait(wait) => {
                    // Its release would show in the stored record only.
                    if wait == WaitReason::FormerCustodian {
                        self.record = None;
                    }
                    return Reached::Waits(wait);
                }
                Step::Write(next) => {
                    if !self.write(node, next).await {
                        return Reached::Going;
                    }
                }
                Step::Send(order) => {
                    if !self.quiet_until.is_past(node.now()) {
                        return Reached::Going;
                    }
                    self.send(node, client, shard, spec, order).await;
                    status = ask(client, spec).await;
                }
            }
        }
        Reached::Going
    }

    /// Give the record up, once its intent is settled.
    pub(super) async fn release(&mut self, node: &Node, client: &HttpClient, spec: &EndpointSpec) {
        self.record = None;
        if !self.load(node).await {
            return;
        }
        let Some((record, _)) = self.record.clone() else { return };
        if !self.may_be_mine {
            return;
        }
        let record = match &record.intent {
            Some(intent) if self.is_settled(node, client, spec, intent).await => {
                EngineRecord { intent: None, ..record.clone() }
            }
            _ => record,
        };
        if let Some(next) = custody::release(&record, node.identity.me()) {
            self.write(node, next).await;
        }
    }

    /// Whether an order that was intended can no longer take effect, or has.
    async fn is_settled(&self, node: &Node, client: &HttpClient, spec: &EndpointSpec, intent: &Order) -> bool {
        let Some(status) = ask(client, spec).await else { return false };
        let taken = (status.epoch, status.sequence) == (intent.epoch, intent.sequence);
        !status.changing && (taken || self.quiet_until.is_past(node.now()))
    }

    async fn load(&mut self, node: &Node) -> bool {
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
            self.may_be_mine = custodian == Some(node.identity.me());
        }
        self.record.is_some()
    }

    /// Write the record if it is unchanged; else, or when that is unknown, read it again.
    async fn write(&mut self, node: &Node, next: EngineRecord) -> bool {
        let Some((_, revision)) = self.record.take() else { return false };
        let swap =
            Swap { key: self.key.clone(), expect: revision, value: serde_json::to_string(&next).ok(), lease: None };
        let is_mine = next.custodian.as_ref() == Some(node.identity.me());
        self.may_be_mine |= is_mine;
        node.metrics.kv_call("record_write");
        if let Ok([Swapped::Done(revision)]) = node.kv.swap_each(vec![swap]).await.as_deref() {
            self.record = Some((next, *revision));
            self.may_be_mine = is_mine;
            return true;
        }
        false
    }

    async fn send(&mut self, node: &Node, client: &HttpClient, shard: &Shard, spec: &EndpointSpec, order: Order) {
        // The last check before the effect: a pause may lie behind any await above.
        if shard.authority(node.now()).is_none_or(|a| a.epoch() != order.epoch) {
            return;
        }
        let req = OrderRequest { not_after_ms: wall_millis() + ORDER_GOOD_MS, order };
        emit!(info, ORDER_SENT, engine = self.name, epoch = req.order.epoch, sequence = req.order.sequence,
            kind = ?req.order.kind);
        let url = format!("http://{}{ORDER_PATH}", spec.address);
        match client.post::<_, OrderAnswer>(&url, &req, CALL).await {
            Ok(answer) => emit!(info, ORDER_ANSWERED, engine = self.name, answer = ?answer),
            Err(e) => {
                emit!(warn, ORDER_UNANSWERED, engine = self.name, why = %e);
                if matches!(e, CallError::Lost(_)) && spec.fencing == Fencing::Ignores {
                    self.quiet_until = node.now() + Span(TCP_USER_TIMEOUT.as_micros() as u64);
                }
            }
        }
    }
}

/// Ask an engine for its status.
pub(super) async fn ask(client: &HttpClient, spec: &EndpointSpec) -> Option<EngineStatus> {
    let url = format!("http://{}{STATUS_PATH}", spec.address);
    client.get::<StatusReport>(&url, CALL).await.ok().map(|report| report.status)
}

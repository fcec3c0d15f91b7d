//! Custody of engines: which process may order an engine, and which order is outstanding.
//!
//! Each engine has one record in the key-value service, which is changed only by compare-and-swap. It names the
//! engine's custodian, the one process whose orders count, and the intent: the outstanding order, written
//! before it is sent. [`next_step`] is the whole protocol: given the record and the known state, it returns the
//! one step to take.
//!
//! An engine that checks fencing numbers can pass to a new custodian at once, since it rejects orders of the
//! old one after the first order of the new one. An engine that ignores them cannot: its custody passes only
//! after the former custodian has released it or has certainly terminated.

use serde::{Deserialize, Serialize};

use crate::{endpoint::Role, member::Incarnation};

/// Whether an engine rejects orders with an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It rejects them.
    Checks,
    /// It obeys every order, or its behavior is unknown.
    #[default]
    Ignores,
}

/// What an engine is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Accept no new work; finish running requests.
    Cordon,
    /// Accept new work again.
    Uncordon,
    /// Change the role; takes seconds.
    SetRole(Role),
    /// Load a model, adapter or version by its name in the configuration.
    Load(String),
    /// Only record the fencing number.
    Fence,
}

/// An order with the numbers that identify it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the sender.
    pub epoch: u64,
    /// Sequence number, which grows with each order to this engine.
    pub sequence: u64,
    /// Boot number of the engine run that the order is meant for.
    pub boot: u64,
    /// What the engine is to do.
    pub kind: OrderKind,
    /// Process that sends the order.
    pub by: Incarnation,
}

/// Record of an engine in the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// Process whose orders count; `None` after a release.
    pub custodian: Option<Incarnation>,
    /// Fencing number under which custody was taken.
    pub epoch: u64,
    /// Last sequence number used.
    pub sequence: u64,
    /// Outstanding order, which may be in flight.
    pub intent: Option<Order>,
    /// Process that asks the custodian to release the engine, if any.
    pub wanted_by: Option<Incarnation>,
}

/// Status as reported by an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Boot number, which changes with each start of the engine.
    pub boot: u64,
    /// Current role.
    pub role: Role,
    /// Whether it accepts no new work.
    pub cordoned: bool,
    /// Whether it is still carrying out an order.
    pub changing: bool,
    /// Fencing number of the last accepted order.
    pub epoch: u64,
    /// Sequence number of the last accepted order.
    pub sequence: u64,
    /// Number of running requests.
    pub running: u32,
    /// Names of the loaded models, adapters and versions.
    pub loaded: Vec<String>,
}

/// Inputs of [`next_step`] besides the record.
#[derive(Clone, Copy, Debug)]
pub struct StepInputs<'a> {
    /// This process.
    pub me: &'a Incarnation,
    /// Fencing number of this process, if it holds the lease now.
    pub epoch: Option<u64>,
    /// Whether the engine checks fencing numbers.
    pub fencing: Fencing,
    /// Whether the record's custodian has certainly terminated and none of its messages is still in flight.
    pub custodian_terminated: bool,
    /// Status of the engine, requested after the record was read.
    pub status: Option<&'a EngineStatus>,
    /// Desired order, if any.
    pub wanted: Option<&'a OrderKind>,
}

/// Reason why no step can be taken now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// This process does not hold the lease, or has an outdated fencing number.
    NoAuthority,
    /// The engine ignores fencing numbers and its former custodian may still be running.
    FormerCustodian,
    /// The engine's status is unknown.
    NoStatus,
    /// The engine is carrying out an order.
    Changing,
}

/// A step of the custody protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CustodyStep {
    /// Wait, for this reason.
    Wait(WaitReason),
    /// Write this record by compare-and-swap, then call [`next_step`] again.
    Write(EngineRecord),
    /// Send this order, then call [`next_step`] again. Its intent is already written, unless it is a fence.
    Send(Order),
    /// Nothing is left to do.
    Done,
}

/// Returns the next step for an engine.
#[must_use]
pub fn next_step(record: &EngineRecord, inputs: &StepInputs<'_>) -> CustodyStep {
    let Some(epoch) = inputs.epoch else {
        return CustodyStep::Wait(WaitReason::NoAuthority);
    };
    // A process may be paused between its lease check and this step, and resume with an outdated number.
    if epoch < record.epoch {
        return CustodyStep::Wait(WaitReason::NoAuthority);
    }
    if record.custodian.as_ref() != Some(inputs.me) {
        return take_custody(record, inputs, epoch);
    }
    if record.epoch != epoch {
        // The lease was lost and regained: continue under the new number.
        let mut record = record.clone();
        record.epoch = epoch;
        return CustodyStep::Write(record);
    }
    match (&record.intent, inputs.wanted) {
        (Some(intent), _) => settle_intent(record, intent, inputs, epoch),
        (None, Some(wanted)) => write_intent(record, wanted, inputs, epoch),
        (None, None) => CustodyStep::Done,
    }
}

fn take_custody(record: &EngineRecord, inputs: &StepInputs<'_>, epoch: u64) -> CustodyStep {
    let free = record.custodian.is_none();
    let fenced = inputs.fencing == Fencing::Checks && epoch > record.epoch;
    let mut record = record.clone();
    if free || fenced || inputs.custodian_terminated {
        record.custodian = Some(inputs.me.clone());
        record.epoch = epoch;
        record.wanted_by = None;
        return CustodyStep::Write(record);
    }
    if record.wanted_by.as_ref() != Some(inputs.me) {
        record.wanted_by = Some(inputs.me.clone());
        return CustodyStep::Write(record);
    }
    CustodyStep::Wait(WaitReason::FormerCustodian)
}

fn settle_intent(record: &EngineRecord, intent: &Order, inputs: &StepInputs<'_>, epoch: u64) -> CustodyStep {
    let Some(status) = inputs.status else {
        return CustodyStep::Wait(WaitReason::NoStatus);
    };
    if status.changing {
        return CustodyStep::Wait(WaitReason::Changing);
    }
    let taken = (status.epoch, status.sequence) == (intent.epoch, intent.sequence);
    if taken || status.boot != intent.boot {
        return CustodyStep::Write(without_intent(record));
    }
    if intent.by == *inputs.me && intent.epoch == epoch {
        return CustodyStep::Send(intent.clone());
    }
    if inputs.fencing == Fencing::Checks && status.epoch < epoch {
        // The intended order has an older number and may still be in flight: the engine must learn the new number
        // first.
        let fence = Order {
            epoch,
            sequence: record.sequence + 1,
            boot: status.boot,
            kind: OrderKind::Fence,
            by: inputs.me.clone(),
        };
        return CustodyStep::Send(fence);
    }
    CustodyStep::Write(without_intent(record))
}

fn without_intent(record: &EngineRecord) -> EngineRecord {
    EngineRecord {
        intent: None,
        // A fence may have used the number after the intent's.
        sequence: record.sequence + 1,
        ..record.clone()
    }
}

fn write_intent(record: &EngineRecord, wanted: &OrderKind, inputs: &StepInputs<'_>, epoch: u64) -> CustodyStep {
    let Some(status) = inputs.status else {
        return CustodyStep::Wait(WaitReason::NoStatus);
    };
    if status.changing {
        return CustodyStep::Wait(WaitReason::Changing);
    }
    if is_satisfied(wanted, status) {
        return CustodyStep::Done;
    }
    let sequence = record.sequence + 1;
    let intent = Order { epoch, sequence, boot: status.boot, kind: wanted.clone(), by: inputs.me.clone() };
    CustodyStep::Write(EngineRecord { sequence, intent: Some(intent), ..record.clone() })
}

/// Whether `status` shows that `wanted` has been carried out.
#[must_use]
pub fn is_satisfied(wanted: &OrderKind, status: &EngineStatus) -> bool {
    match wanted {
        OrderKind::Cordon => status.cordoned,
        OrderKind::Uncordon => !status.cordoned,
        OrderKind::SetRole(role) => status.role == *role,
        OrderKind::Load(name) => status.loaded.contains(name),
        OrderKind::Fence => false,
    }
}

/// Returns the record after `me` releases custody; `None` if `me` is not the custodian or an order is
/// outstanding.
#[must_use]
pub fn release(record: &EngineRecord, me: &Incarnation) -> Option<EngineRecord> {
    let mine = record.custodian.as_ref() == Some(me);
    (mine && record.intent.is_none()).then(|| EngineRecord { custodian: None, wanted_by: None, ..record.clone() })
}

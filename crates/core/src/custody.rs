//! Who may give an engine orders, and which order is open.
//!
//! Each engine has one record in the key-value service, changed only by compare-and-swap. It
//! names the engine's custodian, the process whose orders count, and the open intent, written
//! before its order is sent. [`next`] is the whole protocol: given the record and what is known,
//! it returns the one step to take.
//!
//! An engine that refuses old fencing numbers can pass to a new holder at once, since the old
//! holder's orders are refused from the new one's first order on. An engine that ignores them
//! cannot: its custody passes only when the former custodian released it or is known to be over.

use serde::{Deserialize, Serialize};

use crate::{endpoint::Role, member::Incarnation};

/// Whether an engine refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It refuses them.
    Checks,
    /// It obeys whoever asks, or nothing is known of it.
    #[default]
    Ignores,
}

/// What an order asks of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Refuse new work; finish what runs.
    Cordon,
    /// Accept new work again.
    Uncordon,
    /// Play another role; takes seconds.
    SetRole(Role),
    /// Load a model, adapter or version, named as in the configuration.
    Load(String),
    /// Do nothing but learn the fencing number.
    Fence,
}

/// An order with all that identifies it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number of the holder.
    pub epoch: u64,
    /// Grows with each order to this engine.
    pub sequence: u64,
    /// The engine's boot that the order is meant for.
    pub boot: u64,
    /// What to do.
    pub kind: OrderKind,
    /// The process that gives it.
    pub by: Incarnation,
}

/// The engine's record in the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecord {
    /// The process whose orders count; none after a release.
    pub custodian: Option<Incarnation>,
    /// The fencing number under which custody was taken.
    pub epoch: u64,
    /// The last sequence number used.
    pub sequence: u64,
    /// The order that may be on its way.
    pub intent: Option<Order>,
    /// Whether a request for release is open, and by whom.
    pub wanted_by: Option<Incarnation>,
}

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Changes with each start of the engine.
    pub boot: u64,
    /// Its role.
    pub role: Role,
    /// Whether it refuses new work.
    pub cordoned: bool,
    /// Whether an order is still being carried out.
    pub changing: bool,
    /// Fencing number of the last order it took.
    pub epoch: u64,
    /// Sequence number of the last order it took.
    pub sequence: u64,
    /// Requests that it is working on.
    pub running: u32,
    /// Names of what is loaded.
    pub loaded: Vec<String>,
}

/// What is known when a step is chosen.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// This process.
    pub me: &'a Incarnation,
    /// This process's fencing number, if its lease holds now.
    pub epoch: Option<u64>,
    /// Whether the engine checks.
    pub fencing: Fencing,
    /// Whether the record's custodian is known to be over, its bytes in flight included.
    pub custodian_terminated: bool,
    /// The engine's status, asked after the record was read.
    pub status: Option<&'a EngineStatus>,
    /// The order that is wanted.
    pub wanted: Option<&'a OrderKind>,
}

/// Why nothing can be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// This process has no authority.
    NoAuthority,
    /// The engine ignores fencing numbers and its former custodian may still be running.
    FormerCustodian,
    /// The engine's status is not known.
    NoStatus,
    /// The engine is carrying an order out.
    Changing,
}

/// The step to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing for now.
    Wait(WaitReason),
    /// Write this record if the present one is unchanged, then look again.
    Write(EngineRecord),
    /// Send this order, whose intent is written, then look again.
    Send(Order),
    /// Nothing is left to do.
    Done,
}

/// The one step to take for an engine.
#[must_use]
pub fn next_step(record: &EngineRecord, view: &View<'_>) -> Step {
    let Some(epoch) = view.epoch else {
        return Step::Wait(WaitReason::NoAuthority);
    };
    // A process may pause between the check of its lease and this step, and wake with a number
    // that others have left behind.
    if epoch < record.epoch {
        return Step::Wait(WaitReason::NoAuthority);
    }
    if record.custodian.as_ref() != Some(view.me) {
        return take_custody(record, view, epoch);
    }
    if record.epoch != epoch {
        // The lease was lost and won again: go on under the new number.
        let mut record = record.clone();
        record.epoch = epoch;
        return Step::Write(record);
    }
    match (&record.intent, view.wanted) {
        (Some(intent), _) => settle_intent(record, intent, view, epoch),
        (None, Some(wanted)) => write_intent(record, wanted, view, epoch),
        (None, None) => Step::Done,
    }
}

fn take_custody(record: &EngineRecord, view: &View<'_>, epoch: u64) -> Step {
    let free = record.custodian.is_none();
    let fenced = view.fencing == Fencing::Checks && epoch > record.epoch;
    let mut record = record.clone();
    if free || fenced || view.custodian_terminated {
        record.custodian = Some(view.me.clone());
        record.epoch = epoch;
        record.wanted_by = None;
        return Step::Write(record);
    }
    if record.wanted_by.as_ref() != Some(view.me) {
        record.wanted_by = Some(view.me.clone());
        return Step::Write(record);
    }
    Step::Wait(WaitReason::FormerCustodian)
}

fn settle_intent(record: &EngineRecord, intent: &Order, view: &View<'_>, epoch: u64) -> Step {
    let Some(status) = view.status else {
        return Step::Wait(WaitReason::NoStatus);
    };
    if status.changing {
        return Step::Wait(WaitReason::Changing);
    }
    let taken = (status.epoch, status.sequence) == (intent.epoch, intent.sequence);
    if taken || status.boot != intent.boot {
        return Step::Write(without_intent(record));
    }
    if intent.by == *view.me && intent.epoch == epoch {
        return Step::Send(intent.clone());
    }
    if view.fencing == Fencing::Checks && status.epoch < epoch {
        // It may still be on its way: the engine must learn the new number first.
        let fence = Order {
            epoch,
            sequence: record.sequence + 1,
            boot: status.boot,
            kind: OrderKind::Fence,
            by: view.me.clone(),
        };
        return Step::Send(fence);
    }
    Step::Write(without_intent(record))
}

fn without_intent(record: &EngineRecord) -> EngineRecord {
    EngineRecord {
        intent: None,
        // The number after the intent's may have gone to a fence.
        sequence: record.sequence + 1,
        ..record.clone()
    }
}

fn write_intent(record: &EngineRecord, wanted: &OrderKind, view: &View<'_>, epoch: u64) -> Step {
    let Some(status) = view.status else {
        return Step::Wait(WaitReason::NoStatus);
    };
    if status.changing {
        return Step::Wait(WaitReason::Changing);
    }
    if is_satisfied(wanted, status) {
        return Step::Done;
    }
    let sequence = record.sequence + 1;
    let intent = Order { epoch, sequence, boot: status.boot, kind: wanted.clone(), by: view.me.clone() };
    Step::Write(EngineRecord { sequence, intent: Some(intent), ..record.clone() })
}

/// Whether `status` shows what `wanted` asks for.
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

/// The record after its custodian steps down, when nothing is open.
#[must_use]
pub fn release(record: &EngineRecord, me: &Incarnation) -> Option<EngineRecord> {
    let mine = record.custodian.as_ref() == Some(me);
    (mine && record.intent.is_none()).then(|| EngineRecord { custodian: None, wanted_by: None, ..record.clone() })
}

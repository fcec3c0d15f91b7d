//! Work at a replica, counted from when it is sent until it is over.

use std::sync::Arc;

use dahliaseam_core::{
    fleet::{SentStep, StepEnd, plan::Step, replica::ReplicaKey},
    prompt::Prompt,
    time::Span,
};

use crate::{
    emit,
    gateway::{state::Gateway, suspension::SuspendedTime},
};

/// One replica's work for a request. Dropping it ends the count.
#[derive(Debug)]
pub(super) struct InFlightCall {
    gw: Arc<Gateway>,
    sent: SentStep,
    end: StepEnd,
    suspended_before: SuspendedTime,
}

impl InFlightCall {
    /// Count work that is about to be sent; absent if the replica is no longer known.
    pub(super) fn begin(gw: &Arc<Gateway>, step: &Step, prompt: Option<&Prompt>) -> Option<Self> {
        let now = gw.now();
        let sent = gw.fleet().begin(step.key, step, prompt, now)?;
        gw.load_changed.notify_one();
        Some(Self { gw: Arc::clone(gw), sent, end: StepEnd::Unknown, suspended_before: gw.suspended_time() })
    }

    /// Set how it will have ended.
    pub(super) const fn set_end(&mut self, end: StepEnd) {
        self.end = end;
    }

    /// Whether the machine was suspended since it was sent, so that nothing can be learned from how long it took.
    pub(super) fn was_suspended(&self) -> bool {
        self.gw.suspended_time().has_grown_since(self.suspended_before)
    }

    /// The reading is over; the rest goes on.
    pub(super) fn record_prefill_end(&mut self, end: StepEnd) {
        let end = if self.was_suspended() { StepEnd::Unknown } else { end };
        let now = self.gw.now();
        self.gw.fleet().prefill_ended(&mut self.sent, end, now);
        self.gw.load_changed.notify_one();
    }

    /// A plain call was answered.
    pub(super) fn record_plain_call(&self) {
        if self.was_suspended() {
            return;
        }
        let now = self.gw.now();
        self.gw.fleet().learn_plain_call(&self.sent, now.since(self.sent.sent_at), now);
    }

    /// Where it is done.
    pub(super) const fn replica_key(&self) -> ReplicaKey {
        self.sent.key
    }

    /// Whether it is the answer that will keep a slot for seconds.
    pub(super) const fn is_long(&self) -> bool {
        self.sent.load.streams > 0
    }

    /// Whether the replica had nothing else to read.
    pub(super) const fn was_alone(&self) -> bool {
        self.sent.had_no_prefill
    }

    /// What was sent, as it is counted.
    pub(super) const fn sent(&self) -> &SentStep {
        &self.sent
    }

    /// Time since it was sent.
    pub(super) fn age(&self) -> Span {
        self.gw.now().since(self.sent.sent_at)
    }

    /// The replica is no longer the one that was known.
    pub(super) fn replica_replaced(&self) {
        let now = self.gw.now();
        self.gw.fleet().mark_replaced(self.sent.key, now);
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        let now = self.gw.now();
        let end = if self.was_suspended() { StepEnd::Unknown } else { self.end };
        let (ejected, id) = {
            let mut fleet = self.gw.fleet();
            let ejected = fleet.end(&self.sent, end, now);
            (ejected, fleet.get(self.sent.key).map(|replica| Arc::clone(&replica.facts.id)))
        };
        if let (true, Some(id)) = (ejected, id) {
            emit!(warn, REPLICA_LEFT_OUT, replica = %id, end = ?self.end);
        }
        self.gw.load_changed.notify_one();
    }
}

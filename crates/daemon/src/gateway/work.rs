//! Calls in flight: the work at a replica, counted from when it is sent until it is finished.

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

/// A call to one replica for a request. Dropping it ends the count.
#[derive(Debug)]
pub(super) struct InFlightCall {
    gw: Arc<Gateway>,
    sent: SentStep,
    end: StepEnd,
    suspended_before: SuspendedTime,
}

impl InFlightCall {
    /// Counts work that is about to be sent; `None` if the replica is gone, or its rate limit or retry time does not
    /// allow a request from this daemon now.
    pub(super) fn begin(gw: &Arc<Gateway>, step: &Step, prompt: Option<&Prompt>) -> Option<Self> {
        let now = gw.now();
        let sent = gw.fleet().begin_step(step.key, step, prompt, now)?;
        gw.load_changed.notify_one();
        Some(Self { gw: Arc::clone(gw), sent, end: StepEnd::Unknown, suspended_before: gw.suspended_time() })
    }

    /// Sets how the call is reported to have ended when it is dropped.
    pub(super) const fn set_end(&mut self, end: StepEnd) {
        self.end = end;
    }

    /// Whether the machine was suspended since the call was sent, so that its duration must not update estimates.
    pub(super) fn was_suspended(&self) -> bool {
        self.gw.suspended_time().has_grown_since(self.suspended_before)
    }

    /// Records that the prefill is finished; the rest of the call continues.
    pub(super) fn record_prefill_end(&mut self, end: StepEnd) {
        let end = if self.was_suspended() { StepEnd::Unknown } else { end };
        let now = self.gw.now();
        self.gw.fleet().prefill_ended(&mut self.sent, end, now);
        self.gw.load_changed.notify_one();
    }

    /// Updates the estimates from a completed call to a plain service.
    pub(super) fn record_plain_call(&self) {
        if self.was_suspended() {
            return;
        }
        let now = self.gw.now();
        self.gw.fleet().learn_plain_call(&self.sent, now.since(self.sent.sent_at), now);
    }

    /// Key of the replica.
    pub(super) const fn replica_key(&self) -> ReplicaKey {
        self.sent.key
    }

    /// Whether the call is for a long answer, which occupies a slot for seconds.
    pub(super) const fn is_long(&self) -> bool {
        self.sent.load.long_answers > 0
    }

    /// Whether the replica had no other prompt to prefill.
    pub(super) const fn had_no_prefill(&self) -> bool {
        self.sent.had_no_prefill
    }

    /// What was sent, as it is counted.
    pub(super) const fn sent(&self) -> &SentStep {
        &self.sent
    }

    /// Time since the call was sent.
    pub(super) fn age(&self) -> Span {
        self.gw.now().since(self.sent.sent_at)
    }

    /// Records that another process has replaced the replica that was known.
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
            let ejected = fleet.end_step(&self.sent, end, now);
            (ejected, fleet.get(self.sent.key).map(|replica| Arc::clone(&replica.facts.id)))
        };
        if let (true, Some(id)) = (ejected, id) {
            emit!(warn, REPLICA_LEFT_OUT, replica = %id, end = ?self.end);
            self.gw.request_path_check(self.sent.key);
        }
        self.gw.load_changed.notify_one();
    }
}

//! Having a prompt read by an engine for another one, and keeping what it read until that takes it.

use std::{sync::Arc, time::Duration};

use dahliaseam_border::dialect::{Handle, Task};
use dahliaseam_core::{
    fleet::{StepEnd, plan::Step, replica::ReplicaFacts},
    time::{Span, Time},
};
use http::StatusCode;
use http_body_util::{BodyExt, Limited};

use crate::{
    clock::duration,
    emit,
    gateway::{
        attempt::{Call, CallFailure, SHORT_ANSWER, SHORT_ANSWER_TIME, SILENT},
        orders,
        request::Job,
        state::Gateway,
        upstream::Received,
    },
};

/// How many times as long as predicted a prompt's reading may take before its engine is asked
/// whether it is there at all. It is not broken off then: readings that begin again from nothing slow the others.
const READ_PATIENCE: f64 = 2.0;
/// What is added to that: the way there, and a prediction that is far off.
const READ_SLACK: Span = Span::millis(150);
/// Time between two reports asked of an engine whose reading takes longer than predicted.
const ASK_AGAIN: Duration = Duration::from_millis(250);
/// What is added for each daemon: what they send in the meantime is heard of later, the more there are.
const UNSEEN_EACH: Span = Span::millis(3);
/// Time to free memory at an engine.
const FREE: Duration = Duration::from_secs(1);

/// A prompt that was read. Its memory at the engine is freed unless another one took it over.
pub(super) struct KeptPrompt {
    gw: Arc<Gateway>,
    pub(super) replica: ReplicaFacts,
    pub(super) handle: Handle,
    pub(super) taken: bool,
}

impl Drop for KeptPrompt {
    fn drop(&mut self) {
        if !self.taken {
            tokio::spawn(free(Arc::clone(&self.gw), self.replica.clone(), self.handle.name.clone()));
        }
    }
}

async fn free(gw: Arc<Gateway>, replica: ReplicaFacts, handle: String) {
    let req = match gw.outside.dialect.free_handle(&replica, &handle) {
        Ok(req) => req,
        Err(e) => {
            emit!(warn, HANDLE_KEPT, replica = %replica.id, handle, why = %e);
            return;
        }
    };
    match tokio::time::timeout(FREE, gw.upstream.send(replica.address, req)).await {
        Ok(Ok(Received { resp, conn, .. })) => {
            if resp.into_body().collect().await.is_ok() {
                gw.upstream.keep(replica.address, conn);
            }
        }
        Ok(Err(e)) => emit!(info, HANDLE_KEPT, replica = %replica.id, handle, why = ?e),
        Err(_) => emit!(info, HANDLE_KEPT, replica = %replica.id, handle, why = "no answer in time"),
    }
}

impl Job {
    /// Have a prompt read.
    pub(super) async fn read(&self, step: &Step) -> Result<KeptPrompt, CallFailure> {
        let predicted = Span::seconds((step.wait_ms + step.work_ms) / 1_000.0 * READ_PATIENCE);
        let unseen = Span(UNSEEN_EACH.0 * self.gw.fleet().daemons() as u64);
        let overdue = self.deadline.min(self.gw.now() + predicted + READ_SLACK + unseen);
        let (replica, mut work) = self.begin(step)?;
        let task = Task::Read { copy_from: self.copy_from(step) };
        let call = Call { replica: &replica, task: &task, priority: self.priority(step) };
        let read = self.read_patiently(&call, overdue).await;
        match read {
            Ok(handle) => {
                self.gw.metrics.reading(work.age().as_seconds());
                emit!(
                    debug,
                    PROMPT_READ,
                    request = self.caller.id,
                    replica = %replica.id,
                    hall = %replica.hall,
                    uncached = step.prefill.uncached,
                    held = step.prefill.held,
                    copied = step.copy_from.is_some(),
                    alone = work.was_alone(),
                    expected_ms = (step.wait_ms + step.work_ms) as u64,
                    took_us = work.age().0
                );
                work.reading_over(StepEnd::Done);
                work.ended(StepEnd::Done);
                Ok(KeptPrompt { gw: Arc::clone(&self.gw), replica, handle, taken: false })
            }
            Err(why) => {
                self.note_failure(&replica, &mut work, &why, "read").await;
                Err(why)
            }
        }
    }

    /// Wait for a reading as long as its engine answers at all.
    ///
    /// A reading that is broken off is begun again from nothing elsewhere, where it costs as much
    /// once more; so a busy engine keeps it, and only one that is gone or unreachable loses it.
    async fn read_patiently(&self, call: &Call<'_>, overdue: Time) -> Result<Handle, CallFailure> {
        let mut reading = std::pin::pin!(self.read_once(call));
        if let Some(read) = self.gw.until(overdue, &mut reading).await {
            return read;
        }
        tokio::select! {
            read = &mut reading => read.map_err(|why| match why {
                CallFailure::TimedOut => CallFailure::Overdue,
                other => other,
            }),
            () = self.until_silent(call.replica) => Err(CallFailure::TimedOut),
        }
    }

    /// Return once the engine does not answer a question that costs it nothing, or is another start of it.
    async fn until_silent(&self, replica: &ReplicaFacts) {
        loop {
            let asked = tokio::time::timeout(duration(SILENT), orders::report(&self.gw, replica)).await;
            match asked {
                Ok(Ok(report)) if report.born.is_none() || report.born == replica.start_time_ms => {}
                _ => return,
            }
            emit!(debug, READ_OVERDUE, request = self.caller.id, replica = %replica.id);
            tokio::time::sleep(ASK_AGAIN).await;
        }
    }

    async fn read_once(&self, call: &Call<'_>) -> Result<Handle, CallFailure> {
        let (head, body, conn) = self.call(call, self.deadline).await?;
        let text = Limited::new(body, SHORT_ANSWER).collect();
        let text = tokio::time::timeout(SHORT_ANSWER_TIME, text).await.map_err(|_| CallFailure::TimedOut)?;
        let text = text.map_err(|e| CallFailure::Broke(e.to_string()))?.to_bytes();
        if head.status != StatusCode::OK {
            return Err(CallFailure::Lost(format!("status {}", head.status)));
        }
        let handle = self.gw.outside.dialect.handle(&text).map_err(|e| CallFailure::Lost(e.to_string()))?;
        self.gw.upstream.keep(call.replica.address, conn);
        Ok(handle)
    }
}

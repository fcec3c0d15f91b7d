//! Prefill: an engine prefills a prompt for another engine and keeps the resulting KV cache until that engine takes it
//! over.

use std::{sync::Arc, time::Duration};

use dahliaseam_border::dialect::{Handle, Task};
use dahliaseam_core::{
    fleet::{StepEnd, path::Path, plan::Step, replica::ReplicaFacts},
    time::{Span, Time},
};
use http::StatusCode;
use http_body_util::{BodyExt, Limited};

use crate::{
    clock::duration,
    emit,
    gateway::{
        attempt::{
            Call, CallFailure, MAX_SHORT_RESPONSE_BYTES, SHORT_RESPONSE_TIMEOUT, SILENCE_TIMEOUT, drain_short_response,
        },
        endings::Phase,
        orders,
        request::ActiveRequest,
        state::Gateway,
        tunnel,
        upstream::Received,
    },
};

/// Multiple of its predicted duration after which a prefill is overdue and its engine is asked whether it still
/// responds. The prefill is not aborted then: prefills that start again from the beginning slow the others.
const PREFILL_OVERDUE_FACTOR: f64 = 2.0;
/// Added to the time after which a prefill is overdue, for the round trip and for predictions that are far too low.
const PREFILL_OVERDUE_MARGIN: Span = Span::millis(150);
/// Interval between two status requests to an engine whose prefill is overdue.
const STATUS_INTERVAL: Duration = Duration::from_millis(250);
/// Added, for each daemon, to the time after which a prefill is overdue: the more daemons there are, the later this one
/// learns what they have sent to the engine in the meantime.
const MARGIN_PER_DAEMON: Span = Span::millis(3);
/// Time limit for freeing a KV cache at an engine.
const FREE_TIMEOUT: Duration = Duration::from_secs(1);

/// A prefilled prompt. Its KV cache at the engine is freed unless another engine took it over.
pub(super) struct PrefilledPrompt {
    gw: Arc<Gateway>,
    pub(super) replica: ReplicaFacts,
    pub(super) handle: Handle,
    pub(super) taken_over: bool,
}

impl Drop for PrefilledPrompt {
    fn drop(&mut self) {
        if !self.taken_over {
            tokio::spawn(free_handle(Arc::clone(&self.gw), self.replica.clone(), self.handle.name.clone()));
        }
    }
}

async fn free_handle(gw: Arc<Gateway>, replica: ReplicaFacts, handle: String) {
    let req = match gw.deps.dialect.free_handle(&replica, &handle) {
        Ok(req) => req,
        Err(e) => {
            emit!(warn, HANDLE_KEPT, replica = %replica.id, handle, why = %e);
            return;
        }
    };
    match tokio::time::timeout(FREE_TIMEOUT, gw.send_unnamed(&replica, req)).await {
        Ok(Ok(Received { resp, conn, .. })) => drain_short_response(&gw, &replica, resp.into_body(), conn).await,
        Ok(Err(e)) => emit!(info, HANDLE_KEPT, replica = %replica.id, handle, why = ?e),
        Err(_) => emit!(info, HANDLE_KEPT, replica = %replica.id, handle, why = "no response in time"),
    }
}

impl ActiveRequest {
    /// Has a prompt prefilled.
    pub(super) async fn prefill(&self, step: &Step) -> Result<PrefilledPrompt, CallFailure> {
        let predicted = Span::seconds((step.wait_ms + step.work_ms) / 1_000.0 * PREFILL_OVERDUE_FACTOR);
        let margin = Span(MARGIN_PER_DAEMON.0 * self.gw.fleet().daemons() as u64);
        let overdue_at = self.deadline.min(self.gw.now() + predicted + PREFILL_OVERDUE_MARGIN + margin);
        let (replica, mut in_flight) = self.begin_call(step)?;
        let task = Task::Prefill { copy_from: self.copy_from(step) };
        let call = Call { replica: &replica, task: &task, priority: self.priority(step) };
        let result = self.prefill_while_responsive(&call, overdue_at).await;
        match result {
            Ok(handle) => {
                self.sends.record_end("prefilled");
                self.gw.metrics.prefill(in_flight.age().as_seconds());
                emit!(
                    debug,
                    PROMPT_READ,
                    request = self.caller.id,
                    replica = %replica.id,
                    hall = %replica.hall,
                    uncached = step.prefill.uncached,
                    held = step.prefill.cached,
                    copied = step.copy_from.is_some(),
                    alone = in_flight.had_no_prefill(),
                    expected_ms = (step.wait_ms + step.work_ms) as u64,
                    took_us = in_flight.age().0
                );
                in_flight.record_prefill_end(StepEnd::Done);
                in_flight.set_end(StepEnd::Done);
                Ok(PrefilledPrompt { gw: Arc::clone(&self.gw), replica, handle, taken_over: false })
            }
            Err(why) => {
                self.record_call_failure(&replica, &mut in_flight, &why, Phase::Prefill).await;
                Err(why)
            }
        }
    }

    /// Waits for a prefill for as long as its engine responds at all.
    ///
    /// An aborted prefill starts again from the beginning elsewhere, at the full cost; so a busy engine keeps it, and
    /// only an engine that is gone or unreachable loses it.
    async fn prefill_while_responsive(&self, call: &Call<'_>, overdue_at: Time) -> Result<Handle, CallFailure> {
        let path = self.gw.fleet().path(call.replica);
        let mut prefill = std::pin::pin!(self.call_prefill(call));
        if let Some(result) = self.gw.timeout_at(overdue_at, &mut prefill).await {
            return result;
        }
        tokio::select! {
            result = &mut prefill => result.map_err(|why| match why {
                CallFailure::TimedOut => CallFailure::Overdue,
                other => other,
            }),
            () = self.until_unresponsive(call.replica, path) => Err(CallFailure::TimedOut),
        }
    }

    /// Returns when the engine does not respond to a cheap status request, has been restarted, or is no longer reached
    /// on the path of the call. A call through a peer goes on when the own path is back.
    async fn until_unresponsive(&self, replica: &ReplicaFacts, path: Path) {
        while path == Path::ThroughPeers || self.gw.fleet().path(replica) == Path::Direct {
            let timeout = match path {
                Path::Direct => duration(SILENCE_TIMEOUT),
                Path::ThroughPeers => duration(SILENCE_TIMEOUT) + tunnel::OPEN_TIMEOUT,
            };
            let report = tokio::time::timeout(timeout, orders::fetch_report(&self.gw, replica)).await;
            match report {
                Ok(Ok(report)) if report.start_time_ms.is_none() || report.start_time_ms == replica.start_time_ms => {}
                _ => return,
            }
            emit!(debug, READ_OVERDUE, request = self.caller.id, replica = %replica.id);
            tokio::time::sleep(STATUS_INTERVAL).await;
        }
    }

    async fn call_prefill(&self, call: &Call<'_>) -> Result<Handle, CallFailure> {
        let (head, body, conn) = self.call(call, self.deadline).await?;
        let text = Limited::new(body, MAX_SHORT_RESPONSE_BYTES).collect();
        let text = tokio::time::timeout(SHORT_RESPONSE_TIMEOUT, text).await.map_err(|_| CallFailure::TimedOut)?;
        let text = text.map_err(|e| CallFailure::Broke(e.to_string()))?.to_bytes();
        if head.status != StatusCode::OK {
            return Err(CallFailure::Lost(format!("status {}", head.status)));
        }
        let handle = self.gw.deps.dialect.decode_handle(&text).map_err(|e| CallFailure::Lost(e.to_string()))?;
        self.gw.upstream.keep(call.replica.address, conn);
        Ok(handle)
    }
}

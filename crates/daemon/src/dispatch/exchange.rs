//! One request from its arrival to its outcome.

use std::sync::Arc;

use dahliaseam_core::{
    claim::{Duplicate, RecordedResult},
    dispatch::{Refusal, RetryDecision},
    frame::Assembly,
    outcome::{AttemptEnd, Outcome},
    request::RequestSpec,
    time::{Span, Time},
};
use dahliaseam_wire::{
    operator::{AttemptRecord, RequestRecord},
    resource::KindSpec,
};
use serde_json::Value;
use tokio::sync::mpsc;

use crate::{
    dispatch::{
        claims::{self, ClaimError, HeldClaim},
        desk::{Command, Dispatch, Ticket},
        failure::Failure,
        progress::Progress,
        records::{OpenRecord, lock},
    },
    emit,
    endpoint::attempt::{AttemptResult, Clients, EngineCall, Piece, generate},
    node::Node,
};

/// Finish reason of an answer that has the maximum number of tokens.
const TOKEN_LIMIT_REACHED: &str = "length";

/// Parameters of a request other than its content.
#[derive(Clone, Debug)]
pub struct RequestParams {
    /// Identifier of the request.
    pub request: String,
    /// Name of the request's kind.
    pub kind_name: String,
    /// Specification of the kind.
    pub kind: KindSpec,
    /// Team that sends the request.
    pub team: String,
    /// Idempotency key, prefixed with the team because keys are unique only within a team.
    pub key: Option<String>,
    /// Arrival time.
    pub arrived: Time,
    /// Time at which the answer is due.
    pub deadline: Time,
}

/// A submitted request. Dropping it cancels the request in the dispatcher.
#[derive(Debug)]
pub struct ActiveRequest {
    /// The daemon that serves the request.
    pub node: Arc<Node>,
    /// Parameters of the request.
    pub params: RequestParams,
    ticket: Ticket,
    record: OpenRecord,
    claim: Option<HeldClaim>,
}

/// Properties of the content that the dispatcher needs.
#[derive(Clone, Copy, Debug, Default)]
pub struct ContentInfo {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub output_tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Identifier of the adapter, 0 for none.
    pub adapter: u64,
}

impl ActiveRequest {
    /// Submits a request to the dispatcher.
    ///
    /// # Errors
    /// Why it is refused immediately.
    pub fn submit(node: &Arc<Node>, params: RequestParams, pool: &str, content: ContentInfo) -> Result<Self, Failure> {
        let spec = |pool| RequestSpec {
            pool,
            kind: params.kind.traits(),
            prompt_tokens: content.prompt_tokens,
            output_tokens: content.output_tokens,
            prefix: content.prefix,
            adapter: content.adapter,
            deadline: params.deadline,
        };
        let record = node.records.open(RequestRecord {
            request: params.request.clone(),
            kind: params.kind_name.clone(),
            team: params.team.clone(),
            pool: pool.to_owned(),
            prompt_tokens: content.prompt_tokens,
            deadline_ms: params.deadline.since(params.arrived).as_millis(),
            took_ms: None,
            outcome: None,
            refusal: None,
            attempts: Vec::new(),
            seen: Vec::new(),
        });
        match node.dispatcher.submit(pool, &params.team, spec, params.arrived) {
            Ok(ticket) => Ok(Self { node: Arc::clone(node), params, ticket, record, claim: None }),
            Err((reason, retry_at)) => {
                let mut record = lock(&record);
                record.outcome = Some(Outcome::NotRun);
                record.refusal = Some(reason);
                let retry_ms = retry_at.since(params.arrived).as_millis();
                log_finished(node, &params, Outcome::NotRun, reason_name(reason));
                Err(Failure::refused(Outcome::NotRun, reason, retry_ms))
            }
        }
    }

    /// Identifier of the request.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.params.request
    }

    /// Waits for the next attempt, and acquires the claim before the first one.
    ///
    /// # Errors
    /// Why there is no further attempt; the request is finished.
    pub async fn next_dispatch(&mut self, content_hash: u64) -> Result<Dispatch, NoAttempt> {
        loop {
            match self.ticket.next().await {
                Some(Command::Send(dispatch)) => {
                    self.record_attempt(&dispatch);
                    self.acquire_claim(content_hash).await?;
                    return Ok(dispatch);
                }
                Some(Command::Refuse { outcome, reason, retry_after_ms, candidates }) => {
                    let mut record = lock(&self.record);
                    record.refusal = Some(reason);
                    record.seen = candidates;
                    drop(record);
                    return Err(NoAttempt::Failed(Failure::refused(outcome, reason, retry_after_ms)));
                }
                Some(Command::Stop(_)) => {}
                None => return Err(NoAttempt::Failed(Failure::ended(Outcome::Unknown, "the daemon is over"))),
            }
        }
    }

    async fn acquire_claim(&mut self, content_hash: u64) -> Result<(), NoAttempt> {
        let Some(key) = self.params.key.as_ref().filter(|_| self.claim.is_none()) else {
            return Ok(());
        };
        match claims::acquire(&self.node, key, &self.params.request, content_hash).await {
            Ok(claim) => {
                self.claim = Some(claim);
                Ok(())
            }
            Err(ClaimError::Duplicate(Duplicate::Recorded(recorded))) => Err(NoAttempt::Recorded(recorded)),
            Err(ClaimError::Duplicate(duplicate)) => Err(NoAttempt::Failed(Failure::duplicate(&duplicate))),
            Err(ClaimError::Unavailable) => Err(NoAttempt::Failed(Failure::new(
                Outcome::NotRun,
                "claims_unavailable",
                "the key-value service is out of reach, so at most one run cannot be promised",
            ))),
        }
    }

    /// Reports how an attempt ended; returns what to do next.
    pub fn attempt_ended(&mut self, ended: &AttemptResult) -> AfterAttempt {
        let now = self.node.now();
        let end_name = serialized_name(&ended.end);
        self.node.metrics.attempt(&end_name);
        self.record_attempt_end(ended.end, &end_name);
        match self.node.dispatcher.attempt_ended(self.ticket.key, ended.end, ended.site, now) {
            RetryDecision::Retry => AfterAttempt::Retry,
            RetryDecision::Finished(Outcome::Whole) => AfterAttempt::Answered,
            RetryDecision::Finished(outcome) => {
                let mut failure = Failure::ended(outcome, &ended.detail);
                if ended.end == AttemptEnd::Rejected {
                    failure.status = Some(400);
                    failure.reason = "endpoint_rejected";
                    failure.retry_after_ms = None;
                }
                AfterAttempt::Failed(failure)
            }
        }
    }

    /// Returns where received tokens are recorded.
    #[must_use]
    pub fn progress(&self) -> Progress {
        Progress::new(&self.node, &self.record, self.ticket.key, self.params.arrived, &self.params.kind_name)
    }

    /// Finishes the request: settles its claim, its record and its metrics.
    pub async fn finish(&mut self, result: Result<&RecordedResult, &Failure>) {
        let outcome = result.map_or_else(|f| f.outcome, |r| r.outcome);
        let reason = result.map_or_else(|f| f.reason, |_| "");
        if let Some(claim) = self.claim.take() {
            match result {
                Ok(recorded) => claims::record(&self.node, claim, recorded.clone()).await,
                Err(failure) if failure.outcome == Outcome::NotRun => claims::release(&self.node, claim).await,
                Err(failure) => claims::record(&self.node, claim, recorded_failure(failure)).await,
            }
        }
        self.record_outcome(outcome, reason);
    }

    fn record_outcome(&self, outcome: Outcome, reason: &str) {
        let took = self.node.now().since(self.params.arrived);
        let mut record = lock(&self.record);
        record.took_ms = Some(took.as_millis());
        record.outcome = Some(outcome);
        drop(record);
        log_finished(&self.node, &self.params, outcome, reason);
    }

    fn record_attempt_end(&self, end: AttemptEnd, end_name: &str) {
        let mut record = lock(&self.record);
        let delivered: u32 = record.attempts.iter().map(|attempt| attempt.tokens).sum();
        let Some(attempt) = record.attempts.last_mut() else { return };
        attempt.end = Some(end);
        if end != AttemptEnd::Whole {
            let (request, endpoint) = (&self.params.request, &attempt.endpoint);
            emit!(info, ATTEMPT_FAILED, request, endpoint, end = end_name, delivered);
        }
    }

    fn record_attempt(&self, dispatch: &Dispatch) {
        let sent = self.node.now().since(self.params.arrived);
        lock(&self.record).attempts.push(AttemptRecord {
            attempt: dispatch.attempt,
            sent_ms: sent.as_millis(),
            endpoint: dispatch.endpoint.name.clone(),
            prefill: dispatch.prefill.as_ref().map(|t| t.name.clone()),
            reason: dispatch.reason,
            predicted_first_ms: dispatch.predicted_first_ms,
            first_ms: None,
            tokens: 0,
            end: None,
            candidates: dispatch.candidates.clone(),
        });
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.node.dispatcher.cancel(self.ticket.key, self.node.now());
        if lock(&self.record).outcome.is_none() {
            self.record_outcome(Outcome::Unknown, "caller_gone");
        }
    }
}

/// What follows the end of an attempt.
#[derive(Debug)]
pub enum AfterAttempt {
    /// The request is tried again.
    Retry,
    /// The answer is complete.
    Answered,
    /// The request has failed.
    Failed(Failure),
}

/// Why a request gets no further attempt.
#[derive(Debug)]
pub enum NoAttempt {
    /// It failed.
    Failed(Failure),
    /// Its idempotency key has a recorded result.
    Recorded(RecordedResult),
}

fn recorded_failure(failure: &Failure) -> RecordedResult {
    RecordedResult {
        outcome: failure.outcome,
        status: crate::caller::refusal::status(failure),
        content_type: "text/plain".to_owned(),
        body: Some(failure.message.clone()),
    }
}

fn reason_name(reason: Refusal) -> &'static str {
    Failure::refused(Outcome::NotRun, reason, 0).reason
}

fn serialized_name<T: serde::Serialize>(value: &T) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

fn log_finished(node: &Node, params: &RequestParams, outcome: Outcome, reason: &str) {
    let outcome = serialized_name(&outcome);
    node.metrics.request(&params.kind_name, &outcome, reason);
    if reason.is_empty() {
        emit!(debug, REQUEST_OVER, request = params.request, kind = params.kind_name, outcome);
    } else {
        emit!(debug, REQUEST_REFUSED, request = params.request, kind = params.kind_name, outcome, reason);
    }
}

/// What a completion sends to the engine in each of its attempts.
#[derive(Debug)]
pub struct Completion {
    /// Path of the API at the engine.
    pub path: &'static str,
    /// Body from the caller.
    pub body: serde_json::Map<String, Value>,
    /// Hash of the body.
    pub content_hash: u64,
}

/// Runs a completion and sends the pieces of its answer to `out`.
pub async fn complete(mut active: ActiveRequest, completion: Completion, clients: Clients, out: mpsc::Sender<Piece>) {
    let mut assembly = Assembly::new(active.params.request.clone(), 0);
    let result = loop {
        let next = tokio::select! {
            next = active.next_dispatch(completion.content_hash) => next,
            () = out.closed() => return,
        };
        let dispatch = match next {
            Ok(dispatch) => dispatch,
            Err(NoAttempt::Failed(failure)) => break Err(failure),
            Err(NoAttempt::Recorded(recorded)) => break Err(already_answered(&recorded)),
        };
        let progress = active.progress();
        let call = EngineCall {
            path: completion.path,
            body: &completion.body,
            request: &active.params.request,
            priority: active.params.kind.priority,
            repeatable: active.params.kind.repeatable,
            progress: &progress,
        };
        let node = Arc::clone(&active.node);
        let ended = generate(&node, &clients, &call, &dispatch, &mut assembly, &mut active.ticket, &out).await;
        if out.is_closed() && ended.end == AttemptEnd::Cancelled {
            return;
        }
        match active.attempt_ended(&ended) {
            AfterAttempt::Retry => {}
            AfterAttempt::Answered => {
                if ended.end != AttemptEnd::Whole {
                    // All tokens were delivered, but not the engine's end marker.
                    let _ = out.send(Piece::End(TOKEN_LIMIT_REACHED.to_owned())).await;
                }
                break Ok(());
            }
            AfterAttempt::Failed(failure) => break Err(failure),
        }
    };
    let recorded = |()| RecordedResult {
        outcome: Outcome::Whole,
        status: 200,
        content_type: "application/json".to_owned(),
        body: None,
    };
    active.finish(result.clone().map(recorded).as_ref()).await;
    if let Err(failure) = result {
        let _ = out.send(Piece::Failed(failure)).await;
    }
}

/// The failure of a completion whose key has a result: the text is not stored, so only the outcome is reported.
fn already_answered(recorded: &RecordedResult) -> Failure {
    Failure {
        outcome: recorded.outcome,
        reason: "already_answered",
        message: "the request with this key was answered before; its text is not kept".to_owned(),
        retry_after_ms: None,
        status: Some(409),
    }
}

/// Time at which the answer to a request that arrived at `arrived` is due.
#[must_use]
pub fn deadline(arrived: Time, kind: &KindSpec, requested_ms: Option<u64>) -> Time {
    let ms = requested_ms.map_or(kind.deadline_ms, |requested| requested.min(kind.deadline_ms));
    arrived + Span::millis(ms)
}

impl ActiveRequest {
    /// Handle that receives the commands to stop a running attempt.
    pub const fn ticket(&mut self) -> &mut Ticket {
        &mut self.ticket
    }
}

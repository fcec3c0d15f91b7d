//! One request from its arrival to its final answer.

use std::sync::Arc;

use dahliaseam_core::{
    claim::{Duplicate, RecordedResult},
    dispatch::{Next, Refusal},
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
        claims::{self, Held, NotHeld},
        desk::{Command, Dispatch, Ticket},
        failure::Failure,
        progress::Progress,
        records::{OpenRecord, lock},
    },
    emit,
    endpoint::attempt::{Clients, Ended, EngineAsk, Piece, generate},
    node::Node,
};

/// What a caller asks, apart from its content.
#[derive(Clone, Debug)]
pub struct Terms {
    /// The request's identifier.
    pub request: String,
    /// Name of its kind.
    pub kind_name: String,
    /// Its kind.
    pub kind: KindSpec,
    /// The team.
    pub team: String,
    /// The idempotency key, made unique by the team.
    pub key: Option<String>,
    /// When it arrived.
    pub arrived: Time,
    /// When its answer is due.
    pub deadline: Time,
}

/// A request on its way.
#[derive(Debug)]
pub struct Exchange {
    /// The daemon.
    pub node: Arc<Node>,
    /// What the caller asks.
    pub terms: Terms,
    ticket: Ticket,
    record: OpenRecord,
    held: Option<Held>,
}

/// What the desk needs to know of a request's content.
#[derive(Clone, Copy, Debug, Default)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer at most.
    pub output_tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Identifier of the adapter, zero for none.
    pub adapter: u64,
}

impl Exchange {
    /// Submit a request.
    ///
    /// # Errors
    /// Why it is refused at once.
    pub fn submit(node: &Arc<Node>, terms: Terms, pool: &str, size: Size) -> Result<Self, Failure> {
        let spec = |pool| RequestSpec {
            pool,
            kind: terms.kind.traits(),
            prompt_tokens: size.prompt_tokens,
            output_tokens: size.output_tokens,
            prefix: size.prefix,
            adapter: size.adapter,
            deadline: terms.deadline,
        };
        let record = node.records.open(RequestRecord {
            request: terms.request.clone(),
            kind: terms.kind_name.clone(),
            team: terms.team.clone(),
            pool: pool.to_owned(),
            prompt_tokens: size.prompt_tokens,
            deadline_ms: terms.deadline.since(terms.arrived).as_millis(),
            took_ms: None,
            outcome: None,
            refusal: None,
            attempts: Vec::new(),
            seen: Vec::new(),
        });
        match node.desk.submit(pool, &terms.team, spec, terms.arrived) {
            Ok(ticket) => Ok(Self { node: Arc::clone(node), terms, ticket, record, held: None }),
            Err((reason, at)) => {
                let mut record = lock(&record);
                record.outcome = Some(Outcome::NotRun);
                record.refusal = Some(reason);
                let retry_ms = at.since(terms.arrived).as_millis();
                note_over(node, &terms, Outcome::NotRun, reason_word(reason));
                Err(Failure::refused(Outcome::NotRun, reason, retry_ms))
            }
        }
    }

    /// The request's identifier.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.terms.request
    }

    /// Wait for the first or next attempt, and hold the claim before the first.
    ///
    /// # Errors
    /// Why there is none; the request is over.
    pub async fn next_dispatch(&mut self, content: u64) -> Result<Dispatch, Step> {
        loop {
            match self.ticket.next().await {
                Some(Command::Send(dispatch)) => {
                    self.note_attempt(&dispatch);
                    self.hold_claim(content).await?;
                    return Ok(dispatch);
                }
                Some(Command::Refuse { outcome, reason, retry_after_ms, seen }) => {
                    let mut record = lock(&self.record);
                    record.refusal = Some(reason);
                    record.seen = seen;
                    drop(record);
                    return Err(Step::Failed(Failure::refused(outcome, reason, retry_after_ms)));
                }
                Some(Command::Stop(_)) => {}
                None => return Err(Step::Failed(Failure::ended(Outcome::Unknown, "the daemon is over"))),
            }
        }
    }

    async fn hold_claim(&mut self, content: u64) -> Result<(), Step> {
        let Some(key) = self.terms.key.as_ref().filter(|_| self.held.is_none()) else {
            return Ok(());
        };
        match claims::claim(&self.node, key, &self.terms.request, content).await {
            Ok(held) => {
                self.held = Some(held);
                Ok(())
            }
            Err(NotHeld::Second(Duplicate::Recorded(recorded))) => Err(Step::Recorded(recorded)),
            Err(NotHeld::Second(second)) => Err(Step::Failed(Failure::second(&second))),
            Err(NotHeld::Unavailable) => Err(Step::Failed(Failure::new(
                Outcome::NotRun,
                "claims_unavailable",
                "the key-value service is out of reach, so at most one run cannot be promised",
            ))),
        }
    }

    /// Report how an attempt ended; returns what follows from it.
    pub fn attempt_ended(&mut self, ended: &Ended) -> AfterAttempt {
        let now = self.node.now();
        let word = word_of(&ended.end);
        self.node.metrics.attempt(&word);
        if let Some(attempt) = lock(&self.record).attempts.last_mut() {
            attempt.end = Some(ended.end);
            if ended.end != AttemptEnd::Whole {
                emit!(info, ATTEMPT_FAILED, request = self.terms.request, endpoint = attempt.endpoint, end = word);
            }
        }
        match self.node.desk.attempt_ended(self.ticket.key, ended.end, ended.at, now) {
            Next::Retry => AfterAttempt::TryAgain,
            Next::Finished(Outcome::Whole) => AfterAttempt::Answered,
            Next::Finished(outcome) => {
                let mut failure = Failure::ended(outcome, &ended.words);
                if ended.end == AttemptEnd::Rejected {
                    failure.status = Some(400);
                    failure.reason = "endpoint_rejected";
                    failure.retry_after_ms = None;
                }
                AfterAttempt::Failed(failure)
            }
        }
    }

    /// Where arriving tokens are noted.
    #[must_use]
    pub fn progress(&self) -> Progress {
        Progress::new(&self.node, &self.record, self.ticket.key, self.terms.arrived, &self.terms.kind_name)
    }

    /// The request is over: settle its claim, its record and its metrics.
    pub async fn over(&mut self, result: Result<&RecordedResult, &Failure>) {
        let outcome = result.map_or_else(|f| f.outcome, |r| r.outcome);
        let reason = result.map_or_else(|f| f.reason, |_| "");
        if let Some(held) = self.held.take() {
            match result {
                Ok(recorded) => claims::record(&self.node, held, recorded.clone()).await,
                Err(failure) if failure.outcome == Outcome::NotRun => claims::release(&self.node, held).await,
                Err(failure) => claims::record(&self.node, held, recorded_failure(failure)).await,
            }
        }
        self.close(outcome, reason);
    }

    fn close(&self, outcome: Outcome, reason: &str) {
        let took = self.node.now().since(self.terms.arrived);
        let mut record = lock(&self.record);
        record.took_ms = Some(took.as_millis());
        record.outcome = Some(outcome);
        drop(record);
        note_over(&self.node, &self.terms, outcome, reason);
    }

    fn note_attempt(&self, dispatch: &Dispatch) {
        let sent = self.node.now().since(self.terms.arrived);
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

impl Drop for Exchange {
    fn drop(&mut self) {
        self.node.desk.withdraw(self.ticket.key, self.node.now());
        if lock(&self.record).outcome.is_none() {
            self.close(Outcome::Unknown, "caller_gone");
        }
    }
}

/// What follows from the end of an attempt.
#[derive(Debug)]
pub enum AfterAttempt {
    /// The request is tried again.
    TryAgain,
    /// It has its whole answer.
    Answered,
    /// It is over without one.
    Failed(Failure),
}

/// Why a request does not go on to an attempt.
#[derive(Debug)]
pub enum Step {
    /// It failed.
    Failed(Failure),
    /// Its key has a recorded result.
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

fn reason_word(reason: Refusal) -> &'static str {
    Failure::refused(Outcome::NotRun, reason, 0).reason
}

fn word_of<T: serde::Serialize>(value: &T) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().to_owned()
}

fn note_over(node: &Node, terms: &Terms, outcome: Outcome, reason: &str) {
    let outcome = word_of(&outcome);
    node.metrics.request(&terms.kind_name, &outcome, reason);
    if reason.is_empty() {
        emit!(debug, REQUEST_OVER, request = terms.request, kind = terms.kind_name, outcome);
    } else {
        emit!(debug, REQUEST_REFUSED, request = terms.request, kind = terms.kind_name, outcome, reason);
    }
}

/// A completion: what engines are asked, over as many attempts as it takes.
#[derive(Debug)]
pub struct Completion {
    /// The path at the engine.
    pub path: &'static str,
    /// The caller's body.
    pub body: serde_json::Map<String, Value>,
    /// Hash of the body.
    pub content: u64,
}

/// Run a completion, with the pieces of its answer to `out`.
pub async fn complete(mut exchange: Exchange, completion: Completion, clients: Clients, out: mpsc::Sender<Piece>) {
    let mut assembly = Assembly::new(exchange.terms.request.clone(), 0);
    let result = loop {
        let next = tokio::select! {
            next = exchange.next_dispatch(completion.content) => next,
            () = out.closed() => return,
        };
        let dispatch = match next {
            Ok(dispatch) => dispatch,
            Err(Step::Failed(failure)) => break Err(failure),
            Err(Step::Recorded(recorded)) => break Err(already_answered(&recorded)),
        };
        let progress = exchange.progress();
        let ask = EngineAsk {
            path: completion.path,
            body: &completion.body,
            request: &exchange.terms.request,
            priority: exchange.terms.kind.priority,
            repeatable: exchange.terms.kind.repeatable,
            progress: &progress,
        };
        let node = Arc::clone(&exchange.node);
        let ended = generate(&node, &clients, &ask, &dispatch, &mut assembly, &mut exchange.ticket, &out).await;
        if out.is_closed() && ended.end == AttemptEnd::Cancelled {
            return;
        }
        match exchange.attempt_ended(&ended) {
            AfterAttempt::TryAgain => {}
            AfterAttempt::Answered => break Ok(()),
            AfterAttempt::Failed(failure) => break Err(failure),
        }
    };
    let recorded = |()| RecordedResult {
        outcome: Outcome::Whole,
        status: 200,
        content_type: "application/json".to_owned(),
        body: None,
    };
    exchange.over(result.clone().map(recorded).as_ref()).await;
    if let Err(failure) = result {
        let _ = out.send(Piece::Failed(failure)).await;
    }
}

/// A completion whose key has a result: its text is not kept, so only the outcome is told.
fn already_answered(recorded: &RecordedResult) -> Failure {
    Failure {
        outcome: recorded.outcome,
        reason: "already_answered",
        message: "the request with this key was answered before; its text is not kept".to_owned(),
        retry_after_ms: None,
        status: Some(409),
    }
}

/// When an answer to a request that arrived at `arrived` is due.
#[must_use]
pub fn deadline(arrived: Time, kind: &KindSpec, asked_ms: Option<u64>) -> Time {
    let ms = asked_ms.map_or(kind.deadline_ms, |asked| asked.min(kind.deadline_ms));
    arrived + Span::millis(ms)
}

impl Exchange {
    /// The commands that may stop a running attempt.
    pub const fn ticket(&mut self) -> &mut Ticket {
        &mut self.ticket
    }
}

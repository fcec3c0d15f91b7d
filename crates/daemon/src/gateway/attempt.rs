//! One try at replicas: a call that serves a request, or one that reads its prompt and one that
//! answers it.

use std::{net::SocketAddr, time::Duration};

use dahliaseam_border::dialect::{Forward, Run, Task};
use dahliaseam_core::{
    fleet::{
        StepEnd,
        plan::{Plan, RouteRequest, Step},
        replica::{ReplicaFacts, ReplicaKey},
    },
    time::{Span, Time},
};
use http::response;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use crate::{
    emit,
    gateway::{
        request::ActiveRequest,
        state::Gateway,
        upstream::{Conn, Received, SendError},
        work::InFlightCall,
    },
};

/// Wait for an answer after which a replica counts as silent; a caller's own deadline may be shorter.
pub(super) const SILENCE_TIMEOUT: Span = Span::millis(150);
/// Bytes of a short answer that is read to its end at once.
pub(super) const MAX_SHORT_RESPONSE_BYTES: usize = 64 << 10;
/// Time for the rest of a short answer whose head came.
pub(super) const SHORT_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Engines that are asked to answer a prompt that was read, after the first one refused. Reading
/// it again costs an engine some hundred milliseconds, asking costs the way there.
const MAX_DECODE_RETRIES: usize = 2;
/// Replicas that a request finds gone before it is given up. Nothing is sent to them, and each costs it the way there
/// and back; where a third of them ended at once, one request in forty million meets so many in a row.
pub(super) const MAX_GONE_REPLICAS: usize = 16;
/// Priority of what is known to be late: behind all that can still be in time.
const LATE_PRIORITY: u8 = u8::MAX;
/// Least time left for which it is worth to send anything.
const MIN_SEND_TIME: Span = Span::millis(2);

/// Why a call at one replica brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum CallFailure {
    /// Nothing was sent, for a reason of this daemon's own.
    NotTried(&'static str),
    /// Nothing was sent: nothing listens there.
    NobodyListens,
    /// Nothing was sent: no connection could be made.
    NotSent(String),
    /// The replica vouches that it did not run it.
    Rejected(u16),
    /// Another replica is at that address.
    OtherReplica,
    /// It may have run; the connection ended before the answer did.
    Broke(String),
    /// It may have run; what came is not its answer.
    Lost(String),
    /// It may have run; no answer came in time.
    TimedOut,
    /// It may have run; the replica works, but the caller's time is over.
    Overdue,
}

impl CallFailure {
    pub(super) const fn name(&self) -> &'static str {
        match self {
            Self::NotTried(_) => "not_tried",
            Self::NobodyListens | Self::NotSent(_) => "not_sent",
            Self::Rejected(_) => "rejected",
            Self::OtherReplica => "other_replica",
            Self::Broke(_) | Self::Lost(_) => "lost",
            Self::TimedOut => "timed_out",
            Self::Overdue => "overdue",
        }
    }

    /// Whether the replica got the call.
    pub(super) const fn arrived(&self) -> bool {
        !matches!(self, Self::NobodyListens | Self::NotSent(_) | Self::NotTried(_))
    }

    /// Whether the replica may have run the request.
    pub(super) const fn may_have_run(&self) -> bool {
        matches!(self, Self::Broke(_) | Self::Lost(_) | Self::TimedOut | Self::Overdue)
    }

    /// What this says of the replica.
    fn step_end(&self, waited: Span) -> StepEnd {
        match self {
            Self::NotTried(_) | Self::Overdue => StepEnd::Unknown,
            Self::Rejected(_) => StepEnd::Rejected,
            Self::NobodyListens | Self::NotSent(_) => StepEnd::Silent,
            Self::TimedOut if waited >= SILENCE_TIMEOUT => StepEnd::Silent,
            Self::TimedOut | Self::OtherReplica | Self::Broke(_) | Self::Lost(_) => StepEnd::Failed,
        }
    }
}

/// An answer whose head came.
#[derive(Debug)]
pub(super) struct UpstreamResponse {
    pub(super) head: response::Parts,
    pub(super) body: Incoming,
    /// Taken when it can be kept.
    pub(super) conn: Option<Conn>,
    pub(super) replica: ReplicaFacts,
    pub(super) in_flight: InFlightCall,
}

/// What is asked of one replica.
#[derive(Clone, Copy)]
pub(super) struct Call<'a> {
    pub(super) replica: &'a ReplicaFacts,
    pub(super) task: &'a Task,
    /// Priority at the replica, 0 the most urgent.
    pub(super) priority: u8,
}

/// How a try failed.
#[derive(Debug)]
pub(super) struct AttemptFailure {
    pub(super) why: CallFailure,
    /// Whether only the reading of the prompt failed, which is no run.
    pub(super) in_prefill: bool,
    /// Where.
    pub(super) replica: ReplicaKey,
}

impl ActiveRequest {
    /// Try a plan; the answer's head has come when this returns one.
    pub(super) async fn attempt(&self, plan: &Plan) -> Result<UpstreamResponse, AttemptFailure> {
        match plan {
            Plan::Whole(step) => self
                .serve(step, &Task::Serve { copy_from: self.copy_from(step) })
                .await
                .map_err(|why| AttemptFailure { why, in_prefill: false, replica: step.key }),
            Plan::TwoSteps { read, write } => self.prefill_then_decode(read, write).await,
        }
    }

    async fn prefill_then_decode(&self, read: &Step, write: &Step) -> Result<UpstreamResponse, AttemptFailure> {
        let mut prefilled =
            self.prefill(read).await.map_err(|why| AttemptFailure { why, in_prefill: true, replica: read.key })?;
        let task = Task::Continue { reader: prefilled.replica.address, handle: prefilled.handle.name.clone() };
        let mut tried = Vec::new();
        let mut retries = 0;
        let mut credit = self.credit();
        loop {
            if self.gw.fleet().endings.is_refused(self.content) {
                let why = CallFailure::NotTried("replicas end under it");
                return Err(AttemptFailure { why, in_prefill: false, replica: write.key });
            }
            credit = self.usable_credit(credit).await.map_err(|_| AttemptFailure {
                why: CallFailure::NotTried("the team's quota is used up"),
                in_prefill: false,
                replica: write.key,
            })?;
            let write = self.choose_decoder(read, write, &tried);
            let is_new = !tried.contains(&write.key);
            match self.serve(&write, &task).await {
                Ok(resp) => {
                    prefilled.taken_over = true;
                    return Ok(resp);
                }
                Err(CallFailure::NobodyListens) if is_new && tried.len() < MAX_GONE_REPLICAS => tried.push(write.key),
                Err(why) if retries < MAX_DECODE_RETRIES && self.may_retry_decode(&why) => {
                    retries += 1;
                    tried.push(write.key);
                }
                Err(why) => return Err(AttemptFailure { why, in_prefill: false, replica: write.key }),
            }
        }
    }

    /// The engine that is to answer, chosen anew now that the prompt is read: since it was planned
    /// engines have filled up, left, or begun to change their role.
    fn choose_decoder(&self, read: &Step, planned: &Step, tried: &[ReplicaKey]) -> Step {
        let now = self.gw.now();
        let fleet = self.gw.fleet();
        let req = RouteRequest { tried, ..self.route_request(now) };
        fleet.choose_writer(&req, read, planned.long, now).unwrap_or(*planned)
    }

    /// Whether another engine may answer instead: the prompt's memory is still there if this one
    /// did not begin.
    fn may_retry_decode(&self, why: &CallFailure) -> bool {
        if why.may_have_run() || matches!(why, CallFailure::NotTried(_)) {
            return false;
        }
        let now = self.gw.now();
        !why.arrived() || self.gw.fleet().take_repeats(1, &self.service, &self.gw.retry_budget(), now)
    }

    /// Have a request answered.
    async fn serve(&self, step: &Step, task: &Task) -> Result<UpstreamResponse, CallFailure> {
        let call_deadline = self.attempt_deadline(step);
        let (replica, mut in_flight) = self.begin_call(step)?;
        let call = Call { replica: &replica, task, priority: self.priority(step) };
        match self.call(&call, call_deadline).await {
            Ok((head, body, conn)) => Ok(UpstreamResponse { head, body, conn: Some(conn), replica, in_flight }),
            Err(why) => {
                self.record_call_failure(&replica, &mut in_flight, &why, "serve").await;
                Err(why)
            }
        }
    }

    pub(super) fn priority(&self, step: &Step) -> u8 {
        if step.late {
            return LATE_PRIORITY;
        }
        self.identity.team().and_then(|team| team.priority).unwrap_or(self.route.priority)
    }

    pub(super) fn copy_from(&self, step: &Step) -> Option<SocketAddr> {
        let key = step.copy_from?;
        self.gw.fleet().get(key).map(|replica| replica.facts.address)
    }

    pub(super) fn begin_call(&self, step: &Step) -> Result<(ReplicaFacts, InFlightCall), CallFailure> {
        let gone = || CallFailure::NotTried("the replica is gone or accepts no requests at present");
        let replica = self.gw.fleet().get(step.key).map(|replica| replica.facts.clone()).ok_or_else(gone)?;
        let in_flight = InFlightCall::begin(&self.gw, step, self.caller.prompt.as_ref()).ok_or_else(gone)?;
        Ok((replica, in_flight))
    }

    /// Send to one replica, and check that the answer is this request's and what it says of a run.
    pub(super) async fn call(
        &self,
        &Call { replica, task, priority }: &Call<'_>,
        call_deadline: Time,
    ) -> Result<(response::Parts, Incoming, Conn), CallFailure> {
        let now = self.gw.now();
        let time_left = self.deadline.since(now);
        if time_left <= MIN_SEND_TIME {
            return Err(CallFailure::NotTried("no time left"));
        }
        let forward = Forward {
            head: &self.head,
            body: self.body.clone(),
            replica,
            time_left,
            priority,
            task,
            last_event: self.last_event.as_deref(),
            identity: &self.identity,
        };
        let dialect = &self.gw.outside.dialect;
        let req = dialect.forward(&forward).map_err(|e| {
            emit!(warn, NOT_SENT_ON, request = self.caller.id, why = %e);
            CallFailure::NotTried("the head cannot be sent on")
        })?;
        self.gw.link.record_send(self.body.len(), now);
        let sending = self.gw.upstream.send(replica.address, req);
        let Received { resp, conn, connect_time } = match self.gw.timeout_at(call_deadline, sending).await {
            None => return Err(CallFailure::TimedOut),
            Some(Err(SendError::NobodyListens)) => return Err(CallFailure::NobodyListens),
            Some(Err(SendError::NotSent(why))) => return Err(CallFailure::NotSent(why)),
            Some(Err(SendError::Broke(why))) => return Err(CallFailure::Broke(why)),
            Some(Err(SendError::Lost(why))) => return Err(CallFailure::Lost(why)),
            Some(Ok(received)) => received,
        };
        self.record_connect_time(replica, connect_time);
        let (head, body) = resp.into_parts();
        let facts = dialect.answer(&head);
        // The headers of another replica's answer do not apply to this replica.
        if facts.run != Run::OtherReplica {
            self.record_rate_limit(replica, facts.rate_limit, now);
            if let Some(retry_after) = facts.retry_after {
                self.record_retry_after(replica, retry_after);
            }
            if facts.draining && self.gw.fleet().set_draining(replica) {
                emit!(info, REPLICA_LEAVING, replica = %replica.id, hall = %replica.hall);
            }
        }
        // A refusal by another replica need not repeat the identifier.
        let id_matches = facts.request_id.as_deref().map(|id| id == self.caller.id);
        match (facts.run, id_matches) {
            (_, Some(false)) => Err(CallFailure::Lost("the answer belongs to another request".to_owned())),
            (Run::NotRun, _) => {
                drain_short_response(&self.gw, replica, body, conn).await;
                Err(CallFailure::Rejected(head.status.as_u16()))
            }
            (Run::OtherReplica, _) => Err(CallFailure::OtherReplica),
            (Run::MayHaveRun, None) => Err(CallFailure::Lost("the answer names no request".to_owned())),
            (Run::MayHaveRun, Some(true)) => {
                if !matches!(task, Task::Read { .. }) && head.status.is_success() && !facts.sealed {
                    return Err(CallFailure::Lost("the answer carries no proof of its replica".to_owned()));
                }
                Ok((head, body, conn))
            }
        }
    }

    fn record_connect_time(&self, replica: &ReplicaFacts, connect_time: Option<Span>) {
        let mut fleet = self.gw.fleet();
        if let (Some(key), Some(took)) = (fleet.key(&replica.id), connect_time) {
            fleet.learn_connection(key, took);
        }
    }

    /// Record the rate limit, or its absence, from the answer to a request that was sent at `sent_at`.
    fn record_rate_limit(&self, replica: &ReplicaFacts, limit: Option<f64>, sent_at: Time) {
        let now = self.gw.now();
        if self.gw.fleet().set_rate_limit(replica, limit, sent_at, now) {
            self.gw.load_changed.notify_one();
            emit!(info, REPLICA_LIMIT, replica = %replica.id, hall = %replica.hall, per_second = limit);
        }
    }

    /// Record that a replica accepts no further requests from this daemon for `retry_after`.
    fn record_retry_after(&self, replica: &ReplicaFacts, retry_after: Span) {
        let now = self.gw.now();
        if self.gw.fleet().set_retry_at(replica, now + retry_after) {
            let retry_after_ms = retry_after.as_millis();
            emit!(info, REPLICA_RETRY_AFTER, replica = %replica.id, hall = %replica.hall, retry_after_ms);
        }
    }

    /// Note what a failed call says of its replica.
    pub(super) async fn record_call_failure(
        &self,
        replica: &ReplicaFacts,
        in_flight: &mut InFlightCall,
        why: &CallFailure,
        step: &'static str,
    ) {
        in_flight.set_end(why.step_end(in_flight.age()));
        if *why == CallFailure::OtherReplica {
            in_flight.replica_replaced();
        }
        self.log_failure(replica, in_flight, why, step);
        self.check_replica_if_broken(replica, why).await;
    }

    /// Count and log a failed try.
    pub(super) fn log_failure(
        &self,
        replica: &ReplicaFacts,
        in_flight: &InFlightCall,
        why: &CallFailure,
        step: &'static str,
    ) {
        self.gw.metrics.attempt(why.name());
        emit!(
            info,
            TRY_FAILED,
            request = self.caller.id,
            content = %self.content,
            replica = %replica.id,
            hall = %replica.hall,
            step,
            end = why.name(),
            why = ?why,
            after_ms = in_flight.age().as_millis()
        );
    }
}

/// Read a short answer to its end, so that its connection can be kept.
async fn drain_short_response(gw: &Gateway, replica: &ReplicaFacts, body: Incoming, conn: Conn) {
    let rest = Limited::new(body, MAX_SHORT_RESPONSE_BYTES).collect();
    if matches!(tokio::time::timeout(SHORT_RESPONSE_TIMEOUT, rest).await, Ok(Ok(_))) {
        gw.upstream.keep(replica.address, conn);
    }
}

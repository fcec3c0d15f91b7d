//! Lifecycle of one request, from admission to outcome.

use std::sync::Arc;

use bytes::Bytes;
use dahliaseam_border::dialect::CallerRequest;
use dahliaseam_core::{
    content::ContentHash,
    fleet::{
        Fleet, StepEnd,
        path::Path,
        plan::{Isolation, Plan, PlanError, RouteRequest, Step},
        replica::ReplicaKey,
    },
    prompt::{PartId, Prompt},
    quota::Credit,
    route::{Repeat, Route},
    stream_origin::Origin,
    team::{Identity, Team},
    time::{Span, Time},
};
use http::{Request, Response, request, response};
use hyper::body::Incoming;

use crate::{
    clock::wall_millis,
    emit,
    gateway::{
        admission::{Admitted, admit},
        answer::{ProvenRefusal, Refusal, ResponseBody},
        attempt::{AttemptFailure, CallFailure, MAX_GONE_REPLICAS, UpstreamResponse},
        ending::AccessLogEntry,
        endings::{PartTrial, Trial},
        quota,
        relay::{self, ResponseStart},
        sends::{Evidence, Sends},
        state::Gateway,
        stop::OpenCallGuard,
    },
};

/// Number of failed attempts after which a request is given up, regardless of the number of replicas. Attempts at
/// replicas where nothing listens do not count.
const MAX_ATTEMPTS: usize = 4;
/// A call to a plain service that may be retried times out after this multiple of its predicted duration, so that
/// another replica can be tried.
const PLAIN_TIMEOUT_FACTOR: f64 = 5.0;
/// Added to that timeout.
const PLAIN_TIMEOUT_MARGIN: Span = Span::millis(60);
/// If a caller's timeout is below this percentage of the route's time limit, the caller is assumed to retry a request
/// that was refused before.
const RETRIED_TIMEOUT_PERCENT: u64 = 95;
/// Maximum time for which a request waits for a check of the paths to its replicas before it is refused because of them.
/// A check takes up to the time limit of its connection, and one more connection through a peer.
const PATH_CHECK_WAIT: Span = Span::millis(200);
/// Minimum time left for which another attempt is worthwhile.
const MIN_ATTEMPT_TIME: Span = Span::millis(15);

/// A request and the state of its attempts.
#[derive(Debug)]
pub(super) struct ActiveRequest {
    pub(super) gw: Arc<Gateway>,
    pub(super) head: request::Parts,
    pub(super) body: Bytes,
    pub(super) caller: CallerRequest,
    /// Hash of the request's content; the same when its caller sends it again.
    pub(super) content: ContentHash,
    /// Parts of its prompt that other requests may share.
    pub(super) parts: Arc<[PartId]>,
    pub(super) route: Arc<Route>,
    /// On whose behalf the request runs, as authenticated on arrival.
    pub(super) identity: Identity,
    pub(super) service: Arc<str>,
    pub(super) version: u64,
    pub(super) arrived: Time,
    /// When the request must be finished: after the caller's timeout or the route's time limit, whichever is shorter.
    pub(super) deadline: Time,
    /// Identifier of the last event that the caller received, when a stream is resumed.
    pub(super) last_event: Option<String>,
    /// Where its stream began, once that is known: it may go on only there.
    pub(super) origin: Option<Origin>,
    /// How the request is isolated from others, if replicas crashed while running it.
    pub(super) isolation: Option<Isolation>,
    /// The current run, if it serves to find out whether the request causes these crashes.
    pub(super) trial: Option<Trial>,
    /// The current run, if it serves to find out whether parts of the prompt cause crashes.
    pub(super) part_trial: Option<PartTrial>,
    /// Its sends to replicas.
    pub(super) sends: Arc<Sends>,
    /// Replicas that are not tried again.
    tried: Vec<ReplicaKey>,
    /// Replicas to which nothing could be sent, each with whether nothing listened.
    unsent: Vec<(ReplicaKey, bool)>,
    /// Replicas that are tried again, once, since they are reached through peers now.
    readmitted: Vec<ReplicaKey>,
    pub(super) attempts: usize,
    /// Number of replicas where nothing listened.
    gone_replicas: usize,
    /// Retries already charged to the retry budget for the next attempt.
    charged_retries: u32,
    /// Whether the request reached a replica that was to serve it.
    serve_delivered: bool,
    /// Whether the request reached a replica for prefill.
    prefill_delivered: bool,
    timed_out: bool,
    pub(super) progress: Progress,
    /// The present attempt.
    open_call: Option<OpenCallGuard>,
    /// Team for whose usage the request is to be counted when it starts to run.
    usage_team: Option<Arc<Team>>,
    /// Credit taken from the team's quota and not spent yet.
    credit: Option<Credit>,
    random: u64,
}

/// How far the response to a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    Unanswered,
    /// A part of it may have been relayed.
    Begun,
}

/// Serves a caller's request.
pub(super) async fn serve(gw: Arc<Gateway>, req: Request<Incoming>) -> Response<ResponseBody> {
    let random = gw.random();
    let (head, body) = req.into_parts();
    let admitted = tokio::select! {
        biased;
        admitted = admit(&gw, head, body) => admitted,
        () = gw.stop.interrupting.cancelled() => Err((Refusal::Stopping, String::new())),
    };
    match admitted {
        Ok(admitted) => run(ActiveRequest::new(gw, admitted, random)).await,
        Err((refusal, id)) => {
            gw.metrics.request("", refusal.name());
            emit!(info, NOT_ADMITTED, request = id, why = ?refusal);
            ProvenRefusal::not_admitted(refusal).to_response(random)
        }
    }
}

/// Serves an admitted request until its response begins, or until the stop of the daemon interrupts it.
async fn run(mut req: ActiveRequest) -> Response<ResponseBody> {
    let mut log_entry = AccessLogEntry::new(&req);
    let gw = Arc::clone(&req.gw);
    let begun = tokio::select! {
        biased;
        begun = begin_response(&mut req, &mut log_entry) => begun,
        () = gw.stop.interrupting.cancelled() => Err(Refusal::Stopping),
    };
    match begun {
        Ok(started) => relay::respond(req, started, log_entry),
        Err(refusal) => give_up(&req, log_entry, refusal),
    }
}

/// Makes attempts until there is a response or a reason to give up.
async fn begin_response(req: &mut ActiveRequest, log_entry: &mut AccessLogEntry) -> Result<ResponseStart, Refusal> {
    let now = req.gw.now();
    req.gw.fleet().record_request(&req.service, &req.gw.retry_budget(), now);
    req.find_origin().await?;
    loop {
        let plan = req.next_plan().await?;
        log_entry.attempts += 1;
        let started_ms = wall_millis();
        req.open_call = Some(OpenCallGuard::begin(&req.gw, &req.route.name));
        let failure = match req.attempt(&plan).await {
            Ok(resp) => {
                let replica = resp.in_flight.replica_key();
                match start_response(req, resp).await {
                    Ok(started) => {
                        req.record_started(started_ms);
                        req.record_stream_begin(&started).await;
                        req.progress = Progress::Begun;
                        return Ok(started);
                    }
                    Err(why) => AttemptFailure::at(replica, why),
                }
            }
            Err(failure) => failure,
        };
        if req.has_started(&failure) {
            req.record_started(started_ms);
        }
        req.record_failure(&plan, &failure);
    }
}

fn give_up(req: &ActiveRequest, mut log_entry: AccessLogEntry, refusal: Refusal) -> Response<ResponseBody> {
    let proven = ProvenRefusal::after(refusal, &req.sends);
    log_entry.set_outcome(proven.refusal().name(), proven.refusal().status().as_u16());
    proven.to_response(req.random)
}

/// Waits until enough of a response has arrived to relay it. A server error counts as a failure while the request may
/// be retried.
async fn start_response(req: &ActiveRequest, mut resp: UpstreamResponse) -> Result<ResponseStart, CallFailure> {
    if req.may_retry(req.possible_runs()) && resp.head.status.is_server_error() {
        let status = resp.head.status.as_u16();
        resp.in_flight.set_end(StepEnd::Done);
        return Err(CallFailure::Lost(format!("status {status}")));
    }
    relay::start(req, resp).await
}

impl ActiveRequest {
    fn new(gw: Arc<Gateway>, admitted: Admitted, random: u64) -> Self {
        let Admitted { head, body, caller, content, route, service, identity, version, arrived, deadline } = admitted;
        let parts = caller.prompt.as_ref().map_or(&[][..], Prompt::shared_ids).into();
        Self {
            gw,
            usage_team: identity.team().cloned(),
            last_event: caller.last_event.clone(),
            head,
            body,
            caller,
            content,
            parts,
            route,
            identity,
            service,
            version,
            arrived,
            deadline,
            origin: None,
            isolation: None,
            trial: None,
            part_trial: None,
            sends: Arc::default(),
            tried: Vec::new(),
            unsent: Vec::new(),
            readmitted: Vec::new(),
            attempts: 0,
            gone_replicas: 0,
            charged_retries: 0,
            serve_delivered: false,
            prefill_delivered: false,
            timed_out: false,
            progress: Progress::Unanswered,
            open_call: None,
            credit: None,
            random,
        }
    }

    /// Records where the stream began if it may go on later.
    async fn record_stream_begin(&mut self, start: &ResponseStart) {
        let ResponseStart::Stream(resp, _) = start else { return };
        if !self.is_stream(&resp.head) || self.route.repeat == Repeat::AtMostOnce || self.origin.is_some() {
            return;
        }
        let origin = resp.replica.origin();
        self.origin = Some(origin);
        self.record_origin(origin).await;
    }

    /// Whether a response with this head is a stream of events.
    pub(super) fn is_stream(&self, head: &response::Parts) -> bool {
        self.route.stream && head.status.is_success()
    }

    /// Time left until the deadline.
    pub(super) fn time_left(&self) -> Span {
        self.deadline.since(self.gw.now())
    }

    /// Number of sends that may have run.
    pub(super) fn possible_runs(&self) -> u32 {
        self.sends.possible_runs()
    }

    /// Whether the request may be sent again although it may have run this often.
    pub(super) fn may_retry(&self, possible_runs: u32) -> bool {
        self.route.repeat == Repeat::Allowed
            && possible_runs < self.route.max_attempts
            && self.attempts + 1 < MAX_ATTEMPTS
            && self.time_left() > MIN_ATTEMPT_TIME
    }

    /// When a call is given up so that another replica can be tried.
    pub(super) fn attempt_deadline(&self, step: &Step) -> Time {
        if !self.may_retry(self.possible_runs() + 1) || self.caller.prompt.is_some() {
            return self.deadline;
        }
        let timeout = Span::seconds((step.wait_ms + step.work_ms) / 1_000.0 * PLAIN_TIMEOUT_FACTOR);
        self.deadline.min(self.gw.now() + timeout + PLAIN_TIMEOUT_MARGIN)
    }

    /// Plans the next attempt, or returns why to give up. Before that, waits for checks whether its replicas can be
    /// reached through peers.
    pub(super) async fn next_plan(&mut self) -> Result<Plan, Refusal> {
        let wait_until = self.deadline.min(self.gw.now() + PATH_CHECK_WAIT);
        loop {
            self.readmit_reachable();
            let refusal = match self.plan().await {
                Err(refusal @ Refusal::NoReplica) => refusal,
                Err(refusal @ Refusal::Rejected) if !self.unsent.is_empty() => refusal,
                planned => return planned,
            };
            if !self.wait_for_path_check(wait_until).await {
                self.gw.recheck_unreachable(&self.service);
                return Err(refusal);
            }
        }
    }

    /// Waits until a check of a path to one of its replicas ends; returns `false` if none is running or it takes too
    /// long.
    async fn wait_for_path_check(&self, until: Time) -> bool {
        let ended = self.gw.path_checks.ended.notified();
        if !self.gw.fleet().is_checking_paths(&self.service) {
            return false;
        }
        self.gw.timeout_at(until, ended).await.is_some()
    }

    /// Lets replicas to which nothing could be sent be tried again if they are reached through peers now.
    fn readmit_reachable(&mut self) {
        let fleet = self.gw.fleet();
        let is_reached = |(key, _): &mut (ReplicaKey, bool)| {
            fleet.get(*key).is_some_and(|replica| replica.path.path() == Path::ThroughPeers)
        };
        for (key, nobody_listened) in self.unsent.extract_if(.., is_reached) {
            self.tried.retain(|tried| *tried != key);
            self.readmitted.push(key);
            if nobody_listened {
                self.gone_replicas -= 1;
            } else {
                self.attempts -= 1;
            }
        }
    }

    async fn plan(&mut self) -> Result<Plan, Refusal> {
        self.check_treatment().await?;
        let now = self.gw.now();
        let is_exhausted = self.attempts >= MAX_ATTEMPTS
            || self.gone_replicas >= MAX_GONE_REPLICAS
            || self.deadline.since(now) <= MIN_ATTEMPT_TIME;
        let may_run_again = match self.route.repeat {
            Repeat::AtMostOnce => !self.may_have_run(),
            Repeat::Allowed => self.possible_runs() < self.route.max_attempts,
        };
        if !may_run_again || (is_exhausted && !self.tried.is_empty()) {
            return Err(self.final_refusal());
        }
        let mut plan = self.choose(now)?;
        if self.take_credit().await? {
            // Engines may have received other work in the meantime.
            plan = self.choose(self.gw.now())?;
        }
        self.record_demand(&plan);
        let retries = self.count_retries(&plan).saturating_sub(self.charged_retries);
        if retries > 0 && !self.gw.fleet().take_retries(retries, &self.service, &self.gw.retry_budget(), now) {
            emit!(info, BUDGET_SPENT, request = self.caller.id, service = %self.service);
            return Err(self.final_refusal());
        }
        self.charged_retries += retries;
        self.trial = self.begin_trial();
        Ok(plan)
    }

    fn choose(&self, now: Time) -> Result<Plan, Refusal> {
        let mut fleet = self.gw.fleet();
        let req = self.route_request(now);
        let chosen = fleet.choose(&req, now);
        let is_new = self.tried.is_empty();
        if is_new && let Err(PlanError::TooLate { plan, .. }) = &chosen {
            fleet.record_demand(&self.service, &req, plan, false, now);
        }
        match chosen {
            Ok(plan) if !self.may_start(&fleet, &plan, now) => Err(Refusal::Stopping),
            Ok(plan) => {
                self.log_plan(&fleet, &plan, now);
                Ok(plan)
            }
            Err(PlanError::TooLate { predicted_ms, retry_after, .. }) => {
                self.log_too_late(&fleet, predicted_ms, retry_after, now);
                Err(Refusal::TooLate { retry_after })
            }
            Err(PlanError::RateLimited { retry_after }) if is_new => {
                self.log_rate_limited(retry_after);
                Err(Refusal::ReplicasLimited { retry_after })
            }
            Err(PlanError::NoReplica) if is_new => Err(Refusal::NoReplica),
            Err(PlanError::NoReplica | PlanError::RateLimited { .. }) => Err(self.final_refusal()),
        }
    }

    /// Counts the demand for engines by a request that is served.
    fn record_demand(&self, plan: &Plan) {
        if self.tried.is_empty() {
            let now = self.gw.now();
            self.gw.fleet().record_demand(&self.service, &self.route_request(now), plan, true, now);
        }
    }

    /// Takes the cost of a run from the team's quota unless credit is available; returns whether new credit was taken.
    async fn take_credit(&mut self) -> Result<bool, Refusal> {
        let credit = self.usable_credit(self.credit).await;
        let credit = credit.map_err(|refusal| if self.may_have_run() { self.final_refusal() } else { refusal })?;
        let is_new = credit != self.credit;
        self.credit = credit;
        Ok(is_new)
    }

    /// Returns the given credit if it may still be spent, otherwise new credit; `None` if the team has no quota.
    pub(super) async fn usable_credit(&self, credit: Option<Credit>) -> Result<Option<Credit>, Refusal> {
        let team = self.identity.team().and_then(|team| Some((team, team.quota?)));
        let Some((team, quota)) = team else { return Ok(None) };
        if credit.is_some_and(|credit| credit.is_usable(self.gw.now())) {
            return Ok(credit);
        }
        let units = quota.cost(self.caller.prompt.as_ref());
        quota::take(&self.gw, &self.caller.id, team, units).await.map(Some)
    }

    /// Credit taken from the team's quota for the next run.
    pub(super) const fn credit(&self) -> Option<Credit> {
        self.credit
    }

    pub(super) fn route_request(&self, now: Time) -> RouteRequest<'_> {
        RouteRequest {
            service: &self.service,
            prompt: self.caller.prompt.as_ref(),
            objective_left: (self.arrived + self.route.objective).since(now),
            first_event_left: (self.arrived + self.route.caller_timeout).since(now),
            time_left: self.deadline.since(now),
            was_refused: self.is_caller_retry(),
            may_refuse: self.tried.is_empty() && self.last_event.is_none() && self.origin.is_none(),
            origin: self.origin,
            tried: &self.tried,
            isolation: self.isolation,
            send_ms: self.gw.link.send_ms(self.body.len()),
            link_ms: self.gw.link.wait_ms(now),
            draw: self.random,
        }
    }

    fn log_too_late(&self, fleet: &Fleet, predicted_ms: u64, retry_after: Span, now: Time) {
        emit!(
            info,
            REFUSED_EARLY,
            request = self.caller.id,
            route = %self.route.name,
            tokens = self.caller.prompt.as_ref().map_or(0, |prompt| prompt.tokens),
            predicted_ms,
            objective_ms = self.route.objective.as_millis(),
            view_age_ms = fleet.peers_age_ms(now),
            come_back_ms = retry_after.as_millis()
        );
    }

    fn log_rate_limited(&self, retry_after: Span) {
        emit!(
            info,
            REFUSED_LIMITED,
            request = self.caller.id,
            route = %self.route.name,
            service = %self.service,
            come_back_ms = retry_after.as_millis()
        );
    }

    /// Whether the caller's timeout is shorter than the route allows, as after a refusal and a retry by the caller.
    fn is_caller_retry(&self) -> bool {
        let timeout = self.deadline.since(self.arrived);
        timeout.0 < self.route.timeout.0.saturating_mul(RETRIED_TIMEOUT_PERCENT) / 100
    }

    fn log_plan(&self, fleet: &Fleet, plan: &Plan, now: Time) {
        let facts =
            |key: ReplicaKey| fleet.get(key).map_or(("", ""), |replica| (&*replica.facts.id, &*replica.facts.software));
        let ((read, read_software), (replica, software), first) = match plan {
            Plan::Single(step) => (("", ""), facts(step.key), step),
            Plan::Disaggregated { prefill, decode } => (facts(prefill.key), facts(decode.key), prefill),
        };
        emit!(
            info,
            ROUTED,
            request = self.caller.id,
            content = %self.content,
            route = %self.route.name,
            configuration = self.version,
            service = %self.service,
            read,
            read_software,
            replica,
            software,
            resumes = self.caller.resumes.as_deref(),
            predicted_ms = plan.predicted_ms() as u64,
            late = plan.is_late(),
            wait_ms = first.wait_ms as u64,
            work_ms = first.work_ms as u64,
            tokens = self.caller.prompt.as_ref().map_or(0, |prompt| prompt.tokens),
            output = self.caller.prompt.as_ref().map_or(0, |prompt| prompt.max_output),
            guess = self.caller.prompt.as_ref().and_then(|prompt| prompt.output_hint),
            uncached = first.prefill.uncached,
            view_age_ms = fleet.peers_age_ms(now),
            daemons = fleet.daemons(),
            left_ms = self.deadline.since(now).as_millis()
        );
    }

    pub(super) fn record_failure(&mut self, plan: &Plan, failure: &AttemptFailure) {
        if failure.why.nobody_listens() {
            self.gone_replicas += 1;
        } else {
            self.attempts += 1;
        }
        if failure.why.arrived() || (matches!(plan, Plan::Disaggregated { .. }) && !failure.in_prefill) {
            self.charged_retries = 0;
        }
        self.tried.push(failure.replica);
        self.tried.extend(&failure.others);
        let is_unsent = failure.why.evidence().is_some_and(|evidence| !evidence.arrived());
        if is_unsent && !self.readmitted.contains(&failure.replica) {
            self.unsent.push((failure.replica, failure.why.nobody_listens()));
        }
        if failure.in_prefill {
            // The engine may have waited for the one that it was to copy from.
            self.tried.extend(plan.prefill_step().copy_from);
        }
        let prefill_done = matches!(plan, Plan::Disaggregated { .. }) && !failure.in_prefill;
        self.prefill_delivered |= prefill_done || (failure.in_prefill && failure.why.arrived());
        self.serve_delivered |= !failure.in_prefill && failure.why.arrived();
        if failure.in_prefill && matches!(failure.why.evidence(), Some(Evidence::Rejected(_))) {
            // The first prefill call is not charged to the retry budget unless the replica rejects it.
            let now = self.gw.now();
            self.gw.fleet().charge_retry(&self.service, &self.gw.retry_budget(), now);
        }
        if failure.why.may_have_run() && !failure.in_prefill {
            self.credit = None;
            self.timed_out = matches!(failure.why, CallFailure::TimedOut);
        }
    }

    /// Whether a replica certainly or most likely started to run the request in a failed attempt: a plain service
    /// starts as soon as it has the request, an engine with the first token.
    fn has_started(&self, failure: &AttemptFailure) -> bool {
        let lost = matches!(failure.why, CallFailure::Broke(_) | CallFailure::Lost(_));
        lost && !failure.in_prefill && !self.route.stream
    }

    /// Records that a replica started to run the request. A plain service starts when the request is sent, an engine
    /// with the first token.
    fn record_started(&mut self, sent_ms: u64) {
        let at_ms = if self.route.stream { wall_millis() } else { sent_ms };
        if let Some(team) = self.usage_team.take() {
            self.gw.usage.count(&team, at_ms);
        }
    }

    /// Records that a stream broke at a replica after it had started.
    pub(super) fn record_broken_stream(&mut self, key: ReplicaKey) {
        self.attempts += 1;
        self.charged_retries = 0;
        self.tried.push(key);
        self.serve_delivered = true;
        self.credit = None;
    }

    /// Number of calls of a plan that repeat earlier ones.
    fn count_retries(&self, plan: &Plan) -> u32 {
        let has_prefill = matches!(plan, Plan::Disaggregated { .. });
        u32::from(has_prefill && self.prefill_delivered) + u32::from(self.serve_delivered)
    }

    /// Whether a replica may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        self.possible_runs() > 0
    }

    /// Replicas that are not tried again.
    pub(super) fn tried(&self) -> &[ReplicaKey] {
        &self.tried
    }

    /// The refusal after failed attempts, which tells the caller truthfully whether the request may have run.
    pub(super) fn final_refusal(&self) -> Refusal {
        match (self.possible_runs(), self.timed_out) {
            (0, _) => Refusal::Rejected,
            (_, true) => Refusal::TimedOut,
            (_, false) => Refusal::Lost,
        }
    }
}

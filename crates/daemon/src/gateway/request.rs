//! One request, from its admission to its outcome.

use std::sync::Arc;

use bytes::Bytes;
use dahliaseam_border::dialect::CallerRequest;
use dahliaseam_core::{
    content::ContentHash,
    fleet::{
        Fleet, StepEnd,
        plan::{Isolation, Plan, PlanError, RouteRequest, Step},
        replica::ReplicaKey,
    },
    quota::Credit,
    route::{Repeat, Route},
    team::{Identity, Team},
    time::{Span, Time},
};
use http::{Request, Response, request};
use hyper::body::Incoming;

use crate::{
    clock::wall_millis,
    emit,
    gateway::{
        admission::{Admitted, admit},
        answer::{AnswerBody, Refusal},
        attempt::{Answer, CallFailure, Failed, MAX_GONE},
        ending::Ending,
        endings::Trial,
        quota,
        relay::{self, Begun},
        state::Gateway,
    },
};

/// Failed tries after which a request is given up, however many replicas there are. Where nothing listens none was made.
const MAX_TRIES: usize = 4;
/// How many times its prediction a plain call that may be repeated waits before another is tried.
const PLAIN_PATIENCE: f64 = 5.0;
/// What is added to that.
const PLAIN_SLACK: Span = Span::millis(60);
/// Percent of a route's time limit below which a caller's patience shows that it was here before.
const RETURNED_PERCENT: u64 = 95;
/// Least time left for which another try is worth it.
const LEAST_LEFT: Span = Span::millis(15);

/// A request with all that its tries need.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) gw: Arc<Gateway>,
    pub(super) head: request::Parts,
    pub(super) body: Bytes,
    pub(super) caller: CallerRequest,
    /// What it asks for, the same when its caller asks again.
    pub(super) content: ContentHash,
    pub(super) route: Arc<Route>,
    /// On whose behalf it runs, as its key was judged when it arrived.
    pub(super) identity: Identity,
    pub(super) service: Arc<str>,
    pub(super) version: u64,
    pub(super) arrived: Time,
    /// When it must be over: the caller's patience or the route's time limit.
    pub(super) deadline: Time,
    /// The last event that the caller has, where an answer goes on from there.
    pub(super) last_event: Option<String>,
    /// How it is kept apart from others, if replicas ended under it.
    pub(super) apart: Option<Isolation>,
    /// The run under way, if it tells whether the request is to blame for these ends.
    pub(super) trial: Option<Trial>,
    /// Replicas that are not to be tried again.
    tried: Vec<ReplicaKey>,
    tries: usize,
    /// Replicas that were found gone.
    gone: usize,
    /// Repeated sends that were taken from the budget for the next try.
    taken: u32,
    /// Whether a replica got the request to serve it.
    served_once: bool,
    /// Whether a replica got the request to read its prompt.
    read_once: bool,
    /// Replicas that may have run it.
    runs: u32,
    timed_out: bool,
    /// The team for which it is to be counted once it begins.
    to_count: Option<Arc<Team>>,
    /// What was taken from its team's quota and is not spent.
    credit: Option<Credit>,
    draw: u64,
}

/// Serve a caller's request.
pub(super) async fn serve(gw: Arc<Gateway>, req: Request<Incoming>) -> Response<AnswerBody> {
    let draw = gw.draw();
    let (head, body) = req.into_parts();
    match admit(&gw, head, body).await {
        Ok(admitted) => run(Job::new(gw, admitted, draw)).await,
        Err((refusal, id)) => {
            gw.metrics.request("", refusal.name());
            emit!(info, NOT_ADMITTED, request = id, why = ?refusal);
            refusal.answer(draw)
        }
    }
}

/// Try until there is an answer or a reason to give up.
async fn run(mut job: Job) -> Response<AnswerBody> {
    let mut ending = Ending::new(&job);
    let now = job.gw.now();
    job.gw.fleet().record_request(&job.service, &job.gw.budget(), now);
    loop {
        let plan = match job.next_plan().await {
            Ok(plan) => plan,
            Err(refusal) => return give_up(&job, ending, &refusal),
        };
        ending.tries += 1;
        let began_ms = wall_millis();
        let failed = match job.attempt(&plan).await {
            Ok(answer) => {
                let at = answer.work.replica();
                match begin_answer(&job, answer).await {
                    Ok(begun) => {
                        job.note_begun(began_ms);
                        return relay::answer(job, begun, ending);
                    }
                    Err(why) => Failed { why, reading: false, at },
                }
            }
            Err(failed) => failed,
        };
        if job.has_begun(&failed) {
            job.note_begun(began_ms);
        }
        job.note_failed(&plan, &failed);
    }
}

fn give_up(job: &Job, mut ending: Ending, refusal: &Refusal) -> Response<AnswerBody> {
    ending.set(refusal.name(), refusal.status().as_u16());
    refusal.answer(job.draw)
}

/// Wait until an answer is certain enough to be passed on.
async fn begin_answer(job: &Job, mut answer: Answer) -> Result<Begun, CallFailure> {
    if job.may_repeat() && answer.head.status.is_server_error() {
        let status = answer.head.status.as_u16();
        answer.work.ended(StepEnd::Done);
        return Err(CallFailure::Lost(format!("status {status}")));
    }
    relay::begin(job, answer).await
}

impl Job {
    fn new(gw: Arc<Gateway>, admitted: Admitted, draw: u64) -> Self {
        let Admitted { head, body, caller, content, route, service, identity, version, arrived, deadline } = admitted;
        Self {
            gw,
            to_count: identity.team().cloned(),
            last_event: caller.last_event.clone(),
            head,
            body,
            caller,
            content,
            route,
            identity,
            service,
            version,
            arrived,
            deadline,
            apart: None,
            trial: None,
            tried: Vec::new(),
            tries: 0,
            gone: 0,
            taken: 0,
            served_once: false,
            read_once: false,
            runs: 0,
            timed_out: false,
            credit: None,
            draw,
        }
    }

    /// Time left until it must be over.
    pub(super) fn time_left(&self) -> Span {
        self.deadline.since(self.gw.now())
    }

    /// Whether it may be tried again after it may have run.
    pub(super) fn may_repeat(&self) -> bool {
        self.route.repeat == Repeat::Allowed
            && self.runs + 1 < self.route.attempts
            && self.tries + 1 < MAX_TRIES
            && self.time_left() > LEAST_LEFT
    }

    /// When a call is given up so that another replica can be tried.
    pub(super) fn try_limit(&self, step: &Step) -> Time {
        if !self.may_repeat() || self.caller.prompt.is_some() {
            return self.deadline;
        }
        let patience = Span::seconds((step.wait_ms + step.work_ms) / 1_000.0 * PLAIN_PATIENCE);
        self.deadline.min(self.gw.now() + patience + PLAIN_SLACK)
    }

    /// What to do next, or why to give up.
    pub(super) async fn next_plan(&mut self) -> Result<Plan, Refusal> {
        self.look_at_standing().await?;
        let now = self.gw.now();
        let ran_out = self.tries >= MAX_TRIES || self.gone >= MAX_GONE || self.deadline.since(now) <= LEAST_LEFT;
        let may_go_on = match self.route.repeat {
            Repeat::AtMostOnce => self.runs == 0,
            Repeat::Allowed => self.runs < self.route.attempts,
        };
        if !may_go_on || (ran_out && !self.tried.is_empty()) {
            return Err(self.last_word());
        }
        let mut plan = self.choose(now)?;
        if self.take_credit().await? {
            // Engines may have got other work meanwhile.
            plan = self.choose(self.gw.now())?;
        }
        self.note_offered(&plan);
        let repeats = self.repeats(&plan).saturating_sub(self.taken);
        if repeats > 0 && !self.gw.fleet().take_retries(repeats, &self.service, &self.gw.budget(), now) {
            emit!(info, BUDGET_SPENT, request = self.caller.id, service = %self.service);
            return Err(self.last_word());
        }
        self.taken += repeats;
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
        let usual = fleet.mean_answer_time(&self.service);
        match chosen {
            Ok(plan) if is_new && plan.is_long() && !self.gw.stop.takes_long(usual, now) => {
                emit!(info, REFUSED_STOPPING, request = self.caller.id, route = %self.route.name);
                Err(Refusal::Stopping)
            }
            Ok(plan) => {
                self.log_plan(&fleet, &plan, now);
                Ok(plan)
            }
            Err(PlanError::TooLate { predicted_ms, retry_after: come_back, .. }) => {
                self.log_too_late(&fleet, predicted_ms, come_back, now);
                Err(Refusal::TooLate { come_back })
            }
            Err(PlanError::RateLimited { retry_after: come_back }) if is_new => {
                self.log_rate_limited(come_back);
                Err(Refusal::ReplicasLimited { come_back })
            }
            Err(PlanError::NoReplica) if is_new => Err(Refusal::NoReplica),
            Err(PlanError::NoReplica | PlanError::RateLimited { .. }) => Err(self.last_word()),
        }
    }

    /// Count what is asked of engines by a request that is served.
    fn note_offered(&self, plan: &Plan) {
        if self.tried.is_empty() {
            let now = self.gw.now();
            self.gw.fleet().record_demand(&self.service, &self.route_request(now), plan, true, now);
        }
    }

    /// Take what a run costs from the team's quota, unless it is at hand; returns whether that took a while.
    async fn take_credit(&mut self) -> Result<bool, Refusal> {
        let credit = self.usable_credit(self.credit).await;
        let credit = credit.map_err(|refusal| if self.has_run() { self.last_word() } else { refusal })?;
        let is_new = credit != self.credit;
        self.credit = credit;
        Ok(is_new)
    }

    /// The given credit if it may still be spent, or else new credit; absent where the team has no quota.
    pub(super) async fn usable_credit(&self, credit: Option<Credit>) -> Result<Option<Credit>, Refusal> {
        let team = self.identity.team().and_then(|team| Some((team, team.quota?)));
        let Some((team, quota)) = team else { return Ok(None) };
        if credit.is_some_and(|credit| credit.is_usable(self.gw.now())) {
            return Ok(credit);
        }
        let units = quota.cost(self.caller.prompt.as_ref());
        quota::take(&self.gw, &self.caller.id, team, units).await.map(Some)
    }

    /// What was taken from the team's quota for the next run.
    pub(super) const fn credit(&self) -> Option<Credit> {
        self.credit
    }

    pub(super) fn route_request(&self, now: Time) -> RouteRequest<'_> {
        RouteRequest {
            service: &self.service,
            prompt: self.caller.prompt.as_ref(),
            objective_left: (self.arrived + self.route.objective).since(now),
            first_event_left: (self.arrived + self.route.silence).since(now),
            time_left: self.deadline.since(now),
            was_refused: self.returned(),
            may_refuse: self.tried.is_empty() && self.last_event.is_none(),
            tried: &self.tried,
            isolation: self.apart,
            send_ms: self.gw.link.send_ms(self.body.len()),
            link_ms: self.gw.link.wait_ms(now),
            draw: self.draw,
        }
    }

    fn log_too_late(&self, fleet: &Fleet, predicted_ms: u64, come_back: Span, now: Time) {
        emit!(
            info,
            REFUSED_EARLY,
            request = self.caller.id,
            route = %self.route.name,
            tokens = self.caller.prompt.as_ref().map_or(0, |prompt| prompt.tokens),
            predicted_ms,
            objective_ms = self.route.objective.as_millis(),
            view_age_ms = fleet.peers_age_ms(now),
            come_back_ms = come_back.as_millis()
        );
    }

    fn log_rate_limited(&self, come_back: Span) {
        emit!(
            info,
            REFUSED_LIMITED,
            request = self.caller.id,
            route = %self.route.name,
            service = %self.service,
            come_back_ms = come_back.as_millis()
        );
    }

    /// Whether its caller waits less long than the route allows, as one does that was refused and
    /// came back.
    fn returned(&self) -> bool {
        let patience = self.deadline.since(self.arrived);
        patience.0 < self.route.timeout.0 * RETURNED_PERCENT / 100
    }

    fn log_plan(&self, fleet: &Fleet, plan: &Plan, now: Time) {
        let name = |key: ReplicaKey| fleet.get(key).map_or("", |replica| &*replica.facts.id);
        let (read, write, first) = match plan {
            Plan::Single(step) => ("", name(step.key), step),
            Plan::Disaggregated { prefill: read, decode: write } => (name(read.key), name(write.key), read),
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
            replica = write,
            predicted_ms = plan.predicted_ms() as u64,
            late = plan.is_late(),
            wait_ms = first.wait_ms as u64,
            work_ms = first.work_ms as u64,
            tokens = self.caller.prompt.as_ref().map_or(0, |prompt| prompt.tokens),
            output = self.caller.prompt.as_ref().map_or(0, |prompt| prompt.output),
            guess = self.caller.prompt.as_ref().and_then(|prompt| prompt.guess),
            uncached = first.prefill.uncached,
            view_age_ms = fleet.peers_age_ms(now),
            daemons = fleet.daemons(),
            left_ms = self.deadline.since(now).as_millis()
        );
    }

    pub(super) fn note_failed(&mut self, plan: &Plan, failed: &Failed) {
        if failed.why == CallFailure::NobodyListens {
            self.gone += 1;
        } else {
            self.tries += 1;
        }
        if failed.why.arrived() || (matches!(plan, Plan::Disaggregated { .. }) && !failed.reading) {
            self.taken = 0;
        }
        self.tried.push(failed.at);
        if failed.reading {
            // The engine may have waited for the one that it was to copy from.
            self.tried.extend(plan.prefill_step().copy_from);
        }
        let read_before = matches!(plan, Plan::Disaggregated { .. }) && !failed.reading;
        self.read_once |= read_before || (failed.reading && failed.why.arrived());
        self.served_once |= !failed.reading && failed.why.arrived();
        if failed.reading && matches!(failed.why, CallFailure::Rejected(_)) {
            // The first call that reads a prompt is free only if the replica takes it up.
            let now = self.gw.now();
            self.gw.fleet().charge_retry(&self.service, &self.gw.budget(), now);
        }
        if failed.why.may_have_run() && !failed.reading {
            self.credit = None;
            self.runs += 1;
            self.timed_out = failed.why == CallFailure::TimedOut;
        }
    }

    /// Whether a replica surely or most likely began to run it in a failed try: a plain one does so at
    /// once, an engine with the first token.
    fn has_begun(&self, failed: &Failed) -> bool {
        let lost = matches!(failed.why, CallFailure::Broke(_) | CallFailure::Lost(_));
        lost && !failed.reading && !self.route.stream
    }

    /// A replica began to run it. A plain one does so when it is sent, an engine with the first token.
    fn note_begun(&mut self, sent_ms: u64) {
        let at_ms = if self.route.stream { wall_millis() } else { sent_ms };
        if let Some(team) = self.to_count.take() {
            self.gw.usage.count(&team, at_ms);
        }
    }

    /// A stream that had begun broke off at a replica.
    pub(super) fn note_broken(&mut self, key: ReplicaKey) {
        self.tries += 1;
        self.taken = 0;
        self.tried.push(key);
        self.served_once = true;
        self.credit = None;
        self.runs += 1;
    }

    /// Calls of a plan that repeat earlier ones.
    fn repeats(&self, plan: &Plan) -> u32 {
        let reads = matches!(plan, Plan::Disaggregated { .. });
        u32::from(reads && self.read_once) + u32::from(self.served_once)
    }

    /// Whether a replica may have run it.
    pub(super) const fn has_run(&self) -> bool {
        self.runs > 0
    }

    /// The true last word: whether it surely did not run.
    pub(super) fn last_word(&self) -> Refusal {
        match (self.runs, self.timed_out) {
            (0, _) => Refusal::Rejected,
            (_, true) => Refusal::TimedOut,
            (_, false) => Refusal::Lost,
        }
    }
}

//! Replica selection and admission.
//!
//! A prompt is either prefilled by one engine and decoded by another, or one engine does both. For each option the
//! time to the first event is predicted from the work known to be queued. The option with the lowest cost is chosen:
//! its predicted time plus a penalty for crossing halls. Requests that cannot be served in time are refused before
//! anything is sent.

use slotmap::Key as _;

use crate::{
    endpoint::Role,
    fleet::{
        Fleet,
        engine::{EngineModel, hand_over::KvTransfer, read_time::PrefillWork},
        plan::{Isolation, Plan, PlanError, RouteRequest, Step},
        replica::{Replica, ReplicaKey},
    },
    hash::rendezvous,
    prompt::Prompt,
    time::{Span, Time},
};

/// Factor on the send time of a request that is sent twice: the second send itself, and what is queued behind it on
/// the link.
const RESEND_FACTOR: f64 = 2.0;
/// Predicted wait in milliseconds for each request beyond an engine's slots.
const SLOT_WAIT_MS: f64 = 20.0;
/// Like [`SLOT_WAIT_MS`], for long answers, which occupy their slots for seconds.
const LONG_SLOT_WAIT_MS: f64 = 60.0;
/// Cost in milliseconds of a short request that preempts a long answer.
const PREEMPTION_COST_MS: f64 = 10.0;
/// Cost in milliseconds of a plain replica with all slots in use, since it slows down under load.
const FULL_LOAD_COST_MS: f64 = 10.0;
/// Minimum number of additional prompt tokens that another engine must hold for them to be copied from it.
const MIN_COPY_TOKENS: u32 = 512;
/// Answers count as long if the longest answers of their size take at least this many milliseconds.
const LONG_ANSWER_MS: f64 = 1_000.0;
/// Answers with at least this token limit always count as long: the fastest engines take a second for them.
const LONG_OUTPUT_TOKENS: u32 = 1_500;
/// Prefill time in milliseconds that disturbs no other request: one chunk of a prompt.
const SHORT_PREFILL_MS: f64 = 12.0;
/// Cost in milliseconds, for each long answer on an engine, of prefilling a prompt on the same engine.
const INTERFERENCE_COST_MS: f64 = 1.0;
/// Cost in milliseconds of each active request on an engine that would decode a prompt prefilled by another engine.
const ACTIVE_REQUEST_COST_MS: f64 = 0.2;
/// Minimum share of their time that prefill engines are assumed to have for late prompts. Under an overload that
/// shows in the measured demand no late prompt is started, but no prediction becomes infinite.
const MIN_FREE_SHARE: f64 = 0.05;
/// Cost in milliseconds of a replica whose store entry lapsed or that a peer has ejected.
const MAY_BE_GONE_COST_MS: f64 = 80.0;
/// Upper bound in milliseconds of the random jitter, for each daemon.
const JITTER_MS_PER_DAEMON: f64 = 0.15;
/// Upper bound in milliseconds of the random jitter for any number of daemons.
const MAX_JITTER_MS: f64 = 25.0;
/// Range in milliseconds of the pseudo-random costs, derived from its content hash, by which the replica of an isolated
/// request is chosen. They exceed all other costs, so such a request does not get the best replica. With a purely random
/// choice two isolated requests would meet on one of twelve engines just as often, but other daemons would not know
/// which engines were drawn.
const ISOLATION_DRAW_MS: f64 = 10_000.0;
/// Share of its remaining time after which a caller no longer retries.
const MAX_RETRY_AFTER_SHARE: f64 = 0.33;
/// Minimum retry time that is sent to callers.
const MIN_RETRY_AFTER: Span = Span::millis(60);

/// The streams on a decode engine that a prefill there must not delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Protected {
    /// All streams.
    All,
    /// Those of long answers.
    Long,
    /// None of them.
    Nothing,
}

/// A prompt to be prefilled.
#[derive(Clone, Copy, Debug)]
struct PrefillInput<'a> {
    prompt: &'a Prompt,
    /// Learned model of the service's engines.
    engine: EngineModel,
    /// The engine that holds most of the prompt in its KV cache, and the number of tokens it holds.
    copy_source: Option<(ReplicaKey, u32)>,
    /// Whether the request can no longer be in time.
    late: bool,
    /// Whether its answer will occupy a slot for seconds.
    long: bool,
}

impl Fleet {
    /// Selects the replicas that serve a request.
    ///
    /// # Errors
    /// Returns the reason why the request cannot be served.
    pub fn choose(&self, req: &RouteRequest<'_>, now: Time) -> Result<Plan, PlanError> {
        Selection::new(self, req, now).plan()
    }

    /// Selects the engine that decodes a prompt which another engine prefills or has prefilled.
    #[must_use]
    pub fn choose_decode_step(&self, req: &RouteRequest<'_>, prefill: &Step, long: bool, now: Time) -> Option<Step> {
        Selection::new(self, req, now).decode_step(prefill, long)
    }

    /// The replicas among the candidates of a request that accept requests from this daemon now.
    fn eligible(&self, req: &RouteRequest<'_>, now: Time) -> Vec<(ReplicaKey, &Replica)> {
        let mut eligible = self.available(req, now);
        eligible.retain(|(_, replica)| replica.accepts(self.rate_limit_share, now));
        eligible
    }

    /// Shortest time until an available replica accepts a request from this daemon; `None` if none is available.
    fn time_until_accepted(&self, req: &RouteRequest<'_>, now: Time) -> Option<Span> {
        let available = self.available(req, now).into_iter();
        available.map(|(_, replica)| replica.time_until_accepted(self.rate_limit_share, now)).min()
    }

    /// The candidates of a request that are available, regardless of their rate limits and retry times.
    fn available(&self, req: &RouteRequest<'_>, now: Time) -> Vec<(ReplicaKey, &Replica)> {
        // All daemons must draw an isolated request's replica from the same ones, and few replicas may have the version
        // of a stream.
        let candidates = if req.isolation.is_some() || req.origin.is_some() {
            self.candidates.all(req.service).to_vec()
        } else {
            self.candidates.select(req.service, req.prompt, req.draw)
        };
        let replicas = candidates.into_iter().filter_map(|key| Some((key, self.replicas.get(key)?)));
        let is_available = |(key, replica): &(ReplicaKey, &Replica)| {
            replica.is_open(now)
                && replica.health.is_available(now)
                && req.origin.is_none_or(|origin| origin == replica.origin)
                && !req.tried.contains(key)
        };
        replicas.filter(is_available).collect()
    }

    /// Whether an answer with this token limit may occupy its slot for a second or more.
    fn is_long(&self, service: &str, tokens: u32) -> bool {
        let longest_ms = self.services.get(service).and_then(|state| state.engine.answer_pace.max_duration_ms(tokens));
        tokens >= LONG_OUTPUT_TOKENS || longest_ms.is_some_and(|longest_ms| longest_ms >= LONG_ANSWER_MS)
    }

    /// The learned model of a service's engines.
    fn engine(&self, service: &str) -> EngineModel {
        self.services.get(service).map(|state| state.engine).unwrap_or_default()
    }

    /// Longest uninterrupted prefill in milliseconds that does not delay streams on the same engine for too long.
    fn max_prefill_burst_ms(&self, service: &str, engine: &EngineModel) -> f64 {
        let pause = self.services.get(service).and_then(|state| state.max_pause);
        let pause_ms = pause.map_or(self.policy.pause_ms, Span::as_millis_f64);
        let headroom_ms = pause_ms - engine.event_pace.interval_ms();
        (headroom_ms * self.policy.pause_share).max(SHORT_PREFILL_MS)
    }

    /// Whether this daemon started so recently that it may not have received the load of all peers.
    #[must_use]
    pub fn is_warming_up(&self, now: Time) -> bool {
        !self.warm_at.is_past(now)
    }
}

/// The selection of replicas for one request, with the inputs that are the same for all candidates.
struct Selection<'a> {
    fleet: &'a Fleet,
    req: &'a RouteRequest<'a>,
    now: Time,
    eligible: Vec<(ReplicaKey, &'a Replica)>,
    /// Upper bound in milliseconds of the random jitter, which keeps daemons with equally old views from all choosing
    /// the same replica. The views are older the more daemons there are, since each daemon then reports less often.
    jitter_ms: f64,
}

impl<'a> Selection<'a> {
    fn new(fleet: &'a Fleet, req: &'a RouteRequest<'a>, now: Time) -> Self {
        let jitter_ms =
            if fleet.is_warming_up(now) { MAX_JITTER_MS } else { fleet.daemons() as f64 * JITTER_MS_PER_DAEMON };
        Self { fleet, req, now, eligible: fleet.eligible(req, now), jitter_ms: jitter_ms.min(MAX_JITTER_MS) }
    }

    fn plan(&self) -> Result<Plan, PlanError> {
        let Some(prompt) = self.req.prompt else {
            let plan = self.plain_plan().ok_or_else(|| self.plan_error())?;
            return admit_within(self.req.time_left, plan, self.req);
        };
        let input = self.prefill_input(prompt);
        let urgent = self.engine_plan(&input).ok_or_else(|| self.plan_error())?;
        let in_time_ms = self.req.objective_left.as_millis_f64() * self.admit_share();
        if urgent.predicted_ms() - self.discount_ms(&urgent, prompt) <= in_time_ms {
            return Ok(urgent);
        }
        // A late answer is still worth something, and its prompt is queued such that it delays no other request.
        let late = self.engine_plan(&PrefillInput { late: true, ..input }).ok_or_else(|| self.plan_error())?;
        let left = self.req.first_event_left.min(self.req.time_left);
        let late = self.with_urgent_delay(late);
        admit_within(Span::seconds(left.as_seconds() * self.fleet.policy.late_share), late, self.req)
    }

    /// The reason why no replica can be chosen.
    fn plan_error(&self) -> PlanError {
        match self.fleet.time_until_accepted(self.req, self.now) {
            Some(wait) if wait > Span(0) => {
                PlanError::RateLimited { retry_after: retry_after(self.req, wait.as_millis_f64()) }
            }
            _ => PlanError::NoReplica,
        }
    }

    /// The eligible engines that decode.
    fn decode_engines(&self) -> impl Iterator<Item = (ReplicaKey, &'a Replica)> {
        self.eligible.iter().copied().filter(|(_, replica)| replica.facts.role != Role::Prefill)
    }

    /// Milliseconds by which the predicted time of a large prompt is reduced if large prompts are served too seldom.
    fn discount_ms(&self, plan: &Plan, prompt: &Prompt) -> f64 {
        let state = self.fleet.services.get(self.req.service).filter(|_| !plan.is_long());
        state.map_or(0.0, |state| state.large_prompts.discount_ms(prompt.tokens, plan.prefill_step().work_ms))
    }

    fn plain_plan(&self) -> Option<Plan> {
        let state = self.fleet.services.get(self.req.service);
        let mean_ms = state.map_or(super::INITIAL_PLAIN_MS, |state| state.plain_call_ms);
        let steps = self.eligible.iter().map(|(key, replica)| {
            let work_ms = mean_ms * replica.slowness(self.now);
            let excess = f64::from((replica.active() + 1).saturating_sub(replica.facts.slots));
            let utilization = f64::from(replica.active()) / f64::from(replica.facts.slots.max(1));
            let link_ms = self.req.link_ms + self.req.send_ms;
            let wait_ms =
                work_ms * excess / f64::from(replica.facts.slots.max(1)) + utilization * FULL_LOAD_COST_MS + link_ms;
            let step = Step { key: *key, wait_ms, work_ms, link_ms, ..Step::at(*key) };
            (step.wait_ms + work_ms + self.reachability_cost_ms(replica) + self.tie_break_ms(*key), step)
        });
        cheapest(steps).map(Plan::Single)
    }

    fn prefill_input(&self, prompt: &'a Prompt) -> PrefillInput<'a> {
        PrefillInput {
            prompt,
            engine: self.fleet.engine(self.req.service),
            copy_source: self.copy_source(prompt),
            late: false,
            long: self.fleet.is_long(self.req.service, prompt.max_output),
        }
    }

    fn engine_plan(&self, input: &PrefillInput<'_>) -> Option<Plan> {
        if self.req.isolation.is_some_and(|isolation| isolation.single_replica) {
            return self.single_step(input, Protected::Long).map(Plan::Single);
        }
        let single = self.single_step(input, Protected::All).map(Plan::Single);
        let disaggregated = self.prefill_step(input).and_then(|prefill| {
            let decode = self.decode_step(&prefill, input.long)?;
            Some(Plan::Disaggregated { prefill, decode })
        });
        match (single, disaggregated) {
            (Some(single), Some(disaggregated)) if disaggregated.predicted_ms() < single.predicted_ms() => {
                Some(disaggregated)
            }
            (None, None) => self.last_single_step(input).map(Plan::Single),
            (single, disaggregated) => single.or(disaggregated),
        }
    }

    /// The engine that both prefills and decodes a prompt where no other one can prefill it. A stream that goes on has few
    /// engines to choose from, and would end as broken; it may delay others.
    fn last_single_step(&self, input: &PrefillInput<'_>) -> Option<Step> {
        let step = self.single_step(input, Protected::Long);
        step.or_else(|| self.req.origin.and_then(|_| self.single_step(input, Protected::Nothing)))
    }

    /// The engine that both prefills and decodes a prompt. An engine with protected streams takes no prefill that is
    /// longer than their maximum pause allows. If all are protected, an engine whose long answers would end too late
    /// takes no prefill above [`SHORT_PREFILL_MS`].
    fn single_step(&self, input: &PrefillInput<'_>, protected: Protected) -> Option<Step> {
        let max_burst_ms = self.fleet.max_prefill_burst_ms(self.req.service, &input.engine);
        let placement = self.fleet.placement_input(self.req, input.long, self.now);
        cheapest(self.decode_engines().filter_map(|(key, replica)| {
            let step = self.estimate_prefill((key, replica), input);
            let queue_ms = slot_wait_ms(replica, input.long);
            let step = Step { wait_ms: step.wait_ms + queue_ms, long: input.long, ..step };
            let is_restricted = match protected {
                Protected::All => replica.long_answers() > 0 || replica.active() > 0,
                Protected::Long => replica.long_answers() > 0,
                Protected::Nothing => false,
            };
            let interferes = replica.long_answers() > 0 && step.work_ms > SHORT_PREFILL_MS;
            let delays = interferes && protected == Protected::All && !self.fleet.has_decode_slack(replica, self.now);
            if delays || (is_restricted && step.wait_ms + step.work_ms > max_burst_ms) {
                return None;
            }
            let interference_ms =
                if interferes { f64::from(replica.long_answers()) * INTERFERENCE_COST_MS } else { 0.0 };
            let cost = step.wait_ms
                + step.work_ms
                + self.reachability_cost_ms(replica)
                + interference_ms
                + placement.map_or(0.0, |placement| placement.cost_ms(replica));
            Some((cost + self.tie_break_ms(key), step))
        }))
    }

    /// The engine that only prefills a prompt.
    fn prefill_step(&self, input: &PrefillInput<'_>) -> Option<Step> {
        let engines = self.eligible.iter().filter(|(_, replica)| replica.facts.role == Role::Prefill);
        cheapest(engines.map(|(key, replica)| {
            let step = self.estimate_prefill((*key, replica), input);
            let cost = step.wait_ms + step.work_ms + self.reachability_cost_ms(replica) + self.eviction_cost_ms(&step);
            (cost + self.jitter_ms(*key), step)
        }))
    }

    /// The engine whose KV cache holds most of a prompt, and the number of tokens it holds.
    fn copy_source(&self, prompt: &Prompt) -> Option<(ReplicaKey, u32)> {
        let present = self.eligible.iter().filter(|(_, replica)| !replica.may_be_gone(self.now));
        let held = present.map(|(key, replica)| (*key, replica.cache.held_tokens(prompt)));
        held.max_by_key(|(_, tokens)| *tokens)
    }

    fn decode_step(&self, prefill: &Step, long: bool) -> Option<Step> {
        let prompt = self.req.prompt?;
        let engine = self.fleet.engine(self.req.service);
        let prefill = self.fleet.replicas.get(prefill.key);
        let placement = self.fleet.placement_input(self.req, long, self.now);
        cheapest(self.decode_engines().map(|(key, replica)| {
            let wait_ms = slot_wait_ms(replica, long) + replica.prefill_ms(self.now) * 0.5;
            let cross_hall = prefill.is_none_or(|prefill| prefill.facts.hall != replica.facts.hall);
            let transfer = KvTransfer { tokens: prompt.tokens, cross_hall };
            let work_ms = engine.kv_transfer.duration_ms(transfer) + self.req.send_ms * RESEND_FACTOR;
            let step = Step { wait_ms, work_ms, kv_transfer: Some(transfer), long, ..Step::at(key) };
            let cost = wait_ms
                + work_ms
                + self.reachability_cost_ms(replica)
                + f64::from(replica.active()) * ACTIVE_REQUEST_COST_MS;
            let placement_ms = placement.map_or(0.0, |placement| placement.cost_ms(replica));
            (cost + placement_ms + self.tie_break_ms(key), step)
        }))
    }

    fn estimate_prefill(&self, (key, replica): (ReplicaKey, &Replica), input: &PrefillInput<'_>) -> Step {
        let PrefillInput { prompt, engine, copy_source, late, .. } = input;
        let (copy_source, late) = (*copy_source, *late);
        let held = replica.cache.held_tokens(prompt);
        let (copy_from, copy_tokens) = match copy_source {
            Some((other, more)) if other != key && more >= held + MIN_COPY_TOKENS => (Some(other), more - held),
            _ => (None, 0),
        };
        let held = held + copy_tokens;
        let prefill = PrefillWork { uncached: prompt.tokens.saturating_sub(held).max(1), cached: held };
        let copy_ms = copy_from.map_or(0.0, |source| {
            let source = self.fleet.replicas.get(source);
            let cross_hall = source.is_none_or(|source| source.facts.hall != replica.facts.hall);
            engine.kv_transfer.duration_ms(KvTransfer { tokens: copy_tokens, cross_hall })
        });
        let decode_factor = if replica.facts.role == Role::Decode { engine.prefill.decode_factor() } else { 1.0 };
        let link_ms = self.req.link_ms + self.req.send_ms;
        let ahead_ms = if late { replica.prefill_ms(self.now) } else { replica.urgent_prefill_ms(self.now) };
        Step {
            key,
            // The engine works on its queue while the request is being sent.
            wait_ms: ahead_ms.max(link_ms),
            link_ms,
            work_ms: engine.prefill.duration_ms(prefill) * decode_factor * replica.slowness(self.now) + copy_ms,
            prefill,
            kv_transfer: None,
            copy_from,
            copy_tokens,
            long: false,
            late,
        }
    }

    /// Extends a late plan by the time for which more urgent requests keep being served first. Its own prefill is not
    /// preempted once it has started.
    fn with_urgent_delay(&self, plan: Plan) -> Plan {
        let service = self.req.service;
        let replicas = self.fleet.candidates.all(service).iter().filter_map(|key| self.fleet.replicas.get(*key));
        let prefill_engines =
            replicas.filter(|replica| replica.facts.role == Role::Prefill && replica.is_open(self.now));
        let prefill_engines = prefill_engines.count().max(1) as f64;
        let free_share = (1.0 - self.fleet.demand(service, self.now).urgent / prefill_engines).max(MIN_FREE_SHARE);
        let delayed = |step: Step| Step { wait_ms: step.wait_ms / free_share, ..step };
        match plan {
            Plan::Single(step) => Plan::Single(delayed(step)),
            Plan::Disaggregated { prefill, decode } => Plan::Disaggregated { prefill: delayed(prefill), decode },
        }
    }

    fn jitter_ms(&self, key: ReplicaKey) -> f64 {
        self.jitter_ms * unit_fraction(rendezvous(self.req.draw, key.data().as_ffi()))
    }

    /// The cost that distinguishes otherwise equal replicas: random jitter, or the pseudo-random cost of an isolated
    /// request.
    fn tie_break_ms(&self, key: ReplicaKey) -> f64 {
        let Some(Isolation { content, .. }) = self.req.isolation else {
            return self.jitter_ms(key);
        };
        let id = self.fleet.replicas.get(key).map_or(0, |replica| replica.start_id);
        ISOLATION_DRAW_MS * unit_fraction(rendezvous(content.0, u64::from(id)))
    }

    /// Cost of the copied tokens, since they evict others.
    fn eviction_cost_ms(&self, step: &Step) -> f64 {
        f64::from(step.copy_tokens) / 1_000.0 * self.fleet.policy.copy_cost_ms
    }

    fn admit_share(&self) -> f64 {
        let policy = &self.fleet.policy;
        if self.req.was_refused { policy.admit_share_returned } else { policy.admit_share }
    }

    /// Cost of reaching a replica: the latency to another hall, and a penalty if the replica may be gone.
    fn reachability_cost_ms(&self, replica: &Replica) -> f64 {
        let Fleet { hall, policy, hall_latencies, .. } = self.fleet;
        let is_own_hall = *replica.facts.hall == **hall;
        let hall_ms = if is_own_hall { 0.0 } else { policy.other_hall_ms + hall_latencies.extra_ms(replica.hall) };
        hall_ms + if replica.may_be_gone(self.now) { MAY_BE_GONE_COST_MS } else { 0.0 }
    }
}

/// Predicted wait for a slot of an engine. Engines admit urgent short requests before the long answers that occupy
/// the slots, so a short request waits only for other short ones.
fn slot_wait_ms(replica: &Replica, long: bool) -> f64 {
    let slots = replica.facts.slots;
    let active = replica.active();
    if long {
        return f64::from((active + 1).saturating_sub(slots)) * LONG_SLOT_WAIT_MS;
    }
    let short = active.saturating_sub(replica.long_answers());
    let preemption_ms = if active >= slots { PREEMPTION_COST_MS } else { 0.0 };
    preemption_ms + f64::from((short + 1).saturating_sub(slots)) * SLOT_WAIT_MS
}

/// Returns the plan, or a refusal if it is predicted to take longer than `limit`.
fn admit_within(limit: Span, plan: Plan, req: &RouteRequest<'_>) -> Result<Plan, PlanError> {
    let predicted_ms = plan.predicted_ms();
    let over_ms = predicted_ms - limit.as_millis_f64();
    if req.may_refuse && over_ms > 0.0 {
        let retry_after = retry_after(req, over_ms);
        return Err(PlanError::TooLate { plan: Box::new(plan), predicted_ms: predicted_ms as u64, retry_after });
    }
    Ok(plan)
}

/// Maps a random number to the range from 0 to 1.
fn unit_fraction(draw: u64) -> f64 {
    draw as f64 / u64::MAX as f64
}

fn cheapest(steps: impl Iterator<Item = (f64, Step)>) -> Option<Step> {
    steps.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, step)| step)
}

/// Time after which a refused caller should retry: once the queued work is probably done, spread at random up to
/// [`MAX_RETRY_AFTER_SHARE`] of its remaining time.
fn retry_after(req: &RouteRequest<'_>, over_ms: f64) -> Span {
    let longest = Span::seconds(req.time_left.as_seconds() * MAX_RETRY_AFTER_SHARE);
    let earliest = Span::seconds(over_ms / 1_000.0).max(MIN_RETRY_AFTER).min(longest);
    let spread = longest.0 - earliest.0;
    Span(earliest.0 + if spread == 0 { 0 } else { req.draw % spread })
}

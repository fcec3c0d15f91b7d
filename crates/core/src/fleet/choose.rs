//! Which replicas serve a request, and whether it can be in time.
//!
//! A prompt is read by a prefill engine and answered by a decode engine, or read and answered by
//! one engine. For each way the time to the first event is predicted from the work that is known
//! to be ahead, and the way that costs least is taken: its time, and something for crossing
//! halls. What cannot be in time is refused before anything is sent.

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

/// How many times the time to send it counts for a request that is sent twice: the second send
/// itself, and what waits behind it on the link.
const RESEND_FACTOR: f64 = 2.0;
/// Milliseconds for each request beyond an engine's slots.
const SLOT_WAIT_MS: f64 = 20.0;
/// The same for long answers, which keep their slots for seconds.
const LONG_SLOT_WAIT_MS: f64 = 60.0;
/// Milliseconds that a short request counts more where it halts a long answer.
const PREEMPTION_COST_MS: f64 = 10.0;
/// Milliseconds that a plain replica counts more when all its slots are taken, since it slows down.
const FULL_LOAD_COST_MS: f64 = 10.0;
/// Tokens that an engine must hold more of a prompt than another one to be copied from.
const MIN_COPY_TOKENS: u32 = 512;
/// Milliseconds that the longest answers of a size must take for them to count as long.
const LONG_ANSWER_MS: f64 = 1_000.0;
/// Tokens of an answer from which on it counts as long in any case: the quickest engines take a second for them.
const LONG_OUTPUT_TOKENS: u32 = 1_500;
/// Milliseconds of a read that disturbs nobody: one piece of a prompt.
const SHORT_PREFILL_MS: f64 = 12.0;
/// Milliseconds that each long answer counts more where a prompt is read beside it.
const INTERFERENCE_COST_MS: f64 = 1.0;
/// Milliseconds that each request at an engine counts where a prompt is handed over to it.
const ACTIVE_REQUEST_COST_MS: f64 = 0.2;
/// Share of their time that readers have for what is late, at least: under an overload that is
/// measured as such, nothing late is begun, but no prediction is endless.
const MIN_FREE_SHARE: f64 = 0.05;
/// Milliseconds that a replica counts more whose entry lapsed, or that a peer could not reach.
const MAY_BE_GONE_COST_MS: f64 = 80.0;
/// Milliseconds of chance for each daemon, and at most.
const JITTER_MS_PER_DAEMON: f64 = 0.15;
/// See [`JITTER_MS_EACH`].
const MAX_JITTER_MS: f64 = 25.0;
/// Milliseconds by which the replicas that a request draws differ which is kept apart: more than anything else
/// counts. It costs such a request the best place; drawn by chance, two of them would meet on one of
/// twelve engines as often, but nobody would know what the others drew.
const ISOLATION_DRAW_MS: f64 = 10_000.0;
/// Part of its remaining time after which a caller does not come back any more.
const MAX_RETRY_AFTER_SHARE: f64 = 0.33;
/// Shortest time after which a caller is told to come back.
const MIN_RETRY_AFTER: Span = Span::millis(60);

/// A prompt that is to be read.
#[derive(Clone, Copy, Debug)]
struct PrefillInput<'a> {
    prompt: &'a Prompt,
    /// What is learned of the engines.
    engine: EngineModel,
    /// The engine that holds the most of it, and how many tokens.
    holder: Option<(ReplicaKey, u32)>,
    /// Whether it can only be late.
    late: bool,
    /// Whether its answer will keep a slot for seconds.
    long: bool,
}

impl Fleet {
    /// Choose how to serve a request.
    ///
    /// # Errors
    /// Why it is not to be served.
    pub fn choose(&self, req: &RouteRequest<'_>, now: Time) -> Result<Plan, PlanError> {
        Selection::new(self, req, now).plan()
    }

    /// The engine that answers a prompt which another one reads or has read.
    #[must_use]
    pub fn choose_decode_step(&self, req: &RouteRequest<'_>, prefill: &Step, long: bool, now: Time) -> Option<Step> {
        Selection::new(self, req, now).decode_step(prefill, long)
    }

    /// The replicas that a request may go to, of those that it looks at.
    fn eligible(&self, req: &RouteRequest<'_>, now: Time) -> Vec<(ReplicaKey, &Replica)> {
        let mut rows = self.available(req, now);
        rows.retain(|(_, replica)| replica.accepts(self.slot_share, now));
        rows
    }

    /// Shortest time until an available replica accepts a request from this daemon; `None` if none is available.
    fn time_until_accepted(&self, req: &RouteRequest<'_>, now: Time) -> Option<Span> {
        let available = self.available(req, now).into_iter();
        available.map(|(_, replica)| replica.time_until_accepted(self.slot_share, now)).min()
    }

    /// The replicas that a request may go to, regardless of their rate limits and retry times.
    fn available(&self, req: &RouteRequest<'_>, now: Time) -> Vec<(ReplicaKey, &Replica)> {
        let candidates = match req.isolation {
            // What it draws must be the same on all daemons.
            Some(_) => self.candidates.all(req.service).to_vec(),
            None => self.candidates.select(req.service, req.prompt, req.draw),
        };
        let rows = candidates.into_iter().filter_map(|key| Some((key, self.replicas.get(key)?)));
        let is_available = |(key, replica): &(ReplicaKey, &Replica)| {
            replica.is_open(now) && replica.health.is_available(now) && !req.tried.contains(key)
        };
        rows.filter(is_available).collect()
    }

    /// Whether an answer of so many tokens at most may keep its slot for a second or more.
    fn is_long(&self, service: &str, tokens: u32) -> bool {
        let longest_ms = self.services.get(service).and_then(|state| state.engine.answer_pace.max_duration_ms(tokens));
        tokens >= LONG_OUTPUT_TOKENS || longest_ms.is_some_and(|longest_ms| longest_ms >= LONG_ANSWER_MS)
    }

    /// What is learned of the engines of a service.
    fn engine(&self, service: &str) -> EngineModel {
        self.services.get(service).map(|state| state.engine).unwrap_or_default()
    }

    /// Milliseconds of reading at once that do not hold up the streams beside it for too long.
    fn max_prefill_burst_ms(&self, service: &str, engine: &EngineModel) -> f64 {
        let pause = self.services.get(service).and_then(|state| state.max_pause);
        let pause_ms = pause.map_or(self.policy.pause_ms, Span::as_millis_f64);
        let room = pause_ms - engine.event_pace.interval_ms();
        (room * self.policy.pause_share).max(SHORT_PREFILL_MS)
    }

    /// Whether this daemon has not heard for long enough what its peers do.
    #[must_use]
    pub fn is_warming_up(&self, now: Time) -> bool {
        !self.warm_at.is_past(now)
    }
}

/// One choice: its request, and what is the same for all replicas that it looks at.
struct Selection<'a> {
    fleet: &'a Fleet,
    req: &'a RouteRequest<'a>,
    now: Time,
    eligible: Vec<(ReplicaKey, &'a Replica)>,
    /// Milliseconds of chance at most, so that daemons whose view is equally old do not all choose the same
    /// replica. The view gets older with the number of daemons, since each then reports less often.
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
        // It is worth less when late, but not nothing, and costs others no time behind them.
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

    /// The eligible engines that answer.
    fn answering(&self) -> impl Iterator<Item = (ReplicaKey, &'a Replica)> {
        self.eligible.iter().copied().filter(|(_, replica)| replica.facts.role != Role::Prefill)
    }

    /// Milliseconds that are not counted for a large prompt, if such are served too seldom.
    fn discount_ms(&self, plan: &Plan, prompt: &Prompt) -> f64 {
        let state = self.fleet.services.get(self.req.service).filter(|_| !plan.is_long());
        state.map_or(0.0, |state| state.large_prompts.discount_ms(prompt.tokens, plan.prefill_step().work_ms))
    }

    fn plain_plan(&self) -> Option<Plan> {
        let state = self.fleet.services.get(self.req.service);
        let mean_ms = state.map_or(super::INITIAL_PLAIN_MS, |state| state.plain_ms);
        let steps = self.eligible.iter().map(|(key, replica)| {
            let work_ms = mean_ms * replica.slowness(self.now);
            let over = f64::from((replica.active() + 1).saturating_sub(replica.facts.slots));
            let utilization = f64::from(replica.active()) / f64::from(replica.facts.slots.max(1));
            let link_ms = self.req.link_ms + self.req.send_ms;
            let wait_ms =
                work_ms * over / f64::from(replica.facts.slots.max(1)) + utilization * FULL_LOAD_COST_MS + link_ms;
            let step = Step { key: *key, wait_ms, work_ms, link_ms, ..Step::at(*key) };
            (step.wait_ms + work_ms + self.reachability_cost_ms(replica) + self.tie_break_ms(*key), step)
        });
        cheapest(steps).map(Plan::Single)
    }

    fn prefill_input(&self, prompt: &'a Prompt) -> PrefillInput<'a> {
        PrefillInput {
            prompt,
            engine: self.fleet.engine(self.req.service),
            holder: self.holder(prompt),
            late: false,
            long: self.fleet.is_long(self.req.service, prompt.max_output),
        }
    }

    fn engine_plan(&self, input: &PrefillInput<'_>) -> Option<Plan> {
        if self.req.isolation.is_some_and(|isolation| isolation.single_replica) {
            return self.single_step(input, false).map(Plan::Single);
        }
        let single = self.single_step(input, true).map(Plan::Single);
        let disaggregated = self.prefill_step(input).and_then(|prefill| {
            let decode = self.decode_step(&prefill, input.long)?;
            Some(Plan::Disaggregated { prefill, decode })
        });
        match (single, disaggregated) {
            (Some(single), Some(disaggregated)) if disaggregated.predicted_ms() < single.predicted_ms() => {
                Some(disaggregated)
            }
            (None, None) => self.single_step(input, false).map(Plan::Single),
            (single, disaggregated) => single.or(disaggregated),
        }
    }

    /// The engine that reads and answers a prompt. One with long answers under way reads no longer
    /// than their pause allows; with `spare_short` one with short answers neither, and nothing larger at
    /// all where the long ones would end too late.
    fn single_step(&self, input: &PrefillInput<'_>, protect_short: bool) -> Option<Step> {
        let pause_ms = self.fleet.max_prefill_burst_ms(self.req.service, &input.engine);
        let placement = self.fleet.placement(self.req, input.long, self.now);
        cheapest(self.answering().filter_map(|(key, replica)| {
            let step = self.estimate_prefill((key, replica), input);
            let over = slot_wait_ms(replica, input.long);
            let step = Step { wait_ms: step.wait_ms + over, long: input.long, ..step };
            let is_restricted = replica.streams() > 0 || (protect_short && replica.active() > 0);
            let interferes = replica.streams() > 0 && step.work_ms > SHORT_PREFILL_MS;
            let delays = interferes && protect_short && !self.fleet.has_decode_slack(replica, self.now);
            if delays || (is_restricted && step.wait_ms + step.work_ms > pause_ms) {
                return None;
            }
            let interference_ms = if interferes { f64::from(replica.streams()) * INTERFERENCE_COST_MS } else { 0.0 };
            let cost = step.wait_ms
                + step.work_ms
                + self.reachability_cost_ms(replica)
                + interference_ms
                + placement.map_or(0.0, |placement| placement.cost_ms(replica));
            Some((cost + self.tie_break_ms(key), step))
        }))
    }

    /// The engine that only reads a prompt.
    fn prefill_step(&self, input: &PrefillInput<'_>) -> Option<Step> {
        let engines = self.eligible.iter().filter(|(_, replica)| replica.facts.role == Role::Prefill);
        cheapest(engines.map(|(key, replica)| {
            let step = self.estimate_prefill((*key, replica), input);
            let cost = step.wait_ms + step.work_ms + self.reachability_cost_ms(replica) + self.eviction_cost_ms(&step);
            (cost + self.jitter_ms(*key), step)
        }))
    }

    /// The engine whose memory holds the most of a prompt, and how many tokens.
    fn holder(&self, prompt: &Prompt) -> Option<(ReplicaKey, u32)> {
        let sure = self.eligible.iter().filter(|(_, replica)| !replica.may_be_gone(self.now));
        let held = sure.map(|(key, replica)| (*key, replica.cache.held_tokens(prompt)));
        held.max_by_key(|(_, tokens)| *tokens)
    }

    fn decode_step(&self, prefill: &Step, long: bool) -> Option<Step> {
        let prompt = self.req.prompt?;
        let engine = self.fleet.engine(self.req.service);
        let prefill = self.fleet.replicas.get(prefill.key);
        let placement = self.fleet.placement(self.req, long, self.now);
        cheapest(self.answering().map(|(key, replica)| {
            let wait_ms = slot_wait_ms(replica, long) + replica.prefill_ms(self.now) * 0.5;
            let across = prefill.is_none_or(|prefill| prefill.facts.hall != replica.facts.hall);
            let moved = KvTransfer { tokens: prompt.tokens, cross_hall: across };
            let work_ms = engine.kv_transfer.duration_ms(moved) + self.req.send_ms * RESEND_FACTOR;
            let step = Step { wait_ms, work_ms, moved: Some(moved), long, ..Step::at(key) };
            let cost = wait_ms
                + work_ms
                + self.reachability_cost_ms(replica)
                + f64::from(replica.active()) * ACTIVE_REQUEST_COST_MS;
            let placed_ms = placement.map_or(0.0, |placement| placement.cost_ms(replica));
            (cost + placed_ms + self.tie_break_ms(key), step)
        }))
    }

    fn estimate_prefill(&self, (key, replica): (ReplicaKey, &Replica), input: &PrefillInput<'_>) -> Step {
        let PrefillInput { prompt, engine, holder, late, .. } = input;
        let (holder, late) = (*holder, *late);
        let held = replica.cache.held_tokens(prompt);
        let (copy_from, copy_tokens) = match holder {
            Some((other, more)) if other != key && more >= held + MIN_COPY_TOKENS => (Some(other), more - held),
            _ => (None, 0),
        };
        let held = held + copy_tokens;
        let reading = PrefillWork { uncached: prompt.tokens.saturating_sub(held).max(1), cached: held };
        let copy_ms = copy_from.map_or(0.0, |holder| {
            let holder = self.fleet.replicas.get(holder);
            let across = holder.is_none_or(|holder| holder.facts.hall != replica.facts.hall);
            engine.kv_transfer.duration_ms(KvTransfer { tokens: copy_tokens, cross_hall: across })
        });
        let factor = if replica.facts.role == Role::Decode { engine.prefill.decode_factor() } else { 1.0 };
        let link_ms = self.req.link_ms + self.req.send_ms;
        let ahead_ms = if late { replica.prefill_ms(self.now) } else { replica.urgent_prefill_ms(self.now) };
        Step {
            key,
            // The engine goes on with what it has while the request is on its way.
            wait_ms: ahead_ms.max(link_ms),
            link_ms,
            work_ms: engine.prefill.duration_ms(reading) * factor * replica.slowness(self.now) + copy_ms,
            reading,
            moved: None,
            copy_from,
            copy_tokens,
            long: false,
            late,
        }
    }

    /// A late plan with the time for which what is more urgent keeps coming before it. Its own
    /// reading is not broken off once it has begun.
    fn with_urgent_delay(&self, plan: Plan) -> Plan {
        let service = self.req.service;
        let all = self.fleet.candidates.all(service).iter().filter_map(|key| self.fleet.replicas.get(*key));
        let prefill_engines = all.filter(|replica| replica.facts.role == Role::Prefill && replica.is_open(self.now));
        let prefill_engines = prefill_engines.count().max(1) as f64;
        let free = (1.0 - self.fleet.demand(service, self.now).urgent / prefill_engines).max(MIN_FREE_SHARE);
        let delayed = |step: Step| Step { wait_ms: step.wait_ms / free, ..step };
        match plan {
            Plan::Single(step) => Plan::Single(delayed(step)),
            Plan::Disaggregated { prefill, decode } => Plan::Disaggregated { prefill: delayed(prefill), decode },
        }
    }

    fn jitter_ms(&self, key: ReplicaKey) -> f64 {
        self.jitter_ms * unit_fraction(rendezvous(self.req.draw, key.data().as_ffi()))
    }

    /// What tells the replicas apart that may answer: some chance, or the draw of a request that is kept apart.
    fn tie_break_ms(&self, key: ReplicaKey) -> f64 {
        let Some(Isolation { content, .. }) = self.req.isolation else {
            return self.jitter_ms(key);
        };
        let id = self.fleet.replicas.get(key).map_or(0, |replica| replica.start_id);
        ISOLATION_DRAW_MS * unit_fraction(rendezvous(content.0, u64::from(id)))
    }

    /// What copied tokens cost, since they push out others.
    fn eviction_cost_ms(&self, step: &Step) -> f64 {
        f64::from(step.copy_tokens) / 1_000.0 * self.fleet.policy.copy_cost_ms
    }

    fn admit_share(&self) -> f64 {
        let policy = &self.fleet.policy;
        if self.req.was_refused { policy.admit_share_returned } else { policy.admit_share }
    }

    /// What the way to a replica counts: another hall and how far it is, and doubt whether it is there at all.
    fn reachability_cost_ms(&self, replica: &Replica) -> f64 {
        let Fleet { hall, policy, hall_latencies, .. } = self.fleet;
        let is_own = *replica.facts.hall == **hall;
        let hall_ms = if is_own { 0.0 } else { policy.other_hall_ms + hall_latencies.extra_ms(replica.hall) };
        hall_ms + if replica.may_be_gone(self.now) { MAY_BE_GONE_COST_MS } else { 0.0 }
    }
}

/// The wait for one of an engine's slots. Engines admit urgent short requests before the long
/// answers that fill them, so only their like is ahead of those.
fn slot_wait_ms(replica: &Replica, long: bool) -> f64 {
    let slots = replica.facts.slots;
    let active = replica.active();
    if long {
        return f64::from((active + 1).saturating_sub(slots)) * LONG_SLOT_WAIT_MS;
    }
    let short = active.saturating_sub(replica.streams());
    let crowded = if active >= slots { PREEMPTION_COST_MS } else { 0.0 };
    crowded + f64::from((short + 1).saturating_sub(slots)) * SLOT_WAIT_MS
}

/// The plan, or a refusal if it is predicted to take longer than `limit`.
fn admit_within(limit: Span, plan: Plan, req: &RouteRequest<'_>) -> Result<Plan, PlanError> {
    let predicted_ms = plan.predicted_ms();
    let over_ms = predicted_ms - limit.as_millis_f64();
    if req.may_refuse && over_ms > 0.0 {
        let retry_after = retry_after(req, over_ms);
        return Err(PlanError::TooLate { plan: Box::new(plan), predicted_ms: predicted_ms as u64, retry_after });
    }
    Ok(plan)
}

/// A drawn number as a part of one.
fn unit_fraction(draw: u64) -> f64 {
    draw as f64 / u64::MAX as f64
}

fn cheapest(steps: impl Iterator<Item = (f64, Step)>) -> Option<Step> {
    steps.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, step)| step)
}

/// When a refused caller should come back: once the work ahead is likely to be done, spread out.
fn retry_after(req: &RouteRequest<'_>, over_ms: f64) -> Span {
    let longest = Span::seconds(req.time_left.as_seconds() * MAX_RETRY_AFTER_SHARE);
    let earliest = Span::seconds(over_ms / 1_000.0).max(MIN_RETRY_AFTER).min(longest);
    let spread = longest.0 - earliest.0;
    Span(earliest.0 + if spread == 0 { 0 } else { req.draw % spread })
}

//! The replicas behind the routes: their state, their load, and the selection of replicas for requests.
//!
//! [`replica`] holds the state of one replica. Replicas are added and removed by [`discovery`], and `software` knows the
//! versions that serve; daemons report their load to each other ([`peers`]). [`path`] is how calls reach a replica, and
//! `loss` shows whether this VM's paths lose packets. [`plan`] describes a request and how it will be served. `choose`
//! selects replicas from its `candidates` or refuses requests that cannot be served in time; `packing` places long
//! answers. The selection uses the estimates of [`cache`], [`engine`] and `distance`. [`budget`] limits retries, [`split`]
//! chooses the roles of engines, `sizes` keeps large prompts from being refused far more often than others, [`pool`]
//! chooses the number of engines, and [`rate_limit`] divides the rate limit of a replica among the daemons. [`endings`]
//! identifies requests that crash replicas.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use slotmap::SlotMap;

use crate::{
    content::ContentHash,
    endpoint::Role,
    fleet::{
        budget::{BudgetShare, RetryBudget, RetryBudgetTerms},
        candidates::Candidates,
        distance::HallLatencies,
        endings::{CrashTracker, PartTreatment, Treatment},
        engine::{EngineModel, hand_over::KvTransfer, read_time::PrefillWork},
        loss::LossMeter,
        path::Path,
        peers::{LastReport, Source},
        plan::{Plan, RouteRequest},
        policy::FleetPolicy,
        rate_limit::RateLimitShare,
        replica::{Load, Replica, ReplicaFacts, ReplicaKey},
        sizes::LargePromptFairness,
        software::LeftSoftware,
        split::{DemandMeter, RequestDemand},
    },
    prompt::{PartId, Prompt},
    time::{Span, Time},
};

pub mod budget;
pub mod cache;
mod candidates;
mod choose;
pub mod discovery;
mod distance;
pub mod endings;
pub mod engine;
mod loss;
mod packing;
pub mod path;
pub mod peers;
pub mod plan;
pub mod policy;
pub mod pool;
pub mod rate_limit;
pub mod replica;
mod sizes;
mod software;
pub mod split;

/// Estimated milliseconds of a plain call before any was observed.
const INITIAL_PLAIN_MS: f64 = 20.0;
/// Weight of a new observation of a plain call's duration.
const PLAIN_WEIGHT: f64 = 0.05;
/// Time after its start in which a daemon may not yet have received the load of all peers.
const WARM_UP: Span = Span::millis(1_000);
/// KV cache capacity in tokens of engines whose configuration is not yet known.
const DEFAULT_KV_CAPACITY: u64 = 100_000;

/// What this daemon has learned about one service.
#[derive(Clone, Debug)]
struct ServiceState {
    engine: EngineModel,
    plain_call_ms: f64,
    retry_budget: RetryBudget,
    kv_capacity_tokens: u64,
    /// Longest pause between events of a stream that callers accept; `None` if not configured.
    max_pause: Option<Span>,
    /// Requirements on long answers; `None` until one was requested.
    long_answer_limits: Option<LongAnswerLimits>,
    demand_meter: DemandMeter,
    large_prompts: LargePromptFairness,
}

/// What callers require of a service's long answers.
#[derive(Clone, Copy, Debug)]
struct LongAnswerLimits {
    /// Time limit of the most recently requested long answer.
    time_limit: Span,
    /// Token limit of that answer.
    max_output: u32,
    /// Time at which the first long answer must have ended. Until then only shorter ones have ended, which do not
    /// show how long the longest answers are.
    lengths_known_from: Time,
}

impl Default for ServiceState {
    fn default() -> Self {
        Self {
            engine: EngineModel::default(),
            plain_call_ms: INITIAL_PLAIN_MS,
            retry_budget: RetryBudget::default(),
            kv_capacity_tokens: DEFAULT_KV_CAPACITY,
            max_pause: None,
            long_answer_limits: None,
            demand_meter: DemandMeter::default(),
            large_prompts: LargePromptFairness::default(),
        }
    }
}

/// How a step on a replica ended, which determines what is learned from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepEnd {
    /// The replica did what was requested.
    Done,
    /// The replica rejected the request without running it.
    Rejected,
    /// The replica failed, or its answer was lost.
    Failed,
    /// The replica could not be reached or did not answer.
    Silent,
    /// The caller disconnected or the daemon gave up first; nothing is learned.
    Unknown,
}

/// A step that was sent to a replica and has not ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentStep {
    /// The replica.
    pub key: ReplicaKey,
    /// The path that it took.
    pub path: Path,
    /// The load that it adds to the replica.
    pub load: Load,
    /// The prompt tokens to prefill.
    pub prefill: PrefillWork,
    /// The KV cache to be transferred to the replica.
    pub kv_transfer: Option<KvTransfer>,
    /// Predicted milliseconds until it ends.
    pub expected_ms: f64,
    /// Time until this VM's link has sent it.
    pub link_time: Span,
    /// Whether the replica had no other prompt to prefill.
    pub had_no_prefill: bool,
    /// Number of other long answers known to be on the replica.
    pub other_long_answers: u32,
    /// Token limit of the answer.
    pub max_output: u32,
    /// Number of tokens in the answer as estimated by the caller.
    pub output_hint: Option<u32>,
    /// Time at which it was sent.
    pub sent_at: Time,
}

/// A part of a stream that was relayed to the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamPart {
    /// Number of events in this part.
    pub events: u64,
    /// Number of events of the stream up to the end of this part, without the first.
    pub total: u64,
    /// Duration of this part.
    pub took: Span,
    /// Longest time between two of its events; zero if not known.
    pub longest_interval: Span,
}

impl StreamPart {
    /// Mean time between two events; `None` if there were none.
    #[must_use]
    pub fn interval(&self) -> Option<Span> {
        self.took.0.checked_div(self.events).map(Span)
    }
}

/// The replicas of all services as this daemon sees them.
#[derive(Debug, Default)]
pub struct Fleet {
    hall: String,
    policy: FleetPolicy,
    replicas: SlotMap<ReplicaKey, Replica>,
    /// Time from which the load of all peers should be known.
    warm_at: Time,
    /// When this daemon started.
    started_at: Time,
    by_id: HashMap<Arc<str>, ReplicaKey>,
    by_start_id: HashMap<u32, ReplicaKey>,
    services: HashMap<Arc<str>, ServiceState>,
    peers: HashMap<Source, LastReport>,
    prompt_notes: Vec<peers::PromptNote>,
    /// Hash of this daemon's hall.
    hall_hash: u32,
    /// Prompts that daemons of this hall have sent since the last summary for other halls.
    hall_prompt_notes: Vec<peers::PromptNote>,
    candidates: Candidates,
    /// Replicas for which this daemon may have something to report.
    reportable: HashSet<ReplicaKey>,
    hall_latencies: HallLatencies,
    left_software: LeftSoftware,
    /// Replicas that were replaced under their identifiers since replicas that are gone were last removed.
    replaced: Vec<ReplicaFacts>,
    /// Time of the next report of what was learned.
    next_learned_report: Time,
    /// Connections that this VM loses on its own paths.
    loss: LossMeter,
    /// Number of replicas in a row that only peers were found to reach.
    cut_findings: u32,
    /// Number of daemons that are registered, whether or not their reports arrive.
    registered_daemons: usize,
    /// Determines which rate-limit slots belong to this daemon.
    rate_limit_share: RateLimitShare,
    /// Requests during which replicas crashed.
    pub crashes: CrashTracker,
}

impl Fleet {
    /// Creates a fleet without replicas for a daemon in `hall`.
    #[must_use]
    pub fn new(hall: &str, policy: FleetPolicy, now: Time) -> Self {
        Self {
            hall: hall.to_owned(),
            hall_hash: short_id(hall),
            policy,
            warm_at: now + WARM_UP,
            started_at: now,
            ..Self::default()
        }
    }

    /// The replica with this key.
    #[must_use]
    pub fn get(&self, key: ReplicaKey) -> Option<&Replica> {
        self.replicas.get(key)
    }

    /// The key of the replica with this identifier.
    #[must_use]
    pub fn key(&self, id: &str) -> Option<ReplicaKey> {
        self.by_id.get(id).copied()
    }

    /// All replicas.
    pub fn replicas(&self) -> impl Iterator<Item = (ReplicaKey, &Replica)> {
        self.replicas.iter()
    }

    /// Sets the number of registered daemons, including this one.
    pub const fn set_registered_daemons(&mut self, daemons: usize) {
        self.registered_daemons = daemons;
    }

    /// Sets the zero-based rank of this daemon among the registered ones, and the offset from its clock to the time
    /// of day.
    pub fn set_rate_limit_share(&mut self, rank: usize, clock_offset: Span, now: Time) {
        let (daemons, rank) = (self.daemons().max(self.registered_daemons) as u64, rank as u64);
        let changed = (daemons, rank) != (self.rate_limit_share.daemons, self.rate_limit_share.rank);
        let changed_at = if changed { now + clock_offset } else { self.rate_limit_share.changed_at };
        self.rate_limit_share = RateLimitShare { daemons, rank, clock_offset, changed_at };
    }

    /// Sets the configured KV cache capacity of a service's engines, in tokens.
    pub fn set_kv_capacity(&mut self, service: &Arc<str>, tokens: u64) {
        self.service_mut(service).kv_capacity_tokens = tokens;
    }

    /// Sets the longest pause between events of a service's streams that callers accept.
    pub fn set_max_pause(&mut self, service: &Arc<str>, pause: Option<Span>) {
        self.service_mut(service).max_pause = pause;
    }

    /// Learns from a stream that was relayed up to its end.
    pub fn learn_finished_stream(&mut self, sent: &SentStep, stream: &StreamPart, now: Time) {
        let Some(replica) = self.replicas.get(sent.key) else {
            return;
        };
        let state = self.services.entry(Arc::clone(&replica.facts.service)).or_default();
        let long = state.long_answer_limits.filter(|_| sent.load.long_answers > 0);
        if long.is_none_or(|long| long.lengths_known_from.is_past(now)) {
            state.engine.answer_pace.learn_finished(stream.total, sent.max_output);
        }
        state.engine.answer_pace.learn_hint(stream.total, sent.output_hint);
        if let Some(interval) = stream.interval() {
            state.engine.event_pace.learn(interval);
            state.engine.answer_pace.learn_pause(stream.events, interval, stream.longest_interval);
        }
    }

    /// Learns from a part of a stream that was relayed and may continue.
    pub fn learn_stream_part(&mut self, sent: &SentStep, part: &StreamPart) {
        let (Some(replica), Some(interval)) = (self.replicas.get_mut(sent.key), part.interval()) else {
            return;
        };
        let engine = &mut self.services.entry(Arc::clone(&replica.facts.service)).or_default().engine;
        // Until the pace is known, long answers cannot be distinguished from short ones.
        if sent.load.long_answers > 0 || !engine.answer_pace.is_known() {
            let slowness = engine.answer_pace.learn(interval, replica.long_answers(), replica.answer_slowness.value());
            replica.learn_answer_slowness(slowness);
            engine.answer_pace.learn_ongoing(part.total, sent.max_output);
        }
    }

    /// Records a new request, the work it would require of engines, and whether it is admitted.
    pub fn record_demand(
        &mut self,
        service: &Arc<str>,
        req: &RouteRequest<'_>,
        plan: &Plan,
        admitted: bool,
        now: Time,
    ) {
        let state = self.service_mut(service);
        if plan.is_long() && !req.was_refused {
            let lengths_known_from =
                state.long_answer_limits.map_or(now + req.time_left, |long| long.lengths_known_from);
            let max_output = req.prompt.map_or(0, |prompt| prompt.max_output);
            state.long_answer_limits =
                Some(LongAnswerLimits { time_limit: req.time_left, max_output, lengths_known_from });
        }
        if let Some(prompt) = req.prompt.filter(|_| !plan.is_long()) {
            state.large_prompts.record(prompt.tokens, req.was_refused, admitted);
        }
        let prefill = plan.prefill_step().prefill;
        let tokens = prefill.uncached + prefill.cached;
        let request = RequestDemand {
            prefill_ms: state.engine.prefill.duration_ms(prefill),
            transfer_ms: state.engine.kv_transfer.link_ms(KvTransfer { tokens, cross_hall: false }),
            tokens,
            long: plan.is_long(),
            late: plan.is_late(),
        };
        state.demand_meter.record_request(&request, now);
    }

    /// Records that a step starts on a replica; `prompt` is the prompt to prefill. Returns `None` if the replica is
    /// gone or its rate limit or retry time does not let this daemon send now.
    pub fn begin_step(
        &mut self,
        key: ReplicaKey,
        step: &plan::Step,
        prompt: Option<&Prompt>,
        now: Time,
    ) -> Option<SentStep> {
        let replica = self.replicas.get_mut(key)?;
        if !replica.retry_at.is_past(now) || !replica.rate_limit.take_slot(replica.start_id, self.rate_limit_share, now)
        {
            return None;
        }
        let had_no_prefill = replica.own_load.prefill_ms + replica.peer_load.prefill_ms <= 0.0;
        let other_long_answers = replica.long_answers();
        let max_output = prompt.map_or(0, |prompt| prompt.max_output);
        let output_hint = prompt.and_then(|prompt| prompt.output_hint);
        let load = Load {
            prefill_ms: step.work_ms,
            late_ms: if step.late { step.work_ms } else { 0.0 },
            active: 1,
            long_answers: u32::from(step.long),
        };
        replica.own_load = replica.own_load.plus(load);
        replica.health.record_sent();
        self.reportable.insert(key);
        if let Some(prompt) = prompt {
            replica.cache.insert(&prompt.parts);
            self.candidates.record_prompt(key, &prompt.parts);
            self.prompt_notes.push(peers::PromptNote::new(replica.start_id, prompt));
        }
        let expected_ms = step.wait_ms + step.work_ms;
        let link_time = Span::seconds(step.link_ms / 1_000.0);
        let (prefill, kv_transfer) = (step.prefill, step.kv_transfer);
        let path = replica.path.path();
        Some(SentStep {
            key,
            path,
            load,
            prefill,
            kv_transfer,
            expected_ms,
            link_time,
            had_no_prefill,
            other_long_answers,
            max_output,
            output_hint,
            sent_at: now,
        })
    }

    /// Records that the prefill has ended while the request continues; removes its load from the replica and from `sent`.
    pub fn prefill_ended(&mut self, sent: &mut SentStep, end: StepEnd, now: Time) {
        let prefill = Load { prefill_ms: sent.load.prefill_ms, late_ms: sent.load.late_ms, ..Load::default() };
        if let Some(replica) = self.replicas.get_mut(sent.key) {
            replica.own_load = replica.own_load.minus(prefill);
        }
        if end == StepEnd::Done {
            self.learn_prefill(sent, now);
        }
        sent.load = sent.load.minus(prefill);
    }

    /// Records that a step on a replica has ended; returns whether this ejects the replica.
    pub fn end_step(&mut self, sent: &SentStep, end: StepEnd, now: Time) -> bool {
        let Some(replica) = self.replicas.get_mut(sent.key) else {
            return false;
        };
        replica.own_load = replica.own_load.minus(sent.load);
        if replica.own_load.active == 0 {
            // Prevents rounding errors from accumulating.
            replica.own_load.prefill_ms = 0.0;
            replica.own_load.late_ms = 0.0;
        }
        match end {
            StepEnd::Done => replica.health.record_success(),
            // The failure is that of a path which is no longer used.
            StepEnd::Failed | StepEnd::Silent if sent.path != replica.path.path() => replica.health.end_probe(),
            StepEnd::Failed => return replica.health.record_fault(now),
            StepEnd::Silent => return replica.health.record_unreachable(now),
            StepEnd::Rejected | StepEnd::Unknown => replica.health.end_probe(),
        }
        false
    }

    /// Learns from the time that it took to connect to a replica.
    pub fn learn_connection(&mut self, key: ReplicaKey, took: Span) {
        if let Some(replica) = self.replicas.get(key) {
            self.hall_latencies.learn(replica.hall, took);
        }
    }

    /// Records that nothing listens at the address of this start of a replica; returns whether this ejects the
    /// replica.
    ///
    /// Spares other requests and daemons an attempt of their own.
    pub fn mark_unreachable(&mut self, facts: &ReplicaFacts, now: Time) -> bool {
        let key = self.key(&facts.id);
        self.reportable.extend(key);
        let replica = key.and_then(|key| self.replicas.get_mut(key));
        let replica = replica.filter(|replica| replica.facts.is_same_start(facts));
        replica.is_some_and(|replica| replica.health.record_unreachable(now))
    }

    /// Applies the rate limit, or its absence, from the response of this start of a replica to a request that was sent
    /// at `sent_at`; returns whether the limit changed.
    pub fn set_rate_limit(&mut self, facts: &ReplicaFacts, limit: Option<f64>, sent_at: Time, now: Time) -> bool {
        let Some(key) = self.key(&facts.id) else {
            return false;
        };
        let share = self.rate_limit_share;
        let replica = self.replicas.get_mut(key).filter(|replica| replica.facts.is_same_start(facts));
        let Some(replica) = replica else {
            return false;
        };
        let changed = replica.rate_limit.update_from_response(limit, sent_at, share, now);
        if changed || limit.is_some() {
            self.reportable.insert(key);
        }
        changed
    }

    /// Postpones the time from which a replica accepts requests from this daemon again; returns whether it changed.
    ///
    /// Has no effect if `retry_at` is not later than the current retry time, or if the replica is unknown or has
    /// restarted since it was selected.
    pub fn set_retry_at(&mut self, facts: &ReplicaFacts, retry_at: Time) -> bool {
        let replica = self.key(&facts.id).and_then(|key| self.replicas.get_mut(key));
        let Some(replica) = replica.filter(|replica| replica.facts.is_same_start(facts)) else {
            return false;
        };
        let is_later = retry_at > replica.retry_at;
        replica.retry_at = replica.retry_at.max(retry_at);
        is_later
    }

    /// Marks a replica as draining because a response states that it is leaving; returns whether the mark is new.
    ///
    /// Has no effect if the replica is unknown or has restarted since it was selected.
    pub fn set_draining(&mut self, facts: &ReplicaFacts) -> bool {
        let replica = self.key(&facts.id).and_then(|key| self.replicas.get_mut(key));
        let replica = replica.filter(|replica| replica.facts.is_same_start(facts) && !replica.facts.draining);
        let is_new = replica.is_some();
        if let Some(replica) = replica {
            replica.facts.draining = true;
        }
        is_new
    }

    /// Whether the replica is known to have restarted since `facts` were stated.
    #[must_use]
    pub fn is_replaced(&self, facts: &ReplicaFacts) -> bool {
        let replica = self.key(&facts.id).and_then(|key| self.replicas.get(key));
        replica.is_some_and(|replica| !replica.facts.is_same_start(facts))
    }

    /// Whether the replica is draining or no longer listed, so that its process ends as planned.
    #[must_use]
    pub fn has_left(&self, facts: &ReplicaFacts) -> bool {
        let replica = self.key(&facts.id).and_then(|key| self.replicas.get(key));
        replica.is_none_or(|replica| replica.facts.draining || replica.gone_at != Time::NEVER)
    }

    /// Learns from a plain call that took `took`.
    pub fn learn_plain_call(&mut self, sent: &SentStep, took: Span, now: Time) {
        let Some(replica) = self.replicas.get_mut(sent.key) else {
            return;
        };
        replica.learn_slowness(sent.expected_ms, took, now);
        let service = Arc::clone(&replica.facts.service);
        let state = self.service_mut(&service);
        state.plain_call_ms += PLAIN_WEIGHT * (took.as_millis_f64() - state.plain_call_ms);
    }

    /// Decides how to treat a request, given the replicas that crashed during it.
    pub fn treatment(&mut self, content: ContentHash, now: Time) -> Treatment {
        let daemons = self.daemons();
        let is_cut_off = daemons == 1 && self.registered_daemons > 1;
        self.crashes.treatment(content, daemons, is_cut_off, now)
    }

    /// Decides how to treat a request, given the replicas that crashed during requests with these parts.
    pub fn part_treatment(&mut self, parts: &[PartId], now: Time) -> PartTreatment {
        let daemons = self.daemons();
        self.crashes.parts.treatment(parts, daemons, now)
    }

    /// Adds a new request to the retry budget of a service.
    pub fn record_request(&mut self, service: &Arc<str>, terms: &RetryBudgetTerms, now: Time) {
        self.service_mut(service).retry_budget.record_request(terms, now);
    }

    /// Charges an attempt that turned out to be a retry only after it was sent.
    pub fn charge_retry(&mut self, service: &Arc<str>, terms: &RetryBudgetTerms, now: Time) {
        self.service_mut(service).retry_budget.charge(terms, now);
    }

    /// Takes `count` retries from the budget of a service; returns whether the budget allows them.
    pub fn take_retries(&mut self, count: u32, service: &Arc<str>, terms: &RetryBudgetTerms, now: Time) -> bool {
        // A daemon that is cut off from its peers must not use their shares of the budget.
        let daemons = self.daemons().max(self.registered_daemons);
        let share = BudgetShare { daemons, started_at: self.started_at };
        self.service_mut(service).retry_budget.take(count, terms, share, now)
    }

    fn learn_prefill(&mut self, sent: &SentStep, now: Time) {
        let Some(replica) = self.replicas.get_mut(sent.key) else {
            return;
        };
        let took = now.since(sent.sent_at);
        replica.learn_slowness(sent.expected_ms, took, now);
        let (service, role) = (Arc::clone(&replica.facts.service), replica.facts.role);
        let took = Span(took.0.saturating_sub(sent.link_time.0));
        let engine = &mut self.service_mut(&service).engine;
        match sent.kv_transfer {
            Some(transfer) => engine.kv_transfer.learn(transfer, took),
            None if !sent.had_no_prefill => {}
            None if role == Role::Decode => engine.prefill.learn_decode(sent.prefill, took),
            None => engine.prefill.learn(sent.prefill, took),
        }
    }

    fn service_mut(&mut self, name: &Arc<str>) -> &mut ServiceState {
        self.services.entry(Arc::clone(name)).or_default()
    }
}

/// Short identifier of a replica, service or hall in messages between daemons.
#[must_use]
pub fn short_id(id: &str) -> u32 {
    crate::hash::bytes(id.as_bytes()) as u32
}

//! Request dispatch: admission, queueing, endpoint choice and retries.
//!
//! The driver submits requests, reports the events of each attempt, calls [`Dispatcher::pump`] after each
//! change and on each tick, and carries out the returned [`Action`]s. Each daemon runs its own dispatcher,
//! which decides without consulting the others.

mod shed;

use std::collections::HashMap;

use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use crate::{
    bucket::TokenBucket,
    choose::{Candidate, Choice, EndpointRows, PoolIndex, choose},
    endpoint::{AdminState, Endpoint, EndpointKey, EngineLoad, PoolKey, Rates, Role},
    limit::TeamLimits,
    mix::DemandAverages,
    outcome::{AttemptEnd, Outcome, combined_outcome},
    predict::{learn_plain, learn_prefill, learn_step, uncached},
    queue::{Queue, QueueEntry},
    request::{Request, RequestKey, RequestSpec, Stage},
    time::{Span, Time},
};

/// Settings of the dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Whether requests that cannot meet their deadline are refused early.
    pub admission: bool,
    /// Maximum number of waiting requests in one pool.
    pub queue_limit: usize,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Average number of retries allowed per new request.
    pub retry_ratio: f64,
    /// Factor applied to the predicted response time before it is compared with the deadline.
    pub refuse_margin: f64,
    /// Time without a token after which an attempt counts as stalled, or three times the predicted time to the
    /// first token if that is longer.
    pub stall_timeout: Span,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            admission: true,
            queue_limit: 1_024,
            max_attempts: 4,
            retry_ratio: 0.2,
            refuse_margin: 1.0,
            stall_timeout: Span::millis(5_000),
        }
    }
}

/// Capacity of the retry token bucket, in retries.
const RETRY_BURST: f64 = 50.0;
/// Retries per second that the bucket regains when no new requests arrive.
const MIN_RETRY_RATE: f64 = 1.0;
/// Minimum share of a pool that this daemon assumes to have, in endpoints.
const MIN_ENDPOINT_SHARE: f64 = 0.1;
/// Minimum wait that a refused caller is given.
const MIN_RETRY_AFTER: Span = Span::millis(200);

/// Reason why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The team's rate limit is used up.
    TeamLimit,
    /// The pool's queue is full.
    QueueFull,
    /// The deadline cannot be met.
    TooLate,
    /// The pool has no endpoint that can finish a request.
    NoEndpoint,
}

/// An instruction to the driver.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestKey,
        /// Number of the attempt within the request, from zero.
        attempt: u32,
        /// The chosen endpoint and the reason for it.
        choice: Choice,
    },
    /// Refuse the request and answer its caller now.
    Refuse {
        /// The request, already removed from the table.
        request: RequestKey,
        /// Outcome over all attempts so far.
        outcome: Outcome,
        /// Reason of the refusal.
        reason: Refusal,
        /// Earliest time at which the caller should retry.
        retry_at: Time,
        /// Candidates of the last endpoint choice, if one was made.
        candidates: Vec<Candidate>,
    },
    /// Stop the current attempt, then report its end with [`Dispatcher::attempt_ended`].
    Stop {
        /// The request.
        request: RequestKey,
        /// The end to report.
        end: AttemptEnd,
    },
}

/// Whether a request is tried again after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request is finished with this outcome.
    Finished(Outcome),
    /// The request waits in the queue for another attempt.
    Retry,
}

/// The engine of an attempt that an end is attributed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Site {
    /// The prefill engine.
    Prefill,
    /// The engine that decodes, or the only endpoint.
    Serving,
}

/// Endpoints of an attempt, and its state when it ended.
#[derive(Clone, Copy, Debug)]
struct Placement {
    endpoint: EndpointKey,
    prefill: Option<EndpointKey>,
    awaiting_first_token: bool,
    sent_at: Time,
}

impl Placement {
    const fn of(request: &Request, endpoint: EndpointKey, prefill: Option<EndpointKey>) -> Self {
        Self { endpoint, prefill, awaiting_first_token: !request.first_token_seen, sent_at: request.sent_at }
    }

    fn endpoint_at(&self, at: Site) -> EndpointKey {
        match at {
            Site::Prefill => self.prefill.unwrap_or(self.endpoint),
            Site::Serving => self.endpoint,
        }
    }
}

/// State of one pool.
#[derive(Clone, Debug, Default)]
struct Pool {
    rates: Rates,
    /// This daemon's share of the open endpoints, updated on each tick.
    endpoint_share: f64,
    index: PoolIndex,
    queue: Queue,
    demand: DemandAverages,
}

/// Endpoint table. A type of its own, so that it can be borrowed while other tables are changed.
#[derive(Debug, Default)]
struct Endpoints(SlotMap<EndpointKey, Endpoint>);

impl EndpointRows for Endpoints {
    fn row(&self, key: EndpointKey) -> &Endpoint {
        &self.0[key]
    }
}

/// Tables of requests, endpoints and pools, with the operations on them.
#[derive(Debug)]
pub struct Dispatcher {
    policy: Policy,
    pools: SlotMap<PoolKey, Pool>,
    endpoints: Endpoints,
    requests: SlotMap<RequestKey, Request>,
    limits: TeamLimits,
    retries: TokenBucket,
    rng: SmallRng,
    live_daemons: usize,
}

impl Dispatcher {
    /// Creates an empty dispatcher.
    #[must_use]
    pub fn new(policy: Policy, seed: u64, now: Time) -> Self {
        Self {
            policy,
            pools: SlotMap::with_key(),
            endpoints: Endpoints::default(),
            requests: SlotMap::with_key(),
            limits: TeamLimits::default(),
            retries: TokenBucket::new(MIN_RETRY_RATE, RETRY_BURST, now),
            rng: SmallRng::seed_from_u64(seed),
            live_daemons: 1,
        }
    }

    /// Adds a pool. Its endpoints start with `rates` until rates are learned.
    pub fn add_pool(&mut self, rates: Rates) -> PoolKey {
        self.pools.insert(Pool { rates, ..Pool::default() })
    }

    /// Sets the configured rates of a pool, with which endpoints added later start.
    pub fn set_rates(&mut self, pool: PoolKey, rates: Rates) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.rates = rates;
        }
    }

    /// Adds an endpoint to a pool.
    pub fn add_endpoint(&mut self, name: &str, pool: PoolKey, role: Role) -> EndpointKey {
        let row = Endpoint::new(name, pool, role, self.pools[pool].rates, self.live_daemons);
        let hash = row.hash;
        let key = self.endpoints.0.insert(row);
        self.pools[pool].index.insert(key, hash, role);
        self.update_endpoint_share(pool, Time::default());
        key
    }

    /// Removes an endpoint. The returned actions stop the attempts there that may be moved; the row stays until
    /// the last attempt has ended.
    pub fn remove_endpoint(&mut self, key: EndpointKey) -> Vec<Action> {
        let Some(row) = self.endpoints.0.get_mut(key) else {
            return Vec::new();
        };
        row.admin_state = AdminState::Draining;
        row.removed = true;
        let pool = row.pool;
        self.pools[pool].index.remove(key);
        if self.requests.values().any(|r| is_placed_on(r, key)) {
            return self.stop_movable(key);
        }
        self.endpoints.0.remove(key);
        Vec::new()
    }

    /// Returns the row of an endpoint.
    #[must_use]
    pub fn endpoint(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.0.get(key)
    }

    /// Returns the row of an endpoint for changes.
    pub fn endpoint_mut(&mut self, key: EndpointKey) -> Option<&mut Endpoint> {
        self.endpoints.0.get_mut(key)
    }

    /// Iterates over all endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.0.iter()
    }

    /// Returns the row of a request.
    #[must_use]
    pub fn request(&self, key: RequestKey) -> Option<&Request> {
        self.requests.get(key)
    }

    /// Number of requests in the table.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Number of waiting requests in all pools.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        self.pools.values().map(|pool| pool.queue.len()).sum()
    }

    /// Average demand that arrived at this daemon for `pool`.
    #[must_use]
    pub fn demand(&self, pool: PoolKey) -> Option<&DemandAverages> {
        self.pools.get(pool).map(|p| &p.demand)
    }

    /// Sets the rate limits of the teams, in requests per second over all daemons, and the number of live
    /// daemons.
    pub fn set_team_rates(&mut self, rates: HashMap<String, f64>, live_daemons: usize, now: Time) {
        self.live_daemons = live_daemons.max(1);
        self.limits.configure(rates, live_daemons, now);
    }

    /// Changes an endpoint's role.
    pub fn set_role(&mut self, key: EndpointKey, role: Role) {
        let Some(row) = self.endpoints.0.get_mut(key) else { return };
        if row.role == role {
            return;
        }
        row.role = role;
        let (pool, hash) = (row.pool, row.hash);
        let index = &mut self.pools[pool].index;
        index.remove(key);
        index.insert(key, hash, role);
    }

    /// Changes whether an endpoint takes new work. The returned actions stop the attempts that may be moved.
    pub fn set_admin_state(&mut self, key: EndpointKey, state: AdminState) -> Vec<Action> {
        let Some(row) = self.endpoints.0.get_mut(key) else {
            return Vec::new();
        };
        if row.admin_state == state {
            return Vec::new();
        }
        row.admin_state = state;
        match state {
            AdminState::Serving => Vec::new(),
            AdminState::Draining => self.stop_movable(key),
        }
    }

    /// Numbers of protected and of other attempts at `key`.
    #[must_use]
    pub fn in_flight(&self, key: EndpointKey) -> (usize, usize) {
        let placed = self.requests.values().filter(|r| is_placed_on(r, key));
        let (protected, other): (Vec<_>, Vec<_>) = placed.partition(|r| r.spec.kind.protected);
        (protected.len(), other.len())
    }

    /// Records an endpoint's load report, which was valid at `at`.
    pub fn observe(&mut self, key: EndpointKey, report: EngineLoad, at: Time) {
        if let Some(row) = self.endpoints.0.get_mut(key) {
            row.observe(report, at);
        }
    }

    /// Adds a request to its pool's queue.
    ///
    /// # Errors
    /// Returns the reason of the refusal and the earliest time to retry.
    pub fn submit(&mut self, team: &str, spec: RequestSpec, now: Time) -> Result<RequestKey, (Refusal, Time)> {
        let pool = &self.pools[spec.pool];
        if pool.index.is_empty() {
            return Err((Refusal::NoEndpoint, now + Span::millis(1_000)));
        }
        if pool.queue.len() >= self.policy.queue_limit {
            return Err((Refusal::QueueFull, now + Span::millis(1_000)));
        }
        self.limits.take(team, now).map_err(|at| (Refusal::TeamLimit, at))?;
        let key = self.requests.insert(Request {
            spec,
            stage: Stage::Waiting,
            arrived_at: now,
            sent_at: now,
            delivered: 0,
            last_token_at: now,
            first_token_seen: false,
            attempt_ends: Vec::new(),
            avoided: Vec::new(),
            predicted_first_token: 0.0,
        });
        let pool = &mut self.pools[spec.pool];
        pool.queue.insert(queue_entry(key, &spec));
        pool.demand.add_request(spec.prompt_tokens, spec.output_tokens, now);
        let gain = self.policy.retry_ratio;
        self.retries.take(-gain, now);
        Ok(key)
    }

    /// Sends the waiting requests of one pool that have a free endpoint, and refuses those that cannot meet
    /// their deadline.
    pub fn pump(&mut self, pool: PoolKey, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.policy.admission {
            self.shed(pool, now, &mut actions);
        }
        self.send_waiting(pool, now, &mut actions);
        actions
    }

    /// Stops stalled attempts, then runs [`Dispatcher::pump`] on each pool.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.stop_stalled(now);
        let pools: Vec<_> = self.pools.keys().collect();
        for pool in pools {
            self.update_endpoint_share(pool, now);
            actions.extend(self.pump(pool, now));
        }
        actions
    }

    /// Records that the current attempt delivered `tokens` tokens.
    pub fn progress(&mut self, key: RequestKey, tokens: u32, now: Time) {
        let Some(request) = self.requests.get_mut(key) else { return };
        let Stage::Running { endpoint, prefill } = request.stage else { return };
        let since = now.since(request.last_token_at).as_seconds();
        request.last_token_at = now;
        request.delivered += tokens;
        let configured = self.pools[request.spec.pool].rates;
        if request.first_token_seen {
            if let Some(row) = self.endpoints.0.get_mut(endpoint) {
                learn_step(row, since, configured.step);
            }
            return;
        }
        request.first_token_seen = true;
        let at = prefill.unwrap_or(endpoint);
        let (spec, predicted) = (request.spec, request.predicted_first_token);
        if let Some(row) = self.endpoints.0.get_mut(at) {
            release_prefill(row, &spec);
            let work = crate::predict::backlog(row, request.sent_at) + f64::from(spec.prompt_tokens);
            learn_prefill(row, work, since, configured.prefill);
        }
        let timely = since <= (predicted * 2.0).max(0.25);
        if let Some(row) = self.endpoints.0.get_mut(endpoint) {
            row.window.adapt(timely);
        }
    }

    /// Records how the current attempt ended and at which of its engines. Does nothing when no attempt is
    /// running.
    pub fn attempt_ended(&mut self, key: RequestKey, end: AttemptEnd, at: Site, now: Time) -> RetryDecision {
        let Some(request) = self.requests.get_mut(key) else {
            return RetryDecision::Finished(Outcome::Unknown);
        };
        let spec = request.spec;
        let Stage::Running { endpoint, prefill } = request.stage else {
            return RetryDecision::Retry;
        };
        let placement = Placement::of(request, endpoint, prefill);
        // After a delivered token the endpoint cannot claim that nothing ran.
        let end = if request.first_token_seen && end.is_certainly_not_run() { AttemptEnd::Broken } else { end };
        request.attempt_ends.push(end);
        if end != AttemptEnd::Whole && end != AttemptEnd::Cancelled {
            request.avoided.push(placement.endpoint_at(at));
        }
        self.finish_placement(&placement, &spec, end, at, now);
        let request = &self.requests[key];
        // Only the end marker can be missing, and an engine that resumes there may generate surplus tokens.
        let is_whole = request.has_all_tokens();
        let outcome = if is_whole { Outcome::Whole } else { combined_outcome(&request.attempt_ends) };
        let may_repeat = spec.kind.repeatable || outcome == Outcome::NotRun;
        let is_finished = is_whole
            || matches!(end, AttemptEnd::Whole | AttemptEnd::Rejected)
            || !may_repeat
            || spec.deadline.is_past(now)
            || request.attempt_number() >= self.policy.max_attempts;
        if is_finished || !self.may_retry(end, now) {
            self.requests.remove(key);
            return RetryDecision::Finished(outcome);
        }
        self.requeue(key);
        RetryDecision::Retry
    }

    /// Removes a request because its caller disconnected or the driver abandons it.
    pub fn cancel(&mut self, key: RequestKey, now: Time) {
        let Some(request) = self.requests.remove(key) else { return };
        match request.stage {
            Stage::Waiting => self.pools[request.spec.pool].queue.remove(&queue_entry(key, &request.spec)),
            Stage::Running { endpoint, prefill } => {
                let placement = Placement::of(&request, endpoint, prefill);
                self.finish_placement(&placement, &request.spec, AttemptEnd::Cancelled, Site::Serving, now);
            }
        }
    }

    fn may_retry(&mut self, end: AttemptEnd, now: Time) -> bool {
        // Requests that the endpoint did not run and planned moves put no load on it and are not faults, so they
        // use no retry budget.
        let free = matches!(end, AttemptEnd::Refused | AttemptEnd::Cancelled);
        free || self.retries.take(1.0, now)
    }

    fn requeue(&mut self, key: RequestKey) {
        let request = &mut self.requests[key];
        request.stage = Stage::Waiting;
        request.first_token_seen = false;
        let spec = request.spec;
        let has_alternative = self.pools[spec.pool].index.serving_endpoints().any(|k| !request.avoided.contains(&k));
        if !has_alternative {
            request.avoided.clear();
        }
        self.pools[spec.pool].queue.insert(queue_entry(key, &spec));
    }

    fn finish_placement(&mut self, placement: &Placement, spec: &RequestSpec, end: AttemptEnd, at: Site, now: Time) {
        let prefiller = placement.prefill.unwrap_or(placement.endpoint);
        if placement.awaiting_first_token
            && let Some(row) = self.endpoints.0.get_mut(prefiller)
        {
            release_prefill(row, spec);
        }
        let faulty = placement.endpoint_at(at);
        for key in placement.prefill.into_iter().chain([placement.endpoint]) {
            let Some(row) = self.endpoints.0.get_mut(key) else { continue };
            row.window.record_end();
            match end {
                AttemptEnd::Whole => {
                    row.health.record_success();
                    learn_plain(row, now.since(placement.sent_at));
                }
                end if end.is_fault() && key == faulty => {
                    row.health.record_fault(now);
                    row.window.adapt(false);
                }
                _ => row.health.end_probe(),
            }
            self.drop_if_removed(key);
        }
    }

    /// Drops the row of a removed endpoint after its last attempt.
    fn drop_if_removed(&mut self, key: EndpointKey) {
        let row = &self.endpoints.0[key];
        if row.removed && row.window.in_flight() == 0 {
            self.endpoints.0.remove(key);
        }
    }

    fn send_waiting(&mut self, pool: PoolKey, now: Time, actions: &mut Vec<Action>) {
        let waiting: Vec<_> = self.pools[pool].queue.iter().collect();
        for key in waiting {
            let request = &self.requests[key];
            let urgent = request.spec.kind.is_urgent();
            match choose(&self.endpoints, &self.pools[pool].index, request, now, &mut self.rng) {
                Ok(choice) => self.send_or_refuse(key, choice, now, actions),
                Err(candidates) if request.spec.deadline.is_past(now) => {
                    self.refuse(key, Refusal::TooLate, candidates, now, actions);
                }
                // That an urgent request, or one that needs an adapter or avoids endpoints, finds no endpoint says
                // nothing about the requests behind it. If any other request finds none, the pool is full.
                Err(_) if urgent || request.spec.adapter != 0 || !request.avoided.is_empty() => {}
                Err(_) => break,
            }
        }
    }

    fn send_or_refuse(&mut self, key: RequestKey, choice: Choice, now: Time, actions: &mut Vec<Action>) {
        let request = &self.requests[key];
        let remaining = request.spec.deadline.since(now).as_seconds();
        let late = choice.chosen.prediction.total * self.policy.refuse_margin > remaining;
        if self.policy.admission && late && request.delivered == 0 {
            self.refuse(key, Refusal::TooLate, choice.candidates, now, actions);
            return;
        }
        self.send(key, choice, now, actions);
    }

    fn send(&mut self, key: RequestKey, choice: Choice, now: Time, actions: &mut Vec<Action>) {
        let Candidate { endpoint, prefill, prediction, .. } = choice.chosen;
        let request = &mut self.requests[key];
        request.stage = Stage::Running { endpoint, prefill };
        request.sent_at = now;
        request.last_token_at = now;
        request.predicted_first_token = prediction.first_token;
        let spec = request.spec;
        let attempt = request.attempt_number();
        self.pools[spec.pool].queue.remove(&queue_entry(key, &spec));
        let at = &mut self.endpoints.0[prefill.unwrap_or(endpoint)];
        let tokens = uncached(at, &spec);
        at.own_prefill_tokens += tokens;
        at.own_tokens_since_report += tokens;
        at.add_prefix(spec.prefix, now);
        for row in prefill.into_iter().chain([endpoint]) {
            self.endpoints.0[row].window.record_sent();
            self.endpoints.0[row].health.record_sent();
        }
        actions.push(Action::Send { request: key, attempt, choice });
    }

    fn refuse(
        &mut self,
        key: RequestKey,
        reason: Refusal,
        candidates: Vec<Candidate>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.remove(key) else { return };
        let pool = &mut self.pools[request.spec.pool];
        pool.queue.remove(&queue_entry(key, &request.spec));
        let endpoint_share = self.pools[request.spec.pool].endpoint_share;
        let queued_seconds = self.queued_cost(request.spec.pool) / endpoint_share;
        actions.push(Action::Refuse {
            request: key,
            outcome: combined_outcome(&request.attempt_ends),
            reason,
            retry_at: now + Span::seconds(queued_seconds).max(MIN_RETRY_AFTER),
            candidates,
        });
    }

    fn stop_stalled(&self, now: Time) -> Vec<Action> {
        let limit = |r: &Request| self.policy.stall_timeout.max(Span::seconds(r.predicted_first_token * 3.0));
        self.requests
            .iter()
            .filter(|(_, r)| matches!(r.stage, Stage::Running { .. }))
            .filter(|(_, r)| (r.last_token_at + limit(r)).is_past(now))
            .map(|(request, _)| Action::Stop { request, end: AttemptEnd::Stalled })
            .collect()
    }

    /// Stops attempts at `key` that may be moved: repeatable and not protected.
    fn stop_movable(&self, key: EndpointKey) -> Vec<Action> {
        self.requests
            .iter()
            .filter(|(_, r)| is_placed_on(r, key) && r.spec.kind.repeatable && !r.spec.kind.protected)
            .map(|(request, _)| Action::Stop { request, end: AttemptEnd::Cancelled })
            .collect()
    }
}

fn is_placed_on(request: &Request, key: EndpointKey) -> bool {
    match request.stage {
        Stage::Running { endpoint, prefill } => endpoint == key || prefill == Some(key),
        Stage::Waiting => false,
    }
}

fn release_prefill(row: &mut Endpoint, spec: &RequestSpec) {
    let tokens = f64::from(spec.prompt_tokens);
    row.own_prefill_tokens = (row.own_prefill_tokens - tokens).max(0.0);
}

fn queue_entry(key: RequestKey, spec: &RequestSpec) -> QueueEntry {
    let urgent = spec.kind.is_urgent().then_some(spec.kind.priority);
    QueueEntry::new(urgent, spec.deadline, key)
}

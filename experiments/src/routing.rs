//! Routing policies to compare: that of dahliaseam, and baselines.

use dahliaseam_core::{
    dispatch::{Action, Dispatcher, Policy, RetryDecision, Site},
    endpoint::{AdminState, EndpointKey, EngineLoad, PoolKey, Rates, Role},
    outcome::AttemptEnd,
    request::{RequestKey, RequestSpec},
    time::{Span, Time},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use slotmap::SecondaryMap;
use stand_ins::model::ModelParams;

use crate::workload::{Arrival, Kind};

/// Command that a policy gives to the simulation.
#[derive(Clone, Copy, Debug)]
pub enum Command {
    /// Send a request to an engine, possibly after another has prefilled its prompt.
    Send {
        /// Index of the request.
        request: usize,
        /// Index of the engine.
        engine: usize,
        /// Index of the engine that prefills the prompt, if it is another one.
        prefill: Option<usize>,
    },
    /// Refuse a request.
    Refuse(usize),
    /// Cancel a request at its engine.
    Cancel(usize),
}

/// Policy under test. Each call concerns one daemon.
pub trait RoutingPolicy {
    /// A request arrived.
    fn request_arrived(
        &mut self,
        daemon: usize,
        request: usize,
        arrival: &Arrival,
        kind: &Kind,
        now: Time,
    ) -> Vec<Command>;
    /// A token of a request arrived.
    fn token(&mut self, daemon: usize, request: usize, now: Time);
    /// An attempt at a request ended or was cancelled.
    fn attempt_ended(&mut self, daemon: usize, request: usize, end: AttemptEnd, now: Time) -> Vec<Command>;
    /// A load report arrived.
    fn report(&mut self, daemon: usize, engine: usize, load: EngineLoad, at: Time);
    /// An engine was opened or closed to new work, or its role changed.
    fn set_endpoint_state(&mut self, daemon: usize, engine: usize, open: bool, role: Role, now: Time) -> Vec<Command>;
    /// Called at regular intervals.
    fn tick(&mut self, daemon: usize, now: Time) -> Vec<Command>;
    /// Returns the short and long averages of the demand seen by a daemon.
    fn demand(&self, daemon: usize, now: Time) -> Option<dahliaseam_core::planner::AverageDemand>;
}

/// Kind of policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The next engine in turn.
    RoundRobin,
    /// The engine with the least load in its last report.
    LeastReported,
    /// The better of two engines drawn at random, by report and own requests in flight.
    TwoChoices,
    /// The policy of dahliaseam, without early refusal and without a limit on its queue.
    NoAdmission,
    /// The policy of dahliaseam.
    Dahliaseam,
}

impl PolicyKind {
    /// All kinds.
    pub const ALL: [Self; 5] =
        [Self::RoundRobin, Self::LeastReported, Self::TwoChoices, Self::NoAdmission, Self::Dahliaseam];

    /// Name in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastReported => "least by report",
            Self::TwoChoices => "two choices",
            Self::NoAdmission => "no admission",
            Self::Dahliaseam => "dahliaseam",
        }
    }

    /// Creates the policy for the given number of daemons and roles of engines.
    #[must_use]
    pub fn build(self, daemons: usize, roles: &[Role], params: &ModelParams, seed: u64) -> Box<dyn RoutingPolicy> {
        match self {
            Self::Dahliaseam => Box::new(DahliaseamPolicy::new(daemons, roles, params, seed, Policy::default())),
            Self::NoAdmission => {
                let policy = Policy { admission: false, queue_limit: usize::MAX, ..Policy::default() };
                Box::new(DahliaseamPolicy::new(daemons, roles, params, seed, policy))
            }
            _ => Box::new(Baseline::new(self, daemons, roles, seed)),
        }
    }
}

/// Dispatcher of one daemon, with the mapping between its keys and the simulation's indices.
#[derive(Debug)]
struct Daemon {
    dispatcher: Dispatcher,
    pool: PoolKey,
    engines: Vec<EndpointKey>,
    index: SecondaryMap<EndpointKey, usize>,
    requests: SecondaryMap<RequestKey, usize>,
}

/// The policy of dahliaseam, with a dispatcher for each daemon.
#[derive(Debug)]
pub struct DahliaseamPolicy {
    daemons: Vec<Daemon>,
    keys: Vec<Option<RequestKey>>,
}

impl DahliaseamPolicy {
    /// Creates dispatchers for the given number of daemons.
    #[must_use]
    pub fn new(daemons: usize, roles: &[Role], params: &ModelParams, seed: u64, policy: Policy) -> Self {
        let rates = Rates {
            prefill: params.prefill_rate,
            step: params.step,
            step_per_seq: params.step_per_seq,
            slots: params.slots,
        };
        let new_daemon = |n: usize| {
            let mut dispatcher = Dispatcher::new(policy, seed.wrapping_mul(31) + n as u64, Time::default());
            dispatcher.set_team_rates(std::collections::HashMap::new(), daemons, Time::default());
            let pool = dispatcher.add_pool(rates);
            let add = |(i, role): (usize, &Role)| dispatcher.add_endpoint(&format!("engine-{i}"), pool, *role);
            let engines: Vec<_> = roles.iter().enumerate().map(add).collect();
            let index = engines.iter().enumerate().map(|(i, key)| (*key, i)).collect();
            Daemon { dispatcher, pool, engines, index, requests: SecondaryMap::new() }
        };
        Self { daemons: (0..daemons).map(new_daemon).collect(), keys: Vec::new() }
    }

    fn commands(&mut self, daemon: usize, actions: Vec<Action>) -> Vec<Command> {
        let daemon = &mut self.daemons[daemon];
        let mut commands = Vec::new();
        for action in actions {
            match action {
                Action::Send { request, choice, .. } => commands.push(Command::Send {
                    request: daemon.requests[request],
                    engine: daemon.index[choice.chosen.endpoint],
                    prefill: choice.chosen.prefill.map(|key| daemon.index[key]),
                }),
                Action::Refuse { request, .. } => {
                    commands.extend(daemon.requests.remove(request).map(Command::Refuse));
                }
                Action::Stop { request, .. } => commands.push(Command::Cancel(daemon.requests[request])),
            }
        }
        commands
    }

    fn key(&self, request: usize) -> Option<RequestKey> {
        self.keys.get(request).copied().flatten()
    }
}

impl RoutingPolicy for DahliaseamPolicy {
    fn request_arrived(
        &mut self,
        daemon: usize,
        request: usize,
        arrival: &Arrival,
        kind: &Kind,
        now: Time,
    ) -> Vec<Command> {
        let state = &mut self.daemons[daemon];
        let spec = RequestSpec {
            pool: state.pool,
            kind: kind.traits,
            prompt_tokens: arrival.prompt,
            output_tokens: arrival.output,
            prefix: arrival.prefix,
            adapter: 0,
            deadline: now + Span::seconds(kind.deadline),
        };
        let Ok(key) = state.dispatcher.submit("team", spec, now) else {
            return vec![Command::Refuse(request)];
        };
        state.requests.insert(key, request);
        if self.keys.len() <= request {
            self.keys.resize(request + 1, None);
        }
        self.keys[request] = Some(key);
        let actions = state.dispatcher.pump(state.pool, now);
        self.commands(daemon, actions)
    }

    fn token(&mut self, daemon: usize, request: usize, now: Time) {
        if let Some(key) = self.key(request) {
            self.daemons[daemon].dispatcher.progress(key, 1, now);
        }
    }

    fn attempt_ended(&mut self, daemon: usize, request: usize, end: AttemptEnd, now: Time) -> Vec<Command> {
        let Some(key) = self.key(request) else { return Vec::new() };
        let state = &mut self.daemons[daemon];
        let next = state.dispatcher.attempt_ended(key, end, Site::Serving, now);
        let mut commands = Vec::new();
        if let RetryDecision::Finished(_) = next {
            self.keys[request] = None;
            state.requests.remove(key);
            if end != AttemptEnd::Whole {
                commands.push(Command::Refuse(request));
            }
        }
        let actions = state.dispatcher.pump(state.pool, now);
        commands.extend(self.commands(daemon, actions));
        commands
    }

    fn report(&mut self, daemon: usize, engine: usize, load: EngineLoad, at: Time) {
        let daemon = &mut self.daemons[daemon];
        daemon.dispatcher.observe(daemon.engines[engine], load, at);
    }

    fn set_endpoint_state(&mut self, daemon: usize, engine: usize, open: bool, role: Role, now: Time) -> Vec<Command> {
        let state = &mut self.daemons[daemon];
        let key = state.engines[engine];
        state.dispatcher.set_role(key, role);
        let mut actions =
            state.dispatcher.set_admin_state(key, if open { AdminState::Serving } else { AdminState::Draining });
        actions.extend(state.dispatcher.pump(state.pool, now));
        self.commands(daemon, actions)
    }

    fn tick(&mut self, daemon: usize, now: Time) -> Vec<Command> {
        let actions = self.daemons[daemon].dispatcher.tick(now);
        self.commands(daemon, actions)
    }

    fn demand(&self, daemon: usize, now: Time) -> Option<dahliaseam_core::planner::AverageDemand> {
        let state = &self.daemons[daemon];
        let mix = state.dispatcher.demand(state.pool)?;
        Some(dahliaseam_core::planner::AverageDemand { short: mix.short(now), long: mix.long(now) })
    }
}

/// Baseline policy, which sends each request at once, without admission control.
#[derive(Debug)]
struct Baseline {
    policy: PolicyKind,
    roles: Vec<Role>,
    is_open: Vec<bool>,
    next: Vec<usize>,
    loads: Vec<Vec<EngineLoad>>,
    in_flight: Vec<Vec<u32>>,
    assigned: Vec<Option<usize>>,
    attempts: Vec<u32>,
    rng: SmallRng,
}

/// Maximum number of retries of a baseline for one request. It does not learn that an engine is
/// unavailable, so without a limit it would retry forever.
const MAX_RETRIES: u32 = 3;

impl Baseline {
    fn new(policy: PolicyKind, daemons: usize, roles: &[Role], seed: u64) -> Self {
        Self {
            policy,
            roles: roles.to_vec(),
            is_open: vec![true; roles.len()],
            next: (0..daemons).collect(),
            loads: vec![vec![EngineLoad::default(); roles.len()]; daemons],
            in_flight: vec![vec![0; roles.len()]; daemons],
            assigned: Vec::new(),
            attempts: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the load of an engine as a number of requests; a thousand queued prompt tokens count as
    /// one.
    fn load(&self, daemon: usize, engine: usize) -> f64 {
        let report = self.loads[daemon][engine];
        let own = if self.policy == PolicyKind::TwoChoices { self.in_flight[daemon][engine] } else { 0 };
        f64::from(report.running + report.waiting + own) + f64::from(report.queued_prefill) / 1_000.0
    }

    fn pick(&mut self, daemon: usize, candidates: &[usize]) -> usize {
        match self.policy {
            PolicyKind::RoundRobin => {
                self.next[daemon] += 1;
                candidates[self.next[daemon] % candidates.len()]
            }
            PolicyKind::TwoChoices => {
                let mut draw = || candidates[self.rng.random_range(0..candidates.len())];
                let (a, b) = (draw(), draw());
                if self.load(daemon, a) <= self.load(daemon, b) { a } else { b }
            }
            _ => {
                let least =
                    candidates.iter().copied().min_by(|a, b| self.load(daemon, *a).total_cmp(&self.load(daemon, *b)));
                least.unwrap_or(candidates[0])
            }
        }
    }

    fn send(&mut self, daemon: usize, request: usize) -> Vec<Command> {
        let open_engines = |baseline: &Self, test: fn(Role) -> bool| -> Vec<usize> {
            (0..baseline.roles.len()).filter(|i| baseline.is_open[*i] && test(baseline.roles[*i])).collect()
        };
        let serving = open_engines(self, |role| role != Role::Prefill);
        if serving.is_empty() {
            return vec![Command::Refuse(request)];
        }
        let engine = self.pick(daemon, &serving);
        let prefilling = open_engines(self, |role| role == Role::Prefill);
        let is_disaggregated = self.roles[engine] == Role::Decode && !prefilling.is_empty();
        let prefill = is_disaggregated.then(|| self.pick(daemon, &prefilling));
        self.in_flight[daemon][engine] += 1;
        if self.assigned.len() <= request {
            self.assigned.resize(request + 1, None);
        }
        self.assigned[request] = Some(engine);
        vec![Command::Send { request, engine, prefill }]
    }
}

impl RoutingPolicy for Baseline {
    fn request_arrived(&mut self, daemon: usize, request: usize, _: &Arrival, _: &Kind, _: Time) -> Vec<Command> {
        self.send(daemon, request)
    }

    fn token(&mut self, _: usize, _: usize, _: Time) {}

    fn attempt_ended(&mut self, daemon: usize, request: usize, end: AttemptEnd, _: Time) -> Vec<Command> {
        if let Some(engine) = self.assigned.get_mut(request).and_then(Option::take) {
            self.in_flight[daemon][engine] = self.in_flight[daemon][engine].saturating_sub(1);
        }
        if self.attempts.len() <= request {
            self.attempts.resize(request + 1, 0);
        }
        self.attempts[request] += 1;
        match end {
            AttemptEnd::Whole => Vec::new(),
            _ if self.attempts[request] > MAX_RETRIES => vec![Command::Refuse(request)],
            _ => self.send(daemon, request),
        }
    }

    fn report(&mut self, daemon: usize, engine: usize, load: EngineLoad, _: Time) {
        self.loads[daemon][engine] = load;
    }

    fn set_endpoint_state(&mut self, _: usize, engine: usize, open: bool, role: Role, _: Time) -> Vec<Command> {
        self.is_open[engine] = open;
        self.roles[engine] = role;
        Vec::new()
    }

    fn tick(&mut self, _: usize, _: Time) -> Vec<Command> {
        Vec::new()
    }

    fn demand(&self, _: usize, _: Time) -> Option<dahliaseam_core::planner::AverageDemand> {
        None
    }
}

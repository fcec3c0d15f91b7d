//! The policies that are compared: the product's own, and baselines.

use dahliaseam_core::{
    dispatch::{Action, Dispatcher, Next, Policy, Site},
    endpoint::{AdminState, EndpointKey, LoadReport, PoolKey, Rates, Role},
    outcome::AttemptEnd,
    request::{RequestKey, RequestSpec},
    time::{Span, Time},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use slotmap::SecondaryMap;
use stand_ins::model::ModelParams;

use crate::workload::{Arrival, Kind};

/// What a policy asks of the world.
#[derive(Clone, Copy, Debug)]
pub enum Order {
    /// Send a request to an engine, its prompt to another first.
    Send {
        /// The request's index.
        request: usize,
        /// The engine.
        engine: usize,
        /// Where its prompt goes.
        prefill: Option<usize>,
    },
    /// The request is refused.
    Refuse(usize),
    /// Take the request back from its engine.
    Stop(usize),
}

/// A policy under test; each call speaks of one daemon.
pub trait Routing {
    /// A request arrived.
    fn arrive(&mut self, daemon: usize, request: usize, arrival: &Arrival, kind: &Kind, now: Time) -> Vec<Order>;
    /// A token of a request arrived.
    fn token(&mut self, daemon: usize, request: usize, now: Time);
    /// A request is over, or was taken back.
    fn ended(&mut self, daemon: usize, request: usize, end: AttemptEnd, now: Time) -> Vec<Order>;
    /// A load report reached a daemon.
    fn report(&mut self, daemon: usize, engine: usize, load: LoadReport, at: Time);
    /// An engine is open to new work, or not, and plays a role.
    fn duty(&mut self, daemon: usize, engine: usize, open: bool, role: Role, now: Time) -> Vec<Order>;
    /// Time went on.
    fn tick(&mut self, daemon: usize, now: Time) -> Vec<Order>;
    /// The demand a daemon has seen: the short and the long average.
    fn demand(&self, daemon: usize, now: Time) -> Option<dahliaseam_core::planner::AverageDemand>;
}

/// Which policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Which {
    /// The next engine in turn.
    RoundRobin,
    /// The least loaded by its last report.
    LeastReported,
    /// The better of two drawn at random, by report and own requests in flight.
    TwoChoices,
    /// The product's, without early refusal.
    NoAdmission,
    /// The product's.
    Product,
}

impl Which {
    /// All of them.
    pub const ALL: [Self; 5] =
        [Self::RoundRobin, Self::LeastReported, Self::TwoChoices, Self::NoAdmission, Self::Product];

    /// Its name.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastReported => "least by report",
            Self::TwoChoices => "two choices",
            Self::NoAdmission => "no admission",
            Self::Product => "dahliaseam",
        }
    }

    /// The policy for so many daemons and engines of these roles.
    #[must_use]
    pub fn build(self, daemons: usize, roles: &[Role], params: &ModelParams, seed: u64) -> Box<dyn Routing> {
        match self {
            Self::Product => Box::new(Product::new(daemons, roles, params, seed, Policy::default())),
            Self::NoAdmission => {
                let policy = Policy { admission: false, queue_limit: usize::MAX, ..Policy::default() };
                Box::new(Product::new(daemons, roles, params, seed, policy))
            }
            _ => Box::new(Baseline::new(self, daemons, roles, seed)),
        }
    }
}

/// One daemon's dispatcher and the names it knows things by.
#[derive(Debug)]
struct Daemon {
    dispatcher: Dispatcher,
    pool: PoolKey,
    engines: Vec<EndpointKey>,
    index: SecondaryMap<EndpointKey, usize>,
    requests: SecondaryMap<RequestKey, usize>,
}

/// The product's policy: one dispatcher for each daemon.
#[derive(Debug)]
pub struct Product {
    daemons: Vec<Daemon>,
    keys: Vec<Option<RequestKey>>,
}

impl Product {
    /// Dispatchers for so many daemons.
    #[must_use]
    pub fn new(daemons: usize, roles: &[Role], params: &ModelParams, seed: u64, policy: Policy) -> Self {
        let rates = Rates {
            prefill: params.prefill_rate,
            step: params.step,
            step_per_seq: params.step_per_seq,
            slots: params.slots,
        };
        let make = |n: usize| {
            let mut dispatcher = Dispatcher::new(policy, seed.wrapping_mul(31) + n as u64, Time::default());
            dispatcher.set_team_rates(std::collections::HashMap::new(), daemons, Time::default());
            let pool = dispatcher.add_pool(rates);
            let add = |(i, role): (usize, &Role)| dispatcher.add_endpoint(&format!("engine-{i}"), pool, *role);
            let engines: Vec<_> = roles.iter().enumerate().map(add).collect();
            let index = engines.iter().enumerate().map(|(i, key)| (*key, i)).collect();
            Daemon { dispatcher, pool, engines, index, requests: SecondaryMap::new() }
        };
        Self { daemons: (0..daemons).map(make).collect(), keys: Vec::new() }
    }

    fn orders(&mut self, daemon: usize, actions: Vec<Action>) -> Vec<Order> {
        let daemon = &mut self.daemons[daemon];
        let mut orders = Vec::new();
        for action in actions {
            match action {
                Action::Send { request, choice, .. } => orders.push(Order::Send {
                    request: daemon.requests[request],
                    engine: daemon.index[choice.chosen.endpoint],
                    prefill: choice.chosen.prefill.map(|key| daemon.index[key]),
                }),
                Action::Refuse { request, .. } => {
                    orders.extend(daemon.requests.remove(request).map(Order::Refuse));
                }
                Action::Stop { request, .. } => orders.push(Order::Stop(daemon.requests[request])),
            }
        }
        orders
    }

    fn key(&self, request: usize) -> Option<RequestKey> {
        self.keys.get(request).copied().flatten()
    }
}

impl Routing for Product {
    fn arrive(&mut self, daemon: usize, request: usize, arrival: &Arrival, kind: &Kind, now: Time) -> Vec<Order> {
        let at = &mut self.daemons[daemon];
        let spec = RequestSpec {
            pool: at.pool,
            kind: kind.traits,
            prompt_tokens: arrival.prompt,
            output_tokens: arrival.output,
            prefix: arrival.prefix,
            adapter: 0,
            deadline: now + Span::seconds(kind.deadline),
        };
        let Ok(key) = at.dispatcher.submit("team", spec, now) else {
            return vec![Order::Refuse(request)];
        };
        at.requests.insert(key, request);
        if self.keys.len() <= request {
            self.keys.resize(request + 1, None);
        }
        self.keys[request] = Some(key);
        let actions = at.dispatcher.pump(at.pool, now);
        self.orders(daemon, actions)
    }

    fn token(&mut self, daemon: usize, request: usize, now: Time) {
        if let Some(key) = self.key(request) {
            self.daemons[daemon].dispatcher.progress(key, 1, now);
        }
    }

    fn ended(&mut self, daemon: usize, request: usize, end: AttemptEnd, now: Time) -> Vec<Order> {
        let Some(key) = self.key(request) else { return Vec::new() };
        let at = &mut self.daemons[daemon];
        let next = at.dispatcher.attempt_ended(key, end, Site::Serving, now);
        let mut orders = Vec::new();
        if let Next::Finished(_) = next {
            self.keys[request] = None;
            at.requests.remove(key);
            if end != AttemptEnd::Whole {
                orders.push(Order::Refuse(request));
            }
        }
        let actions = at.dispatcher.pump(at.pool, now);
        orders.extend(self.orders(daemon, actions));
        orders
    }

    fn report(&mut self, daemon: usize, engine: usize, load: LoadReport, at: Time) {
        let daemon = &mut self.daemons[daemon];
        daemon.dispatcher.observe(daemon.engines[engine], load, at);
    }

    fn duty(&mut self, daemon: usize, engine: usize, open: bool, role: Role, now: Time) -> Vec<Order> {
        let at = &mut self.daemons[daemon];
        let key = at.engines[engine];
        at.dispatcher.set_role(key, role);
        let mut actions =
            at.dispatcher.set_admin_state(key, if open { AdminState::Serving } else { AdminState::Draining });
        actions.extend(at.dispatcher.pump(at.pool, now));
        self.orders(daemon, actions)
    }

    fn tick(&mut self, daemon: usize, now: Time) -> Vec<Order> {
        let actions = self.daemons[daemon].dispatcher.tick(now);
        self.orders(daemon, actions)
    }

    fn demand(&self, daemon: usize, now: Time) -> Option<dahliaseam_core::planner::AverageDemand> {
        let at = &self.daemons[daemon];
        let mix = at.dispatcher.demand(at.pool)?;
        Some(dahliaseam_core::planner::AverageDemand { short: mix.short(now), long: mix.long(now) })
    }
}

/// A baseline: it sends each request at once and never refuses.
#[derive(Debug)]
struct Baseline {
    which: Which,
    roles: Vec<Role>,
    open: Vec<bool>,
    next: Vec<usize>,
    loads: Vec<Vec<LoadReport>>,
    own: Vec<Vec<u32>>,
    at: Vec<Option<usize>>,
    tries: Vec<u32>,
    rng: SmallRng,
}

/// Tries of a baseline at one request. It does not learn that an engine is gone, so without a bound
/// it would try for ever.
const MAX_TRIES: u32 = 3;

impl Baseline {
    fn new(which: Which, daemons: usize, roles: &[Role], seed: u64) -> Self {
        Self {
            which,
            roles: roles.to_vec(),
            open: vec![true; roles.len()],
            next: (0..daemons).collect(),
            loads: vec![vec![LoadReport::default(); roles.len()]; daemons],
            own: vec![vec![0; roles.len()]; daemons],
            at: Vec::new(),
            tries: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn load(&self, daemon: usize, engine: usize) -> f64 {
        let report = self.loads[daemon][engine];
        let own = if self.which == Which::TwoChoices { self.own[daemon][engine] } else { 0 };
        f64::from(report.running + report.waiting + own) + f64::from(report.queued_prefill) / 1_000.0
    }

    fn pick(&mut self, daemon: usize, among: &[usize]) -> usize {
        match self.which {
            Which::RoundRobin => {
                self.next[daemon] += 1;
                among[self.next[daemon] % among.len()]
            }
            Which::TwoChoices => {
                let mut draw = || among[self.rng.random_range(0..among.len())];
                let (a, b) = (draw(), draw());
                if self.load(daemon, a) <= self.load(daemon, b) { a } else { b }
            }
            _ => {
                let least =
                    among.iter().copied().min_by(|a, b| self.load(daemon, *a).total_cmp(&self.load(daemon, *b)));
                least.unwrap_or(among[0])
            }
        }
    }

    fn send(&mut self, daemon: usize, request: usize) -> Vec<Order> {
        let open = |this: &Self, test: fn(Role) -> bool| -> Vec<usize> {
            (0..this.roles.len()).filter(|i| this.open[*i] && test(this.roles[*i])).collect()
        };
        let serving = open(self, |role| role != Role::Prefill);
        if serving.is_empty() {
            return vec![Order::Refuse(request)];
        }
        let engine = self.pick(daemon, &serving);
        let prefilling = open(self, |role| role == Role::Prefill);
        let split = self.roles[engine] == Role::Decode && !prefilling.is_empty();
        let prefill = split.then(|| self.pick(daemon, &prefilling));
        self.own[daemon][engine] += 1;
        if self.at.len() <= request {
            self.at.resize(request + 1, None);
        }
        self.at[request] = Some(engine);
        vec![Order::Send { request, engine, prefill }]
    }
}

impl Routing for Baseline {
    fn arrive(&mut self, daemon: usize, request: usize, _: &Arrival, _: &Kind, _: Time) -> Vec<Order> {
        self.send(daemon, request)
    }

    fn token(&mut self, _: usize, _: usize, _: Time) {}

    fn ended(&mut self, daemon: usize, request: usize, end: AttemptEnd, _: Time) -> Vec<Order> {
        if let Some(engine) = self.at.get_mut(request).and_then(Option::take) {
            self.own[daemon][engine] = self.own[daemon][engine].saturating_sub(1);
        }
        if self.tries.len() <= request {
            self.tries.resize(request + 1, 0);
        }
        self.tries[request] += 1;
        match end {
            AttemptEnd::Whole => Vec::new(),
            _ if self.tries[request] > MAX_TRIES => vec![Order::Refuse(request)],
            _ => self.send(daemon, request),
        }
    }

    fn report(&mut self, daemon: usize, engine: usize, load: LoadReport, _: Time) {
        self.loads[daemon][engine] = load;
    }

    fn duty(&mut self, _: usize, engine: usize, open: bool, role: Role, _: Time) -> Vec<Order> {
        self.open[engine] = open;
        self.roles[engine] = role;
        Vec::new()
    }

    fn tick(&mut self, _: usize, _: Time) -> Vec<Order> {
        Vec::new()
    }

    fn demand(&self, _: usize, _: Time) -> Option<dahliaseam_core::planner::AverageDemand> {
        None
    }
}

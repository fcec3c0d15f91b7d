//! Simulation of one run: arrivals, engine steps, delayed reports, and faults.

use std::{cmp::Reverse, collections::BinaryHeap};

use dahliaseam_core::{
    endpoint::{EngineLoad, Role},
    outcome::AttemptEnd,
    planner::{PlannerSettings, RoleRates},
    predict::{TRANSFER_BASE, TRANSFER_PER_KTOKEN},
    time::{Span, Time},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use stand_ins::model::{EngineModel, Event as StepEvent, Job, ModelParams};

use crate::{
    roles::{RolePlanner, Stage},
    routing::{Command, PolicyKind, RoutingPolicy},
    workload::{Arrival, Workload},
};

/// Interval of a daemon's ticks, in seconds.
const TICK_INTERVAL: f64 = 0.02;
/// Interval of an engine's load reports, in seconds.
const REPORT_INTERVAL: f64 = 0.5;
/// Maximum delay of a report by gossip, in seconds.
const MAX_GOSSIP_DELAY: f64 = 1.0;
/// Interval of the planner's decisions, in seconds.
const PLAN_INTERVAL: f64 = 1.0;
/// Time that the run continues after the last arrival, in seconds.
const DRAIN_TIME: f64 = 20.0;
/// Bit in the id of a job that only prefills the prompt of a request.
const PREFILL_BIT: u64 = 1 << 40;

/// Fault in a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// No fault.
    None,
    /// A third of the engines is closed to new work, as planned, after a third of the run.
    EnginesDrained,
    /// A third of the engines crashes after a third of the run, as when a hall is lost, and is unavailable
    /// for 30 s.
    EnginesCrashed,
    /// One daemon receives no reports for 20 s.
    ReportsLost,
}

/// Setup of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Generated requests.
    pub workload: Workload,
    /// Policy under test.
    pub policy: PolicyKind,
    /// Number of daemons.
    pub daemons: usize,
    /// Initial roles of the engines.
    pub roles: Vec<Role>,
    /// Parameters of the engines.
    pub params: ModelParams,
    /// Planner, if roles may change.
    pub planner: Option<(PlannerSettings, RoleRates)>,
    /// Fault to inject.
    pub fault: Fault,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Outcome of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Total weight of requests answered whole and in time.
    pub goodput: f64,
    /// Upper bound on the goodput.
    pub bound: f64,
    /// Total weight of arrived requests.
    pub offered: f64,
    /// Fraction of requests answered in time, by kind.
    pub in_time: [f64; 2],
    /// Number of refused requests.
    pub refused: usize,
    /// Number of requests answered too late.
    pub late: usize,
    /// Fraction of the generated tokens that belong to late answers.
    pub wasted: f64,
    /// Number of role changes.
    pub changes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum EventKind {
    Arrival(usize),
    Step(usize, u64),
    Report(usize),
    ReportReceived { daemon: usize, engine: usize, load: EngineLoad, at: f64 },
    Import { request: usize, engine: usize, attempt: u32 },
    Tick(usize),
    Plan,
    RoleChangeDone(usize),
    Fault,
    FaultEnd,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Event {
    at: f64,
    sequence: u64,
    kind: EventKind,
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RequestState {
    daemon: usize,
    /// Number of the current attempt, also raised when its jobs are cancelled. Events with a lower
    /// number are ignored.
    attempt: u32,
    engine: Option<usize>,
    prefill: Option<usize>,
    tokens: u32,
    is_finished: bool,
}

struct Engine {
    model: EngineModel,
    stepping: bool,
    step: u64,
    is_unavailable: bool,
}

struct Simulation<'a> {
    setup: &'a Setup,
    arrivals: Vec<Arrival>,
    routing: Box<dyn RoutingPolicy>,
    engines: Vec<Engine>,
    requests: Vec<RequestState>,
    role_planner: Option<RolePlanner>,
    events: BinaryHeap<Reverse<Event>>,
    /// Sequence number of the last scheduled event, which orders events at the same time.
    sequence: u64,
    now: f64,
    rng: SmallRng,
    outcome: Outcome,
    /// Generated tokens, and those that belong to late answers.
    token_counts: (u64, u64),
    /// Arrived requests and those answered in time, by kind.
    counts_by_kind: [(usize, usize); 2],
    daemon_without_reports: Option<usize>,
}

/// Simulates a run.
#[must_use]
pub fn run(setup: &Setup) -> Outcome {
    let arrivals = setup.workload.arrivals(&setup.params, setup.seed);
    let engine = |role: &Role| Engine {
        model: EngineModel::new(setup.params, *role),
        stepping: false,
        step: 0,
        is_unavailable: false,
    };
    let mut simulation = Simulation {
        routing: setup.policy.build(setup.daemons, &setup.roles, &setup.params, setup.seed),
        engines: setup.roles.iter().map(engine).collect(),
        requests: vec![RequestState::default(); arrivals.len()],
        role_planner: setup.planner.map(|(settings, rates)| RolePlanner::new(settings, rates, setup.roles.len())),
        events: BinaryHeap::new(),
        sequence: 0,
        now: 0.0,
        rng: SmallRng::seed_from_u64(setup.seed ^ 0x5eed),
        outcome: Outcome::default(),
        token_counts: (0, 0),
        counts_by_kind: [(0, 0); 2],
        daemon_without_reports: None,
        arrivals,
        setup,
    };
    simulation.run_events();
    simulation.finish()
}

impl Simulation<'_> {
    fn run_events(&mut self) {
        let end = self.setup.workload.seconds + DRAIN_TIME;
        for daemon in 0..self.setup.daemons {
            self.schedule(TICK_INTERVAL * daemon as f64 / self.setup.daemons as f64, EventKind::Tick(daemon));
        }
        for engine in 0..self.engines.len() {
            self.schedule(REPORT_INTERVAL * engine as f64 / self.engines.len() as f64, EventKind::Report(engine));
        }
        for request in 0..self.arrivals.len() {
            let at = self.arrivals[request].at;
            self.schedule(at, EventKind::Arrival(request));
        }
        self.schedule(PLAN_INTERVAL, EventKind::Plan);
        if self.setup.fault != Fault::None {
            self.schedule(self.setup.workload.seconds / 3.0, EventKind::Fault);
        }
        while let Some(Reverse(event)) = self.events.pop() {
            if event.at > end {
                break;
            }
            self.now = event.at;
            self.handle(event.kind);
        }
    }

    fn schedule(&mut self, seconds: f64, kind: EventKind) {
        self.sequence += 1;
        self.events.push(Reverse(Event { at: self.now + seconds, sequence: self.sequence, kind }));
    }

    fn time(&self) -> Time {
        // Zero means "never" in dahliaseam-core, so the run starts at one second.
        Time::default() + Span::seconds(self.now + 1.0)
    }

    fn handle(&mut self, kind: EventKind) {
        match kind {
            EventKind::Arrival(request) => self.request_arrived(request),
            EventKind::Step(engine, step) => self.finish_step(engine, step),
            EventKind::Report(engine) => self.report(engine),
            EventKind::ReportReceived { daemon, engine, load, at } => {
                if self.daemon_without_reports != Some(daemon) {
                    self.routing.report(daemon, engine, load, Time::default() + Span::seconds(at + 1.0));
                }
            }
            EventKind::Import { request, engine, attempt } => self.import(request, engine, attempt),
            EventKind::Tick(daemon) => {
                let commands = self.routing.tick(daemon, self.time());
                self.execute(commands);
                self.schedule(TICK_INTERVAL, EventKind::Tick(daemon));
            }
            EventKind::Plan => {
                self.plan();
                self.schedule(PLAN_INTERVAL, EventKind::Plan);
            }
            EventKind::RoleChangeDone(engine) => self.finish_role_change(engine),
            EventKind::Fault => self.fault(),
            EventKind::FaultEnd => self.end_fault(),
        }
    }

    fn request_arrived(&mut self, request: usize) {
        let arrival = self.arrivals[request];
        let kind = self.setup.workload.user.kinds()[arrival.kind];
        let daemon = self.rng.random_range(0..self.setup.daemons);
        self.requests[request].daemon = daemon;
        self.outcome.offered += kind.traits.weight;
        self.counts_by_kind[arrival.kind].0 += 1;
        let commands = self.routing.request_arrived(daemon, request, &arrival, &kind, self.time());
        self.execute(commands);
    }

    fn execute(&mut self, commands: Vec<Command>) {
        let mut commands = std::collections::VecDeque::from(commands);
        while let Some(command) = commands.pop_front() {
            match command {
                Command::Send { request, engine, prefill } => commands.extend(self.send(request, engine, prefill)),
                Command::Refuse(request) => {
                    self.requests[request].is_finished = true;
                    self.outcome.refused += 1;
                }
                Command::Cancel(request) => {
                    self.cancel_jobs(request);
                    commands.extend(self.attempt_ended(request, AttemptEnd::Cancelled));
                }
            }
        }
    }

    fn send(&mut self, request: usize, engine: usize, prefill: Option<usize>) -> Vec<Command> {
        let first_engine = prefill.unwrap_or(engine);
        if self.engines[engine].is_unavailable || self.engines[first_engine].is_unavailable {
            return self.attempt_ended(request, AttemptEnd::NotSent);
        }
        let state = &mut self.requests[request];
        state.attempt += 1;
        state.engine = Some(engine);
        state.prefill = prefill;
        let job = self.job(request, prefill.is_some(), false);
        self.submit_job(first_engine, job);
        Vec::new()
    }

    fn job(&self, request: usize, prefill_only: bool, imported: bool) -> Job {
        let arrival = self.arrivals[request];
        let state = self.requests[request];
        let kind = self.setup.workload.user.kinds()[arrival.kind];
        Job {
            id: request as u64 | if prefill_only { PREFILL_BIT } else { 0 },
            prompt_tokens: arrival.prompt + state.tokens,
            prefix: arrival.prefix,
            output_tokens: (arrival.output - state.tokens).max(1),
            priority: kind.traits.priority,
            imported,
            prefill_only,
        }
    }

    fn submit_job(&mut self, engine: usize, job: Job) {
        self.engines[engine].model.submit(job);
        self.start_step(engine);
    }

    fn start_step(&mut self, engine: usize) {
        let engine_state = &mut self.engines[engine];
        if engine_state.stepping || engine_state.is_unavailable {
            return;
        }
        if let Some(seconds) = engine_state.model.start_step() {
            engine_state.stepping = true;
            engine_state.step += 1;
            let step = engine_state.step;
            self.schedule(seconds, EventKind::Step(engine, step));
        }
    }

    fn finish_step(&mut self, engine: usize, step: u64) {
        if self.engines[engine].step != step || !self.engines[engine].stepping {
            return;
        }
        self.engines[engine].stepping = false;
        for event in self.engines[engine].model.finish_step() {
            match event {
                StepEvent::Token(id) => {
                    let request = id as usize;
                    self.requests[request].tokens += 1;
                    self.token_counts.0 += 1;
                    let (daemon, now) = (self.requests[request].daemon, self.time());
                    self.routing.token(daemon, request, now);
                }
                StepEvent::Done(id) if id & PREFILL_BIT != 0 => self.prompt_done((id ^ PREFILL_BIT) as usize),
                StepEvent::Done(id) => self.request_done(id as usize),
            }
        }
        self.start_step(engine);
    }

    fn prompt_done(&mut self, request: usize) {
        let state = self.requests[request];
        let Some(engine) = state.engine else { return };
        let seconds = TRANSFER_BASE + TRANSFER_PER_KTOKEN * f64::from(self.arrivals[request].prompt) / 1_000.0;
        self.schedule(seconds, EventKind::Import { request, engine, attempt: state.attempt });
    }

    fn import(&mut self, request: usize, engine: usize, attempt: u32) {
        let state = self.requests[request];
        if state.attempt != attempt || state.is_finished || state.engine != Some(engine) {
            return;
        }
        if self.engines[engine].is_unavailable {
            self.requests[request].engine = None;
            let commands = self.attempt_ended(request, AttemptEnd::Broken);
            self.execute(commands);
            return;
        }
        let job = self.job(request, false, true);
        self.submit_job(engine, job);
    }

    fn request_done(&mut self, request: usize) {
        let arrival = self.arrivals[request];
        let kind = self.setup.workload.user.kinds()[arrival.kind];
        self.requests[request].is_finished = true;
        self.requests[request].engine = None;
        if self.now <= arrival.at + kind.deadline {
            self.outcome.goodput += kind.traits.weight;
            self.counts_by_kind[arrival.kind].1 += 1;
        } else {
            self.outcome.late += 1;
            self.token_counts.1 += u64::from(arrival.output);
        }
        let commands = self.attempt_ended(request, AttemptEnd::Whole);
        self.execute(commands);
    }

    fn attempt_ended(&mut self, request: usize, end: AttemptEnd) -> Vec<Command> {
        let (daemon, now) = (self.requests[request].daemon, self.time());
        self.routing.attempt_ended(daemon, request, end, now)
    }

    fn cancel_jobs(&mut self, request: usize) {
        let state = &mut self.requests[request];
        state.attempt += 1;
        let (engine, prefill) = (state.engine.take(), state.prefill.take());
        for engine in engine.into_iter().chain(prefill) {
            self.engines[engine].model.cancel(request as u64);
            self.engines[engine].model.cancel(request as u64 | PREFILL_BIT);
        }
    }

    fn report(&mut self, engine: usize) {
        self.schedule(REPORT_INTERVAL, EventKind::Report(engine));
        if self.engines[engine].is_unavailable {
            return;
        }
        let load = self.engines[engine].model.load();
        let at = self.now;
        for daemon in 0..self.setup.daemons {
            let delay = self.setup.params.report_lag + self.rng.random::<f64>() * MAX_GOSSIP_DELAY;
            self.schedule(delay, EventKind::ReportReceived { daemon, engine, load, at });
        }
    }

    fn plan(&mut self) {
        let now = self.time();
        let Some(mut planner) = self.role_planner.take() else { return };
        let demands: Vec<_> = (0..self.setup.daemons).filter_map(|d| self.routing.demand(d, now)).collect();
        let current_roles: Vec<_> = self.engines.iter().map(|e| e.model.role()).collect();
        let running: Vec<_> = self.engines.iter().map(|e| e.model.load().running).collect();
        if let Some((engine, _)) = planner.decide(&current_roles, &running, &demands, now) {
            self.set_state_at_daemons(engine, false, current_roles[engine]);
        }
        for engine in 0..self.engines.len() {
            let load = self.engines[engine].model.load();
            if let Some(Stage::Draining(role)) = planner.in_progress[engine]
                && load.running + load.waiting == 0
            {
                self.engines[engine].is_unavailable = true;
                let change_seconds = self.setup.params.change_seconds;
                planner.in_progress[engine] = Some(Stage::Changing(role, self.now + change_seconds));
                self.schedule(change_seconds, EventKind::RoleChangeDone(engine));
            }
        }
        self.role_planner = Some(planner);
    }

    fn finish_role_change(&mut self, engine: usize) {
        let stage = self.role_planner.as_mut().and_then(|r| r.in_progress[engine].take());
        if let Some(Stage::Changing(role, _)) = stage {
            self.engines[engine].is_unavailable = false;
            self.engines[engine].model.change_role(role);
            self.set_state_at_daemons(engine, true, role);
        }
    }

    fn set_state_at_daemons(&mut self, engine: usize, open: bool, role: Role) {
        for daemon in 0..self.setup.daemons {
            let commands = self.routing.set_endpoint_state(daemon, engine, open, role, self.time());
            self.execute(commands);
        }
    }

    fn affected_engine_count(&self) -> usize {
        self.engines.len() / 3
    }

    fn fault(&mut self) {
        match self.setup.fault {
            Fault::None => {}
            Fault::EnginesDrained => {
                for engine in 0..self.affected_engine_count() {
                    let role = self.engines[engine].model.role();
                    self.set_state_at_daemons(engine, false, role);
                }
            }
            Fault::EnginesCrashed => {
                for engine in 0..self.affected_engine_count() {
                    self.crash(engine);
                }
                self.schedule(30.0, EventKind::FaultEnd);
            }
            Fault::ReportsLost => {
                self.daemon_without_reports = Some(0);
                self.schedule(20.0, EventKind::FaultEnd);
            }
        }
    }

    fn crash(&mut self, engine: usize) {
        self.engines[engine].is_unavailable = true;
        self.engines[engine].stepping = false;
        for id in self.engines[engine].model.drop_jobs() {
            let request = (id & !PREFILL_BIT) as usize;
            self.cancel_jobs(request);
            let commands = self.attempt_ended(request, AttemptEnd::Broken);
            self.execute(commands);
        }
    }

    fn end_fault(&mut self) {
        self.daemon_without_reports = None;
        if self.setup.fault == Fault::EnginesCrashed {
            for engine in 0..self.affected_engine_count() {
                self.engines[engine].is_unavailable = false;
            }
        }
    }

    fn finish(mut self) -> Outcome {
        let workload = self.setup.workload;
        let share = |(all, good): (usize, usize)| if all == 0 { 1.0 } else { good as f64 / all as f64 };
        self.outcome.in_time = [share(self.counts_by_kind[0]), share(self.counts_by_kind[1])];
        self.outcome.bound = crate::bound::max_goodput(
            &self.arrivals,
            workload.user,
            workload.engines,
            workload.seconds,
            &self.setup.params,
        );
        self.outcome.wasted = self.token_counts.1 as f64 / self.token_counts.0.max(1) as f64;
        self.outcome.changes = self.role_planner.as_ref().map_or(0, |r| r.changes);
        self.outcome
    }
}

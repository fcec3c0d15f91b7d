//! One run: arrivals, engines that step, reports that lag, and faults.

use std::{cmp::Reverse, collections::BinaryHeap};

use dahliaseam_core::{
    endpoint::{LoadReport, Role},
    outcome::AttemptEnd,
    planner::{PlannerSettings, RoleRates},
    predict::{TRANSFER_BASE, TRANSFER_PER_KTOKEN},
    time::{Span, Time},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use stand_ins::model::{EngineModel, Event as StepEvent, Job, ModelParams};

use crate::{
    roles::{Roles, Stage},
    routing::{Order, Routing, Which},
    workload::{Arrival, Workload},
};

/// Seconds between two ticks of a daemon.
const TICK: f64 = 0.02;
/// Seconds between two reports of an engine.
const REPORT: f64 = 0.5;
/// Seconds by which gossip delays a report at most.
const GOSSIP: f64 = 1.0;
/// Seconds between two looks of the planner.
const PLAN: f64 = 1.0;
/// Seconds after the last arrival until the run ends.
const TAIL: f64 = 20.0;
/// Marks a job that only processes a prompt.
const PREFILL_BIT: u64 = 1 << 40;

/// What goes wrong in a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// A third of the engines is withdrawn a third into the run, as planned.
    Withdrawn,
    /// A third of the engines crashes a third into the run and is gone for 30 s.
    HallLost,
    /// One daemon hears no report for 20 s.
    DaemonDeaf,
}

/// A run to make.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The requests.
    pub workload: Workload,
    /// The policy.
    pub which: Which,
    /// Daemons.
    pub daemons: usize,
    /// The engines' roles at the start.
    pub roles: Vec<Role>,
    /// The engines.
    pub params: ModelParams,
    /// The planner, if roles may change.
    pub planner: Option<(PlannerSettings, RoleRates)>,
    /// What goes wrong.
    pub fault: Fault,
    /// The seed.
    pub seed: u64,
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Weight answered whole and in time.
    pub goodput: f64,
    /// The most that was possible.
    pub bound: f64,
    /// Weight that arrived.
    pub offered: f64,
    /// Share in time, by kind.
    pub in_time: [f64; 2],
    /// Requests refused.
    pub refused: usize,
    /// Requests answered too late.
    pub late: usize,
    /// Share of the generated tokens that belong to late answers.
    pub wasted: f64,
    /// Role changes.
    pub changes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum What {
    Arrival(usize),
    Step(usize, u64),
    Report(usize),
    Heard { daemon: usize, engine: usize, load: LoadReport, at: f64 },
    Import { request: usize, engine: usize, generation: u32 },
    Tick(usize),
    Plan,
    Back(usize),
    Fault,
    FaultOver,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Due {
    at: f64,
    number: u64,
    what: What,
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.number.cmp(&other.number))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    daemon: usize,
    /// Counts attempts, so that what belongs to an earlier one is told apart.
    generation: u32,
    engine: Option<usize>,
    prefill: Option<usize>,
    tokens: u32,
    over: bool,
}

struct Engine {
    model: EngineModel,
    stepping: bool,
    step: u64,
    gone: bool,
}

struct World<'a> {
    setup: &'a Setup,
    arrivals: Vec<Arrival>,
    routing: Box<dyn Routing>,
    engines: Vec<Engine>,
    progress: Vec<Progress>,
    roles: Option<Roles>,
    queue: BinaryHeap<Reverse<Due>>,
    number: u64,
    now: f64,
    rng: SmallRng,
    outcome: Outcome,
    tokens: (u64, u64),
    counts: [(usize, usize); 2],
    deaf: Option<usize>,
}

/// Make a run.
#[must_use]
pub fn run(setup: &Setup) -> Outcome {
    let arrivals = setup.workload.arrivals(&setup.params, setup.seed);
    let engine =
        |role: &Role| Engine { model: EngineModel::new(setup.params, *role), stepping: false, step: 0, gone: false };
    let mut world = World {
        routing: setup.which.build(setup.daemons, &setup.roles, &setup.params, setup.seed),
        engines: setup.roles.iter().map(engine).collect(),
        progress: vec![Progress::default(); arrivals.len()],
        roles: setup.planner.map(|(settings, rates)| Roles::new(settings, rates, setup.roles.len())),
        queue: BinaryHeap::new(),
        number: 0,
        now: 0.0,
        rng: SmallRng::seed_from_u64(setup.seed ^ 0x5eed),
        outcome: Outcome::default(),
        tokens: (0, 0),
        counts: [(0, 0); 2],
        deaf: None,
        arrivals,
        setup,
    };
    world.play();
    world.finish()
}

impl World<'_> {
    fn play(&mut self) {
        let end = self.setup.workload.seconds + TAIL;
        for daemon in 0..self.setup.daemons {
            self.after(TICK * daemon as f64 / self.setup.daemons as f64, What::Tick(daemon));
        }
        for engine in 0..self.engines.len() {
            self.after(REPORT * engine as f64 / self.engines.len() as f64, What::Report(engine));
        }
        for request in 0..self.arrivals.len() {
            let at = self.arrivals[request].at;
            self.after(at, What::Arrival(request));
        }
        self.after(PLAN, What::Plan);
        if self.setup.fault != Fault::None {
            self.after(self.setup.workload.seconds / 3.0, What::Fault);
        }
        while let Some(Reverse(due)) = self.queue.pop() {
            if due.at > end {
                break;
            }
            self.now = due.at;
            self.happen(due.what);
        }
    }

    fn after(&mut self, seconds: f64, what: What) {
        self.number += 1;
        self.queue.push(Reverse(Due { at: self.now + seconds, number: self.number, what }));
    }

    fn time(&self) -> Time {
        // The core takes zero for "never", so the run begins a second later.
        Time::default() + Span::seconds(self.now + 1.0)
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Arrival(request) => self.arrive(request),
            What::Step(engine, step) => self.step_over(engine, step),
            What::Report(engine) => self.report(engine),
            What::Heard { daemon, engine, load, at } => {
                if self.deaf != Some(daemon) {
                    self.routing.report(daemon, engine, load, Time::default() + Span::seconds(at + 1.0));
                }
            }
            What::Import { request, engine, generation } => self.import(request, engine, generation),
            What::Tick(daemon) => {
                let orders = self.routing.tick(daemon, self.time());
                self.obey(orders);
                self.after(TICK, What::Tick(daemon));
            }
            What::Plan => {
                self.plan();
                self.after(PLAN, What::Plan);
            }
            What::Back(engine) => self.back(engine),
            What::Fault => self.fault(),
            What::FaultOver => self.fault_over(),
        }
    }

    fn arrive(&mut self, request: usize) {
        let arrival = self.arrivals[request];
        let kind = self.setup.workload.user.kinds()[arrival.kind];
        let daemon = self.rng.random_range(0..self.setup.daemons);
        self.progress[request].daemon = daemon;
        self.outcome.offered += kind.traits.weight;
        self.counts[arrival.kind].0 += 1;
        let orders = self.routing.arrive(daemon, request, &arrival, &kind, self.time());
        self.obey(orders);
    }

    fn obey(&mut self, orders: Vec<Order>) {
        let mut orders = std::collections::VecDeque::from(orders);
        while let Some(order) = orders.pop_front() {
            match order {
                Order::Send { request, engine, prefill } => orders.extend(self.send(request, engine, prefill)),
                Order::Refuse(request) => {
                    self.progress[request].over = true;
                    self.outcome.refused += 1;
                }
                Order::Stop(request) => {
                    self.take_back(request);
                    orders.extend(self.ended(request, AttemptEnd::Cancelled));
                }
            }
        }
    }

    fn send(&mut self, request: usize, engine: usize, prefill: Option<usize>) -> Vec<Order> {
        let at = prefill.unwrap_or(engine);
        if self.engines[engine].gone || self.engines[at].gone {
            return self.ended(request, AttemptEnd::NotSent);
        }
        let progress = &mut self.progress[request];
        progress.generation += 1;
        progress.engine = Some(engine);
        progress.prefill = prefill;
        let job = self.job(request, prefill.is_some(), false);
        self.submit(at, job);
        Vec::new()
    }

    fn job(&self, request: usize, prefill_only: bool, imported: bool) -> Job {
        let arrival = self.arrivals[request];
        let progress = self.progress[request];
        let kind = self.setup.workload.user.kinds()[arrival.kind];
        Job {
            id: request as u64 | if prefill_only { PREFILL_BIT } else { 0 },
            prompt_tokens: arrival.prompt + progress.tokens,
            prefix: arrival.prefix,
            output_tokens: (arrival.output - progress.tokens).max(1),
            priority: kind.traits.priority,
            imported,
            prefill_only,
        }
    }

    fn submit(&mut self, engine: usize, job: Job) {
        self.engines[engine].model.submit(job);
        self.start_step(engine);
    }

    fn start_step(&mut self, engine: usize) {
        let it = &mut self.engines[engine];
        if it.stepping || it.gone {
            return;
        }
        if let Some(seconds) = it.model.start_step() {
            it.stepping = true;
            it.step += 1;
            let step = it.step;
            self.after(seconds, What::Step(engine, step));
        }
    }

    fn step_over(&mut self, engine: usize, step: u64) {
        if self.engines[engine].step != step || !self.engines[engine].stepping {
            return;
        }
        self.engines[engine].stepping = false;
        for event in self.engines[engine].model.finish_step() {
            match event {
                StepEvent::Token(id) => {
                    let request = id as usize;
                    self.progress[request].tokens += 1;
                    self.tokens.0 += 1;
                    let (daemon, now) = (self.progress[request].daemon, self.time());
                    self.routing.token(daemon, request, now);
                }
                StepEvent::Done(id) if id & PREFILL_BIT != 0 => self.prompt_done((id ^ PREFILL_BIT) as usize),
                StepEvent::Done(id) => self.done(id as usize),
            }
        }
        self.start_step(engine);
    }

    fn prompt_done(&mut self, request: usize) {
        let progress = self.progress[request];
        let Some(engine) = progress.engine else { return };
        let seconds = TRANSFER_BASE + TRANSFER_PER_KTOKEN * f64::from(self.arrivals[request].prompt) / 1_000.0;
        self.after(seconds, What::Import { request, engine, generation: progress.generation });
    }

    fn import(&mut self, request: usize, engine: usize, generation: u32) {
        let progress = self.progress[request];
        if progress.generation != generation || progress.over || progress.engine != Some(engine) {
            return;
        }
        if self.engines[engine].gone {
            self.progress[request].engine = None;
            let orders = self.ended(request, AttemptEnd::Broken);
            self.obey(orders);
            return;
        }
        let job = self.job(request, false, true);
        self.submit(engine, job);
    }

    fn done(&mut self, request: usize) {
        let arrival = self.arrivals[request];
        let kind = self.setup.workload.user.kinds()[arrival.kind];
        self.progress[request].over = true;
        self.progress[request].engine = None;
        if self.now <= arrival.at + kind.deadline {
            self.outcome.goodput += kind.traits.weight;
            self.counts[arrival.kind].1 += 1;
        } else {
            self.outcome.late += 1;
            self.tokens.1 += u64::from(arrival.output);
        }
        let orders = self.ended(request, AttemptEnd::Whole);
        self.obey(orders);
    }

    fn ended(&mut self, request: usize, end: AttemptEnd) -> Vec<Order> {
        let (daemon, now) = (self.progress[request].daemon, self.time());
        self.routing.ended(daemon, request, end, now)
    }

    fn take_back(&mut self, request: usize) {
        let progress = &mut self.progress[request];
        progress.generation += 1;
        let (engine, prefill) = (progress.engine.take(), progress.prefill.take());
        for engine in engine.into_iter().chain(prefill) {
            self.engines[engine].model.cancel(request as u64);
            self.engines[engine].model.cancel(request as u64 | PREFILL_BIT);
        }
    }

    fn report(&mut self, engine: usize) {
        self.after(REPORT, What::Report(engine));
        if self.engines[engine].gone {
            return;
        }
        let load = self.engines[engine].model.load();
        let at = self.now;
        for daemon in 0..self.setup.daemons {
            let delay = self.setup.params.report_lag + self.rng.random::<f64>() * GOSSIP;
            self.after(delay, What::Heard { daemon, engine, load, at });
        }
    }

    fn plan(&mut self) {
        let now = self.time();
        let Some(mut roles) = self.roles.take() else { return };
        let demands: Vec<_> = (0..self.setup.daemons).filter_map(|d| self.routing.demand(d, now)).collect();
        let present: Vec<_> = self.engines.iter().map(|e| e.model.role()).collect();
        let running: Vec<_> = self.engines.iter().map(|e| e.model.load().running).collect();
        if let Some((engine, _)) = roles.decide(&present, &running, &demands, now) {
            self.tell(engine, false, present[engine]);
        }
        for engine in 0..self.engines.len() {
            let load = self.engines[engine].model.load();
            if let Some(Stage::Emptying(role)) = roles.under_way[engine]
                && load.running + load.waiting == 0
            {
                self.engines[engine].gone = true;
                let away = self.setup.params.change_seconds;
                roles.under_way[engine] = Some(Stage::Away(role, self.now + away));
                self.after(away, What::Back(engine));
            }
        }
        self.roles = Some(roles);
    }

    fn back(&mut self, engine: usize) {
        let stage = self.roles.as_mut().and_then(|r| r.under_way[engine].take());
        if let Some(Stage::Away(role, _)) = stage {
            self.engines[engine].gone = false;
            self.engines[engine].model.change_role(role);
            self.tell(engine, true, role);
        }
    }

    fn tell(&mut self, engine: usize, open: bool, role: Role) {
        for daemon in 0..self.setup.daemons {
            let orders = self.routing.duty(daemon, engine, open, role, self.time());
            self.obey(orders);
        }
    }

    fn third(&self) -> usize {
        self.engines.len() / 3
    }

    fn fault(&mut self) {
        match self.setup.fault {
            Fault::None => {}
            Fault::Withdrawn => {
                for engine in 0..self.third() {
                    let role = self.engines[engine].model.role();
                    self.tell(engine, false, role);
                }
            }
            Fault::HallLost => {
                for engine in 0..self.third() {
                    self.crash(engine);
                }
                self.after(30.0, What::FaultOver);
            }
            Fault::DaemonDeaf => {
                self.deaf = Some(0);
                self.after(20.0, What::FaultOver);
            }
        }
    }

    fn crash(&mut self, engine: usize) {
        self.engines[engine].gone = true;
        self.engines[engine].stepping = false;
        for id in self.engines[engine].model.drop_jobs() {
            let request = (id & !PREFILL_BIT) as usize;
            self.take_back(request);
            let orders = self.ended(request, AttemptEnd::Broken);
            self.obey(orders);
        }
    }

    fn fault_over(&mut self) {
        self.deaf = None;
        if self.setup.fault == Fault::HallLost {
            for engine in 0..self.third() {
                self.engines[engine].gone = false;
            }
        }
    }

    fn finish(mut self) -> Outcome {
        let workload = self.setup.workload;
        let share = |(all, good): (usize, usize)| if all == 0 { 1.0 } else { good as f64 / all as f64 };
        self.outcome.in_time = [share(self.counts[0]), share(self.counts[1])];
        self.outcome.bound =
            crate::bound::upper(&self.arrivals, workload.user, workload.engines, workload.seconds, &self.setup.params);
        self.outcome.wasted = self.tokens.1 as f64 / self.tokens.0.max(1) as f64;
        self.outcome.changes = self.roles.as_ref().map_or(0, |r| r.changes);
        self.outcome
    }
}

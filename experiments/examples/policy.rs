//! Compares the policies while the mix of requests changes, and writes tables, CSV and plots.

use std::{
    error::Error,
    path::PathBuf,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

use bpaf::Bpaf;
use dahliaseam_core::{
    endpoint::Role,
    planner::{PlannerMode, PlannerSettings, RoleRates},
};
use experiments::{
    report::{Cell, csv, plot, table},
    routing::PolicyKind,
    workload::{User, Workload},
    world::{Fault, Setup, run},
};
use stand_ins::model::ModelParams;

/// Compare dahliaseam's decisions with baselines on the engine model
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Number of seeds for each setting
    #[bpaf(argument("N"), fallback(10))]
    seeds: u64,
    /// Duration of each run, in seconds
    #[bpaf(argument("N"), fallback(240.0))]
    seconds: f64,
    /// Directory for the CSV files and plots
    #[bpaf(argument("DIR"))]
    out: Option<PathBuf>,
    /// JSON file with the parameters of the engine model
    #[bpaf(argument("FILE"))]
    params: Option<PathBuf>,
    /// Parts to run: loads, faults, roles
    #[bpaf(positional("PART"))]
    parts: Vec<String>,
}

const ENGINES: usize = 12;
const DAEMONS: usize = 8;
const MIX_PERIOD: f64 = 60.0;
const LOADS: [f64; 5] = [0.5, 0.8, 1.0, 1.2, 1.5];

/// Setup that is run with several seeds.
struct Task {
    scenario: String,
    policy: String,
    x: f64,
    setup: Setup,
}

struct Experiment {
    seeds: u64,
    seconds: f64,
    params: ModelParams,
}

impl Experiment {
    fn setup(&self, user: User, load: f64, policy: PolicyKind) -> Setup {
        Setup {
            workload: Workload { user, load, engines: ENGINES, seconds: self.seconds, mix_period: MIX_PERIOD },
            policy,
            daemons: DAEMONS,
            roles: vec![Role::Mixed; ENGINES],
            params: self.params,
            planner: None,
            fault: Fault::None,
            seed: 0,
        }
    }

    fn loads(&self) -> Vec<Task> {
        let mut tasks = Vec::new();
        for user in User::ALL {
            for load in LOADS {
                for policy in PolicyKind::ALL {
                    tasks.push(Task {
                        scenario: format!("{} at {load}", user.name()),
                        policy: policy.name().to_owned(),
                        x: load,
                        setup: self.setup(user, load, policy),
                    });
                }
            }
        }
        tasks
    }

    fn faults(&self) -> Vec<Task> {
        let mut tasks = Vec::new();
        let lag = |seconds: f64| ModelParams { report_lag: seconds, ..self.params };
        let cases = [
            ("reports 0.5 s late", lag(0.5), Fault::None),
            ("reports 2 s late", lag(2.0), Fault::None),
            ("reports 10 s late", lag(10.0), Fault::None),
            ("a third drained", self.params, Fault::EnginesDrained),
            ("a hall lost for 30 s", self.params, Fault::EnginesCrashed),
            ("no reports at a daemon for 20 s", self.params, Fault::ReportsLost),
        ];
        for (name, params, fault) in cases {
            for policy in [PolicyKind::LeastReported, PolicyKind::TwoChoices, PolicyKind::Dahliaseam] {
                let setup = Setup { params, fault, ..self.setup(User::Fjordkjede, 0.9, policy) };
                tasks.push(Task { scenario: name.to_owned(), policy: policy.name().to_owned(), x: 0.0, setup });
            }
        }
        tasks
    }

    fn roles(&self) -> Vec<Task> {
        let rates = RoleRates { prefill: 7_900.0, decode: 1_450.0, mixed_share: 0.85 };
        let planner = |mode, price| {
            let change_seconds = self.params.change_seconds;
            Some((PlannerSettings { mode, price, change_seconds, ..PlannerSettings::default() }, rates))
        };
        let mut split = vec![Role::Prefill; ENGINES / 2];
        split.resize(ENGINES, Role::Decode);
        let mixed = vec![Role::Mixed; ENGINES];
        let modes = [
            ("all mixed, never", &mixed, None),
            ("half split, never", &split, None),
            ("half split, greedy", &split, planner(PlannerMode::Greedy, 0.0)),
            ("half split, hysteresis", &split, planner(PlannerMode::Hysteresis, 0.0)),
            ("half split, price 4", &split, planner(PlannerMode::Priced, 4.0)),
            ("half split, price 40", &split, planner(PlannerMode::Priced, 40.0)),
            ("all mixed, price 4", &mixed, planner(PlannerMode::Priced, 4.0)),
            ("all mixed, price 40", &mixed, planner(PlannerMode::Priced, 40.0)),
            ("all mixed, greedy", &mixed, planner(PlannerMode::Greedy, 0.0)),
        ];
        let mut tasks = Vec::new();
        for user in User::ALL {
            for load in [0.8, 1.2] {
                for (name, roles, planner) in modes {
                    let setup =
                        Setup { roles: roles.clone(), planner, ..self.setup(user, load, PolicyKind::Dahliaseam) };
                    let scenario = format!("{} at {load}", user.name());
                    tasks.push(Task { scenario, policy: name.to_owned(), x: load, setup });
                }
            }
        }
        tasks
    }

    /// Runs all seeds of all tasks, in parallel on all cores.
    fn run(&self, tasks: Vec<Task>) -> Vec<Cell> {
        let next = AtomicUsize::new(0);
        let seeds = self.seeds as usize;
        let count = tasks.len() * seeds;
        let work = || {
            let mut done = Vec::new();
            loop {
                let n = next.fetch_add(1, Ordering::Relaxed);
                if n >= count {
                    return done;
                }
                let setup = Setup { seed: (n % seeds) as u64 + 1, ..tasks[n / seeds].setup.clone() };
                done.push((n, run(&setup)));
            }
        };
        let threads = thread::available_parallelism().map_or(1, std::num::NonZero::get);
        let mut all: Vec<_> = thread::scope(|scope| {
            let handles: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
            handles.into_iter().flat_map(|h| h.join().unwrap_or_default()).collect()
        });
        all.sort_by_key(|(n, _)| *n);
        let mut outcomes = all.into_iter().map(|(_, outcome)| outcome);
        let cell = |task: Task| {
            let runs = outcomes.by_ref().take(seeds).collect();
            Cell { scenario: task.scenario, policy: task.policy, x: task.x, runs }
        };
        tasks.into_iter().map(cell).collect()
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let args = options().run();
    let params = match &args.params {
        Some(path) => serde_json::from_slice(&std::fs::read(path)?)?,
        None => ModelParams::default(),
    };
    let experiment = Experiment { seeds: args.seeds, seconds: args.seconds, params };
    let is_selected = |part: &str| args.parts.is_empty() || args.parts.iter().any(|p| p == part);
    for (part, tasks) in [("loads", experiment.loads()), ("faults", experiment.faults()), ("roles", experiment.roles())]
    {
        if !is_selected(part) {
            continue;
        }
        let cells = experiment.run(tasks);
        println!("## {part}: {} seeds of {} s, {ENGINES} engines, {DAEMONS} daemons\n", args.seeds, args.seconds);
        println!("{}", table(&cells));
        let Some(dir) = &args.out else { continue };
        std::fs::create_dir_all(dir)?;
        std::fs::write(dir.join(format!("{part}.csv")), csv(&cells))?;
        if part == "loads" {
            for user in User::ALL {
                let cells_of_user: Vec<_> =
                    cells.iter().filter(|c| c.scenario.starts_with(user.name())).cloned().collect();
                plot(&dir.join(format!("loads-{}.svg", user.name())), user.name(), &cells_of_user)?;
            }
        }
    }
    Ok(())
}

//! Role changes in a run: the planner's decisions, carried out as the daemon's control loop does.

use dahliaseam_core::{
    endpoint::Role,
    mix::TokenDemand,
    planner::{AverageDemand, Planner, PlannerSettings, RoleCounts, RoleRates},
    time::Time,
};

/// Stage of a role change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// The engine gets no new requests and changes to this role when no request runs.
    Draining(Role),
    /// The engine changes to this role until the given time, in seconds.
    Changing(Role, f64),
}

/// Planner of the role changes in a run.
#[derive(Debug)]
pub struct RolePlanner {
    settings: PlannerSettings,
    rates: RoleRates,
    planner: Planner,
    /// Changes in progress, by engine.
    pub in_progress: Vec<Option<Stage>>,
    /// Number of changes started.
    pub changes: usize,
}

impl RolePlanner {
    /// Creates a planner for the given number of engines.
    #[must_use]
    pub fn new(settings: PlannerSettings, rates: RoleRates, engines: usize) -> Self {
        Self { settings, rates, planner: Planner::default(), in_progress: vec![None; engines], changes: 0 }
    }

    /// Returns the change to start now, if any: an engine and its new role. `roles` and `running` are
    /// the role and the number of running requests of each engine, `demands` the demand that each
    /// daemon sees.
    pub fn decide(
        &mut self,
        roles: &[Role],
        running: &[u32],
        demands: &[AverageDemand],
        now: Time,
    ) -> Option<(usize, Role)> {
        let sum = |part: fn(&AverageDemand) -> TokenDemand| {
            demands.iter().map(part).fold(TokenDemand::default(), TokenDemand::plus)
        };
        let demand = AverageDemand { short: sum(|d| d.short), long: sum(|d| d.long) };
        let mut counts = RoleCounts::default();
        for (engine, role) in roles.iter().enumerate() {
            let role = match self.in_progress[engine] {
                Some(Stage::Draining(role) | Stage::Changing(role, _)) => role,
                None => *role,
            };
            match role {
                Role::Prefill => counts.prefill += 1,
                Role::Decode => counts.decode += 1,
                Role::Mixed => counts.mixed += 1,
                Role::Plain => {}
            }
        }
        let in_flight = self.in_progress.iter().flatten().count();
        let change = self.planner.plan(&self.settings, self.rates, counts, demand, in_flight, now)?;
        let candidates = (0..roles.len()).filter(|e| roles[*e] == change.from && self.in_progress[*e].is_none());
        let engine = candidates.min_by_key(|e| running[*e])?;
        self.in_progress[engine] = Some(Stage::Draining(change.to));
        self.changes += 1;
        Some((engine, change.to))
    }
}

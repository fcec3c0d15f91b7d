//! Planning of engine roles under changing demand.
//!
//! A role change makes an engine unavailable for seconds. It is made only when the expected gain over the
//! planning horizon exceeds the work lost during the change plus a price set by the operators.

use serde::{Deserialize, Serialize};

use crate::{
    endpoint::Role,
    mix::TokenDemand,
    time::{Span, Time},
};

/// Settings of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannerSettings {
    /// Decision rule.
    pub mode: PlannerMode,
    /// Price of a role change, in seconds of one engine's work.
    pub price: f64,
    /// Seconds for which a change makes the engine unavailable.
    pub change_seconds: f64,
    /// Seconds for which a shift in demand is expected to last.
    pub horizon_seconds: f64,
    /// Maximum number of concurrent changes in one hall.
    pub changes_in_flight: usize,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            mode: PlannerMode::Priced,
            price: 10.0,
            change_seconds: 6.0,
            horizon_seconds: 60.0,
            changes_in_flight: 1,
        }
    }
}

/// Decision rule of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlannerMode {
    /// Never change roles.
    Never,
    /// Make any change that gains on the short-term average.
    Greedy,
    /// Make a change whose gain on the short-term average exceeds a fixed share.
    Hysteresis,
    /// Make a change whose gain exceeds the lost work plus the price.
    Priced,
}

/// Minimum gain of [`PlannerMode::Hysteresis`], as a share of one engine's work over the horizon.
const HYSTERESIS_SHARE: f64 = 0.15;

/// Number of engines of a pool by role.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleCounts {
    /// Prefill engines.
    pub prefill: u32,
    /// Decode engines.
    pub decode: u32,
    /// Mixed engines.
    pub mixed: u32,
}

impl RoleCounts {
    fn get(self, role: Role) -> u32 {
        match role {
            Role::Prefill => self.prefill,
            Role::Decode => self.decode,
            Role::Mixed => self.mixed,
            Role::Plain => 0,
        }
    }

    fn with_change(mut self, from: Role, to: Role) -> Self {
        for (role, up) in [(from, false), (to, true)] {
            let slot = match role {
                Role::Prefill => &mut self.prefill,
                Role::Decode => &mut self.decode,
                Role::Mixed => &mut self.mixed,
                Role::Plain => continue,
            };
            *slot = if up { *slot + 1 } else { slot.saturating_sub(1) };
        }
        self
    }
}

/// Throughput of one engine by role.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleRates {
    /// Prompt tokens per second of a prefill engine.
    pub prefill: f64,
    /// Output tokens per second of a decode engine.
    pub decode: f64,
    /// Share of either rate that a mixed engine reaches, since prefill and decode disturb each other.
    pub mixed_share: f64,
}

impl Default for RoleRates {
    fn default() -> Self {
        Self { prefill: 8_000.0, decode: 1_400.0, mixed_share: 0.85 }
    }
}

/// A worthwhile role change.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PlannedRoleChange {
    /// Current role of the engine.
    pub from: Role,
    /// New role of the engine.
    pub to: Role,
    /// Expected gain over the horizon, in seconds of one engine's work.
    pub gain: f64,
    /// Lost work including the price, in seconds of one engine's work.
    pub loss: f64,
}

/// Largest multiple of `demand` that `counts` engines can serve.
#[must_use]
pub fn headroom(counts: RoleCounts, rates: RoleRates, demand: TokenDemand) -> f64 {
    let prefill_need = demand.prefill / rates.prefill;
    let decode_need = demand.decode / rates.decode;
    if prefill_need + decode_need <= 0.0 {
        return f64::INFINITY;
    }
    let mixed = f64::from(counts.mixed) * rates.mixed_share;
    let (p, d) = (f64::from(counts.prefill), f64::from(counts.decode));
    // Mixed engines divide their time freely, so three bounds apply: the total, and each kind of work with the
    // help of all mixed engines. A decode engine prefills no prompts while other engines do.
    let all = (p + d + mixed) / (prefill_need + decode_need);
    let prefill = capacity_ratio(p + mixed, prefill_need);
    let decode = capacity_ratio(d + mixed, decode_need);
    all.min(prefill).min(decode)
}

fn capacity_ratio(capacity: f64, need: f64) -> f64 {
    if need <= 0.0 { f64::INFINITY } else { capacity / need }
}

/// Planner state of one pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Planner {
    no_change_before: Time,
}

/// Averages of the demand for one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AverageDemand {
    /// Short-term average.
    pub short: TokenDemand,
    /// Long-term average.
    pub long: TokenDemand,
}

impl Planner {
    /// Returns a worthwhile change, if there is one, while `in_flight` others are in progress.
    pub fn plan(
        &mut self,
        settings: &PlannerSettings,
        rates: RoleRates,
        counts: RoleCounts,
        averages: AverageDemand,
        in_flight: usize,
        now: Time,
    ) -> Option<PlannedRoleChange> {
        if in_flight >= settings.changes_in_flight || !self.no_change_before.is_past(now) {
            return None;
        }
        let best = possible_changes(counts)
            .map(|(from, to)| evaluate(settings, rates, counts, averages, from, to))
            .max_by(|a, b| (a.gain - a.loss).total_cmp(&(b.gain - b.loss)))?;
        let is_worthwhile = match settings.mode {
            PlannerMode::Never => false,
            PlannerMode::Greedy => best.gain > 0.0,
            PlannerMode::Hysteresis => best.gain > HYSTERESIS_SHARE * settings.horizon_seconds,
            PlannerMode::Priced => best.gain > best.loss,
        };
        if !is_worthwhile {
            return None;
        }
        self.no_change_before = now + Span::seconds(settings.change_seconds);
        Some(best)
    }
}

fn possible_changes(counts: RoleCounts) -> impl Iterator<Item = (Role, Role)> {
    const ROLES: [Role; 3] = [Role::Prefill, Role::Decode, Role::Mixed];
    ROLES
        .into_iter()
        .flat_map(|from| ROLES.into_iter().map(move |to| (from, to)))
        .filter(move |(from, to)| from != to && counts.get(*from) > 0)
        .filter(move |(from, to)| can_finish(counts.with_change(*from, *to)))
}

/// Whether the pool still has an engine that can finish requests.
fn can_finish(counts: RoleCounts) -> bool {
    counts.decode + counts.mixed > 0
}

fn evaluate(
    settings: &PlannerSettings,
    rates: RoleRates,
    counts: RoleCounts,
    averages: AverageDemand,
    from: Role,
    to: Role,
) -> PlannedRoleChange {
    let after = counts.with_change(from, to);
    let served = |counts, demand| served_work(counts, rates, demand);
    let short = served(after, averages.short) - served(counts, averages.short);
    let long = served(after, averages.long) - served(counts, averages.long);
    let gain_rate = match settings.mode {
        // A gain that the long-term average does not show yet may be temporary, so it counts half. If the change
        // would lose on the long-term average, it counts less, and not at all if it would lose there as much as
        // it gains on the short-term average.
        PlannerMode::Priced => 0.5_f64.mul_add(short, 0.5 * long.min(short)),
        _ => short,
    };
    let useful_seconds = (settings.horizon_seconds - settings.change_seconds).max(0.0);
    PlannedRoleChange { from, to, gain: gain_rate * useful_seconds, loss: settings.change_seconds + settings.price }
}

/// Work served per second out of `demand`, in seconds of one engine's work.
fn served_work(counts: RoleCounts, rates: RoleRates, demand: TokenDemand) -> f64 {
    let need = demand.prefill / rates.prefill + demand.decode / rates.decode;
    need * headroom(counts, rates, demand).min(1.0)
}

//! Which role each engine should play, under a demand that shifts.
//!
//! A role change takes an engine away for seconds. It is made only when what it gains, over the
//! time that the demand is likely to last, exceeds the work lost meanwhile and the price that
//! the operators set on a change.

use serde::{Deserialize, Serialize};

use crate::{
    endpoint::Role,
    mix::Demand,
    time::{Span, Time},
};

/// Settings of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannerSettings {
    /// How roles are decided.
    pub mode: PlannerMode,
    /// Price of one role change, in seconds of one engine's work.
    pub price: f64,
    /// Seconds that a change takes the engine away.
    pub change_seconds: f64,
    /// Seconds that a shifted demand is expected to last.
    pub horizon_seconds: f64,
    /// Changes under way at once in one hall.
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

/// How roles are decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlannerMode {
    /// Roles never change on their own.
    Never,
    /// Any gain on the short average is taken.
    Greedy,
    /// A gain above a fixed share on the short average is taken.
    Hysteresis,
    /// The gain must exceed the work lost and the price.
    Priced,
}

/// Share that [`PlannerMode::Hysteresis`] asks for.
const HYSTERESIS_SHARE: f64 = 0.15;

/// Engines of a pool by role.
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

/// What one engine does in a second, by role.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleRates {
    /// Prompt tokens a second of a prefill engine.
    pub prefill: f64,
    /// Output tokens a second of a decode engine.
    pub decode: f64,
    /// Share of either rate that a mixed engine keeps, since the two disturb each other.
    pub mixed_share: f64,
}

impl Default for RoleRates {
    fn default() -> Self {
        Self { prefill: 8_000.0, decode: 1_400.0, mixed_share: 0.85 }
    }
}

/// A role change that is worth making.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RoleChange {
    /// The role an engine gives up.
    pub from: Role,
    /// The role it takes.
    pub to: Role,
    /// Seconds of one engine's work gained over the horizon.
    pub gain: f64,
    /// Seconds of one engine's work lost, the price included.
    pub loss: f64,
}

/// The largest multiple of `demand` that `counts` engines can serve.
#[must_use]
pub fn headroom(counts: RoleCounts, rates: RoleRates, demand: Demand) -> f64 {
    let prefill_need = demand.prefill / rates.prefill;
    let decode_need = demand.decode / rates.decode;
    if prefill_need + decode_need <= 0.0 {
        return f64::INFINITY;
    }
    let mixed = f64::from(counts.mixed) * rates.mixed_share;
    let (p, d) = (f64::from(counts.prefill), f64::from(counts.decode));
    // Mixed engines split their time freely, so three bounds hold: the sum, and each side with
    // all the mixed engines' help. A decode engine can process no prompts while others do.
    let all = (p + d + mixed) / (prefill_need + decode_need);
    let prefill = capacity_ratio(p + mixed, prefill_need);
    let decode = capacity_ratio(d + mixed, decode_need);
    all.min(prefill).min(decode)
}

fn capacity_ratio(capacity: f64, need: f64) -> f64 {
    if need <= 0.0 { f64::INFINITY } else { capacity / need }
}

/// The planner's memory of one pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct Planner {
    no_change_before: Time,
}

/// The demand as the planner weighs it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AverageDemand {
    /// The short average.
    pub short: Demand,
    /// The long average.
    pub long: Demand,
}

impl Planner {
    /// The change to make now, if one is worth it while `in_flight` others are under way.
    pub fn plan(
        &mut self,
        settings: &PlannerSettings,
        rates: RoleRates,
        counts: RoleCounts,
        averages: AverageDemand,
        in_flight: usize,
        now: Time,
    ) -> Option<RoleChange> {
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

/// A pool must keep an engine that can finish requests.
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
) -> RoleChange {
    let after = counts.with_change(from, to);
    let served = |counts, demand| served_work(counts, rates, demand);
    let short = served(after, averages.short) - served(counts, averages.short);
    let long = served(after, averages.long) - served(counts, averages.long);
    let gain_rate = match settings.mode {
        // A shift that the long average does not show yet may pass; one that it contradicts
        // costs as much as the short one gains.
        PlannerMode::Priced => 0.5_f64.mul_add(short, 0.5 * long.min(short)),
        _ => short,
    };
    let useful = (settings.horizon_seconds - settings.change_seconds).max(0.0);
    RoleChange { from, to, gain: gain_rate * useful, loss: settings.change_seconds + settings.price }
}

/// Seconds of one engine's work that are served a second, out of `demand`.
fn served_work(counts: RoleCounts, rates: RoleRates, demand: Demand) -> f64 {
    let need = demand.prefill / rates.prefill + demand.decode / rates.decode;
    need * headroom(counts, rates, demand).min(1.0)
}

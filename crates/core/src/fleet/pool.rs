//! The number of engines in each hall, for services that operators let the system scale.
//!
//! There are two kinds of engines: staying ones, which run until they are released, and cheaper reclaimable ones,
//! which the platform may take away, all of a hall at once. The system orders the cheapest pool that still serves the
//! demand after one hall lost its reclaimable engines: either staying engines, or enough additional reclaimable ones
//! in every hall that the remaining ones suffice. Bursts are shorter than the start of an engine, so pools are sized
//! for the highest recent demand.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    fleet::{Fleet, policy::FleetPolicy, split::EngineDemand},
    time::{Span, Time},
};

/// Time for which the highest demand counts in full. Swings in the mix of requests recur within it.
const PEAK_HOLD: Span = Span::millis(30_000);
/// Time from the first observed demand for which an expected demand above it still counts: the averages of the demand
/// and of the answer durations must have settled.
const EXPECTED_HOLD: Span = Span::millis(8_000);
/// Time in which a peak decays by half once it is no longer held.
const PEAK_HALF_LIFE: Span = Span::millis(15_000);
/// Relative decrease of the wanted size from which engines are released: an engine that is released and ordered again
/// loses its KV cache and takes time to start.
const SCALE_DOWN_MARGIN: f64 = 0.15;

/// Limits and prices of a service that may be scaled, as configured by operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Minimum number of engines in each hall, of both kinds together.
    pub min: u32,
    /// Maximum number of engines in each hall, of both kinds together.
    pub max: u32,
    /// Time until a new engine serves requests.
    pub start_time: Span,
    /// Price of a reclaimable engine in proportion to a staying one; `None` if there are none.
    pub reclaimable_price: Option<f64>,
    /// Price of an engine in each hall.
    pub hall_prices: BTreeMap<Arc<str>, f64>,
}

/// Number of engines in one hall, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallSize {
    /// Engines that run until they are released.
    pub staying: u32,
    /// Engines that the platform may take away.
    pub reclaimable: u32,
}

impl HallSize {
    /// Number of engines of both kinds.
    #[must_use]
    pub const fn total(self) -> u32 {
        self.staying.saturating_add(self.reclaimable)
    }
}

/// Number of engines in each hall.
pub type PoolSize = BTreeMap<Arc<str>, HallSize>;

/// The highest recent demand, in engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Peak {
    engines: f64,
    observed_at: Time,
    expected: f64,
    expected_until: Time,
}

impl Peak {
    /// Creates a peak that another daemon has observed.
    #[must_use]
    pub const fn observed(engines: f64, now: Time) -> Self {
        Self { engines, observed_at: now, expected: 0.0, expected_until: Time(0) }
    }

    /// Creates a peak that another daemon expects.
    #[must_use]
    pub fn expected(engines: f64, now: Time) -> Self {
        Self { expected: engines, expected_until: now + EXPECTED_HOLD, ..Self::default() }
    }

    /// Updates the peak with the current demand. While averages settle, a demand below the expected one is ignored:
    /// the first figures may be far too high and would be held.
    pub fn observe(&mut self, engines: f64, now: Time) {
        let is_settling = !self.expected_until.is_past(now) && engines <= self.expected;
        if !is_settling && engines >= self.decayed_at(now) {
            self.engines = engines;
            self.observed_at = now;
        }
    }

    /// Sets a demand that is expected but not yet observed; it counts for `EXPECTED_HOLD` after the last call.
    pub fn set_expected(&mut self, engines: f64, now: Time) {
        self.expected = engines;
        self.expected_until = now + EXPECTED_HOLD;
    }

    /// Number of engines that the demand requires.
    #[must_use]
    pub fn at(&self, now: Time) -> f64 {
        let expected = if self.expected_until.is_past(now) { 0.0 } else { self.expected };
        self.decayed_at(now).max(expected)
    }

    fn decayed_at(&self, now: Time) -> f64 {
        let past_hold = now.since(self.observed_at + PEAK_HOLD).as_seconds();
        self.engines * (-past_hold / PEAK_HALF_LIFE.as_seconds()).exp2()
    }
}

impl Scaling {
    /// The cheapest pool that serves a demand even after one hall lost all its reclaimable engines.
    #[must_use]
    pub fn wanted(&self, needed: f64, policy: &FleetPolicy) -> PoolSize {
        let halls = self.hall_prices.len().max(1) as f64;
        // No demand can be given more than the maximum size of the pool.
        let needed = needed.min(halls * f64::from(self.max));
        let per_hall = |engines: f64| (engines / halls).ceil() as u32;
        // Share of the reclaimable engines that remains after one hall lost its own.
        let remaining_share = (halls - 1.0) / halls;
        let is_cheaper =
            self.reclaimable_price.is_some_and(|price| remaining_share > 0.0 && price / remaining_share < 1.0);
        let staying = if is_cheaper { needed * policy.pool_staying_share } else { needed };
        let reclaimable =
            if is_cheaper { (needed * policy.pool_headroom - staying).max(0.0) / remaining_share } else { 0.0 };
        let staying = per_hall(staying).clamp(self.min, self.max);
        let reclaimable = per_hall(reclaimable).min(self.max - staying);
        let size = HallSize { staying, reclaimable };
        self.hall_prices.keys().map(|hall| (Arc::clone(hall), size)).collect()
    }

    /// The next order on the way to the wanted size, given the running engines and the previous order.
    ///
    /// Staying engines are released only while the engines that run in all halls together remain as many as the wanted
    /// pool keeps after one hall lost all its reclaimable engines. Reclaimable engines are added within the limit that
    /// both kinds share.
    #[must_use]
    pub fn next_order(&self, wanted: &PoolSize, running: &PoolSize, ordered: &PoolSize) -> PoolSize {
        let size = |pool: &PoolSize, hall| pool.get(hall).copied().unwrap_or_default();
        // Engines that were released may still appear as running.
        let staying = |hall| size(running, hall).staying.min(size(ordered, hall).staying);
        // Configured limits may be as large as their type, so sums over halls need a larger one.
        let serving: u64 =
            wanted.keys().map(|hall| u64::from(staying(hall)) + u64::from(size(running, hall).reclaimable)).sum();
        let max_lost = wanted.values().map(|hall| hall.reclaimable).max().unwrap_or_default();
        let required = total_engines(wanted) - u64::from(max_lost);
        let mut releasable = u32::try_from(serving.saturating_sub(required)).unwrap_or(u32::MAX);
        let next = wanted.iter().map(|(hall, wanted)| {
            let surplus = size(ordered, hall).staying.saturating_sub(wanted.staying);
            let released = surplus.min(releasable);
            releasable -= released;
            let staying = wanted.staying + surplus - released;
            let room = self.max.saturating_sub(staying.max(size(running, hall).staying));
            (Arc::clone(hall), HallSize { staying, reclaimable: wanted.reclaimable.min(room) })
        });
        next.collect()
    }
}

/// Whether a new size should replace the one that is wanted now: an increase always does, a decrease only if it is
/// large enough.
#[must_use]
pub fn should_replace(new: &PoolSize, current: &PoolSize) -> bool {
    let (new, current) = (total_engines(new) as f64, total_engines(current) as f64);
    new > current || new < current * (1.0 - SCALE_DOWN_MARGIN)
}

/// Number of engines in all halls.
fn total_engines(size: &PoolSize) -> u64 {
    size.values().map(|hall| u64::from(hall.staying) + u64::from(hall.reclaimable)).sum()
}

impl Fleet {
    /// Number of running engines of a service that are not draining, by hall and kind.
    #[must_use]
    pub fn pool_size(&self, service: &str, now: Time) -> PoolSize {
        let mut pool = PoolSize::new();
        let serving = self.replicas.values().filter(|replica| {
            &*replica.facts.service == service && !replica.facts.draining && !replica.gone_at.is_past(now)
        });
        for replica in serving {
            let hall = pool.entry(Arc::clone(&replica.facts.hall)).or_default();
            if replica.facts.reclaimable {
                hall.reclaimable += 1;
            } else {
                hall.staying += 1;
            }
        }
        pool
    }

    /// Number of engines that a demand requires at the target utilization; `None` without engines to serve it.
    #[must_use]
    pub fn needed_engines(&self, service: &str, demand: EngineDemand, now: Time) -> Option<f64> {
        let engines: Vec<_> = self.replicas.iter().filter(|(_, r)| &*r.facts.service == service).collect();
        let required = self.required_engines(service, &engines, demand, now)?;
        Some(required.prefill + required.decode)
    }
}

//! How many engines each hall should have, where operators let the system choose.
//!
//! Two kinds can be had: engines that stay until they are given back, and cheaper ones that the platform
//! may take away, all of a hall at the same moment. What is bought is the cheapest that still serves the
//! demand after one hall lost all of the second kind: either engines that stay, or so many more of the
//! others in every hall that the rest are enough. Bursts are shorter than an engine takes to start, so the
//! demand that counts is the highest of the last while.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    fleet::{Fleet, policy::FleetPolicy, split::Demand},
    time::{Span, Time},
};

/// Time for which the highest demand counts in full. Swings of the mix come back within it.
const PEAK_HOLD: Span = Span::millis(30_000);
/// Time from the first demand on for which more is expected than was seen: the averages of demand and of how long
/// answers take must have settled.
const EXPECTED_HOLD: Span = Span::millis(8_000);
/// Time in which a peak that is no longer held falls to half.
const PEAK_HALF_LIFE: Span = Span::millis(15_000);
/// Part of the number wanted by which a smaller demand must fall below it before anything is given back:
/// an engine that is given back and had again loses its memory and takes its time to start.
const SCALE_DOWN_MARGIN: f64 = 0.15;

/// What operators say of a service whose size may be chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Engines of a hall at least, of both kinds together.
    pub min: u32,
    /// Engines of a hall at most, of both kinds together.
    pub max: u32,
    /// Time until a new engine serves.
    pub start_time: Span,
    /// What an engine that may be taken away costs, as a part of one that stays; absent if there are none.
    pub reclaimable_price: Option<f64>,
    /// What an engine costs, by hall.
    pub hall_prices: BTreeMap<Arc<str>, f64>,
}

/// Engines of one hall, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallSize {
    /// Those that stay.
    pub staying: u32,
    /// Those that may be taken away.
    pub reclaimable: u32,
}

impl HallSize {
    /// Both kinds.
    #[must_use]
    pub const fn total(self) -> u32 {
        self.staying + self.reclaimable
    }
}

/// Engines by hall.
pub type PoolSize = BTreeMap<Arc<str>, HallSize>;

/// The highest demand of the last while, in engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Peak {
    engines: f64,
    observed_at: Time,
    expected: f64,
    expected_until: Time,
}

impl Peak {
    /// A peak that another daemon has seen.
    #[must_use]
    pub const fn observed(engines: f64, now: Time) -> Self {
        Self { engines, observed_at: now, expected: 0.0, expected_until: Time(0) }
    }

    /// A peak that another daemon expects.
    #[must_use]
    pub fn expected(engines: f64, now: Time) -> Self {
        Self { expected: engines, expected_until: now + EXPECTED_HOLD, ..Self::default() }
    }

    /// Take in the demand now. What is less than expected is not counted while averages settle: the first figures may
    /// be far too high and would hold.
    pub fn observe(&mut self, engines: f64, now: Time) {
        let is_settling = !self.expected_until.is_past(now) && engines <= self.expected;
        if !is_settling && engines >= self.decayed_at(now) {
            self.engines = engines;
            self.observed_at = now;
        }
    }

    /// Expect a demand that was not seen yet; it counts until some while after the last time that it was expected.
    pub fn set_expected(&mut self, engines: f64, now: Time) {
        self.expected = engines;
        self.expected_until = now + EXPECTED_HOLD;
    }

    /// Engines that the demand needs.
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
    /// The cheapest engines that serve a demand, also after one hall lost all that may be taken away.
    #[must_use]
    pub fn wanted(&self, needed: f64, policy: &FleetPolicy) -> PoolSize {
        let halls = self.hall_prices.len().max(1) as f64;
        // A demand beyond all that may be had asks for no more than that.
        let needed = needed.min(halls * f64::from(self.max));
        let per_hall = |engines: f64| (engines / halls).ceil() as u32;
        // After one hall's are gone the others have this part of them.
        let left = (halls - 1.0) / halls;
        let is_cheaper = self.reclaimable_price.is_some_and(|price| left > 0.0 && price / left < 1.0);
        let staying = if is_cheaper { needed * policy.pool_staying_share } else { needed };
        let reclaimable = if is_cheaper { (needed * policy.pool_headroom - staying).max(0.0) / left } else { 0.0 };
        let staying = per_hall(staying).clamp(self.min, self.max);
        let reclaimable = per_hall(reclaimable).min(self.max - staying);
        let size = HallSize { staying, reclaimable };
        self.hall_prices.keys().map(|hall| (Arc::clone(hall), size)).collect()
    }

    /// What to order next on the way to what is wanted, given what serves now and was ordered last.
    ///
    /// Engines that stay are given back only as far as those that serve, in all halls together, are as many as are left
    /// in the end after one hall lost all that may be taken away; the others come within the limit that both kinds share.
    #[must_use]
    pub fn next_order(&self, wanted: &PoolSize, running: &PoolSize, ordered: &PoolSize) -> PoolSize {
        let size = |pool: &PoolSize, hall| pool.get(hall).copied().unwrap_or_default();
        // Those that were given back may still be seen.
        let staying = |hall| size(running, hall).staying.min(size(ordered, hall).staying);
        let serving: u32 = wanted.keys().map(|hall| staying(hall) + size(running, hall).reclaimable).sum();
        let max_lost = wanted.values().map(|hall| hall.reclaimable).max().unwrap_or_default();
        let enough = wanted.values().map(|hall| hall.total()).sum::<u32>() - max_lost;
        let mut spare = serving.saturating_sub(enough);
        let next = wanted.iter().map(|(hall, wanted)| {
            let surplus = size(ordered, hall).staying.saturating_sub(wanted.staying);
            let released = surplus.min(spare);
            spare -= released;
            let staying = wanted.staying + surplus - released;
            let room = self.max.saturating_sub(staying.max(size(running, hall).staying));
            (Arc::clone(hall), HallSize { staying, reclaimable: wanted.reclaimable.min(room) })
        });
        next.collect()
    }
}

/// Whether a size should replace the one that is wanted at present: more at once, less only if it is worth it.
#[must_use]
pub fn should_replace(new: &PoolSize, present: &PoolSize) -> bool {
    let total = |size: &PoolSize| f64::from(size.values().map(|hall| hall.total()).sum::<u32>());
    let (new, present) = (total(new), total(present));
    new > present || new < present * (1.0 - SCALE_DOWN_MARGIN)
}

impl Fleet {
    /// Engines of a service that serve and do not leave, by hall and kind.
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

    /// Engines that a demand needs, each used as well as the policy wants; absent while there is none.
    #[must_use]
    pub fn needed_engines(&self, service: &str, demand: Demand, now: Time) -> Option<f64> {
        let engines: Vec<_> = self.replicas.iter().filter(|(_, r)| &*r.facts.service == service).collect();
        let need = self.required_engines(service, &engines, demand, now)?;
        Some(need.prefill + need.decode)
    }
}

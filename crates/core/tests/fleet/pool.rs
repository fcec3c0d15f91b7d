//! Tests of the number of engines under changing demand and when engines are reclaimed.

use std::{collections::BTreeMap, sync::Arc};

use dahliaseam_core::{
    fleet::{
        policy::FleetPolicy,
        pool::{HallSize, Peak, PoolSize, Scaling, should_replace},
    },
    time::{Span, Time},
};

const HALLS: [&str; 3] = ["a", "b", "c"];

fn scaling() -> Scaling {
    let prices = [0.85, 1.2, 1.0];
    Scaling {
        min: 1,
        max: 38,
        start_time: Span::millis(4_000),
        reclaimable_price: Some(0.15),
        hall_prices: HALLS.into_iter().zip(prices).map(|(hall, price)| (Arc::from(hall), price)).collect(),
    }
}

fn total(size: &PoolSize) -> u32 {
    size.values().map(|hall| hall.total()).sum()
}

#[test]
fn the_demand_is_served_after_one_hall_loses_its_reclaimable_engines() {
    for needed in [3.0, 20.0, 57.0, 75.0] {
        let wanted = scaling().wanted(needed, &FleetPolicy::default());
        for lost in HALLS {
            let left = total(&wanted) - wanted[lost].reclaimable;
            assert!(f64::from(left) >= needed, "{needed} needed, {left} left of {wanted:?}");
        }
    }
}

#[test]
fn both_kinds_together_stay_within_the_limits() {
    for needed in [0.0, 0.5, 60.0, 90.0, 114.0, 500.0] {
        for hall in scaling().wanted(needed, &FleetPolicy::default()).values() {
            assert!((1..=38).contains(&hall.total()), "{needed}: {hall:?}");
        }
    }
}

/// Only staying engines are ordered if there are no reclaimable ones, if reclaimable ones are hardly cheaper, or if
/// there is only one hall.
#[test]
fn reclaimable_engines_are_ordered_only_if_they_are_cheaper_overall() {
    let staying =
        |scaling: &Scaling| scaling.wanted(30.0, &FleetPolicy::default()).values().all(|hall| hall.reclaimable == 0);
    assert!(!staying(&scaling()));
    assert!(staying(&Scaling { reclaimable_price: None, ..scaling() }));
    assert!(staying(&Scaling { reclaimable_price: Some(0.7), ..scaling() }));
    let one_hall = BTreeMap::from([(Arc::from("a"), 1.0)]);
    assert!(staying(&Scaling { hall_prices: one_hall, ..scaling() }));
}

#[test]
fn a_peak_is_held_and_then_decays() {
    let at = |seconds: u64| Time(seconds * 1_000_000);
    let mut peak = Peak::observed(10.0, at(0));
    peak.observe(60.0, at(10));
    peak.observe(5.0, at(20));
    assert!((peak.at(at(39)) - 60.0).abs() < 1e-9);
    assert!((peak.at(at(55)) - 30.0).abs() < 1e-9);
    peak.observe(40.0, at(56));
    assert!((peak.at(at(80)) - 40.0).abs() < 1e-9);
}

/// Guards against keeping ninety engines for an expected demand if forty suffice: the expected demand must no longer
/// count once the averages have settled.
#[test]
fn observed_demand_replaces_expected_demand() {
    let at = |seconds: u64| Time(seconds * 1_000_000);
    let mut peak = Peak::default();
    for second in 0..10 {
        peak.set_expected(90.0, at(second));
        assert!((peak.at(at(second)) - 90.0).abs() < 1e-9);
    }
    peak.observe(80.0, at(10));
    assert!((peak.at(at(12)) - 90.0).abs() < 1e-9, "the averages have not settled yet");
    peak.observe(40.0, at(18));
    assert!((peak.at(at(18)) - 40.0).abs() < 1e-9, "the first observation is not held");
    let mut next = Peak::expected(90.0, at(20));
    next.observe(40.0, at(21));
    assert!((next.at(at(22)) - 90.0).abs() < 1e-9);
    next.observe(120.0, at(22));
    assert!((next.at(at(22)) - 120.0).abs() < 1e-9);
}

#[test]
fn slightly_lower_demand_releases_no_engines() {
    let wanted = |needed| scaling().wanted(needed, &FleetPolicy::default());
    let (full, less, half) = (wanted(40.0), wanted(37.0), wanted(20.0));
    assert!(!should_replace(&less, &full) && should_replace(&half, &full) && should_replace(&full, &less));
}

/// A simulated platform with the engines of a pool.
struct Platform {
    scaling: Scaling,
    ordered: PoolSize,
    running: PoolSize,
    /// Engines that are starting: the second at which they are ready, their hall, and whether they are reclaimable.
    starting: Vec<(u64, Arc<str>, bool)>,
    /// Second until which a hall has no reclaimable engines.
    unavailable_until_s: BTreeMap<Arc<str>, u64>,
    orders: usize,
}

impl Platform {
    /// Starts with the given number of staying engines in each hall.
    fn new(staying_per_hall: u32) -> Self {
        let running: PoolSize = HALLS
            .iter()
            .map(|hall| (Arc::from(*hall), HallSize { staying: staying_per_hall, reclaimable: 0 }))
            .collect();
        Self {
            scaling: scaling(),
            ordered: running.clone(),
            running,
            starting: Vec::new(),
            unavailable_until_s: BTreeMap::new(),
            orders: 0,
        }
    }

    /// Takes away all reclaimable engines of a hall and makes new ones unavailable for a while.
    fn reclaim(&mut self, hall: &str, now_s: u64, unavailable_s: u64) {
        self.running.get_mut(hall).expect("the hall is known").reclaimable = 0;
        self.starting.retain(|(_, engine_hall, reclaimable)| &**engine_hall != hall || !reclaimable);
        self.unavailable_until_s.insert(Arc::from(hall), now_s + unavailable_s);
    }

    fn advance_second(&mut self, now_s: u64, wanted: &PoolSize) {
        for (hall, next) in self.scaling.next_order(wanted, &self.running, &self.ordered) {
            let hall = &hall;
            self.orders += usize::from(next != self.ordered[hall]);
            self.ordered.insert(Arc::clone(hall), next);
            let is_unavailable = self.unavailable_until_s.get(hall).is_some_and(|until| now_s < *until);
            let running = self.running.get_mut(hall).expect("the hall is known");
            running.staying = running.staying.min(next.staying);
            running.reclaimable = running.reclaimable.min(next.reclaimable);
            let starting = |is_reclaimable| {
                self.starting
                    .iter()
                    .filter(|(_, engine_hall, reclaimable)| engine_hall == hall && *reclaimable == is_reclaimable)
                    .count() as u32
            };
            let missing_staying = next.staying - (running.staying + starting(false)).min(next.staying);
            let missing_reclaimable = next.reclaimable - (running.reclaimable + starting(true)).min(next.reclaimable);
            let ready_s = now_s + self.scaling.start_time.as_seconds() as u64;
            let new_engines = (0..missing_staying)
                .map(|_| false)
                .chain((0..missing_reclaimable).filter(|_| !is_unavailable).map(|_| true));
            self.starting.extend(
                new_engines.map(|is_reclaimable| (ready_s, Arc::clone(hall), is_reclaimable)).collect::<Vec<_>>(),
            );
            let in_hall =
                running.total() + self.starting.iter().filter(|(_, engine_hall, _)| engine_hall == hall).count() as u32;
            assert!(in_hall <= self.scaling.max, "second {now_s}: {in_hall} in {hall}");
        }
        let (ready, still_starting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.starting).into_iter().partition(|s| s.0 <= now_s);
        self.starting = still_starting;
        for (_, hall, reclaimable) in ready {
            let running = self.running.get_mut(&hall).expect("the hall is known");
            if reclaimable {
                running.reclaimable += 1;
            } else {
                running.staying += 1;
            }
        }
    }

    fn serving(&self) -> f64 {
        f64::from(total(&self.running))
    }
}

/// The demand must be served in each second of the switch from staying to reclaimable engines.
#[test]
fn the_demand_is_served_during_the_switch_to_reclaimable_engines() {
    let mut platform = Platform::new(19);
    let wanted = scaling().wanted(57.0, &FleetPolicy::default());
    for now_s in 0..30 {
        platform.advance_second(now_s, &wanted);
        assert!(platform.serving() >= 57.0, "second {now_s}: {:?}", platform.running);
    }
    assert_eq!(platform.running, wanted);
    assert!(platform.orders <= 12, "{} orders", platform.orders);
}

/// All reclaimable engines of one hall are taken away at the peak and those of another soon after, and replacements
/// are unavailable for a while. Nine tenths of the demand must be served in each second, and the pool must recover
/// later.
#[test]
fn two_reclaims_without_replacements_leave_enough_engines() {
    let mut platform = Platform::new(19);
    let wanted = scaling().wanted(57.0, &FleetPolicy::default());
    for now_s in 0..90 {
        match now_s {
            30 => platform.reclaim("a", now_s, 11),
            50 => platform.reclaim("b", now_s, 11),
            _ => {}
        }
        platform.advance_second(now_s, &wanted);
        assert!(platform.serving() >= 57.0 * 0.9, "second {now_s}: {:?}", platform.running);
    }
    assert_eq!(platform.running, wanted);
}

/// A demand that swings within the start time of an engine must not change the pool.
#[test]
fn demand_that_swings_faster_than_engines_start_changes_nothing() {
    let scaling = scaling();
    let mut peak = Peak::observed(57.0, Time(0));
    let mut wanted = scaling.wanted(57.0, &FleetPolicy::default());
    let mut changes = 0;
    for second in 0..120_u64 {
        let now = Time(second * 1_000_000);
        peak.observe(if second % 6 < 3 { 20.0 } else { 57.0 }, now);
        let new = scaling.wanted(peak.at(now), &FleetPolicy::default());
        if should_replace(&new, &wanted) {
            wanted = new;
            changes += 1;
        }
    }
    assert_eq!(changes, 0);
}

/// When the demand ends, the pool must shrink to the configured minimum in a few steps.
#[test]
fn a_pool_shrinks_to_its_minimum_when_demand_ends() {
    let scaling = scaling();
    let peak = Peak::observed(57.0, Time(0));
    let mut wanted = scaling.wanted(57.0, &FleetPolicy::default());
    let mut changes = 0;
    for second in 0..300_u64 {
        let new = scaling.wanted(peak.at(Time(second * 1_000_000)), &FleetPolicy::default());
        if should_replace(&new, &wanted) {
            wanted = new;
            changes += 1;
        }
    }
    assert!(total(&wanted) <= 6, "{wanted:?}");
    assert!(changes <= 20, "{changes} changes");
}

/// Guards against limits that are as large as their type: sums over the halls overflowed.
#[test]
fn sizes_within_the_largest_limits_are_ordered() {
    for (min, max) in [(u32::MAX, u32::MAX), (0, u32::MAX), (1, u32::MAX - 1)] {
        for reclaimable_price in [None, Some(0.0), Some(-1.0), Some(f64::MAX)] {
            let scaling = Scaling { min, max, reclaimable_price, ..scaling() };
            for needed in [0.0, 3.0, f64::MAX] {
                let wanted = scaling.wanted(needed, &FleetPolicy::default());
                let order = scaling.next_order(&wanted, &wanted, &wanted);
                assert_eq!(order, wanted, "{scaling:?}, {needed}");
                assert!(!should_replace(&order, &wanted));
                assert!(order.values().all(|hall| hall.total() >= min));
            }
        }
    }
}

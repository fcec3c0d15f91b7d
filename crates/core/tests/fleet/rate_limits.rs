//! Rate limits that replicas state for all daemons combined.

use dahliaseam_core::{
    endpoint::Role,
    fleet::{
        Fleet,
        peers::{ReportId, Source},
        plan::{Plan, PlanError},
    },
    time::{Span, Time},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{facts, fleet_in_hall, fleet_with, hall_hash, id, now, prompt, report_id, req, step};

/// Length of the windows in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Time within which all daemons must respect a newly stated limit, in milliseconds.
const PROPAGATION_BOUND_MS: u64 = 3_000;

/// Maximum number of requests to a replica in one window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

/// Daemons that send to one replica whenever its limit allows it.
struct Daemons {
    fleets: Vec<Fleet>,
    limit: Option<f64>,
    /// Arrival times, in milliseconds, of requests from daemons that knew the limit.
    arrived: Vec<u64>,
}

impl Daemons {
    fn new(count: usize, limit: f64) -> Self {
        let mut daemons = Self { fleets: Vec::new(), limit: Some(limit), arrived: Vec::new() };
        for rank in 0..count {
            let mut fleet = fleet_with(&[("a", Role::Plain)]);
            fleet.set_registered_daemons(count);
            fleet.set_rate_limit_share(rank, Span(0), now());
            daemons.fleets.push(fleet);
        }
        daemons
    }

    fn time(ms: u64) -> Time {
        now() + Span::millis(ms)
    }

    /// Sends a request from one daemon if the limit allows it; it is answered immediately.
    fn send(&mut self, daemon: usize, ms: u64) -> bool {
        let fleet = &mut self.fleets[daemon];
        let time = Self::time(ms);
        let key = fleet.key("a").expect("the replica is known");
        let knew_limit = fleet.get(key).is_some_and(|replica| replica.rate_limit().is_some());
        let Some(sent) = fleet.begin_step(key, &step(key, 0.0, false), None, time) else {
            return false;
        };
        if knew_limit || self.limit.is_none() {
            self.arrived.push(ms);
        }
        fleet.set_rate_limit(&facts("a", Role::Plain), self.limit, time, time);
        fleet.end_step(&sent, dahliaseam_core::fleet::StepEnd::Done, time);
        true
    }

    /// Every daemon tries to send at each tick.
    fn run(&mut self, from_ms: u64, to_ms: u64, tick_ms: u64) {
        for ms in (from_ms..to_ms).step_by(tick_ms as usize) {
            for daemon in 0..self.fleets.len() {
                self.send(daemon, ms);
            }
        }
    }

    /// Maximum number of requests in any window that ends at or after `from_ms`.
    fn max_in_window(&self, from_ms: u64) -> usize {
        let ends = self.arrived.iter().filter(|end| **end >= from_ms);
        let within =
            |end: u64| self.arrived.iter().filter(|ms| (end.saturating_sub(WINDOW_MS)..=end).contains(ms)).count();
        ends.map(|end| within(*end)).max().unwrap_or(0)
    }
}

/// Guards against daemons that each use the full limit, and against a limit that is left unused.
#[test]
fn any_number_of_daemons_stays_within_a_shared_rate_limit() {
    for (count, tick_ms) in [(1, 5), (3, 5), (8, 5), (83, 20), (300, 50), (690, 100)] {
        for limit in [0.5, 1.0, 2.5, 4.4, 7.3, 11.0, 60.0] {
            let mut daemons = Daemons::new(count, limit);
            daemons.run(0, 20_000, tick_ms);
            let max_requests = daemons.max_in_window(PROPAGATION_BOUND_MS);
            assert!(
                max_requests <= allowed(limit),
                "{count} daemons, {limit} per second: {max_requests} of {}",
                allowed(limit)
            );
            // At least half of the limit must be used in the last ten seconds.
            let used = daemons.arrived.iter().filter(|ms| **ms >= 10_000).count();
            assert!(used as f64 >= limit * 10.0 / 2.0, "{count} daemons, {limit} per second: {used} in ten seconds");
        }
    }
}

/// Guards against a burst from slots that accumulated while there was no traffic.
#[test]
fn idle_daemons_do_not_accumulate_slots() {
    for count in [8, 83] {
        let mut daemons = Daemons::new(count, 10.0);
        daemons.run(0, 1_000, 20);
        daemons.run(30_000, 34_000, 20);
        let max_requests = daemons.max_in_window(30_000);
        assert!(max_requests <= allowed(10.0), "{count} daemons: {max_requests}");
    }
}

/// Guards against bursts when daemons join and leave, learn of it at different times, and their clocks differ.
#[test]
fn a_rate_limit_holds_while_daemons_join_and_leave() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let limit = [1.0, 4.4, 10.0][seed as usize % 3];
        let mut daemons = Daemons::new(16, limit);
        let clocks: Vec<Span> = (0..16).map(|_| Span::millis(rng.random_range(0..100))).collect();
        let mut registered = 8;
        for start_ms in (0..30_000).step_by(1_000) {
            let next = if rng.random_bool(0.3) { rng.random_range(6..=16) } else { registered };
            let learned: Vec<u64> = (0..16).map(|_| start_ms + rng.random_range(0..400)).collect();
            for ms in (start_ms..start_ms + 1_000).step_by(10) {
                for rank in 0..next.max(registered) {
                    let known = if ms >= learned[rank] { next } else { registered };
                    daemons.fleets[rank].set_registered_daemons(known);
                    daemons.fleets[rank].set_rate_limit_share(rank, clocks[rank], Daemons::time(ms));
                    if rank < known {
                        daemons.send(rank, ms);
                    }
                }
            }
            registered = next;
        }
        let max_requests = daemons.max_in_window(PROPAGATION_BOUND_MS);
        assert!(
            max_requests <= allowed(limit),
            "seed {seed}, {limit} per second: {max_requests} of {}",
            allowed(limit)
        );
    }
}

/// Guards against bursts when the time of day on some daemons jumps ahead and back.
#[test]
fn a_rate_limit_holds_while_clocks_are_stepped() {
    for count in [8, 83] {
        for limit in [1.0, 4.4, 10.0] {
            let mut daemons = Daemons::new(count, limit);
            for ms in (0..24_000).step_by(20) {
                let is_ahead = (8_000..13_000).contains(&ms);
                for rank in 0..count {
                    let is_stepped = is_ahead && rank % 3 == 0;
                    let offset = Span::millis(if is_stepped { 2_000 } else { 0 });
                    daemons.fleets[rank].set_rate_limit_share(rank, offset, Daemons::time(ms));
                    daemons.send(rank, ms);
                }
            }
            let max_requests = daemons.max_in_window(PROPAGATION_BOUND_MS);
            assert!(
                max_requests <= allowed(limit),
                "{count} daemons, {limit} per second: {max_requests} of {}",
                allowed(limit)
            );
        }
    }
}

/// Guards against a rate-limited replica that gets no requests until a clock that was set back has caught up.
#[test]
fn a_rate_limited_replica_gets_requests_after_the_clock_is_set_back() {
    let mut fleet = fleet_with(&[("a", Role::Plain)]);
    fleet.set_rate_limit_share(0, Span::millis(3_600_000), now());
    assert!(set_limit(&mut fleet, Some(2.0), 0, 0));
    assert!(accepts(&mut fleet, 1_000));
    fleet.set_rate_limit_share(0, Span(0), Daemons::time(1_100));
    assert!(accepts(&mut fleet, 2_000) && !accepts(&mut fleet, 2_000));
}

fn accepts(fleet: &mut Fleet, ms: u64) -> bool {
    let key = fleet.key("a").expect("the replica is known");
    fleet.begin_step(key, &step(key, 0.0, false), None, Daemons::time(ms)).is_some()
}

fn set_limit(fleet: &mut Fleet, limit: Option<f64>, sent_ms: u64, ms: u64) -> bool {
    fleet.set_rate_limit(&facts("a", Role::Plain), limit, Daemons::time(sent_ms), Daemons::time(ms))
}

/// Guards against a limit that is lifted by the delayed response to a request from before the limit was stated.
#[test]
fn only_an_answer_to_a_later_request_lifts_a_rate_limit() {
    let mut fleet = fleet_with(&[("a", Role::Plain)]);
    assert!(set_limit(&mut fleet, Some(0.5), 0, 10));
    assert!(!set_limit(&mut fleet, None, 5, 20));
    assert!(!accepts(&mut fleet, 30));
    assert!(set_limit(&mut fleet, None, 11, 40));
    assert!(accepts(&mut fleet, 50) && accepts(&mut fleet, 50));
}

/// Guards against a limit of zero that is never lifted because no request is sent.
#[test]
fn a_rate_limit_of_zero_is_probed_periodically() {
    let mut daemons = Daemons::new(8, 0.0);
    daemons.run(0, 60_000, 20);
    let sent = daemons.arrived.iter().filter(|ms| **ms >= 1_000).count();
    assert!((1..=10).contains(&sent), "{sent} requests in a minute");
    daemons.limit = None;
    daemons.run(60_000, 90_000, 20);
    assert!(daemons.arrived.len() > 1_000, "the limit is lifted");
}

/// Guards against daemons that ignore reported limits, and against reports that reinstate a lifted limit.
#[test]
fn daemons_report_new_and_lifted_rate_limits_to_each_other() {
    let mut here = fleet_in_hall("hall-1");
    let mut peer = fleet_in_hall("hall-1");
    let mut far = fleet_in_hall("hall-2");
    let summary =
        |number, daemons| ReportId { source: Source::Hall(hall_hash()), sender: 1, number, hall: hall_hash(), daemons };
    let mut number = 0;
    let mut exchange = |here: &mut Fleet, peer: &mut Fleet, far: &mut Fleet, ms| {
        number += 1;
        let time = Daemons::time(ms);
        peer.apply_report(report_id(2, number), &here.own_report(time), time);
        here.apply_report(report_id(3, number), &peer.own_report(time), time);
        let (sum, daemons) = peer.hall_summary(time);
        far.apply_report(summary(number, daemons), &sum, time);
    };
    set_limit(&mut here, Some(1.0), 0, 0);
    exchange(&mut here, &mut peer, &mut far, 10);
    assert!(!accepts(&mut peer, 11) && !accepts(&mut far, 11));
    // A response to the peer lifts the limit while `here` still reports the older one.
    set_limit(&mut peer, None, 1_000, 1_020);
    for ms in (1_030..3_000).step_by(100) {
        exchange(&mut here, &mut peer, &mut far, ms);
    }
    for fleet in [&mut here, &mut peer, &mut far] {
        assert!(accepts(fleet, 3_000) && accepts(fleet, 3_000));
    }
    // A lifted limit is no longer reported after a while.
    assert!(peer.own_report(Daemons::time(9_000)).rate_limits.is_empty());
}

/// Guards against choosing an engine whose rate limit has no slot for this daemon.
#[test]
fn requests_beyond_an_engines_rate_limit_go_to_another_engine() {
    let mut fleet = fleet_with(&[("a", Role::Decode), ("b", Role::Decode)]);
    set_limit(&mut fleet, Some(0.5), 0, 0);
    let prompt = prompt(10, 11, 1);
    for draw in 0..50 {
        let req = dahliaseam_core::fleet::plan::RouteRequest { draw, ..req(Some(&prompt), &[]) };
        let Ok(Plan::Single(step)) = fleet.choose(&req, now()) else { panic!("engine b is available") };
        assert_eq!(id(&fleet, step.key), "b");
    }
}

/// Guards against requests that wait for a rate-limited replica until their deadline.
#[test]
fn requests_that_no_replica_accepts_are_refused_with_a_retry_time() {
    let mut fleet = fleet_with(&[("a", Role::Plain)]);
    set_limit(&mut fleet, Some(4.0), 0, 0);
    let Err(PlanError::RateLimited { retry_after }) = fleet.choose(&req(None, &[]), now()) else {
        panic!("the request must be refused")
    };
    assert!(retry_after >= Span::millis(60) && retry_after <= Span::millis(660), "{retry_after:?}");
}

/// Guards against a later response that shortens the retry time, and against a restarted replica that inherits it.
#[test]
fn a_replica_gets_no_requests_before_its_retry_time() {
    let mut fleet = fleet_with(&[("a", Role::Plain)]);
    assert!(fleet.set_retry_at(&facts("a", Role::Plain), Daemons::time(3_000)));
    assert!(!fleet.set_retry_at(&facts("a", Role::Plain), Daemons::time(1_000)));
    assert!(!accepts(&mut fleet, 2_999));
    assert!(matches!(fleet.choose(&req(None, &[]), Daemons::time(2_000)), Err(PlanError::RateLimited { .. })));
    assert!(accepts(&mut fleet, 3_000) && fleet.choose(&req(None, &[]), Daemons::time(3_000)).is_ok());
    let restarted = dahliaseam_core::fleet::replica::ReplicaFacts { start_time_ms: Some(2), ..facts("a", Role::Plain) };
    fleet.set_retry_at(&facts("a", Role::Plain), Daemons::time(9_000));
    fleet.put(restarted, 2);
    assert!(accepts(&mut fleet, 4_000));
}

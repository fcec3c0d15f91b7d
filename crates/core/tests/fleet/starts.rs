//! Replicas that restart under the same identifier.
//!
//! By the users' requirements, a restarted replica has none of its earlier state, its counters start at zero, and its
//! start time distinguishes two starts. State recorded for one start must be discarded with it, in whatever order
//! updates arrive.

use dahliaseam_core::{
    endpoint::Role,
    fleet::{
        Fleet, StepEnd,
        peers::{LoadReport, ReportId, Source},
        replica::ReplicaFacts,
    },
    time::{Span, Time},
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

use crate::{fleet, hall_hash, now, prompt, step};

const ID: &str = "a";

fn facts_of_start(start_time_ms: u64) -> ReplicaFacts {
    ReplicaFacts { start_time_ms: Some(start_time_ms), ..crate::facts(ID, Role::Decode) }
}

fn fleet_with_facts(facts: ReplicaFacts) -> Fleet {
    let mut fleet = fleet();
    fleet.put(facts, 1);
    fleet
}

fn active(fleet: &Fleet) -> u32 {
    fleet.replicas().map(|(_, replica)| replica.active()).sum()
}

fn held_tokens(fleet: &Fleet) -> u32 {
    let key = fleet.key(ID).expect("the replica is known");
    fleet.get(key).expect("the replica is known").cache.held_tokens(&prompt(7, 7, 10))
}

/// The report of a daemon that has load on the given start.
fn report_with_load(start_time_ms: u64) -> LoadReport {
    let mut fleet = fleet_with_facts(facts_of_start(start_time_ms));
    let key = fleet.key(ID).expect("the replica is known");
    fleet.begin_step(key, &step(key, 50.0, true), Some(&prompt(7, 7, 10)), now());
    fleet.own_report(now())
}

#[test]
fn the_state_of_a_replica_is_discarded_when_it_restarts() {
    let mut fleet = fleet_with_facts(ReplicaFacts { draining: true, ..facts_of_start(1_000) });
    let key = fleet.key(ID).expect("the replica is known");
    let sent =
        fleet.begin_step(key, &step(key, 50.0, true), Some(&prompt(7, 7, 10)), now()).expect("the replica is known");
    fleet.mark_unreachable(&facts_of_start(1_000), now());
    fleet.start_role_change(key, Role::Prefill, now() + Span::millis(9_000));
    fleet.hold_orders_until(key, now() + Span::millis(9_000));
    assert!(fleet.put(facts_of_start(5_000), 2), "the entry belongs to a new start");
    let new_key = fleet.key(ID).expect("the replica is known");
    assert_ne!(new_key, key, "nothing planned for the previous start applies to the new one");
    let replica = fleet.get(new_key).expect("the replica is known");
    assert!(replica.is_open(now()) && replica.health.is_available(now()) && replica.orders_held_until.is_past(now()));
    assert_eq!((replica.active(), held_tokens(&fleet)), (0, 0));
    assert!(fleet.get(key).is_none());
    assert!(fleet.is_replaced(&facts_of_start(1_000)) && !fleet.is_replaced(&facts_of_start(5_000)));
    assert!(!fleet.mark_unreachable(&facts_of_start(1_000), now()), "that was the previous start");
    // Requests that were active end without affecting the new start.
    assert!(!fleet.end_step(&sent, StepEnd::Silent, now()));
    let replica = fleet.get(new_key).expect("the replica is known");
    assert!(replica.health.is_available(now()));
}

#[test]
fn a_replica_without_a_start_time_is_supported() {
    let mut fleet = fleet_with_facts(crate::facts(ID, Role::Decode));
    let key = fleet.key(ID).expect("the replica is known");
    assert!(!fleet.put(crate::facts(ID, Role::Decode), 2));
    assert_eq!(fleet.key(ID), Some(key));
}

/// An update, which may arrive in any order and from any source.
enum Arrival {
    Entry(ReplicaFacts, i64),
    Removed(i64),
    Peer(ReportId, LoadReport),
}

#[test]
fn updates_from_an_older_start_have_no_effect_in_any_order() {
    let (old, new) = (report_with_load(1_000), report_with_load(5_000));
    for seed in 0..10_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let report_id = |sender: u64, number| ReportId {
            source: Source::Daemon(sender),
            sender,
            number,
            hall: hall_hash(),
            daemons: 1,
        };
        let mut arrivals = vec![
            Arrival::Entry(facts_of_start(1_000), 3),
            Arrival::Entry(facts_of_start(1_000), 5),
            Arrival::Removed(7),
            Arrival::Entry(facts_of_start(5_000), 9),
            Arrival::Peer(report_id(1, 1), old.clone()),
            Arrival::Peer(report_id(2, 1), new.clone()),
        ];
        // A daemon that copies the store's contents from a peer may receive an entry of the older start at a newer
        // revision than it has seen.
        if rng.random_bool(0.5) {
            arrivals.push(Arrival::Entry(facts_of_start(1_000), 10));
        }
        arrivals.shuffle(&mut rng);
        let mut fleet = fleet();
        for arrival in arrivals {
            match arrival {
                Arrival::Entry(facts, revision) => drop(fleet.put(facts, revision)),
                Arrival::Removed(revision) => drop(fleet.mark_removed(ID, revision, Time(0))),
                Arrival::Peer(id, report) => drop(fleet.apply_report(id, &report, now())),
            }
        }
        let key = fleet.key(ID).expect("the replica is known");
        assert_eq!(fleet.get(key).expect("the replica is known").facts.start_time_ms, Some(5_000), "seed {seed}");
        assert!(fleet.get(key).expect("the replica is known").is_open(now()), "seed {seed}");
        // A peer's load on the previous start does not count; its load on the present start is reported repeatedly.
        fleet.apply_report(report_id(1, 2), &old, now());
        fleet.apply_report(report_id(2, 2), &new, now());
        assert_eq!(active(&fleet), 1, "seed {seed}");
    }
}

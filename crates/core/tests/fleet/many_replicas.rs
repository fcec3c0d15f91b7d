//! Thousands of replicas, most of them idle.
//!
//! Guards against a selection whose cost grows with the number of replicas. It examined all of them several times, so
//! that a daemon with an eighth of a core took tens of milliseconds for each request while the engines were idle. A
//! sample must still find the engine that holds a prompt, and avoid engines that are busy.

use std::{collections::HashMap, sync::Arc};

use dahliaseam_core::{
    endpoint::Role,
    fleet::{Fleet, plan::RouteRequest, replica::ReplicaFacts},
};

use crate::{facts, fleet, id, now, prompt, req, step};

const REPLICAS: usize = 5_000;

fn large_fleet(role: Role) -> Fleet {
    let mut fleet = fleet();
    for n in 0..REPLICAS {
        let hall = Arc::from(format!("hall-{}", 1 + n % 5));
        fleet.put(ReplicaFacts { hall, ..facts(&format!("e{n}"), role) }, 1);
    }
    fleet
}

#[test]
fn the_engine_that_holds_a_prompt_is_found_among_thousands() {
    let mut fleet = large_fleet(Role::Decode);
    for subject in 10..60 {
        let earlier = prompt(subject, 1_000 + subject, 1);
        let holder = fleet.key(&format!("e{}", subject * 5)).expect("the replica is known");
        let sent =
            fleet.begin_step(holder, &step(holder, 1.0, false), Some(&earlier), now()).expect("the replica is known");
        fleet.end_step(&sent, dahliaseam_core::fleet::StepEnd::Done, now());
        let next = prompt(subject, 2_000 + subject, 1);
        let plan = fleet
            .choose(&RouteRequest { draw: subject, ..req(Some(&next), &[]) }, now())
            .expect("a replica is available");
        assert_eq!(id(&fleet, plan.prefill_step().key), format!("e{}", subject * 5));
    }
}

#[test]
fn requests_spread_over_thousands_of_idle_replicas_of_the_own_hall() {
    let mut fleet = large_fleet(Role::Plain);
    let mut requests_by_replica: HashMap<String, u32> = HashMap::new();
    for draw in 0..1_000_u64 {
        let draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let plan = fleet.choose(&RouteRequest { draw, ..req(None, &[]) }, now()).expect("a replica is available");
        let key = plan.prefill_step().key;
        assert_eq!(&*fleet.get(key).expect("the replica is known").facts.hall, "hall-1");
        fleet.begin_step(key, &step(key, 1.0, false), None, now());
        *requests_by_replica.entry(id(&fleet, key)).or_default() += 1;
    }
    let busiest = requests_by_replica.values().max().copied().unwrap_or_default();
    assert!(busiest <= 4, "{busiest} of 1,000 requests at one of 1,000 replicas");
}

/// A removed replica is not a candidate, even if it is recorded for a part of the prompt.
#[test]
fn removed_replicas_are_not_chosen() {
    let mut fleet = large_fleet(Role::Decode);
    let earlier = prompt(10, 11, 1);
    let holder = fleet.key("e10").expect("the replica is known");
    let sent =
        fleet.begin_step(holder, &step(holder, 1.0, false), Some(&earlier), now()).expect("the replica is known");
    fleet.end_step(&sent, dahliaseam_core::fleet::StepEnd::Done, now());
    fleet.mark_removed("e10", 2, now());
    assert_eq!(fleet.remove_gone(now()).len(), 1);
    let next = prompt(10, 12, 1);
    let plan = fleet.choose(&req(Some(&next), &[]), now()).expect("a replica is available");
    assert_ne!(id(&fleet, plan.prefill_step().key), "e10");
}

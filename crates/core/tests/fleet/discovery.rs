//! Tests of how replicas are added and removed, and of what is counted for each.

use dahliaseam_core::{
    endpoint::Role,
    fleet::{
        StepEnd,
        budget::{BudgetShare, RetryBudget, RetryBudgetTerms},
        cache::PrefixCache,
        plan::PlanError,
        replica::ReplicaFacts,
    },
    time::{Span, Time},
};

use crate::{facts, fleet_with, now, prompt, req, step};

#[test]
fn a_lapsed_replica_is_kept_for_its_grace_period_and_restored_by_its_entry() {
    let mut fleet = fleet_with(&[("a", Role::Plain)]);
    let later = now() + Span::millis(2_000);
    assert!(fleet.mark_removed("a", 2, later));
    assert!(fleet.choose(&req(None, &[]), now()).is_ok());
    assert_eq!(fleet.choose(&req(None, &[]), later), Err(PlanError::NoReplica));
    fleet.put(facts("a", Role::Plain), 3);
    assert!(fleet.choose(&req(None, &[]), later).is_ok());
}

#[test]
fn updates_with_an_older_revision_are_ignored() {
    let mut fleet = fleet_with(&[("a", Role::Plain)]);
    fleet.put(facts("a", Role::Plain), 9);
    assert!(!fleet.mark_removed("a", 5, now()));
    assert!(!fleet.put(ReplicaFacts { draining: true, ..facts("a", Role::Plain) }, 4));
    assert!(fleet.choose(&req(None, &[]), now()).is_ok());
}

#[test]
fn a_draining_replica_stays_draining() {
    let mut fleet = fleet_with(&[("a", Role::Plain)]);
    fleet.put(ReplicaFacts { draining: true, ..facts("a", Role::Plain) }, 2);
    fleet.put(facts("a", Role::Plain), 3);
    assert_eq!(fleet.choose(&req(None, &[]), now()), Err(PlanError::NoReplica));
}

#[test]
fn a_gone_replica_is_removed() {
    let mut fleet = fleet_with(&[("a", Role::Plain), ("b", Role::Plain)]);
    assert!(fleet.mark_removed("a", 5, now()));
    assert!(!fleet.mark_removed("unknown", 5, now()));
    assert_eq!(fleet.remove_gone(now()).iter().map(|id| &**id).collect::<Vec<_>>(), ["a"]);
    assert_eq!(fleet.replicas().count(), 1);
}

#[test]
fn a_gone_replica_is_kept_while_requests_are_in_flight() {
    let mut fleet = fleet_with(&[("a", Role::Plain)]);
    let key = fleet.key("a").expect("the replica is known");
    let sent = fleet.begin_step(key, &step(key, 0.0, false), None, now()).expect("the replica is known");
    fleet.mark_removed("a", 2, now());
    assert!(fleet.remove_gone(now()).is_empty());
    fleet.end_step(&sent, StepEnd::Done, now());
    assert_eq!(fleet.remove_gone(now()).len(), 1);
}

#[test]
fn the_cache_evicts_the_least_recently_used_parts() {
    let mut cache = PrefixCache::new(9_000);
    let (a, b, c) = (prompt(10, 11, 1), prompt(20, 21, 1), prompt(30, 31, 1));
    cache.insert(&a.parts);
    cache.insert(&b.parts);
    assert_eq!(cache.held_tokens(&a), 4_000);
    cache.insert(&c.parts);
    assert_eq!(cache.held_tokens(&c), 4_000);
    assert!(cache.held_tokens(&a) < 4_000, "the least recently used parts were evicted");
    // All prompts share the first part, so it is never the least recently used.
    assert!(cache.held_tokens(&a) >= 1_000);
}

#[test]
fn retries_stay_within_the_budget_in_every_window() {
    let terms = RetryBudgetTerms { ratio: 0.2, slack: 10.0, window: Span::millis(10_000) };
    let mut budget = RetryBudget::default();
    let share = BudgetShare { daemons: 2, started_at: Time(0) };
    let mut retries: Vec<Time> = Vec::new();
    let mut requests: Vec<Time> = Vec::new();
    for n in 0..4_000_u64 {
        let at = now() + Span::millis(n * 10);
        if n % 3 == 0 {
            budget.record_request(&terms, at);
            requests.push(at);
        }
        if budget.take(1, &terms, share, at) {
            retries.push(at);
        }
    }
    for start in (0..30_000).step_by(500) {
        let from = now() + Span::millis(start);
        let until = from + terms.window;
        let within = |times: &[Time]| times.iter().filter(|at| **at >= from && **at < until).count() as f64;
        assert!(within(&retries) <= within(&requests) * terms.ratio + terms.slack / 2.0 + 1.0);
    }
    assert!(retries.len() > 150, "most of the budget is used: {}", retries.len());
}

#[test]
fn concurrent_failures_eject_a_replica_once() {
    let mut fleet = fleet_with(&[("a", Role::Plain)]);
    let key = fleet.key("a").expect("the replica is known");
    let sent: Vec<_> = (0..20).filter_map(|_| fleet.begin_step(key, &step(key, 0.0, false), None, now())).collect();
    let ejections = sent.iter().filter(|sent| fleet.end_step(sent, StepEnd::Silent, now())).count();
    assert_eq!(ejections, 1);
    assert!(fleet.choose(&req(None, &[]), now()).is_err());
    // The first ejection is short, however many steps failed at the same time.
    assert!(fleet.choose(&req(None, &[]), now() + Span::millis(600)).is_ok());
}

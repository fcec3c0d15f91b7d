//! Tests of the reports between daemons.

use std::sync::Arc;

use dahliaseam_core::{
    endpoint::Role,
    fleet::{
        Fleet,
        budget::RetryBudgetTerms,
        peers::{LoadReport, ReplicaLoad, ReportId, Source},
        plan::{Plan, RouteRequest},
    },
    prompt::Prompt,
    time::Span,
};

use crate::{
    SERVICE, active_at_a, facts, fleet_in_hall, fleet_with, hall_hash, id, load_at_a, now, report_id, req, step,
};

#[test]
fn a_peers_load_counts_until_it_is_updated_or_the_peer_times_out() {
    let mut fleet = fleet_with(&[("a", Role::Plain), ("b", Role::Plain)]);
    let mut other = fleet_with(&[("a", Role::Plain), ("b", Role::Plain)]);
    let key = other.key("a").expect("the replica is known");
    for _ in 0..9 {
        other.begin_step(key, &step(key, 0.0, false), None, now());
    }
    let report = other.own_report(now());
    fleet.apply_report(report_id(1, 5), &report, now());
    let chosen = |fleet: &Fleet| match fleet.choose(&req(None, &[]), now()) {
        Ok(Plan::Single(step)) => id(fleet, step.key),
        other => panic!("{other:?}"),
    };
    assert_eq!(chosen(&fleet), "b");
    let outdated = LoadReport { loads: Vec::new(), ..report.clone() };
    fleet.apply_report(report_id(1, 4), &outdated, now());
    let active = |fleet: &Fleet| fleet.replicas().map(|(_, replica)| replica.active()).sum::<u32>();
    assert_eq!(active(&fleet), 9);
    assert_eq!(fleet.daemons(), 2);
    assert_eq!(fleet.remove_expired_peers(now() + Span::millis(5_000)), [1]);
    assert_eq!((active(&fleet), fleet.daemons()), (0, 1));
}

#[test]
fn unreachable_replicas_are_reported_to_peers() {
    let mut here = fleet_with(&[("a", Role::Plain), ("b", Role::Plain)]);
    let mut there = fleet_with(&[("a", Role::Plain), ("b", Role::Plain)]);
    let gone = facts("a", Role::Plain);
    assert!(here.mark_unreachable(&gone, now()));
    assert!(!here.mark_unreachable(&gone, now()), "it is already ejected");
    there.apply_report(report_id(1, 1), &here.own_report(now()), now());
    for draw in 0..100 {
        for fleet in [&here, &there] {
            let Ok(Plan::Single(step)) = fleet.choose(&RouteRequest { draw, ..req(None, &[]) }, now()) else {
                panic!("replica b is available");
            };
            assert_eq!(id(fleet, step.key), "b");
        }
    }
}

#[test]
fn reported_load_of_unknown_replicas_is_ignored() {
    let mut fleet = fleet_with(&[("a", Role::Plain)]);
    let unknown = ReplicaLoad { replica: 1, prefill_ms: 9, late_ms: 0, active: 9, long_answers: 0, ejected: false };
    fleet.apply_report(report_id(1, 1), &LoadReport { loads: vec![unknown], ..LoadReport::default() }, now());
    fleet.apply_report(report_id(1, 2), &LoadReport::default(), now());
    assert_eq!(fleet.replicas().map(|(_, replica)| replica.active()).sum::<u32>(), 0);
}

#[test]
fn the_load_of_a_hall_is_summarized_and_counted_once() {
    let mut relay = fleet_in_hall("hall-1");
    relay.apply_report(report_id(1, 1), &load_at_a(2), now());
    relay.apply_report(report_id(2, 1), &load_at_a(60), now());
    let key = relay.key("a").expect("the replica is known");
    relay.begin_step(key, &step(key, 0.0, false), None, now());
    let (report, daemons) = relay.hall_summary(now());
    assert_eq!((report.loads[0].active, report.loads[0].ejected, daemons), (63, true, 3));

    let mut far = fleet_in_hall("hall-2");
    far.apply_report(report_id(1, 1), &load_at_a(2), now());
    assert_eq!((active_at_a(&far), far.daemons()), (2, 2));
    let summary =
        |sender, number| ReportId { source: Source::Hall(hall_hash()), sender, number, hall: hall_hash(), daemons };
    far.apply_report(summary(9, 5), &report, now());
    assert_eq!((active_at_a(&far), far.daemons()), (63, 4));
    // The summary already contains the load of each daemon of that hall; an older summary, and one of the own hall,
    // are ignored.
    far.apply_report(report_id(1, 2), &load_at_a(2), now());
    far.apply_report(summary(9, 4), &load_at_a(1), now());
    relay.apply_report(summary(9, 6), &load_at_a(1), now());
    assert_eq!((active_at_a(&far), active_at_a(&relay)), (63, 63));
    // Another daemon may send the summary of the hall from now on.
    far.apply_report(summary(8, 1), &load_at_a(5), now());
    assert_eq!(active_at_a(&far), 5);
    // The load of other halls is not reported as that of this hall.
    assert_eq!(far.hall_summary(now()).0.loads, Vec::new());
    assert_eq!(far.remove_expired_peers(now() + Span::millis(5_000)), [8]);
    assert_eq!((active_at_a(&far), far.daemons()), (0, 1));
}

#[test]
fn a_daemon_without_peers_spends_only_its_share_of_the_retry_budget() {
    let mut fleet = fleet_in_hall("hall-1");
    let terms = RetryBudgetTerms { ratio: 0.2, slack: 40.0, window: Span::seconds(10.0) };
    fleet.set_registered_daemons(8);
    let service: Arc<str> = Arc::from(SERVICE);
    let taken = (0..40).filter(|_| fleet.take_retries(1, &service, &terms, now())).count();
    assert!((1..=5).contains(&taken), "{taken} retries");
}

#[test]
fn reports_stay_small_for_prompts_with_many_parts() {
    let mut fleet = fleet_in_hall("hall-1");
    let key = fleet.key("a").expect("the replica is known");
    for n in 0..200 {
        let prompt = Prompt::new("m", (0..60).map(|part| (n * 100 + part, 100)), 6_000, 10);
        fleet.begin_step(key, &step(key, 0.0, false), Some(&prompt), now());
    }
    let parts = |report: &LoadReport| report.prompts.iter().map(|note| note.parts.len()).sum::<usize>();
    let own = fleet.own_report(now());
    fleet.apply_report(report_id(1, 1), &own, now());
    let (sum, _) = fleet.hall_summary(now());
    assert!((1..=400).contains(&parts(&own)), "{} parts", parts(&own));
    assert!((1..=400).contains(&parts(&sum)), "{} parts", parts(&sum));
}

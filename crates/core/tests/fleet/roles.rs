//! Tests of the roles that engines are given.

use std::sync::Arc;

use dahliaseam_core::{
    endpoint::Role,
    fleet::{
        Fleet, StepEnd, StreamPart,
        plan::{Plan, RouteRequest},
        replica::ReplicaFacts,
        split::EngineDemand,
    },
    prompt::Prompt,
    time::Span,
};

use crate::{SERVICE, facts, fleet, fleet_with, id, now, req, step};

#[test]
fn enough_decode_engines_are_kept_for_answers() {
    let roles: Vec<(String, Role)> =
        (0..12).map(|n| (format!("e{n}"), if n < 4 { Role::Prefill } else { Role::Decode })).collect();
    let roles: Vec<(&str, Role)> = roles.iter().map(|(id, role)| (id.as_str(), *role)).collect();
    let mut fleet = fleet_with(&roles);
    // Each engine has ten slots, of which only a share counts: 25 short answers require more than three engines, and
    // about twice as many are kept.
    let demand = EngineDemand { prefill: 9.0, slots: 25.0, ..EngineDemand::default() };
    let mut changed = 0;
    let mut at = now();
    while let Some(change) = fleet.next_role_change(SERVICE, demand, at) {
        assert_eq!(change.to, Role::Prefill);
        fleet.put(facts(&id(&fleet, change.key), Role::Prefill), 2);
        at = at + Span::millis(3_000);
        changed += 1;
    }
    assert!((0..=1).contains(&changed), "{changed} decode engines changed their role");
    let mut fleet = fleet_with(&roles);
    let demand = EngineDemand { prefill: 9.0, slots: 5.0, ..EngineDemand::default() };
    let first = fleet.next_role_change(SERVICE, demand, now()).expect("decode engines can be spared");
    fleet.start_role_change(first.key, first.to, now() + Span::millis(3_000));
    let second = fleet.next_role_change(SERVICE, demand, now()).expect("two of twelve may change at once");
    fleet.start_role_change(second.key, second.to, now() + Span::millis(3_000));
    assert_eq!(fleet.next_role_change(SERVICE, demand, now()), None, "no more than two may change at once");
    let transfer = EngineDemand { transfer: 7.0, prefill: 0.1, ..EngineDemand::default() };
    assert_eq!(
        fleet_with(&roles).next_role_change(SERVICE, transfer, now()).map(|change| change.to),
        Some(Role::Decode)
    );
}

#[test]
fn roles_follow_demand_and_a_minimum_of_each_role_is_kept() {
    let roles = [
        ("p1", Role::Prefill),
        ("p2", Role::Prefill),
        ("d1", Role::Decode),
        ("d2", Role::Decode),
        ("d3", Role::Decode),
        ("d4", Role::Decode),
    ];
    let mut fleet = fleet_with(&roles);
    let prefill = EngineDemand { prefill: 9.0, slots: 2.0, ..EngineDemand::default() };
    let mut changed = 0;
    while let Some(change) = fleet.next_role_change(SERVICE, prefill, now()) {
        assert_eq!(change.to, Role::Prefill);
        fleet.start_role_change(change.key, change.to, now() + Span::millis(3_000));
        assert_eq!(fleet.next_role_change(SERVICE, prefill, now()), None, "of so few engines one changes at a time");
        fleet.put(facts(&id(&fleet, change.key), Role::Prefill), 2);
        changed += 1;
    }
    assert_eq!(changed, 2, "two decode engines are kept");
    let low_demand = EngineDemand { prefill: 0.1, slots: 2.0, ..EngineDemand::default() };
    assert_eq!(fleet_with(&roles).next_role_change(SERVICE, low_demand, now()), None);
    let answers = EngineDemand { prefill: 0.1, slots: 90.0, ..EngineDemand::default() };
    assert_eq!(fleet_with(&roles).next_role_change(SERVICE, answers, now()), None, "two prefill engines are kept");
}

#[test]
fn an_engine_with_an_unconfirmed_order_gets_no_other() {
    let mut fleet =
        fleet_with(&[("p", Role::Prefill), ("d1", Role::Decode), ("d2", Role::Decode), ("d3", Role::Decode)]);
    let prefill = EngineDemand { prefill: 9.0, slots: 2.0, ..EngineDemand::default() };
    let first = fleet.next_role_change(SERVICE, prefill, now()).expect("one role change is worthwhile");
    fleet.hold_orders_until(first.key, now() + Span::millis(13_000));
    let second = fleet.next_role_change(SERVICE, prefill, now()).expect("another engine can change its role");
    assert_ne!(first.key, second.key);
}

#[test]
fn an_engine_with_long_answers_keeps_its_role() {
    let mut fleet =
        fleet_with(&[("p", Role::Prefill), ("d1", Role::Decode), ("d2", Role::Decode), ("d3", Role::Decode)]);
    for id in ["d1", "d2", "d3"] {
        let key = fleet.key(id).expect("the replica is known");
        fleet.begin_step(key, &step(key, 0.0, true), None, now());
    }
    assert_eq!(
        fleet.next_role_change(SERVICE, EngineDemand { prefill: 9.0, slots: 2.0, ..EngineDemand::default() }, now()),
        None
    );
}

/// Guards against decode engines that are overloaded while prefill engines are idle. Few engines decode and many
/// prefill: streams of some seconds fill the decode engines until the longest reach their callers' time limit, while
/// two thirds of the prefill engines are idle. Judged by slots alone, a quarter of which are in use, neither role lacks
/// engines.
#[test]
fn idle_prefill_engines_become_decode_engines_if_answers_are_too_slow() {
    let roles: Vec<(String, Role)> =
        (0..60).map(|n| (format!("e{n}"), if n < 42 { Role::Prefill } else { Role::Decode })).collect();
    let mut fleet = fleet();
    for (id, role) in &roles {
        fleet.put(ReplicaFacts { slots: 64, ..facts(id, *role) }, 1);
    }
    learn_streams(&mut fleet, "e50");
    let demand = EngineDemand { prefill: 10.0, slots: 450.0, ..EngineDemand::default() };
    let mut at = now() + Span::millis(20_000);
    let mut decode_engines = 18;
    while let Some(change) = fleet.next_role_change(SERVICE, demand, at) {
        assert_eq!(change.to, Role::Decode);
        let id = id(&fleet, change.key);
        fleet.put(ReplicaFacts { slots: 64, ..facts(&id, Role::Decode) }, 2);
        at = at + Span::millis(3_000);
        decode_engines += 1;
    }
    assert!((19..=32).contains(&decode_engines), "{decode_engines} decode engines");
}

/// Learns from streams of up to 957 tokens whose 70 events are farther apart the more streams are active.
fn learn_streams(fleet: &mut Fleet, id: &str) {
    let key = fleet.key(id).expect("the replica is known");
    let prompt = Prompt::new("m", [(1, 600)].into_iter(), 600, 957);
    let req = RouteRequest { time_left: Span::millis(8_000), ..req(Some(&prompt), &[]) };
    let long = step(key, 1.0, true);
    fleet.record_demand(&Arc::from(SERVICE), &req, &Plan::Single(long), true, now());
    let mut running = Vec::new();
    for n in 0..40_u64 {
        let sent = fleet.begin_step(key, &long, Some(&prompt), now()).expect("the replica is known");
        running.push(sent);
        let took = Span::seconds(70.0 * (41.0 + 0.9 * n as f64) / 1_000.0);
        fleet.learn_stream_part(&sent, &StreamPart { events: 70, total: 70, took, ..StreamPart::default() });
    }
    for sent in running {
        let stream = StreamPart { events: 70, total: 70, took: Span::millis(4_000), ..StreamPart::default() };
        fleet.learn_finished_stream(&sent, &stream, now() + Span::millis(9_000));
        fleet.end_step(&sent, StepEnd::Done, now() + Span::millis(9_000));
    }
}

/// Answers of less than a thousand tokens can occupy their slots for seconds, which is learned from their streams.
#[test]
fn answers_are_classified_as_long_by_their_duration() {
    let mut fleet = fleet_with(&[("d1", Role::Decode), ("d2", Role::Decode)]);
    let prompt = Prompt::new("m", [(1, 600)].into_iter(), 600, 957);
    let is_long = |fleet: &Fleet, prompt: &Prompt| {
        let plan = fleet.choose(&req(Some(prompt), &[]), now() + Span::millis(20_000)).expect("an engine is available");
        plan.is_long()
    };
    assert!(!is_long(&fleet, &prompt), "no answer was observed yet");
    learn_streams(&mut fleet, "d1");
    assert!(is_long(&fleet, &prompt));
    let short = Prompt::new("m", [(1, 600)].into_iter(), 600, 90);
    assert!(!is_long(&fleet, &short));
}

/// Engines occasionally pause for four times the usual interval: an answer whose events are 60 ms apart on average then
/// pauses for 240 ms, and the more answers an engine has, the fewer of them stay within a pause of 250 ms.
#[test]
fn engines_with_long_pauses_are_given_fewer_answers() {
    let next_role = |factor: u64| {
        let mut fleet = fleet();
        for n in 0..60 {
            let role = if n < 30 { Role::Prefill } else { Role::Decode };
            fleet.put(ReplicaFacts { slots: 64, ..facts(&format!("d{n}"), role) }, 1);
        }
        learn_streams(&mut fleet, "d31");
        fleet.set_max_pause(&Arc::from(SERVICE), Some(Span::millis(250)));
        let key = fleet.key("d31").expect("the replica is known");
        let long = step(key, 1.0, true);
        let prompt = Prompt::new("m", [(1, 600)].into_iter(), 600, 957);
        let sent = fleet.begin_step(key, &long, Some(&prompt), now()).expect("the replica is known");
        let longest_interval = Span::millis(60 * factor);
        let stream = StreamPart { events: 50, total: 50, took: Span::millis(3_000), longest_interval };
        for _ in 0..200 {
            fleet.learn_finished_stream(&sent, &stream, now() + Span::millis(9_000));
        }
        let demand = EngineDemand { prefill: 10.0, slots: 700.0, ..EngineDemand::default() };
        fleet.next_role_change(SERVICE, demand, now() + Span::millis(20_000)).map(|change| change.to)
    };
    assert_eq!(next_role(1), None);
    assert_eq!(next_role(4), Some(Role::Decode));
}

//! Which roles engines take.

use dahliaseam_core::{endpoint::Role, fleet::split::Demand, time::Span};

use crate::{SERVICE, facts, id, now, step, with};

#[test]
fn decode_engines_are_kept_for_answers_of_any_length() {
    let roles: Vec<(String, Role)> =
        (0..12).map(|n| (format!("e{n}"), if n < 4 { Role::Prefill } else { Role::Decode })).collect();
    let roles: Vec<(&str, Role)> = roles.iter().map(|(id, role)| (id.as_str(), *role)).collect();
    let mut fleet = with(&roles);
    // Ten slots each: 25 short answers take more than three engines, and twice that is kept.
    let demand = Demand { reading: 9.0, slots: 25.0, ..Demand::default() };
    let mut changed = 0;
    let mut at = now();
    while let Some(shift) = fleet.next_shift(SERVICE, demand, at) {
        assert_eq!(shift.to, Role::Prefill);
        fleet.put(facts(&id(&fleet, shift.key), Role::Prefill), 2);
        at = at + Span::millis(3_000);
        changed += 1;
    }
    assert!((0..=1).contains(&changed), "{changed} were taken");
    let mut fleet = with(&roles);
    let demand = Demand { reading: 9.0, slots: 5.0, ..Demand::default() };
    let first = fleet.next_shift(SERVICE, demand, now()).expect("there are some to spare");
    fleet.set_changing(first.key, first.to, now() + Span::millis(3_000));
    let second = fleet.next_shift(SERVICE, demand, now()).expect("two of twelve may change at once");
    fleet.set_changing(second.key, second.to, now() + Span::millis(3_000));
    assert_eq!(fleet.next_shift(SERVICE, demand, now()), None, "no more than two");
    let moving = Demand { moving: 7.0, reading: 0.1, ..Demand::default() };
    assert_eq!(with(&roles).next_shift(SERVICE, moving, now()).map(|shift| shift.to), Some(Role::Decode));
}

#[test]
fn roles_follow_the_demand_and_never_leave_one_side_empty() {
    let roles = [
        ("p1", Role::Prefill),
        ("p2", Role::Prefill),
        ("d1", Role::Decode),
        ("d2", Role::Decode),
        ("d3", Role::Decode),
        ("d4", Role::Decode),
    ];
    let mut fleet = with(&roles);
    let reading = Demand { reading: 9.0, slots: 2.0, ..Demand::default() };
    let mut changed = 0;
    while let Some(shift) = fleet.next_shift(SERVICE, reading, now()) {
        assert_eq!(shift.to, Role::Prefill);
        fleet.set_changing(shift.key, shift.to, now() + Span::millis(3_000));
        assert_eq!(fleet.next_shift(SERVICE, reading, now()), None, "one at a time of so few");
        fleet.put(facts(&id(&fleet, shift.key), Role::Prefill), 2);
        changed += 1;
    }
    assert_eq!(changed, 2, "two decode engines are kept");
    let calm = Demand { reading: 0.1, slots: 2.0, ..Demand::default() };
    assert_eq!(with(&roles).next_shift(SERVICE, calm, now()), None);
    let answers = Demand { reading: 0.1, slots: 90.0, ..Demand::default() };
    assert_eq!(with(&roles).next_shift(SERVICE, answers, now()), None, "two prefill engines are kept");
}

#[test]
fn an_engine_whose_order_is_uncertain_gets_no_other() {
    let mut fleet = with(&[("p", Role::Prefill), ("d1", Role::Decode), ("d2", Role::Decode), ("d3", Role::Decode)]);
    let reading = Demand { reading: 9.0, slots: 2.0, ..Demand::default() };
    let first = fleet.next_shift(SERVICE, reading, now()).expect("one is worth it");
    fleet.no_orders_until(first.key, now() + Span::millis(13_000));
    let second = fleet.next_shift(SERVICE, reading, now()).expect("another one can change");
    assert_ne!(first.key, second.key);
}

#[test]
fn an_engine_with_long_answers_keeps_its_role() {
    let mut fleet = with(&[("p", Role::Prefill), ("d1", Role::Decode), ("d2", Role::Decode), ("d3", Role::Decode)]);
    for id in ["d1", "d2", "d3"] {
        let key = fleet.key(id).expect("it is known");
        fleet.begin(key, &step(key, 0.0, true), None, now());
    }
    assert_eq!(fleet.next_shift(SERVICE, Demand { reading: 9.0, slots: 2.0, ..Demand::default() }, now()), None);
}

//! Each checker finds the violation in a history that breaks its guarantee, and none in one that
//! keeps it.

use dahliaseam_core::{custody::OrderKind, endpoint::Role};
use proofs::check::{
    aborted_requests, conflicting_orders, conflicting_orders_with_crashes, false_not_run, late_starts, repeated_keys,
    wrong_answers,
};
use stand_ins::history::{Entry, Event};

fn entries(events: Vec<(&str, Event)>) -> Vec<Entry> {
    let numbered = events.into_iter().enumerate();
    numbered.map(|(n, (who, event))| Entry { at: n as u64, who: who.to_owned(), event }).collect()
}

fn accepted(epoch: u64, sequence: u64, by: &str, kind: OrderKind, checks: bool) -> Event {
    Event::OrderTaken { epoch, sequence, by: by.to_owned(), kind, checks }
}

fn done(epoch: u64, sequence: u64) -> Event {
    Event::OrderDone { epoch, sequence }
}

fn ran(request: &str, key: Option<&str>) -> Event {
    Event::Ran { request: request.to_owned(), attempt: 0, key: key.map(str::to_owned) }
}

fn got(request: &str, outcome: &str, exact: bool) -> Event {
    Event::Got { call: 1, request: Some(request.to_owned()), outcome: outcome.to_owned(), exact }
}

const ROLE_CHANGE: OrderKind = OrderKind::SetRole(Role::Decode);

#[test]
fn interleaved_orders_at_an_engine_that_ignores_fencing_numbers() {
    let interleaved = entries(vec![
        ("e", accepted(1, 1, "a", OrderKind::Cordon, false)),
        ("e", accepted(2, 2, "b", OrderKind::Cordon, false)),
        ("e", accepted(1, 3, "a", OrderKind::Uncordon, false)),
    ]);
    assert_eq!(conflicting_orders(&interleaved).len(), 2, "the order is older, and it is interleaved");
    let late = entries(vec![
        ("e", accepted(2, 2, "b", OrderKind::Cordon, false)),
        ("e", accepted(1, 1, "a", OrderKind::Uncordon, false)),
    ]);
    assert_eq!(conflicting_orders(&late).len(), 1, "the first order of a former holder arrives late");
    let handed_over = entries(vec![
        ("e", accepted(1, 1, "a", OrderKind::Cordon, false)),
        ("e", accepted(2, 2, "b", OrderKind::Cordon, false)),
        ("e", accepted(3, 3, "a", OrderKind::Uncordon, false)),
    ]);
    assert!(conflicting_orders(&handed_over).is_empty());
}

#[test]
fn an_older_fencing_number_at_an_engine_that_checks() {
    let older = entries(vec![
        ("e", accepted(2, 1, "b", OrderKind::Cordon, true)),
        ("e", accepted(1, 2, "a", OrderKind::Uncordon, true)),
    ]);
    assert_eq!(conflicting_orders(&older).len(), 1);
}

#[test]
fn an_order_while_another_is_carried_out() {
    let overlapping = entries(vec![
        ("e", accepted(1, 1, "a", ROLE_CHANGE, true)),
        ("e", accepted(1, 2, "a", OrderKind::Cordon, true)),
    ]);
    assert_eq!(conflicting_orders(&overlapping).len(), 1);
    assert!(conflicting_orders_with_crashes(&overlapping).is_empty());
    let in_turn = entries(vec![
        ("e", accepted(1, 1, "a", ROLE_CHANGE, true)),
        ("e", done(1, 1)),
        ("e", accepted(1, 2, "a", OrderKind::Cordon, true)),
    ]);
    assert!(conflicting_orders(&in_turn).is_empty());
    let elsewhere = entries(vec![
        ("e", accepted(1, 1, "a", ROLE_CHANGE, true)),
        ("f", accepted(1, 2, "a", OrderKind::Cordon, true)),
    ]);
    assert!(conflicting_orders(&elsewhere).is_empty());
}

#[test]
fn a_request_that_was_aborted() {
    assert_eq!(aborted_requests(&entries(vec![("e", Event::Cut { request: "r".into() })])).len(), 1);
    assert!(aborted_requests(&entries(vec![("e", ran("r", None))])).is_empty());
}

#[test]
fn a_wrong_answer_reported_as_whole() {
    assert_eq!(wrong_answers(&entries(vec![("c", got("r", "whole", false))])).len(), 1);
    let truthful = entries(vec![("c", got("r", "ran", false)), ("c", got("s", "whole", true))]);
    assert!(wrong_answers(&truthful).is_empty());
}

#[test]
fn a_request_that_ran_reported_as_not_run() {
    assert_eq!(false_not_run(&entries(vec![("e", ran("r", None)), ("c", got("r", "not_run", false))])).len(), 1);
    let truthful = entries(vec![("e", ran("r", None)), ("c", got("s", "not_run", false))]);
    assert!(false_not_run(&truthful).is_empty());
}

#[test]
fn a_key_that_ran_twice() {
    let twice = entries(vec![("e", ran("r", Some("k"))), ("f", ran("s", Some("k")))]);
    assert_eq!(repeated_keys(&twice).len(), 1);
    let once = entries(vec![("e", ran("r", Some("k"))), ("f", ran("s", Some("l"))), ("f", ran("t", None))]);
    assert!(repeated_keys(&once).is_empty());
}

#[test]
fn a_request_that_starts_at_a_leaving_endpoint() {
    let late = entries(vec![("e", ran("r", None)), ("e", ran("s", None))]);
    assert_eq!(late_starts(&late, &["e"], 0).len(), 1);
    assert!(late_starts(&late, &["f"], 0).is_empty());
}

//! Which connection closes when there are too many.

use dahliaseam_core::{
    connections::{Connections, Phase},
    time::Time,
};

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

#[test]
fn connections_without_a_request_close_first_and_those_that_serve_never() {
    let mut connections = Connections::default();
    let serving = connections.open(at(0));
    connections.set_phase(serving, Phase::Serving, at(1));
    let rested = connections.open(at(0));
    connections.set_phase(rested, Phase::Serving, at(1));
    connections.set_phase(rested, Phase::Waiting, at(10));
    let silent = connections.open(at(1_000));
    let receiving = connections.open(at(1_000));
    connections.set_phase(receiving, Phase::Receiving, at(1_500));
    let new = connections.open(at(2_900));
    let order: Vec<_> = std::iter::from_fn(|| connections.evict(at(3_000))).collect();
    assert_eq!(order, [silent, receiving, rested, new]);
    assert_eq!((connections.open_count(), connections.count()), (1, 5));
    connections.remove(silent);
    assert_eq!((connections.open_count(), connections.count()), (1, 4));
    assert!(connections.is_serving(serving));
}

#[test]
fn a_new_connection_stays_while_others_have_rested_for_longer() {
    let mut connections = Connections::default();
    let rested = connections.open(at(0));
    connections.set_phase(rested, Phase::Waiting, at(500));
    connections.open(at(900));
    assert_eq!(connections.evict(at(1_000)), Some(rested));
}

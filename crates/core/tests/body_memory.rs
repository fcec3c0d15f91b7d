//! Bodies of requests share a bounded memory.

use dahliaseam_core::{
    body_memory::{BodyKey, BodyMemory, GaveWay, SMALL_BODY_BYTES},
    time::Time,
};
use proptest::prelude::*;

const CAPACITY: usize = 64 * SMALL_BODY_BYTES;

fn at(millis: u64) -> Time {
    Time(millis * 1_000)
}

/// Adds a body that holds this much.
fn hold(memory: &mut BodyMemory, bytes: usize, now: Time) -> BodyKey {
    let key = memory.begin(now);
    assert_eq!(memory.grow(key, bytes, now), Ok(Vec::new()));
    key
}

#[test]
fn the_body_that_was_granted_memory_longest_ago_gives_way() {
    let mut memory = BodyMemory::new(CAPACITY);
    let largest = memory.max_body();
    let stopped = hold(&mut memory, largest / 2, at(0));
    let sending = hold(&mut memory, largest / 4, at(0));
    assert_eq!(memory.grow(sending, largest / 2, at(1_000)), Ok(Vec::new()));
    let new = memory.begin(at(1_000));
    assert_eq!(memory.grow(new, 2 * SMALL_BODY_BYTES, at(1_001)), Ok(vec![stopped]));
    assert_eq!(memory.grow(stopped, largest, at(1_002)), Err(GaveWay));
    assert_eq!(memory.complete(sending), Ok(()));
}

#[test]
fn of_bodies_that_are_all_being_sent_the_one_that_needs_more_gives_way() {
    let mut memory = BodyMemory::new(CAPACITY);
    let largest = memory.max_body();
    let first = hold(&mut memory, largest / 2, at(0));
    let second = hold(&mut memory, largest / 2, at(100));
    assert_eq!(memory.grow(second, largest / 2 + SMALL_BODY_BYTES, at(120)), Err(GaveWay));
    assert_eq!(memory.grow(first, largest, at(130)), Ok(Vec::new()));
}

#[test]
fn a_complete_body_keeps_its_memory_and_one_that_cannot_be_held_beside_it_is_known_at_once() {
    let mut memory = BodyMemory::new(CAPACITY);
    let largest = memory.max_body();
    let complete = hold(&mut memory, largest, at(0));
    assert!(memory.has_room(largest));
    assert_eq!(memory.complete(complete), Ok(()));
    assert!(!memory.has_room(2 * SMALL_BODY_BYTES));
    let large = memory.begin(at(10_000));
    assert_eq!(memory.grow(large, 2 * SMALL_BODY_BYTES, at(10_000)), Err(GaveWay));
    memory.end(complete);
    assert!(memory.has_room(largest));
    assert_eq!(memory.held(), 0);
}

#[test]
fn small_bodies_find_room_beside_any_number_of_large_ones() {
    let mut memory = BodyMemory::new(CAPACITY);
    while hold_large(&mut memory) {}
    assert!(memory.has_room(SMALL_BODY_BYTES));
    hold(&mut memory, SMALL_BODY_BYTES, at(1));
}

fn hold_large(memory: &mut BodyMemory) -> bool {
    let key = memory.begin(at(0));
    memory.grow(key, 2 * SMALL_BODY_BYTES, at(0)).is_ok_and(|_| memory.complete(key).is_ok())
}

proptest! {
    #[test]
    fn no_more_is_held_than_there_is(steps in prop::collection::vec((0..5_u8, 0..20_usize, 0..80_usize, 0..400_u64), 1..300)) {
        let mut memory = BodyMemory::new(CAPACITY);
        let (mut keys, mut now) = (Vec::new(), 0);
        for (step, body, size, pause) in steps {
            now += pause;
            let key = keys.get(body).copied();
            match (step, key) {
                (0, _) | (_, None) => keys.push(memory.begin(at(now))),
                (1, Some(key)) => memory.end(key),
                (2, Some(key)) => drop(memory.complete(key)),
                (_, Some(key)) => drop(memory.grow(key, (size + 1) * SMALL_BODY_BYTES / 2, at(now))),
            }
            prop_assert!(memory.held() <= CAPACITY);
        }
        for key in keys {
            memory.end(key);
        }
        prop_assert_eq!(memory.held(), 0);
    }
}

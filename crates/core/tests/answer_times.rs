//! The time within which answers on a route are complete.

use std::sync::Arc;

use dahliaseam_core::{
    answer_times::AnswerTimes,
    time::{Span, Time},
};

fn record(times: &mut AnswerTimes, route: &str, millis: impl IntoIterator<Item = u64>) {
    let route: Arc<str> = route.into();
    millis.into_iter().for_each(|n| times.record(&route, Span::millis(n)));
}

#[test]
fn each_route_has_its_own_bound() {
    let mut times = AnswerTimes::default();
    record(&mut times, "quick", [10; 50]);
    record(&mut times, "slow", [5_000; 50]);
    let bound = |route| times.usual(route, Time(0)).map(|usual| usual.bound);
    assert!(bound("quick").is_some_and(|bound| (10..50).contains(&bound.as_millis())));
    assert!(bound("slow").is_some_and(|bound| (5_000..6_000).contains(&bound.as_millis())));
    assert_eq!(bound("unknown"), None);
    times.retain(|route| route == "slow");
    assert_eq!(times.usual("quick", Time(0)), None);
}

/// Guards against relying on the mean: of answers that differ, the long ones must be covered too.
#[test]
fn answers_that_differ_widen_the_bound() {
    let mut times = AnswerTimes::default();
    record(&mut times, "mixed", (0..200).map(|n| if n % 5 == 0 { 2_000 } else { 20 }));
    assert!(times.usual("mixed", Time(0)).is_some_and(|usual| usual.bound > Span::millis(2_000)), "{times:?}");
}

/// Guards against relying on answers that were quick once: a call that is open for longer shows that this no longer holds.
#[test]
fn the_usual_time_does_not_hold_while_a_call_is_open_for_longer() {
    let mut times = AnswerTimes::default();
    record(&mut times, "ping", [10; 50]);
    let route: Arc<str> = "ping".into();
    let after = |millis| Time(0) + Span::millis(millis);
    let holds = |times: &AnswerTimes, millis| times.usual("ping", after(millis)).map(|usual| usual.holds);
    let first = times.begin(&route, after(0));
    let second = times.begin(&route, after(500));
    assert_eq!((holds(&times, 5), holds(&times, 505)), (Some(true), Some(false)));
    times.end("ping", first);
    assert_eq!((holds(&times, 505), holds(&times, 600)), (Some(true), Some(false)));
    times.end("ping", second);
    assert_eq!(holds(&times, 5_000), Some(true));
}

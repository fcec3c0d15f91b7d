//! The time within which answers on a route are complete.

use std::sync::Arc;

use dahliaseam_core::{answer_times::AnswerTimes, time::Span};

fn record(times: &mut AnswerTimes, route: &str, millis: impl IntoIterator<Item = u64>) {
    let route: Arc<str> = route.into();
    millis.into_iter().for_each(|n| times.record(&route, Span::millis(n)));
}

#[test]
fn each_route_has_its_own_bound() {
    let mut times = AnswerTimes::default();
    record(&mut times, "quick", [10; 50]);
    record(&mut times, "slow", [5_000; 50]);
    let bound = |route| times.usual_bound(route);
    assert!(bound("quick").is_some_and(|bound| (10..50).contains(&bound.as_millis())));
    assert!(bound("slow").is_some_and(|bound| (5_000..6_000).contains(&bound.as_millis())));
    assert_eq!(bound("unknown"), None);
    times.retain(|route| route == "slow");
    assert_eq!(times.usual_bound("quick"), None);
}

/// Guards against relying on the mean: of answers that differ, the long ones must be covered too.
#[test]
fn answers_that_differ_widen_the_bound() {
    let mut times = AnswerTimes::default();
    record(&mut times, "mixed", (0..200).map(|n| if n % 5 == 0 { 2_000 } else { 20 }));
    assert!(times.usual_bound("mixed") > Some(Span::millis(2_000)), "{times:?}");
}

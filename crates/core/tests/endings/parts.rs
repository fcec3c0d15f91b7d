//! Tests of the rules for parts of prompts under which replicas crash.

use dahliaseam_core::{
    content::ContentHash,
    fleet::{
        endings::{PartTracker, PartTreatment, RETENTION, Recipients},
        short_id,
    },
    prompt::PartId,
    time::{Span, Time},
};

const FATAL: PartId = PartId(0xfa);
const OTHER_FATAL: PartId = PartId(0xfb);
/// A first part that all requests share.
const SHARED: PartId = PartId(1);
const SUBJECT: PartId = PartId(2);
const START: Time = Time(1_000_000_000);
/// Time between two crashes, long enough for the reports of the first to arrive.
const CRASH_INTERVAL: Span = Span::millis(200);
const DAEMONS: usize = 8;

/// Crashes a replica for each request, of which no two are alike; returns a time after the last crash.
fn crash(tracker: &mut PartTracker, parts: &[PartId], replicas: std::ops::Range<u64>, from: Time) -> Time {
    let mut now = from;
    for n in replicas {
        tracker.record_crash(parts, ContentHash(n), short_id(&format!("r-{n}")), now);
        now = now + CRASH_INTERVAL;
    }
    now
}

fn treatment(tracker: &mut PartTracker, parts: &[PartId], now: Time) -> PartTreatment {
    tracker.treatment(parts, DAEMONS, now)
}

fn is_refused(tracker: &mut PartTracker, parts: &[PartId], now: Time) -> bool {
    matches!(treatment(tracker, parts, now), PartTreatment::Refused(..))
}

#[test]
fn a_part_of_three_requests_that_crashed_replicas_is_refused() {
    let mut tracker = PartTracker::default();
    let now = crash(&mut tracker, &[FATAL], 0..1, START);
    assert_eq!(treatment(&mut tracker, &[FATAL], now), PartTreatment::Clear);
    let now = crash(&mut tracker, &[FATAL], 1..2, now);
    assert_eq!(treatment(&mut tracker, &[FATAL], now), PartTreatment::Trial);
    let now = crash(&mut tracker, &[FATAL], 2..3, now);
    assert!(is_refused(&mut tracker, &[SUBJECT, FATAL], now));
    assert_eq!(treatment(&mut tracker, &[SUBJECT], now), PartTreatment::Clear);
}

/// Guards against refusing a part for the crashes of a single request, which is itself at fault.
#[test]
fn a_single_request_that_crashes_replicas_accuses_none_of_its_parts() {
    let mut tracker = PartTracker::default();
    let mut now = START;
    for n in 0..8 {
        tracker.record_crash(&[SHARED], ContentHash(7), short_id(&format!("r-{n}")), now);
        now = now + CRASH_INTERVAL;
    }
    assert_eq!(treatment(&mut tracker, &[SHARED], now), PartTreatment::Clear);
}

/// Guards against refusing what sound requests share with those that crash replicas.
#[test]
fn a_shared_part_that_is_answered_is_never_suspected() {
    let mut tracker = PartTracker::default();
    let mut now = START;
    for n in 0..6 {
        tracker.record_answer(&[SHARED], now);
        now = crash(&mut tracker, &[SHARED, FATAL], n..n + 1, now + Span::millis(50));
    }
    assert!(is_refused(&mut tracker, &[FATAL], now));
    assert_eq!(treatment(&mut tracker, &[SHARED], now), PartTreatment::Clear);
}

#[test]
fn parts_that_are_always_together_are_refused_after_trials() {
    let mut tracker = PartTracker::default();
    let parts = [SHARED, FATAL];
    let now = crash(&mut tracker, &parts, 0..3, START);
    assert_eq!(treatment(&mut tracker, &parts, now), PartTreatment::Trial);
    let now = crash(&mut tracker, &parts, 3..4, now);
    assert_eq!(treatment(&mut tracker, &parts, now), PartTreatment::Trial);
    let now = crash(&mut tracker, &parts, 4..5, now);
    assert!(is_refused(&mut tracker, &parts, now));
}

/// Guards against refusing the part that two others have in common, which is in more crashes than either.
#[test]
fn two_fatal_parts_are_refused_and_not_the_one_that_both_share() {
    let mut tracker = PartTracker::default();
    let mut now = START;
    for n in 0..16 {
        let fatal = if n % 2 == 0 { FATAL } else { OTHER_FATAL };
        if !matches!(treatment(&mut tracker, &[SHARED, fatal], now), PartTreatment::Refused(..)) {
            now = crash(&mut tracker, &[SHARED, fatal], n..n + 1, now);
        }
    }
    assert!(is_refused(&mut tracker, &[FATAL], now));
    assert!(is_refused(&mut tracker, &[OTHER_FATAL], now));
    assert!(!is_refused(&mut tracker, &[SHARED], now));
}

/// Guards against refusing all requests after a rack has failed before anything was answered.
#[test]
fn replicas_that_crash_together_refuse_no_part() {
    let mut tracker = PartTracker::default();
    for n in 0..8 {
        for part in [SHARED, SUBJECT] {
            tracker.record_crash(&[part], ContentHash(n), short_id(&format!("r-{n}")), START);
        }
    }
    let now = START + CRASH_INTERVAL;
    assert_eq!(treatment(&mut tracker, &[SHARED, SUBJECT], now), PartTreatment::Trial);
    tracker.begin_trial(&[SHARED, SUBJECT], ContentHash(20), now);
    assert!(matches!(treatment(&mut tracker, &[SHARED], now), PartTreatment::Suspected(SHARED)));
    tracker.record_answer(&[SHARED, SUBJECT], now + Span::millis(60));
    assert_eq!(treatment(&mut tracker, &[SHARED], now + Span::millis(60)), PartTreatment::Clear);
}

#[test]
fn an_answer_at_another_daemon_clears_a_part() {
    let (mut here, mut there) = (PartTracker::default(), PartTracker::default());
    let now = crash(&mut here, &[FATAL, SHARED], 0..2, START);
    there.record_answer(&[SHARED], now);
    there.apply_notes(&here.due_notes(Recipients::HallPeers, DAEMONS, now), true, now);
    here.apply_notes(&there.due_notes(Recipients::HallPeers, DAEMONS, now), true, now);
    for tracker in [&mut here, &mut there] {
        assert_eq!(treatment(tracker, &[SHARED], now), PartTreatment::Clear);
        assert_eq!(treatment(tracker, &[FATAL], now), PartTreatment::Trial);
    }
}

#[test]
fn daemons_know_of_each_others_crashes_trials_and_refusals() {
    let (mut here, mut there) = (PartTracker::default(), PartTracker::default());
    let now = crash(&mut here, &[FATAL], 0..2, START);
    here.begin_trial(&[FATAL], ContentHash(9), now);
    there.apply_notes(&here.due_notes(Recipients::HallPeers, DAEMONS, now), true, now);
    assert!(matches!(treatment(&mut there, &[FATAL], now), PartTreatment::Suspected(FATAL)));
    here.end_trial(&[FATAL], ContentHash(9), now);
    there.apply_notes(&here.due_notes(Recipients::HallPeers, DAEMONS, now), true, now);
    assert_eq!(treatment(&mut there, &[FATAL], now), PartTreatment::Trial);
    let now = crash(&mut here, &[FATAL], 2..3, now);
    assert!(is_refused(&mut here, &[FATAL], now));
    let mut new = PartTracker::default();
    new.apply_notes(&here.due_notes(Recipients::HallPeers, DAEMONS, now), true, now);
    assert!(is_refused(&mut new, &[FATAL], now));
}

/// Guards against a refusal that ends with the daemons that know it, and against one that no operator can lift.
#[test]
fn a_refusal_outlasts_the_daemons_and_an_operator_lifts_it() {
    let mut before = PartTracker::default();
    let now = crash(&mut before, &[FATAL], 0..2, START);
    let (_, suspicion) = before.suspected(now).next().expect("the part is suspected");
    let mut after = PartTracker::default();
    after.apply_stored_suspicion(FATAL, &suspicion, now);
    let now = crash(&mut after, &[FATAL], 2..3, now);
    assert!(is_refused(&mut after, &[FATAL], now));
    let (_, refused) = after.refused().next().expect("the part is refused");
    let mut last = PartTracker::default();
    let age = now.since(refused.since);
    assert!(last.apply_stored_refusal(FATAL, refused.crashes, age, refused.until.since(now), now));
    assert!(is_refused(&mut last, &[FATAL], now));
    let now = now + Span::millis(10);
    assert!(last.lift(FATAL, now));
    assert_eq!(treatment(&mut last, &[FATAL], now), PartTreatment::Clear);
    assert!(!last.apply_stored_refusal(FATAL, 3, Span::millis(20), RETENTION, now), "it was lifted since");
}

#[test]
fn a_part_whose_refusal_expired_is_tried_out_and_refused_after_one_more_crash() {
    let mut tracker = PartTracker::default();
    let now = crash(&mut tracker, &[FATAL], 0..3, START);
    assert!(is_refused(&mut tracker, &[FATAL], now));
    let now = now + RETENTION;
    assert_eq!(tracker.expire(now).len(), 1);
    assert_eq!(treatment(&mut tracker, &[FATAL], now), PartTreatment::Trial);
    let now = crash(&mut tracker, &[FATAL], 3..4, now + Span::millis(1));
    assert!(is_refused(&mut tracker, &[FATAL], now));
}

/// Guards against trying out a part for ever whose refusal has expired and that is sound now.
#[test]
fn a_part_that_is_answered_after_its_refusal_expired_is_sound() {
    let mut tracker = PartTracker::default();
    let now = crash(&mut tracker, &[FATAL], 0..3, START);
    assert!(is_refused(&mut tracker, &[FATAL], now));
    let now = now + RETENTION;
    tracker.expire(now);
    assert_eq!(treatment(&mut tracker, &[FATAL], now), PartTreatment::Trial);
    tracker.record_answer(&[FATAL], now);
    assert_eq!(treatment(&mut tracker, &[FATAL], now), PartTreatment::Clear);
}

/// Guards against refusing a sound part that was at three crashes, two of them of a part that one request accuses so
/// far. Found by the soak: it was refused for ten minutes, and hid the part at fault.
#[test]
fn a_part_beside_one_that_a_single_request_accuses_is_tried_out() {
    let mut tracker = PartTracker::default();
    let mut now = crash(&mut tracker, &[SUBJECT], 0..1, START);
    for n in 1..3 {
        let replica = short_id(&format!("r-{n}"));
        tracker.record_crash(&[SUBJECT], ContentHash(n), replica, now);
        tracker.record_crash(&[FATAL], ContentHash(9), replica, now);
        now = now + CRASH_INTERVAL;
    }
    assert_eq!(treatment(&mut tracker, &[SUBJECT], now), PartTreatment::Trial);
    tracker.record_answer(&[SUBJECT], now);
    let now = crash(&mut tracker, &[FATAL], 20..22, now);
    assert!(is_refused(&mut tracker, &[FATAL], now));
    assert_eq!(treatment(&mut tracker, &[SUBJECT], now), PartTreatment::Clear);
}

/// Guards against parts that occur once displacing those that are suspected or often answered.
#[test]
fn unique_parts_evict_nothing() {
    let mut tracker = PartTracker::default();
    let mut now = crash(&mut tracker, &[FATAL], 0..2, START);
    for n in 0..20_000_u64 {
        tracker.record_answer(&[PartId(1_000_000 + n)], now);
        if n % 100 == 0 {
            now = now + Span::millis(1);
            tracker.record_answer(&[SHARED], now);
        }
        tracker.record_crash(&[PartId(2_000_000 + n), SHARED], ContentHash(n), n as u32, now);
    }
    assert!(tracker.len() <= 4_096);
    assert_eq!(treatment(&mut tracker, &[SHARED], now), PartTreatment::Clear);
    let now = crash(&mut tracker, &[FATAL], 30_000..30_001, now);
    assert!(is_refused(&mut tracker, &[FATAL], now));
}

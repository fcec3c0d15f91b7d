//! Tests of single rules: what counts against a request, what clears it, and when records expire.

use dahliaseam_core::{
    content::ContentHash,
    fleet::{
        endings::{CrashTracker, KnownBy, RETENTION, Recipients, Treatment},
        short_id,
    },
    time::{Span, Time},
};

const FATAL: ContentHash = ContentHash(1);
const OTHER: ContentHash = ContentHash(2);
/// Time between two crashes, long enough for the reports of the first to arrive.
const CRASH_INTERVAL: Span = Span::millis(200);
const START: Time = Time(1_000_000_000);

/// Crashes replicas one after the other while they run these requests; returns a time after the last crash.
fn crash_replicas(tracker: &mut CrashTracker, contents: &[ContentHash], replicas: &[&str], from: Time) -> Time {
    let mut now = from;
    for replica in replicas {
        for content in contents {
            tracker.record_crash(*content, short_id(replica), now);
        }
        now = now + CRASH_INTERVAL;
    }
    now
}

fn treatment(tracker: &mut CrashTracker, content: ContentHash, now: Time) -> Treatment {
    tracker.treatment(content, 8, false, now)
}

fn is_refused(tracker: &mut CrashTracker, content: ContentHash, now: Time) -> bool {
    matches!(treatment(tracker, content, now), Treatment::Refused(_))
}

fn is_isolated(tracker: &mut CrashTracker, content: ContentHash, now: Time) -> bool {
    matches!(treatment(tracker, content, now), Treatment::Isolated(_))
}

#[test]
fn one_crash_changes_nothing_and_two_isolate_the_request() {
    let mut tracker = CrashTracker::default();
    let now = crash_replicas(&mut tracker, &[FATAL], &["a"], START);
    assert_eq!(treatment(&mut tracker, FATAL, now), Treatment::Clear);
    let now = crash_replicas(&mut tracker, &[FATAL], &["b"], now);
    assert!(is_isolated(&mut tracker, FATAL, now));
}

#[test]
fn three_crashes_refuse_the_request_once_peer_reports_are_due() {
    let mut tracker = CrashTracker::default();
    let after = crash_replicas(&mut tracker, &[FATAL], &["a", "b", "c"], START);
    let third = after - CRASH_INTERVAL;
    let Treatment::Pending(until) = treatment(&mut tracker, FATAL, third) else {
        panic!("the request is judged before peer reports are due");
    };
    assert!(until <= after);
    assert!(is_refused(&mut tracker, FATAL, after));
    assert_eq!(treatment(&mut tracker, OTHER, after), Treatment::Clear);
}

#[test]
fn repeated_reports_of_one_crash_count_once() {
    let mut tracker = CrashTracker::default();
    let now = crash_replicas(&mut tracker, &[FATAL], &["a", "a", "a", "a"], START);
    assert_eq!(treatment(&mut tracker, FATAL, now), Treatment::Clear);
}

#[test]
fn a_later_crash_of_a_replica_with_the_same_id_counts_again() {
    let mut tracker = CrashTracker::default();
    let mut now = START;
    for _ in 0..3 {
        crash_replicas(&mut tracker, &[FATAL], &["a"], now);
        now = now + Span::millis(3_000);
    }
    assert!(is_refused(&mut tracker, FATAL, now));
}

#[test]
fn of_two_requests_with_the_same_crashes_the_one_that_crashes_another_replica_is_refused() {
    let mut tracker = CrashTracker::default();
    let now = crash_replicas(&mut tracker, &[FATAL, OTHER], &["a", "b", "c"], START);
    for content in [FATAL, OTHER] {
        assert!(is_isolated(&mut tracker, content, now), "both requests have the same crashes");
    }
    let now = crash_replicas(&mut tracker, &[FATAL], &["d"], now);
    assert!(is_refused(&mut tracker, FATAL, now));
    assert_eq!(treatment(&mut tracker, OTHER, now), Treatment::Clear);
}

/// Guards against refusing a request for crashes of another one, whose refusal a daemon has read from the store.
#[test]
fn a_refusal_from_the_store_explains_the_crashes_of_other_requests() {
    let mut before = CrashTracker::default();
    let now = crash_replicas(&mut before, &[FATAL, OTHER], &["a", "b"], START);
    let stored = before.suspected(now).find(|(content, _)| *content == OTHER).expect("the request is suspected").1;
    let now = crash_replicas(&mut before, &[FATAL], &["c"], now);
    assert!(is_refused(&mut before, FATAL, now));
    let (_, refused) = before.refused().next().expect("a request is refused");

    let mut after = CrashTracker::default();
    after.apply_stored_suspicion(OTHER, &stored, now);
    after.apply_stored_refusal(FATAL, refused.crashes, now.since(refused.since), refused.until.since(now), now);
    for tracker in [&mut before, &mut after] {
        let now = crash_replicas(tracker, &[OTHER], &["d"], now);
        assert_eq!(treatment(tracker, OTHER, now), Treatment::Clear);
    }
}

#[test]
fn a_second_trial_does_not_start_while_one_is_running() {
    let mut tracker = CrashTracker::default();
    let now = crash_replicas(&mut tracker, &[FATAL, OTHER], &["a", "b", "c"], START);
    tracker.begin_trial(FATAL, now);
    assert_eq!(treatment(&mut tracker, FATAL, now), Treatment::OnTrial);
    assert!(is_isolated(&mut tracker, OTHER, now));
    tracker.end_trial(FATAL);
    assert!(is_isolated(&mut tracker, FATAL, now));
}

#[test]
fn a_complete_answer_clears_a_request_on_all_daemons() {
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    let now = crash_replicas(&mut here, &[FATAL, OTHER], &["a", "b", "c"], START);
    there.apply_notes(&here.due_notes(Recipients::HallPeers, 8, now), true, now);
    here.record_answer(OTHER, now);
    let now = now + CRASH_INTERVAL;
    there.apply_notes(&here.due_notes(Recipients::HallPeers, 8, now), true, now);
    for tracker in [&mut here, &mut there] {
        assert_eq!(treatment(tracker, OTHER, now), Treatment::Clear);
        assert!(is_refused(tracker, FATAL, now), "no other suspect is left");
    }
}

#[test]
fn a_refusal_applies_on_all_daemons() {
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    let now = crash_replicas(&mut here, &[FATAL], &["a", "b", "c"], START);
    assert!(is_refused(&mut here, FATAL, now));
    there.apply_notes(&here.due_notes(Recipients::HallPeers, 8, now), true, now);
    let Treatment::Refused(refused) = treatment(&mut there, FATAL, now) else {
        panic!("the refusal was reported");
    };
    assert_eq!((refused.crashes, refused.known_by), (3, KnownBy::Peer));
}

#[test]
fn a_lifted_refusal_stays_lifted_despite_stale_notes() {
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    let now = crash_replicas(&mut here, &[FATAL], &["a", "b", "c"], START);
    assert!(is_refused(&mut here, FATAL, now));
    let stale = here.due_notes(Recipients::HallPeers, 8, now);
    there.apply_notes(&stale, true, now);
    assert!(here.lift(FATAL, now));
    let later = now + Span::millis(60_000);
    here.expire(later);
    here.apply_notes(&there.due_notes(Recipients::HallPeers, 8, later), true, later);
    assert_eq!(treatment(&mut here, FATAL, later), Treatment::Clear);
    there.apply_notes(&here.due_notes(Recipients::HallPeers, 8, later), true, later);
    assert_eq!(treatment(&mut there, FATAL, later), Treatment::Clear);
}

#[test]
fn a_refusal_expires_and_one_more_crash_renews_it() {
    let mut tracker = CrashTracker::default();
    let now = crash_replicas(&mut tracker, &[FATAL], &["a", "b", "c"], START);
    assert!(is_refused(&mut tracker, FATAL, now));
    let later = now + RETENTION;
    assert_eq!(tracker.expire(later).len(), 1);
    assert!(is_isolated(&mut tracker, FATAL, later));
    let later = crash_replicas(&mut tracker, &[FATAL], &["d"], later);
    assert!(is_refused(&mut tracker, FATAL, later));
}

/// Milliseconds between the times at which two daemons remove expired records.
const EXPIRY_OFFSETS_MS: [u64; 5] = [20, 70, 120, 170, 220];

/// Lets two daemons exchange notes often and remove expired records at different times.
fn exchange_notes(here: &mut CrashTracker, there: &mut CrashTracker, from: Time, until: Time, expiry_offset: Span) {
    let mut now = from;
    let mut expiries = [from, from + expiry_offset];
    while !until.is_past(now) {
        let notes = here.due_notes(Recipients::HallPeers, 2, now);
        now = now + Span::millis(7);
        there.apply_notes(&notes, true, now);
        let notes = there.due_notes(Recipients::HallPeers, 2, now);
        now = now + Span::millis(9);
        here.apply_notes(&notes, true, now);
        for (at, tracker) in expiries.iter_mut().zip([&mut *here, &mut *there]) {
            if at.is_past(now) {
                tracker.expire(now);
                *at = now + Span::millis(250);
            }
        }
    }
}

/// Guards against records that never expire: a daemon that had just removed a record received it again from a daemon
/// that removed it a moment later, and took it as new, so that the two sent it back and forth for ever.
#[test]
fn a_suspicion_expires_while_daemons_exchange_notes() {
    for offset_ms in EXPIRY_OFFSETS_MS {
        let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
        let now = crash_replicas(&mut here, &[FATAL], &["a", "b"], START);
        exchange_notes(&mut here, &mut there, now, now + RETENTION + Span::millis(5_000), Span::millis(offset_ms));
        assert!(here.is_empty() && there.is_empty(), "{offset_ms} ms apart");
    }
}

/// Guards against a refusal that expires twice, which doubles the period of the next one: each daemon on which it had
/// expired received it again from one on which it had not, and counted two expiries.
#[test]
fn a_refusal_expires_once_while_daemons_exchange_notes() {
    for offset_ms in EXPIRY_OFFSETS_MS {
        let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
        let now = crash_replicas(&mut here, &[FATAL], &["a", "b", "c"], START);
        assert!(is_refused(&mut here, FATAL, now));
        let later = now + RETENTION + Span::millis(5_000);
        exchange_notes(&mut here, &mut there, now, later, Span::millis(offset_ms));
        assert!(is_isolated(&mut here, FATAL, later) && is_isolated(&mut there, FATAL, later), "{offset_ms} ms apart");
        let later = crash_replicas(&mut here, &[FATAL], &["d"], later);
        there.apply_notes(&here.due_notes(Recipients::HallPeers, 2, later), true, later);
        for tracker in [&mut here, &mut there] {
            let Treatment::Refused(refused) = treatment(tracker, FATAL, later) else {
                panic!("one more crash refuses the request again");
            };
            assert_eq!(refused.until.since(refused.since), RETENTION, "{offset_ms} ms apart");
        }
    }
}

#[test]
fn a_record_expires_without_further_reports() {
    let mut tracker = CrashTracker::default();
    let now = crash_replicas(&mut tracker, &[FATAL], &["a", "b"], START);
    tracker.expire(now + RETENTION);
    assert!(tracker.is_empty());
}

#[test]
fn a_stored_suspicion_counts_until_it_expires() {
    let mut here = CrashTracker::default();
    let now = crash_replicas(&mut here, &[FATAL], &["a", "b"], START);
    let suspected: Vec<_> = here.suspected(now).collect();
    let [(content, suspicion)] = &suspected[..] else {
        panic!("one request is suspected: {suspected:?}");
    };
    let mut there = CrashTracker::default();
    there.apply_stored_suspicion(*content, suspicion, now);
    assert!(is_isolated(&mut there, FATAL, now));
    let mut expiring = there.clone();
    expiring.expire(now + suspicion.time_left);
    assert_eq!(treatment(&mut expiring, FATAL, now + suspicion.time_left), Treatment::Clear);
    let now = crash_replicas(&mut there, &[FATAL], &["c"], now);
    assert!(is_refused(&mut there, FATAL, now));
    assert_eq!(there.suspected(now).count(), 0, "it is refused and no longer just suspected");
}

/// Guards against counting a crash twice: entries in the store have wall-clock times, and a machine's clock may be
/// seconds ahead. Each crash that peers reported as well then counted twice, and a request with two crashes was
/// refused.
#[test]
fn a_crash_that_store_and_peers_date_differently_counts_once() {
    let mut here = CrashTracker::default();
    let now = crash_replicas(&mut here, &[FATAL], &["a", "b"], START);
    let mut suspected: Vec<_> = here.suspected(now).map(|(_, suspicion)| suspicion).collect();
    let mut suspicion = suspected.pop().expect("the request is suspected");
    for (_, age) in &mut suspicion.crashes {
        *age = *age + Span::millis(2_000);
    }
    let notes = here.due_notes(Recipients::HallPeers, 8, now);
    let (mut store_first, mut peers_first) = (CrashTracker::default(), here.clone());
    store_first.apply_stored_suspicion(FATAL, &suspicion, now);
    store_first.apply_notes(&notes, true, now);
    peers_first.apply_stored_suspicion(FATAL, &suspicion, now);
    let mut there = here.clone();
    there.apply_notes(&store_first.due_notes(Recipients::HallPeers, 8, now), true, now);
    for tracker in [&mut store_first, &mut peers_first, &mut there] {
        assert!(is_isolated(tracker, FATAL, now + CRASH_INTERVAL), "there were only two crashes");
    }
}

/// Guards against a store entry that renews a refusal after an operator lifted it: two daemons had each lost the
/// request in a crash and both wrote its entry, an operator removed the first entry, and the second one refused the
/// request again. This happened in 3 of 60 test runs that ran at the same time as others.
#[test]
fn a_store_entry_older_than_its_removal_refuses_nothing() {
    let mut tracker = CrashTracker::default();
    let now = crash_replicas(&mut tracker, &[FATAL], &["a", "b", "c"], START);
    assert!(is_refused(&mut tracker, FATAL, now));
    let removed = now + CRASH_INTERVAL;
    assert!(tracker.lift(FATAL, removed));
    let later = removed + Span::millis(5);
    assert!(!tracker.apply_stored_refusal(FATAL, 3, later.since(now), RETENTION, later));
    assert_eq!(treatment(&mut tracker, FATAL, later), Treatment::Clear);
    let newer = later + CRASH_INTERVAL;
    assert!(
        tracker.apply_stored_refusal(FATAL, 3, Span::millis(1), RETENTION, newer),
        "the request was refused again since"
    );
}

#[test]
fn a_cut_off_daemon_refuses_after_two_crashes() {
    let mut tracker = CrashTracker::default();
    let now = crash_replicas(&mut tracker, &[FATAL], &["a", "b"], START);
    assert!(matches!(tracker.treatment(FATAL, 1, true, now), Treatment::Refused(_)));
    assert!(is_isolated(&mut tracker, FATAL, now), "a daemon that receives reports again only isolates the request");
}

#[test]
fn lasting_records_are_resent_in_turn_and_few_at_a_time() {
    let mut tracker = CrashTracker::default();
    let contents: Vec<ContentHash> = (1..=100).map(ContentHash).collect();
    let mut now = crash_replicas(&mut tracker, &contents, &["a", "b"], START);
    for _ in 0..20 {
        tracker.due_notes(Recipients::HallPeers, 8, now);
        now = now + Span::millis(100);
    }
    let mut sent = std::collections::HashSet::new();
    for _ in 0..10 {
        now = now + Span::millis(1_000);
        let notes = tracker.due_notes(Recipients::HallPeers, 8, now);
        assert!(notes.len() <= 8, "{} notes", notes.len());
        sent.extend(notes.into_iter().map(|note| note.content));
    }
    assert_eq!(sent.len(), 80, "no record is sent twice before all were sent");
}

#[test]
fn the_table_is_bounded_and_keeps_refused_requests() {
    let mut tracker = CrashTracker::default();
    let now = crash_replicas(&mut tracker, &[FATAL], &["a", "b", "c"], START);
    assert!(is_refused(&mut tracker, FATAL, now));
    for other in 0..10_000 {
        tracker.record_crash(ContentHash(1_000 + other), short_id("d"), now);
    }
    assert!(tracker.len() <= 4_096);
    assert!(tracker.is_refused(FATAL));
    assert!(tracker.due_notes(Recipients::HallPeers, 8, now).len() <= 64);
}

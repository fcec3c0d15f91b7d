//! The dispatcher: what it may never do, however submissions, ends, stops and faults interleave.

use std::collections::HashMap;

use dahliaseam_core::{
    dispatch::{Action, Dispatcher, Next, Policy, Refusal, Site},
    endpoint::{AdminState, EndpointKey, PoolKey, Rates, Role},
    outcome::{AttemptEnd, Outcome},
    request::{KindTraits, RequestKey, RequestSpec},
    time::{Span, Time},
};
use proptest::{prelude::*, test_runner::RngSeed};

const START: Time = Time(1_000_000);

fn kind(repeatable: bool) -> KindTraits {
    KindTraits { priority: 3, weight: 1.0, repeatable, protected: false }
}

fn spec(pool: PoolKey, repeatable: bool, now: Time, millis: u64) -> RequestSpec {
    RequestSpec {
        pool,
        kind: kind(repeatable),
        prompt_tokens: 400,
        output_tokens: 20,
        prefix: millis,
        adapter: 0,
        deadline: now + Span::millis(millis),
    }
}

fn small() -> (Dispatcher, PoolKey, Vec<EndpointKey>) {
    let mut dispatcher = Dispatcher::new(Policy::default(), 3, START);
    let pool = dispatcher.add_pool(Rates::default());
    let keys = (0..3).map(|n| dispatcher.add_endpoint(&format!("e{n}"), pool, Role::Mixed)).collect();
    (dispatcher, pool, keys)
}

fn sent(actions: &[Action]) -> Option<(RequestKey, EndpointKey)> {
    actions.iter().find_map(|action| match action {
        Action::Send { request, choice, .. } => Some((*request, choice.chosen.endpoint)),
        _ => None,
    })
}

#[test]
fn a_retry_goes_to_another_endpoint_and_what_may_not_be_repeated_is_over() {
    for (repeatable, end, outcome) in [
        (true, AttemptEnd::Broken, None),
        (false, AttemptEnd::NotSent, None),
        (false, AttemptEnd::Refused, None),
        (false, AttemptEnd::Lost, Some(Outcome::Unknown)),
        (false, AttemptEnd::Broken, Some(Outcome::Ran)),
        (true, AttemptEnd::Rejected, Some(Outcome::Ran)),
    ] {
        let (mut dispatcher, pool, _) = small();
        let key = dispatcher.submit("t", spec(pool, repeatable, START, 9_000), START).expect("room");
        let (_, first) = sent(&dispatcher.pump(pool, START)).expect("it is sent");
        match (dispatcher.attempt_ended(key, end, Site::Serving, START), outcome) {
            (Next::Retry, None) => {
                let (_, second) = sent(&dispatcher.pump(pool, START)).expect("it is sent again");
                assert_ne!(first, second, "{end:?}");
            }
            (Next::Finished(got), Some(wanted)) => assert_eq!(got, wanted, "{end:?}"),
            (next, wanted) => panic!("{end:?}: {next:?}, not {wanted:?}"),
        }
    }
}

#[test]
fn an_end_without_an_attempt_changes_nothing() {
    let (mut dispatcher, pool, keys) = small();
    for key in keys {
        dispatcher.set_admin_state(key, AdminState::Draining);
    }
    let key = dispatcher.submit("t", spec(pool, true, START, 9_000), START).expect("room");
    assert!(dispatcher.pump(pool, START).is_empty());
    assert_eq!(dispatcher.attempt_ended(key, AttemptEnd::Whole, Site::Serving, START), Next::Retry);
    assert_eq!((dispatcher.request_count(), dispatcher.waiting_count()), (1, 1));
    let _ = dispatcher.tick(START);
}

#[test]
fn teams_share_their_rate_over_live_daemons() {
    let (mut dispatcher, pool, _) = small();
    dispatcher.set_team_rates(HashMap::from([("t".to_owned(), 8.0)]), 4, START);
    let mut refused = None;
    for _ in 0..8 {
        if let Err(why) = dispatcher.submit("t", spec(pool, true, START, 9_000), START) {
            refused = Some(why);
        }
    }
    let (why, at) = refused.expect("a quarter of 8 a second, two seconds' worth at once");
    assert_eq!(why, Refusal::TeamLimit);
    assert!(at > START);
    assert!(dispatcher.submit("t", spec(pool, true, at, 9_000), at).is_ok(), "it may come back when told");
}

#[derive(Clone, Debug)]
enum Move {
    Submit(bool, u64),
    End(usize, AttemptEnd),
    Progress(usize),
    Abandon(usize),
    Duty(usize, bool),
    Remove(usize),
    Tick(u64),
}

fn moves() -> impl Strategy<Value = Move> {
    let end = prop::sample::select(vec![
        AttemptEnd::Whole,
        AttemptEnd::NotSent,
        AttemptEnd::Refused,
        AttemptEnd::Rejected,
        AttemptEnd::Lost,
        AttemptEnd::Broken,
        AttemptEnd::Stalled,
        AttemptEnd::Cancelled,
    ]);
    prop_oneof![
        6 => (any::<bool>(), 50..9_000_u64).prop_map(|(repeatable, millis)| Move::Submit(repeatable, millis)),
        6 => (0..64_usize, end).prop_map(|(n, end)| Move::End(n, end)),
        3 => (0..64_usize).prop_map(Move::Progress),
        1 => (0..64_usize).prop_map(Move::Abandon),
        1 => (0..3_usize, any::<bool>()).prop_map(|(n, open)| Move::Duty(n, open)),
        1 => (0..40_usize).prop_map(Move::Remove),
        4 => (1..400_u64).prop_map(Move::Tick),
    ]
}

/// What the driver knows of each request: its attempts, and whether one is under way.
#[derive(Default)]
struct Driver {
    sends: HashMap<RequestKey, usize>,
    running: Vec<RequestKey>,
    over: Vec<RequestKey>,
    repeatable: HashMap<RequestKey, bool>,
    may_have_run: HashMap<RequestKey, bool>,
}

impl Driver {
    fn hear(&mut self, actions: &[Action], closed: &[EndpointKey]) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Send { request, choice, .. } => {
                    prop_assert!(!self.running.contains(request), "two attempts at once");
                    prop_assert!(!self.over.contains(request), "sent after it was over");
                    prop_assert!(!closed.contains(&choice.chosen.endpoint), "sent to a closed endpoint");
                    let once = !self.repeatable[request] && self.may_have_run.get(request) == Some(&true);
                    prop_assert!(!once, "sent again although it may have run");
                    *self.sends.entry(*request).or_default() += 1;
                    self.running.push(*request);
                }
                Action::Refuse { request, outcome, .. } => {
                    prop_assert!(!self.running.contains(request), "refused with an attempt under way");
                    let ran = self.may_have_run.get(request) == Some(&true);
                    prop_assert!(!(ran && *outcome == Outcome::NotRun), "not run, and it may have run");
                    self.over.push(*request);
                }
                Action::Stop { request, .. } => prop_assert!(self.running.contains(request), "stopped without attempt"),
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500, rng_seed: RngSeed::Fixed(20_261_202), failure_persistence: None, ..ProptestConfig::default()
    })]

    #[test]
    fn nothing_is_sent_twice_at_once_or_to_a_closed_endpoint(moves in prop::collection::vec(moves(), 1..300)) {
        let (mut dispatcher, pool, mut endpoints) = small();
        let mut driver = Driver::default();
        let mut closed = Vec::new();
        let mut now = START;
        for step in moves {
            match step {
                Move::Submit(repeatable, millis) => {
                    if let Ok(key) = dispatcher.submit("t", spec(pool, repeatable, now, millis), now) {
                        driver.repeatable.insert(key, repeatable);
                    }
                }
                Move::End(n, end) => {
                    if driver.running.is_empty() { continue; }
                    let key = driver.running.swap_remove(n % driver.running.len());
                    if !end.is_certainly_not_run() {
                        driver.may_have_run.insert(key, true);
                    }
                    if let Next::Finished(outcome) = dispatcher.attempt_ended(key, end, Site::Serving, now) {
                        let ran = driver.may_have_run.get(&key) == Some(&true);
                        prop_assert!(!(ran && outcome == Outcome::NotRun));
                        driver.over.push(key);
                    }
                }
                Move::Progress(n) => {
                    if driver.running.is_empty() { continue; }
                    let key = driver.running[n % driver.running.len()];
                    driver.may_have_run.insert(key, true);
                    dispatcher.progress(key, 1, now);
                }
                Move::Abandon(n) => {
                    if driver.running.is_empty() { continue; }
                    let key = driver.running.swap_remove(n % driver.running.len());
                    dispatcher.cancel(key, now);
                    driver.over.push(key);
                }
                Move::Duty(n, open) => {
                    let Some(key) = endpoints.get(n).copied() else { continue };
                    closed.retain(|k| *k != key);
                    if !open { closed.push(key); }
                    let duty = if open { AdminState::Serving } else { AdminState::Draining };
                    let actions = dispatcher.set_admin_state(key, duty);
                    driver.hear(&actions, &closed)?;
                }
                Move::Remove(n) => {
                    if n < endpoints.len() && endpoints.len() > 1 {
                        let key = endpoints.remove(n);
                        closed.push(key);
                        let actions = dispatcher.remove_endpoint(key);
                        driver.hear(&actions, &closed)?;
                    }
                }
                Move::Tick(millis) => now = now + Span::millis(millis),
            }
            let actions = dispatcher.tick(now);
            driver.hear(&actions, &closed)?;
            prop_assert!(dispatcher.request_count() >= driver.running.len());
        }
        // Whatever is left comes to an end.
        for key in std::mem::take(&mut driver.running) {
            dispatcher.cancel(key, now);
        }
        let end = now + Span::millis(20_000);
        for _ in 0..8 {
            let actions = dispatcher.tick(end);
            driver.hear(&actions, &closed)?;
            for key in std::mem::take(&mut driver.running) {
                let _ = dispatcher.attempt_ended(key, AttemptEnd::Whole, Site::Serving, end);
            }
        }
        prop_assert_eq!(dispatcher.request_count(), 0);
    }
}

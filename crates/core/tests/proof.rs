//! Proofs of how new a configuration is, under clocks and messages in any order.

use dahliaseam_core::{
    proof::{Proof, Proofs, proved_at},
    time::{Span, Time},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Time after which a withdrawn key must have no effect.
const BOUND: Span = Span::millis(5_000);
/// Orders of events that are played.
const SEEDS: u64 = 10_000;
/// True milliseconds of one play.
const LENGTH_MS: u64 = 20_000;
/// Daemons: the first two may ask the store, the others ask any.
const DAEMONS: usize = 5;

#[test]
fn a_call_that_waited_its_time_out_proves_the_whole_wait() {
    let (asked, wait) = (Time(1_000_000), Span::millis(600));
    assert_eq!(proved_at(asked, wait, false, asked + wait), asked + wait);
    assert_eq!(proved_at(asked, wait, true, asked + wait), asked);
    // Cut before the end of the wait.
    assert_eq!(proved_at(asked, wait, false, asked + Span::millis(599)), asked);
}

#[test]
fn a_proof_of_a_newer_configuration_counts_once_that_is_in_force() {
    let mut proofs = Proofs::default();
    proofs.set_in_force(10);
    proofs.record(Proof { revision: 10, at: Time(1_000_000) });
    proofs.record(Proof { revision: 12, at: Time(3_000_000) });
    assert_eq!(proofs.newest().map(|proof| proof.at), Some(Time(1_000_000)));
    proofs.set_in_force(12);
    assert_eq!(proofs.newest(), Some(Proof { revision: 12, at: Time(3_000_000) }));
    // An older one that comes later takes nothing back.
    proofs.record(Proof { revision: 10, at: Time(2_000_000) });
    assert_eq!(proofs.newest().map(|proof| proof.at), Some(Time(3_000_000)));
}

#[test]
fn without_a_proof_nothing_holds() {
    let mut proofs = Proofs::default();
    assert!(!proofs.is_fresh(BOUND, Time(0)));
    proofs.set_in_force(1);
    assert!(!proofs.is_fresh(BOUND, Time(0)));
}

/// A message on its way.
struct OnItsWay {
    arrives_ms: u64,
    to: usize,
    what: What,
}

enum What {
    /// The store's answer to a question asked then.
    Stored {
        asked: Time,
        revision: i64,
    },
    Asked {
        by: usize,
        question: Time,
    },
    Answered {
        question: Time,
        revision: i64,
        age: Span,
    },
    /// The configuration itself, from the store or a mate.
    Configuration {
        revision: i64,
    },
}

/// One daemon. Its clock counts the time of a suspension, and has an offset and a speed of its own.
struct Daemon {
    offset_ms: u64,
    /// Thousandths by which its clock is fast.
    fast: u64,
    suspended_until_ms: u64,
    revision: i64,
    proofs: Proofs,
}

impl Daemon {
    fn clock(&self, true_ms: u64) -> Time {
        Time((true_ms * 1_000 + true_ms * self.fast) + self.offset_ms * 1_000)
    }
}

/// By what an answer of another daemon is dated.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Dating {
    /// When it was asked for.
    Asked,
    /// When it came, which is wrong: it may have been under way for long.
    Arrived,
}

/// What a play showed.
struct Played {
    /// Requests that ran.
    ran: u64,
    /// Milliseconds after a withdrawal at which one ran at the latest.
    latest_ms: u64,
}

/// A play: versions of the configuration come at random times; messages are delayed, lost, doubled and
/// overtake each other; daemons are suspended.
fn play(seed: u64, dating: Dating) -> Played {
    let mut rng = SmallRng::seed_from_u64(seed);
    // Revision `n + 1` is acknowledged then.
    let mut acknowledged: Vec<u64> = (0..rng.random_range(1..6)).map(|_| rng.random_range(1..LENGTH_MS)).collect();
    acknowledged.sort_unstable();
    let mut daemons: Vec<Daemon> = (0..DAEMONS)
        .map(|_| Daemon {
            offset_ms: rng.random_range(0..1_000_000),
            fast: rng.random_range(0..5),
            suspended_until_ms: 0,
            revision: 0,
            proofs: Proofs::default(),
        })
        .collect();
    let mut under_way: Vec<OnItsWay> = Vec::new();
    let mut played = Played { ran: 0, latest_ms: 0 };
    for now_ms in (0..LENGTH_MS).step_by(20) {
        for (at, daemon) in daemons.iter_mut().enumerate() {
            if daemon.suspended_until_ms > now_ms {
                continue;
            }
            if rng.random_bool(0.002) {
                daemon.suspended_until_ms = now_ms + rng.random_range(100..8_000);
                continue;
            }
            let clock = daemon.clock(now_ms);
            if rng.random_bool(0.05) {
                send(&mut rng, &mut under_way, now_ms, at, &acknowledged, clock);
            }
            // A request that was sent now or before, and is judged now.
            if daemon.proofs.is_fresh(BOUND, clock) {
                played.ran += 1;
                let superseded = acknowledged.get(daemon.revision as usize - 1);
                let late_ms = superseded.map_or(0, |acknowledged| now_ms.saturating_sub(*acknowledged));
                played.latest_ms = played.latest_ms.max(late_ms);
            }
        }
        let (arrived, still): (Vec<_>, Vec<_>) = under_way
            .into_iter()
            .partition(|message| message.arrives_ms <= now_ms && daemons[message.to].suspended_until_ms <= now_ms);
        under_way = still;
        for mut message in arrived {
            if let What::Answered { question, .. } = &mut message.what
                && dating == Dating::Arrived
            {
                *question = daemons[message.to].clock(now_ms);
            }
            take_in(&mut rng, &mut under_way, &mut daemons, now_ms, revision_at(&acknowledged, now_ms), &message);
        }
    }
    played
}

/// Revision of the newest configuration at a time, 1 before the first change.
fn revision_at(acknowledged: &[u64], ms: u64) -> i64 {
    1 + acknowledged.iter().filter(|at| **at <= ms).map(|_| 1).sum::<i64>()
}

/// A daemon asks the store, or another daemon.
fn send(rng: &mut SmallRng, under_way: &mut Vec<OnItsWay>, now_ms: u64, at: usize, acknowledged: &[u64], asked: Time) {
    if at < 2 {
        // The store looks at some time after the question, and its answer takes some time.
        let looked_ms = now_ms + delay(rng);
        let revision = revision_at(acknowledged, looked_ms);
        let arrives_ms = looked_ms + delay(rng);
        under_way.push(OnItsWay { arrives_ms, to: at, what: What::Configuration { revision } });
        under_way.push(OnItsWay { arrives_ms, to: at, what: What::Stored { asked, revision } });
    } else {
        let to = rng.random_range(0..DAEMONS);
        for _ in 0..copies(rng) {
            let arrives_ms = now_ms + delay(rng);
            under_way.push(OnItsWay { arrives_ms, to, what: What::Asked { by: at, question: asked } });
        }
    }
}

fn take_in(
    rng: &mut SmallRng,
    under_way: &mut Vec<OnItsWay>,
    daemons: &mut [Daemon],
    now_ms: u64,
    newest: i64,
    message: &OnItsWay,
) {
    let to = message.to;
    let clock = daemons[to].clock(now_ms);
    match message.what {
        What::Stored { asked, revision } => daemons[to].proofs.record(Proof { revision, at: asked }),
        What::Asked { by, question } => {
            if let Some(proof) = daemons[to].proofs.newest() {
                let age = clock.since(proof.at);
                for _ in 0..copies(rng) {
                    let arrives_ms = now_ms + delay(rng);
                    let what = What::Answered { question, revision: proof.revision, age };
                    under_way.push(OnItsWay { arrives_ms, to: by, what });
                }
                // What is in force there can be borrowed, now or never.
                let revision = daemons[to].revision.min(newest);
                let arrives_ms = now_ms + delay(rng);
                under_way.push(OnItsWay { arrives_ms, to: by, what: What::Configuration { revision } });
            }
        }
        What::Answered { question, revision, age } => daemons[to].proofs.record(Proof { revision, at: question - age }),
        What::Configuration { revision } => {
            let daemon = &mut daemons[to];
            daemon.revision = daemon.revision.max(revision);
            daemon.proofs.set_in_force(daemon.revision);
        }
    }
}

fn delay(rng: &mut SmallRng) -> u64 {
    if rng.random_bool(0.1) { rng.random_range(0..6_000) } else { rng.random_range(0..40) }
}

/// None is lost, one arrives, or it arrives twice.
fn copies(rng: &mut SmallRng) -> usize {
    [0, 1, 1, 1, 1, 1, 1, 2][rng.random_range(0..8)]
}

/// Withdrawals behind delay, loss, repetition and suspensions: no request runs later than the bound after one.
#[test]
fn no_request_runs_later_than_the_bound_after_a_withdrawal() {
    let mut ran = 0;
    for seed in 0..SEEDS {
        let played = play(seed, Dating::Asked);
        assert!(played.latest_ms <= BOUND.as_millis(), "seed {seed}: {} ms after a withdrawal", played.latest_ms);
        ran += played.ran;
    }
    // Of a thousand steps of five daemons in each play most find a proof, or the test shows nothing.
    assert!(ran > SEEDS * 2_000, "only {ran} requests ran");
}

/// News without an echo: the plays do find what goes wrong with it.
#[test]
fn answers_dated_by_their_arrival_would_let_requests_run_too_late() {
    let late = (0..SEEDS / 10).filter(|seed| play(*seed, Dating::Arrived).latest_ms > BOUND.as_millis()).count();
    assert!(late > 0, "no play found it");
}

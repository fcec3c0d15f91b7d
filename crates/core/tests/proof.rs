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
fn completed_wait_proves_until_its_end() {
    let (asked, wait) = (Time(1_000_000), Span::millis(600));
    assert_eq!(proved_at(asked, wait, false, asked + wait), asked + wait);
    assert_eq!(proved_at(asked, wait, true, asked + wait), asked);
    // Cut before the end of the wait.
    assert_eq!(proved_at(asked, wait, false, asked + Span::millis(599)), asked);
}

#[test]
fn proof_of_newer_configuration_counts_once_in_force() {
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
fn nothing_is_fresh_without_proof() {
    let mut proofs = Proofs::default();
    assert!(!proofs.is_fresh(BOUND, Time(0)));
    proofs.set_in_force(1);
    assert!(!proofs.is_fresh(BOUND, Time(0)));
}

/// A message on its way.
struct InFlight {
    arrives_ms: u64,
    to: usize,
    payload: Payload,
}

enum Payload {
    /// The store's answer to a question asked then.
    StoreAnswer {
        asked: Time,
        revision: i64,
    },
    PeerQuestion {
        by: usize,
        asked: Time,
    },
    PeerAnswer {
        asked: Time,
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
    drift_per_mille: u64,
    suspended_until_ms: u64,
    revision: i64,
    proofs: Proofs,
}

impl Daemon {
    fn local_time(&self, true_ms: u64) -> Time {
        Time((true_ms * 1_000 + true_ms * self.drift_per_mille) + self.offset_ms * 1_000)
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
struct RunResult {
    /// Requests that ran.
    requests_run: u64,
    /// Milliseconds after a withdrawal at which one ran at the latest.
    max_delay_ms: u64,
}

/// A play: versions of the configuration come at random times; messages are delayed, lost, doubled and
/// overtake each other; daemons are suspended.
fn run(seed: u64, dating: Dating) -> RunResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    // Revision `n + 1` is acknowledged then.
    let mut acknowledged: Vec<u64> = (0..rng.random_range(1..6)).map(|_| rng.random_range(1..LENGTH_MS)).collect();
    acknowledged.sort_unstable();
    let mut daemons: Vec<Daemon> = (0..DAEMONS)
        .map(|_| Daemon {
            offset_ms: rng.random_range(0..1_000_000),
            drift_per_mille: rng.random_range(0..5),
            suspended_until_ms: 0,
            revision: 0,
            proofs: Proofs::default(),
        })
        .collect();
    let mut in_flight: Vec<InFlight> = Vec::new();
    let mut result = RunResult { requests_run: 0, max_delay_ms: 0 };
    for now_ms in (0..LENGTH_MS).step_by(20) {
        for (at, daemon) in daemons.iter_mut().enumerate() {
            if daemon.suspended_until_ms > now_ms {
                continue;
            }
            if rng.random_bool(0.002) {
                daemon.suspended_until_ms = now_ms + rng.random_range(100..8_000);
                continue;
            }
            let local_time = daemon.local_time(now_ms);
            if rng.random_bool(0.05) {
                send(&mut rng, &mut in_flight, now_ms, at, &acknowledged, local_time);
            }
            // A request that was sent now or before, and is judged now.
            if daemon.proofs.is_fresh(BOUND, local_time) {
                result.requests_run += 1;
                let superseded = acknowledged.get(daemon.revision as usize - 1);
                let late_ms = superseded.map_or(0, |acknowledged| now_ms.saturating_sub(*acknowledged));
                result.max_delay_ms = result.max_delay_ms.max(late_ms);
            }
        }
        let (arrived, not_arrived): (Vec<_>, Vec<_>) = in_flight
            .into_iter()
            .partition(|message| message.arrives_ms <= now_ms && daemons[message.to].suspended_until_ms <= now_ms);
        in_flight = not_arrived;
        for mut message in arrived {
            if let Payload::PeerAnswer { asked, .. } = &mut message.payload
                && dating == Dating::Arrived
            {
                *asked = daemons[message.to].local_time(now_ms);
            }
            receive(&mut rng, &mut in_flight, &mut daemons, now_ms, revision_at(&acknowledged, now_ms), &message);
        }
    }
    result
}

/// Revision of the newest configuration at a time, 1 before the first change.
fn revision_at(acknowledged: &[u64], ms: u64) -> i64 {
    1 + acknowledged.iter().filter(|at| **at <= ms).map(|_| 1).sum::<i64>()
}

/// A daemon asks the store, or another daemon.
fn send(rng: &mut SmallRng, in_flight: &mut Vec<InFlight>, now_ms: u64, at: usize, acknowledged: &[u64], asked: Time) {
    if at < 2 {
        // The store looks at some time after the question, and its answer takes some time.
        let looked_ms = now_ms + delay(rng);
        let revision = revision_at(acknowledged, looked_ms);
        let arrives_ms = looked_ms + delay(rng);
        in_flight.push(InFlight { arrives_ms, to: at, payload: Payload::Configuration { revision } });
        in_flight.push(InFlight { arrives_ms, to: at, payload: Payload::StoreAnswer { asked, revision } });
    } else {
        let to = rng.random_range(0..DAEMONS);
        for _ in 0..copy_count(rng) {
            let arrives_ms = now_ms + delay(rng);
            in_flight.push(InFlight { arrives_ms, to, payload: Payload::PeerQuestion { by: at, asked } });
        }
    }
}

fn receive(
    rng: &mut SmallRng,
    in_flight: &mut Vec<InFlight>,
    daemons: &mut [Daemon],
    now_ms: u64,
    newest: i64,
    message: &InFlight,
) {
    let to = message.to;
    let local_time = daemons[to].local_time(now_ms);
    match message.payload {
        Payload::StoreAnswer { asked, revision } => daemons[to].proofs.record(Proof { revision, at: asked }),
        Payload::PeerQuestion { by, asked } => {
            if let Some(proof) = daemons[to].proofs.newest() {
                let age = local_time.since(proof.at);
                for _ in 0..copy_count(rng) {
                    let arrives_ms = now_ms + delay(rng);
                    let payload = Payload::PeerAnswer { asked, revision: proof.revision, age };
                    in_flight.push(InFlight { arrives_ms, to: by, payload });
                }
                // What is in force there can be borrowed, now or never.
                let revision = daemons[to].revision.min(newest);
                let arrives_ms = now_ms + delay(rng);
                in_flight.push(InFlight { arrives_ms, to: by, payload: Payload::Configuration { revision } });
            }
        }
        Payload::PeerAnswer { asked, revision, age } => daemons[to].proofs.record(Proof { revision, at: asked - age }),
        Payload::Configuration { revision } => {
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
fn copy_count(rng: &mut SmallRng) -> usize {
    [0, 1, 1, 1, 1, 1, 1, 2][rng.random_range(0..8)]
}

/// Withdrawals behind delay, loss, repetition and suspensions: no request runs later than the bound after one.
#[test]
fn no_request_runs_later_than_bound_after_withdrawal() {
    let mut requests_run = 0;
    for seed in 0..SEEDS {
        let result = run(seed, Dating::Asked);
        assert!(result.max_delay_ms <= BOUND.as_millis(), "seed {seed}: {} ms after a withdrawal", result.max_delay_ms);
        requests_run += result.requests_run;
    }
    // Of a thousand steps of five daemons in each play most find a proof, or the test shows nothing.
    assert!(requests_run > SEEDS * 2_000, "only {requests_run} requests ran");
}

/// News without an echo: the plays do find what goes wrong with it.
#[test]
fn dating_answers_by_arrival_violates_bound() {
    let late = (0..SEEDS / 10).filter(|seed| run(*seed, Dating::Arrived).max_delay_ms > BOUND.as_millis()).count();
    assert!(late > 0, "no play found it");
}

//! Proofs of the configuration's age under clock drift and reordered messages.

use dahliaseam_core::{
    proof::{Proof, Proofs, proved_at},
    time::{Span, Time},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Time after which a withdrawn key must have no effect.
const BOUND: Span = Span::millis(5_000);
/// Number of simulated runs.
const SEEDS: u64 = 10_000;
/// True time simulated per run, in milliseconds.
const LENGTH_MS: u64 = 20_000;
/// Number of daemons: the first two ask the store, the others ask any daemon.
const DAEMONS: usize = 5;

#[test]
fn completed_wait_proves_until_its_end() {
    let (asked, wait) = (Time(1_000_000), Span::millis(600));
    assert_eq!(proved_at(asked, wait, false, asked + wait), asked + wait);
    assert_eq!(proved_at(asked, wait, true, asked + wait), asked);
    // A wait that ended early proves nothing after the request.
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
    // An older proof that arrives later changes nothing.
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

/// A message in flight.
struct InFlight {
    arrives_ms: u64,
    to: usize,
    payload: Payload,
}

enum Payload {
    /// The store's answer to a request that was sent at `asked`.
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
    /// The configuration itself, from the store or a peer.
    Configuration {
        revision: i64,
    },
}

/// A daemon. Its clock includes suspensions and has its own offset and speed.
struct Daemon {
    offset_ms: u64,
    /// How much its clock is fast, in thousandths.
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

/// How an answer of another daemon is dated.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Dating {
    /// By the time of the request.
    Asked,
    /// By its arrival, which is wrong since it may have been in flight for long.
    Arrived,
}

/// Result of a simulated run.
struct RunResult {
    /// Number of requests that ran.
    requests_run: u64,
    /// Longest time after a withdrawal at which a request ran, in milliseconds.
    max_delay_ms: u64,
}

/// Simulates changes of the configuration at random times, while messages are delayed, lost, duplicated and
/// reordered, and daemons are suspended.
fn run(seed: u64, dating: Dating) -> RunResult {
    let mut rng = SmallRng::seed_from_u64(seed);
    // Entry `i` is the time at which revision `i + 2` is acknowledged.
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
            // A request that was sent now or earlier and is checked now.
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

/// A daemon asks the store or another daemon.
fn send(rng: &mut SmallRng, in_flight: &mut Vec<InFlight>, now_ms: u64, at: usize, acknowledged: &[u64], asked: Time) {
    if at < 2 {
        // The store reads its state some time after the request, and its answer takes some time.
        let read_ms = now_ms + delay(rng);
        let revision = revision_at(acknowledged, read_ms);
        let arrives_ms = read_ms + delay(rng);
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
                // The configuration in force there may be transferred too, at any time or never.
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

/// Number of copies of a message that arrive: none, one or two.
fn copy_count(rng: &mut SmallRng) -> usize {
    [0, 1, 1, 1, 1, 1, 1, 2][rng.random_range(0..8)]
}

/// With delayed, lost and repeated messages and suspended daemons, no request runs later than the bound after a
/// withdrawal.
#[test]
fn no_request_runs_later_than_bound_after_withdrawal() {
    let mut requests_run = 0;
    for seed in 0..SEEDS {
        let result = run(seed, Dating::Asked);
        assert!(result.max_delay_ms <= BOUND.as_millis(), "seed {seed}: {} ms after a withdrawal", result.max_delay_ms);
        requests_run += result.requests_run;
    }
    // Five daemons make a thousand steps per run. On average 2,000 of these 5,000 steps must run a request, or the test
    // shows nothing.
    assert!(requests_run > SEEDS * 2_000, "only {requests_run} requests ran");
}

/// Checks that the simulation detects the fault of dating answers by their arrival.
#[test]
fn dating_answers_by_arrival_violates_bound() {
    let late = (0..SEEDS / 10).filter(|seed| run(*seed, Dating::Arrived).max_delay_ms > BOUND.as_millis()).count();
    assert!(late > 0, "no run exceeded the bound");
}

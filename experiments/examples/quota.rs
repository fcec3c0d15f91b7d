//! Compares ways to enforce a team's quota across all daemons, without a network.
//!
//!     cargo run --release -p experiments --example quota
//!
//! A team sends requests of two sizes to daemons of unequal popularity, at loads below and far above its
//! quota. For each load the program prints the fraction of units refused, the units admitted in the fullest
//! window relative to what a window allows, and the messages of all daemons per second.

use dahliaseam_core::{
    bucket::TokenBucket,
    quota::{
        Quota, Unit,
        client::{CreditNeed, CreditStep, QuotaClient},
        shard::{CreditDecision, ShardBuckets},
        terms::{ShardTerms, Tolerance},
    },
    time::{Span, Time},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const TEAM: &str = "red";
const QUOTA: Quota = Quota { unit: Unit::Tokens { default_cost: 200 }, rate: 134_000.0, burst: 134_000.0 };
const TOLERANCE: Tolerance = Tolerance { window: Span::millis(8_000), excess_share: 0.1, slack: 140_000.0 };
/// Interval between grants of the leader.
const GRANT_INTERVAL: Span = Span::millis(500);
/// Time at the start of each run in which nothing is counted, in seconds.
const WARM_UP_S: f64 = 12.0;
/// Duration of each run, in seconds.
const DURATION_S: f64 = 42.0;

/// Scheme that enforces a quota.
trait Limiter {
    /// Takes the units of a request at a daemon. Returns whether the request is admitted.
    fn take(&mut self, daemon: usize, cost: u64, draw: u64, now: Time) -> bool;
    /// Number of messages sent so far.
    fn messages(&self) -> u64;
}

/// Each daemon has an equal share of the rate and the burst.
struct EvenShares(Vec<TokenBucket>);

impl Limiter for EvenShares {
    fn take(&mut self, daemon: usize, cost: u64, _: u64, now: Time) -> bool {
        self.0[daemon].take(cost as f64, now)
    }

    fn messages(&self) -> u64 {
        0
    }
}

/// A leader divides the rate in proportion to the demand that daemons report.
struct LeaderGrants {
    buckets: Vec<TokenBucket>,
    requested: Vec<f64>,
    next_grant_at: Time,
    messages: u64,
}

impl Limiter for LeaderGrants {
    fn take(&mut self, daemon: usize, cost: u64, _: u64, now: Time) -> bool {
        if self.next_grant_at.is_past(now) {
            self.next_grant_at = now + GRANT_INTERVAL;
            let all = self.requested.iter().sum::<f64>().max(1.0);
            for (bucket, requested) in self.buckets.iter_mut().zip(&mut self.requested) {
                let share = *requested / all;
                bucket.resize(QUOTA.rate * share, (QUOTA.burst + TOLERANCE.slack) * share, now);
                *requested *= 0.5;
            }
            self.messages += 2 * self.buckets.len() as u64;
        }
        self.requested[daemon] += cost as f64;
        self.buckets[daemon].take(cost as f64, now)
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// The owners of shards grant credit for each request.
struct ShardedCredit {
    terms: ShardTerms,
    shards: Vec<(u8, ShardBuckets)>,
    clients: Vec<QuotaClient>,
    messages: u64,
}

impl Limiter for ShardedCredit {
    fn take(&mut self, daemon: usize, cost: u64, draw: u64, now: Time) -> bool {
        let mut tried = Vec::new();
        loop {
            let need = CreditNeed { team: TEAM, terms: &self.terms, cost, tie_breaker: draw };
            let CreditStep::Ask(shard) = self.clients[daemon].next_step(&need, &tried, |_| true, now) else {
                return false;
            };
            tried.push(shard);
            self.messages += 2;
            let Some((_, owned_shard)) = self.shards.iter_mut().find(|(number, _)| *number == shard) else {
                return false;
            };
            let (granted, left) = match owned_shard.take(TEAM, &self.terms, cost, now) {
                CreditDecision::Granted { left } => (true, left),
                CreditDecision::Denied { left } => (false, left),
            };
            self.clients[daemon].record_level(TEAM, shard, left, &self.terms, now);
            if granted {
                return true;
            }
        }
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

fn limiter(scheme: &str, daemons: usize) -> Box<dyn Limiter> {
    let share = |units: f64| units / daemons as f64;
    match scheme {
        "even shares" => {
            let bucket = TokenBucket::new(share(QUOTA.rate), share(QUOTA.burst + TOLERANCE.slack), Time(0));
            Box::new(EvenShares(vec![bucket; daemons]))
        }
        "leader's grants" => Box::new(LeaderGrants {
            buckets: vec![TokenBucket::new(0.0, 0.0, Time(0)); daemons],
            requested: vec![0.0; daemons],
            next_grant_at: Time(0),
            messages: 0,
        }),
        _ => {
            let terms = ShardTerms::split(&QUOTA, &TOLERANCE);
            Box::new(ShardedCredit {
                terms,
                shards: terms
                    .shards_of(TEAM)
                    .into_iter()
                    .map(|shard| (shard, ShardBuckets::taken_over(Time(0))))
                    .collect(),
                clients: (0..daemons).map(|_| QuotaClient::default()).collect(),
                messages: 0,
            })
        }
    }
}

/// Result of a run.
struct Outcome {
    refused_share: f64,
    fullest_share: f64,
    messages_per_s: f64,
}

fn simulate(scheme: &str, daemons: usize, load: f64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut limiter = limiter(scheme, daemons);
    let (mut requested, mut refused) = (0, 0);
    let mut admitted: Vec<(f64, u64)> = Vec::new();
    let mut at_s = 0.0;
    while at_s < DURATION_S {
        let cost: u64 = if rng.random_bool(0.25) { 12_024 } else { 850 };
        let mean_cost = 0.25 * 12_024.0 + 0.75 * 850.0;
        at_s += -rng.random::<f64>().max(1e-12).ln() * mean_cost / (QUOTA.rate * load);
        let daemon = (rng.random::<f64>().powi(2) * daemons as f64) as usize;
        let is_admitted = limiter.take(daemon, cost, rng.random(), Time(0) + Span::seconds(at_s));
        if is_admitted {
            admitted.push((at_s, cost));
        }
        if at_s > WARM_UP_S {
            requested += cost;
            refused += if is_admitted { 0 } else { cost };
        }
    }
    let fullest = admitted.iter().map(|(from, _)| {
        let window = admitted.iter().filter(|(at, _)| at >= from && at - from < TOLERANCE.window.as_seconds());
        window.map(|(_, cost)| cost).sum::<u64>()
    });
    Outcome {
        refused_share: refused as f64 / requested as f64,
        fullest_share: fullest.max().unwrap_or(0) as f64 / TOLERANCE.allowed(&QUOTA),
        messages_per_s: limiter.messages() as f64 / DURATION_S,
    }
}

fn main() {
    println!("scheme          daemons  load  refused  fullest window  messages/s");
    for scheme in ["even shares", "leader's grants", "sharded credit"] {
        for daemons in [7, 84, 295, 985] {
            for load in [0.55, 0.9, 4.0] {
                let outcome = simulate(scheme, daemons, load);
                println!(
                    "{scheme:<15} {daemons:>7} {load:>5} {:>8.3} {:>15.3} {:>11.0}",
                    outcome.refused_share, outcome.fullest_share, outcome.messages_per_s
                );
            }
        }
    }
}

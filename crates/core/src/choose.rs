//! Endpoint selection.
//!
//! In a small pool every endpoint is a candidate. In a large one the candidates are the two owners of the
//! prompt's prefix on a hash ring plus a few random ones, so that the cost does not grow with the pool. Among
//! candidates with room the lowest score wins. Near ties are broken at random, so that daemons with the same
//! stale view do not all send to one endpoint.

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::{
    endpoint::{Endpoint, EndpointKey, Role},
    predict::{Prediction, predict},
    request::Request,
    time::Time,
};

/// Largest pool in which every endpoint is a candidate.
const FULL_SCAN_LIMIT: usize = 16;
/// Number of prefix owners among the candidates.
const PREFIX_OWNERS: usize = 2;
/// Number of random draws for further candidates.
const RANDOM_CANDIDATES: usize = 4;
/// Scores within this factor of the best count as tied.
const TIE_FACTOR: f64 = 1.1;
/// Scores within this many seconds of the best count as tied.
const TIE_SECONDS: f64 = 0.002;
/// Seconds of prefill work that may queue at an engine before non-urgent requests wait here instead.
const MAX_BACKLOG_SECONDS: f64 = 1.5;
/// Weight of the delay caused to other sequences in the score.
const INTERFERENCE_WEIGHT: f64 = 0.1;
/// Window places reserved for urgent requests.
const URGENT_HEADROOM: f64 = 1.0;

/// Endpoints of one pool: the hash ring of those that can finish a request, and the prefill engines.
#[derive(Clone, Debug, Default)]
pub struct PoolIndex {
    ring: Vec<(u64, EndpointKey)>,
    prefill: Vec<EndpointKey>,
}

impl PoolIndex {
    /// Adds an endpoint.
    pub fn insert(&mut self, key: EndpointKey, hash: u64, role: Role) {
        if role == Role::Prefill {
            self.prefill.push(key);
            return;
        }
        let at = self.ring.partition_point(|(h, _)| *h < hash);
        self.ring.insert(at, (hash, key));
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, key: EndpointKey) {
        self.ring.retain(|(_, k)| *k != key);
        self.prefill.retain(|k| *k != key);
    }

    /// Endpoints that can finish a request.
    pub fn serving_endpoints(&self) -> impl Iterator<Item = EndpointKey> + '_ {
        self.ring.iter().map(|(_, key)| *key)
    }

    /// Endpoints that only prefill prompts.
    #[must_use]
    pub fn prefill_endpoints(&self) -> &[EndpointKey] {
        &self.prefill
    }

    /// Number of endpoints that can finish a request.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ring.len()
    }

    /// Whether no endpoint can finish a request.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ring.is_empty()
    }

    fn candidates(&self, prefix: u64, rng: &mut impl Rng) -> Vec<EndpointKey> {
        if self.ring.len() <= FULL_SCAN_LIMIT {
            return self.serving_endpoints().collect();
        }
        let at = self.ring.partition_point(|(h, _)| *h < prefix);
        let mut out: Vec<_> = (0..PREFIX_OWNERS).map(|i| self.ring[(at + i) % self.ring.len()].1).collect();
        for _ in 0..RANDOM_CANDIDATES {
            let key = self.ring[rng.random_range(0..self.ring.len())].1;
            if !out.contains(&key) {
                out.push(key);
            }
        }
        out
    }

    fn prefill_sample(&self, rng: &mut impl Rng) -> Vec<EndpointKey> {
        if self.prefill.len() <= FULL_SCAN_LIMIT {
            return self.prefill.clone();
        }
        (0..RANDOM_CANDIDATES).map(|_| self.prefill[rng.random_range(0..self.prefill.len())]).collect()
    }
}

/// Reason why a candidate was skipped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Skip {
    /// It is draining.
    Leaving,
    /// It was ejected after faults.
    Ejected,
    /// Its window is full, or too much prefill work queues there.
    Full,
    /// It failed this request before.
    FailedBefore,
    /// It has not loaded the adapter.
    NoAdapter,
}

/// A candidate as seen at the time of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Engine that would prefill the prompt for the endpoint, if any.
    pub prefill: Option<EndpointKey>,
    /// Predicted response times.
    pub prediction: Prediction,
    /// Score in seconds, lower is better: predicted time of the whole answer, plus a weighted part of the delay
    /// that the prompt causes to other sequences on the engine.
    pub score: f64,
    /// Reason why it was skipped, if it was.
    pub skipped: Option<Skip>,
}

/// Reason for the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Its score was clearly the best.
    Fastest,
    /// Several were nearly tied; one was drawn at random.
    DrawnAmongEqual,
    /// No other candidate was open.
    OnlyOne,
}

/// A choice and the candidates it was made from.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The chosen candidate.
    pub chosen: Candidate,
    /// Reason for the choice.
    pub reason: Reason,
    /// All candidates, including the skipped ones.
    pub candidates: Vec<Candidate>,
}

/// Access to endpoint rows by key.
pub trait EndpointRows {
    /// Returns the row of `key`.
    fn row(&self, key: EndpointKey) -> &Endpoint;
}

/// Chooses an endpoint for `request` among the candidates of `index`.
///
/// # Errors
/// Returns all candidates if none can take the request now.
pub fn choose(
    rows: &impl EndpointRows,
    index: &PoolIndex,
    request: &Request,
    now: Time,
    rng: &mut impl Rng,
) -> Result<Choice, Vec<Candidate>> {
    let prefill = best_prefill(rows, index, request, now, rng);
    let candidates: Vec<_> = index
        .candidates(request.spec.prefix, rng)
        .into_iter()
        .map(|key| evaluate(rows, key, prefill, request, now))
        .collect();
    let open: Vec<_> = candidates.iter().filter(|c| c.skipped.is_none()).collect();
    let Some(best) = open.iter().map(|c| c.score).reduce(f64::min) else {
        return Err(candidates);
    };
    let bound = (best * TIE_FACTOR).max(best + TIE_SECONDS);
    let tied: Vec<_> = open.iter().filter(|c| c.score <= bound).collect();
    let reason = match (open.len(), tied.len()) {
        (1, _) => Reason::OnlyOne,
        (_, 1) => Reason::Fastest,
        _ => Reason::DrawnAmongEqual,
    };
    let chosen = **tied[rng.random_range(0..tied.len())];
    Ok(Choice { chosen, reason, candidates })
}

fn best_prefill(
    rows: &impl EndpointRows,
    index: &PoolIndex,
    request: &Request,
    now: Time,
    rng: &mut impl Rng,
) -> Option<EndpointKey> {
    let seconds = |key: EndpointKey| {
        let row = rows.row(key);
        (crate::predict::backlog(row, now) + crate::predict::uncached(row, &request.spec)) / row.rates.prefill
    };
    index
        .prefill_sample(rng)
        .into_iter()
        .filter(|key| rows.row(*key).is_open(now) && !request.avoided.contains(key))
        .filter(|key| rows.row(*key).window.has_room(0.0))
        .min_by(|a, b| seconds(*a).total_cmp(&seconds(*b)))
}

fn evaluate(
    rows: &impl EndpointRows,
    key: EndpointKey,
    prefill: Option<EndpointKey>,
    request: &Request,
    now: Time,
) -> Candidate {
    let row = rows.row(key);
    let predicted = |first: Option<EndpointKey>| {
        predict(row, first.map(|k| rows.row(k)), &request.spec, request.remaining_tokens(), now)
    };
    let unsplit = predicted(None);
    let split = prefill.map(|k| (k, predicted(Some(k))));
    // A decode engine prefills a prompt only if no prefill engine can.
    let prefers_split = |p: Prediction| row.role == Role::Decode || p.total < unsplit.total;
    let (prefill, prediction) = match split {
        Some((k, p)) if row.role != Role::Plain && prefers_split(p) => (Some(k), p),
        _ => (None, unsplit),
    };
    let interference = if prefill.is_some() { 0.0 } else { crate::predict::interference(row, &request.spec) };
    let score = INTERFERENCE_WEIGHT.mul_add(interference, prediction.total);
    Candidate { endpoint: key, prefill, prediction, score, skipped: skip_reason(row, key, request, now) }
}

/// Whether enough prefill work queues at an engine already. Requests that wait here can still be reordered by
/// weight; those that wait at the engine cannot.
fn is_backlogged(row: &Endpoint, request: &Request, now: Time) -> bool {
    let seconds = crate::predict::backlog(row, now) / row.rates.prefill;
    row.role != Role::Plain && !request.spec.kind.is_urgent() && seconds > MAX_BACKLOG_SECONDS
}

fn skip_reason(row: &Endpoint, key: EndpointKey, request: &Request, now: Time) -> Option<Skip> {
    let headroom = if request.spec.kind.is_urgent() { 0.0 } else { URGENT_HEADROOM };
    let adapter = request.spec.adapter;
    if row.admin_state == crate::endpoint::AdminState::Draining {
        Some(Skip::Leaving)
    } else if request.avoided.contains(&key) {
        Some(Skip::FailedBefore)
    } else if !row.health.is_available(now) {
        Some(Skip::Ejected)
    } else if adapter != 0 && !row.adapters.contains(&adapter) {
        Some(Skip::NoAdapter)
    } else if !row.window.has_room(headroom) || is_backlogged(row, request, now) {
        Some(Skip::Full)
    } else {
        None
    }
}

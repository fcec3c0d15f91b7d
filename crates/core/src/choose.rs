//! Which endpoint serves a request.
//!
//! A small pool is looked at whole. In a large one the candidates are the two owners of the
//! prompt's prefix on a hash ring and a few others drawn at random, so the cost does not grow
//! with the pool. Of those with room the best predicted wins; near ties are broken at random, so
//! that daemons with the same stale view do not all run to one endpoint.

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::{
    endpoint::{Endpoint, EndpointKey, Role},
    predict::{Prediction, predict},
    request::Request,
    time::Time,
};

/// Pools up to this size are looked at whole.
const FULL_SCAN_LIMIT: usize = 16;
/// Owners of the prefix among the candidates.
const PREFIX_OWNERS: usize = 2;
/// Candidates drawn at random.
const RANDOM_CANDIDATES: usize = 4;
/// Predictions within this factor of the best count as equal.
const TIE_FACTOR: f64 = 1.1;
/// And within these seconds.
const TIE_SECONDS: f64 = 0.002;
/// Seconds of prompts that may wait at an engine for other kinds than urgent ones.
const MAX_BACKLOG_SECONDS: f64 = 1.5;
/// Part of the harm to others that counts in the choice.
const INTERFERENCE_WEIGHT: f64 = 0.1;
/// Places in a window that only urgent kinds use.
const URGENT_HEADROOM: f64 = 1.0;

/// The endpoints of one pool, in the orders that choosing needs.
#[derive(Clone, Debug, Default)]
pub struct PoolIndex {
    ring: Vec<(u64, EndpointKey)>,
    prefill: Vec<EndpointKey>,
}

impl PoolIndex {
    /// Add an endpoint.
    pub fn insert(&mut self, key: EndpointKey, hash: u64, role: Role) {
        if role == Role::Prefill {
            self.prefill.push(key);
            return;
        }
        let at = self.ring.partition_point(|(h, _)| *h < hash);
        self.ring.insert(at, (hash, key));
    }

    /// Remove an endpoint.
    pub fn remove(&mut self, key: EndpointKey) {
        self.ring.retain(|(_, k)| *k != key);
        self.prefill.retain(|k| *k != key);
    }

    /// Endpoints that can finish a request.
    pub fn serving_endpoints(&self) -> impl Iterator<Item = EndpointKey> + '_ {
        self.ring.iter().map(|(_, key)| *key)
    }

    /// Endpoints that only process prompts.
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

/// Why a candidate was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Skip {
    /// It is leaving.
    Leaving,
    /// It was ejected after faults.
    Ejected,
    /// Its window is full.
    Full,
    /// It failed this request before.
    FailedBefore,
    /// It has not loaded the adapter.
    NoAdapter,
}

/// One candidate as it was seen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Where the prompt would be processed first.
    pub prefill: Option<EndpointKey>,
    /// The predicted times.
    pub prediction: Prediction,
    /// Seconds by which candidates are compared: until the whole answer, and a part of those by
    /// which the prompt holds up what the engine generates for others.
    pub score: f64,
    /// Why it was passed over, if it was.
    pub skipped: Option<Skip>,
}

/// Why the chosen endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// It was predicted to be clearly the fastest.
    Fastest,
    /// Several were nearly equal; one was drawn.
    DrawnAmongEqual,
    /// No other was open.
    OnlyOne,
}

/// A choice with what it was made from.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The chosen candidate.
    pub chosen: Candidate,
    /// Why.
    pub reason: Reason,
    /// All candidates.
    pub candidates: Vec<Candidate>,
}

/// Look-up of an endpoint's row.
pub trait EndpointRows {
    /// The row under `key`.
    fn row(&self, key: EndpointKey) -> &Endpoint;
}

/// Look at the candidates of `index` for `request`.
///
/// # Errors
/// All candidates, when none of them can take it now.
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
    // A decode engine takes a prompt only when no prefill engine can.
    let prefers_split = |p: Prediction| row.role == Role::Decode || p.total < unsplit.total;
    let (prefill, prediction) = match split {
        Some((k, p)) if row.role != Role::Plain && prefers_split(p) => (Some(k), p),
        _ => (None, unsplit),
    };
    let interference = if prefill.is_some() { 0.0 } else { crate::predict::interference(row, &request.spec) };
    let score = INTERFERENCE_WEIGHT.mul_add(interference, prediction.total);
    Candidate { endpoint: key, prefill, prediction, score, skipped: skip(row, key, request, now) }
}

/// Whether an engine has enough prompts before it for now: what waits here can still be chosen
/// by its worth, what waits there cannot.
fn is_backlogged(row: &Endpoint, request: &Request, now: Time) -> bool {
    let seconds = crate::predict::backlog(row, now) / row.rates.prefill;
    row.role != Role::Plain && !request.spec.kind.is_urgent() && seconds > MAX_BACKLOG_SECONDS
}

fn skip(row: &Endpoint, key: EndpointKey, request: &Request, now: Time) -> Option<Skip> {
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

//! Selection of the shard owner that a daemon asks for credit.
//!
//! Each reply of an owner reports the level of its bucket. Until the next reply the bucket holds at most that
//! level plus the refill since then. Owners whose bound is below the cost of a request are not asked.

use std::{collections::HashMap, sync::Arc};

use crate::{
    quota::{SHARDS, terms::ShardTerms},
    time::{Span, Time},
};

/// Time for which an owner that did not reply is not asked again.
const UNAVAILABLE_BACKOFF: Span = Span::millis(400);
/// Number of teams with known levels above which outdated ones are dropped.
const MAX_TEAMS: usize = 1_024;
/// Age above which a level is outdated.
const MAX_LEVEL_AGE: Span = Span::millis(10_000);
/// Minimum wait that a team is given.
const MIN_WAIT: Span = Span::millis(20);

/// Next step towards credit for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditStep {
    /// Ask the owner of this shard.
    Ask(u8),
    /// The quota is used up; contains the time until enough is refilled, or `None` if that never happens.
    Denied(Option<Span>),
    /// No owner can be asked.
    Unavailable,
}

/// Credit that a request needs from its team's quota.
#[derive(Clone, Copy, Debug)]
pub struct CreditNeed<'a> {
    /// Name of the team.
    pub team: &'a str,
    /// Limits of each of its shards.
    pub terms: &'a ShardTerms,
    /// Cost in units of the quota.
    pub cost: u64,
    /// Random number that orders shards with equal levels, so that daemons spread over them.
    pub tie_breaker: u64,
}

/// Last known level of a bucket.
#[derive(Clone, Copy, Debug)]
struct Level {
    left: f64,
    at: Time,
    terms: ShardTerms,
}

impl Level {
    /// Upper bound of the current level, in units.
    fn upper_bound(&self, terms: &ShardTerms, now: Time) -> f64 {
        if self.terms != *terms {
            return terms.depth;
        }
        (self.left + now.since(self.at).as_seconds() * terms.rate).min(terms.depth)
    }
}

/// What this daemon knows of the buckets of shard owners.
#[derive(Debug, Default)]
pub struct QuotaClient {
    levels: HashMap<Arc<str>, HashMap<u8, Level>>,
    unavailable_until: [Time; SHARDS as usize],
}

impl QuotaClient {
    /// Returns the next step. `asked` contains the shards already asked for this request; `is_owned` tells
    /// whether a shard has an owner.
    pub fn next_step(
        &self,
        req: &CreditNeed<'_>,
        asked: &[u8],
        is_owned: impl Fn(u8) -> bool,
        now: Time,
    ) -> CreditStep {
        let CreditNeed { team, terms, cost, tie_breaker } = *req;
        let cost = cost as f64;
        if cost > terms.depth {
            return CreditStep::Denied(None);
        }
        let shards = terms.shards_of(team);
        let known = self.levels.get(team);
        let upper_bound = |shard: u8| {
            let level = known.and_then(|levels| levels.get(&shard));
            level.map_or(terms.depth, |level| level.upper_bound(terms, now))
        };
        let is_backing_off = |shard: u8| !self.unavailable_until[usize::from(shard)].is_past(now);
        let candidates = shards.iter().copied().filter(|shard| is_owned(*shard) && !is_backing_off(*shard));
        let (sufficient, insufficient): (Vec<u8>, Vec<u8>) =
            candidates.partition(|shard| !asked.contains(shard) && upper_bound(*shard) >= cost);
        let rank = |shard: u8| crate::hash::rendezvous(tie_breaker, u64::from(shard));
        let best = sufficient.into_iter().max_by(|a, b| {
            let levels = upper_bound(*a).total_cmp(&upper_bound(*b));
            levels.then_with(|| rank(*a).cmp(&rank(*b)))
        });
        match (best, insufficient.is_empty()) {
            (Some(shard), _) => CreditStep::Ask(shard),
            (None, true) => CreditStep::Unavailable,
            (None, false) => {
                let lack =
                    insufficient.into_iter().map(|shard| (cost - upper_bound(shard)).max(0.0)).min_by(f64::total_cmp);
                CreditStep::Denied(refill_time(lack.unwrap_or(cost), terms))
            }
        }
    }

    /// Records the level of an owner's bucket, as reported in a reply.
    pub fn record_level(&mut self, team: &str, shard: u8, left: f64, terms: &ShardTerms, now: Time) {
        self.unavailable_until[usize::from(shard)] = Time(0);
        let level = Level { left, at: now, terms: *terms };
        if let Some(levels) = self.levels.get_mut(team) {
            levels.insert(shard, level);
            return;
        }
        if self.levels.len() >= MAX_TEAMS {
            self.levels.retain(|_, levels| levels.values().any(|level| now.since(level.at) < MAX_LEVEL_AGE));
        }
        if self.levels.len() < MAX_TEAMS {
            self.levels.insert(Arc::from(team), HashMap::from([(shard, level)]));
        }
    }

    /// Records that the owner of a shard did not reply or no longer owns it.
    pub fn mark_unavailable(&mut self, shard: u8, now: Time) {
        self.unavailable_until[usize::from(shard)] = now + UNAVAILABLE_BACKOFF;
    }
}

/// Time to refill some units; `None` if they are never refilled.
fn refill_time(units: f64, terms: &ShardTerms) -> Option<Span> {
    (terms.rate > 0.0).then(|| Span::seconds(units / terms.rate).max(MIN_WAIT))
}

//! A quota shard, as kept by its owner.

use std::{collections::HashMap, sync::Arc};

use crate::{
    bucket::TokenBucket,
    quota::terms::ShardTerms,
    time::{Span, Time},
};

/// Number of buckets above which full ones are dropped.
const MIN_PRUNE_SIZE: usize = 1_024;

/// What an owner decides on a request for credit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CreditDecision {
    /// The units were taken.
    Granted {
        /// Remaining units.
        left: f64,
    },
    /// There are too few units.
    Denied {
        /// Available units.
        left: f64,
    },
}

/// Buckets of one shard since this daemon took it over.
#[derive(Debug)]
pub struct ShardBuckets {
    taken_over_at: Time,
    buckets: HashMap<Arc<str>, TokenBucket>,
    prune_at: usize,
}

impl ShardBuckets {
    /// Creates the buckets of a shard that was taken over at the given time; they are empty then.
    #[must_use]
    pub fn taken_over(taken_over_at: Time) -> Self {
        Self { taken_over_at, buckets: HashMap::new(), prune_at: MIN_PRUNE_SIZE }
    }

    /// Takes `cost` units of a team's quota.
    pub fn take(&mut self, team: &str, terms: &ShardTerms, cost: u64, now: Time) -> CreditDecision {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.resize(terms.rate, terms.depth, now);
        } else {
            self.prune(now);
            let bucket = TokenBucket::empty(terms.rate, terms.depth, self.taken_over_at);
            self.buckets.insert(Arc::from(team), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(team) else {
            return CreditDecision::Denied { left: 0.0 };
        };
        let granted = bucket.take(cost as f64, now);
        let left = bucket.tokens_at(now);
        if granted { CreditDecision::Granted { left } } else { CreditDecision::Denied { left } }
    }

    /// Drops full buckets. A bucket that is created again holds no more, since it fills from the time the shard
    /// was taken over.
    fn prune(&mut self, now: Time) {
        if self.buckets.len() < self.prune_at {
            return;
        }
        let taken_over_at = self.taken_over_at;
        self.buckets.retain(|_, bucket| !bucket.is_full(now) || bucket.fill_time() > now.since(taken_over_at));
        self.prune_at = MIN_PRUNE_SIZE.max(self.buckets.len() * 2);
    }

    /// Number of buckets.
    #[must_use]
    pub fn team_count(&self) -> usize {
        self.buckets.len()
    }

    /// Time since the shard was taken over.
    #[must_use]
    pub const fn age(&self, now: Time) -> Span {
        now.since(self.taken_over_at)
    }
}

//! One shard of all quotas, as its owner keeps it.

use std::{collections::HashMap, sync::Arc};

use crate::{
    bucket::TokenBucket,
    quota::terms::ShardTerms,
    time::{Span, Time},
};

/// Teams whose buckets are kept before those that are full are dropped.
const MIN_PRUNE_SIZE: usize = 1_024;

/// What became of a question for credit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The units were taken.
    Granted {
        /// Units that are left.
        left: f64,
    },
    /// There are not enough.
    Denied {
        /// Units that there are.
        left: f64,
    },
}

/// The buckets of one shard, from when its owner took it over.
#[derive(Debug)]
pub struct Shard {
    taken_over_at: Time,
    buckets: HashMap<Arc<str>, TokenBucket>,
    prune_at: usize,
}

impl Shard {
    /// A shard that was taken over at a time, with nothing to grant yet.
    #[must_use]
    pub fn taken_over(taken_over_at: Time) -> Self {
        Self { taken_over_at, buckets: HashMap::new(), prune_at: MIN_PRUNE_SIZE }
    }

    /// Take units of a team's quota.
    pub fn take(&mut self, team: &str, terms: &ShardTerms, cost: u64, now: Time) -> Answer {
        if let Some(bucket) = self.buckets.get_mut(team) {
            bucket.resize(terms.rate, terms.depth, now);
        } else {
            self.prune(now);
            let bucket = TokenBucket::empty(terms.rate, terms.depth, self.taken_over_at);
            self.buckets.insert(Arc::from(team), bucket);
        }
        let Some(bucket) = self.buckets.get_mut(team) else {
            return Answer::Denied { left: 0.0 };
        };
        let granted = bucket.take(cost as f64, now);
        let left = bucket.tokens_at(now);
        if granted { Answer::Granted { left } } else { Answer::Denied { left } }
    }

    /// Drops full buckets. One that is made anew holds no more, since it fills from when the shard was taken over.
    fn prune(&mut self, now: Time) {
        if self.buckets.len() < self.prune_at {
            return;
        }
        let taken_over_at = self.taken_over_at;
        self.buckets.retain(|_, bucket| !bucket.is_full(now) || bucket.fill_time() > now.since(taken_over_at));
        self.prune_at = MIN_PRUNE_SIZE.max(self.buckets.len() * 2);
    }

    /// Teams whose buckets are kept.
    #[must_use]
    pub fn team_count(&self) -> usize {
        self.buckets.len()
    }

    /// Time since it was taken over.
    #[must_use]
    pub const fn age(&self, now: Time) -> Span {
        now.since(self.taken_over_at)
    }
}

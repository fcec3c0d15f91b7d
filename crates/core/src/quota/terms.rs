//! Split of a quota into shards whose sum stays within the quota in every window.

use crate::{
    hash,
    quota::{CREDIT_TTL, Quota, SHARDS, Unit},
    time::Span,
};

/// Maximum number of shards per team: the loss of one takes a quarter of the quota.
const MAX_TEAM_SHARDS: usize = 4;
/// Minimum depth of a shard in requests, if there are several.
const MIN_SHARD_REQUESTS: f64 = 4.0;
/// Minimum depth of a shard in tokens, if there are several, so that long prompts are not refused for their
/// size alone.
const MIN_SHARD_TOKENS: f64 = 32_768.0;
/// Minimum share of the burst that the buckets hold; the rate is lowered if the tolerance leaves less room for them.
const MIN_BURST_SHARE: f64 = 0.5;

/// Maximum clock drift between two daemons, relative to the length of a time span.
const CLOCK_DRIFT: f64 = 0.005;

/// How far a team may exceed its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the windows in which usage is counted.
    pub window: Span,
    /// Share of the quota by which usage in a window may exceed it.
    pub excess_share: f64,
    /// Further units by which usage in a window may exceed it.
    pub slack: f64,
}

impl Tolerance {
    /// Maximum number of units that may be spent in one window.
    #[must_use]
    pub fn allowed(&self, quota: &Quota) -> f64 {
        (quota.rate * self.window.as_seconds() + quota.burst) * (1.0 + self.excess_share) + self.slack
    }
}

/// Limits of each shard of one team's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardTerms {
    /// Units per second.
    pub rate: f64,
    /// Maximum number of units in the bucket.
    pub depth: f64,
    /// Number of shards of the team.
    pub count: usize,
}

impl ShardTerms {
    /// Splits a quota.
    ///
    /// Credit that is spent in a window was requested in that window or at most [`CREDIT_TTL`] before it. The
    /// result keeps `depth + rate * (window + CREDIT_TTL)`, summed over the shards, within what a window
    /// allows.
    #[must_use]
    pub fn split(quota: &Quota, tolerance: &Tolerance) -> Self {
        let allowed = tolerance.allowed(quota);
        let span_s = (tolerance.window + CREDIT_TTL).as_seconds() * (1.0 + CLOCK_DRIFT);
        let min_depth = (quota.burst * MIN_BURST_SHARE).min(allowed);
        let depth = (allowed - quota.rate * span_s).max(min_depth);
        let rate = quota.rate.min((allowed - depth) / span_s);
        let min_shard_depth = match quota.unit {
            Unit::Requests => MIN_SHARD_REQUESTS,
            Unit::Tokens { .. } => MIN_SHARD_TOKENS,
        };
        let count = ((depth / min_shard_depth) as usize).clamp(1, MAX_TEAM_SHARDS);
        Self { rate: rate / count as f64, depth: depth / count as f64, count }
    }

    /// Shards of a team, the same on all daemons.
    #[must_use]
    pub fn shards_of(&self, team: &str) -> Vec<u8> {
        let shards = (0..SHARDS).map(|shard| (u64::from(shard), shard));
        hash::owners(hash::bytes(team.as_bytes()), shards, self.count)
    }
}

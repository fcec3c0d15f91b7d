//! How a quota is split into shards so that their sum keeps it in every window.

use crate::{
    hash,
    quota::{CREDIT_TTL, Quota, SHARDS, Unit},
    time::Span,
};

/// Shards of one team at most: the loss of one takes a quarter of its quota.
const MAX_TEAM_SHARDS: usize = 4;
/// Requests that a shard of several holds at least.
const MIN_SHARD_REQUESTS: f64 = 4.0;
/// Tokens that a shard of several holds at least, so that long prompts are not refused for their size alone.
const MIN_SHARD_TOKENS: f64 = 32_768.0;
/// Share of the burst that the bucket holds at least; the rate gives way where the tolerance leaves less.
const MIN_BURST_SHARE: f64 = 0.5;

/// Part of a span by which the clocks of two daemons may differ over it.
const CLOCK_DRIFT: f64 = 0.005;

/// How far a team may go beyond its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the windows in which usage is counted.
    pub window: Span,
    /// Share of the quota by which a window may exceed it.
    pub excess_share: f64,
    /// Units by which it may exceed that.
    pub slack: f64,
}

impl Tolerance {
    /// Units that may be spent in one window.
    #[must_use]
    pub fn allowed(&self, quota: &Quota) -> f64 {
        (quota.rate * self.window.as_seconds() + quota.burst) * (1.0 + self.excess_share) + self.slack
    }
}

/// What each shard of one team's quota may grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardTerms {
    /// Units a second.
    pub rate: f64,
    /// Units that it holds at most.
    pub depth: f64,
    /// Shards of the team.
    pub count: usize,
}

impl ShardTerms {
    /// Split a quota.
    ///
    /// Spends of a window were asked for in that window or one [`CREDIT_LIFE`] before it, so
    /// `depth + rate * (window + life)`, summed over the shards, is at most what a window allows.
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

    /// The shards of a team, the same on all daemons.
    #[must_use]
    pub fn shards_of(&self, team: &str) -> Vec<u8> {
        let shards = (0..SHARDS).map(|shard| (u64::from(shard), shard));
        hash::owners(hash::bytes(team.as_bytes()), shards, self.count)
    }
}

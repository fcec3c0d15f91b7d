//! Quotas of teams over all daemons: distributed token buckets.
//!
//! A team's quota is split into a few [`shard`]s, each owned by one daemon under a lease of the key-value
//! service. A daemon that is about to run a request asks an owner for [`Credit`] ([`client`] says which), and
//! the owner takes it from its bucket before it answers. A lost message loses credit and never makes any.
//! Credit is dated by when it was asked for and soon expires, so an answer that was under way for long, or
//! comes from a former owner, has no effect. An owner's bucket starts empty, since nobody knows what the
//! former one has granted. [`terms`] says how much each shard may hold for the sum to stay within the quota
//! in every window.

pub mod client;
pub mod shard;
pub mod terms;

use crate::{
    prompt::Prompt,
    time::{Span, Time},
};

/// Shards of all quotas together.
pub const SHARDS: u8 = 16;
/// Time from the question for which credit may be spent.
pub const CREDIT_TTL: Span = Span::millis(750);

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of prompts and answers, as their callers announce them.
    Tokens {
        /// What a request counts that announces none.
        default_cost: u32,
    },
}

/// What a team may use, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// What is counted.
    pub unit: Unit,
    /// Units a second.
    pub rate: f64,
    /// Units beyond that at once.
    pub burst: f64,
}

impl Quota {
    /// Units that a request costs.
    #[must_use]
    pub fn cost(&self, prompt: Option<&Prompt>) -> u64 {
        match (self.unit, prompt) {
            (Unit::Requests, _) => 1,
            (Unit::Tokens { .. }, Some(prompt)) => u64::from(prompt.tokens) + u64::from(prompt.max_output),
            (Unit::Tokens { default_cost: plain }, None) => u64::from(plain),
        }
    }
}

/// Units that an owner has taken from its bucket for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Credit {
    /// When it was asked for.
    requested_at: Time,
}

impl Credit {
    /// Credit that was asked for at a time.
    #[must_use]
    pub const fn requested_at(requested_at: Time) -> Self {
        Self { requested_at }
    }

    /// Whether it may still be spent.
    #[must_use]
    pub fn is_usable(&self, now: Time) -> bool {
        now.since(self.requested_at) < CREDIT_TTL
    }
}

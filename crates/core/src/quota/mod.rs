//! Team quotas over all daemons, as distributed token buckets.
//!
//! A team's quota is split into a few [`shard`]s, each owned by one daemon under a lease in the key-value
//! service. A daemon that is about to run a request asks an owner, chosen by [`client`], for [`Credit`]; the
//! owner takes the units from its bucket before it replies. A lost message loses credit and never creates it.
//! Credit is dated by the time it was requested and soon expires, so a long-delayed reply or one from a former
//! owner has no effect. A new owner's bucket starts empty, since it cannot know what the former owner granted.
//! [`terms`] computes how much each shard may hold so that the sum stays within the quota in every window.

pub mod client;
pub mod shard;
pub mod terms;

use crate::{
    prompt::Prompt,
    time::{Span, Time},
};

/// Number of shards over which the quotas of all teams are spread.
pub const SHARDS: u8 = 16;
/// Time after the request for credit in which the credit may be spent.
pub const CREDIT_TTL: Span = Span::millis(750);

/// Unit in which a quota is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Prompt tokens and maximum output tokens, as declared by the caller.
    Tokens {
        /// Tokens charged for a request that declares none.
        default_cost: u32,
    },
}

/// Quota of a team over all daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Unit of the other fields.
    pub unit: Unit,
    /// Units per second.
    pub rate: f64,
    /// Additional units that may be used at once.
    pub burst: f64,
}

impl Quota {
    /// Cost of a request in units.
    #[must_use]
    pub fn cost(&self, prompt: Option<&Prompt>) -> u64 {
        match (self.unit, prompt) {
            (Unit::Requests, _) => 1,
            (Unit::Tokens { .. }, Some(prompt)) => u64::from(prompt.tokens) + u64::from(prompt.max_output),
            (Unit::Tokens { default_cost }, None) => u64::from(default_cost),
        }
    }
}

/// Units that an owner has taken from its bucket for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Credit {
    /// When the credit was requested.
    requested_at: Time,
}

impl Credit {
    /// Creates credit that was requested at the given time.
    #[must_use]
    pub const fn requested_at(requested_at: Time) -> Self {
        Self { requested_at }
    }

    /// Whether the credit may still be spent.
    #[must_use]
    pub fn is_usable(&self, now: Time) -> bool {
        now.since(self.requested_at) < CREDIT_TTL
    }
}

//! The table of requests that this daemon holds.

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::{
    endpoint::{EndpointKey, PoolKey},
    outcome::AttemptEnd,
    time::Time,
};

new_key_type! {
    /// Key of a request in this daemon's table.
    pub struct RequestKey;
}

/// The traits of a request's kind that decisions need.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindTraits {
    /// Higher goes first; kinds at or above [`URGENT`] keep headroom.
    pub priority: u8,
    /// Worth of one whole answer in time.
    pub weight: f64,
    /// Whether it may be dispatched more than once.
    pub repeatable: bool,
    /// Whether no planned change may cut it.
    pub protected: bool,
}

/// Priority from which a kind counts as urgent.
pub const URGENT_PRIORITY: u8 = 8;

impl KindTraits {
    /// Whether this kind passes waiting work and uses the headroom.
    #[must_use]
    pub const fn is_urgent(&self) -> bool {
        self.priority >= URGENT_PRIORITY
    }
}

/// What decisions need to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestSpec {
    /// The pool that serves it.
    pub pool: PoolKey,
    /// Traits of its kind.
    pub kind: KindTraits,
    /// Tokens of the prompt, estimated from its length.
    pub prompt_tokens: u32,
    /// Tokens of the answer, at most.
    pub output_tokens: u32,
    /// Hash of the prompt's leading block.
    pub prefix: u64,
    /// Identifier of the adapter asked for, zero for none.
    pub adapter: u64,
    /// When the whole answer is due.
    pub deadline: Time,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It waits in the queue.
    Waiting,
    /// An attempt is at an endpoint, with a prefill engine before it if there is one.
    Running {
        /// Where it decodes, or runs whole.
        endpoint: EndpointKey,
        /// Where its prompt is processed first, if elsewhere.
        prefill: Option<EndpointKey>,
    },
}

/// One request's row.
#[derive(Clone, Debug)]
pub struct Request {
    /// What it asks.
    pub spec: RequestSpec,
    /// Where it stands.
    pub stage: Stage,
    /// When it arrived.
    pub arrived_at: Time,
    /// When the present attempt was sent.
    pub sent_at: Time,
    /// Tokens delivered so far.
    pub delivered: u32,
    /// When the attempt's latest token came; before the first, when it was sent.
    pub last_token_at: Time,
    /// Whether this attempt has delivered a token.
    pub first_token_seen: bool,
    /// How the attempts so far ended.
    pub attempt_ends: Vec<AttemptEnd>,
    /// Endpoints that failed it.
    pub avoided: Vec<EndpointKey>,
    /// Seconds of first-token time predicted when it was sent.
    pub predicted_first_token: f64,
}

impl Request {
    /// The number of the next or present attempt, from zero.
    #[must_use]
    pub const fn attempt_number(&self) -> u32 {
        self.attempt_ends.len() as u32
    }

    /// Tokens of the answer still to come, at most.
    #[must_use]
    pub const fn remaining_tokens(&self) -> u32 {
        self.spec.output_tokens.saturating_sub(self.delivered)
    }
}

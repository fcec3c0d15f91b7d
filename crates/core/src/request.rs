//! Table of the requests at this daemon.

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

/// Properties of a request's kind that affect decisions.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindTraits {
    /// Higher goes first; kinds from [`URGENT_PRIORITY`] on are urgent.
    pub priority: u8,
    /// Value of a whole answer in time.
    pub weight: f64,
    /// Whether it may be sent more than once.
    pub repeatable: bool,
    /// Whether no planned change may interrupt it.
    pub protected: bool,
}

/// Lowest priority of urgent kinds.
pub const URGENT_PRIORITY: u8 = 8;

impl KindTraits {
    /// Whether this kind goes before other waiting work and may use reserved window places.
    #[must_use]
    pub const fn is_urgent(&self) -> bool {
        self.priority >= URGENT_PRIORITY
    }
}

/// Properties of a request that affect decisions.
#[derive(Clone, Copy, Debug)]
pub struct RequestSpec {
    /// Pool that serves it.
    pub pool: PoolKey,
    /// Properties of its kind.
    pub kind: KindTraits,
    /// Number of prompt tokens, estimated from the prompt's length.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub output_tokens: u32,
    /// Hash of the prompt's leading block.
    pub prefix: u64,
    /// Identifier of the requested adapter, zero for none.
    pub adapter: u64,
    /// When the whole answer is due.
    pub deadline: Time,
}

/// Progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Waits in the queue.
    Waiting,
    /// An attempt is running.
    Running {
        /// Endpoint that decodes, or runs the whole request.
        endpoint: EndpointKey,
        /// Engine that prefills the prompt, if a separate one does.
        prefill: Option<EndpointKey>,
    },
}

/// Row of one request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Properties of the request.
    pub spec: RequestSpec,
    /// Current progress.
    pub stage: Stage,
    /// Arrival time.
    pub arrived_at: Time,
    /// When the current attempt was sent.
    pub sent_at: Time,
    /// Number of tokens delivered so far.
    pub delivered: u32,
    /// When the current attempt delivered its last token, or was sent if it has delivered none.
    pub last_token_at: Time,
    /// Whether the current attempt has delivered a token.
    pub first_token_seen: bool,
    /// Ends of the previous attempts, in order.
    pub attempt_ends: Vec<AttemptEnd>,
    /// Endpoints that failed this request.
    pub avoided: Vec<EndpointKey>,
    /// Predicted time to the first token of the current attempt, in seconds.
    pub predicted_first_token: f64,
}

impl Request {
    /// Number of the current or next attempt, from zero.
    #[must_use]
    pub const fn attempt_number(&self) -> u32 {
        self.attempt_ends.len() as u32
    }

    /// Maximum number of output tokens still to come.
    #[must_use]
    pub const fn remaining_tokens(&self) -> u32 {
        self.spec.output_tokens.saturating_sub(self.delivered)
    }

    /// Whether the caller has the maximum number of output tokens. Plain services generate none.
    #[must_use]
    pub const fn has_all_tokens(&self) -> bool {
        self.spec.output_tokens > 0 && self.remaining_tokens() == 0
    }
}

//! The input and the result of replica selection: a request, and how it will be served.

use crate::{
    content::ContentHash,
    fleet::{
        engine::{hand_over::KvTransfer, read_time::PrefillWork},
        replica::ReplicaKey,
    },
    prompt::Prompt,
    stream_origin::Origin,
    time::Span,
};

/// A request for which replicas are to be selected.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The requested service.
    pub service: &'a str,
    /// The prompt, if the service consists of engines.
    pub prompt: Option<&'a Prompt>,
    /// Time left in which the first event meets the route's objective.
    pub objective_left: Span,
    /// Time left until the caller disconnects if it has received no event.
    pub first_event_left: Span,
    /// Time left until the caller's deadline.
    pub time_left: Span,
    /// Whether the caller appears to be retrying after a refusal.
    pub was_refused: bool,
    /// Whether to refuse the request if it cannot be served in time.
    pub may_refuse: bool,
    /// Milliseconds that this VM's link takes to send the request once.
    pub send_ms: f64,
    /// Milliseconds until the link has sent what is already queued on it.
    pub link_ms: f64,
    /// Where its stream began, if it continues one; only replicas of that version may serve it.
    pub origin: Option<Origin>,
    /// Replicas on which the request was already attempted.
    pub tried: &'a [ReplicaKey],
    /// Isolation from other requests; `None` for normal requests.
    pub isolation: Option<Isolation>,
    /// Random number of this request.
    pub draw: u64,
}

/// How a request during which replicas crashed is kept apart from other such requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Isolation {
    /// Content hash of the request, from which the choice of its replica is derived.
    pub content: ContentHash,
    /// Whether one replica must both prefill and decode, so that the request reaches no other replica.
    pub single_replica: bool,
}

/// The part of one replica in serving a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// The replica.
    pub key: ReplicaKey,
    /// Milliseconds of work queued before it.
    pub wait_ms: f64,
    /// Milliseconds of its own work.
    pub work_ms: f64,
    /// Milliseconds until the request has been sent, during which the replica continues with its queue.
    pub link_ms: f64,
    /// The prompt tokens to prefill.
    pub prefill: PrefillWork,
    /// The KV cache to be transferred to the replica.
    pub kv_transfer: Option<KvTransfer>,
    /// An engine that holds more of the prompt, from which to copy it.
    pub copy_from: Option<ReplicaKey>,
    /// Number of tokens to copy from it.
    pub copy_tokens: u32,
    /// Whether the answer will occupy a slot for seconds.
    pub long: bool,
    /// Whether it is known to be late; it is queued behind all requests that can still be in time.
    pub late: bool,
}

impl Step {
    /// Creates a step on `key` that takes no time.
    #[must_use]
    pub fn at(key: ReplicaKey) -> Self {
        Self {
            key,
            wait_ms: 0.0,
            work_ms: 0.0,
            link_ms: 0.0,
            prefill: PrefillWork::default(),
            kv_transfer: None,
            copy_from: None,
            copy_tokens: 0,
            long: false,
            late: false,
        }
    }
}

/// How a request will be served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Plan {
    /// One replica serves the whole request.
    Single(Step),
    /// One engine prefills the prompt, another one decodes.
    Disaggregated {
        /// The step on the prefill engine.
        prefill: Step,
        /// The step on the decode engine.
        decode: Step,
    },
}

/// Why a request cannot be served.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanError {
    /// No replica of the service is available.
    NoReplica,
    /// Replicas are available, but their rate limits or retry times do not let this daemon send now.
    RateLimited {
        /// Time after which the caller should retry.
        retry_after: Span,
    },
    /// No replica would be in time.
    TooLate {
        /// The plan with the lowest cost.
        plan: Box<Plan>,
        /// Predicted milliseconds to the first event.
        predicted_ms: u64,
        /// Time after which the caller should retry.
        retry_after: Span,
    },
}

impl Plan {
    /// The step that prefills the prompt, or the only step.
    #[must_use]
    pub const fn prefill_step(&self) -> &Step {
        match self {
            Self::Single(step) | Self::Disaggregated { prefill: step, .. } => step,
        }
    }

    /// Whether the answer will occupy a slot for seconds.
    #[must_use]
    pub const fn is_long(&self) -> bool {
        match self {
            Self::Single(step) | Self::Disaggregated { decode: step, .. } => step.long,
        }
    }

    /// Whether the request is known to be late.
    #[must_use]
    pub const fn is_late(&self) -> bool {
        self.prefill_step().late
    }

    /// Predicted milliseconds to the first event.
    #[must_use]
    pub fn predicted_ms(&self) -> f64 {
        match self {
            Self::Single(step) => step.wait_ms + step.work_ms,
            Self::Disaggregated { prefill, decode } => {
                prefill.wait_ms + prefill.work_ms + decode.wait_ms + decode.work_ms
            }
        }
    }
}

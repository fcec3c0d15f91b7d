//! What a request asks of replicas, and how it is to be served.

use crate::{
    content::ContentHash,
    fleet::{
        engine::{hand_over::KvTransfer, read_time::PrefillWork},
        replica::ReplicaKey,
    },
    prompt::Prompt,
    time::Span,
};

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// The prompt, if engines are to read one.
    pub prompt: Option<&'a Prompt>,
    /// Time left in which the first event would be in time.
    pub objective_left: Span,
    /// Time left until its caller leaves if nothing has come.
    pub first_event_left: Span,
    /// Time left at all.
    pub time_left: Span,
    /// Whether its caller seems to have been refused before.
    pub was_refused: bool,
    /// Whether to refuse what cannot be in time.
    pub may_refuse: bool,
    /// Milliseconds that this VM's link takes to send the request once.
    pub send_ms: f64,
    /// Milliseconds until the link has sent what waits on it.
    pub link_ms: f64,
    /// Replicas that were tried.
    pub tried: &'a [ReplicaKey],
    /// How it is kept apart from others, if it is.
    pub isolation: Option<Isolation>,
    /// A number drawn for this request.
    pub draw: u64,
}

/// How a request is kept apart from others under which replicas ended as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Isolation {
    /// The request; it draws the replica that answers it.
    pub content: ContentHash,
    /// Whether one replica is to do it all, so that it reaches no other.
    pub single_replica: bool,
}

/// One replica's part in serving a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// Where.
    pub key: ReplicaKey,
    /// Milliseconds of work that are ahead of it.
    pub wait_ms: f64,
    /// Milliseconds of work that it is.
    pub work_ms: f64,
    /// Milliseconds of that until the request is sent.
    pub link_ms: f64,
    /// What is to be read.
    pub reading: PrefillWork,
    /// What is to be handed over to it.
    pub moved: Option<KvTransfer>,
    /// An engine that holds more of the prompt, to copy that from.
    pub copy_from: Option<ReplicaKey>,
    /// Tokens to be copied from it.
    pub copy_tokens: u32,
    /// Whether its answer will keep a slot for seconds.
    pub long: bool,
    /// Whether it is known to be late, and goes behind all that can still be in time.
    pub late: bool,
}

impl Step {
    /// A step that takes no time at all.
    #[must_use]
    pub fn at(key: ReplicaKey) -> Self {
        Self {
            key,
            wait_ms: 0.0,
            work_ms: 0.0,
            link_ms: 0.0,
            reading: PrefillWork::default(),
            moved: None,
            copy_from: None,
            copy_tokens: 0,
            long: false,
            late: false,
        }
    }
}

/// How a request is to be served.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Plan {
    /// One replica does it all.
    Single(Step),
    /// One engine reads the prompt, another one answers.
    Disaggregated {
        /// The reading engine.
        prefill: Step,
        /// The answering engine.
        decode: Step,
    },
}

/// Why a request is not served.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanError {
    /// No replica of the service takes work.
    NoReplica,
    /// Replicas are available, but their rate limits or retry times do not let this daemon send now.
    RateLimited {
        /// Time after which the caller should retry.
        retry_after: Span,
    },
    /// No replica would be in time.
    TooLate {
        /// What would have been tried.
        plan: Box<Plan>,
        /// Predicted milliseconds to the first event.
        predicted_ms: u64,
        /// When the caller may come back.
        retry_after: Span,
    },
}

impl Plan {
    /// The step that reads the prompt.
    #[must_use]
    pub const fn prefill_step(&self) -> &Step {
        match self {
            Self::Single(step) | Self::Disaggregated { prefill: step, .. } => step,
        }
    }

    /// Whether the answer will keep a slot for seconds.
    #[must_use]
    pub const fn is_long(&self) -> bool {
        match self {
            Self::Single(step) | Self::Disaggregated { decode: step, .. } => step.long,
        }
    }

    /// Whether it is known to be late.
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

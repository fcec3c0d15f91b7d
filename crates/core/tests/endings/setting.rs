//! What an emulation plays: how many daemons, engines and requests, and what goes wrong.

use dahliaseam_core::time::Span;

/// What plays.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub daemons: usize,
    pub engines: usize,
    /// Requests that end engines.
    pub fatal_requests: usize,
    /// Callers that send each of them, at once.
    pub callers_per_fatal: usize,
    /// Part of the messages that are lost.
    pub message_loss: f64,
    /// Time between two starts anew of a daemon, drawn at random.
    pub restart_every: Option<Span>,
    /// A daemon that neither tells nor hears, while its callers still come.
    pub cut_off: bool,
    /// Milliseconds after which a request that ends engines comes again.
    pub fatal_retry_ms: (u64, u64),
    /// Queries of others a second.
    pub queries_per_second: f64,
    /// Part of them that have one of ten contents, as look-ups of popular things without a body do.
    pub popular_share: f64,
    /// Requests that others make until they give up, and the milliseconds until the next.
    pub query_attempts: (usize, (u64, u64)),
    /// Engines that end by themselves.
    pub outage: Outage,
    /// Whether requests under which two engines ended are kept apart.
    pub isolate_suspects: bool,
    /// Whether only one of them runs at a time at each daemon where it is in doubt which to blame.
    pub run_trials: bool,
    pub duration: Span,
}

/// How engines end by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    None,
    /// A third of them at the same moment, twice.
    Rack,
    /// All, one after the other, 80 ms apart.
    Rolling,
    /// The same two again and again, whenever they are back.
    Flap,
}

impl Scenario {
    pub const fn new(seed: u64, daemons: usize) -> Self {
        Self {
            seed,
            daemons,
            engines: 12,
            fatal_requests: 1,
            callers_per_fatal: 1,
            message_loss: 0.0,
            restart_every: None,
            cut_off: false,
            fatal_retry_ms: (30, 150),
            queries_per_second: 150.0,
            popular_share: 0.0,
            query_attempts: (2, (30, 150)),
            outage: Outage::None,
            isolate_suspects: true,
            run_trials: true,
            duration: Span::millis(15_000),
        }
    }
}

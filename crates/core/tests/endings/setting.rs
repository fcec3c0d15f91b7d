//! Parameters of a simulation: numbers of daemons, engines and requests, and the faults.

use dahliaseam_core::time::Span;

/// Parameters of one simulation run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub daemons: usize,
    pub engines: usize,
    /// Number of requests that crash the engines that run them.
    pub fatal_requests: usize,
    /// Callers that send each fatal request at the same time.
    pub callers_per_fatal: usize,
    /// Share of messages lost.
    pub message_loss: f64,
    /// Mean time between two restarts of a daemon chosen at random.
    pub restart_every: Option<Span>,
    /// Whether one daemon neither sends nor receives messages, while it still has callers.
    pub cut_off: bool,
    /// Range of milliseconds after which the caller of a fatal request retries.
    pub fatal_retry_ms: (u64, u64),
    /// Rate of harmless queries.
    pub queries_per_second: f64,
    /// Share of the queries that have one of ten contents, such as popular look-ups without a body.
    pub popular_share: f64,
    /// Number of times that a caller sends a harmless request before it gives up, and the range of milliseconds between
    /// them.
    pub harmless_sends: (usize, (u64, u64)),
    /// Engine crashes that no request causes.
    pub outage: Outage,
    /// Whether requests during which two engines crashed are isolated from each other.
    pub isolate_suspects: bool,
    /// Whether each daemon runs an ambiguous request only once at a time, as a trial.
    pub run_trials: bool,
    pub duration: Span,
}

/// Pattern of engine crashes that no request causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    None,
    /// A third of the engines at the same moment, twice.
    Rack,
    /// All engines, one after the other, 80 ms apart.
    Rolling,
    /// The same two engines again and again, whenever they are back.
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
            harmless_sends: (2, (30, 150)),
            outage: Outage::None,
            isolate_suspects: true,
            run_trials: true,
            duration: Span::millis(15_000),
        }
    }
}

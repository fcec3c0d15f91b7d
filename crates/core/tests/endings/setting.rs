//! What an emulation plays: how many daemons, engines and requests, and what goes wrong.

use dahliaseam_core::time::Span;

/// What plays.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub seed: u64,
    pub daemons: usize,
    pub engines: usize,
    /// Requests that end engines.
    pub fatal: usize,
    /// Callers that send each of them, at once.
    pub callers: usize,
    /// Part of the messages that are lost.
    pub loss: f64,
    /// Time between two starts anew of a daemon, drawn at random.
    pub restart_every: Option<Span>,
    /// A daemon that neither tells nor hears, while its callers still come.
    pub cut_off: bool,
    /// Milliseconds after which a request that ends engines comes again.
    pub again_ms: (u64, u64),
    /// Queries of others a second.
    pub queries: f64,
    /// Part of them that have one of ten contents, as look-ups of popular things without a body do.
    pub popular: f64,
    /// Requests that others make until they give up, and the milliseconds until the next.
    pub asks: (usize, (u64, u64)),
    /// Engines that end by themselves.
    pub trouble: Trouble,
    /// Whether requests under which two engines ended are kept apart.
    pub apart: bool,
    /// Whether only one of them runs at a time at each daemon where it is in doubt which to blame.
    pub trial: bool,
    pub length: Span,
}

/// How engines end by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// A third of them at the same moment, twice.
    Rack,
    /// All, one after the other, 80 ms apart.
    Row,
    /// The same two again and again, whenever they are back.
    Flap,
}

impl Setting {
    pub const fn new(seed: u64, daemons: usize) -> Self {
        Self {
            seed,
            daemons,
            engines: 12,
            fatal: 1,
            callers: 1,
            loss: 0.0,
            restart_every: None,
            cut_off: false,
            again_ms: (30, 150),
            queries: 150.0,
            popular: 0.0,
            asks: (2, (30, 150)),
            trouble: Trouble::None,
            apart: true,
            trial: true,
            length: Span::millis(15_000),
        }
    }
}

//! What the parts of a daemon that serves by routes share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use dahliaseam_border::{dialect::SharedDialect, feed::ChangeFeed, kv::KeyValue};
use dahliaseam_core::{
    fleet::{Fleet, budget::BudgetTerms},
    route::RouteTable,
    time::{Span, Time},
};
use dahliaseam_settings::gateway::{GatewaySettings, RetrySettings};
use tokio::sync::Notify;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    clock::Clock,
    gateway::{follow::Copies, metrics::GatewayMetrics, peers::Peers, upstream::Upstream},
};

/// What a daemon meets outside, so that tests can put fakes there.
#[derive(Clone, Debug)]
pub struct Outside {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The key-value service, for the daemons' own keys.
    pub kv: Arc<dyn KeyValue>,
    /// The same service, for following its changes.
    pub feed: Arc<dyn ChangeFeed>,
    /// The language of callers, endpoints and the stored configuration.
    pub dialect: SharedDialect,
}

/// The shared state.
#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) settings: GatewaySettings,
    pub(super) outside: Outside,
    /// Number that tells this run of the daemon from all others.
    pub(super) start: u64,
    pub(super) fleet: Mutex<Fleet>,
    pub(super) copies: Mutex<Copies>,
    pub(super) upstream: Upstream,
    pub(super) peers: Peers,
    pub(super) metrics: GatewayMetrics,
    pub(super) stop: Stop,
    /// Wakes the task that tells peers of changed load.
    pub(super) load_changed: Notify,
    /// Wakes the task that asks peers, when one has followed the store further.
    pub(super) peer_ahead: Notify,
    /// Hash of this daemon's hall.
    pub(super) hall: u32,
    seeds: Mutex<Vec<SocketAddr>>,
    retries: Mutex<RetrySettings>,
    table: Mutex<Option<Arc<RouteTable>>>,
    draws: AtomicU64,
}

/// The stages of a planned stop.
#[derive(Debug, Default)]
pub(super) struct Stop {
    /// It began: not ready, still taking work.
    pub(super) begun: CancellationToken,
    /// No more connections are taken.
    pub(super) closing: CancellationToken,
    /// Background tasks are to end.
    pub(super) over: CancellationToken,
    /// The requests under way.
    pub(super) requests: TaskTracker,
    /// Micros of the time from which on no long answers are begun; 0 before a stop.
    no_long_from: AtomicU64,
}

/// Time after the signal to stop for which long answers are still begun. One that begins later
/// is more likely cut by the end of the process than finished, and is better begun elsewhere.
const LONG_TAKEN: Span = Span::millis(1_400);

impl Stop {
    /// The stop begins.
    pub(super) fn begin(&self, now: Time) {
        self.no_long_from.store((now + LONG_TAKEN).0, Ordering::Relaxed);
        self.begun.cancel();
    }

    /// Whether a long answer may still be begun.
    pub(super) fn takes_long(&self, now: Time) -> bool {
        let from = self.no_long_from.load(Ordering::Relaxed);
        from == 0 || now.0 < from
    }
}

impl Gateway {
    pub(super) fn new(settings: GatewaySettings, outside: Outside, metrics: GatewayMetrics, start: u64) -> Self {
        Self {
            fleet: Mutex::new(Fleet::new(&settings.hall, settings.policy)),
            copies: Mutex::new(Copies::default()),
            upstream: Upstream::new(Arc::clone(&outside.clock)),
            peers: Peers::default(),
            metrics,
            stop: Stop::default(),
            load_changed: Notify::new(),
            peer_ahead: Notify::new(),
            hall: dahliaseam_core::hash::bytes(settings.hall.as_bytes()) as u32,
            seeds: Mutex::new(settings.seeds.clone()),
            retries: Mutex::new(settings.retries),
            table: Mutex::new(None),
            draws: AtomicU64::new(start),
            settings,
            outside,
            start,
        }
    }

    /// The time now.
    pub(super) fn now(&self) -> Time {
        self.outside.clock.now()
    }

    /// The replicas.
    pub(super) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What was last read from the store.
    pub(super) fn copies(&self) -> MutexGuard<'_, Copies> {
        self.copies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The routes in force, once there are any.
    pub(super) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Put routes in force, unless newer ones are; returns whether they are in force now.
    pub(super) fn set_table(&self, table: RouteTable) -> bool {
        let mut present = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = present.as_ref().is_none_or(|present| table.version > present.version);
        if newer {
            *present = Some(Arc::new(table));
        }
        newer
    }

    /// Bounds on repeated sends.
    pub(super) fn budget(&self) -> BudgetTerms {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner).terms()
    }

    /// A few daemons that may be asked for what they know.
    pub(super) fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Use what of new settings can change while the daemon runs; returns the names of those.
    pub(super) fn reload(&self, settings: GatewaySettings) -> Vec<&'static str> {
        let mut changed = Vec::new();
        let mut seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        if *seeds != settings.seeds {
            *seeds = settings.seeds;
            changed.push("seeds");
        }
        let mut retries = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        if *retries != settings.retries {
            *retries = settings.retries;
            changed.push("retries");
        }
        changed
    }

    /// A number that is unlike the ones before.
    pub(super) fn draw(&self) -> u64 {
        let n = self.draws.fetch_add(1, Ordering::Relaxed);
        dahliaseam_core::hash::bytes(&n.to_le_bytes())
    }

    /// Whether the balancer should send work here.
    pub(super) fn is_ready(&self) -> bool {
        !self.stop.begun.is_cancelled() && self.table().is_some() && self.copies().is_complete()
    }
}

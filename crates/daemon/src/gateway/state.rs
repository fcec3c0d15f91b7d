//! What the parts of a daemon that serves by routes share.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use dahliaseam_border::{dialect::SharedDialect, feed::ChangeFeed, kv::KeyValue};
use dahliaseam_core::{
    fleet::{Fleet, budget::RetryBudgetTerms, short_id},
    route::RouteTable,
    time::{Span, Time},
    usage::WindowSchedule,
};
use dahliaseam_settings::gateway::{GatewaySettings, RetrySettings};
use tokio::{net::UdpSocket, sync::Notify};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing_appender::non_blocking::ErrorCounter;

use crate::{
    clock::Clock,
    gateway::{
        freshness_probe::Probes, keys::Keys, leadership::Leadership, link::Link, metrics::GatewayMetrics,
        peer_table::Peers, quota::Quotas, store_cache::StoreCache, upstream::Upstream, usage::Usage,
    },
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
    /// Counts lines of the log that were dropped.
    pub dropped_lines: Option<ErrorCounter>,
}

/// The shared state.
#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) settings: GatewaySettings,
    pub(super) outside: Outside,
    /// Number that tells this run of the daemon from all others.
    pub(super) run_id: u64,
    pub(super) fleet: Mutex<Fleet>,
    pub(super) store_cache: Mutex<StoreCache>,
    pub(super) keys: Keys,
    pub(super) probes: Probes,
    pub(super) quotas: Quotas,
    /// Carries messages to and from other daemons.
    pub(super) socket: UdpSocket,
    pub(super) leadership: Leadership,
    pub(super) usage: Usage,
    pub(super) upstream: Upstream,
    pub(super) link: Link,
    pub(super) peers: Peers,
    pub(super) metrics: GatewayMetrics,
    pub(super) stop: Stop,
    /// Wakes the task that publishes load reports.
    pub(super) load_changed: Notify,
    /// Wakes the task that aggregates the hall, when a daemon of it has reported something.
    pub(super) hall_changed: Notify,
    /// Wakes the task that asks peers, when one has followed the store further.
    pub(super) peer_ahead: Notify,
    /// When the daemon started, by its clock and by the one that does not count suspensions.
    pub(super) started_at: (Time, Instant),
    /// Wakes all that waits for a deadline, when the machine goes on after it was suspended.
    pub(super) resumed: Notify,
    /// Hash of this daemon's hall.
    pub(super) hall: u32,
    seeds: Mutex<Vec<SocketAddr>>,
    retries: Mutex<RetrySettings>,
    table: Mutex<Option<Arc<RouteTable>>>,
    random_counter: AtomicU64,
}

/// The stages of a planned stop.
#[derive(Debug, Default)]
pub(super) struct Stop {
    /// It began: not ready, still taking work.
    pub(super) begun: CancellationToken,
    /// No more connections are taken.
    pub(super) closing: CancellationToken,
    /// Background tasks are to end.
    pub(super) finished: CancellationToken,
    /// The requests under way.
    pub(super) requests: TaskTracker,
    /// Micros of the time at which the process must be over; 0 before a stop.
    exit_at: AtomicU64,
    /// Micros of the time from which on no long answer is begun, however quick they have been.
    no_long_from: AtomicU64,
}

/// Part of a stop after which no long answer is begun. Some take far longer than usual, and one
/// that begins this late must be over by the end.
const LONG_RESPONSE_SHARE: f64 = 0.3;

/// How many times the usual time of a long answer must be left for one to be begun. A tenth of
/// them takes twice as long, and one that the end of the process cuts is lost; a caller that is
/// refused finds another VM within its objective or soon after.
const LONG_RESPONSE_FACTOR: f64 = 1.3;

impl Stop {
    /// The stop begins.
    pub(super) fn begin(&self, now: Time, exit_at: Time) {
        let no_long_from = now + Span::seconds(exit_at.since(now).as_seconds() * LONG_RESPONSE_SHARE);
        self.no_long_from.store(no_long_from.0, Ordering::Relaxed);
        self.exit_at.store(exit_at.0, Ordering::Relaxed);
        self.begun.cancel();
    }

    /// Whether a long answer that usually takes so long may still be begun.
    pub(super) fn may_start_long(&self, usual: Span, now: Time) -> bool {
        let exit_at = self.exit_at.load(Ordering::Relaxed);
        if exit_at == 0 {
            return true;
        }
        let too_late = Time(self.no_long_from.load(Ordering::Relaxed)).is_past(now);
        !too_late && Time(exit_at).since(now).as_seconds() > usual.as_seconds() * LONG_RESPONSE_FACTOR
    }
}

/// Where reports of usage go and by which windows, if the platform asks for them.
fn usage_terms(settings: &GatewaySettings, outside: &Outside) -> Option<(SocketAddr, WindowSchedule)> {
    let duties = settings.duties.as_ref()?;
    outside.dialect.asks_usage(&duties.asked).then(|| (duties.address, duties.windows()))
}

impl Gateway {
    pub(super) fn new(
        settings: GatewaySettings,
        outside: Outside,
        socket: UdpSocket,
        metrics: GatewayMetrics,
        run_id: u64,
    ) -> Self {
        Self {
            fleet: Mutex::new(Fleet::new(&settings.hall, settings.policy, outside.clock.now())),
            store_cache: Mutex::new(StoreCache::default()),
            keys: Keys::new(settings.keys),
            probes: Probes::default(),
            quotas: Quotas::new(settings.quotas),
            socket,
            leadership: Leadership::default(),
            usage: Usage::new(usage_terms(&settings, &outside)),
            upstream: Upstream::new(Arc::clone(&outside.clock)),
            link: Link::new(settings.link_mbps),
            peers: Peers::default(),
            metrics,
            stop: Stop::default(),
            load_changed: Notify::new(),
            hall_changed: Notify::new(),
            peer_ahead: Notify::new(),
            started_at: (outside.clock.now(), Instant::now()),
            resumed: Notify::new(),
            hall: short_id(&settings.hall),
            seeds: Mutex::new(settings.seeds.clone()),
            retries: Mutex::new(settings.retries),
            table: Mutex::new(None),
            random_counter: AtomicU64::new(run_id),
            settings,
            outside,
            run_id,
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
    pub(super) fn store_cache(&self) -> MutexGuard<'_, StoreCache> {
        self.store_cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The routes in force, once there are any.
    pub(super) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Put routes in force, unless newer ones are; returns whether they are in force now.
    pub(super) fn set_table(&self, table: RouteTable) -> bool {
        let mut current = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let is_newer = current.as_ref().is_none_or(|current| table.version > current.version);
        if is_newer {
            *current = Some(Arc::new(table));
        }
        is_newer
    }

    /// Bounds on repeated sends.
    pub(super) fn retry_budget(&self) -> RetryBudgetTerms {
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
    pub(super) fn random(&self) -> u64 {
        let n = self.random_counter.fetch_add(1, Ordering::Relaxed);
        dahliaseam_core::hash::bytes(&n.to_le_bytes())
    }

    /// Whether the balancer should send work here.
    pub(super) fn is_ready(&self) -> bool {
        !self.stop.begun.is_cancelled() && self.table().is_some() && self.store_cache().is_complete()
    }
}

//! State that is shared by the parts of the gateway.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use dahliaseam_border::{dialect::SharedDialect, dialer::Dialer, feed::ChangeFeed, kv::KeyValue};
use dahliaseam_core::{
    answer_times::AnswerTimes,
    fleet::{Fleet, budget::RetryBudgetTerms, short_id},
    route::RouteTable,
    time::Time,
    usage::WindowSchedule,
};
use dahliaseam_settings::gateway::{GatewaySettings, RetrySettings};
use tokio::{net::UdpSocket, sync::Notify};
use tracing_appender::non_blocking::ErrorCounter;

use crate::{
    body_store::BodyStore,
    caller_resources::CallerResources,
    clock::Clock,
    gateway::{
        freshness_probe::Probes, keys::Keys, leadership::Leadership, link::Link, metrics::GatewayMetrics,
        origins::Origins, path::PathChecks, peer_table::Peers, quota::Quotas, software_records::Records, stop::Stop,
        store_cache::StoreCache, tunnel::Tunnels, upstream::Upstream, usage::Usage,
    },
    listener_health::ListenerHealth,
};

/// External dependencies of a daemon, which tests can replace with fakes.
#[derive(Clone, Debug)]
pub struct Dependencies {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The key-value service, for the daemons' own keys.
    pub kv: Arc<dyn KeyValue>,
    /// The same service, for watching its changes.
    pub feed: Arc<dyn ChangeFeed>,
    /// Connects to replicas.
    pub dialer: Arc<dyn Dialer>,
    /// Protocol of callers and endpoints, and format of the stored configuration.
    pub dialect: SharedDialect,
    /// Counts dropped log lines.
    pub dropped_lines: Option<ErrorCounter>,
}

/// The shared state.
#[derive(Debug)]
pub(super) struct Gateway {
    pub(super) settings: GatewaySettings,
    pub(super) deps: Dependencies,
    /// Identifies this run of the daemon among all others.
    pub(super) run_id: u64,
    pub(super) fleet: Mutex<Fleet>,
    pub(super) store_cache: Mutex<StoreCache>,
    pub(super) keys: Keys,
    pub(super) probes: Probes,
    pub(super) quotas: Quotas,
    /// Socket for datagrams between daemons.
    pub(super) socket: UdpSocket,
    pub(super) leadership: Leadership,
    pub(super) usage: Usage,
    pub(super) upstream: Upstream,
    pub(super) link: Link,
    /// Bodies of callers' requests.
    pub(super) bodies: Arc<BodyStore>,
    pub(super) peers: Peers,
    pub(super) path_checks: PathChecks,
    pub(super) tunnels: Tunnels,
    pub(super) origins: Origins,
    /// The versions of software that may have begun streams.
    pub(super) software_records: Records,
    pub(super) metrics: GatewayMetrics,
    pub(super) stop: Stop,
    /// Whether connections of callers are served.
    pub(super) listener_health: Arc<ListenerHealth>,
    /// Wakes the task that publishes load reports.
    pub(super) load_changed: Notify,
    /// Wakes the task that aggregates the hall, when one of its daemons has reported something.
    pub(super) hall_changed: Notify,
    /// Wakes the task that records versions of software, when replicas have changed.
    pub(super) replicas_changed: Notify,
    /// Wakes the task that fetches updates, when a peer has a newer revision of the store.
    pub(super) peer_ahead: Notify,
    /// When the daemon started, by its clock and by a clock that does not count suspensions.
    pub(super) started_at: (Time, Instant),
    /// Wakes all tasks that wait for a deadline when the machine resumes after a suspension.
    pub(super) resumed: Notify,
    /// Hash of this daemon's hall.
    pub(super) hall: u32,
    seeds: Mutex<Vec<SocketAddr>>,
    retries: Mutex<RetrySettings>,
    answer_times: Mutex<AnswerTimes>,
    table: Mutex<Option<Arc<RouteTable>>>,
    random_counter: AtomicU64,
}

/// Where and for which windows usage is reported, if the platform asks for it.
fn usage_terms(settings: &GatewaySettings, deps: &Dependencies) -> Option<(SocketAddr, WindowSchedule)> {
    let duties = settings.duties.as_ref()?;
    deps.dialect.wants_usage_reports(&duties.asked).then(|| (duties.address, duties.windows()))
}

impl Gateway {
    pub(super) fn new(
        settings: GatewaySettings,
        deps: Dependencies,
        socket: UdpSocket,
        metrics: GatewayMetrics,
        callers: CallerResources,
        path_checks: PathChecks,
        run_id: u64,
    ) -> Self {
        Self {
            fleet: Mutex::new(Fleet::new(&settings.hall, settings.policy, deps.clock.now())),
            store_cache: Mutex::new(StoreCache::default()),
            keys: Keys::new(settings.keys),
            probes: Probes::default(),
            quotas: Quotas::new(settings.quotas),
            socket,
            leadership: Leadership::default(),
            usage: Usage::new(usage_terms(&settings, &deps)),
            upstream: Upstream::new(Arc::clone(&deps.clock), Arc::clone(&deps.dialer)),
            link: Link::new(settings.link_mbps),
            bodies: callers.bodies,
            peers: Peers::default(),
            path_checks,
            tunnels: Tunnels::default(),
            origins: Origins::default(),
            software_records: Records::default(),
            metrics,
            stop: Stop::default(),
            listener_health: callers.health,
            load_changed: Notify::new(),
            hall_changed: Notify::new(),
            replicas_changed: Notify::new(),
            peer_ahead: Notify::new(),
            started_at: (deps.clock.now(), Instant::now()),
            resumed: Notify::new(),
            hall: short_id(&settings.hall),
            seeds: Mutex::new(settings.seeds.clone()),
            retries: Mutex::new(settings.retries),
            answer_times: Mutex::default(),
            table: Mutex::new(None),
            random_counter: AtomicU64::new(run_id),
            settings,
            deps,
            run_id,
        }
    }

    /// The current time.
    pub(super) fn now(&self) -> Time {
        self.deps.clock.now()
    }

    /// The known replicas.
    pub(super) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Durations of the answers on each route.
    pub(super) fn answer_times(&self) -> MutexGuard<'_, AnswerTimes> {
        self.answer_times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What was last read from the store.
    pub(super) fn store_cache(&self) -> MutexGuard<'_, StoreCache> {
        self.store_cache.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The routes in force, if any.
    pub(super) fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts routes in force unless these or newer ones already are; returns whether it did.
    pub(super) fn set_table(&self, table: RouteTable) -> bool {
        let mut current = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        let is_newer = current.as_ref().is_none_or(|current| table.version > current.version);
        if is_newer {
            self.answer_times().retain(|route| table.has_route(route));
            *current = Some(Arc::new(table));
        }
        is_newer
    }

    /// Limits of the retry budget.
    pub(super) fn retry_budget(&self) -> RetryBudgetTerms {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner).terms()
    }

    /// Daemons from the settings that may be asked for updates while no daemon is known to be ahead.
    pub(super) fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Applies those settings that can change while the daemon runs; returns the names of the changed ones.
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

    /// A pseudo-random number, different at each call.
    pub(super) fn random(&self) -> u64 {
        let n = self.random_counter.fetch_add(1, Ordering::Relaxed);
        dahliaseam_core::hash::bytes(&n.to_le_bytes())
    }

    /// Whether the load balancer should send requests to this daemon.
    pub(super) fn is_ready(&self) -> bool {
        let is_serving = !self.stop.begun.is_cancelled() && self.listener_health.is_sound();
        is_serving && self.table().is_some() && self.store_cache().is_complete()
    }
}

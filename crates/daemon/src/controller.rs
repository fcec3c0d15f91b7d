//! Starts and stops a daemon.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use dahliaseam_border::{
    etcd::Etcd,
    kv::KeyValue,
    vms::{HttpVmList, VmList},
};
use dahliaseam_core::{
    freshness::Freshness,
    hash,
    member::{Contact, Incarnation, MemberSettings, Members},
    time::Span,
};
use dahliaseam_settings::settings::Settings;
use dahliaseam_wire::resource::Document;
use jsonrpsee::server::ServerHandle;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};
use tokio_util::task::TaskTracker;

use crate::{
    caller,
    caller_resources::CallerResources,
    clock::{BootClock, Clock, wall_millis},
    configuration::configure,
    control,
    control::board::ControlState,
    dispatch::{
        claims::{self, Claims},
        desk::SharedDispatcher,
        records::Records,
    },
    emit,
    endpoint::{
        duties::{self, Availability},
        observe,
    },
    error::StartError,
    health,
    listener::{self, limit_receive_buffers},
    membership::{
        identity::RunIdentity,
        peer_server,
        peers::{self, PeerClients},
    },
    metrics::Metrics,
    node::{Node, Stop},
    operator,
};

/// Interval between ticks of the dispatcher while it holds requests.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between ticks while it holds none.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks of the standing.
const STANDING_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// External dependencies of a daemon, which tests can replace with fakes.
#[derive(Debug)]
pub struct Dependencies {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// The platform's list of VMs.
    pub vm_list: Arc<dyn VmList>,
}

impl Dependencies {
    /// The real dependencies, with the addresses from the settings.
    #[must_use]
    pub fn real(settings: &Settings) -> Self {
        Self {
            clock: Arc::new(BootClock),
            kv: Arc::new(Etcd::new(&settings.kv_address)),
            vm_list: Arc::new(HttpVmList::new(&settings.vm_list_address)),
        }
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Controller {
    node: Arc<Node>,
    caller: JoinHandle<()>,
    operator: JoinHandle<()>,
    peer: ServerHandle,
    background: TaskTracker,
}

impl Controller {
    /// Starts a daemon.
    ///
    /// # Errors
    /// Why the daemon cannot start.
    pub async fn start(settings: Settings, deps: Dependencies) -> Result<Self, StartError> {
        settings.check()?;
        let caller_listener = bind("caller_address", &settings.caller_address).await?;
        let limits = settings.caller_limits();
        limit_receive_buffers(&caller_listener, settings.memory().receive_buffer_bytes(limits.connections));
        let operator_listener = bind("operator_address", &settings.operator_address).await?;
        let node = Arc::new(new_node(settings, deps)?);
        let peer = peer_server::start(Arc::clone(&node)).await?;
        let (begun, closing, finished) =
            (node.stop.begun.clone(), node.stop.closing.clone(), node.stop.finished.clone());
        let notices = caller::refusal::close_notices();
        let routes = caller::router(Arc::clone(&node));
        let health = Arc::clone(&node.callers.health);
        let caller =
            tokio::spawn(listener::serve(caller_listener, routes, limits, notices.clone(), health, begun, closing));
        let routes = health::router(Arc::clone(&node)).merge(operator::router(Arc::clone(&node)));
        let operator = tokio::spawn(listener::serve(
            operator_listener,
            routes,
            limits,
            notices,
            Arc::default(),
            finished.clone(),
            finished,
        ));
        let background = spawn_background(&node);
        emit!(info, STARTED, vm = node.settings.vm, hall = node.settings.hall, start = node.identity.me().start);
        Ok(Self { node, caller, operator, peer, background })
    }

    /// State shared by the daemon's parts.
    #[must_use]
    pub const fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Waits until the platform lists this VM as leaving.
    pub async fn leave_requested(&self) {
        self.node.stop.begun.cancelled().await;
    }

    /// Stops gracefully, without interrupting any request.
    pub async fn stop(self) {
        let stop = &self.node.stop;
        stop.begun.cancel();
        emit!(info, STOPPING, why = "asked to stop");
        tokio::time::sleep(Duration::from_millis(self.node.settings.timing.stop_grace_ms)).await;
        stop.closing.cancel();
        // Open connections finish their current requests, then close.
        let _ = self.caller.await;
        stop.requests.close();
        stop.requests.wait().await;
        claims::wait_settled(&self.node).await;
        emit!(info, DRAINED);
        stop.finished.cancel();
        self.background.close();
        self.background.wait().await;
        peers::announce_leaving(&self.node).await;
        let _ = self.peer.stop();
        let _ = self.operator.await;
        emit!(info, STOPPED);
    }

    /// Stops immediately, as if killed. For tests of failures within one process.
    pub fn abort(self) {
        self.node.stop.finished.cancel();
        self.node.stop.closing.cancel();
        let _ = self.peer.stop();
        self.caller.abort();
        self.operator.abort();
    }
}

async fn bind(what: &'static str, address: &str) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|e| StartError::Bind(what, address.to_owned(), e))
}

fn new_node(settings: Settings, deps: Dependencies) -> Result<Node, StartError> {
    let now = deps.clock.now();
    let callers = CallerResources::new(Arc::clone(&deps.clock), settings.memory());
    // The wall clock orders the runs of a VM that is replaced under the same name.
    let start = wall_millis();
    let me = Incarnation { vm: settings.vm.clone(), start };
    let contact = Contact {
        vm: settings.vm.clone(),
        hall: settings.hall.clone(),
        address: settings.advertised_address().to_owned(),
    };
    let seed = hash::bytes(format!("{}{start}", settings.vm).as_bytes());
    let members = MemberSettings {
        probe_period: Span::millis(settings.timing.probe_ms),
        suspicion_timeout: Span::millis(settings.timing.suspicion_ms),
        ..MemberSettings::default()
    };
    Ok(Node {
        clock: deps.clock,
        identity: RunIdentity::new(me),
        kv: deps.kv,
        vm_list: deps.vm_list,
        dispatcher: SharedDispatcher::new(settings.policy.policy(), seed, now),
        members: Mutex::new(Members::new(members, contact, start, seed)),
        peers: PeerClients::default(),
        config: watch::Sender::new(Arc::new(Document::default())),
        freshness: Mutex::new(Freshness::default()),
        availability: Availability::default(),
        claims: Claims::default(),
        records: Records::default(),
        metrics: Metrics::new(&callers)?,
        callers,
        control: ControlState::default(),
        stop: Stop::default(),
        settings,
    })
}

fn spawn_background(node: &Arc<Node>) -> TaskTracker {
    let tasks = TaskTracker::new();
    tasks.spawn(peers::run(Arc::clone(node)));
    tasks.spawn(peers::announce_config(Arc::clone(node)));
    tasks.spawn(configure::run(Arc::clone(node)));
    tasks.spawn(duties::poll_vm_list(Arc::clone(node)));
    tasks.spawn(observe::run(Arc::clone(node)));
    tasks.spawn(control::run(Arc::clone(node)));
    tasks.spawn(tick(Arc::clone(node)));
    tasks.spawn(log_standing_changes(Arc::clone(node)));
    let finished = node.stop.finished.clone();
    let claims = claims::run(Arc::clone(node));
    tasks.spawn(async move {
        tokio::select! {
            () = claims => {}
            () = finished.cancelled() => {}
        }
    });
    tasks
}

async fn tick(node: Arc<Node>) {
    while !node.stop.finished.is_cancelled() {
        node.dispatcher.tick(node.now());
        let idle = node.dispatcher.counts().0 == 0;
        tokio::time::sleep(if idle { IDLE_TICK_INTERVAL } else { TICK_INTERVAL }).await;
    }
}

async fn log_standing_changes(node: Arc<Node>) {
    let mut last = None;
    while !node.stop.finished.is_cancelled() {
        let standing = (node.is_ready(), node.standing());
        if last != Some(standing) {
            emit!(info, STANDING, ready = standing.0, standing = ?standing.1);
            last = Some(standing);
        }
        tokio::time::sleep(STANDING_CHECK_INTERVAL).await;
    }
}

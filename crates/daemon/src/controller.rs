//! Starting and stopping a daemon. It only orchestrates.

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
    clock::{BootClock, Clock, wall_millis},
    configuration::configure,
    control,
    control::board::Board,
    dispatch::{
        claims::{self, Claims},
        desk::Desk,
        records::Records,
    },
    emit,
    endpoint::{
        duties::{self, Duties},
        observe,
    },
    error::StartError,
    health, listener,
    membership::{
        identity::Identity,
        peer_server,
        peers::{self, PeerClients},
    },
    metrics::Metrics,
    node::{Node, Stop},
    operator,
};

/// Time between two ticks of the dispatcher while it holds requests.
const TICK: Duration = Duration::from_millis(10);
/// Time between two ticks while it holds none.
const IDLE_TICK: Duration = Duration::from_millis(100);
/// Time between two looks at the standing.
const STANDING_LOOK: Duration = Duration::from_millis(250);

/// What a daemon meets outside, so that tests can put fakes there.
#[derive(Debug)]
pub struct Outside {
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// The platform's list of VMs.
    pub vm_list: Arc<dyn VmList>,
}

impl Outside {
    /// The real ones that the settings name.
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
    /// Start a daemon.
    ///
    /// # Errors
    /// Why it does not start.
    pub async fn start(settings: Settings, outside: Outside) -> Result<Self, StartError> {
        settings.check()?;
        let caller_listener = bind("caller_address", &settings.caller_address).await?;
        let operator_listener = bind("operator_address", &settings.operator_address).await?;
        let node = Arc::new(node(settings, outside)?);
        let peer = peer_server::start(Arc::clone(&node)).await?;
        let limits = node.settings.limits;
        let (begun, closing, over) = (node.stop.begun.clone(), node.stop.closing.clone(), node.stop.over.clone());
        let routes = caller::router(Arc::clone(&node));
        let caller = tokio::spawn(listener::serve(caller_listener, routes, limits, begun, closing));
        let routes = health::router(Arc::clone(&node)).merge(operator::router(Arc::clone(&node)));
        let operator = tokio::spawn(listener::serve(operator_listener, routes, limits, over.clone(), over));
        let background = background(&node);
        emit!(info, STARTED, vm = node.settings.vm, hall = node.settings.hall, start = node.identity.me().start);
        Ok(Self { node, caller, operator, peer, background })
    }

    /// What the daemon's parts share.
    #[must_use]
    pub const fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Wait until the platform lists this VM as leaving.
    pub async fn told_to_leave(&self) {
        self.node.stop.begun.cancelled().await;
    }

    /// Stop as planned: no request is cut.
    pub async fn stop(self) {
        let stop = &self.node.stop;
        stop.begun.cancel();
        emit!(info, STOPPING, why = "asked to stop");
        tokio::time::sleep(Duration::from_millis(self.node.settings.timing.stop_grace_ms)).await;
        stop.closing.cancel();
        // Open connections finish what they are doing, then close.
        let _ = self.caller.await;
        stop.requests.close();
        stop.requests.wait().await;
        claims::settled(&self.node).await;
        emit!(info, DRAINED);
        stop.over.cancel();
        self.background.close();
        self.background.wait().await;
        peers::farewell(&self.node).await;
        let _ = self.peer.stop();
        let _ = self.operator.await;
        emit!(info, STOPPED);
    }

    /// End at once, as a kill would. For tests of failures within one process.
    pub fn abort(self) {
        self.node.stop.over.cancel();
        self.node.stop.closing.cancel();
        let _ = self.peer.stop();
        self.caller.abort();
        self.operator.abort();
    }
}

async fn bind(what: &'static str, address: &str) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|e| StartError::Bind(what, address.to_owned(), e))
}

fn node(settings: Settings, outside: Outside) -> Result<Node, StartError> {
    let now = outside.clock.now();
    // The wall clock orders the runs of a VM that is replaced under its name.
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
        clock: outside.clock,
        identity: Identity::new(me),
        kv: outside.kv,
        vm_list: outside.vm_list,
        desk: Desk::new(settings.policy.policy(), seed, now),
        members: Mutex::new(Members::new(members, contact, start, seed)),
        peers: PeerClients::default(),
        config: watch::Sender::new(Arc::new(Document::default())),
        freshness: Mutex::new(Freshness::default()),
        duties: Duties::default(),
        claims: Claims::default(),
        records: Records::default(),
        metrics: Metrics::new()?,
        board: Board::default(),
        stop: Stop::default(),
        settings,
    })
}

fn background(node: &Arc<Node>) -> TaskTracker {
    let tasks = TaskTracker::new();
    tasks.spawn(peers::run(Arc::clone(node)));
    tasks.spawn(peers::spread(Arc::clone(node)));
    tasks.spawn(configure::run(Arc::clone(node)));
    tasks.spawn(duties::follow_list(Arc::clone(node)));
    tasks.spawn(observe::run(Arc::clone(node)));
    tasks.spawn(control::run(Arc::clone(node)));
    tasks.spawn(tick(Arc::clone(node)));
    tasks.spawn(watch_standing(Arc::clone(node)));
    let over = node.stop.over.clone();
    let claims = claims::run(Arc::clone(node));
    tasks.spawn(async move {
        tokio::select! {
            () = claims => {}
            () = over.cancelled() => {}
        }
    });
    tasks
}

async fn tick(node: Arc<Node>) {
    while !node.stop.over.is_cancelled() {
        node.desk.tick(node.now());
        let idle = node.desk.counts().0 == 0;
        tokio::time::sleep(if idle { IDLE_TICK } else { TICK }).await;
    }
}

async fn watch_standing(node: Arc<Node>) {
    let mut before = None;
    while !node.stop.over.is_cancelled() {
        let standing = (node.is_ready(), node.standing());
        if before != Some(standing) {
            emit!(info, STANDING, ready = standing.0, standing = ?standing.1);
            before = Some(standing);
        }
        tokio::time::sleep(STANDING_LOOK).await;
    }
}

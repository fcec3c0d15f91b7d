//! Starts and stops the gateway.

use std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use axum::Router;
use dahliaseam_core::time::{Span, Time};
use dahliaseam_settings::gateway::GatewaySettings;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::mpsc,
    task::JoinHandle,
};
use tokio_util::task::TaskTracker;

pub use crate::gateway::{log::Log, state::Dependencies};
use crate::{
    caller_resources::CallerResources,
    clock::wall_millis,
    emit,
    error::StartError,
    gateway::{
        autoscaler, blamed, freshness_probe, leadership, listener,
        metrics::GatewayMetrics,
        orders, pages,
        path::{self, PathChecks},
        peers, quota, snapshot_transfer, software_records,
        state::Gateway,
        store_watch, suspension, tunnel, usage,
    },
    listener::{ConnectionLimits, limit_receive_buffers, serve_with},
};

/// Time after the stop signal during which new connections may still arrive: the load balancer checks every second and
/// stops sending after two failed checks.
const BALANCER_DELAY: Duration = Duration::from_millis(3_200);
/// Part of the stop time that is reserved for the exit of the process itself.
const EXIT_TIME: Span = Span::millis(400);
/// Time before that in which requests that are still open are answered.
const INTERRUPT_TIME: Span = Span::millis(100);
/// Maximum number of connections to each listener for the load balancer, operators or other daemons.
const MAX_PAGE_CONNECTIONS: usize = 64;
/// Idle timeout of these connections.
const PAGE_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum bytes of a request head on these connections.
const MAX_PAGE_HEAD_BYTES: usize = 8 << 10;

/// A running daemon that routes requests to discovered replicas.
#[derive(Debug)]
pub struct GatewayController {
    gw: Arc<Gateway>,
    caller_task: JoinHandle<()>,
    background: TaskTracker,
}

impl GatewayController {
    /// Starts a daemon.
    ///
    /// # Errors
    /// Why the daemon cannot start.
    pub async fn start(settings: GatewaySettings, deps: Dependencies) -> Result<Self, StartError> {
        settings.check()?;
        let caller_listener = bind("caller_address", settings.caller_address).await?;
        limit_receive_buffers(&caller_listener, settings.memory().receive_buffer_bytes(settings.caller_connections()));
        let ready_listener = bind("ready_address", settings.ready_address).await?;
        let state_listener = bind("peer_address", settings.peer_address).await?;
        let metrics_listener = bind("metrics_address", settings.metrics_address).await?;
        let socket = UdpSocket::bind(settings.load_address)
            .await
            .map_err(|e| StartError::Bind("load_address", settings.load_address.to_string(), e))?;
        let tunnel_listener = bind("load_address", settings.load_address).await?;
        let (requested, requests) = mpsc::unbounded_channel();
        let run_id = run_id(&settings, &deps);
        let callers = CallerResources::new(Arc::clone(&deps.clock), settings.memory());
        let metrics = GatewayMetrics::new(deps.dropped_lines.clone(), &callers)?;
        let gw = Arc::new(Gateway::new(settings, deps, socket, metrics, callers, PathChecks::new(requested), run_id));
        let background = TaskTracker::new();
        background.spawn(store_watch::run(Arc::clone(&gw)));
        background.spawn(peers::run(Arc::clone(&gw)));
        background.spawn(freshness_probe::run(Arc::clone(&gw)));
        background.spawn(usage::run(Arc::clone(&gw)));
        background.spawn(quota::run(Arc::clone(&gw)));
        background.spawn(leadership::run(Arc::clone(&gw)));
        background.spawn(orders::run(Arc::clone(&gw)));
        background.spawn(autoscaler::run(Arc::clone(&gw)));
        background.spawn(serve_pages(Arc::clone(&gw), ready_listener, pages::ready(&gw)));
        background.spawn(serve_pages(Arc::clone(&gw), metrics_listener, pages::metrics(&gw)));
        background.spawn(serve_pages(Arc::clone(&gw), state_listener, pages::state(&gw)));
        background.spawn(snapshot_transfer::run(Arc::clone(&gw)));
        background.spawn(blamed::run(Arc::clone(&gw)));
        background.spawn(software_records::run(Arc::clone(&gw)));
        background.spawn(suspension::run(Arc::clone(&gw)));
        background.spawn(path::run(Arc::clone(&gw), requests));
        background.spawn(tunnel::run(Arc::clone(&gw), tunnel_listener));
        let caller_task = tokio::spawn(listener::run(Arc::clone(&gw), caller_listener));
        emit!(info, STARTED, vm = gw.settings.vm, hall = gw.settings.hall, start = run_id);
        Ok(Self { gw, caller_task, background })
    }

    /// Address at which other daemons read this daemon's state.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.gw.settings.peer_address
    }

    /// Applies those settings that can change while the daemon runs.
    pub fn reload(&self, settings: GatewaySettings) {
        let changed = self.gw.reload(settings);
        emit!(info, RELOADED, changed = changed.join(","));
    }

    /// Stops gracefully: reports not ready, then accepts no new connections, then waits for requests in flight and answers
    /// those that are still open in the end.
    pub async fn stop(self) {
        let Self { gw, caller_task, background } = self;
        let exit_at = gw.now() + Span(Span::seconds(gw.settings.timing.stop_s).0.saturating_sub(EXIT_TIME.0));
        let interrupt_at = Time(exit_at.0.saturating_sub(INTERRUPT_TIME.0));
        emit!(info, STOPPING, under_way = gw.stop.requests.len());
        gw.stop.begin(gw.now(), interrupt_at);
        tokio::time::sleep(BALANCER_DELAY).await;
        gw.stop.closing.cancel();
        gw.stop.tunnels.close();
        let mut requests = pin!(async { tokio::join!(caller_task, gw.stop.tunnels.wait()) });
        let drained = gw.timeout_at(interrupt_at, &mut requests).await.is_some();
        if !drained {
            emit!(warn, STOP_INTERRUPTS, under_way = gw.stop.requests.len());
            gw.stop.interrupting.cancel();
            // Streams and tunnels cannot be answered; they end with the process.
            let _ = gw.timeout_at(exit_at, &mut requests).await;
        }
        emit!(info, DRAINED, drained, under_way = gw.stop.requests.len());
        usage::publish_final(&gw).await;
        gw.stop.finished.cancel();
        background.close();
        emit!(info, STOPPED, vm = gw.settings.vm);
    }
}

/// Identifier of this run of the daemon, different for each run and VM.
fn run_id(settings: &GatewaySettings, deps: &Dependencies) -> u64 {
    let text = format!("{}{}{:?}", settings.vm, wall_millis(), deps.clock.now());
    dahliaseam_core::hash::bytes(text.as_bytes())
}

async fn serve_pages(gw: Arc<Gateway>, listener: TcpListener, router: Router) {
    let stop = gw.stop.finished.clone();
    let limits = || ConnectionLimits {
        connections: MAX_PAGE_CONNECTIONS,
        head_timeout: PAGE_IDLE_TIMEOUT,
        max_head_bytes: MAX_PAGE_HEAD_BYTES,
    };
    let handler = crate::listener::router_handler(router);
    serve_with(listener, handler, limits, None, Arc::default(), gw.stop.closing.clone(), stop).await;
}

async fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|e| StartError::Bind(what, address.to_string(), e))
}

//! Paths to replicas: which one a call takes, and the checks that decide that.
//!
//! Whenever a replica is ejected or cannot be reached, a check connects to it directly and, if that fails, through a
//! peer. While calls go through peers, the own path is checked again before a call if the
//! last check is some time ago. A cut rarely concerns one replica, so each one whose path changes has some others
//! checked.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use dahliaseam_border::connection::CallId;
use dahliaseam_core::fleet::{
    path::{Path, PathCheck},
    replica::{ReplicaFacts, ReplicaKey},
};
use http::{Request, Response};
use http_body_util::Full;
use tokio::sync::{
    Notify,
    mpsc::{UnboundedReceiver, UnboundedSender},
};
use tokio_util::task::TaskTracker;

use crate::{
    emit,
    gateway::{
        state::Gateway,
        tunnel::TunnelError,
        upstream::{MAX_PROBES, Presence, Received, SendError, closes_at_once},
    },
};

/// Number of further replicas that are checked when the path to one changes. Each of them has as many checked again, so
/// a cut of all paths is known after a few rounds, and that of a single one costs little.
const FOLLOW_UP_CHECKS: usize = 4;

/// Requests for checks, and their ends.
#[derive(Debug)]
pub(super) struct PathChecks {
    requested: UnboundedSender<ReplicaKey>,
    /// Number of checks that are requested or running.
    running: AtomicUsize,
    /// Wakes all requests that wait for a check when one has found another path, or the last one has ended.
    pub(super) ended: Notify,
}

impl PathChecks {
    pub(super) fn new(requested: UnboundedSender<ReplicaKey>) -> Self {
        Self { requested, running: AtomicUsize::new(0), ended: Notify::new() }
    }
}

/// Carries out the requested checks until the daemon shuts down.
pub(super) async fn run(gw: Arc<Gateway>, mut requested: UnboundedReceiver<ReplicaKey>) {
    let stop = gw.stop.finished.clone();
    let checks = TaskTracker::new();
    loop {
        let key = tokio::select! {
            key = requested.recv() => key,
            () = stop.cancelled() => return,
        };
        let Some(key) = key else { return };
        let gw = Arc::clone(&gw);
        checks.spawn(async move {
            let changed = gw.check_path(key).await;
            let was_last = gw.path_checks.running.fetch_sub(1, Ordering::Relaxed) == 1;
            if changed || was_last {
                gw.path_checks.ended.notify_waiters();
            }
        });
    }
}

impl Gateway {
    /// Sends a request, whose answer repeats `id` if it has one, to a replica on its current path.
    pub(super) async fn send(
        &self,
        replica: &ReplicaFacts,
        req: Request<Full<Bytes>>,
        id: Option<CallId>,
    ) -> Result<Received, SendError> {
        if self.path_in_use(replica) == Path::Direct {
            return self.send_directly(replica, req, id).await;
        }
        match self.open_tunnel(replica.address).await {
            Ok(stream) => self.upstream.send_on(stream, req).await,
            Err(TunnelError::NobodyListens) => Err(SendError::NobodyListens),
            // A path that loses packets still delivers most calls in the end.
            Err(TunnelError::Unreachable) if self.fleet().has_lossy_paths() => {
                self.send_directly(replica, req, id).await
            }
            Err(TunnelError::Unreachable) => Err(SendError::NoTunnel),
        }
    }

    /// Sends a call of the daemon's own, which has no identifier.
    pub(super) async fn send_unnamed(
        &self,
        replica: &ReplicaFacts,
        req: Request<Full<Bytes>>,
    ) -> Result<Received, SendError> {
        let received = self.send(replica, req, None).await?;
        let (head, body) = received.resp.into_parts();
        let names_request = self.deps.dialect.decode_response_head(&head).request_id.is_some_and(|id| !id.is_empty());
        if names_request {
            return Err(SendError::Lost("the response belongs to a request".to_owned()));
        }
        Ok(Received { resp: Response::from_parts(head, body), ..received })
    }

    async fn send_directly(
        &self,
        replica: &ReplicaFacts,
        req: Request<Full<Bytes>>,
        id: Option<CallId>,
    ) -> Result<Received, SendError> {
        let sent = self.upstream.send(replica.address, req, id).await;
        match &sent {
            Ok(received) if received.connect_time.is_some() => self.fleet().record_connection(),
            Err(SendError::NoConnection) => {
                self.fleet().record_lost_connection(replica);
                self.request_check_of(replica);
            }
            Err(SendError::NobodyListens | SendError::NotSent(_)) => self.request_check_of(replica),
            Ok(_) | Err(_) => {}
        }
        sent
    }

    /// The path that a call takes now; has the own path checked if that is due.
    fn path_in_use(&self, replica: &ReplicaFacts) -> Path {
        let now = self.now();
        let due = {
            let fleet = self.fleet();
            let key = fleet.key(&replica.id);
            key.filter(|key| fleet.get(*key).is_some_and(|replica| replica.path.is_check_due(now)))
        };
        if let Some(key) = due {
            self.request_path_check(key);
        }
        self.fleet().path(replica)
    }

    /// Has the paths to a replica checked, unless they are being checked.
    pub(super) fn request_path_check(&self, key: ReplicaKey) {
        let is_new = self.fleet().begin_path_check(key).is_some();
        if is_new {
            self.path_checks.running.fetch_add(1, Ordering::Relaxed);
            // Fails only when the daemon has shut down.
            let _ = self.path_checks.requested.send(key);
        }
    }

    /// Has the paths to a replica checked, if it is still known.
    pub(super) fn request_check_of(&self, replica: &ReplicaFacts) {
        let key = self.fleet().key(&replica.id);
        if let Some(key) = key {
            self.request_path_check(key);
        }
    }

    /// Checks the paths to a replica and applies the result; returns whether it is reached on another path, or again.
    async fn check_path(&self, key: ReplicaKey) -> bool {
        let facts = self.fleet().get(key).map(|replica| (replica.facts.clone(), replica.path.path()));
        let Some((facts, path)) = facts else { return false };
        let is_lossy = self.fleet().has_lossy_paths();
        let direct = if is_lossy {
            self.upstream.dial_once(facts.address).await
        } else {
            self.upstream.dial(facts.address).await
        };
        let found = match (&direct, path) {
            (Some(_), _) => PathCheck::Direct,
            (None, Path::Direct) if self.open_tunnel(facts.address).await.is_ok() => PathCheck::PeersOnly,
            (None, _) => PathCheck::Unreachable,
        };
        let now = self.now();
        let (changed, through_peers, now_lossy) = {
            let mut fleet = self.fleet();
            (fleet.end_path_check(key, found, now), fleet.count_through_peers(), fleet.has_lossy_paths())
        };
        if now_lossy != is_lossy {
            emit!(warn, PATHS_LOSSY, is_lossy = now_lossy, through_peers);
        }
        emit!(debug, PATH_CHECKED, replica = %facts.id, found = ?found);
        if changed {
            emit!(warn, PATH_CHANGED, replica = %facts.id, hall = %facts.hall, found = ?found, through_peers);
            self.metrics.replicas_through_peers(through_peers as u64);
            self.upstream.close_idle(facts.address);
        }
        if let Some(stream) = direct {
            self.upstream.keep_new(facts.address, stream).await;
        }
        if changed {
            self.check_others(path);
        }
        self.load_changed.notify_one();
        changed
    }

    /// Has replicas of a service that nobody reached checked again, since the service has no other ones.
    pub(super) fn recheck_unreachable(&self, service: &str) {
        let now = self.now();
        let keys = self.fleet().sample_unreachable(service, FOLLOW_UP_CHECKS, self.random(), now);
        for key in keys {
            self.request_path_check(key);
        }
    }

    /// Has some other replicas checked that are called on a path.
    fn check_others(&self, path: Path) {
        let others = self.fleet().sample_on_path(path, FOLLOW_UP_CHECKS, self.random());
        for key in others {
            self.request_path_check(key);
        }
    }

    /// Whether the process of a replica to which a connection broke is gone: nothing listens at its address any more,
    /// for this daemon or for peers.
    pub(super) async fn is_gone(&self, replica: &ReplicaFacts) -> bool {
        if self.path_in_use(replica) == Path::ThroughPeers {
            return self.presence_for_peers(replica).await == Presence::Gone;
        }
        let is_gone = match self.upstream.presence(replica.address).await {
            Presence::Present => return false,
            Presence::Unknown => false,
            Presence::Gone => match self.presence_for_peers(replica).await {
                Presence::Present => false,
                Presence::Gone => true,
                // Peers that cannot tell may have lost the same paths.
                Presence::Unknown => !self.has_tunnel_peers(),
            },
        };
        if !is_gone {
            self.request_check_of(replica);
        }
        is_gone
    }

    /// Whether a process listens at the address of a replica. Keeps the connection that shows it.
    pub(super) async fn is_present(&self, replica: &ReplicaFacts) -> bool {
        if self.path_in_use(replica) == Path::ThroughPeers {
            return self.presence_for_peers(replica).await == Presence::Present;
        }
        let Some(stream) = self.upstream.dial(replica.address).await else { return false };
        self.upstream.keep_new(replica.address, stream).await;
        true
    }

    /// Whether peers find a process at the address of a replica.
    async fn presence_for_peers(&self, replica: &ReplicaFacts) -> Presence {
        for _ in 0..MAX_PROBES {
            let mut stream = match self.open_tunnel(replica.address).await {
                Ok(stream) => stream,
                Err(TunnelError::NobodyListens) => return Presence::Gone,
                Err(TunnelError::Unreachable) => return Presence::Unknown,
            };
            if !closes_at_once(&mut stream).await {
                return Presence::Present;
            }
        }
        Presence::Present
    }
}

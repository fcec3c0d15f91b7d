//! Opens tunnels through peers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use dahliaseam_border::connection::Connection;
use dahliaseam_core::{
    hash::{self, rendezvous},
    time::{Span, Time},
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use http::{Method, Request, StatusCode, header};
use http_body_util::Empty;
use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{
    emit,
    gateway::{
        state::Gateway,
        tunnel::{Outcome, states_nobody_listens, states_stopping},
        upstream::configure_socket,
    },
};

/// Maximum number of peers that are asked for one tunnel. Several may have lost the same paths.
const MAX_PEERS: usize = 4;
/// Time limit for a peer to open a tunnel: the limit of its connection to the replica, and two round trips.
const PEER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit for opening a tunnel, whatever the number of peers. Callers wait for it.
pub(in crate::gateway) const OPEN_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which another peer is asked as well, if the previous one has not responded.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(30);
/// Time for which a peer that opened no tunnel, or is stopping, is asked after all others. Paths are cut for seconds.
const AVOID_TIME: Span = Span::millis(1_000);

/// Why no tunnel was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum TunnelError {
    /// A peer states that nothing listens at the replica's address, and no other one reaches it.
    NobodyListens,
    /// No peer reaches the replica or responds.
    Unreachable,
}

/// An open tunnel.
struct Tunnel {
    stream: TcpStream,
    /// Whether the peer is stopping. A request that takes long may be cut when its process exits.
    is_stopping: bool,
}

/// What is known of the peers that open tunnels.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Tunnels {
    /// Peers to avoid, each until a time.
    avoided: Mutex<HashMap<SocketAddr, Time>>,
}

impl Tunnels {
    fn avoid(&self, peer: SocketAddr, now: Time) {
        let mut avoided = self.avoided();
        avoided.retain(|_, until| !until.is_past(now));
        avoided.insert(peer, now + AVOID_TIME);
    }

    fn avoided(&self) -> MutexGuard<'_, HashMap<SocketAddr, Time>> {
        self.avoided.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gateway {
    /// Opens a connection to a replica through a peer.
    ///
    /// # Errors
    /// Why no peer opened one.
    pub(in crate::gateway) async fn open_tunnel(&self, replica: SocketAddr) -> Result<TcpStream, TunnelError> {
        let mut through_stopping = None;
        let asking = self.ask_peers(replica, &mut through_stopping);
        let opened = tokio::time::timeout(OPEN_TIMEOUT, asking).await.unwrap_or(Err(TunnelError::Unreachable));
        let opened = opened.or_else(|why| through_stopping.ok_or(why));
        if let Err(why) = opened {
            emit!(debug, TUNNEL_FAILED, replica = %replica, why = ?why);
        }
        opened
    }

    /// Asks one peer after the other, the next one as soon as the previous one fails or takes long. A tunnel through a
    /// peer that is stopping is left in `through_stopping`, as a last resort.
    async fn ask_peers(
        &self,
        replica: SocketAddr,
        through_stopping: &mut Option<TcpStream>,
    ) -> Result<TcpStream, TunnelError> {
        let mut peers = self.tunnel_peers().into_iter();
        let mut asked = FuturesUnordered::new();
        let mut failure = TunnelError::Unreachable;
        loop {
            let next = peers.next();
            if let Some(peer) = next {
                asked.push(self.ask_peer(peer, replica));
            }
            let answered = tokio::select! {
                answered = asked.next() => answered,
                () = tokio::time::sleep(NEXT_PEER_DELAY), if peers.len() > 0 => continue,
            };
            match answered {
                Some(Ok(Tunnel { stream, is_stopping: false })) => return Ok(stream),
                Some(Ok(tunnel)) => *through_stopping = Some(tunnel.stream),
                Some(Err(Outcome::NobodyListens)) => failure = TunnelError::NobodyListens,
                Some(Err(_)) => {}
                None => return Err(failure),
            }
        }
    }

    /// Whether there are peers that may open tunnels.
    pub(in crate::gateway) fn has_tunnel_peers(&self) -> bool {
        let peers = self.peers.all_with_silence(self.settings.load_address, self.now());
        peers.into_iter().any(|(_, is_silent)| !is_silent)
    }

    /// The peers to ask, best first.
    fn tunnel_peers(&self) -> Vec<SocketAddr> {
        let now = self.now();
        let draw = self.random();
        let avoided = self.tunnels.avoided();
        let mut peers = self.peers.all_with_silence(self.settings.load_address, now);
        peers.sort_by_cached_key(|(peer, is_silent)| {
            let is_avoided = avoided.get(peer).is_some_and(|until| !until.is_past(now));
            (*is_silent, is_avoided, rendezvous(draw, hash::bytes(peer.to_string().as_bytes())))
        });
        peers.into_iter().take(MAX_PEERS).map(|(peer, _)| peer).collect()
    }

    async fn ask_peer(&self, peer: SocketAddr, replica: SocketAddr) -> Result<Tunnel, Outcome> {
        let opened = tokio::time::timeout(PEER_TIMEOUT, connect_through(peer, replica)).await;
        let opened = opened.unwrap_or(Err(Outcome::NoResponse));
        let outcome = opened.as_ref().map_or_else(|outcome| *outcome, |_| Outcome::Opened);
        let is_stopping = opened.as_ref().is_ok_and(|tunnel| tunnel.is_stopping);
        if is_stopping || matches!(outcome, Outcome::Busy | Outcome::NoResponse) {
            self.tunnels.avoid(peer, self.now());
        }
        self.metrics.tunnel_requested(outcome.name());
        emit!(debug, TUNNEL_REQUESTED, peer = %peer, replica = %replica, outcome = %outcome);
        opened
    }
}

/// Opens a tunnel to a replica through one peer.
async fn connect_through(peer: SocketAddr, replica: SocketAddr) -> Result<Tunnel, Outcome> {
    let stream = TcpStream::connect(peer).await.map_err(|_| Outcome::NoResponse)?;
    configure_socket(&stream).map_err(|_| Outcome::NoResponse)?;
    let conn = Connection::start(stream, &Builder::new()).await.map_err(|_| Outcome::NoResponse)?;
    let req = Request::builder()
        .method(Method::CONNECT)
        .uri(replica.to_string())
        .header(header::HOST, replica.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|_| Outcome::Forbidden)?;
    let (resp, _conn) = conn.send(req).await.map_err(|_| Outcome::NoResponse)?;
    match resp.status() {
        StatusCode::OK => {}
        StatusCode::BAD_GATEWAY if states_nobody_listens(resp.headers()) => return Err(Outcome::NobodyListens),
        StatusCode::SERVICE_UNAVAILABLE => return Err(Outcome::Busy),
        StatusCode::FORBIDDEN => return Err(Outcome::Forbidden),
        _ => return Err(Outcome::Unreachable),
    }
    let is_stopping = states_stopping(resp.headers());
    let upgraded = hyper::upgrade::on(resp).await.map_err(|_| Outcome::Unreachable)?;
    let parts = upgraded.downcast::<TokioIo<TcpStream>>().map_err(|_| Outcome::Unreachable)?;
    // A replica sends nothing before it has a request.
    if !parts.read_buf.is_empty() {
        return Err(Outcome::Unreachable);
    }
    Ok(Tunnel { stream: parts.io.into_inner(), is_stopping })
}

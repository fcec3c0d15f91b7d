//! Opens tunnels through peers.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use dahliaseam_border::connection::{Answered, Connection};
use dahliaseam_core::{
    time::{Span, Time},
    tunnel_peers::{TunnelAnswer, TunnelPeers},
};
use futures_util::{StreamExt, stream::FuturesUnordered};
use http::{Method, Request, StatusCode, header};
use http_body_util::Empty;
use hyper::client::conn::http1::Builder;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{
    clock::duration,
    emit,
    gateway::{
        peers,
        state::Gateway,
        tunnel::{Outcome, states_nobody_listens, states_stopping},
        upstream::configure_socket,
    },
};

/// Maximum number of peers that are asked for one tunnel. Several may have lost the same paths.
const MAX_PEERS: usize = 4;
/// Time limit for opening a tunnel, whatever the number of peers. Giving up on slow peers sooner would waste their work,
/// and callers wait for it.
pub(in crate::gateway) const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// Why no tunnel was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum TunnelError {
    /// A peer states that nothing listens at the replica's address, and no other one reaches it.
    NobodyListens,
    /// No peer reaches the replica or responds.
    Unreachable,
}

impl TunnelError {
    /// Name used in logs and metrics.
    const fn name(self) -> &'static str {
        match self {
            Self::NobodyListens => "nobody_listens",
            Self::Unreachable => "unreachable",
        }
    }
}

/// An open tunnel.
struct Tunnel {
    stream: TcpStream,
    /// Whether the peer is stopping. A request that takes long may be cut when its process exits.
    is_stopping: bool,
}

/// The peers that were asked for one tunnel.
#[derive(Debug, Default)]
struct Asked {
    peers: Vec<AskedPeer>,
    /// A tunnel through a peer that is stopping, as a last resort.
    through_stopping: Option<TcpStream>,
}

/// A peer that was asked for a tunnel.
#[derive(Debug)]
struct AskedPeer {
    peer: SocketAddr,
    asked_at: Time,
    /// Its answer, and when it arrived.
    end: Option<(Outcome, Time)>,
}

/// Lists the peers for the log, each with its answer and the time that it took.
struct AskedList<'a> {
    peers: &'a [AskedPeer],
    now: Time,
}

impl fmt::Display for AskedList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, AskedPeer { peer, asked_at, end }) in self.peers.iter().enumerate() {
            let separator = if n == 0 { "" } else { ", " };
            let (outcome, ended_at) = end.map_or(("pending", self.now), |(outcome, at)| (outcome.name(), at));
            write!(f, "{separator}{peer} {outcome} after {} ms", ended_at.since(*asked_at).as_millis())?;
        }
        Ok(())
    }
}

/// What is known of the peers that open tunnels.
#[derive(Debug, Default)]
pub(in crate::gateway) struct Tunnels {
    peers: Mutex<TunnelPeers>,
}

impl Gateway {
    /// Opens a connection to a replica through a peer.
    ///
    /// # Errors
    /// Why no peer opened one.
    pub(in crate::gateway) async fn open_tunnel(&self, replica: SocketAddr) -> Result<TcpStream, TunnelError> {
        let mut asked = Asked::default();
        let asked_at = self.now();
        let asking = self.ask_peers(replica, &mut asked);
        let opened = tokio::time::timeout(OPEN_TIMEOUT, asking).await.unwrap_or(Err(TunnelError::Unreachable));
        let Asked { peers, through_stopping } = asked;
        let opened = opened.or_else(|why| through_stopping.ok_or(why));
        if let Err(why) = opened {
            let now = self.now();
            let asked = AskedList { peers: &peers, now };
            self.metrics.tunnel_failed(why.name());
            emit!(
                info,
                TUNNEL_FAILED,
                replica = %replica,
                why = why.name(),
                after_ms = now.since(asked_at).as_millis(),
                asked = %asked
            );
        }
        opened
    }

    /// Asks one peer after the other, the next one as soon as the previous one fails or takes long. A tunnel through a
    /// peer that is stopping is left in `asked`.
    async fn ask_peers(&self, replica: SocketAddr, asked: &mut Asked) -> Result<TcpStream, TunnelError> {
        let mut peers = self.tunnel_peers().into_iter();
        let mut answers = FuturesUnordered::new();
        let mut failure = TunnelError::Unreachable;
        let next_peer_delay = duration(self.known_tunnel_peers(TunnelPeers::next_peer_delay));
        loop {
            if let Some(peer) = peers.next() {
                let n = asked.peers.len();
                asked.peers.push(AskedPeer { peer, asked_at: self.now(), end: None });
                answers.push(async move { (n, self.ask_peer(peer, replica).await) });
            }
            let answer = tokio::select! {
                answer = answers.next() => answer,
                () = tokio::time::sleep(next_peer_delay), if peers.len() > 0 => {
                    self.record_slow_peers(&asked.peers);
                    continue;
                }
            };
            let Some((n, answer)) = answer else { return Err(failure) };
            let outcome = answer.as_ref().map_or_else(|outcome| *outcome, |_| Outcome::Opened);
            asked.peers[n].end = Some((outcome, self.now()));
            match answer {
                Ok(Tunnel { stream, is_stopping: false }) => return Ok(stream),
                Ok(tunnel) => asked.through_stopping = Some(tunnel.stream),
                Err(Outcome::NobodyListens) => failure = TunnelError::NobodyListens,
                Err(_) => {}
            }
        }
    }

    /// Whether there are peers that may open tunnels.
    pub(in crate::gateway) fn has_tunnel_peers(&self) -> bool {
        peers::known_peers(self).iter().any(|peer| !peer.is_silent)
    }

    /// The peers to ask, best first.
    fn tunnel_peers(&self) -> Vec<SocketAddr> {
        let peers = peers::known_peers(self);
        let (draw, now) = (self.random(), self.now());
        let mut order = self.known_tunnel_peers(|known| known.order(&peers, draw, now));
        order.truncate(MAX_PEERS);
        order
    }

    fn known_tunnel_peers<T>(&self, read: impl FnOnce(&TunnelPeers) -> T) -> T {
        read(&self.tunnels.peers.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Has peers that have not answered yet asked after others. Their answers may still come.
    fn record_slow_peers(&self, asked: &[AskedPeer]) {
        let now = self.now();
        for slow in asked.iter().filter(|asked| asked.end.is_none()) {
            self.record_answer(slow.peer, TunnelAnswer::NoAnswer, now.since(slow.asked_at));
        }
    }

    fn record_answer(&self, peer: SocketAddr, answer: TunnelAnswer, took: Span) {
        let mut known = self.tunnels.peers.lock().unwrap_or_else(PoisonError::into_inner);
        known.record(peer, answer, took, self.now());
    }

    async fn ask_peer(&self, peer: SocketAddr, replica: SocketAddr) -> Result<Tunnel, Outcome> {
        let asked_at = self.now();
        let opened = connect_through(peer, replica).await;
        let outcome = opened.as_ref().map_or_else(|outcome| *outcome, |_| Outcome::Opened);
        let is_stopping = opened.as_ref().is_ok_and(|tunnel| tunnel.is_stopping);
        let took = self.now().since(asked_at);
        if let Some(answer) = outcome.answer(is_stopping) {
            self.record_answer(peer, answer, took);
        }
        self.metrics.tunnel_requested(outcome.name());
        emit!(debug, TUNNEL_REQUESTED, peer = %peer, replica = %replica, outcome = %outcome, after_ms = took.as_millis());
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
    let Answered { resp, conn: _conn, .. } = conn.send(req, None).await.map_err(|_| Outcome::NoResponse)?;
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

//! Connections to replicas.
//!
//! This module never sends a request twice. A connection is kept only after a response has been read to its end, and is
//! reused only for a short time, since a replica may close an idle connection at any moment. It carries no identifier
//! twice, so that an answer which repeats the identifier of a call is the answer to that send.

use std::{
    fmt,
    io::{self, ErrorKind},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use dahliaseam_border::{
    connection::{Answered, CallId, CallNumber, Connection},
    dialer::Dialer,
    framing,
    idle::IdleConnections,
};
use dahliaseam_core::time::{Span, Time};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1::Builder};
use socket2::{SockRef, TcpKeepalive};
use tokio::{io::AsyncReadExt, net::TcpStream};

use crate::{clock::Clock, gateway::tunnel};

/// How long an idle connection may be reused. Replicas close idle connections after some seconds, some of them without
/// notice. Well within that time, few connections turn out to be closed.
const MAX_IDLE_TIME: Span = Span::millis(1_500);
/// Maximum number of idle connections to one replica.
const MAX_IDLE_PER_REPLICA: usize = 24;
/// Time limit for establishing a connection. A round trip takes a few milliseconds; a lost SYN packet is retransmitted
/// only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Delay of the second attempt when a path is checked.
const SECOND_DIAL_DELAY: Duration = Duration::from_millis(25);
/// Time after which unacknowledged data fails a connection. Keepalive probes give up by it too, whatever their number: a
/// connection that waits fails if all probes of two seconds are lost, so one second of silence does not end it.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle time after which TCP keepalive probes start, and the interval between them.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time within which a connection closes that a terminating process has just accepted; a round trip takes a few
/// milliseconds.
const EXIT_CLOSE_TIMEOUT: Duration = Duration::from_millis(15);
/// Number of connection attempts to a replica that does not respond, or closes connections immediately, before it
/// counts as present.
pub(super) const MAX_PROBES: usize = 3;
/// Maximum bytes of a response head and of one read.
const MAX_BUFFER_BYTES: usize = 32 << 10;

/// A connection that accepts requests.
pub(super) type Conn = Connection<Full<Bytes>>;

/// Whether a process listens at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Presence {
    Present,
    /// Nothing listens there any more.
    Gone,
    /// There is no response.
    Unknown,
}

/// Why no response arrived.
#[derive(Debug)]
pub(super) enum SendError {
    /// Nothing was sent, since nothing listens at the address.
    NobodyListens,
    /// Nothing was sent, since no connection was established in time.
    NoConnection,
    /// No byte of the request was sent.
    NotSent(String),
    /// Nothing was sent, since no peer opened a tunnel to the replica.
    NoTunnel,
    /// The request was sent, at least in part, and the connection ended.
    Broke(String),
    /// The request was sent, and what arrived is not a response.
    Lost(String),
}

impl SendError {
    /// The error for a request that was sent, at least in part.
    fn after_send(e: &hyper::Error) -> Self {
        if e.is_parse() { Self::Lost(e.to_string()) } else { Self::Broke(e.to_string()) }
    }
}

/// The head of a response, and its connection.
#[derive(Debug)]
pub(super) struct Received {
    pub(super) resp: Response<Incoming>,
    /// The call that it follows.
    pub(super) number: CallNumber,
    /// The connection, if it may be kept after the response.
    pub(super) conn: Option<Conn>,
    /// How long connecting took; `None` for a reused connection and through a peer.
    pub(super) connect_time: Option<Span>,
}

impl Received {
    /// Checks that the head states where the body ends.
    fn new(answered: Answered<Full<Bytes>>, connect_time: Option<Span>) -> Result<Self, SendError> {
        let Answered { resp, number, conn } = answered;
        framing::check(resp.status(), resp.headers()).map_err(|e| SendError::Lost(e.to_string()))?;
        Ok(Self { resp, number, conn, connect_time })
    }
}

/// Connections to all replicas.
pub(super) struct Upstream {
    clock: Arc<dyn Clock>,
    dialer: Arc<dyn Dialer>,
    idle: IdleConnections<SocketAddr, Full<Bytes>, Time>,
}

impl fmt::Debug for Upstream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Upstream").finish_non_exhaustive()
    }
}

impl Upstream {
    pub(super) fn new(clock: Arc<dyn Clock>, dialer: Arc<dyn Dialer>) -> Self {
        Self { clock, dialer, idle: IdleConnections::default() }
    }

    /// Sends a request, whose answer repeats `id` if it has one; returns the head of the response and the connection.
    ///
    /// Dropping either the future or the response body closes the connection, which tells the replica that the request
    /// is no longer wanted.
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        req: Request<Full<Bytes>>,
        id: Option<CallId>,
    ) -> Result<Received, SendError> {
        let mut req = req;
        // A reused connection may turn out to be closed before anything was written; the next one is then used. This
        // does not send the request twice.
        while let Some(conn) = self.idle.take(&address, id, self.clock.now()) {
            match conn.send(req, id).await {
                Ok(answered) => return Received::new(answered, None),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(SendError::after_send(&e.into_error())),
                },
            }
        }
        let started_at = self.clock.now();
        let conn = connect(&*self.dialer, address).await?;
        let connect_time = Some(self.clock.now().since(started_at));
        send_first(conn, req, id, connect_time).await
    }

    /// Sends a request on a connection that is used for nothing else.
    pub(super) async fn send_on(&self, stream: TcpStream, req: Request<Full<Bytes>>) -> Result<Received, SendError> {
        let conn = start_http(stream).await?;
        let received = send_first(conn, req, None, None).await?;
        Ok(Received { conn: None, ..received })
    }

    /// Opens a connection without sending anything; `None` if that fails within the time limit for checks, or if the
    /// connection closes at once.
    pub(super) async fn dial(&self, address: SocketAddr) -> Option<TcpStream> {
        let second = async {
            tokio::time::sleep(SECOND_DIAL_DELAY).await;
            self.dialer.connect(address).await
        };
        let dialed = async {
            // A lost packet must not look like a cut path.
            tokio::select! {
                dialed = self.dialer.connect(address) => dialed,
                dialed = second => dialed,
            }
        };
        open_for_check(dialed).await
    }

    /// Like [`Self::dial`], with a single attempt, which one lost packet makes fail.
    pub(super) async fn dial_once(&self, address: SocketAddr) -> Option<TcpStream> {
        open_for_check(self.dialer.connect(address)).await
    }

    /// Whether a process still listens at an address.
    pub(super) async fn presence(&self, address: SocketAddr) -> Presence {
        for _ in 0..MAX_PROBES {
            let connecting = tokio::time::timeout(CONNECT_TIMEOUT, self.dialer.connect(address));
            let mut stream = match connecting.await {
                Ok(Ok(stream)) => stream,
                Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return Presence::Gone,
                Ok(Err(_)) => return Presence::Unknown,
                // A packet may be lost. If one in ten is, one crash in a hundred goes undetected with these attempts,
                // and one in five with a single attempt.
                Err(_) => continue,
            };
            if !closes_at_once(&mut stream).await {
                return Presence::Present;
            }
        }
        Presence::Unknown
    }

    /// Keeps a connection on which nothing has been sent.
    pub(super) async fn keep_new(&self, address: SocketAddr, stream: TcpStream) {
        if let Ok(conn) = start_http(stream).await {
            self.keep(address, Some(conn));
        }
    }

    /// Keeps the connection, if any, of a response that was read to its end.
    pub(super) fn keep(&self, address: SocketAddr, conn: Option<Conn>) {
        if let Some(conn) = conn {
            self.idle.keep(address, conn, self.clock.now() + MAX_IDLE_TIME, MAX_IDLE_PER_REPLICA);
        }
    }

    /// Closes the idle connections to an address where another process listens now.
    pub(super) fn close_idle(&self, address: SocketAddr) {
        self.idle.close(&address);
    }

    /// Closes connections that have been idle for too long.
    pub(super) fn close_expired(&self) {
        self.idle.close_expired(self.clock.now());
    }
}

/// Waits for a connection that is opened to check a path.
async fn open_for_check(dialed: impl Future<Output = io::Result<TcpStream>>) -> Option<TcpStream> {
    let mut stream = tokio::time::timeout(tunnel::CONNECT_TIMEOUT, dialed).await.ok()?.ok()?;
    // Where a cut resets connections, some are accepted first.
    (!closes_at_once(&mut stream).await).then_some(stream)
}

async fn connect(dialer: &dyn Dialer, address: SocketAddr) -> Result<Conn, SendError> {
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, dialer.connect(address));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return Err(SendError::NobodyListens),
        Ok(Err(e)) => return Err(SendError::NotSent(e.to_string())),
        Err(_) => return Err(SendError::NoConnection),
    };
    start_http(stream).await
}

async fn start_http(stream: TcpStream) -> Result<Conn, SendError> {
    let unsent = |e: &dyn std::error::Error| SendError::NotSent(e.to_string());
    configure_socket(&stream).map_err(|e| unsent(&e))?;
    let conn = Connection::start(stream, Builder::new().max_buf_size(MAX_BUFFER_BYTES)).await;
    conn.map_err(|e| unsent(&e))
}

/// Sends the first request on a connection.
async fn send_first(
    conn: Conn,
    req: Request<Full<Bytes>>,
    id: Option<CallId>,
    connect_time: Option<Span>,
) -> Result<Received, SendError> {
    match conn.send(req, id).await {
        Ok(answered) => Received::new(answered, connect_time),
        Err(mut e) => match e.take_message() {
            Some(_) => Err(SendError::NotSent(e.into_error().to_string())),
            None => Err(SendError::after_send(&e.into_error())),
        },
    }
}

/// Whether a new connection closes immediately, as when a terminating process has still accepted it.
pub(super) async fn closes_at_once(stream: &mut TcpStream) -> bool {
    tokio::time::timeout(EXIT_CLOSE_TIMEOUT, stream.read(&mut [0; 1])).await.is_ok()
}

/// Makes a socket fail if the other side disappears silently.
pub(super) fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL))
}

//! Connections to replicas.
//!
//! A request is never sent twice by this module. A connection is kept only after an answer has
//! been read to its end, and used again only while it is fresh, since a replica may close an idle
//! one at any time.

use std::{
    collections::HashMap,
    fmt,
    io::ErrorKind,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use dahliaseam_core::time::{Span, Time};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{Builder, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{io::AsyncReadExt, net::TcpStream};

use crate::clock::Clock;

/// Time for which an idle connection may be used again. Replicas close idle ones after some
/// seconds, some without a word; well within that, few are lost.
const MAX_IDLE_TIME: Span = Span::millis(1_500);
/// Idle connections kept to one replica at most.
const MAX_IDLE_PER_REPLICA: usize = 24;
/// Time to make a connection at most. The way takes a few milliseconds; a lost opening packet is
/// sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Time after which unacknowledged bytes fail a connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time of silence after which a connection is probed, and between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which a process that is ending closes what it has just taken; the way there takes a few milliseconds.
const EXIT_CLOSE_TIMEOUT: Duration = Duration::from_millis(15);
/// Looks at a replica that does not answer, or whose connections end at once, before it counts as there.
const MAX_PROBES: usize = 3;
/// Bytes of an answer's head and of one read at most.
const MAX_BUFFER_BYTES: usize = 32 << 10;

/// A connection that can take a request.
pub(super) type Conn = SendRequest<Full<Bytes>>;

/// Why no answer came.
#[derive(Debug)]
pub(super) enum SendError {
    /// Nothing was sent, since nothing listens there.
    NobodyListens,
    /// No byte of the request was sent.
    NotSent(String),
    /// It was sent, at least in part, and the connection ended.
    Broke(String),
    /// It was sent, and what came is no answer.
    Lost(String),
}

impl SendError {
    /// Why no answer came to a request that was sent.
    fn after_send(e: &hyper::Error) -> Self {
        if e.is_parse() { Self::Lost(e.to_string()) } else { Self::Broke(e.to_string()) }
    }
}

/// The head of an answer, and the connection on which it came.
#[derive(Debug)]
pub(super) struct Received {
    pub(super) resp: Response<Incoming>,
    pub(super) conn: Conn,
    /// How long it took to connect; absent on a kept connection.
    pub(super) connect_time: Option<Span>,
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    expires_at: Time,
}

/// The connections.
pub(super) struct Upstream {
    clock: Arc<dyn Clock>,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl fmt::Debug for Upstream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Upstream").finish_non_exhaustive()
    }
}

impl Upstream {
    pub(super) fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, idle: Mutex::default() }
    }

    /// Send a request and return the head of its answer and the connection.
    ///
    /// Dropping either the future or the answer's body ends the connection, and so tells the
    /// replica that the request is no longer wanted.
    pub(super) async fn send(&self, address: SocketAddr, req: Request<Full<Bytes>>) -> Result<Received, SendError> {
        let mut req = req;
        // A kept connection may turn out to be closed before anything was written; then another
        // one is taken. That is no second send.
        while let Some(mut conn) = self.take_idle(address) {
            match conn.try_send_request(req).await {
                Ok(resp) => return Ok(Received { resp, conn, connect_time: None }),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(SendError::after_send(&e.into_error())),
                },
            }
        }
        let started_at = self.clock.now();
        let mut conn = connect(address).await?;
        let connect_time = Some(self.clock.now().since(started_at));
        match conn.try_send_request(req).await {
            Ok(resp) => Ok(Received { resp, conn, connect_time }),
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SendError::NotSent(e.into_error().to_string())),
                None => Err(SendError::after_send(&e.into_error())),
            },
        }
    }

    /// Whether nothing listens at an address any more: the process that did is over. Where nothing answers at all,
    /// again and again, the link may be cut, and that says nothing.
    pub(super) async fn is_gone(&self, address: SocketAddr) -> bool {
        for _ in 0..MAX_PROBES {
            let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
            let mut stream = match connecting.await {
                Ok(Ok(stream)) => stream,
                Ok(Err(e)) => return e.kind() == ErrorKind::ConnectionRefused,
                // A packet may be lost; of one in ten lost, one in a hundred ends goes unseen, instead of one in five.
                Err(_) => continue,
            };
            // A process that is ending may have taken it a moment before.
            let closed = tokio::time::timeout(EXIT_CLOSE_TIMEOUT, stream.read(&mut [0; 1])).await;
            if closed.is_err() {
                return false;
            }
        }
        false
    }

    /// Keep a connection whose answer was read to the end.
    pub(super) fn keep(&self, address: SocketAddr, conn: Conn) {
        if conn.is_closed() {
            return;
        }
        let expires_at = self.clock.now() + MAX_IDLE_TIME;
        let mut idle = self.lock();
        let conns = idle.entry(address).or_default();
        if conns.len() < MAX_IDLE_PER_REPLICA {
            conns.push(Idle { conn, expires_at });
        }
    }

    /// Close the idle connections to an address, where another process listens by now.
    pub(super) fn close_idle(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Close connections that have been idle for long.
    pub(super) fn close_expired(&self) {
        let now = self.clock.now();
        let mut idle = self.lock();
        idle.retain(|_, conns| {
            conns.retain(|entry| !entry.expires_at.is_past(now) && !entry.conn.is_closed());
            !conns.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Conn> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let conns = idle.get_mut(&address)?;
        while let Some(entry) = conns.pop() {
            if !entry.expires_at.is_past(now) && entry.conn.is_ready() {
                return Some(entry.conn);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr) -> Result<Conn, SendError> {
    let unsent = |e: &dyn std::error::Error| SendError::NotSent(e.to_string());
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let stream = match connecting.await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => return Err(SendError::NobodyListens),
        Ok(Err(e)) => return Err(unsent(&e)),
        Err(_) => return Err(SendError::NotSent("no connection in time".to_owned())),
    };
    configure_socket(&stream).map_err(|e| unsent(&e))?;
    let handshake = Builder::new().max_buf_size(MAX_BUFFER_BYTES).handshake(TokioIo::new(stream));
    let (conn, driver) = handshake.await.map_err(|e| unsent(&e))?;
    tokio::spawn(async move {
        // How a connection ends is told to whoever waits for an answer on it.
        let _ = driver.await;
    });
    Ok(conn)
}

/// Make a socket fail when the other side is silently gone.
pub(super) fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.set_tcp_keepalive(&TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL))
}

//! Accepts connections, limits their number and the time for their headers, and closes them at a graceful stop.
//!
//! When the maximum number is reached, an idle connection closes for each new one; see
//! [`dahliaseam_core::connections`].

use std::{any::Any, error::Error, panic::AssertUnwindSafe, sync::Arc, time::Duration};

use axum::{Router, body::Body};
use dahliaseam_settings::settings::Limits;
use futures_util::{FutureExt, future::BoxFuture};
use http::{Request, Response};
use hyper::body::Incoming;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tower::ServiceExt;

use crate::{
    connection::{CloseNotices, Connection},
    connection_table::{Admission, ConnectionTable},
    emit,
    listener_health::ListenerHealth,
};

/// Delay after accepting a connection failed, for example because no file descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Time in which the connections accepted last can send their first request. Callers send it as soon as they are
/// connected, and it takes a few milliseconds to arrive.
const FINAL_READ_TIME: Duration = Duration::from_millis(30);

/// Limits for a listener's connections.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Time in which a request head must be complete; also the idle timeout of a connection.
    pub head_timeout: Duration,
    /// Maximum bytes of a request head.
    pub max_head_bytes: usize,
}

impl From<Limits> for ConnectionLimits {
    fn from(limits: Limits) -> Self {
        Self {
            connections: limits.connections,
            head_timeout: Duration::from_millis(limits.header_ms),
            max_head_bytes: limits.header_bytes,
        }
    }
}

/// Serves `router` until `closing` is cancelled; see [`serve_with`].
pub async fn serve(
    listener: TcpListener,
    router: Router,
    limits: Limits,
    notices: CloseNotices,
    health: Arc<ListenerHealth>,
    begun: CancellationToken,
    closing: CancellationToken,
) {
    let limits = move || ConnectionLimits::from(limits);
    serve_with(listener, router_handler(router), limits, Some(notices), health, begun, closing).await;
}

/// Turns a router into a handler for [`serve_with`].
pub fn router_handler(
    router: Router,
) -> impl Fn(Request<Incoming>) -> BoxFuture<'static, Response<Body>> + Clone + Send + 'static {
    move |req| {
        let router = router.clone();
        Box::pin(async move { router.oneshot(req.map(Body::new)).await.unwrap_or_else(|e| match e {}) })
    }
}

/// Serves requests until `closing` is cancelled, then closes idle connections and waits for the busy ones.
///
/// `limits` is called for each connection, and `health` counts those that end by a panic. `begun` is cancelled when a
/// graceful stop begins. From then on, each response also closes its connection, so that few are left on which a caller
/// may be writing when the listener closes. These are closed with a response from `notices`, if there is one.
pub async fn serve_with<F, A, B>(
    listener: TcpListener,
    handler: F,
    limits: impl Fn() -> ConnectionLimits,
    notices: Option<CloseNotices>,
    health: Arc<ListenerHealth>,
    begun: CancellationToken,
    closing: CancellationToken,
) where
    F: Fn(Request<Incoming>) -> A + Clone + Send + Unpin + 'static,
    A: Future<Output = Response<B>> + Send + 'static,
    B: hyper::body::Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let server = Server {
        handler,
        limits,
        notices,
        health,
        begun,
        table: ConnectionTable::new(),
        closing_connections: CancellationToken::new(),
        connections: TaskTracker::new(),
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                if server.spawn_connection(stream) {
                    // Lets the connection that closes for this one free its file before the next one is accepted.
                    tokio::task::yield_now().await;
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
    for stream in accept_pending(listener) {
        let _ = server.spawn_connection(stream);
    }
    // Wait for first requests, since the next step closes connections on which nothing has been read yet.
    tokio::time::sleep(FINAL_READ_TIME).await;
    server.closing_connections.cancel();
    server.connections.close();
    server.connections.wait().await;
}

/// The message of a panic.
fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("unknown")
}

/// Accepts the connections that are still pending when the listener closes. Their callers may already have sent
/// requests.
fn accept_pending(listener: TcpListener) -> Vec<TcpStream> {
    let listener = match listener.into_std() {
        Ok(listener) => listener,
        Err(e) => {
            emit!(warn, CONNECTIONS_LEFT, why = %e);
            return Vec::new();
        }
    };
    let accepted = std::iter::from_fn(|| listener.accept().ok());
    accepted
        .filter_map(|(stream, _)| {
            stream.set_nonblocking(true).ok()?;
            TcpStream::from_std(stream).ok()
        })
        .collect()
}

/// Bounds the bytes that the system keeps for each connection of a listener until they are read.
pub(crate) fn limit_receive_buffers(listener: &TcpListener, bytes: usize) {
    // The system doubles the value for its own use, and the data may fill most of that.
    if let Err(e) = SockRef::from(listener).set_recv_buffer_size(bytes / 2) {
        emit!(warn, RECEIVE_BUFFERS_UNLIMITED, why = %e);
    }
}

/// What is needed to serve each connection.
struct Server<F, T> {
    handler: F,
    limits: T,
    notices: Option<CloseNotices>,
    health: Arc<ListenerHealth>,
    begun: CancellationToken,
    table: Arc<ConnectionTable>,
    closing_connections: CancellationToken,
    connections: TaskTracker,
}

impl<F, T> Server<F, T> {
    /// Serves a connection in its own task, or closes it if there is no room for it. Returns whether another one closes
    /// for it.
    fn spawn_connection<A, B>(&self, stream: TcpStream) -> bool
    where
        F: Fn(Request<Incoming>) -> A + Clone + Send + Unpin + 'static,
        A: Future<Output = Response<B>> + Send + 'static,
        B: hyper::body::Body + Send + Unpin + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
        T: Fn() -> ConnectionLimits,
    {
        let limits = (self.limits)();
        let (open, has_evicted) = match self.table.admit(limits.connections) {
            Admission::Open(open) => (open, false),
            Admission::InPlaceOfAnother(open) => {
                self.health.record_evicted();
                emit!(info, CONNECTION_EVICTED, limit = limits.connections);
                (open, true)
            }
            Admission::Refused => {
                self.health.record_refused();
                emit!(warn, CONNECTION_REFUSED, limit = limits.connections);
                return false;
            }
        };
        let _ = stream.set_nodelay(true);
        let conn = Connection {
            limits,
            begun: self.begun.clone(),
            closing: self.closing_connections.clone(),
            notices: self.notices.clone(),
            open,
        };
        let (handler, health) = (self.handler.clone(), Arc::clone(&self.health));
        self.connections.spawn(async move {
            match AssertUnwindSafe(conn.serve(stream, handler)).catch_unwind().await {
                Ok(()) => health.record_served(),
                Err(panic) => {
                    health.record_panic();
                    emit!(error, CONNECTION_PANICKED, why = panic_message(&*panic), panics = health.panics());
                }
            }
        });
        has_evicted
    }
}

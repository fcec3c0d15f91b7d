//! Accepting connections: how many, how slow their headers may come, and how they end.

use std::{convert::Infallible, error::Error, sync::Arc, time::Duration};

use axum::{Router, body::Body};
use dahliaseam_settings::settings::Limits;
use futures_util::future::BoxFuture;
use http::{HeaderValue, Request, Response, header::CONNECTION};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{net::TcpListener, sync::Semaphore};
use tokio_util::sync::CancellationToken;
use tower::ServiceExt;

use crate::emit;

/// Wait after the system refuses a connection, as when files run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// What a listener allows.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Connections at once at most.
    pub connections: usize,
    /// Time in which a head must have come, or for which an idle connection is kept.
    pub head_time: Duration,
    /// Bytes of a head at most.
    pub head_bytes: usize,
}

impl From<Limits> for Terms {
    fn from(limits: Limits) -> Self {
        Self {
            connections: limits.connections,
            head_time: Duration::from_millis(limits.header_ms),
            head_bytes: limits.header_bytes,
        }
    }
}

/// Serve `router` until `closing`; see [`serve_with`].
pub async fn serve(
    listener: TcpListener,
    router: Router,
    limits: Limits,
    begun: CancellationToken,
    closing: CancellationToken,
) {
    serve_with(listener, router_answer(router), move || Terms::from(limits), begun, closing).await;
}

/// A router's way to answer, for [`serve_with`].
pub fn router_answer(
    router: Router,
) -> impl Fn(Request<Incoming>) -> BoxFuture<'static, Response<Body>> + Clone + Send + 'static {
    move |req| {
        let router = router.clone();
        Box::pin(async move { router.oneshot(req.map(Body::new)).await.unwrap_or_else(|e| match e {}) })
    }
}

/// Answer requests until `closing`, then end idle connections and wait for the busy ones.
///
/// `terms` is asked for each connection. Once `begun` is cancelled each answer also ends its
/// connection, so that when the listener closes few are left on which a caller may be writing.
pub async fn serve_with<F, A, B>(
    listener: TcpListener,
    answer: F,
    terms: impl Fn() -> Terms,
    begun: CancellationToken,
    closing: CancellationToken,
) where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: Future<Output = Response<B>> + Send + 'static,
    B: hyper::body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let places = Arc::new(Semaphore::new(terms().connections));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let terms = terms();
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            emit!(warn, CONNECTION_REFUSED, limit = terms.connections);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let answer = answer.clone();
        let begun = begun.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let (answering, begun) = (answer(req), begun.clone());
            async move {
                let mut resp = answering.await;
                if begun.is_cancelled() {
                    resp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(resp)
            }
        });
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(terms.head_time)
            .max_buf_size(terms.head_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let conn = graceful.watch(conn);
        tokio::spawn(async move {
            let _ = conn.await;
            drop(place);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

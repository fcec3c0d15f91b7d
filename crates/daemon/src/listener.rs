//! Accepting connections: how many, how slow their headers may come, and how they end.

use std::{convert::Infallible, sync::Arc, time::Duration};

use axum::{Router, body::Body};
use dahliaseam_settings::settings::Limits;
use http::{HeaderValue, Request, header::CONNECTION};
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

/// Serve `router` until `closing`, then end idle connections and wait for the busy ones.
///
/// Once `begun` is cancelled each answer also ends its connection, so that when the listener
/// closes few are left on which a caller may just be writing.
pub async fn serve(
    listener: TcpListener,
    router: Router,
    limits: Limits,
    begun: CancellationToken,
    closing: CancellationToken,
) {
    let places = Arc::new(Semaphore::new(limits.connections));
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
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            emit!(warn, CONNECTION_REFUSED, limit = limits.connections);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let router = router.clone();
        let begun = begun.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let (router, begun) = (router.clone(), begun.clone());
            async move {
                let mut resp = router.oneshot(req.map(Body::new)).await.unwrap_or_else(|e| match e {});
                if begun.is_cancelled() {
                    resp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(resp)
            }
        });
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.header_ms))
            .max_buf_size(limits.header_bytes)
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

//! Accepting connections: how many, how slow their headers may come, and how they end.

use std::{convert::Infallible, sync::Arc, time::Duration};

use axum::{Router, body::Body};
use dahliaseam_settings::settings::Limits;
use http::Request;
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
pub async fn serve(listener: TcpListener, router: Router, limits: Limits, closing: CancellationToken) {
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
        let service = service_fn(move |req: Request<Incoming>| {
            let router = router.clone();
            async move { Ok::<_, Infallible>(router.oneshot(req.map(Body::new)).await.unwrap_or_else(|e| match e {})) }
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

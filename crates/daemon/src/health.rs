//! Liveness, readiness and metrics.

use std::sync::Arc;

use axum::{
    Router,
    extract::State,
    response::{IntoResponse, Response},
    routing::get,
};
use http::{StatusCode, header::CONTENT_TYPE};

use crate::node::Node;

/// Media type of the Prometheus text format.
const PROMETHEUS: &str = "text/plain; version=0.0.4";

/// The routes, which need no token.
pub fn router(node: Arc<Node>) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "alive\n" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .with_state(node)
}

async fn ready(State(node): State<Arc<Node>>) -> Response {
    if node.is_ready() {
        return "ready\n".into_response();
    }
    let why = if node.stop.begun.is_cancelled() {
        "stopping\n"
    } else if node.document().generation == 0 {
        "no configuration\n"
    } else {
        "cut off\n"
    };
    (StatusCode::SERVICE_UNAVAILABLE, why).into_response()
}

async fn metrics(State(node): State<Arc<Node>>) -> Response {
    let live = node.members().live_count();
    node.metrics.state(node.document().generation, node.dispatcher.counts().0, live);
    ([(CONTENT_TYPE, PROMETHEUS)], node.metrics.text()).into_response()
}

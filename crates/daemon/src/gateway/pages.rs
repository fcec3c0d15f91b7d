//! Pages for the balancer, other daemons and operators: readiness, what was read, metrics.

use std::sync::Arc;

use axum::{
    Router,
    extract::{Query, State},
    response::{IntoResponse, Response},
    routing::get,
};
use http::{StatusCode, header::CONTENT_TYPE};
use serde::Deserialize;

use crate::gateway::{snapshot_transfer::STATE_PATH, state::Gateway};

/// Media type of a packed copy.
const PACKED_MEDIA_TYPE: &str = "application/octet-stream";
/// Milliseconds that a copy may take on the link, behind what waits there. Callers' prompts wait as
/// long at most, and the asker gets it sooner from a daemon that has it meanwhile or whose link is better.
const MAX_LINK_MS: f64 = 100.0;
/// Media type of Prometheus text.
const PROMETHEUS_MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// What the balancer asks.
pub(super) fn ready(gw: &Arc<Gateway>) -> Router {
    let path = gw.outside.dialect.ready_path();
    Router::new().route(path, get(is_ready)).with_state(Arc::clone(gw))
}

/// What operators ask.
pub(super) fn metrics(gw: &Arc<Gateway>) -> Router {
    Router::new().route("/metrics", get(metrics_text)).with_state(Arc::clone(gw))
}

/// What other daemons ask: what this one has read from the store.
pub(super) fn state(gw: &Arc<Gateway>) -> Router {
    Router::new().route(STATE_PATH, get(update)).with_state(Arc::clone(gw))
}

/// What another daemon asks for.
#[derive(Debug, Deserialize)]
struct UpdateQuery {
    /// Revision up to which it has everything.
    #[serde(default)]
    after: i64,
}

async fn update(State(gw): State<Arc<Gateway>>, Query(query): Query<UpdateQuery>) -> Response {
    let now = gw.now();
    let wait_ms = gw.link.wait_ms(now);
    if wait_ms > MAX_LINK_MS {
        return link_busy();
    }
    let packed = gw.store_cache().packed(query.after, now);
    match packed {
        Ok(packed) if wait_ms + gw.link.send_ms(packed.len()) > MAX_LINK_MS => link_busy(),
        Ok(packed) => {
            gw.link.record_send(packed.len(), now);
            ([(CONTENT_TYPE, PACKED_MEDIA_TYPE)], packed).into_response()
        }
        Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, e.to_string()).into_response(),
    }
}

fn link_busy() -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, "the link is busy\n").into_response()
}

async fn is_ready(State(gw): State<Arc<Gateway>>) -> Response {
    if gw.is_ready() {
        return "ready\n".into_response();
    }
    let why = if gw.stop.begun.is_cancelled() { "stopping\n" } else { "no configuration\n" };
    (StatusCode::SERVICE_UNAVAILABLE, why).into_response()
}

async fn metrics_text(State(gw): State<Arc<Gateway>>) -> Response {
    match gw.metrics.text() {
        Ok(text) => ([(CONTENT_TYPE, PROMETHEUS_MEDIA_TYPE)], text).into_response(),
        Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, e.to_string()).into_response(),
    }
}

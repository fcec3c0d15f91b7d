//! HTTP pages for the load balancer, other daemons and operators: readiness, state and metrics.

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

/// Media type of a packed update.
const PACKED_MEDIA_TYPE: &str = "application/octet-stream";
/// Maximum milliseconds until an update has been sent on the link, including the data queued before it. Callers'
/// prompts wait for at most this long. If it would take longer, the requesting daemon gets the update sooner from
/// another one that has it by then or has a better link.
const MAX_LINK_MS: f64 = 100.0;
/// Media type of Prometheus text.
const PROMETHEUS_MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// Readiness page for the load balancer.
pub(super) fn ready(gw: &Arc<Gateway>) -> Router {
    let path = gw.deps.dialect.ready_path();
    Router::new().route(path, get(is_ready)).with_state(Arc::clone(gw))
}

/// Metrics page for operators.
pub(super) fn metrics(gw: &Arc<Gateway>) -> Router {
    Router::new().route("/metrics", get(metrics_text)).with_state(Arc::clone(gw))
}

/// State page for other daemons: updates from what this daemon has read from the store.
pub(super) fn state(gw: &Arc<Gateway>) -> Router {
    Router::new().route(STATE_PATH, get(update)).with_state(Arc::clone(gw))
}

/// Query of a request for an update.
#[derive(Debug, Deserialize)]
struct UpdateQuery {
    /// Revision up to which the requesting daemon has all changes.
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
    let why = if gw.stop.begun.is_cancelled() {
        "stopping\n"
    } else if !gw.listener_health.is_sound() {
        "connections end by panics\n"
    } else {
        "no configuration\n"
    };
    (StatusCode::SERVICE_UNAVAILABLE, why).into_response()
}

async fn metrics_text(State(gw): State<Arc<Gateway>>) -> Response {
    match gw.metrics.text() {
        Ok(text) => ([(CONTENT_TYPE, PROMETHEUS_MEDIA_TYPE)], text).into_response(),
        Err(e) => (StatusCode::INTERNAL_SERVER_ERROR, e.to_string()).into_response(),
    }
}

//! Listener for callers.

use std::sync::Arc;

use dahliaseam_core::time::Span;
use tokio::net::TcpListener;

use crate::{
    clock::duration,
    gateway::{request, state::Gateway},
    listener::{ConnectionLimits, serve_with},
};

/// Idle timeout of a connection before a configuration is known.
const DEFAULT_HEAD_TIMEOUT: Span = Span::millis(15_000);
/// Minimum time for a head, whatever is configured: no caller sends one in less than some round trips.
const MIN_HEAD_TIMEOUT: Span = Span::millis(500);
/// Bytes of a head that are read, whatever is configured: before a configuration is known, and on kept connections after
/// the limit was raised. Larger heads than the limit in force are refused when they have been read.
const MIN_HEAD_BYTES: usize = 16 << 10;
/// Bytes that are read beyond the configured head size, so that a head of exactly that size fits.
const HEAD_MARGIN_BYTES: usize = 4 << 10;

/// Serves callers until the daemon stops accepting connections.
pub(super) async fn run(gw: Arc<Gateway>, listener: TcpListener) {
    let handler = {
        let gw = Arc::clone(&gw);
        move |req| gw.stop.requests.track_future(request::serve(Arc::clone(&gw), req))
    };
    let limits = {
        let gw = Arc::clone(&gw);
        move || connection_limits(&gw)
    };
    let health = Arc::clone(&gw.listener_health);
    serve_with(listener, handler, limits, None, health, gw.stop.begun.clone(), gw.stop.closing.clone()).await;
}

fn connection_limits(gw: &Gateway) -> ConnectionLimits {
    let limits = gw.table().map(|table| table.limits);
    // One timer covers both the wait for a request and its head, so the longer limit applies.
    let head_time = limits.map_or(DEFAULT_HEAD_TIMEOUT, |limits| limits.idle_time.max(limits.head_time));
    let head_bytes = limits.map_or(MIN_HEAD_BYTES, |limits| limits.head_bytes.max(MIN_HEAD_BYTES));
    let max_head_bytes = head_bytes.saturating_add(HEAD_MARGIN_BYTES);
    let in_memory = gw.settings.memory().connections(max_head_bytes);
    ConnectionLimits {
        connections: gw.settings.caller_connections().min(in_memory),
        head_timeout: duration(head_time.max(MIN_HEAD_TIMEOUT)),
        max_head_bytes,
    }
}

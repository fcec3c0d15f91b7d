//! The callers' listener.

use std::sync::Arc;

use dahliaseam_core::time::Span;
use tokio::net::TcpListener;

use crate::{
    clock::duration,
    gateway::{request, state::Gateway},
    listener::{Terms, serve_with},
};

/// Time for which an idle connection is kept before any configuration says.
const DEFAULT_HEAD_TIMEOUT: Span = Span::millis(15_000);
/// Bytes of a head before any configuration says.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// Bytes beyond the configured head that are read at once, so that a head at its bound fits.
const HEAD_MARGIN_BYTES: usize = 4 << 10;

/// Serve callers until the daemon closes.
pub(super) async fn run(gw: Arc<Gateway>, listener: TcpListener) {
    let answer = {
        let gw = Arc::clone(&gw);
        move |req| gw.stop.requests.track_future(request::serve(Arc::clone(&gw), req))
    };
    let terms = {
        let gw = Arc::clone(&gw);
        move || terms(&gw)
    };
    serve_with(listener, answer, terms, gw.stop.begun.clone(), gw.stop.closing.clone()).await;
}

fn terms(gw: &Gateway) -> Terms {
    let limits = gw.table().map(|table| table.limits);
    // One timer covers both the wait for a request and its head, so the longer bound counts.
    let head_time = limits.map_or(DEFAULT_HEAD_TIMEOUT, |limits| limits.idle_time.max(limits.head_time));
    Terms {
        connections: gw.settings.caller_connections(),
        head_time: duration(head_time),
        head_bytes: limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.head_bytes) + HEAD_MARGIN_BYTES,
    }
}

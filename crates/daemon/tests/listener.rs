//! Graceful closing of a listener.

use std::{
    io::{Read, Write},
    net::TcpStream as CallerStream,
    time::Duration,
};

use axum::body::Body;
use dahliaseamd::listener::{ConnectionLimits, serve_with};
use http::Response;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
const TIMEOUT: Duration = Duration::from_secs(5);

fn limits() -> ConnectionLimits {
    ConnectionLimits { connections: 100, head_timeout: Duration::from_secs(1), max_head_bytes: 16 << 10 }
}

/// Connections that were established before the listener closed are answered, even if they had not been accepted yet.
#[tokio::test]
async fn connections_pending_when_the_listener_closes_are_served() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    // Nothing is accepted until this test awaits.
    let mut callers: Vec<CallerStream> = (0..20).map(|_| CallerStream::connect(address).expect("it listens")).collect();
    for caller in &mut callers {
        caller.write_all(REQUEST).expect("the request is sent");
    }
    let closing = CancellationToken::new();
    closing.cancel();
    let handler = |_| async { Response::new(Body::from("done")) };
    let serving = serve_with(listener, handler, limits, closing.clone(), closing);
    tokio::time::timeout(TIMEOUT, serving).await.expect("the listener stops within the timeout");
    let answered = callers.iter_mut().filter_map(|caller| read(caller).ok()).filter(|text| text.contains("done"));
    assert_eq!(answered.count(), callers.len());
}

fn read(caller: &mut CallerStream) -> std::io::Result<String> {
    caller.set_read_timeout(Some(TIMEOUT))?;
    let mut text = String::new();
    caller.read_to_string(&mut text)?;
    Ok(text)
}

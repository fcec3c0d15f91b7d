//! Graceful closing of a listener.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream as CallerStream},
    sync::Arc,
    time::Duration,
};

use axum::body::Body;
use dahliaseamd::{
    caller::refusal::close_notices,
    listener::{ConnectionLimits, serve_with},
    listener_health::ListenerHealth,
};
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::{net::TcpListener, task::JoinHandle};
use tokio_util::sync::CancellationToken;

/// Maximum number of connections of the listener.
const MAX_CONNECTIONS: usize = 100;
/// Size of a body that the handler does not read, larger than what the system keeps for a connection.
const UNREAD_BODY: usize = 32 << 20;
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time in which the response to `/slow` is generated.
const SLOW_RESPONSE: Duration = Duration::from_millis(600);
/// Time after which a listener that was told to close has closed its idle connections.
const AFTER_CLOSE: Duration = Duration::from_millis(200);

fn limits() -> ConnectionLimits {
    ConnectionLimits { connections: MAX_CONNECTIONS, head_timeout: Duration::from_secs(1), max_head_bytes: 16 << 10 }
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
    let serving = serve_with(listener, handler, limits, None, Arc::default(), closing.clone(), closing);
    tokio::time::timeout(TIMEOUT, serving).await.expect("the listener stops within the timeout");
    let answered = callers.iter_mut().filter_map(|caller| read(caller).ok()).filter(|text| text.contains("done"));
    assert_eq!(answered.count(), callers.len());
}

/// A listener that serves until it is closed.
struct Served {
    address: SocketAddr,
    health: Arc<ListenerHealth>,
    begun: CancellationToken,
    closing: CancellationToken,
    serving: JoinHandle<()>,
}

impl Served {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let (begun, closing) = (CancellationToken::new(), CancellationToken::new());
        let handler = |req: Request<Incoming>| async move {
            if req.uri() == "/slow" {
                tokio::time::sleep(SLOW_RESPONSE).await;
            }
            assert_ne!(req.uri(), "/panic");
            Response::new(Body::from("done"))
        };
        let health = Arc::<ListenerHealth>::default();
        let (counts, notices) = (Arc::clone(&health), Some(close_notices()));
        let serving = serve_with(listener, handler, limits, notices, counts, begun.clone(), closing.clone());
        Self { address, health, begun, closing, serving: tokio::spawn(serving) }
    }

    /// Opens a connection and sends `bytes` on it.
    fn connect(&self, bytes: &[u8]) -> CallerStream {
        let mut caller = CallerStream::connect(self.address).expect("it listens");
        caller.write_all(bytes).expect("the bytes are sent");
        caller
    }

    /// Opens a connection and leaves it idle after a response.
    fn connect_kept(&self) -> CallerStream {
        let mut caller = self.connect(REQUEST);
        let mut seen = Vec::new();
        while !seen.ends_with(b"done") {
            let mut byte = [0];
            caller.read_exact(&mut byte).expect("the response arrives");
            seen.extend(byte);
        }
        caller
    }

    async fn close(self) {
        self.begun.cancel();
        self.closing.cancel();
        tokio::time::timeout(TIMEOUT, self.serving).await.expect("the listener stops in time").expect("no panic");
    }
}

/// Guards against connections that end by a panic unseen, while the daemon says that it serves.
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_end_by_a_panic_are_counted_and_a_listener_of_only_such_ones_is_not_sound() {
    let served = Served::start().await;
    let panic = || read(&mut served.connect(b"GET /panic HTTP/1.1\r\nHost: x\r\n\r\n"));
    for _ in 0..7 {
        assert!(panic().is_ok_and(|text| text.is_empty()));
    }
    assert!(served.health.is_sound());
    drop(served.connect_kept());
    tokio::time::sleep(AFTER_CLOSE).await;
    for n in 7..15 {
        assert_eq!((served.health.panics(), served.health.is_sound()), (n, true));
        let _ = panic();
        tokio::time::sleep(AFTER_CLOSE / 4).await;
    }
    assert_eq!((served.health.panics(), served.health.is_sound()), (15, false));
    drop(served.connect_kept());
    tokio::time::sleep(AFTER_CLOSE).await;
    assert!(served.health.is_sound());
    served.close().await;
}

/// Guards against a request without a response: it was sent on a kept connection just as a stopping daemon closed that,
/// and its caller saw "connection closed before message completed" and could not tell whether it ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crosses_the_close_is_answered_as_not_run() {
    let served = Served::start().await;
    let (kept, unused, mut partial) = (served.connect_kept(), served.connect(b""), served.connect_kept());
    partial.write_all(&REQUEST[..9]).expect("a part of the request is sent");
    let closing = tokio::spawn(served.close());
    tokio::time::sleep(AFTER_CLOSE).await;
    // The callers have read nothing since, as if their requests were on the way already.
    for (mut caller, rest) in [(kept, REQUEST), (unused, REQUEST), (partial, &REQUEST[9..])] {
        caller.write_all(rest).expect("the request is sent");
        let text = read(&mut caller).expect("there is a response");
        assert!(text.starts_with("HTTP/1.1 408") && text.contains("\"not_ready\""), "{text:?}");
        assert!(text.contains("x-dahliaseam-outcome: not_run"), "{text:?}");
    }
    closing.await.expect("the listener stops");
}

/// The same for a connection on which no request arrives for so long that it is closed.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crosses_the_idle_timeout_is_answered_as_not_run() {
    let served = Served::start().await;
    let mut caller = served.connect_kept();
    tokio::time::sleep(limits().head_timeout + AFTER_CLOSE).await;
    caller.write_all(REQUEST).expect("the request is sent");
    let text = read(&mut caller).expect("there is a response");
    assert!(text.starts_with("HTTP/1.1 408") && text.contains("\"no_request\""), "{text:?}");
    served.close().await;
}

/// A request that is being served may have run, so a caller that ends its side meanwhile must not be told otherwise.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_is_being_served_is_not_answered_as_not_run() {
    let served = Served::start().await;
    let mut caller = served.connect(b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
    tokio::time::sleep(SLOW_RESPONSE / 4).await;
    let closing = tokio::spawn(served.close());
    tokio::time::sleep(SLOW_RESPONSE / 4).await;
    caller.shutdown(Shutdown::Write).expect("the connection is open");
    let text = read(&mut caller).expect("the connection is closed");
    assert!(!text.contains("not_run"), "{text:?}");
    closing.await.expect("the listener stops");
}

/// A caller that was told of the close with its last response gets nothing after that response.
#[tokio::test(flavor = "multi_thread")]
async fn a_close_that_was_announced_has_no_further_response() {
    let served = Served::start().await;
    let mut requested = served.connect(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    served.begun.cancel();
    let mut begun = served.connect(REQUEST);
    for caller in [&mut requested, &mut begun] {
        let text = read(caller).expect("there is a response");
        assert!(text.ends_with("done"), "{text:?}");
    }
    served.close().await;
}

/// Guards against a listener that serves nobody while idle connections take all its places.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_close_for_new_ones_and_those_in_use_do_not() {
    let served = Served::start().await;
    let mut slow = served.connect(b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
    let mut first_idle = served.connect_kept();
    let idle: Vec<CallerStream> = (2..MAX_CONNECTIONS).map(|_| served.connect_kept()).collect();
    assert_eq!((served.health.evicted(), served.health.refused()), (0, 0));
    drop(served.connect_kept());
    assert_eq!((served.health.evicted(), served.health.refused()), (1, 0));
    let text = read(&mut first_idle).expect("the connection is closed");
    assert!(text.starts_with("HTTP/1.1 408") && text.contains("\"no_request\""), "{text:?}");
    let mut byte = [0];
    slow.read_exact(&mut byte).expect("the request in use is answered");
    drop(idle);
    served.close().await;
}

/// Guards against a response that its caller loses: a connection that is closed before the rest of a request is read is
/// reset, and what was not read of the response is gone with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_still_sends_gets_the_response() {
    let served = Served::start().await;
    for _ in 0..10 {
        let head = format!("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {UNREAD_BODY}\r\n\r\n");
        let mut caller = served.connect(head.as_bytes());
        caller.write_all(&vec![b'x'; UNREAD_BODY]).expect("the body is taken");
        let text = read(&mut caller).expect("the response arrives");
        assert!(text.ends_with("done"), "{text:?}");
    }
    served.close().await;
}

/// The same if sending the rest takes longer than callers usually need for a request.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_sends_slowly_gets_the_response() {
    let served = Served::start().await;
    let head = format!("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {UNREAD_BODY}\r\n\r\n");
    let mut caller = served.connect(head.as_bytes());
    let piece = vec![b'x'; UNREAD_BODY / 12];
    for _ in 0..12 {
        caller.write_all(&piece).expect("the body is taken");
        std::thread::sleep(AFTER_CLOSE / 2);
    }
    let text = read(&mut caller).expect("the response arrives");
    assert!(text.ends_with("done"), "{text:?}");
    served.close().await;
}

fn read(caller: &mut CallerStream) -> std::io::Result<String> {
    caller.set_read_timeout(Some(TIMEOUT))?;
    let mut text = String::new();
    caller.read_to_string(&mut text)?;
    Ok(text)
}

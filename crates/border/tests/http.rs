//! The HTTP client and a server that closes kept connections.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use dahliaseam_border::{
    error::CallError,
    http::{HttpClient, Reuse},
};
use http::Request;
use http_body_util::{BodyExt, Full};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const REQUESTS: u64 = 2_000;
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const CLOSE: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Answers one request, then closes the connection with a 408 for a request that may be on its way.
async fn serve_once(mut stream: TcpStream, pause: Duration) -> std::io::Result<()> {
    let mut buf = [0; 1_024];
    let _ = stream.read(&mut buf).await?;
    stream.write_all(ANSWER).await?;
    tokio::time::sleep(pause).await;
    stream.write_all(CLOSE).await?;
    stream.shutdown().await?;
    while stream.read(&mut buf).await? > 0 {}
    Ok(())
}

/// Guards against calls reported as lost, which may have taken effect, although their connection closed before anything
/// of them was sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_whose_connection_closes_before_it_is_sent_was_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let url = format!("http://{}/", listener.local_addr().expect("the listener is bound"));
    let server = tokio::spawn(async move {
        for n in 0.. {
            let (stream, _) = listener.accept().await.expect("a connection is accepted");
            tokio::spawn(serve_once(stream, Duration::from_micros(n % 40)));
        }
    });
    let client = HttpClient::new(Reuse::Keep);
    for _ in 0..REQUESTS {
        let req = Request::get(&url).body(Full::<Bytes>::default()).expect("the request is valid");
        match client.send(req).await {
            Ok(resp) => drop(resp.into_body().collect().await),
            Err(e) => assert!(matches!(e, CallError::NotSent(_)), "{e}"),
        }
    }
    server.abort();
}

/// What a server does to a connection after its first answer.
#[derive(Clone, Copy, Debug)]
enum AfterAnswer {
    /// Sends bytes that no call asked for.
    SendsBytes,
    /// Closes its side and reads on.
    HalfCloses,
    Resets,
}

/// Connections on which a byte of each call arrived.
type Arrivals = Arc<Mutex<HashMap<String, usize>>>;

/// Number of calls to each server.
const CALLS: usize = 200;
/// Size of a body that no socket buffer holds.
const LARGE_BODY: usize = 6 << 20;

/// Answers one call, then disturbs the connection after a pause, and records the calls that arrive on it.
async fn serve_and_disturb(
    mut stream: TcpStream,
    after: AfterAnswer,
    pause: Duration,
    arrivals: Arrivals,
) -> std::io::Result<()> {
    let mut received = Vec::new();
    let mut buf = vec![0; 64 << 10];
    while !received.ends_with(b"END") {
        let n = stream.read(&mut buf).await?;
        if n == 0 {
            return Ok(());
        }
        received.extend_from_slice(&buf[..n]);
    }
    record_call(&received, &arrivals);
    stream.write_all(ANSWER).await?;
    tokio::time::sleep(pause).await;
    match after {
        AfterAnswer::SendsBytes => stream.write_all(ANSWER).await?,
        AfterAnswer::HalfCloses => stream.shutdown().await?,
        AfterAnswer::Resets => return stream.set_zero_linger(),
    }
    let n = stream.read(&mut buf).await?;
    record_call(&buf[..n], &arrivals);
    Ok(())
}

fn record_call(received: &[u8], arrivals: &Arrivals) {
    let text = String::from_utf8_lossy(&received[..received.len().min(1_024)]).into_owned();
    let call = text.lines().find_map(|line| line.strip_prefix("call: ")).map(str::to_owned);
    if let Some(call) = call {
        *arrivals.lock().unwrap_or_else(PoisonError::into_inner).entry(call).or_default() += 1;
    }
}

/// Guards against a call that is returned as not sent, and sent again, although bytes of it were written: on a kept
/// connection that got bytes, was half-closed or reset while it was idle.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_on_a_disturbed_connection_is_sent_once() {
    for after in [AfterAnswer::SendsBytes, AfterAnswer::HalfCloses, AfterAnswer::Resets] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let url = format!("http://{}/", listener.local_addr().expect("the listener is bound"));
        let arrivals = Arrivals::default();
        let server_arrivals = Arc::clone(&arrivals);
        let server = tokio::spawn(async move {
            for n in 0.. {
                let (stream, _) = listener.accept().await.expect("a connection is accepted");
                let pause = Duration::from_micros(n % 20 * 30);
                tokio::spawn(serve_and_disturb(stream, after, pause, Arc::clone(&server_arrivals)));
            }
        });
        let client = HttpClient::new(Reuse::Keep);
        for n in 0..CALLS {
            let size = if n % 10 == 0 { LARGE_BODY } else { 100 };
            let body = Bytes::from([vec![b'x'; size], b"END".to_vec()].concat());
            let req = Request::post(&url).header("call", n.to_string()).body(Full::new(body));
            let result = client.fetch(req.expect("the request is valid"), Duration::from_secs(5)).await;
            let arrived = arrivals.lock().unwrap_or_else(PoisonError::into_inner).get(&n.to_string()).copied();
            let is_unsent = matches!(result, Err(CallError::NotSent(_)));
            assert!(arrived.unwrap_or(0) <= 1, "{after:?}: call {n} was sent {arrived:?} times");
            assert!(!is_unsent || arrived.is_none(), "{after:?}: call {n} was sent, {result:?}");
        }
        server.abort();
    }
}

//! Responses that are cut short, by the framing of their body and by how their connection ends.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use dahliaseam_border::{
    error::CallError,
    http::{HttpClient, Reuse},
    once,
};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Time limit of a call to a server that falls silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit of any other call.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Repetitions of a test whose outcome depends on what has arrived when the connection ends.
const ROUNDS: u64 = 200;

/// How a connection ends after the bytes of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    Silence,
}

impl End {
    const ALL: [Self; 3] = [Self::Close, Self::Reset, Self::Silence];

    const fn timeout(self) -> Duration {
        match self {
            Self::Silence => SILENCE_TIMEOUT,
            Self::Close | Self::Reset => TIMEOUT,
        }
    }
}

/// Starts a server that sends `response` on each connection, waits for `pause` and ends the connection.
async fn serve(response: Vec<u8>, end: End, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let response = response.clone();
            tokio::spawn(async move { respond(stream, &response, end, pause).await });
        }
    });
    address
}

async fn respond(mut stream: TcpStream, response: &[u8], end: End, pause: Duration) -> std::io::Result<()> {
    read_head(&mut stream).await?;
    stream.write_all(response).await?;
    tokio::time::sleep(pause).await;
    match end {
        End::Close => stream.shutdown().await,
        End::Reset => stream.set_zero_linger(),
        End::Silence => {
            while stream.read(&mut [0; 64]).await? > 0 {}
            Ok(())
        }
    }
}

async fn read_head(stream: &mut TcpStream) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut head).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}

fn response(headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\n{headers}\r\n{body}").into_bytes()
}

fn request(address: SocketAddr) -> Request<Full<Bytes>> {
    Request::get(format!("http://{address}/")).body(Full::default()).expect("the request is valid")
}

type Fetched = Result<(StatusCode, Bytes), CallError>;

/// Makes the call with both clients.
async fn fetch_with_both(address: SocketAddr, timeout: Duration) -> [Fetched; 2] {
    let kept = HttpClient::new(Reuse::Keep).fetch(request(address), timeout).await;
    let once = once::call(address, request(address), timeout).await;
    [kept, once]
}

/// Guards against a part of a response that states its end, by a length or by chunks, being taken for all of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_response_with_a_length_or_chunks_is_lost() {
    let cuts = [
        ("content-length: 10\r\n", ""),
        ("content-length: 10\r\n", "{\"a\":1}"),
        ("transfer-encoding: chunked\r\n", ""),
        ("transfer-encoding: chunked\r\n", "7\r\n{\"a\""),
        ("transfer-encoding: chunked\r\n", "7\r\n{\"a\":1}"),
        ("transfer-encoding: chunked\r\n", "7\r\n{\"a\":1}\r\n"),
        ("transfer-encoding: chunked\r\n", "7\r\n{\"a\":1}\r\n0\r\n"),
    ];
    for (headers, body) in cuts {
        for end in End::ALL {
            let address = serve(response(headers, body), end, Duration::ZERO).await;
            for result in fetch_with_both(address, end.timeout()).await {
                assert!(matches!(result, Err(CallError::Lost(_))), "{headers:?} {body:?} {end:?}: {result:?}");
            }
        }
    }
}

/// Guards against a reset being taken for the end of a response that ends with its connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_reset_or_silent_response_without_length_or_chunks_is_lost() {
    for n in 0..ROUNDS {
        let address = serve(response("", "{\"a\":1}"), End::Reset, Duration::from_micros(n * 10)).await;
        for result in fetch_with_both(address, TIMEOUT).await {
            assert!(matches!(result, Err(CallError::Lost(_))), "round {n}: {result:?}");
        }
    }
    let address = serve(response("", "{\"a\":1}"), End::Silence, Duration::ZERO).await;
    for result in fetch_with_both(address, SILENCE_TIMEOUT).await {
        assert!(matches!(result, Err(CallError::Lost(_))), "{result:?}");
    }
}

/// Guards against a reset going unnoticed because data that arrived before it has not been read yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_reset_is_reported_after_the_data_that_arrived_before_it() {
    let sizes = [0, 1, 8 << 10, 64 << 10, 1 << 20];
    let mut started = 0;
    for (size, read_after_ms) in sizes.iter().flat_map(|size| [(size, 0), (size, 1), (size, 50)]) {
        let address = serve(response("", &"x".repeat(*size)), End::Reset, Duration::from_millis(10)).await;
        for reuse in [Reuse::Keep, Reuse::Fresh] {
            // The head may be lost with the connection too.
            let Ok(resp) = HttpClient::new(reuse).send(request(address)).await else { continue };
            started += 1;
            tokio::time::sleep(Duration::from_millis(read_after_ms)).await;
            let body = tokio::time::timeout(TIMEOUT, resp.into_body().collect()).await.expect("the body ends");
            assert!(body.is_err(), "{size} bytes, read after {read_after_ms} ms");
        }
    }
    assert!(started > 0, "no response has started");
}

/// Guards against a part of a JSON response being taken for all of it. Without a length or chunks, a closed connection
/// does not tell whether the response is complete; its text does.
#[tokio::test(flavor = "multi_thread")]
async fn a_json_response_without_length_or_chunks_is_accepted_only_as_a_whole() {
    let client = HttpClient::new(Reuse::Keep);
    for text in [r#"{"items":[{"key":"a","revision":12}],"more_pages":false}"#, r#"[{"vm":"a"},{"vm":"b"}]"#] {
        for end in 0..=text.len() {
            let address = serve(response("", &text[..end]), End::Close, Duration::ZERO).await;
            let result = client.get::<Value>(&format!("http://{address}/"), TIMEOUT).await;
            assert_eq!(result.is_ok(), end == text.len(), "{:?}: {result:?}", &text[..end]);
        }
    }
}

/// Guards against a request being sent on a connection that ends with its response.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_ends_with_its_response_is_not_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let connections = Arc::new(AtomicUsize::new(0));
    let accepted = Arc::clone(&connections);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            accepted.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move { respond(stream, &response("", "{}"), End::Close, Duration::ZERO).await });
        }
    });
    let client = HttpClient::new(Reuse::Keep);
    for n in 0..ROUNDS {
        let result = client.fetch(request(address), TIMEOUT).await;
        assert!(result.is_ok(), "call {n}: {result:?}");
    }
    assert_eq!(connections.load(Ordering::Relaxed) as u64, ROUNDS);
}

//! Responses whose headers do not state unambiguously where their body ends.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use dahliaseam_border::{
    error::CallError,
    http::{HttpClient, Reuse},
    once,
};
use http::Request;
use http_body_util::Full;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server that sends `response` on each connection and closes it; returns its address.
async fn serve(response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let response = response.clone();
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 1_024]).await;
                let _ = stream.write_all(response.as_bytes()).await;
            });
        }
    });
    address
}

/// Fetches a response with both clients.
async fn fetch(headers: &str, body: &str) -> [Result<Bytes, CallError>; 2] {
    let address = serve(format!("HTTP/1.1 200 OK\r\n{headers}\r\n{body}")).await;
    let request = || Request::get(format!("http://{address}/")).body(Full::default()).expect("the request is valid");
    let kept = HttpClient::new(Reuse::Fresh).fetch(request(), TIMEOUT).await;
    let once = once::call(address, request(), TIMEOUT).await;
    [kept, once].map(|result| result.map(|(_, body)| body))
}

/// Guards against a body being taken as complete, or in a coding that is not decoded, because its headers contradict
/// each other.
#[tokio::test]
async fn a_response_with_ambiguous_framing_is_lost() {
    let chunked = "8\r\ncomplete\r\n0\r\n\r\n";
    let ambiguous = [
        ("content-length: 4\r\ncontent-length: 8\r\n", "complete"),
        ("content-length: 8, 8\r\n", "complete"),
        ("content-length: +8\r\n", "complete"),
        ("content-length: 4\r\ntransfer-encoding: chunked\r\n", chunked),
        ("transfer-encoding: chunked\r\ncontent-length: 4\r\n", chunked),
        ("transfer-encoding: chunked, identity\r\n", chunked),
        ("transfer-encoding: gzip, chunked\r\n", chunked),
        ("transfer-encoding: gzip\r\ntransfer-encoding: chunked\r\n", chunked),
        ("transfer-encoding: identity\r\n", "complete"),
        ("transfer-encoding: gzip\r\n", "complete"),
    ];
    let mut accepted = Vec::new();
    for (headers, body) in ambiguous {
        let results = fetch(headers, body).await.into_iter();
        accepted.extend(
            results.filter(|result| !matches!(result, Err(CallError::Lost(_)))).map(|result| (headers, result)),
        );
    }
    assert!(accepted.is_empty(), "{accepted:#?}");
    let clear = [
        ("content-length: 8\r\n", "complete"),
        ("content-length: 8\r\ncontent-length: 8\r\n", "complete"),
        ("Transfer-Encoding: Chunked\r\n", chunked),
        ("", "complete"),
    ];
    for (headers, body) in clear {
        for result in fetch(headers, body).await {
            assert_eq!(result.as_deref(), Ok(b"complete".as_slice()), "{headers:?}");
        }
    }
}

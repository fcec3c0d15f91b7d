//! Answers whose status is no status of an answer, on the calls to endpoints and services.

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
const ODD: [&str; 14] = [
    "000",
    "000 OK",
    "001 Odd",
    "099 Odd",
    "101 Switching Protocols",
    "199 Odd",
    "600 Odd",
    "700 Odd",
    "999 Odd",
    "20 OK",
    "2000 OK",
    "abc",
    "-20 OK",
    "",
];
const VALID: [&str; 5] = ["200 OK", "299 Odd", "302 Found", "499 Odd", "599 Odd"];

/// Starts a server that answers each connection's first request with a status.
async fn serve(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") && stream.read_buf(&mut head).await.is_ok_and(|read| read > 0) {}
            let response = format!("HTTP/1.1 {status}\r\nContent-Length: 2\r\n\r\nok");
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

fn request(address: SocketAddr) -> Request<Full<Bytes>> {
    Request::get(format!("http://{address}/x")).body(Full::default()).expect("a valid request")
}

/// Guards against taking an answer with such a status, such as 000, for the endpoint's. The call may have run.
#[tokio::test]
async fn an_answer_with_an_odd_status_is_lost() {
    for status in ODD {
        let address = serve(status).await;
        for reuse in [Reuse::Keep, Reuse::Fresh] {
            let client = HttpClient::new(reuse);
            let sent = tokio::time::timeout(TIMEOUT, client.send(request(address))).await.expect("the call ends");
            assert!(matches!(sent, Err(CallError::Lost(_))), "{status:?}: {sent:?}");
            let named = client.send_named(request(address), |_| true).await;
            assert!(matches!(named, Err(CallError::Lost(_))), "{status:?}: {named:?}");
            let fetched = client.fetch(request(address), TIMEOUT).await;
            assert!(matches!(fetched, Err(CallError::Lost(_))), "{status:?}: {fetched:?}");
        }
        let called = once::call(address, request(address), TIMEOUT).await;
        assert!(matches!(called, Err(CallError::Lost(_))), "{status:?}: {called:?}");
    }
}

/// Guards against losing answers whose status is unusual but valid.
#[tokio::test]
async fn an_answer_with_a_valid_status_is_returned() {
    for status in VALID {
        let address = serve(status).await;
        let (code, body) = HttpClient::new(Reuse::Keep).fetch(request(address), TIMEOUT).await.expect("an answer");
        assert!(status.starts_with(code.as_str()), "{status}: {code}");
        assert_eq!(&body[..], b"ok", "{status}");
    }
}

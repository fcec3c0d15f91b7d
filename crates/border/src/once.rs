//! HTTP calls of which no data arrives after they have ended.
//!
//! A call that merely timed out may still be in send buffers and arrive once a broken link works again, when another
//! daemon may already have the right to make such calls. Each call here therefore uses its own connection, which is
//! reset when the call ends.

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::{error::CallError, framing};

/// Maximum size of the body of a response.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// Makes one call within `timeout`.
///
/// # Errors
/// [`CallError::NotSent`] if no connection was established, otherwise [`CallError::Lost`].
pub async fn call(
    address: SocketAddr,
    req: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    call_on(TcpStream::connect(address), req, timeout).await
}

/// Makes one call within `timeout` on the connection that `connecting` returns.
///
/// # Errors
/// As [`call`].
pub async fn call_on(
    connecting: impl Future<Output = io::Result<TcpStream>>,
    req: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let not_sent = |e: &dyn std::error::Error| CallError::NotSent(e.to_string());
    let lost = |e: &dyn std::error::Error| CallError::Lost(e.to_string());
    let call = async {
        let stream = connecting.await.map_err(|e| not_sent(&e))?;
        // With a linger time of zero, closing the socket discards unsent data and resets the connection.
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).map_err(|e| not_sent(&e))?;
        let (mut conn, driver) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| not_sent(&e))?;
        let answer = async {
            let resp = conn.try_send_request(req).await.map_err(|mut e| match e.take_message() {
                Some(_) => not_sent(&e.into_error()),
                None => lost(&e.into_error()),
            })?;
            framing::check(resp.status(), resp.headers()).map_err(|e| lost(&e))?;
            let status = resp.status();
            let body = Limited::new(resp.into_body(), MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(|e| CallError::Lost(e.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        // The connection is driven here and not in a separate task, so that it is closed when the call ends. One that ends
        // first is dropped before the answer is awaited, which returns a request that it has not taken.
        let mut answer = std::pin::pin!(answer);
        tokio::select! {
            biased;
            answer = &mut answer => answer,
            _ = driver => answer.await,
        }
    };
    tokio::time::timeout(timeout, call).await.unwrap_or_else(|_| Err(CallError::Lost("no answer in time".to_owned())))
}

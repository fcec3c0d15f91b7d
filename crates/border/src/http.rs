//! HTTP client that never retries a request by itself.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{error::CallError, framing};

pub use hyper::body::Incoming;

/// Maximum size of the body of a response.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a connection is closed if sent data has not been acknowledged by the other side's kernel.
///
/// It bounds how long data that a process sent before it terminated can still arrive.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Whether connections are reused for further calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Idle connections are kept and reused.
    Keep,
    /// Each call opens a new connection, so that it cannot be sent on one that the other side is just closing.
    Fresh,
}

/// HTTP client.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client.
    #[must_use]
    pub fn new(reuse: Reuse) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let max_idle = match reuse {
            Reuse::Keep => usize::MAX,
            Reuse::Fresh => 0,
        };
        let inner = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(max_idle)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns the response once its head has arrived; the body is still to be read.
    ///
    /// # Errors
    /// [`CallError::NotSent`] if no connection was established, or a kept one closed before anything was sent; otherwise
    /// [`CallError::Lost`], also if the head does not state where the body ends.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
        let resp = self.inner.request(req).await.map_err(|e| {
            let why = error_chain(&e);
            if e.is_connect() || is_cancelled(&e) { CallError::NotSent(why) } else { CallError::Lost(why) }
        })?;
        framing::check(resp.headers()).map_err(|e| CallError::Lost(e.to_string()))?;
        Ok(resp)
    }

    /// Sends a request and reads the complete response, within `timeout`.
    ///
    /// # Errors
    /// As [`HttpClient::send`]; a response that arrives late or is too large counts as [`CallError::Lost`].
    pub async fn fetch(&self, req: Request<Full<Bytes>>, timeout: Duration) -> Result<(StatusCode, Bytes), CallError> {
        let answer = async {
            let resp = self.send(req).await?;
            let status = resp.status();
            let body = Limited::new(resp.into_body(), MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|e| CallError::Lost(e.to_string()))?;
            Ok((status, body.to_bytes()))
        };
        tokio::time::timeout(timeout, answer)
            .await
            .unwrap_or_else(|_| Err(CallError::Lost("no answer in time".to_owned())))
    }

    /// Posts a JSON value and parses the JSON response.
    ///
    /// # Errors
    /// As [`HttpClient::fetch`]. A response with an error status is [`CallError::Refused`], except that server errors
    /// other than 503 are [`CallError::Lost`], as is a response that cannot be parsed.
    pub async fn post<A: Serialize, B: DeserializeOwned>(
        &self,
        url: &str,
        value: &A,
        timeout: Duration,
    ) -> Result<B, CallError> {
        let body = serde_json::to_vec(value).map_err(|e| CallError::NotSent(e.to_string()))?;
        let req = Request::post(url)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(body))
            .map_err(|e| CallError::NotSent(e.to_string()))?;
        parse_response(self.fetch(req, timeout).await?)
    }

    /// Sends a GET request and parses the JSON response.
    ///
    /// # Errors
    /// As [`HttpClient::post`].
    pub async fn get<B: DeserializeOwned>(&self, url: &str, timeout: Duration) -> Result<B, CallError> {
        let req = Request::get(url).body(Full::default()).map_err(|e| CallError::NotSent(e.to_string()))?;
        parse_response(self.fetch(req, timeout).await?)
    }
}

fn parse_response<B: DeserializeOwned>((status, body): (StatusCode, Bytes)) -> Result<B, CallError> {
    if !status.is_success() {
        let text = String::from_utf8_lossy(&body).into_owned();
        return if status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE {
            Err(CallError::Lost(format!("status {status}: {text}")))
        } else {
            Err(CallError::Refused(status.as_u16(), text))
        };
    }
    serde_json::from_slice(&body).map_err(|e| CallError::Lost(format!("unreadable answer: {e}")))
}

/// Whether a request was cancelled before it was written to its connection.
fn is_cancelled(error: &dyn std::error::Error) -> bool {
    let source = error.source().and_then(|e| e.downcast_ref::<hyper::Error>());
    source.is_some_and(hyper::Error::is_canceled)
}

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut out = error.to_string();
    let mut source = error.source();
    while let Some(e) = source {
        out = format!("{out}: {e}");
        source = e.source();
    }
    out
}

//! An HTTP client that never sends a request twice by itself.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::CallError;

pub use hyper::body::Incoming;

/// Bytes of an answer that are read at most.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which bytes that the other side's kernel has not acknowledged are given up. It
/// bounds how long a dead process's bytes can still arrive.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Whether connections are kept for further calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// They are.
    Keep,
    /// Each call has its own, so that it cannot fall into one that is just being closed.
    Fresh,
}

/// The client.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client.
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

    /// Send a request and return the answer's head, its body still to come.
    ///
    /// # Errors
    /// [`CallError::NotSent`] when no connection was made, else [`CallError::Lost`].
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
        self.inner.request(req).await.map_err(|e| {
            if e.is_connect() { CallError::NotSent(e.to_string()) } else { CallError::Lost(error_chain(&e)) }
        })
    }

    /// Send a request and read the whole answer, within `timeout`.
    ///
    /// # Errors
    /// As [`HttpClient::send`]; an answer that comes late or is too large counts as lost.
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

    /// Post a JSON value and read a JSON answer.
    ///
    /// # Errors
    /// As [`HttpClient::fetch`]; an error status is [`CallError::Refused`].
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

    /// Get a JSON answer.
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

fn error_chain(error: &dyn std::error::Error) -> String {
    let mut out = error.to_string();
    let mut source = error.source();
    while let Some(e) = source {
        out = format!("{out}: {e}");
        source = e.source();
    }
    out
}

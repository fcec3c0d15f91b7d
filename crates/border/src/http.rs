//! HTTP client that never sends a request twice.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Request, Response, StatusCode, Uri,
    header::{CONTENT_TYPE, HOST},
    response,
    uri::{Authority, PathAndQuery},
};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::Builder;
use hyper_util::client::legacy::connect::HttpConnector;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::Instant;
use tower::ServiceExt;

use crate::{
    connection::{Answered, Connection},
    error::CallError,
    framing,
    idle::IdleConnections,
};

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
    connector: HttpConnector,
    idle: Option<Arc<Idle>>,
}

type Idle = IdleConnections<Authority, Full<Bytes>, Instant>;

impl HttpClient {
    /// Creates a client.
    #[must_use]
    pub fn new(reuse: Reuse) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let idle = match reuse {
            Reuse::Keep => Some(Arc::default()),
            Reuse::Fresh => None,
        };
        Self { connector, idle }
    }

    /// Sends a request and returns the response once its head has arrived; the body is still to be read. The extensions of
    /// the response contain its [`CallNumber`](crate::connection::CallNumber).
    ///
    /// A kept connection that ends before anything was sent is replaced by another.
    ///
    /// # Errors
    /// [`CallError::NotSent`] if no connection was established, or a new one ended before anything was sent; otherwise
    /// [`CallError::Lost`], also if the head does not state where the body ends.
    pub async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, CallError> {
        let (authority, answered) = self.exchange(req).await?;
        self.keep(&authority, answered.conn);
        Ok(answered.resp)
    }

    /// Like [`Self::send`], to a server that may answer a call twice. A connection is kept only after an answer that names
    /// its call, since any other may be followed by a second one that cannot be told from the answer to the next call.
    ///
    /// # Errors
    /// As [`Self::send`]; [`CallError::Lost`] also if the answer does not name its call and the connection has carried
    /// others.
    pub async fn send_named(
        &self,
        req: Request<Full<Bytes>>,
        names_call: impl Fn(&HeaderMap) -> bool,
    ) -> Result<Response<Incoming>, CallError> {
        let (authority, answered) = self.exchange(req).await?;
        if names_call(answered.resp.headers()) {
            self.keep(&authority, answered.conn);
        } else if !answered.number.is_first() {
            return Err(CallError::Lost("the answer does not name its call".to_owned()));
        }
        Ok(answered.resp)
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<(Authority, Answered<Full<Bytes>>), CallError> {
        let target = req.uri().clone();
        let authority = target.authority().ok_or_else(|| CallError::NotSent(format!("{target} has no host")))?;
        let mut req = with_host(req, authority)?;
        while let Some(conn) = self.idle.as_ref().and_then(|idle| idle.take(authority, None, Instant::now())) {
            match conn.send(req, None).await {
                Ok(answered) => return checked(authority, answered),
                Err(mut e) => match e.take_message() {
                    Some(unsent) => req = unsent,
                    None => return Err(CallError::Lost(error_chain(&e.into_error()))),
                },
            }
        }
        let conn = self.connect(target.clone()).await?;
        let answered = conn.send(req, None).await.map_err(|mut e| {
            let is_unsent = e.take_message().is_some();
            let why = error_chain(&e.into_error());
            if is_unsent { CallError::NotSent(why) } else { CallError::Lost(why) }
        })?;
        checked(authority, answered)
    }

    async fn connect(&self, target: Uri) -> Result<Connection<Full<Bytes>>, CallError> {
        let stream = self.connector.clone().oneshot(target).await.map_err(|e| CallError::NotSent(error_chain(&e)))?;
        let conn = Connection::start(stream.into_inner(), &Builder::new()).await;
        conn.map_err(|e| CallError::NotSent(error_chain(&e)))
    }

    /// Keeps the connection of a response, which accepts the next request once the body was read.
    fn keep(&self, authority: &Authority, conn: Option<Connection<Full<Bytes>>>) {
        if let (Some(idle), Some(conn)) = (&self.idle, conn) {
            let is_first = idle.keep(authority.clone(), conn, Instant::now() + IDLE_TIMEOUT, usize::MAX);
            if is_first {
                tokio::spawn(close_expired(Arc::downgrade(idle)));
            }
        }
    }

    /// Sends a request and reads the complete response, within `timeout`.
    ///
    /// # Errors
    /// As [`HttpClient::send`]; a response that arrives late or is too large counts as [`CallError::Lost`].
    pub async fn fetch(&self, req: Request<Full<Bytes>>, timeout: Duration) -> Result<(StatusCode, Bytes), CallError> {
        let (head, body) = self.fetch_with_head(req, timeout).await?;
        Ok((head.status, body))
    }

    /// Sends a request and reads the complete response with its head, within `timeout`.
    ///
    /// # Errors
    /// As [`HttpClient::fetch`].
    pub async fn fetch_with_head(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(response::Parts, Bytes), CallError> {
        let (head, body) = self.fetch_limited(req, timeout).await?;
        let body = body.ok_or_else(|| CallError::Lost("the answer is too large".to_owned()))?;
        Ok((head, body))
    }

    /// Like [`Self::fetch_with_head`], with `None` in place of a body that is too large.
    ///
    /// # Errors
    /// As [`HttpClient::send`]; a response that arrives late counts as [`CallError::Lost`].
    pub async fn fetch_limited(
        &self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(response::Parts, Option<Bytes>), CallError> {
        let answer = async {
            let (head, body) = self.send(req).await?.into_parts();
            match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
                Ok(body) => Ok((head, Some(body.to_bytes()))),
                Err(e) if e.is::<LengthLimitError>() => Ok((head, None)),
                Err(e) => Err(CallError::Lost(e.to_string())),
            }
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

/// Checks that the head of a response states where its body ends.
fn checked(
    authority: &Authority,
    mut answered: Answered<Full<Bytes>>,
) -> Result<(Authority, Answered<Full<Bytes>>), CallError> {
    framing::check(answered.resp.status(), answered.resp.headers()).map_err(|e| CallError::Lost(e.to_string()))?;
    answered.resp.extensions_mut().insert(answered.number);
    Ok((authority.clone(), answered))
}

/// Adds the `Host` header, and reduces the target to its path, as HTTP/1.1 servers expect it.
fn with_host(mut req: Request<Full<Bytes>>, authority: &Authority) -> Result<Request<Full<Bytes>>, CallError> {
    if !req.headers().contains_key(HOST) {
        let host = HeaderValue::from_str(authority.as_str()).map_err(|e| CallError::NotSent(e.to_string()))?;
        req.headers_mut().insert(HOST, host);
    }
    let path = req.uri().path_and_query().cloned();
    *req.uri_mut() = path.unwrap_or_else(|| PathAndQuery::from_static("/")).into();
    Ok(req)
}

/// Closes connections when they expire, as long as any are kept.
async fn close_expired(idle: Weak<Idle>) {
    loop {
        tokio::time::sleep(IDLE_TIMEOUT).await;
        let is_any_left = idle.upgrade().is_some_and(|idle| idle.close_expired(Instant::now()));
        if !is_any_left {
            return;
        }
    }
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

//! Calls to a daemon's operator address.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use dahliaseam_border::{
    error::CallError,
    http::{HttpClient, Incoming, Reuse},
};
use dahliaseam_wire::operator::ApiError;
use http::{Method, Request, Response, header::AUTHORIZATION};
use http_body_util::{BodyExt, Full};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::CommandError;

/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Where a daemon is and how operators prove themselves.
#[derive(Clone, Debug)]
pub struct Target {
    /// `IP:port` of its operator address.
    pub address: String,
    /// The operators' token.
    pub token: String,
}

/// A client of the resource API.
#[derive(Clone, Debug)]
pub struct Client {
    target: Target,
    http: HttpClient,
}

impl Client {
    /// A client.
    #[must_use]
    pub fn new(target: Target) -> Self {
        Self { target, http: HttpClient::new(Reuse::Fresh) }
    }

    /// Make a call.
    ///
    /// # Errors
    /// Why it was refused, or has no answer.
    pub async fn call<A: Serialize, B: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&A>,
    ) -> Result<B, CommandError> {
        let req = self.request(method, path, body)?;
        let (status, body) = self.http.fetch(req, CALL_TIMEOUT).await?;
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|e| CommandError::Answer(e.to_string()));
        }
        Err(api_error(&body))
    }

    /// Get a JSON answer.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn get<B: DeserializeOwned>(&self, path: &str) -> Result<B, CommandError> {
        self.call::<(), B>(Method::GET, path, None).await
    }

    /// Open a stream of lines.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn lines(&self, path: &str) -> Result<Lines, CommandError> {
        let resp = self.http.send(self.request::<()>(Method::GET, path, None)?).await?;
        if resp.status().is_success() {
            return Ok(Lines { resp, buf: BytesMut::new() });
        }
        let body = resp.into_body().collect().await.map_err(|e| CallError::Lost(e.to_string()))?;
        Err(api_error(&body.to_bytes()))
    }

    fn request<A: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: Option<&A>,
    ) -> Result<Request<Full<Bytes>>, CommandError> {
        let usage = |why: String| CommandError::Usage(why);
        let body = match body {
            Some(body) => serde_json::to_vec(body).map_err(|e| usage(e.to_string()))?,
            None => Vec::new(),
        };
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.target.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.target.token))
            .body(Full::from(body))
            .map_err(|e| usage(e.to_string()))
    }
}

fn api_error(body: &[u8]) -> CommandError {
    match serde_json::from_slice::<ApiError>(body) {
        Ok(error) => CommandError::Api(Box::new(error)),
        Err(e) => CommandError::Answer(e.to_string()),
    }
}

/// Lines of an answer that goes on.
#[derive(Debug)]
pub struct Lines {
    resp: Response<Incoming>,
    buf: BytesMut,
}

impl Lines {
    /// The next line, or nothing when the answer is over.
    ///
    /// # Errors
    /// Why the answer broke off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, CommandError> {
        loop {
            if let Some(end) = self.buf.iter().position(|b| *b == b'\n') {
                return Ok(Some(self.buf.split_to(end + 1).freeze()));
            }
            let Some(frame) = self.resp.body_mut().frame().await else { return Ok(None) };
            let frame = frame.map_err(|e| CallError::Lost(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.buf.extend_from_slice(&data);
            }
        }
    }
}

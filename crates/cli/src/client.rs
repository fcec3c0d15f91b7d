//! Client of a daemon's operator API.

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

/// Time limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Address of a daemon and token of the operator.
#[derive(Clone, Debug)]
pub struct Target {
    /// Operator address of the daemon, as `IP:port`.
    pub address: String,
    /// Operator token.
    pub token: String,
}

/// Client of the resource API.
#[derive(Clone, Debug)]
pub struct Client {
    target: Target,
    http: HttpClient,
}

impl Client {
    /// Creates a client.
    #[must_use]
    pub fn new(target: Target) -> Self {
        Self { target, http: HttpClient::new(Reuse::Fresh) }
    }

    /// Makes a call and parses the JSON response.
    ///
    /// # Errors
    /// Returns an error if the daemon refused the call or no valid response arrived.
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

    /// Makes a GET call and parses the JSON response.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn get<B: DeserializeOwned>(&self, path: &str) -> Result<B, CommandError> {
        self.call::<(), B>(Method::GET, path, None).await
    }

    /// Makes a GET call whose response is a stream of lines.
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

/// Lines of a streamed response.
#[derive(Debug)]
pub struct Lines {
    resp: Response<Incoming>,
    buf: BytesMut,
}

impl Lines {
    /// Returns the next line, or `None` at the end of the stream.
    ///
    /// # Errors
    /// Returns an error if the connection breaks or the stream ends within a line.
    pub async fn next(&mut self) -> Result<Option<Bytes>, CommandError> {
        loop {
            if let Some(end) = self.buf.iter().position(|b| *b == b'\n') {
                return Ok(Some(self.buf.split_to(end + 1).freeze()));
            }
            let Some(frame) = self.resp.body_mut().frame().await else {
                return self.end();
            };
            let frame = frame.map_err(|e| CallError::Lost(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.buf.extend_from_slice(&data);
            }
        }
    }

    fn end(&self) -> Result<Option<Bytes>, CommandError> {
        if self.buf.is_empty() {
            return Ok(None);
        }
        Err(CommandError::Answer("the stream ended within a line".to_owned()))
    }
}

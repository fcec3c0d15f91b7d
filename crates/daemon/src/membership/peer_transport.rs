//! HTTP transport of the JSON-RPC clients of other daemons.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use dahliaseam_border::http::{HttpClient, Incoming, Reuse};
use http::Request;
use http_body_util::{BodyExt, Full};
use jsonrpsee::{
    core::http_helpers::HttpError,
    http_client::{HttpRequest, HttpResponse, transport::Error},
};
use tower::{Layer, Service};

/// Sends JSON-RPC calls with the project's HTTP client in place of the library's own.
///
/// A call of the library's own client waits for its time limit if the connection ends while the call is being queued.
#[derive(Clone, Debug)]
pub struct PeerTransport {
    http: HttpClient,
}

impl Default for PeerTransport {
    fn default() -> Self {
        Self { http: HttpClient::new(Reuse::Keep) }
    }
}

impl<S> Layer<S> for PeerTransport {
    type Service = Self;

    fn layer(&self, _library: S) -> Self {
        self.clone()
    }
}

impl Service<HttpRequest> for PeerTransport {
    type Response = HttpResponse<Incoming>;
    type Error = Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Error>> + Send>>;

    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: HttpRequest) -> Self::Future {
        let http = self.http.clone();
        Box::pin(async move {
            let (head, body) = req.into_parts();
            let body = body.collect().await.map_err(HttpError::Stream)?.to_bytes();
            let resp = http.send(Request::from_parts(head, Full::new(body))).await;
            Ok(resp.map_err(|e| HttpError::Stream(e.into()))?)
        })
    }
}

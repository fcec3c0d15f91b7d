//! One attempt at an endpoint.

use std::sync::Arc;

use bytes::Bytes;
use dahliaseam_border::{
    connection::CallNumber,
    error::CallError,
    http::{HttpClient, Incoming, Reuse},
};
use dahliaseam_core::{
    dispatch::Site,
    frame::{Assembly, FrameAction},
    outcome::AttemptEnd,
};
use dahliaseam_wire::engine::{ATTEMPT, EXTENSION, FrameExtension, Import, NOT_RUN, REQUEST, RequestExtension};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::{HeaderMap, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyDataStream, BodyExt, Full, Limited};
use serde_json::Value;
use tokio::sync::mpsc;
use tracing::{Instrument, info_span};

use crate::{
    dispatch::{
        desk::{Dispatch, Target, Ticket},
        progress::Progress,
    },
    emit,
    node::Node,
    telemetry,
};

/// Maximum number of bytes read from an endpoint's error response.
const MAX_ERROR_BYTES: usize = 4 << 10;

/// HTTP clients for calls to endpoints.
#[derive(Clone, Debug)]
pub struct Clients {
    /// For requests that may be repeated; reuses connections.
    pub reused: HttpClient,
    /// For requests that must not be repeated; opens a connection for each, because the endpoint might close a reused
    /// one while the request is being written.
    pub fresh: HttpClient,
}

impl Default for Clients {
    fn default() -> Self {
        Self { reused: HttpClient::new(Reuse::Keep), fresh: HttpClient::new(Reuse::Fresh) }
    }
}

impl Clients {
    /// The client for requests of a kind, by whether they may be repeated.
    #[must_use]
    pub const fn for_kind(&self, repeatable: bool) -> &HttpClient {
        if repeatable { &self.reused } else { &self.fresh }
    }
}

/// A piece of an answer, on its way to the caller.
#[derive(Debug)]
pub enum Piece {
    /// Text, and its number of tokens.
    Text(String, u32),
    /// The answer is complete; holds the engine's finish reason.
    End(String),
    /// The request has ended without a complete answer.
    Failed(crate::dispatch::failure::Failure),
}

/// How an attempt ended, and at which of its engines.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// Engine at which it ended.
    pub site: Site,
    /// Body of the endpoint's error response, empty if there was none.
    pub detail: String,
}

impl AttemptResult {
    fn new(end: AttemptEnd, site: Site) -> Self {
        Self { end, site, detail: String::new() }
    }

    fn serving(end: AttemptEnd) -> Self {
        Self::new(end, Site::Serving)
    }
}

/// Parameters of a call to an engine that are the same for each attempt.
#[derive(Debug)]
pub struct EngineCall<'a> {
    /// Path of the request.
    pub path: &'static str,
    /// Body from the caller.
    pub body: &'a serde_json::Map<String, Value>,
    /// Identifier of the request.
    pub request: &'a str,
    /// Priority of the request's kind.
    pub priority: u8,
    /// Whether the request may be repeated.
    pub repeatable: bool,
    /// Where received tokens are recorded.
    pub progress: &'a Progress,
}

/// Makes an attempt at the dispatch's endpoint, and sends the pieces of the answer to `out`.
pub async fn generate(
    node: &Arc<Node>,
    clients: &Clients,
    call: &EngineCall<'_>,
    dispatch: &Dispatch,
    assembly: &mut Assembly,
    ticket: &mut Ticket,
    out: &mpsc::Sender<Piece>,
) -> AttemptResult {
    let span = info_span!(
        "attempt",
        attempt = dispatch.attempt,
        endpoint = dispatch.endpoint.name,
        prefill = dispatch.prefill.as_ref().map(|t| t.name.as_str()),
    );
    let work = generate_inner(node, clients, call, dispatch, assembly, out).instrument(span);
    tokio::select! {
        ended = work => ended,
        end = ticket.stopped() => AttemptResult::serving(end),
        () = out.closed() => AttemptResult::serving(AttemptEnd::Cancelled),
    }
}

async fn generate_inner(
    node: &Arc<Node>,
    clients: &Clients,
    call: &EngineCall<'_>,
    dispatch: &Dispatch,
    assembly: &mut Assembly,
    out: &mpsc::Sender<Piece>,
) -> AttemptResult {
    let mut extension = RequestExtension {
        request: call.request.to_owned(),
        attempt: dispatch.attempt,
        priority: call.priority,
        resume_at: assembly.delivered(),
        export: false,
        import: None,
    };
    let client = clients.for_kind(call.repeatable);
    if let Some(prefill) = &dispatch.prefill {
        match run_prefill(client, call, &extension, prefill).await {
            Ok(import) => extension.import = Some(import),
            Err(end) => return AttemptResult::new(end, Site::Prefill),
        }
    }
    assembly.resume(dispatch.attempt);
    let prompt_ran = extension.import.is_some();
    let resp = match start_call(client, call, &extension, &dispatch.endpoint).await {
        Ok(resp) => resp,
        Err(mut ended) => {
            // The prompt was prefilled at another engine, so "not run" would be wrong.
            if prompt_ran && ended.end.is_certainly_not_run() {
                ended.end = AttemptEnd::Broken;
            }
            return ended;
        }
    };
    AttemptResult::serving(receive(node, call, assembly, resp, out).await)
}

/// Has `target` prefill the prompt, and returns the location from which its KV cache can be imported.
async fn run_prefill(
    client: &HttpClient,
    call: &EngineCall<'_>,
    extension: &RequestExtension,
    target: &Target,
) -> Result<Import, AttemptEnd> {
    let extension = RequestExtension { export: true, ..extension.clone() };
    let resp = start_call(client, call, &extension, target).await.map_err(|ended| ended.end)?;
    let mut events = BodyDataStream::new(resp.into_body()).eventsource();
    while let Some(event) = events.next().await {
        let event = event.map_err(|_| AttemptEnd::Broken)?;
        let Some((frame, _, _)) = parse_frame(&event.data) else { continue };
        let is_own = frame.id.request == extension.request && frame.id.attempt == extension.attempt;
        if let Some(handle) = frame.handle.filter(|_| is_own && frame.end) {
            return Ok(Import { from: target.address.to_string(), handle });
        }
    }
    Err(AttemptEnd::Broken)
}

/// Sends a request to an engine and checks the status of its response.
async fn start_call(
    client: &HttpClient,
    call: &EngineCall<'_>,
    extension: &RequestExtension,
    target: &Target,
) -> Result<Response<Incoming>, AttemptResult> {
    let mut body = call.body.clone();
    body.insert("stream".to_owned(), Value::Bool(true));
    body.insert(EXTENSION.to_owned(), serde_json::to_value(extension).unwrap_or_default());
    let body = Bytes::from(Value::Object(body).to_string());
    let req = Request::post(format!("http://{}{}", target.address, call.path))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body));
    let Ok(mut req) = req else {
        return Err(AttemptResult::serving(AttemptEnd::NotSent));
    };
    telemetry::inject(&tracing::Span::current(), req.headers_mut());
    let resp = client.send(req).await.map_err(|e| AttemptResult::serving(attempt_end(&e)))?;
    check_response(resp, &CallName { request: call.request, attempt: extension.attempt }).await
}

/// How an attempt ends if its call failed without a response.
#[must_use]
pub const fn attempt_end(error: &CallError) -> AttemptEnd {
    match error {
        CallError::NotSent(_) => AttemptEnd::NotSent,
        CallError::Lost(_) | CallError::Refused(..) => AttemptEnd::Lost,
    }
}

async fn check_response(resp: Response<Incoming>, name: &CallName<'_>) -> Result<Response<Incoming>, AttemptResult> {
    let status = resp.status();
    if status.is_success() {
        return Ok(resp);
    }
    let end = if name.is_rejected_by(&resp) {
        AttemptEnd::Refused
    } else if status.is_client_error() {
        AttemptEnd::Rejected
    } else {
        AttemptEnd::Lost
    };
    let body = Limited::new(resp.into_body(), MAX_ERROR_BYTES).collect().await;
    let detail = body.map(|b| String::from_utf8_lossy(&b.to_bytes()).into_owned()).unwrap_or_default();
    Err(AttemptResult { end, site: Site::Serving, detail })
}

/// The name of a call, which endpoints repeat in the headers of their answers.
#[derive(Clone, Copy, Debug)]
pub struct CallName<'a> {
    /// Identifier of the request.
    pub request: &'a str,
    /// Number of the attempt.
    pub attempt: u32,
}

impl CallName<'_> {
    /// Whether these headers of an answer name this call.
    #[must_use]
    pub fn is_in(&self, headers: &HeaderMap) -> bool {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        text(REQUEST) == Some(self.request)
            && text(ATTEMPT).and_then(|attempt| attempt.parse().ok()) == Some(self.attempt)
    }

    /// Whether the endpoint states that it did not run this call. An answer that does not name it states that only on a
    /// connection which has carried no other call.
    #[must_use]
    pub fn is_rejected_by(&self, resp: &Response<Incoming>) -> bool {
        let status_fits = matches!(resp.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::FAILED_DEPENDENCY);
        let is_first = resp.extensions().get::<CallNumber>().is_some_and(|number| number.is_first());
        status_fits && resp.headers().contains_key(NOT_RUN) && (is_first || self.is_in(resp.headers()))
    }
}

async fn receive(
    node: &Arc<Node>,
    call: &EngineCall<'_>,
    assembly: &mut Assembly,
    resp: Response<Incoming>,
    out: &mpsc::Sender<Piece>,
) -> AttemptEnd {
    let mut events = BodyDataStream::new(resp.into_body()).eventsource();
    while let Some(event) = events.next().await {
        let Ok(event) = event else { return AttemptEnd::Broken };
        let Some((frame, text, finish)) = parse_frame(&event.data) else { continue };
        if frame.end {
            if assembly.is_whole(&frame.id) {
                let _ = out.send(Piece::End(finish)).await;
                return AttemptEnd::Whole;
            }
            if assembly.accept(&frame.id, 0) == FrameAction::Foreign {
                drop_frame(node, call.request, "foreign");
                continue;
            }
            return AttemptEnd::Broken;
        }
        match deliver(assembly, &frame, text, out).await {
            Ok(FrameAction::Deliver) => call.progress.record_tokens(frame.tokens),
            Ok(FrameAction::Foreign) => drop_frame(node, call.request, "foreign"),
            Ok(FrameAction::Duplicate) => drop_frame(node, call.request, "duplicate"),
            Ok(FrameAction::Gap) => return AttemptEnd::Broken,
            Err(CallerGone) => return AttemptEnd::Cancelled,
        }
    }
    AttemptEnd::Broken
}

/// The caller accepts no more pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// Passes a frame's text on to the caller if it is the next piece of the answer.
///
/// # Errors
/// If the caller accepts no more.
pub async fn deliver(
    assembly: &mut Assembly,
    frame: &FrameExtension,
    text: String,
    out: &mpsc::Sender<Piece>,
) -> Result<FrameAction, CallerGone> {
    // Wait for room in the queue first, and count the piece as delivered only together with sending it: the attempt may
    // be stopped at any await, and the next attempt resumes after the last piece that was counted.
    let permit = out.reserve().await.map_err(|_| CallerGone)?;
    let action = assembly.accept(&frame.id, frame.tokens);
    if action == FrameAction::Deliver {
        permit.send(Piece::Text(text, frame.tokens));
    }
    Ok(action)
}

fn drop_frame(node: &Node, request: &str, why: &'static str) {
    node.metrics.frame_dropped(why);
    emit!(debug, FRAME_DROPPED, request, why);
}

/// Parses a frame into its extension, text and finish reason.
fn parse_frame(data: &str) -> Option<(FrameExtension, String, String)> {
    let value: Value = serde_json::from_str(data).ok()?;
    let frame = serde_json::from_value(value.get(EXTENSION)?.clone()).ok()?;
    let choice = value.get("choices").and_then(|c| c.get(0))?;
    let text = choice.get("text").or_else(|| choice.pointer("/delta/content"));
    let text = text.and_then(Value::as_str).unwrap_or_default().to_owned();
    let finish = choice.get("finish_reason").and_then(Value::as_str).unwrap_or("stop").to_owned();
    Some((frame, text, finish))
}

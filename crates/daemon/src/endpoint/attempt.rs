//! One try at an endpoint.

use std::sync::Arc;

use bytes::Bytes;
use dahliaseam_border::{
    error::CallError,
    http::{HttpClient, Incoming, Reuse},
};
use dahliaseam_core::{
    dispatch::Site,
    frame::{Assembly, Verdict},
    outcome::AttemptEnd,
};
use dahliaseam_wire::engine::{EXTENSION, FrameExtension, Import, NOT_RUN, RequestExtension};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http::{Request, Response, StatusCode, header::CONTENT_TYPE};
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

/// Bytes of an endpoint's error that are read.
const MAX_ERROR: usize = 4 << 10;

/// The clients that reach endpoints.
#[derive(Clone, Debug)]
pub struct Clients {
    /// For requests that may be repeated.
    pub kept: HttpClient,
    /// For those that may not: a fresh connection cannot close under the write.
    pub fresh: HttpClient,
}

impl Default for Clients {
    fn default() -> Self {
        Self { kept: HttpClient::new(Reuse::Keep), fresh: HttpClient::new(Reuse::Fresh) }
    }
}

impl Clients {
    /// The client for a kind.
    #[must_use]
    pub const fn of(&self, repeatable: bool) -> &HttpClient {
        if repeatable { &self.kept } else { &self.fresh }
    }
}

/// A piece of an answer, on its way to the caller.
#[derive(Debug)]
pub enum Piece {
    /// Text of so many tokens.
    Text(String, u32),
    /// The whole answer is there; why the engine ended it.
    End(String),
    /// The request is over without a whole answer.
    Failed(crate::dispatch::failure::Failure),
}

/// How an attempt ended, and at which of its engines.
#[derive(Clone, Debug)]
pub struct Ended {
    /// How.
    pub end: AttemptEnd,
    /// Where.
    pub at: Site,
    /// The endpoint's own words, when it rejected the request.
    pub words: String,
}

impl Ended {
    fn new(end: AttemptEnd, at: Site) -> Self {
        Self { end, at, words: String::new() }
    }

    fn serving(end: AttemptEnd) -> Self {
        Self::new(end, Site::Serving)
    }
}

/// What an engine is asked, besides the dispatch.
#[derive(Debug)]
pub struct EngineAsk<'a> {
    /// The request's path.
    pub path: &'static str,
    /// The caller's body.
    pub body: &'a serde_json::Map<String, Value>,
    /// The request's identifier.
    pub request: &'a str,
    /// The priority of its kind.
    pub priority: u8,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Where its tokens are noted.
    pub progress: &'a Progress,
}

/// Generate at the dispatch's endpoint, and pass pieces on to `out`.
pub async fn generate(
    node: &Arc<Node>,
    clients: &Clients,
    ask: &EngineAsk<'_>,
    dispatch: &Dispatch,
    assembly: &mut Assembly,
    ticket: &mut Ticket,
    out: &mpsc::Sender<Piece>,
) -> Ended {
    let span = info_span!(
        "attempt",
        attempt = dispatch.attempt,
        endpoint = dispatch.endpoint.name,
        prefill = dispatch.prefill.as_ref().map(|t| t.name.as_str()),
    );
    let work = generate_inner(node, clients, ask, dispatch, assembly, out).instrument(span);
    tokio::select! {
        ended = work => ended,
        end = ticket.stopped() => Ended::serving(end),
        () = out.closed() => Ended::serving(AttemptEnd::Cancelled),
    }
}

async fn generate_inner(
    node: &Arc<Node>,
    clients: &Clients,
    ask: &EngineAsk<'_>,
    dispatch: &Dispatch,
    assembly: &mut Assembly,
    out: &mpsc::Sender<Piece>,
) -> Ended {
    let mut head = RequestExtension {
        request: ask.request.to_owned(),
        attempt: dispatch.attempt,
        priority: ask.priority,
        resume_at: assembly.delivered(),
        export: false,
        import: None,
    };
    let client = clients.of(ask.repeatable);
    if let Some(prefill) = &dispatch.prefill {
        match export(client, ask, &head, prefill).await {
            Ok(import) => head.import = Some(import),
            Err(end) => return Ended::new(end, Site::Prefill),
        }
    }
    assembly.resume(dispatch.attempt);
    let prompt_ran = head.import.is_some();
    let resp = match open(client, ask, &head, &dispatch.endpoint).await {
        Ok(resp) => resp,
        Err(mut ended) => {
            // The prompt was processed elsewhere, so "not run" would not be true.
            if prompt_ran && ended.end.is_certainly_not_run() {
                ended.end = AttemptEnd::Broken;
            }
            return ended;
        }
    };
    Ended::serving(receive(node, ask, assembly, resp, out).await)
}

/// Have `target` process the prompt, and learn where its KV cache is.
async fn export(
    client: &HttpClient,
    ask: &EngineAsk<'_>,
    head: &RequestExtension,
    target: &Target,
) -> Result<Import, AttemptEnd> {
    let head = RequestExtension { export: true, ..head.clone() };
    let resp = open(client, ask, &head, target).await.map_err(|ended| ended.end)?;
    let mut events = BodyDataStream::new(resp.into_body()).eventsource();
    while let Some(event) = events.next().await {
        let event = event.map_err(|_| AttemptEnd::Broken)?;
        let Some((mark, _, _)) = read_frame(&event.data) else { continue };
        let ours = mark.id.request == head.request && mark.id.attempt == head.attempt;
        if let Some(handle) = mark.handle.filter(|_| ours && mark.end) {
            return Ok(Import { from: target.address.to_string(), handle });
        }
    }
    Err(AttemptEnd::Broken)
}

/// Send a request to an engine and judge the head of its answer.
async fn open(
    client: &HttpClient,
    ask: &EngineAsk<'_>,
    head: &RequestExtension,
    target: &Target,
) -> Result<Response<Incoming>, Ended> {
    let mut body = ask.body.clone();
    body.insert("stream".to_owned(), Value::Bool(true));
    body.insert(EXTENSION.to_owned(), serde_json::to_value(head).unwrap_or_default());
    let body = Bytes::from(Value::Object(body).to_string());
    let req = Request::post(format!("http://{}{}", target.address, ask.path))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body));
    let Ok(mut req) = req else {
        return Err(Ended::serving(AttemptEnd::NotSent));
    };
    telemetry::inject(&tracing::Span::current(), req.headers_mut());
    let resp = client.send(req).await.map_err(|e| Ended::serving(end_of(&e)))?;
    judge(resp).await
}

/// How an attempt ends when its call gave no answer.
#[must_use]
pub const fn end_of(error: &CallError) -> AttemptEnd {
    match error {
        CallError::NotSent(_) => AttemptEnd::NotSent,
        CallError::Lost(_) | CallError::Refused(..) => AttemptEnd::Lost,
    }
}

async fn judge(resp: Response<Incoming>) -> Result<Response<Incoming>, Ended> {
    let status = resp.status();
    if status.is_success() {
        return Ok(resp);
    }
    let end = if is_not_run(&resp) {
        AttemptEnd::Refused
    } else if status.is_client_error() {
        AttemptEnd::Rejected
    } else {
        AttemptEnd::Lost
    };
    let body = Limited::new(resp.into_body(), MAX_ERROR).collect().await;
    let words = body.map(|b| String::from_utf8_lossy(&b.to_bytes()).into_owned()).unwrap_or_default();
    Err(Ended { end, at: Site::Serving, words })
}

/// Whether an endpoint vouches that nothing ran.
#[must_use]
pub fn is_not_run(resp: &Response<Incoming>) -> bool {
    let refuses = matches!(resp.status(), StatusCode::SERVICE_UNAVAILABLE | StatusCode::FAILED_DEPENDENCY);
    refuses && resp.headers().contains_key(NOT_RUN)
}

async fn receive(
    node: &Arc<Node>,
    ask: &EngineAsk<'_>,
    assembly: &mut Assembly,
    resp: Response<Incoming>,
    out: &mpsc::Sender<Piece>,
) -> AttemptEnd {
    let mut events = BodyDataStream::new(resp.into_body()).eventsource();
    while let Some(event) = events.next().await {
        let Ok(event) = event else { return AttemptEnd::Broken };
        let Some((mark, text, finish)) = read_frame(&event.data) else { continue };
        if mark.end {
            if assembly.is_whole(&mark.id) {
                let _ = out.send(Piece::End(finish)).await;
                return AttemptEnd::Whole;
            }
            if assembly.accept(&mark.id, 0) == Verdict::Foreign {
                drop_frame(node, ask.request, "foreign");
                continue;
            }
            return AttemptEnd::Broken;
        }
        match deliver(assembly, &mark, text, out).await {
            Ok(Verdict::Deliver) => ask.progress.note(mark.tokens),
            Ok(Verdict::Foreign) => drop_frame(node, ask.request, "foreign"),
            Ok(Verdict::Duplicate) => drop_frame(node, ask.request, "duplicate"),
            Ok(Verdict::Gap) => return AttemptEnd::Broken,
            Err(Closed) => return AttemptEnd::Cancelled,
        }
    }
    AttemptEnd::Broken
}

/// The caller takes no more pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed;

/// Pass a frame's text on if it is the next of its answer.
///
/// # Errors
/// If the caller takes no more.
pub async fn deliver(
    assembly: &mut Assembly,
    mark: &FrameExtension,
    text: String,
    out: &mpsc::Sender<Piece>,
) -> Result<Verdict, Closed> {
    // It counts as delivered together with its being passed on: the attempt may be stopped at any wait, and the next one
    // goes on after what counts.
    let room = out.reserve().await.map_err(|_| Closed)?;
    let verdict = assembly.accept(&mark.id, mark.tokens);
    if verdict == Verdict::Deliver {
        room.send(Piece::Text(text, mark.tokens));
    }
    Ok(verdict)
}

fn drop_frame(node: &Node, request: &str, why: &'static str) {
    node.metrics.frame_dropped(why);
    emit!(debug, FRAME_DROPPED, request, why);
}

/// A frame's mark, text and finish reason.
fn read_frame(data: &str) -> Option<(FrameExtension, String, String)> {
    let value: Value = serde_json::from_str(data).ok()?;
    let mark = serde_json::from_value(value.get(EXTENSION)?.clone()).ok()?;
    let choice = value.get("choices").and_then(|c| c.get(0))?;
    let text = choice.get("text").or_else(|| choice.pointer("/delta/content"));
    let text = text.and_then(Value::as_str).unwrap_or_default().to_owned();
    let finish = choice.get("finish_reason").and_then(Value::as_str).unwrap_or("stop").to_owned();
    Some((mark, text, finish))
}

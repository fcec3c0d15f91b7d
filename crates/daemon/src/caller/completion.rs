//! Chat and text completions, streamed or not.

use std::convert::Infallible;

use axum::{
    Json,
    body::{Body, Bytes},
    extract::{Request, State},
    response::{IntoResponse, Response},
};
use dahliaseam_core::{hash, outcome::Outcome};
use dahliaseam_wire::{caller::OUTCOME, resource::Document};
use futures_util::{StreamExt, stream};
use http::{HeaderMap, header::CONTENT_TYPE};
use serde_json::{Map, Value, json};
use tokio::sync::mpsc;
use tracing::{Instrument, info_span};

use super::{CallerState, body, refusal, terms};
use crate::{
    clock::wall_millis,
    connection_table::ConnectionHandle,
    dispatch::{
        exchange::{ActiveRequest, Completion, ContentInfo, complete},
        failure::Failure,
    },
    endpoint::attempt::Piece,
    telemetry,
};

/// Number of pieces buffered for a slow caller; when the buffer is full, the engine's stream waits.
const PIECE_BUFFER: usize = 64;
/// Number of bytes of a prompt that count as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Maximum number of output tokens that a caller may request.
const MAX_TOKENS: u64 = 1 << 20;

/// API that the request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Api {
    Text,
    Chat,
}

impl Api {
    const fn path(self) -> &'static str {
        match self {
            Self::Text => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }

    /// Builds one chunk of a stream.
    fn chunk(self, meta: &ResponseMeta, text: &str, finish: Option<&str>) -> Value {
        let (object, mut choice) = match self {
            Self::Text => ("text_completion", json!({ "text": text })),
            Self::Chat if finish.is_some() => ("chat.completion.chunk", json!({ "delta": {} })),
            Self::Chat => ("chat.completion.chunk", json!({ "delta": { "content": text } })),
        };
        choice["index"] = json!(0);
        choice["finish_reason"] = json!(finish);
        json!({
            "id": meta.id, "object": object, "created": meta.created, "model": meta.model, "choices": [choice],
        })
    }

    /// Builds a response that is not streamed.
    fn full_response(self, meta: &ResponseMeta, text: &str, tokens: u32, finish: &str) -> Value {
        let (object, mut choice) = match self {
            Self::Text => ("text_completion", json!({ "text": text })),
            Self::Chat => ("chat.completion", json!({ "message": { "role": "assistant", "content": text } })),
        };
        choice["index"] = json!(0);
        choice["finish_reason"] = json!(finish);
        let usage = json!({
            "prompt_tokens": meta.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": meta.prompt_tokens + tokens,
        });
        json!({
            "id": meta.id, "object": object, "created": meta.created, "model": meta.model,
            "choices": [choice], "usage": usage,
        })
    }
}

/// Fields repeated in every chunk of a stream, and in a response that is not streamed.
#[derive(Clone, Debug)]
struct ResponseMeta {
    id: String,
    model: String,
    created: u64,
    prompt_tokens: u32,
}

/// Parsed body of a request.
#[derive(Debug)]
struct CompletionRequest {
    model: String,
    prompt: String,
    output_tokens: u32,
    stream: bool,
    body: Map<String, Value>,
}

pub(super) async fn text(State(state): State<CallerState>, req: Request) -> Response {
    run(state, req, Api::Text).await
}

pub(super) async fn chat(State(state): State<CallerState>, req: Request) -> Response {
    run(state, req, Api::Chat).await
}

async fn run(state: CallerState, req: Request, api: Api) -> Response {
    let id = state.node.identity.new_id();
    let span = info_span!("request", request = id);
    telemetry::continue_trace(&span, req.headers());
    let response = handle(&state, req, api, &id).instrument(span).await;
    response.unwrap_or_else(|failure| refusal::response(&id, &failure))
}

async fn handle(state: &CallerState, req: Request, api: Api, id: &str) -> Result<Response, Failure> {
    state.check_accepts_work()?;
    let doc = state.node.document();
    let (mut parts, raw) = req.into_parts();
    let params = terms::read(&state.node, &doc, id, &parts.headers)?;
    let conn = parts.extensions.remove::<ConnectionHandle>();
    let raw = body::read(&state.node, raw, conn.as_ref()).await?;
    let completion_req = parse_request(&raw, api, params.kind.output_tokens)?;
    let (pool, adapter) = resolve(&doc, &completion_req.model)?;
    let content = ContentInfo {
        prompt_tokens: (completion_req.prompt.len() / BYTES_PER_TOKEN + 1) as u32,
        output_tokens: completion_req.output_tokens,
        prefix: hash::prefix(completion_req.prompt.as_bytes()),
        adapter,
    };
    let meta = ResponseMeta {
        id: id.to_owned(),
        model: completion_req.model,
        created: wall_millis() / 1_000,
        prompt_tokens: content.prompt_tokens,
    };
    let active = ActiveRequest::submit(&state.node, params, &pool, content)?;
    let completion = Completion { path: api.path(), content_hash: hash::bytes(&raw), body: completion_req.body };
    let (tx, rx) = mpsc::channel(PIECE_BUFFER);
    let work = complete(active, completion, state.clients.clone(), tx);
    state.node.stop.requests.spawn(work.in_current_span());
    if completion_req.stream {
        streamed_response(api, meta, rx).await
    } else {
        collected_response(api, &meta, rx).await
    }
}

/// The pool that serves a model, and the adapter's identifier if an adapter was requested.
fn resolve(doc: &Document, requested_model: &str) -> Result<(String, u64), Failure> {
    let adapter = doc.adapters.get(requested_model);
    let model = adapter.map_or(requested_model, |a| a.spec.model.as_str());
    let pool = doc.pools.iter().find(|(_, pool)| pool.spec.models.iter().any(|m| m == model));
    let Some((pool, _)) = pool else {
        return Err(Failure::bad_request(
            404,
            "model_unknown",
            format!("no pool carries the model {requested_model:?}"),
        ));
    };
    let adapter = adapter.map_or(0, |_| hash::bytes(requested_model.as_bytes()));
    Ok((pool.clone(), adapter))
}

fn parse_request(raw: &[u8], api: Api, default_tokens: u32) -> Result<CompletionRequest, Failure> {
    let invalid = |message: String| Failure::bad_request(400, "body_invalid", message);
    let mut body: Map<String, Value> =
        serde_json::from_slice(raw).map_err(|e| invalid(format!("the body is not a JSON object: {e}")))?;
    let model = body.get("model").and_then(Value::as_str).ok_or_else(|| invalid("model: expected a name".into()))?;
    let model = model.to_owned();
    let prompt = match api {
        Api::Text => body.get("prompt").and_then(Value::as_str).map(str::to_owned),
        Api::Chat => chat_prompt(&body),
    };
    let prompt = prompt.ok_or_else(|| {
        invalid(match api {
            Api::Text => "prompt: expected a string".into(),
            Api::Chat => "messages: expected a list of objects with a role and a string as content".into(),
        })
    })?;
    let stream = match body.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(invalid("stream: expected true or false".into())),
    };
    if body.get("n").is_some_and(|n| n.as_u64() != Some(1)) {
        return Err(invalid("n: only 1 is served".into()));
    }
    let tokens = body.get("max_tokens").or_else(|| body.get("max_completion_tokens"));
    let output_tokens = match tokens.filter(|v| !v.is_null()) {
        None => default_tokens,
        Some(value) => match value.as_u64() {
            Some(n) if (1..=MAX_TOKENS).contains(&n) => n as u32,
            _ => return Err(invalid(format!("max_tokens: expected a whole number from 1 to {MAX_TOKENS}"))),
        },
    };
    body.insert("max_tokens".to_owned(), json!(output_tokens));
    Ok(CompletionRequest { model, prompt, output_tokens, stream, body })
}

fn chat_prompt(body: &Map<String, Value>) -> Option<String> {
    let messages = body.get("messages")?.as_array().filter(|m| !m.is_empty())?;
    let contents = messages.iter().map(|m| m.get("content")?.as_str());
    contents.collect::<Option<Vec<_>>>().map(|parts| parts.join("\n"))
}

async fn collected_response(api: Api, meta: &ResponseMeta, mut rx: mpsc::Receiver<Piece>) -> Result<Response, Failure> {
    let mut text = String::new();
    let mut tokens = 0;
    while let Some(piece) = rx.recv().await {
        match piece {
            Piece::Text(part, n) => {
                text.push_str(&part);
                tokens += n;
            }
            Piece::End(finish) => {
                let headers = refusal::outcome_headers(&meta.id, Outcome::Whole);
                return Ok((headers, Json(api.full_response(meta, &text, tokens, &finish))).into_response());
            }
            Piece::Failed(failure) => return Err(failure),
        }
    }
    Err(daemon_stopped())
}

/// Waits for the first piece before it sends the status, so that a refusal has its own status.
async fn streamed_response(api: Api, meta: ResponseMeta, mut rx: mpsc::Receiver<Piece>) -> Result<Response, Failure> {
    let first = match rx.recv().await {
        Some(Piece::Failed(failure)) => return Err(failure),
        Some(piece) => piece,
        None => return Err(daemon_stopped()),
    };
    let mut headers: HeaderMap = refusal::outcome_headers(&meta.id, Outcome::Whole);
    // The outcome is not known yet; the end of the stream reports it.
    headers.remove(OUTCOME);
    headers.insert(CONTENT_TYPE, http::HeaderValue::from_static("text/event-stream"));
    let rest = stream::unfold(rx, |mut rx| async move { rx.recv().await.map(|piece| (piece, rx)) });
    let pieces = stream::once(async { first }).chain(rest);
    let events = pieces.map(move |piece| Ok::<_, Infallible>(sse_event(api, &meta, piece)));
    Ok((headers, Body::from_stream(events)).into_response())
}

fn sse_event(api: Api, meta: &ResponseMeta, piece: Piece) -> Bytes {
    let text = match piece {
        Piece::Text(text, _) => format!("data: {}\n\n", api.chunk(meta, &text, None)),
        Piece::End(finish) => format!("data: {}\n\ndata: [DONE]\n\n", api.chunk(meta, "", Some(&finish))),
        Piece::Failed(failure) => {
            let body = serde_json::to_string(&refusal::body(&meta.id, &failure)).unwrap_or_default();
            format!("data: {body}\n\n")
        }
    };
    Bytes::from(text)
}

fn daemon_stopped() -> Failure {
    Failure::new(Outcome::Unknown, "daemon_over", "the daemon ended before the answer was whole")
}

//! A caller that knows the expected answer and records what it received.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use bytes::Bytes;
use dahliaseam_border::{
    error::CallError,
    http::{HttpClient, Incoming, Reuse},
};
use dahliaseam_wire::caller::{DEADLINE, ErrorBody, IDEMPOTENCY_KEY, KIND, REQUEST, TEAM};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};

use crate::{
    answer,
    history::{Event, History},
    plain,
};

static NEXT_CALL: AtomicU64 = AtomicU64::new(1);

/// Reason recorded if the daemon accepted no connection.
pub const NO_CONNECTION: &str = "no_connection";

/// Request of a caller.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// Name of the request's kind.
    pub kind: String,
    /// Name of the caller's team.
    pub team: String,
    /// Name of the model, or of the pool of plain services.
    pub target: String,
    /// Prompt, or the request body for a plain service.
    pub prompt: String,
    /// Number of tokens to generate; zero for a plain service.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the chat API is used.
    pub chat: bool,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Deadline of the request in milliseconds; `None` for that of its kind.
    pub deadline_ms: Option<u64>,
}

/// Final answer to a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status; zero if there was no response.
    pub status: u16,
    /// Identifier of the request, if there was a response.
    pub request: Option<String>,
    /// `whole`, `not_run`, `ran`, `unknown`, or `none`.
    pub outcome: String,
    /// Why the request failed; empty if it did not.
    pub reason: String,
    /// Time after which to retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Text of the answer.
    pub text: String,
    /// Whether the text is exactly the expected one.
    pub exact: bool,
    /// Time to the first byte of the text, in microseconds.
    pub first_micros: u64,
}

/// Sends calls and records them in a history.
#[derive(Clone, Debug)]
pub struct Caller {
    client: HttpClient,
    history: History,
    timeout: Duration,
}

impl Caller {
    /// Creates a caller that waits at most `timeout` for each answer.
    #[must_use]
    pub fn new(history: History, timeout: Duration) -> Self {
        Self { client: HttpClient::new(Reuse::Keep), history, timeout }
    }

    /// Sends `call` to the daemon at `address` and waits for the final answer.
    pub async fn send(&self, address: &str, call: &Call) -> Answer {
        let number = NEXT_CALL.fetch_add(1, Ordering::Relaxed);
        self.history.record(Event::Sent { call: number, kind: call.kind.clone(), key: call.key.clone() });
        let result = tokio::time::timeout(self.timeout, self.send_and_read(address, call)).await;
        let mut got = match result {
            Ok(Ok(got)) => got,
            Ok(Err(CallError::NotSent(_))) => Answer { reason: NO_CONNECTION.to_owned(), ..Answer::default() },
            Ok(Err(e)) => Answer { reason: e.to_string(), ..Answer::default() },
            Err(_) => Answer { reason: "late".to_owned(), ..Answer::default() },
        };
        got.exact = got.text == expected(call);
        if got.outcome.is_empty() {
            "none".clone_into(&mut got.outcome);
        }
        self.history.record(Event::Got {
            call: number,
            request: got.request.clone(),
            outcome: got.outcome.clone(),
            exact: got.exact,
        });
        got
    }

    async fn send_and_read(&self, address: &str, call: &Call) -> Result<Answer, CallError> {
        let sent_at = std::time::Instant::now();
        let resp = self.client.send(request(address, call)).await?;
        let header = |name: &str| resp.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let mut got = Answer { status: resp.status().as_u16(), request: header(REQUEST), ..Answer::default() };
        if !resp.status().is_success() {
            read_refusal(&mut got, &read_body(resp).await?);
            return Ok(got);
        }
        if call.stream {
            return read_stream(resp, got, sent_at).await;
        }
        let body = read_body(resp).await?;
        got.first_micros = sent_at.elapsed().as_micros() as u64;
        "whole".clone_into(&mut got.outcome);
        got.text = answer_text(call, &body);
        Ok(got)
    }
}

/// Returns the expected complete answer to `call`.
#[must_use]
pub fn expected(call: &Call) -> String {
    if call.tokens == 0 { plain::answer(&call.prompt) } else { answer::full(&call.prompt, call.tokens) }
}

fn request(address: &str, call: &Call) -> Request<Full<Bytes>> {
    let path = match (call.tokens, call.chat) {
        (0, _) => format!("/services/{}/call", call.target),
        (_, true) => "/v1/chat/completions".to_owned(),
        (_, false) => "/v1/completions".to_owned(),
    };
    let body = match (call.tokens, call.chat) {
        (0, _) => call.prompt.clone(),
        (n, true) => json!({
            "model": call.target, "max_tokens": n, "stream": call.stream,
            "messages": [{ "role": "user", "content": call.prompt }],
        })
        .to_string(),
        (n, false) => json!({
            "model": call.target, "max_tokens": n, "stream": call.stream, "prompt": call.prompt,
        })
        .to_string(),
    };
    let mut req = Request::post(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .header(KIND, &call.kind)
        .header(TEAM, &call.team);
    if let Some(key) = &call.key {
        req = req.header(IDEMPOTENCY_KEY, key);
    }
    if let Some(deadline) = call.deadline_ms {
        req = req.header(DEADLINE, deadline);
    }
    req.body(Full::from(body)).expect("the request is valid")
}

async fn read_body(resp: Response<Incoming>) -> Result<Bytes, CallError> {
    let body = resp.into_body().collect().await;
    body.map(http_body_util::Collected::to_bytes).map_err(|e| CallError::Lost(e.to_string()))
}

fn read_refusal(got: &mut Answer, body: &[u8]) {
    let Ok(body) = serde_json::from_slice::<ErrorBody>(body) else { return };
    got.outcome = string_of(&serde_json::to_value(body.error.outcome).unwrap_or_default());
    got.reason = body.error.reason;
    got.retry_after_ms = body.error.retry_after_ms;
}

fn string_of(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

fn answer_text(call: &Call, body: &[u8]) -> String {
    if call.tokens == 0 {
        return String::from_utf8_lossy(body).into_owned();
    }
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let choice = &value["choices"][0];
    string_of(if call.chat { &choice["message"]["content"] } else { &choice["text"] })
}

async fn read_stream(
    resp: Response<Incoming>,
    mut got: Answer,
    sent_at: std::time::Instant,
) -> Result<Answer, CallError> {
    let mut body = resp.into_body();
    let mut buf = String::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| CallError::Lost(e.to_string()));
        // A stream that breaks off is recorded as an incomplete answer, not as an error.
        let Ok(frame) = frame else { break };
        buf.push_str(&String::from_utf8_lossy(frame.data_ref().map_or(&[][..], |d| d)));
        while let Some(end) = buf.find("\n\n") {
            let event = buf[..end].to_owned();
            buf.drain(..end + 2);
            handle_event(&mut got, &event, sent_at);
        }
    }
    if got.outcome.is_empty() {
        "none".clone_into(&mut got.outcome);
    }
    Ok(got)
}

fn handle_event(got: &mut Answer, event: &str, sent_at: std::time::Instant) {
    let Some(data) = event.strip_prefix("data: ") else { return };
    if data == "[DONE]" {
        "whole".clone_into(&mut got.outcome);
        return;
    }
    if data.starts_with("{\"error\"") {
        read_refusal(got, data.as_bytes());
        return;
    }
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    let choice = &value["choices"][0];
    let text = choice["text"].as_str().or_else(|| choice["delta"]["content"].as_str());
    if got.first_micros == 0 {
        got.first_micros = sent_at.elapsed().as_micros() as u64;
    }
    got.text.push_str(text.unwrap_or_default());
}

//! Calls to plain services: method, path, headers and body are passed through.

use axum::{
    extract::{Path, Request, State},
    response::{IntoResponse, Response},
};
use bytes::Bytes;
use dahliaseam_core::{
    claim::RecordedResult,
    dispatch::Site,
    hash,
    outcome::{AttemptEnd, Outcome},
};
use dahliaseam_wire::{
    engine::{ATTEMPT, REQUEST},
    resource::EndpointClass,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::sync::oneshot;
use tracing::{Instrument, info_span};

use super::{CallerState, body, refusal, terms};
use crate::{
    connection_table::ConnectionHandle,
    dispatch::{
        desk::Dispatch,
        exchange::{ActiveRequest, AfterAttempt, ContentInfo, NoAttempt},
        failure::Failure,
    },
    endpoint::attempt::{AttemptResult, CallName, Clients, attempt_end},
    telemetry,
};

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Headers that are not passed on: those that apply to one connection (RFC 9110, section 7.6.1), and those that are set
/// anew.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
    header::CONTENT_LENGTH,
    header::PROXY_AUTHORIZATION,
];

/// A call as sent to the service.
#[derive(Debug)]
struct Call {
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
}

type CallResult = Result<(StatusCode, HeaderMap, Bytes), Failure>;

pub(super) async fn call_root(State(state): State<CallerState>, Path(pool): Path<String>, req: Request) -> Response {
    run(state, pool, String::new(), req).await
}

pub(super) async fn call(
    State(state): State<CallerState>,
    Path((pool, path)): Path<(String, String)>,
    req: Request,
) -> Response {
    run(state, pool, path, req).await
}

async fn run(state: CallerState, pool: String, path: String, req: Request) -> Response {
    let id = state.node.identity.new_id();
    let span = info_span!("request", request = id, pool);
    telemetry::continue_trace(&span, req.headers());
    let response = handle(&state, &pool, &path, req, &id).instrument(span).await;
    response.unwrap_or_else(|failure| refusal::response(&id, &failure))
}

async fn handle(state: &CallerState, pool: &str, path: &str, req: Request, id: &str) -> Result<Response, Failure> {
    state.check_accepts_work()?;
    let doc = state.node.document();
    let class = doc.pools.get(pool).map(|p| p.spec.endpoints);
    if class != Some(EndpointClass::Plain) {
        return Err(Failure::bad_request(404, "pool_unknown", format!("there is no pool of plain services {pool:?}")));
    }
    let (mut parts, raw) = req.into_parts();
    let params = terms::read(&state.node, &doc, id, &parts.headers)?;
    let conn = parts.extensions.remove::<ConnectionHandle>();
    let body = body::read(&state.node, raw, conn.as_ref()).await?;
    let query = parts.uri.query().map(|q| format!("?{q}")).unwrap_or_default();
    let call = Call {
        method: parts.method,
        path: format!("/{path}{query}"),
        headers: end_to_end_headers(&parts.headers),
        body,
    };
    let active = ActiveRequest::submit(&state.node, params, pool, ContentInfo::default())?;
    let (tx, rx) = oneshot::channel();
    let work = serve(active, call, state.clients.clone(), tx);
    state.node.stop.requests.spawn(work.in_current_span());
    let stopped = || Failure::new(Outcome::Unknown, "daemon_over", "the daemon ended before the answer was whole");
    let (status, headers, body) = rx.await.map_err(|_| stopped())??;
    let mut resp = (status, headers, body).into_response();
    resp.headers_mut().extend(refusal::outcome_headers(id, Outcome::Whole));
    Ok(resp)
}

fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut filtered = headers.clone();
    for name in HOP_BY_HOP_HEADERS {
        filtered.remove(name);
    }
    filtered
}

async fn serve(mut active: ActiveRequest, call: Call, clients: Clients, mut tx: oneshot::Sender<CallResult>) {
    let content_hash = hash::bytes(format!("{} {}", call.method, call.path).as_bytes()) ^ hash::bytes(&call.body);
    let result = loop {
        let next = tokio::select! {
            next = active.next_dispatch(content_hash) => next,
            () = tx.closed() => return,
        };
        let dispatch = match next {
            Ok(dispatch) => dispatch,
            Err(NoAttempt::Failed(failure)) => break Err(failure),
            Err(NoAttempt::Recorded(recorded)) => break recorded_response(recorded),
        };
        // A call that must not be repeated is completed once it has been sent, so that its outcome is recorded even if
        // the caller has disconnected.
        let run_to_completion = !active.params.kind.repeatable;
        let (ended, response) = tokio::select! {
            done = attempt(&mut active, &call, &clients, &dispatch) => done,
            () = tx.closed(), if !run_to_completion => return,
        };
        match (active.attempt_ended(&ended), response) {
            (AfterAttempt::Retry, _) => {}
            (AfterAttempt::Answered, Some(response)) => break Ok(response),
            (AfterAttempt::Failed(failure), _) => break Err(failure),
            (AfterAttempt::Answered, None) => {
                break Err(Failure::new(Outcome::Unknown, "endpoint_failed", "no answer"));
            }
        }
    };
    let recorded = result.as_ref().map(recorded);
    active.finish(recorded.as_ref().map_err(|f| *f)).await;
    let _ = tx.send(result);
}

async fn attempt(
    active: &mut ActiveRequest,
    call: &Call,
    clients: &Clients,
    dispatch: &Dispatch,
) -> (AttemptResult, Option<(StatusCode, HeaderMap, Bytes)>) {
    let span = info_span!("attempt", attempt = dispatch.attempt, endpoint = dispatch.endpoint.name);
    let repeatable = active.params.kind.repeatable;
    let request = active.id().to_owned();
    let work = send(clients, call, dispatch, &request, repeatable).instrument(span);
    let (end, response) = tokio::select! {
        done = work => done,
        end = active.ticket().stopped() => (end, None),
    };
    (AttemptResult { end, site: Site::Serving, detail: String::new() }, response)
}

async fn send(
    clients: &Clients,
    call: &Call,
    dispatch: &Dispatch,
    request: &str,
    repeatable: bool,
) -> (AttemptEnd, Option<(StatusCode, HeaderMap, Bytes)>) {
    let Some(req) = build(call, dispatch, request) else {
        return (AttemptEnd::NotSent, None);
    };
    let name = CallName { request, attempt: dispatch.attempt };
    let resp = match clients.for_kind(repeatable).send_named(req, |headers| name.is_in(headers)).await {
        Ok(resp) => resp,
        Err(e) => return (attempt_end(&e), None),
    };
    if name.is_rejected_by(&resp) {
        return (AttemptEnd::Refused, None);
    }
    let (parts, body) = resp.into_parts();
    match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
        Ok(body) => (AttemptEnd::Whole, Some((parts.status, end_to_end_headers(&parts.headers), body.to_bytes()))),
        Err(_) => (AttemptEnd::Broken, None),
    }
}

fn build(call: &Call, dispatch: &Dispatch, request: &str) -> Option<http::Request<Full<Bytes>>> {
    let mut req = http::Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{}{}", dispatch.endpoint.address, call.path))
        .body(Full::new(call.body.clone()))
        .ok()?;
    *req.headers_mut() = call.headers.clone();
    req.headers_mut().insert(REQUEST, HeaderValue::from_str(request).ok()?);
    req.headers_mut().insert(ATTEMPT, HeaderValue::from(dispatch.attempt));
    telemetry::inject(&tracing::Span::current(), req.headers_mut());
    Some(req)
}

fn recorded((status, headers, body): &(StatusCode, HeaderMap, Bytes)) -> RecordedResult {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|v| v.to_str().ok());
    RecordedResult {
        outcome: Outcome::Whole,
        status: status.as_u16(),
        content_type: content_type.unwrap_or("application/octet-stream").to_owned(),
        body: String::from_utf8(body.to_vec()).ok(),
    }
}

/// The recorded response, for another request with the same key.
fn recorded_response(recorded: RecordedResult) -> CallResult {
    let (Outcome::Whole, Some(body)) = (recorded.outcome, recorded.body) else {
        return Err(Failure {
            retry_after_ms: None,
            status: Some(409),
            ..Failure::new(recorded.outcome, "already_answered", "the request with this key ended before")
        });
    };
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&recorded.content_type) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    let status = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    Ok((status, headers, Bytes::from(body)))
}

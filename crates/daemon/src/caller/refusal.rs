//! HTTP responses to requests that have no complete answer from an endpoint.

use axum::{
    Json,
    response::{IntoResponse, Response},
};
use bytes::Bytes;
use dahliaseam_core::outcome::Outcome;
use dahliaseam_wire::caller::{ErrorBody, ErrorDetail, OUTCOME, REQUEST};
use http::{HeaderMap, HeaderValue, StatusCode, header::RETRY_AFTER};

use crate::{connection::CloseNotices, dispatch::failure::Failure};

const MILLIS_PER_SECOND: u64 = 1_000;

/// HTTP status of a failure.
#[must_use]
pub fn status(failure: &Failure) -> u16 {
    let default_status = match (failure.outcome, failure.reason) {
        (Outcome::NotRun, "team_limit") => StatusCode::TOO_MANY_REQUESTS,
        (Outcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (Outcome::Unknown, _) => StatusCode::GATEWAY_TIMEOUT,
        (Outcome::Ran | Outcome::Whole, _) => StatusCode::BAD_GATEWAY,
    };
    failure.status.unwrap_or(default_status.as_u16())
}

/// Response body of a failure.
#[must_use]
pub fn body(request: &str, failure: &Failure) -> ErrorBody {
    ErrorBody {
        error: ErrorDetail {
            outcome: failure.outcome,
            reason: failure.reason.to_owned(),
            message: failure.message.clone(),
            request: request.to_owned(),
            retry_after_ms: failure.retry_after_ms,
        },
    }
}

/// HTTP response of a failure.
#[must_use]
pub fn response(request: &str, failure: &Failure) -> Response {
    let mut headers = outcome_headers(request, failure.outcome);
    if let Some(ms) = failure.retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(ms.div_ceil(MILLIS_PER_SECOND).max(1)));
    }
    let status = StatusCode::from_u16(status(failure)).unwrap_or(StatusCode::BAD_GATEWAY);
    (status, headers, Json(body(request, failure))).into_response()
}

/// Responses with which idle connections are closed.
#[must_use]
pub fn close_notices() -> CloseNotices {
    CloseNotices {
        stopping: close_notice("not_ready", "this VM stops and has run no request on this connection; ask another"),
        idle: close_notice("no_request", "no request arrived on this connection in time; none was run"),
    }
}

fn close_notice(reason: &'static str, message: &str) -> Bytes {
    let failure = Failure::bad_request(408, reason, message);
    let body = serde_json::to_string(&body("", &failure)).unwrap_or_default();
    let head = "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-type: application/json";
    Bytes::from(format!("{head}\r\ncontent-length: {}\r\n{OUTCOME}: not_run\r\n\r\n{body}", body.len()))
}

/// Headers that every response has.
#[must_use]
pub fn outcome_headers(request: &str, outcome: Outcome) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(request) {
        headers.insert(REQUEST, value);
    }
    let outcome_name = serde_json::to_value(outcome).unwrap_or_default();
    if let Ok(value) = HeaderValue::from_str(outcome_name.as_str().unwrap_or_default()) {
        headers.insert(OUTCOME, value);
    }
    headers
}

//! Responses to callers: relayed from replicas, or refusals by the daemon itself.

use bytes::Bytes;
use dahliaseam_core::time::Span;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

use crate::gateway::{relay::RelayError, sends::Sends};

/// Body of any response.
pub(super) type ResponseBody = UnsyncBoxBody<Bytes, RelayError>;

/// Why the daemon refuses a request, or ends it without a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Refusal {
    /// No configuration is known yet.
    NoConfiguration,
    /// No route matches.
    NoRoute,
    /// The route requires a key, and the request carries none, or one that cannot be a key.
    NoKey,
    /// The configuration does not contain the key.
    UnknownKey,
    /// The configuration may be outdated: a key that it contains may have been withdrawn, or one that it does not
    /// contain may have been added.
    KeyUncertain,
    /// The head is invalid.
    BadHead(String),
    /// The headers are larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyLate,
    /// The memory for bodies is used up.
    NoBodyMemory,
    /// No replica accepts work.
    NoReplica,
    /// The caller takes up a stream, and it is not known which version of software began it.
    UnknownOrigin,
    /// The response would be too late.
    TooLate {
        /// Time after which the caller should retry.
        retry_after: Span,
    },
    /// The rate limits or retry times of the replicas do not allow another request now.
    ReplicasLimited {
        /// Time after which the caller should retry.
        retry_after: Span,
    },
    /// The team has used up its quota.
    OverQuota {
        /// Time until enough quota is available; `None` if it never will be.
        retry_after: Option<Span>,
    },
    /// No owner of the team's quota can be reached.
    QuotaUnavailable,
    /// This daemon is shutting down, and the response would take longer than the time left.
    Stopping,
    /// Replicas crash while running the request. The caller is not told when to retry.
    ReplicasEnded,
    /// Replicas crashed under a part of the prompt, and another request tries out whether it is the cause.
    PartSuspected,
    /// Replicas crashed while running such a request, and another run of it shows whether it is the cause.
    RequestSuspected,
    /// No replica ran the request in any attempt, and there is no alternative.
    Rejected,
    /// The request may have run, and its response was lost.
    Lost,
    /// The request may have run, and no response arrived in time.
    TimedOut,
}

/// Retry time after refusals that determine none of their own, before jitter.
const BASE_RETRY_AFTER: Span = Span::millis(150);
/// Upper bound of the jitter.
const RETRY_AFTER_JITTER: Span = Span::millis(250);

impl Refusal {
    /// Short name, for logs and metrics.
    pub(super) const fn name(&self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::UnknownKey => "unknown_key",
            Self::KeyUncertain => "key_uncertain",
            Self::BadHead(_) => "bad_head",
            Self::HeadTooLarge => "head_too_large",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyLate => "body_late",
            Self::NoBodyMemory => "no_body_memory",
            Self::NoReplica => "no_replica",
            Self::UnknownOrigin => "unknown_origin",
            Self::TooLate { .. } => "too_late",
            Self::ReplicasLimited { .. } => "replicas_limited",
            Self::OverQuota { .. } => "over_quota",
            Self::QuotaUnavailable => "quota_unavailable",
            Self::Stopping => "stopping",
            Self::ReplicasEnded => "replicas_ended",
            Self::PartSuspected => "part_suspected",
            Self::RequestSuspected => "request_suspected",
            Self::Rejected => "rejected",
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
        }
    }

    /// The status code, which may be a promise; see [`promises_not_run`].
    pub(super) const fn status(&self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey | Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BadHead(_) => StatusCode::BAD_REQUEST,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Self::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfiguration
            | Self::NoBodyMemory
            | Self::KeyUncertain
            | Self::QuotaUnavailable
            | Self::NoReplica
            | Self::UnknownOrigin
            | Self::TooLate { .. }
            | Self::ReplicasLimited { .. }
            | Self::Stopping
            | Self::ReplicasEnded
            | Self::PartSuspected
            | Self::RequestSuspected
            | Self::Rejected => StatusCode::SERVICE_UNAVAILABLE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Builds the response; `random` spreads the retries of callers.
    fn to_response(&self, random: u64) -> Response<ResponseBody> {
        let text = match self {
            Self::BadHead(why) => format!("{}: {why}\n", self.name()),
            _ => format!("{}\n", self.name()),
        };
        let mut resp = Response::new(full_body(Bytes::from(text)));
        *resp.status_mut() = self.status();
        let headers = resp.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(value) = self.retry_after(random).and_then(retry_after_value) {
            headers.insert(header::RETRY_AFTER, value);
        }
        if self.status() == StatusCode::UNAUTHORIZED {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Token"));
        }
        if self.leaves_unread_body() {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        resp
    }

    fn retry_after(&self, random: u64) -> Option<Span> {
        match self {
            Self::TooLate { retry_after } | Self::ReplicasLimited { retry_after } => Some(*retry_after),
            Self::OverQuota { retry_after } => retry_after.map(|wait| wait + Span(random % RETRY_AFTER_JITTER.0)),
            Self::NoConfiguration
            | Self::NoBodyMemory
            | Self::KeyUncertain
            | Self::QuotaUnavailable
            | Self::NoReplica
            | Self::UnknownOrigin
            | Self::Stopping
            | Self::PartSuspected
            | Self::RequestSuspected
            | Self::Rejected => Some(Span(BASE_RETRY_AFTER.0 + random % RETRY_AFTER_JITTER.0)),
            _ => None,
        }
    }

    /// Whether bytes of the request may still arrive on the connection.
    const fn leaves_unread_body(&self) -> bool {
        matches!(self, Self::BadHead(_) | Self::HeadTooLarge | Self::BodyTooLarge | Self::BodyLate | Self::NoBodyMemory)
    }
}

/// A refusal that promises nothing which is not proven.
#[derive(Debug)]
pub(super) struct ProvenRefusal(Refusal);

impl ProvenRefusal {
    /// The refusal of a request that was not admitted, so that nothing of it was sent.
    pub(super) const fn not_admitted(refusal: Refusal) -> Self {
        Self(refusal)
    }

    /// The refusal of a request with these sends. Without a promise if one of them may have run.
    pub(super) fn after(refusal: Refusal, sends: &Sends) -> Self {
        if promises_not_run(refusal.status()) && sends.possible_runs() > 0 {
            Self(Refusal::Lost)
        } else {
            Self(refusal)
        }
    }

    /// The refusal itself.
    pub(super) const fn refusal(&self) -> &Refusal {
        &self.0
    }

    /// Builds the response; `random` spreads the retries of callers.
    pub(super) fn to_response(&self, random: u64) -> Response<ResponseBody> {
        self.0.to_response(random)
    }
}

/// Whether a response with this status promises its caller that the request did not run and never will.
pub(super) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// A retry time in seconds with fractions, as callers parse it.
fn retry_after_value(span: Span) -> Option<HeaderValue> {
    HeaderValue::from_str(&format!("{:.3}", span.as_seconds())).ok()
}

/// A body that is complete.
pub(super) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Headers that apply only to one connection.
const HOP_BY_HOP_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the headers of a replica's response that apply only to its connection.
pub(super) fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

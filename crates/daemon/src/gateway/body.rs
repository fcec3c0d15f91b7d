//! The body of a replica's response on a route, and whether it arrived completely.
//!
//! A response with a length or in chunks shows where it ends, and the HTTP library reports an error if its connection ends
//! before. A response with neither ends with its connection, so the end of a replica that crashed looks like the end of
//! its response. For streams the events decide instead, whatever the framing: a stream that ends inside an event has
//! broken off. [`ReplicaBody`] applies this for all readers, which get an end only from a complete response.

use bytes::Bytes;
use http::{header, response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use quick_error::quick_error;

use crate::gateway::sse::{EventBuffer, ResumePoint};

quick_error! {
    /// Why a response is incomplete.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum BodyError {
        /// The connection broke, or the response ended before its stated end.
        Connection(why: String) {
            display("{}", why)
        }
        /// The stream ended inside an event.
        CutEvent(bytes: usize) {
            display("the stream ended {} bytes into an event", bytes)
        }
        /// The connection ended before the first byte of the stream.
        NoEvent {
            display("the connection closed before the first event of the stream")
        }
    }
}

/// How the end of a response is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// By a length that is stated in advance.
    Length,
    /// By the last of several chunks.
    Chunked,
    /// By the end of the connection.
    Close,
}

impl Framing {
    fn of(head: &response::Parts, incoming: &Incoming) -> Self {
        // Responses to HEAD and some statuses have no body, whatever their headers state.
        if incoming.is_end_stream() || incoming.size_hint().exact().is_some() {
            return Self::Length;
        }
        let codings = head.headers.get_all(header::TRANSFER_ENCODING).iter().filter_map(|value| value.to_str().ok());
        match codings.flat_map(|value| value.split(',')).next_back() {
            Some(last) if last.trim().eq_ignore_ascii_case("chunked") => Self::Chunked,
            _ => Self::Close,
        }
    }

    /// Name used in the log.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        }
    }
}

/// The body of a response.
#[derive(Debug)]
pub(super) struct ReplicaBody {
    incoming: Incoming,
    framing: Framing,
    /// Present if the response is a stream.
    events: Option<EventBuffer>,
}

impl ReplicaBody {
    /// The body of a response with this head; `is_stream` says whether it consists of events.
    pub(super) fn new(head: &response::Parts, incoming: Incoming, is_stream: bool) -> Self {
        let framing = Framing::of(head, &incoming);
        Self { incoming, framing, events: is_stream.then(EventBuffer::default) }
    }

    /// Returns the next bytes that may be relayed, or `None` at the end of a complete response.
    ///
    /// A stream is returned in whole events, except for very large ones.
    pub(super) async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            let data = match self.incoming.frame().await {
                None => return self.end_error().map(Err),
                Some(Err(e)) => return Some(Err(BodyError::Connection(e.to_string()))),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let ready = match &mut self.events {
                Some(events) => events.push(&data),
                None => Some(data).filter(|data| !data.is_empty()),
            };
            if let Some(bytes) = ready {
                return Some(Ok(bytes));
            }
        }
    }

    /// Why a response that ended now is incomplete; `None` if it is complete.
    fn end_error(&self) -> Option<BodyError> {
        let events = self.events.as_ref()?;
        match events.open_bytes() {
            // Without a byte, nothing distinguishes a replica that crashed from one without events.
            0 if self.framing == Framing::Close && !events.has_received() => Some(BodyError::NoEvent),
            0 => None,
            bytes => Some(BodyError::CutEvent(bytes)),
        }
    }

    /// How its end is marked.
    pub(super) const fn framing(&self) -> Framing {
        self.framing
    }

    /// Number of bytes received after the last complete event; 0 if the response is not a stream.
    pub(super) fn open_bytes(&self) -> usize {
        self.events.as_ref().map_or(0, EventBuffer::open_bytes)
    }

    /// Where a stream can be resumed; `None` if the response is not a stream.
    pub(super) fn resume_point(&self) -> Option<&ResumePoint> {
        self.events.as_ref().map(EventBuffer::resume_point)
    }
}

//! Splits an event stream into whole events without changing a byte. Lines end with LF or CRLF.

use bytes::{Bytes, BytesMut};

/// Maximum bytes of one event; a longer one is relayed in pieces.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Buffers bytes until they form whole events.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    buf: BytesMut,
    position: EventPosition,
    has_received: bool,
    resume_point: ResumePoint,
}

/// Where a stream can be resumed, after the events that were returned of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum ResumePoint {
    /// Where it began, since nothing was returned yet.
    #[default]
    Start,
    /// After the event with this identifier.
    After(String),
    /// Nowhere: the last event was returned only in part, or no event has an identifier.
    Nowhere,
}

impl EventBuffer {
    /// Adds bytes and returns all events that are complete now, or a part of an event that exceeds the maximum size.
    pub(super) fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        let held = self.buf.len();
        let is_split = self.open_bytes() > held;
        self.buf.extend_from_slice(data);
        self.has_received |= !data.is_empty();
        if let Some(ends) = self.position.advance(data) {
            let events = self.buf.split_to(held + ends.last).freeze();
            // The first line of the rest of a split event need not be a line of its own.
            let whole_from = if is_split { held + ends.first } else { 0 };
            match last_event_id(&events[whole_from..]) {
                Some(id) => self.resume_point = ResumePoint::After(id),
                None if self.resume_point == ResumePoint::Start => self.resume_point = ResumePoint::Nowhere,
                None => {}
            }
            return Some(events);
        }
        if self.buf.len() <= MAX_EVENT_BYTES {
            return None;
        }
        self.resume_point = ResumePoint::Nowhere;
        Some(self.buf.split().freeze())
    }

    /// Number of bytes after the last complete event.
    pub(super) const fn open_bytes(&self) -> usize {
        self.position.open_bytes
    }

    /// Whether any bytes were added.
    pub(super) const fn has_received(&self) -> bool {
        self.has_received
    }

    /// Where the stream can be resumed.
    pub(super) const fn resume_point(&self) -> &ResumePoint {
        &self.resume_point
    }
}

/// Ends of events in some bytes of a stream.
#[derive(Clone, Copy, Debug)]
struct EventEnds {
    first: usize,
    last: usize,
}

/// Position in an event stream: how far it is beyond its last complete event.
#[derive(Clone, Copy, Debug, Default)]
struct EventPosition {
    open_bytes: usize,
    line: LineStart,
}

/// What the current line of a stream starts with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LineStart {
    #[default]
    Nothing,
    CarriageReturn,
    Text,
}

impl EventPosition {
    /// Moves past `data`; returns where events end in it, which is after each empty line.
    fn advance(&mut self, data: &[u8]) -> Option<EventEnds> {
        let mut ends: Option<EventEnds> = None;
        for (at, byte) in data.iter().enumerate() {
            self.line = match (byte, self.line) {
                (b'\n', LineStart::Text) => LineStart::Nothing,
                (b'\n', _) => {
                    let last = at + 1;
                    ends = Some(EventEnds { first: ends.map_or(last, |ends| ends.first), last });
                    LineStart::Nothing
                }
                (b'\r', LineStart::Nothing) => LineStart::CarriageReturn,
                _ => LineStart::Text,
            };
        }
        self.open_bytes = ends.map_or(self.open_bytes + data.len(), |ends| data.len() - ends.last);
        ends
    }
}

/// The last event identifier that some complete events contain.
fn last_event_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(value).ok()?;
    Some(text.trim().to_owned())
}

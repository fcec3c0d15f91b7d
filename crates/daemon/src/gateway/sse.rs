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
    has_split_event: bool,
}

impl EventBuffer {
    /// Adds bytes and returns all events that are complete now, or a part of an event that exceeds the maximum size.
    pub(super) fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        let held = self.buf.len();
        self.buf.extend_from_slice(data);
        self.has_received |= !data.is_empty();
        if let Some(end) = self.position.advance(data) {
            return Some(self.buf.split_to(held + end).freeze());
        }
        if self.buf.len() <= MAX_EVENT_BYTES {
            return None;
        }
        self.has_split_event = true;
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

    /// Whether an event was returned in parts.
    pub(super) const fn has_split_event(&self) -> bool {
        self.has_split_event
    }
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
    /// Moves past `data`; returns the end of the last event in it that is complete, which is after an empty line.
    fn advance(&mut self, data: &[u8]) -> Option<usize> {
        let mut end = None;
        for (at, byte) in data.iter().enumerate() {
            self.line = match (byte, self.line) {
                (b'\n', LineStart::Text) => LineStart::Nothing,
                (b'\n', _) => {
                    end = Some(at + 1);
                    LineStart::Nothing
                }
                (b'\r', LineStart::Nothing) => LineStart::CarriageReturn,
                _ => LineStart::Text,
            };
        }
        self.open_bytes = end.map_or(self.open_bytes + data.len(), |end| data.len() - end);
        end
    }
}

/// The last event identifier that some complete events contain.
pub(super) fn last_event_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(value).ok()?;
    Some(text.trim().to_owned())
}

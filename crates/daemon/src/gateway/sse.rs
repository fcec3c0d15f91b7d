//! Splits an event stream into whole events without changing a byte. Lines end with LF or CRLF.

use bytes::{Bytes, BytesMut};

/// Maximum bytes of one event; a longer one is relayed in pieces.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Buffers bytes until they form whole events.
#[derive(Debug, Default)]
pub(super) struct EventBuffer {
    buf: BytesMut,
}

impl EventBuffer {
    /// Adds bytes and returns all events that are complete now.
    pub(super) fn push(&mut self, data: &[u8]) -> Option<Bytes> {
        self.buf.extend_from_slice(data);
        let end = last_event_end(&self.buf)?;
        Some(self.buf.split_to(end).freeze())
    }

    /// The bytes of an incomplete event.
    pub(super) fn rest(&self) -> &[u8] {
        &self.buf
    }

    /// Takes the bytes of an incomplete event.
    pub(super) fn take_rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Discards an incomplete event.
    pub(super) fn clear(&mut self) {
        self.buf.clear();
    }
}

/// End of the last complete event, which is after an empty line; the end of the buffer if it exceeds the maximum size.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    if buf.len() > MAX_EVENT_BYTES {
        return Some(buf.len());
    }
    let mut end = None;
    let mut line_start = 0;
    for (at, byte) in buf.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buf[line_start..at];
        if line.is_empty() || line == b"\r" {
            end = Some(at + 1);
        }
        line_start = at + 1;
    }
    end
}

/// Position in an event stream: how far it is beyond its last complete event.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EventPosition {
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
    /// Moves past `data`; returns the end of the last event in it that is complete.
    pub(super) fn advance(&mut self, data: &[u8]) -> Option<usize> {
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

    /// Number of bytes after the last complete event.
    pub(super) const fn open_bytes(&self) -> usize {
        self.open_bytes
    }
}

/// The last event identifier that some complete events contain.
pub(super) fn last_event_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    let text = std::str::from_utf8(value).ok()?;
    Some(text.trim().to_owned())
}

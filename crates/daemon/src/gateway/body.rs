//! The body of a replica's response: how its end is marked.

use http::{HeaderMap, header};

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
    /// The framing that the headers of a response with a body state.
    pub(super) fn of(headers: &HeaderMap) -> Self {
        let encodings = headers.get_all(header::TRANSFER_ENCODING).iter().filter_map(|value| value.to_str().ok());
        match encodings.flat_map(|value| value.split(',')).last() {
            Some(last) if last.trim().eq_ignore_ascii_case("chunked") => Self::Chunked,
            None if headers.contains_key(header::CONTENT_LENGTH) => Self::Length,
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

//! Validation of the frames of an answer.
//!
//! A frame is delivered only if it has the expected request, attempt and position. Late, misrouted and
//! duplicate frames are dropped. A gap fails the attempt, so that a caller gets either the whole answer to its
//! own request or an error.

use serde::{Deserialize, Serialize};

/// Identity that an endpoint puts on each frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrameId {
    /// Identifier of the request.
    pub request: String,
    /// Number of the attempt within the request.
    pub attempt: u32,
    /// Position of the frame's first token in the whole answer.
    pub position: u32,
}

/// What to do with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameAction {
    /// Deliver it: it is the next one.
    Deliver,
    /// Drop it: it belongs to another request or attempt.
    Foreign,
    /// Drop it: it was already delivered.
    Duplicate,
    /// Fail the attempt: at least one frame before it is missing.
    Gap,
}

/// Progress of one answer over all attempts.
#[derive(Clone, Debug)]
pub struct Assembly {
    request: String,
    attempt: u32,
    next_position: u32,
}

impl Assembly {
    /// Creates the state of an answer that starts with attempt `attempt`.
    #[must_use]
    pub const fn new(request: String, attempt: u32) -> Self {
        Self { request, attempt, next_position: 0 }
    }

    /// Continues with another attempt after the tokens already delivered.
    pub const fn resume(&mut self, attempt: u32) {
        self.attempt = attempt;
    }

    /// Number of tokens delivered.
    #[must_use]
    pub const fn delivered(&self) -> u32 {
        self.next_position
    }

    /// Checks a frame of `tokens` tokens, and advances if it is the next one.
    pub fn accept(&mut self, id: &FrameId, tokens: u32) -> FrameAction {
        if id.request != self.request || id.attempt != self.attempt {
            return FrameAction::Foreign;
        }
        if id.position < self.next_position {
            return FrameAction::Duplicate;
        }
        if id.position > self.next_position {
            return FrameAction::Gap;
        }
        self.next_position += tokens;
        FrameAction::Deliver
    }

    /// Whether the end marker `id` completes the answer: its position is the number of tokens delivered.
    #[must_use]
    pub fn is_whole(&self, id: &FrameId) -> bool {
        id.request == self.request && id.attempt == self.attempt && id.position == self.next_position
    }
}

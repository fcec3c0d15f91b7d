//! Which frames of an answer count.
//!
//! A frame counts only if its request, attempt and position are the expected ones. Late, crossed
//! and duplicated frames are dropped; a gap fails the attempt, so that the caller gets the whole
//! answer to its own request or is told otherwise.

use serde::{Deserialize, Serialize};

/// The identity that an endpoint puts on each frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrameId {
    /// The request's identifier.
    pub request: String,
    /// The attempt's number within the request.
    pub attempt: u32,
    /// The position of the frame's first token in the whole answer.
    pub position: u32,
}

/// What to do with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Deliver it: it is the next one.
    Deliver,
    /// Drop it: it belongs to another request or attempt.
    Foreign,
    /// Drop it: it was delivered before.
    Duplicate,
    /// Fail the attempt: at least one frame is missing before it.
    Gap,
}

/// The progress of one request's answer over all its attempts.
#[derive(Clone, Debug)]
pub struct Assembly {
    request: String,
    attempt: u32,
    next_position: u32,
}

impl Assembly {
    /// An assembly that expects position zero of attempt `attempt`.
    #[must_use]
    pub const fn new(request: String, attempt: u32) -> Self {
        Self { request, attempt, next_position: 0 }
    }

    /// Go on with another attempt, from the tokens already delivered.
    pub const fn resume(&mut self, attempt: u32) {
        self.attempt = attempt;
    }

    /// How many tokens have been delivered.
    #[must_use]
    pub const fn delivered(&self) -> u32 {
        self.next_position
    }

    /// Judge a frame that carries `tokens` tokens, and advance if it is the next.
    pub fn accept(&mut self, id: &FrameId, tokens: u32) -> Verdict {
        if id.request != self.request || id.attempt != self.attempt {
            return Verdict::Foreign;
        }
        if id.position < self.next_position {
            return Verdict::Duplicate;
        }
        if id.position > self.next_position {
            return Verdict::Gap;
        }
        self.next_position += tokens;
        Verdict::Deliver
    }

    /// Whether an end mark that names `total` tokens closes a whole answer.
    #[must_use]
    pub fn is_whole(&self, id: &FrameId) -> bool {
        id.request == self.request && id.attempt == self.attempt && id.position == self.next_position
    }
}

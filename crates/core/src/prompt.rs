//! A prompt as a sequence of parts, some of which an engine may have cached.

use std::{fmt, hash::Hasher};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Identifier of a part, as callers state it; the same in every prompt that contains the part, at any place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Maximum number of tokens that is counted for a prompt or an answer. No engine holds as many, and sums of some stay within
/// their type.
pub const MAX_TOKENS: u32 = 1 << 28;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Hash of the model and of all parts up to and including this one.
    pub prefix_hash: u64,
    /// Number of tokens in this part.
    pub tokens: u32,
}

/// A prompt and the size of its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order. The last one belongs to this request or its session alone.
    pub parts: Vec<Part>,
    /// Identifiers of these parts.
    pub part_ids: Vec<PartId>,
    /// Number of tokens in the whole prompt.
    pub tokens: u32,
    /// Maximum number of tokens in the answer.
    pub max_output: u32,
    /// Number of tokens in the answer as estimated by the caller.
    pub output_hint: Option<u32>,
}

impl Prompt {
    /// Creates a prompt for `model` from the identifiers and token counts of its parts. More tokens than [`MAX_TOKENS`] are
    /// not counted, nor are those of parts beyond the prompt's own.
    #[must_use]
    pub fn new(model: &str, parts: impl Iterator<Item = (u64, u32)>, tokens: u32, max_output: u32) -> Self {
        let mut hash = Xxh3::new();
        hash.write(model.as_bytes());
        let mut part_ids = Vec::new();
        let tokens = tokens.min(MAX_TOKENS);
        let mut left = tokens;
        let chained = parts.map(|(id, tokens)| {
            hash.write_u64(id);
            part_ids.push(PartId(id));
            let tokens = tokens.min(left);
            left -= tokens;
            Part { prefix_hash: hash.finish(), tokens }
        });
        let parts = chained.collect();
        Self { parts, part_ids, tokens, max_output: max_output.min(MAX_TOKENS), output_hint: None }
    }

    /// Adds the caller's estimate of the answer's tokens.
    #[must_use]
    pub const fn with_output_hint(mut self, output_hint: Option<u32>) -> Self {
        self.output_hint = match output_hint {
            Some(hint) if hint > MAX_TOKENS => Some(MAX_TOKENS),
            hint => hint,
        };
        self
    }

    /// Parts that other requests may share.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Identifiers of the parts that other requests may share.
    #[must_use]
    pub fn shared_ids(&self) -> &[PartId] {
        self.part_ids.split_last().map_or(&[], |(_, shared)| shared)
    }
}

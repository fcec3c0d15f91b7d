//! A prompt as its shared parts: what of it an engine may still hold in memory.

use std::hash::Hasher;

use xxhash_rust::xxh3::Xxh3;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifier of this part together with all parts before it.
    pub prefix_hash: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// A prompt and the size of its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order. The last belongs to this request or its session alone.
    pub parts: Vec<Part>,
    /// Tokens of the whole prompt.
    pub tokens: u32,
    /// Tokens of the answer at most.
    pub max_output: u32,
    /// Tokens of the answer as its caller guesses.
    pub output_hint: Option<u32>,
}

impl Prompt {
    /// A prompt of `model` from its parts' identifiers and sizes.
    #[must_use]
    pub fn new(model: &str, parts: impl Iterator<Item = (u64, u32)>, tokens: u32, output: u32) -> Self {
        let mut hash = Xxh3::new();
        hash.write(model.as_bytes());
        let chained = parts.map(|(id, tokens)| {
            hash.write_u64(id);
            Part { prefix_hash: hash.finish(), tokens }
        });
        Self { parts: chained.collect(), tokens, max_output: output, output_hint: None }
    }

    /// The same with a guess of its answer's tokens.
    #[must_use]
    pub const fn with_output_hint(mut self, guess: Option<u32>) -> Self {
        self.output_hint = guess;
        self
    }

    /// The parts that other requests may share.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

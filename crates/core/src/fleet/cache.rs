//! Estimates which prompt parts an engine still holds in its KV cache.
//!
//! The estimate follows the prompts that this daemon and its peers sent to the engine and evicts the least recently
//! used parts, as engines do. A wrong estimate costs time but never affects an answer.

use std::collections::{BTreeMap, HashMap};

use crate::prompt::{Part, Prompt};

/// The estimated contents of one engine's KV cache.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity: u64,
    used_tokens: u64,
    use_count: u64,
    parts: HashMap<u64, (u32, u64)>,
    by_use: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache with a capacity in tokens.
    #[must_use]
    pub fn new(tokens: u64) -> Self {
        Self { capacity: tokens, ..Self::default() }
    }

    /// Number of tokens at the start of `prompt` that need no prefill.
    #[must_use]
    pub fn held_tokens(&self, prompt: &Prompt) -> u32 {
        let held = prompt.parts.iter().take_while(|part| self.parts.contains_key(&part.prefix_hash));
        held.map(|part| part.tokens).sum()
    }

    /// Records that a prompt with these parts is prefilled.
    pub fn insert(&mut self, parts: &[Part]) {
        // The first part is used by the most prompts, so it is marked as the most recently used.
        for part in parts.iter().rev() {
            self.touch(*part);
        }
        self.evict();
    }

    fn touch(&mut self, part: Part) {
        self.use_count += 1;
        if let Some((tokens, last_use)) = self.parts.insert(part.prefix_hash, (part.tokens, self.use_count)) {
            self.by_use.remove(&last_use);
            self.used_tokens -= u64::from(tokens);
        }
        self.by_use.insert(self.use_count, part.prefix_hash);
        self.used_tokens += u64::from(part.tokens);
    }

    fn evict(&mut self) {
        while self.used_tokens > self.capacity {
            let Some((_, prefix_hash)) = self.by_use.pop_first() else {
                return;
            };
            if let Some((tokens, _)) = self.parts.remove(&prefix_hash) {
                self.used_tokens -= u64::from(tokens);
            }
        }
    }
}

//! The answer of every engine stand-in to a prompt.
//!
//! It depends only on the prompt, so that a caller can check that an answer is complete and correct.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of distinct words in answers.
const DISTINCT_WORDS: u64 = 9_973;
/// Number of bytes of a prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Returns the token at `position` of the answer to `prompt`.
#[must_use]
pub fn token(prompt: &str, position: u32) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), u64::from(position));
    format!("w{} ", hash % DISTINCT_WORDS)
}

/// Returns the first `tokens` tokens of the answer to `prompt`.
#[must_use]
pub fn full(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|position| token(prompt, position)).collect()
}

/// Returns the number of tokens of a prompt.
#[must_use]
pub const fn prompt_tokens(prompt: &str) -> u32 {
    (prompt.len() / BYTES_PER_TOKEN + 1) as u32
}

//! The answer that any engine stand-in gives to a prompt, so that a caller can check it whole.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Distinct words that answers are made of.
const DISTINCT_WORDS: u64 = 9_973;
/// Bytes of a prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// The token at `position` of the answer to `prompt`.
#[must_use]
pub fn token(prompt: &str, position: u32) -> String {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), u64::from(position));
    format!("w{} ", hash % DISTINCT_WORDS)
}

/// The first `tokens` tokens of the answer to `prompt`.
#[must_use]
pub fn full(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|position| token(prompt, position)).collect()
}

/// Tokens of a prompt.
#[must_use]
pub const fn prompt_tokens(prompt: &str) -> u32 {
    (prompt.len() / BYTES_PER_TOKEN + 1) as u32
}

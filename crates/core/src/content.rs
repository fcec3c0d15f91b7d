//! Content hash that identifies retried requests.
//!
//! A caller that retries gives each request a new identifier, but the content stays the same.

use std::{fmt, hash::Hasher};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Hash of everything that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentHash(pub u64);

impl ContentHash {
    /// Hashes method, host, path with query, and body.
    #[must_use]
    pub fn of(method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [method, host, path] {
            hash.write(part.as_bytes());
            // The separator occurs in none of the parts, so their boundaries are unambiguous.
            hash.write_u8(0);
        }
        hash.write(body);
        Self(hash.finish())
    }
}

impl fmt::Display for ContentHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

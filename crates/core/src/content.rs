//! What makes two requests the same to a replica that runs them.
//!
//! A caller that asks again gives each try a new identifier. What stays is what it asks for.

use std::{fmt, hash::Hasher};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Hash of all that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentHash(pub u64);

impl ContentHash {
    /// The hash of a request with this method, host, path with its query, and body.
    #[must_use]
    pub fn of(method: &str, host: &str, path: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        for part in [method, host, path] {
            hash.write(part.as_bytes());
            // No part contains this byte, so where one ends is certain.
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

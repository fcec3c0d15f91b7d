//! The memory of the machine, and how much of it callers may use.
//!
//! A part is for the bodies of their requests, a part for what the system keeps of each connection until it is read, and a
//! part for connections and the heads that arrive on them. The rest is for the daemon itself.

use rustix::system::sysinfo;

/// Bytes of a megabyte.
const MEGABYTE: usize = 1_000_000;
/// Part of the memory for bodies.
const BODY_SHARE: usize = 3;
/// Part of the memory for bytes that have arrived and are not read yet.
const UNREAD_SHARE: usize = 4;
/// Part of the memory for connections and heads.
const CONNECTION_SHARE: usize = 5;
/// Memory that a connection needs beside that for a head, in bytes.
const CONNECTION_BYTES: usize = 4 << 10;
/// Minimum number of connections.
const MIN_CONNECTIONS: usize = 16;
/// Minimum and maximum bytes of one connection that wait until they are read.
const RECEIVE_BUFFER_BYTES: (usize, usize) = (32 << 10, 256 << 10);

/// Memory for a daemon whose settings state none, in megabytes.
const DEFAULT_MEMORY_MB: usize = 256;
/// Minimum memory of a machine, in megabytes.
pub(crate) const MIN_MEMORY_MB: u32 = 64;

/// The memory of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    bytes: usize,
}

impl Memory {
    /// Memory of this many megabytes, or the default, of which the system may have less.
    pub(crate) fn of(megabytes: Option<u32>) -> Self {
        let default = || {
            let info = sysinfo();
            let system = (info.totalram as usize).saturating_mul(info.mem_unit as usize);
            system.min(DEFAULT_MEMORY_MB * MEGABYTE)
        };
        Self { bytes: megabytes.map_or_else(default, |megabytes| (megabytes as usize).saturating_mul(MEGABYTE)) }
    }

    /// Maximum bytes of all bodies together.
    #[must_use]
    pub const fn body_bytes(self) -> usize {
        self.bytes / BODY_SHARE
    }

    /// Maximum bytes that wait on each of so many connections until they are read.
    #[must_use]
    pub fn receive_buffer_bytes(self, connections: usize) -> usize {
        let (min, max) = RECEIVE_BUFFER_BYTES;
        (self.bytes / UNREAD_SHARE / connections.max(1)).clamp(min, max)
    }

    /// Maximum number of connections with heads of this size, however large these are.
    #[must_use]
    pub fn connections(self, head_bytes: usize) -> usize {
        (self.bytes / CONNECTION_SHARE / head_bytes.saturating_add(CONNECTION_BYTES)).max(MIN_CONNECTIONS)
    }
}

//! Estimates how long outgoing data waits for this VM's link.
//!
//! The link of a small VM needs some tens of milliseconds for a long prompt, which then waits behind others. The
//! estimate counts the request bodies and the updates that this daemon sends; everything else is small.

use std::sync::{Mutex, PoisonError};

use dahliaseam_core::time::{Span, Time};

/// Bytes per millisecond on a link of one megabit per second.
const BYTES_PER_MS: f64 = 125.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// The outgoing direction of the link.
#[derive(Debug)]
pub(super) struct Link {
    bytes_per_ms: f64,
    free_at: Mutex<Time>,
}

impl Link {
    /// Creates a link with this speed in megabits per second.
    pub(super) fn new(mbps: f64) -> Self {
        Self { bytes_per_ms: mbps * BYTES_PER_MS, free_at: Mutex::default() }
    }

    /// Milliseconds that sending this many bytes takes on a free link.
    pub(super) fn send_ms(&self, bytes: usize) -> f64 {
        bytes as f64 / self.bytes_per_ms
    }

    /// Milliseconds until all queued data has been sent.
    pub(super) fn wait_ms(&self, now: Time) -> f64 {
        let free_at = *self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        free_at.since(now).as_seconds() * MILLIS_PER_SECOND
    }

    /// Records that this many bytes are sent.
    pub(super) fn record_send(&self, bytes: usize, now: Time) {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = now.max(*free_at) + Span::seconds(self.send_ms(bytes) / MILLIS_PER_SECOND);
    }
}

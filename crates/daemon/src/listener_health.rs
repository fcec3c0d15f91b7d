//! Whether a listener serves its connections, and how many it closed or refused for want of room.
//!
//! Each connection has a task of its own. A panic in it ends this connection alone, and nothing else would show it: if all
//! connections end so, the daemon serves nobody and must not report that it is ready.

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use tokio::time::{Duration, Instant};

/// Number of connections in a row that ended by a panic from which on the listener counts as broken.
const MAX_PANICS_IN_A_ROW: u32 = 8;
/// Time after such a panic until new connections may show whether the listener serves again.
const RETRY_DELAY: Duration = Duration::from_secs(10);

/// Counts the connections that ended by a panic, were closed for others or were refused.
#[derive(Debug, Default)]
pub struct ListenerHealth {
    panics: AtomicU64,
    evicted: AtomicU64,
    refused: AtomicU64,
    recent: Mutex<Recent>,
}

#[derive(Debug, Default)]
struct Recent {
    panics_in_a_row: u32,
    /// Until when the listener counts as broken.
    broken_until: Option<Instant>,
}

impl ListenerHealth {
    /// Records that a connection ended by a panic.
    pub fn record_panic(&self) {
        self.panics.fetch_add(1, Ordering::Relaxed);
        let mut recent = self.recent();
        recent.panics_in_a_row += 1;
        if recent.panics_in_a_row >= MAX_PANICS_IN_A_ROW {
            recent.broken_until = Some(Instant::now() + RETRY_DELAY);
        }
    }

    /// Records that a connection was served until it was closed.
    pub fn record_served(&self) {
        *self.recent() = Recent::default();
    }

    /// Records that an idle connection was closed for a new one.
    pub fn record_evicted(&self) {
        self.evicted.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a new connection was refused.
    pub fn record_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of idle connections that were closed for new ones.
    #[must_use]
    pub fn evicted(&self) -> u64 {
        self.evicted.load(Ordering::Relaxed)
    }

    /// Number of new connections that were refused.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Number of connections that ended by a panic.
    #[must_use]
    pub fn panics(&self) -> u64 {
        self.panics.load(Ordering::Relaxed)
    }

    /// Whether connections are served, as far as is known.
    #[must_use]
    pub fn is_sound(&self) -> bool {
        self.recent().broken_until.is_none_or(|until| until <= Instant::now())
    }

    fn recent(&self) -> MutexGuard<'_, Recent> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

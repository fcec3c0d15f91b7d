//! The open connections of a listener, and how others learn what happens on them.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use dahliaseam_core::{
    connections::{ConnectionKey, Connections, Phase},
    time::Time,
};
use slotmap::SecondaryMap;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Number of connections beyond the maximum that may exist while others are being closed for them.
const MAX_CLOSING: usize = 64;

/// The open connections of a listener.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    inner: Mutex<Inner>,
    started_at: Instant,
}

#[derive(Debug, Default)]
struct Inner {
    connections: Connections,
    evictions: SecondaryMap<ConnectionKey, CancellationToken>,
}

/// How a new connection was received.
#[derive(Debug)]
pub(crate) enum Admission {
    /// There was room for it.
    Open(OpenConnection),
    /// Another one closes for it.
    InPlaceOfAnother(OpenConnection),
    /// All others are in use.
    Refused,
}

impl ConnectionTable {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self { inner: Mutex::default(), started_at: Instant::now() })
    }

    /// Adds a connection. If there are `max` others, one of them is told to close.
    pub(crate) fn admit(self: &Arc<Self>, max: usize) -> Admission {
        let now = self.now();
        let mut inner = self.lock();
        let is_full = inner.connections.open_count() >= max;
        if is_full && !inner.evict(max, now) {
            return Admission::Refused;
        }
        let key = inner.connections.open(now);
        let evicted = CancellationToken::new();
        inner.evictions.insert(key, evicted.clone());
        let conn = OpenConnection {
            handle: ConnectionHandle { table: Arc::clone(self), key, has_rest: Arc::default() },
            evicted,
        };
        if is_full { Admission::InPlaceOfAnother(conn) } else { Admission::Open(conn) }
    }

    fn now(&self) -> Time {
        Time(self.started_at.elapsed().as_micros() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    /// Tells a connection to close; returns whether there is one.
    fn evict(&mut self, max: usize, now: Time) -> bool {
        if self.connections.count() >= max.saturating_add(MAX_CLOSING) {
            return false;
        }
        let Some(key) = self.connections.evict(now) else { return false };
        if let Some(evicted) = self.evictions.get(key) {
            evicted.cancel();
        }
        true
    }
}

/// An open connection, which leaves the table when this is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    pub(crate) handle: ConnectionHandle,
    /// Cancelled when the connection must close for another one, unless a request is being served on it.
    pub(crate) evicted: CancellationToken,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut inner = self.handle.table.lock();
        inner.connections.remove(self.handle.key);
        inner.evictions.remove(self.handle.key);
    }
}

/// Records what happens on a connection. Requests carry one as an extension.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionHandle {
    table: Arc<ConnectionTable>,
    key: ConnectionKey,
    /// Whether a part of the last request may not have been read.
    has_rest: Arc<AtomicBool>,
}

impl ConnectionHandle {
    /// Records that the head of a request has arrived.
    pub(crate) fn begin_request(&self, has_body: bool) {
        self.has_rest.store(has_body, Ordering::Relaxed);
        self.set_phase(Phase::Serving);
    }

    /// Records that a part of a body is being received.
    pub(crate) fn receive_body(&self) {
        self.set_phase(Phase::Receiving);
    }

    /// Records that a request has arrived completely.
    pub(crate) fn end_body(&self) {
        self.has_rest.store(false, Ordering::Relaxed);
        self.set_phase(Phase::Serving);
    }

    /// Records that a response has been written.
    pub(crate) fn end_response(&self) {
        self.set_phase(Phase::Waiting);
    }

    /// Whether a part of the last request may not have been read.
    pub(crate) fn has_rest(&self) -> bool {
        self.has_rest.load(Ordering::Relaxed)
    }

    /// Whether a request has been answered on the connection.
    pub(crate) fn has_served(&self) -> bool {
        self.table.lock().connections.has_served(self.key)
    }

    /// Whether a request is being served on the connection.
    pub(crate) fn is_serving(&self) -> bool {
        self.table.lock().connections.is_serving(self.key)
    }

    fn set_phase(&self, phase: Phase) {
        self.table.lock().connections.set_phase(self.key, phase, self.table.now());
    }
}

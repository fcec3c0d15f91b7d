//! Connections of a listener: which one is closed when their maximum number is reached and another one arrives.
//!
//! A connection on which a request is being served is never closed. Of the others the first to go are those on which no
//! request has arrived completely although there was time for one, then those on which nothing has happened for longest.

use slotmap::{SlotMap, new_key_type};

use crate::time::{Span, Time};

/// Time within which a request arrives on a new connection, even if a packet is lost.
const FIRST_REQUEST_TIME: Span = Span::millis(1_000);

new_key_type! {
    /// Identifies a connection.
    pub struct ConnectionKey;
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It waits for the head of a request.
    Waiting,
    /// The body of a request is being received.
    Receiving,
    /// A request is being served, until its response has been written.
    Serving,
}

/// One connection.
#[derive(Clone, Copy, Debug)]
struct Record {
    phase: Phase,
    /// When its phase began, or a part of a large body arrived last.
    active_at: Time,
    /// Whether a request has been answered.
    has_served: bool,
    is_closing: bool,
}

/// The open connections of a listener.
#[derive(Debug, Default)]
pub struct Connections {
    records: SlotMap<ConnectionKey, Record>,
    closing: usize,
}

impl Connections {
    /// Adds a connection.
    pub fn open(&mut self, now: Time) -> ConnectionKey {
        self.records.insert(Record { phase: Phase::Waiting, active_at: now, has_served: false, is_closing: false })
    }

    /// Removes a connection that is closed.
    pub fn remove(&mut self, key: ConnectionKey) {
        if self.records.remove(key).is_some_and(|record| record.is_closing) {
            self.closing -= 1;
        }
    }

    /// Number of connections that are not to be closed.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.records.len() - self.closing
    }

    /// Number of connections, with those that are about to close.
    #[must_use]
    pub fn count(&self) -> usize {
        self.records.len()
    }

    /// Sets what a connection is doing since `now`.
    pub fn set_phase(&mut self, key: ConnectionKey, phase: Phase, now: Time) {
        if let Some(record) = self.records.get_mut(key) {
            record.phase = phase;
            record.active_at = now;
            record.has_served |= phase == Phase::Waiting;
        }
    }

    /// Whether a request is being served on a connection.
    #[must_use]
    pub fn is_serving(&self, key: ConnectionKey) -> bool {
        self.records.get(key).is_some_and(|record| record.phase == Phase::Serving)
    }

    /// Whether a request has been answered on a connection.
    #[must_use]
    pub fn has_served(&self, key: ConnectionKey) -> bool {
        self.records.get(key).is_some_and(|record| record.has_served)
    }

    /// Chooses the connection that closes to make room for another one, if there is one.
    pub fn evict(&mut self, now: Time) -> Option<ConnectionKey> {
        let is_idle = |record: &Record| !record.is_closing && record.phase != Phase::Serving;
        let is_overdue = |record: &Record| !record.has_served && now.since(record.active_at) >= FIRST_REQUEST_TIME;
        let idle = self.records.iter().filter(|(_, record)| is_idle(record));
        let (key, _) = idle.min_by_key(|(_, record)| (!is_overdue(record), record.active_at))?;
        self.records.get_mut(key)?.is_closing = true;
        self.closing += 1;
        Some(key)
    }
}

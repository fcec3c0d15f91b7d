//! Connections that are kept between requests.

use std::{
    collections::HashMap,
    hash::Hash,
    sync::{Mutex, MutexGuard, PoisonError},
};

use hyper::body::Body;

use crate::connection::{CallId, Connection};

/// Connections by the address to which they lead, each until a time `T`.
#[derive(Debug)]
pub struct IdleConnections<K, B, T> {
    by_address: Mutex<HashMap<K, Vec<Kept<B, T>>>>,
}

#[derive(Debug)]
struct Kept<B, T> {
    conn: Connection<B>,
    expires_at: T,
}

impl<K, B, T> Default for IdleConnections<K, B, T> {
    fn default() -> Self {
        Self { by_address: Mutex::default() }
    }
}

impl<K: Eq + Hash, B: Body + 'static, T: Copy + Ord> IdleConnections<K, B, T> {
    /// Takes the connection to an address that was kept last and can carry a call with this identifier at `now`.
    pub fn take(&self, address: &K, id: Option<CallId>, now: T) -> Option<Connection<B>> {
        let mut by_address = self.lock();
        let kept = by_address.get_mut(address)?;
        kept.retain(|entry| entry.is_usable(now));
        let ready = kept.iter().rposition(|entry| entry.conn.is_ready() && entry.conn.can_carry(id))?;
        Some(kept.remove(ready).conn)
    }

    /// Keeps a connection until a time, unless `max` connections to the address are kept; returns whether it is the first
    /// to any address.
    pub fn keep(&self, address: K, conn: Connection<B>, expires_at: T, max: usize) -> bool {
        if conn.is_closed() || conn.is_worn() {
            return false;
        }
        let mut by_address = self.lock();
        let is_first = by_address.is_empty();
        let kept = by_address.entry(address).or_default();
        if kept.len() < max {
            kept.push(Kept { conn, expires_at });
        }
        is_first
    }

    /// Closes the connections to an address.
    pub fn close(&self, address: &K) {
        self.lock().remove(address);
    }

    /// Closes connections that have expired at `now`; returns whether any are left.
    pub fn close_expired(&self, now: T) -> bool {
        let mut by_address = self.lock();
        by_address.retain(|_, kept| {
            kept.retain(|entry| entry.is_usable(now));
            !kept.is_empty()
        });
        !by_address.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<K, Vec<Kept<B, T>>>> {
        self.by_address.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<B: Body + 'static, T: Copy + Ord> Kept<B, T> {
    fn is_usable(&self, now: T) -> bool {
        self.expires_at > now && !self.conn.is_closed()
    }
}

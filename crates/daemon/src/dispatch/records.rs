//! What happened to the latest requests, for `dahliaseam explain`.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
};

use dahliaseam_wire::operator::RequestRecord;

/// Requests that are remembered.
const MAX_RECORDS: usize = 4_096;

/// A record that is still being written.
pub type OpenRecord = Arc<Mutex<RequestRecord>>;

/// The latest records.
#[derive(Debug, Default)]
pub struct Records {
    inner: Mutex<Ring>,
}

#[derive(Debug, Default)]
struct Ring {
    order: VecDeque<String>,
    by_id: HashMap<String, OpenRecord>,
}

impl Records {
    /// Begin a record.
    pub fn open(&self, record: RequestRecord) -> OpenRecord {
        let id = record.request.clone();
        let open = Arc::new(Mutex::new(record));
        let mut ring = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        ring.by_id.insert(id.clone(), Arc::clone(&open));
        ring.order.push_back(id);
        if ring.order.len() > MAX_RECORDS
            && let Some(oldest) = ring.order.pop_front()
        {
            ring.by_id.remove(&oldest);
        }
        open
    }

    /// The record of a request, as far as it got.
    #[must_use]
    pub fn get(&self, request: &str) -> Option<RequestRecord> {
        let ring = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let open = Arc::clone(ring.by_id.get(request)?);
        drop(ring);
        Some(lock(&open).clone())
    }
}

/// Lock a record.
pub fn lock(record: &OpenRecord) -> std::sync::MutexGuard<'_, RequestRecord> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}

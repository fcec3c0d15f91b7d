//! Records of the latest requests, for `dahliaseam explain`.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, PoisonError},
};

use dahliaseam_wire::operator::RequestRecord;

/// Maximum number of records kept.
const MAX_RECORDS: usize = 4_096;

/// Record that may still change.
pub type OpenRecord = Arc<Mutex<RequestRecord>>;

/// The records of the latest requests.
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
    /// Starts a record, and drops the oldest one beyond the maximum.
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

    /// The record of a request, complete or not.
    #[must_use]
    pub fn get(&self, request: &str) -> Option<RequestRecord> {
        let ring = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let open = Arc::clone(ring.by_id.get(request)?);
        drop(ring);
        Some(lock(&open).clone())
    }
}

/// Locks a record.
pub fn lock(record: &OpenRecord) -> std::sync::MutexGuard<'_, RequestRecord> {
    record.lock().unwrap_or_else(PoisonError::into_inner)
}

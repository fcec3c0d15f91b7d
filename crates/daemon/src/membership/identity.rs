//! Identifiers that this process gives out.

use std::sync::atomic::{AtomicU64, Ordering};

use dahliaseam_core::member::Incarnation;

/// The source of request identifiers and write tokens.
#[derive(Debug)]
pub struct Identity {
    me: Incarnation,
    next_number: AtomicU64,
}

impl Identity {
    /// The identity of one run of a daemon.
    #[must_use]
    pub const fn new(me: Incarnation) -> Self {
        Self { me, next_number: AtomicU64::new(1) }
    }

    /// This run.
    #[must_use]
    pub const fn me(&self) -> &Incarnation {
        &self.me
    }

    /// A fresh identifier: VM, start and number.
    #[must_use]
    pub fn new_id(&self) -> String {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        format!("{}.{:x}.{number}", self.me.vm, self.me.start)
    }
}

/// The VM that a request's identifier names.
#[must_use]
pub fn vm_of(request: &str) -> Option<&str> {
    let (rest, _) = request.rsplit_once('.')?;
    rest.rsplit_once('.').map(|(vm, _)| vm)
}

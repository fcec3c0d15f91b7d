//! The line that says how a request ended.

use std::sync::Arc;

use dahliaseam_core::time::Time;

use crate::{
    emit,
    gateway::{request::Job, state::Gateway},
};

/// Writes the line that says how a request ended, also when its caller leaves.
#[derive(Debug)]
pub(super) struct Ending {
    gw: Arc<Gateway>,
    id: String,
    route: Arc<str>,
    version: u64,
    arrived: Time,
    outcome: &'static str,
    status: u16,
    pub(super) tries: usize,
    /// When the answer's first byte was there.
    first_at: Option<Time>,
}

impl Ending {
    pub(super) fn new(job: &Job) -> Self {
        Self {
            gw: Arc::clone(&job.gw),
            id: job.caller.id.clone(),
            route: Arc::clone(&job.route.name),
            version: job.version,
            arrived: job.arrived,
            outcome: "caller_left",
            status: 0,
            tries: 0,
            first_at: None,
        }
    }

    /// The answer's first byte is there.
    pub(super) fn first_byte(&mut self) {
        let now = self.gw.now();
        self.first_at = Some(now);
        self.gw.metrics.first_byte(&self.route, now.since(self.arrived).as_seconds());
    }

    pub(super) const fn set(&mut self, outcome: &'static str, status: u16) {
        self.outcome = outcome;
        self.status = status;
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        self.gw.metrics.request(&self.route, self.outcome);
        emit!(
            info,
            ROUTED_OVER,
            request = self.id,
            route = %self.route,
            configuration = self.version,
            outcome = self.outcome,
            status = self.status,
            tries = self.tries,
            first_ms = self.first_at.map(|at| at.since(self.arrived).as_millis()),
            took_ms = self.gw.now().since(self.arrived).as_millis()
        );
    }
}

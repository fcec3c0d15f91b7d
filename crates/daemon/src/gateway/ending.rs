//! The line that says how a request ended.

use std::sync::Arc;

use dahliaseam_core::{fleet::StreamPart, time::Time};

use crate::{
    emit,
    gateway::{attempt::Answer, passed::Passed, request::Job, state::Gateway},
};

/// Writes the line that says how a request ended, also when its caller leaves.
#[derive(Debug)]
pub(super) struct Ending {
    gw: Arc<Gateway>,
    id: String,
    route: Arc<str>,
    team: Option<Arc<str>>,
    version: u64,
    arrived: Time,
    outcome: &'static str,
    status: u16,
    pub(super) tries: usize,
    /// When the answer's first byte was there.
    first_at: Option<Time>,
    stream: Option<StreamEnding>,
}

/// What is told of an answer that came as a stream.
#[derive(Debug)]
struct StreamEnding {
    /// The replica that answered last.
    replica: Arc<str>,
    /// Long answers that were known there when it was asked.
    beside: u32,
    passed: Passed,
}

impl Ending {
    pub(super) fn new(job: &Job) -> Self {
        Self {
            gw: Arc::clone(&job.gw),
            id: job.caller.id.clone(),
            route: Arc::clone(&job.route.name),
            team: job.identity.team().map(|team| Arc::clone(&team.name)),
            version: job.version,
            arrived: job.arrived,
            outcome: "caller_left",
            status: 0,
            tries: 0,
            first_at: None,
            stream: None,
        }
    }

    /// The answer's first byte is there.
    pub(super) fn first_byte(&mut self) {
        let now = self.gw.now();
        self.first_at = Some(now);
        self.gw.metrics.first_byte(&self.route, now.since(self.arrived).as_seconds());
    }

    /// A stream is passed on from this answer, after its first event or from where it broke.
    pub(super) fn stream(&mut self, answer: &Answer) {
        let passed = self.stream.as_ref().map_or_else(|| Passed::new(self.gw.now()), |stream| stream.passed);
        let replica = Arc::clone(&answer.replica.id);
        self.stream = Some(StreamEnding { replica, beside: answer.work.sent().other_streams, passed });
    }

    /// Another event of the stream was passed on; returns a part of it when there is one to learn from.
    pub(super) fn event_passed(&mut self) -> Option<StreamPart> {
        let now = self.gw.now();
        let stream = self.stream.as_mut()?;
        stream.passed.note(now);
        stream.passed.part()
    }

    /// What was passed on after the first event.
    pub(super) fn passed(&self) -> StreamPart {
        self.stream.as_ref().map(|stream| stream.passed.whole()).unwrap_or_default()
    }

    pub(super) const fn set(&mut self, outcome: &'static str, status: u16) {
        self.outcome = outcome;
        self.status = status;
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        self.gw.metrics.request(&self.route, self.outcome);
        let interval = self.passed().interval();
        if let Some(interval) = interval {
            self.gw.metrics.event_interval(&self.route, interval.as_seconds());
        }
        let stream = self.stream.as_ref();
        emit!(
            info,
            ROUTED_OVER,
            request = self.id,
            route = %self.route,
            team = self.team.as_deref(),
            configuration = self.version,
            outcome = self.outcome,
            status = self.status,
            tries = self.tries,
            first_ms = self.first_at.map(|at| at.since(self.arrived).as_millis()),
            took_ms = self.gw.now().since(self.arrived).as_millis(),
            replica = stream.map(|stream| &*stream.replica),
            beside = stream.map(|stream| stream.beside),
            events = stream.map(|stream| stream.passed.count() + 1),
            interval_us = interval.map(|interval| interval.0),
            pause_ms = stream.map(|stream| stream.passed.longest().as_millis())
        );
    }
}

//! The line that says how a request ended.

use std::sync::Arc;

use dahliaseam_core::{fleet::StreamPart, time::Time};

use crate::{
    emit,
    gateway::{attempt::UpstreamResponse, passed::RelayedEvents, request::ActiveRequest, state::Gateway},
};

/// Writes the line that says how a request ended, also when its caller leaves.
#[derive(Debug)]
pub(super) struct AccessLogEntry {
    gw: Arc<Gateway>,
    id: String,
    route: Arc<str>,
    team: Option<Arc<str>>,
    version: u64,
    arrived: Time,
    outcome: &'static str,
    status: u16,
    pub(super) attempts: usize,
    /// When the answer's first byte was there.
    first_byte_at: Option<Time>,
    stream: Option<StreamStats>,
}

/// What is told of an answer that came as a stream.
#[derive(Debug)]
struct StreamStats {
    /// The replica that answered last.
    replica: Arc<str>,
    /// Long answers that were known there when it was asked.
    beside: u32,
    relayed: RelayedEvents,
}

impl AccessLogEntry {
    pub(super) fn new(req: &ActiveRequest) -> Self {
        Self {
            gw: Arc::clone(&req.gw),
            id: req.caller.id.clone(),
            route: Arc::clone(&req.route.name),
            team: req.identity.team().map(|team| Arc::clone(&team.name)),
            version: req.version,
            arrived: req.arrived,
            outcome: "caller_left",
            status: 0,
            attempts: 0,
            first_byte_at: None,
            stream: None,
        }
    }

    /// The answer's first byte is there.
    pub(super) fn record_first_byte(&mut self) {
        let now = self.gw.now();
        self.first_byte_at = Some(now);
        self.gw.metrics.first_byte(&self.route, now.since(self.arrived).as_seconds());
    }

    /// A stream is passed on from this answer, after its first event or from where it broke.
    pub(super) fn start_stream(&mut self, resp: &UpstreamResponse) {
        let relayed = self.stream.as_ref().map_or_else(|| RelayedEvents::new(self.gw.now()), |stream| stream.relayed);
        let replica = Arc::clone(&resp.replica.id);
        self.stream = Some(StreamStats { replica, beside: resp.in_flight.sent().other_streams, relayed });
    }

    /// Another event of the stream was passed on; returns a part of it when there is one to learn from.
    pub(super) fn record_event(&mut self) -> Option<StreamPart> {
        let now = self.gw.now();
        let stream = self.stream.as_mut()?;
        stream.relayed.record(now);
        stream.relayed.next_part()
    }

    /// What was passed on after the first event.
    pub(super) fn relayed(&self) -> StreamPart {
        self.stream.as_ref().map(|stream| stream.relayed.total()).unwrap_or_default()
    }

    pub(super) const fn set(&mut self, outcome: &'static str, status: u16) {
        self.outcome = outcome;
        self.status = status;
    }
}

impl Drop for AccessLogEntry {
    fn drop(&mut self) {
        self.gw.metrics.request(&self.route, self.outcome);
        let interval = self.relayed().interval();
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
            tries = self.attempts,
            first_ms = self.first_byte_at.map(|at| at.since(self.arrived).as_millis()),
            took_ms = self.gw.now().since(self.arrived).as_millis(),
            replica = stream.map(|stream| &*stream.replica),
            beside = stream.map(|stream| stream.beside),
            events = stream.map(|stream| stream.relayed.count() + 1),
            interval_us = interval.map(|interval| interval.0),
            pause_ms = stream.map(|stream| stream.relayed.longest_gap().as_millis())
        );
    }
}

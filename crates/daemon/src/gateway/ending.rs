//! Access log: one line for each finished request.

use std::sync::Arc;

use dahliaseam_core::{fleet::StreamPart, time::Time};

use crate::{
    emit,
    gateway::{
        attempt::UpstreamResponse, body::Framing, passed::RelayedEvents, request::ActiveRequest, sends::Sends,
        state::Gateway,
    },
};

/// Collects the outcome of a request and logs it when dropped, so that it is also logged if the caller disconnects.
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
    /// When the first byte of the response was available.
    first_byte_at: Option<Time>,
    stream: Option<StreamStats>,
    sends: Arc<Sends>,
}

/// What is logged about a streamed response.
#[derive(Debug)]
struct StreamStats {
    /// The replica that responded last.
    replica: Arc<str>,
    /// Number of other long answers known to be in progress at the replica when the request was sent.
    other_long_answers: u32,
    relayed: RelayedEvents,
    /// How the end of the stream was marked, if it is complete.
    framing: Option<Framing>,
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
            sends: Arc::clone(&req.sends),
        }
    }

    /// Records that the first byte of the response is available.
    pub(super) fn record_first_byte(&mut self) {
        let now = self.gw.now();
        self.first_byte_at = Some(now);
        self.gw.metrics.first_byte(&self.route, now.since(self.arrived).as_seconds());
    }

    /// Records that a stream is relayed from this response: after its first event, or from where it broke.
    pub(super) fn start_stream(&mut self, resp: &UpstreamResponse) {
        let relayed = self.stream.as_ref().map_or_else(|| RelayedEvents::new(self.gw.now()), |stream| stream.relayed);
        let replica = Arc::clone(&resp.replica.id);
        self.stream = Some(StreamStats {
            replica,
            other_long_answers: resp.in_flight.sent().other_long_answers,
            relayed,
            framing: None,
        });
    }

    /// Records how the end of a stream that is complete was marked.
    pub(super) const fn record_stream_end(&mut self, framing: Framing) {
        if let Some(stream) = &mut self.stream {
            stream.framing = Some(framing);
        }
    }

    /// Records that another event was relayed; returns a part of the stream when enough has arrived to update
    /// estimates.
    pub(super) fn record_event(&mut self) -> Option<StreamPart> {
        let now = self.gw.now();
        let stream = self.stream.as_mut()?;
        stream.relayed.record(now);
        stream.relayed.next_part()
    }

    /// The part of the stream that was relayed after its first event.
    pub(super) fn relayed(&self) -> StreamPart {
        self.stream.as_ref().map(|stream| stream.relayed.total()).unwrap_or_default()
    }

    pub(super) fn set_outcome(&mut self, outcome: &'static str, status: u16) {
        if outcome == "answered" {
            self.sends.record_end(outcome);
        }
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
            sends = %self.sends,
            first_ms = self.first_byte_at.map(|at| at.since(self.arrived).as_millis()),
            took_ms = self.gw.now().since(self.arrived).as_millis(),
            replica = stream.map(|stream| &*stream.replica),
            beside = stream.map(|stream| stream.other_long_answers),
            events = stream.map(|stream| stream.relayed.count() + 1),
            interval_us = interval.map(|interval| interval.0),
            pause_ms = stream.map(|stream| stream.relayed.longest_interval().as_millis()),
            framing = stream.and_then(|stream| stream.framing).map(Framing::name)
        );
    }
}

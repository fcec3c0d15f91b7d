//! The daemon's metrics, recorded through `opentelemetry` and exported as Prometheus text.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram, MeterProvider as _},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::{caller_resources::CallerResources, error::StartError};

/// Bucket bounds of the histograms, in seconds.
const SECONDS: [f64; 12] = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0];

/// The instruments of one daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    frames_dropped: Counter<u64>,
    refused_calls: Counter<u64>,
    kv_calls: Counter<u64>,
    peer_calls: Counter<u64>,
    role_changes: Counter<u64>,
    first_token: Histogram<f64>,
    generation: Gauge<u64>,
    held: Gauge<u64>,
    live: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    /// Why the exporter cannot be set up.
    pub fn new(callers: &CallerResources) -> Result<Self, StartError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| StartError::Telemetry(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("dahliaseamd");
        callers.observe(&meter);
        Ok(Self {
            registry,
            requests: meter.u64_counter("dahliaseam_requests").with_description("Requests that are over").build(),
            attempts: meter.u64_counter("dahliaseam_attempts").with_description("Attempts that are over").build(),
            frames_dropped: meter
                .u64_counter("dahliaseam_frames_dropped")
                .with_description("Frames that were late, crossed or duplicated")
                .build(),
            refused_calls: meter
                .u64_counter("dahliaseam_refused_calls")
                .with_description("Calls without the secret or the token, and messages that cannot be read")
                .build(),
            kv_calls: meter
                .u64_counter("dahliaseam_kv_calls")
                .with_description("Calls to the key-value service")
                .build(),
            peer_calls: meter.u64_counter("dahliaseam_peer_calls").with_description("Calls to other daemons").build(),
            role_changes: meter
                .u64_counter("dahliaseam_role_changes")
                .with_description("Role changes that were decided on")
                .build(),
            first_token: meter
                .f64_histogram("dahliaseam_first_token_seconds")
                .with_description("Seconds from a request's arrival to its first token")
                .with_boundaries(SECONDS.to_vec())
                .build(),
            generation: meter
                .u64_gauge("dahliaseam_config_generation")
                .with_description("Generation of the configuration in force")
                .build(),
            held: meter.u64_gauge("dahliaseam_requests_held").with_description("Requests in the table").build(),
            live: meter.u64_gauge("dahliaseam_live_daemons").with_description("Daemons believed to be alive").build(),
            _provider: provider,
        })
    }

    /// Counts a finished request.
    pub fn request(&self, kind: &str, outcome: &str, reason: &str) {
        self.requests.add(
            1,
            &[
                KeyValue::new("kind", kind.to_owned()),
                KeyValue::new("outcome", outcome.to_owned()),
                KeyValue::new("reason", reason.to_owned()),
            ],
        );
    }

    /// Counts a finished attempt.
    pub fn attempt(&self, end: &str) {
        self.attempts.add(1, &[KeyValue::new("end", end.to_owned())]);
    }

    /// Counts a dropped frame.
    pub fn frame_dropped(&self, why: &'static str) {
        self.frames_dropped.add(1, &[KeyValue::new("why", why)]);
    }

    /// Counts a refused call.
    pub fn refused_call(&self, from: &'static str) {
        self.refused_calls.add(1, &[KeyValue::new("from", from)]);
    }

    /// Counts a call to the key-value service.
    pub fn kv_call(&self, what: &'static str) {
        self.kv_calls.add(1, &[KeyValue::new("what", what)]);
    }

    /// Counts a call to another daemon.
    pub fn peer_call(&self, what: &'static str) {
        self.peer_calls.add(1, &[KeyValue::new("what", what)]);
    }

    /// Counts a role change that the planner decided on.
    pub fn role_change(&self, pool: &str) {
        self.role_changes.add(1, &[KeyValue::new("pool", pool.to_owned())]);
    }

    /// Records the time from a request's arrival to its first token.
    pub fn first_token(&self, kind: &str, seconds: f64) {
        self.first_token.record(seconds, &[KeyValue::new("kind", kind.to_owned())]);
    }

    /// Records the current state.
    pub fn state(&self, generation: u64, held: usize, live: usize) {
        self.generation.record(generation, &[]);
        self.held.record(held as u64, &[]);
        self.live.record(live as u64, &[]);
    }

    /// All metrics as Prometheus text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        let families = self.registry.gather();
        if TextEncoder::new().encode(&families, &mut buf).is_err() {
            buf.clear();
        }
        String::from_utf8(buf).unwrap_or_default()
    }
}

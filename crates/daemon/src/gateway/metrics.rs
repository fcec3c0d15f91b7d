//! Metrics of the gateway, exported as Prometheus text.

use opentelemetry::{
    KeyValue,
    metrics::{AsyncInstrument, Counter, Gauge, Histogram, MeterProvider as _},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use tracing_appender::non_blocking::ErrorCounter;

use crate::{caller_resources::CallerResources, error::StartError};

/// Bucket bounds of the histograms, in seconds.
const BUCKETS_SECONDS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.5, 1.0, 2.5, 10.0];

/// Purpose of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreCall {
    /// Check whether the store is reachable again.
    Probe,
    /// Read everything.
    ReadAll,
    /// Wait for changes.
    Watch,
    /// Register this daemon, or renew its registration.
    Register,
    /// Acquire, renew or confirm leadership.
    Leadership,
    /// Store the usage report.
    Usage,
    /// Store the ordered pool sizes.
    Sizes,
    /// Acquire quota shards, or renew their lease.
    Quota,
    /// Record which versions of software serve.
    Software,
    /// Store which requests are refused or suspected because replicas crash while running them.
    Refused,
}

impl StoreCall {
    const fn name(self) -> &'static str {
        match self {
            Self::Probe => "probe",
            Self::ReadAll => "read_all",
            Self::Watch => "follow",
            Self::Register => "list",
            Self::Leadership => "orders",
            Self::Usage => "usage",
            Self::Sizes => "sizes",
            Self::Quota => "quota",
            Self::Software => "software",
            Self::Refused => "refused",
        }
    }
}

/// The instruments.
#[derive(Debug)]
pub(super) struct GatewayMetrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    store_calls: Counter<u64>,
    store_reads: Counter<u64>,
    peer_messages: Counter<u64>,
    tunnels_served: Counter<u64>,
    tunnels_requested: Counter<u64>,
    tunnels_failed: Counter<u64>,
    streams_taken_up: Counter<u64>,
    through_peers: Gauge<u64>,
    accused_parts: Gauge<u64>,
    lost_requests: Counter<u64>,
    usage_reports: Counter<u64>,
    size_orders: Counter<u64>,
    quota_units: Counter<u64>,
    proof_age: Gauge<f64>,
    first_byte: Histogram<f64>,
    prefill: Histogram<f64>,
    event_interval: Histogram<f64>,
}

impl GatewayMetrics {
    /// Creates the instruments; `log` counts dropped log lines.
    pub(super) fn new(log: Option<ErrorCounter>, callers: &CallerResources) -> Result<Self, StartError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| StartError::Telemetry(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("dahliaseamd");
        callers.observe(&meter);
        if let Some(log) = log {
            let dropped = move |seen: &dyn AsyncInstrument<u64>| seen.observe(log.dropped_lines() as u64, &[]);
            let _ = meter
                .u64_observable_counter("dahliaseam_log_lines_dropped")
                .with_description("Lines of the log that were dropped because too many waited")
                .with_callback(dropped)
                .build();
        }
        let counter = |name, description| meter.u64_counter(name).with_description(description).build();
        let histogram = |name, description| {
            meter.f64_histogram(name).with_description(description).with_boundaries(BUCKETS_SECONDS.to_vec()).build()
        };
        Ok(Self {
            requests: counter("dahliaseam_route_requests", "Requests that are over, by route and outcome"),
            attempts: counter("dahliaseam_route_attempts", "Tries at replicas that are over, by end"),
            store_calls: counter("dahliaseam_store_requests", "Calls to the key-value service, by what they are for"),
            store_reads: counter("dahliaseam_store_calls", "Calls that follow the key-value service, by end"),
            peer_messages: counter("dahliaseam_peer_messages", "Messages to and from other daemons"),
            tunnels_served: counter(
                "dahliaseam_tunnels_served",
                "Tunnels to replicas that peers asked for, by outcome",
            ),
            tunnels_requested: counter("dahliaseam_tunnels_requested", "Tunnels asked for at peers, by outcome"),
            streams_taken_up: counter(
                "dahliaseam_streams_taken_up",
                "Streams that callers took up, by who named where they began",
            ),
            tunnels_failed: counter("dahliaseam_tunnels_failed", "Tunnels that no peer opened, by reason"),
            through_peers: meter
                .u64_gauge("dahliaseam_replicas_through_peers")
                .with_description("Replicas that are reached only through peers")
                .build(),
            accused_parts: meter
                .u64_gauge("dahliaseam_accused_parts")
                .with_description(
                    "Parts of prompts under which replicas crash, by whether they are suspected or refused",
                )
                .build(),
            lost_requests: counter("dahliaseam_replica_ends", "Requests that were lost since their replica ended"),
            usage_reports: counter("dahliaseam_usage_reports", "Reports of usage that were sent, by answer"),
            size_orders: counter("dahliaseam_size_orders", "Orders of how many engines a hall has, by answer"),
            quota_units: counter("dahliaseam_quota_units", "Units of quotas that requests asked for, by outcome"),
            proof_age: meter
                .f64_gauge("dahliaseam_proof_age_seconds")
                .with_description("Seconds since the configuration in force was surely the newest")
                .build(),
            first_byte: histogram("dahliaseam_first_byte_seconds", "Seconds from a request to its answer's first byte"),
            prefill: histogram("dahliaseam_reading_seconds", "Seconds that an engine took to read a prompt"),
            event_interval: histogram(
                "dahliaseam_event_interval_seconds",
                "Mean seconds between two events of a stream that is over",
            ),
            registry,
            _provider: provider,
        })
    }

    /// Counts a finished request.
    pub(super) fn request(&self, route: &str, outcome: &'static str) {
        self.requests.add(1, &[KeyValue::new("route", route.to_owned()), KeyValue::new("outcome", outcome)]);
    }

    /// Counts a failed call to a replica.
    pub(super) fn failed_call(&self, end: &'static str) {
        self.attempts.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts a call to the store.
    pub(super) fn store_call(&self, purpose: StoreCall) {
        self.store_calls.add(1, &[KeyValue::new("what", purpose.name())]);
    }

    /// Counts a finished call that reads or watches the store, or a failed check whether it is reachable again.
    pub(super) fn store_read(&self, end: &'static str) {
        self.store_reads.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts a datagram that was sent to another daemon, or a load report that was received from one.
    pub(super) fn peer_message(&self, direction: &'static str) {
        self.peer_messages.add(1, &[KeyValue::new("way", direction)]);
    }

    /// Counts a tunnel that a peer asked for.
    pub(super) fn tunnel_served(&self, outcome: &'static str) {
        self.tunnels_served.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a stream that a caller takes up.
    pub(super) fn stream_taken_up(&self, named_by: &'static str) {
        self.streams_taken_up.add(1, &[KeyValue::new("named_by", named_by)]);
    }

    /// Counts a tunnel that none of the peers opened that were asked for it.
    pub(super) fn tunnel_failed(&self, why: &'static str) {
        self.tunnels_failed.add(1, &[KeyValue::new("why", why)]);
    }

    /// Counts a tunnel that a peer was asked for.
    pub(super) fn tunnel_requested(&self, outcome: &'static str) {
        self.tunnels_requested.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the number of replicas that are reached only through peers.
    pub(super) fn replicas_through_peers(&self, count: u64) {
        self.through_peers.record(count, &[]);
    }

    /// Records the numbers of suspected and of refused parts.
    pub(super) fn accused_parts(&self, suspected: usize, refused: usize) {
        self.accused_parts.record(suspected as u64, &[KeyValue::new("state", "suspected")]);
        self.accused_parts.record(refused as u64, &[KeyValue::new("state", "refused")]);
    }

    /// Counts a request that was lost because its replica crashed.
    pub(super) fn lost_request(&self) {
        self.lost_requests.add(1, &[]);
    }

    /// Counts a usage report that was sent.
    pub(super) fn usage_report(&self, answer: &'static str) {
        self.usage_reports.add(1, &[KeyValue::new("answer", answer)]);
    }

    /// Counts the units of a team's quota that a request asked for.
    pub(super) fn quota_units(&self, outcome: &'static str, units: u64) {
        self.quota_units.add(units, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts an order for the number of engines in a hall.
    pub(super) fn size_order(&self, answer: &'static str) {
        self.size_orders.add(1, &[KeyValue::new("answer", answer)]);
    }

    /// Records the time since the configuration in force was last proved to be the newest.
    pub(super) fn proof_age(&self, seconds: f64) {
        self.proof_age.record(seconds, &[]);
    }

    /// Records the time from a request to the first byte of its response.
    pub(super) fn first_byte(&self, route: &str, seconds: f64) {
        self.first_byte.record(seconds, &[KeyValue::new("route", route.to_owned())]);
    }

    /// Records the duration of a prefill.
    pub(super) fn prefill(&self, seconds: f64) {
        self.prefill.record(seconds, &[]);
    }

    /// Records the mean interval between the events of a finished stream.
    pub(super) fn event_interval(&self, route: &str, seconds: f64) {
        self.event_interval.record(seconds, &[KeyValue::new("route", route.to_owned())]);
    }

    /// All metrics as Prometheus text.
    pub(super) fn text(&self) -> Result<String, prometheus::Error> {
        let mut buf = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buf)?;
        Ok(String::from_utf8_lossy(&buf).into_owned())
    }
}

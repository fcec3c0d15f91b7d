//! The settings file: one JSON object, checked before anything starts.
//!
//! Settings name spans of time in milliseconds; wherever one is used it becomes a deadline.

use std::{fmt, net::SocketAddr, path::Path};

use dahliaseam_core::{dispatch::Policy, time::Span};
use serde::{Deserialize, de::DeserializeOwned};

use crate::error::SettingsError;

/// A value that is never printed.
#[derive(Clone, Deserialize, PartialEq, Eq)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// A secret.
    #[must_use]
    pub fn new(value: &str) -> Self {
        Self(value.to_owned())
    }

    /// The HTTP `authorization` value that proves its knowledge.
    #[must_use]
    pub fn bearer(&self) -> String {
        format!("Bearer {}", self.0)
    }

    fn len(&self) -> usize {
        self.0.len()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The settings of one daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM, as the platform lists it.
    pub vm: String,
    /// Hall of the VM.
    pub hall: String,
    /// `IP:port` for callers.
    pub caller_address: String,
    /// `IP:port` for operators, health and metrics.
    pub operator_address: String,
    /// `IP:port` for other daemons.
    pub peer_address: String,
    /// `IP:port` by which other daemons reach it, where that differs.
    #[serde(default)]
    pub peer_advertise: Option<String>,
    /// `IP:port` of the key-value service.
    pub kv_address: String,
    /// `IP:port` of the platform's list of VMs.
    pub vm_list_address: String,
    /// Prefix of this deployment's keys in the key-value service.
    pub keyspace: String,
    /// Secret that daemons show each other, 16 bytes at least.
    pub peer_secret: Secret,
    /// Token that operators show, 16 bytes at least.
    pub operator_token: Secret,
    /// Kind of a request that names none; without it such a request is refused.
    #[serde(default)]
    pub default_kind: Option<String>,
    /// Limits on what callers send.
    #[serde(default)]
    pub limits: Limits,
    /// Time limits of the daemon's own work.
    #[serde(default)]
    pub timing: Timing,
    /// Policy of dispatching.
    #[serde(default)]
    pub policy: PolicySettings,
    /// Loads of models, adapters and versions that a shard's holder orders a minute.
    #[serde(default = "default_loads")]
    pub loads_per_minute: f64,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// URL that takes OTLP traces over HTTP; none are sent without it.
    #[serde(default)]
    pub otlp_endpoint: Option<String>,
}

const fn default_loads() -> f64 {
    30.0
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Bytes of a body at most.
    pub body_bytes: usize,
    /// Bytes of all headers at most.
    pub header_bytes: usize,
    /// Milliseconds in which the headers must have come.
    pub header_ms: u64,
    /// Milliseconds in which the body must have come.
    pub body_ms: u64,
    /// Connections at once at most.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { body_bytes: 4 << 20, header_bytes: 16 << 10, header_ms: 10_000, body_ms: 30_000, connections: 10_000 }
    }
}

/// Time limits of the daemon's own work, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Time between two probes of other daemons.
    pub probe_ms: u64,
    /// Time for one call to another daemon.
    pub peer_call_ms: u64,
    /// Time for which a silent daemon may refute.
    pub suspicion_ms: u64,
    /// Time between two looks at the list of VMs.
    pub list_ms: u64,
    /// Bound on how far the list of VMs lags.
    pub list_lag_ms: u64,
    /// Time between two looks at an endpoint's load.
    pub observe_ms: u64,
    /// Age at which an unconfirmed configuration or list counts as old.
    pub confirm_ms: u64,
    /// Length of a shard's lease; whole seconds.
    pub lease_ms: u64,
    /// Time between two rounds of control.
    pub control_ms: u64,
    /// Time for which new work is taken after a planned stop began, while the balancer lags.
    pub stop_grace_ms: u64,
    /// Time for which an idempotency key is remembered at least.
    pub claim_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_ms: 500,
            peer_call_ms: 400,
            suspicion_ms: 2_000,
            list_ms: 1_000,
            list_lag_ms: 30_000,
            observe_ms: 500,
            confirm_ms: 3_000,
            lease_ms: 6_000,
            control_ms: 250,
            stop_grace_ms: 3_000,
            claim_ms: 600_000,
        }
    }
}

/// Policy of dispatching.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// Whether requests that cannot be in time are refused early.
    pub admission: bool,
    /// Requests that wait in one pool at most.
    pub queue_limit: usize,
    /// Attempts at one request at most.
    pub attempts: u32,
    /// Retries for each new request, on average.
    pub retry_ratio: f64,
    /// Factor on predicted times when an early refusal is weighed.
    pub refuse_margin: f64,
    /// Milliseconds of silence that fail an attempt.
    pub stall_ms: u64,
}

impl Default for PolicySettings {
    fn default() -> Self {
        let policy = Policy::default();
        Self {
            admission: policy.admission,
            queue_limit: policy.queue_limit,
            attempts: policy.max_attempts,
            retry_ratio: policy.retry_ratio,
            refuse_margin: policy.refuse_margin,
            stall_ms: policy.stall_timeout.as_millis(),
        }
    }
}

impl PolicySettings {
    /// The policy that these settings ask for.
    #[must_use]
    pub const fn policy(&self) -> Policy {
        Policy {
            admission: self.admission,
            queue_limit: self.queue_limit,
            max_attempts: self.attempts,
            retry_ratio: self.retry_ratio,
            refuse_margin: self.refuse_margin,
            stall_timeout: Span::millis(self.stall_ms),
        }
    }
}

/// Logs.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// How lines look.
    pub format: LogFormat,
    /// Which lines appear, in the syntax of `tracing`'s environment filter.
    pub filter: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: LogFormat::Json, filter: "info".to_owned() }
    }
}

/// How log lines look.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Words for a person.
    Text,
}

/// Shortest secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

impl Settings {
    /// Read and check a settings file.
    ///
    /// # Errors
    /// Why it cannot be used; the text names the field and what is expected there.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = read_file(path)?;
        settings.check()?;
        Ok(settings)
    }

    /// Check the values.
    ///
    /// # Errors
    /// The first field that cannot be used, and what is expected there.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_addresses()?;
        let long_enough = |secret: &Secret| secret.len() >= MIN_SECRET_BYTES;
        expect(long_enough(&self.peer_secret), "peer_secret", "16 bytes at least")?;
        expect(long_enough(&self.operator_token), "operator_token", "16 bytes at least")?;
        expect(!self.vm.is_empty(), "vm", "the VM's name")?;
        expect(!self.hall.is_empty(), "hall", "the hall's name")?;
        expect(self.keyspace.ends_with('/'), "keyspace", "a prefix that ends with '/'")?;
        let timing = &self.timing;
        expect(timing.lease_ms >= 2_000, "timing.lease_ms", "2000 at least")?;
        expect(timing.probe_ms >= 10, "timing.probe_ms", "10 at least")?;
        expect(timing.control_ms >= 10, "timing.control_ms", "10 at least")?;
        expect(timing.observe_ms >= 10, "timing.observe_ms", "10 at least")?;
        expect(timing.list_ms >= 10, "timing.list_ms", "10 at least")?;
        let confirm_ok = timing.confirm_ms >= 2 * timing.probe_ms;
        expect(confirm_ok, "timing.confirm_ms", "twice timing.probe_ms at least")?;
        expect(self.limits.connections > 0, "limits.connections", "1 at least")?;
        expect(self.limits.header_bytes >= 8_192, "limits.header_bytes", "8192 at least")?;
        expect(self.loads_per_minute > 0.0, "loads_per_minute", "a number above 0")?;
        expect(self.policy.attempts > 0, "policy.attempts", "1 at least")?;
        expect(self.policy.refuse_margin > 0.0, "policy.refuse_margin", "a number above 0")
    }

    /// The address that other daemons use.
    #[must_use]
    pub fn advertised_address(&self) -> &str {
        self.peer_advertise.as_deref().unwrap_or(&self.peer_address)
    }

    fn check_addresses(&self) -> Result<(), SettingsError> {
        let mut addresses = vec![
            ("caller_address", &self.caller_address),
            ("operator_address", &self.operator_address),
            ("peer_address", &self.peer_address),
            ("kv_address", &self.kv_address),
            ("vm_list_address", &self.vm_list_address),
        ];
        addresses.extend(self.peer_advertise.iter().map(|a| ("peer_advertise", a)));
        for (field, address) in addresses {
            let ok = address.parse::<SocketAddr>().is_ok();
            expect(ok, field, "an IP number and a port, as in 10.0.0.1:8000")?;
        }
        Ok(())
    }
}

/// Read a settings file, without checking its values.
pub(crate) fn read_file<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read(path).map_err(|e| SettingsError::Open(path.to_owned(), e))?;
    dahliaseam_wire::error::from_json(&text).map_err(|e| SettingsError::Read(path.to_owned(), e))
}

pub(crate) fn expect(ok: bool, path: &str, expected: &str) -> Result<(), SettingsError> {
    if ok {
        return Ok(());
    }
    Err(SettingsError::Value(path.to_owned(), expected.to_owned()))
}

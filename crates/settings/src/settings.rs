//! Settings of a daemon that serves the endpoints declared by operators: one JSON object, checked before anything
//! starts.
//!
//! Durations are given in milliseconds, and are converted to deadlines where they are used.

use std::{fmt, net::SocketAddr, path::Path};

use dahliaseam_core::{dispatch::Policy, time::Span};
use serde::{Deserialize, de::DeserializeOwned};

use crate::{
    error::SettingsError,
    memory::{MIN_MEMORY_MB, Memory},
};

/// A secret value, which is never printed.
#[derive(Clone, Deserialize, PartialEq, Eq)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Creates a secret.
    #[must_use]
    pub fn new(value: &str) -> Self {
        Self(value.to_owned())
    }

    /// Value of the HTTP `authorization` header that contains the secret.
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

/// Settings of one daemon.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM in the VM list.
    pub vm: String,
    /// Hall of the VM.
    pub hall: String,
    /// Address for callers, as `IP:port`.
    pub caller_address: String,
    /// Address for operators, health checks and metrics, as `IP:port`.
    pub operator_address: String,
    /// Address for other daemons, as `IP:port`.
    pub peer_address: String,
    /// Address at which other daemons reach this one, as `IP:port`, if it differs from `peer_address`.
    #[serde(default)]
    pub peer_advertise: Option<String>,
    /// Address of the key-value service, as `IP:port`.
    pub kv_address: String,
    /// Address of the platform's VM list, as `IP:port`.
    pub vm_list_address: String,
    /// Prefix of this deployment's keys in the key-value service.
    pub keyspace: String,
    /// Secret by which daemons authenticate to each other; at least 16 bytes.
    pub peer_secret: Secret,
    /// Token by which operators authenticate; at least 16 bytes.
    pub operator_token: Secret,
    /// Kind of the requests whose caller names none; if absent, such requests are refused.
    #[serde(default)]
    pub default_kind: Option<String>,
    /// Memory of the VM in megabytes; if absent, 256 or what the system has, whichever is less.
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// Limits on callers' requests and connections.
    #[serde(default)]
    pub limits: Limits,
    /// Intervals and time limits of the daemon's own work.
    #[serde(default)]
    pub timing: Timing,
    /// Dispatch policy.
    #[serde(default)]
    pub policy: PolicySettings,
    /// Maximum number of loads of models, adapters and versions that the holder of a shard orders per minute.
    #[serde(default = "default_loads")]
    pub loads_per_minute: f64,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// URL to which traces are sent by OTLP over HTTP; if absent, none are sent.
    #[serde(default)]
    pub otlp_endpoint: Option<String>,
}

const fn default_loads() -> f64 {
    30.0
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a body in bytes.
    pub body_bytes: usize,
    /// Maximum size of all headers in bytes.
    pub header_bytes: usize,
    /// Milliseconds within which the headers must arrive.
    pub header_ms: u64,
    /// Milliseconds within which the body must arrive.
    pub body_ms: u64,
    /// Maximum number of concurrent connections.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { body_bytes: 4 << 20, header_bytes: 16 << 10, header_ms: 10_000, body_ms: 30_000, connections: 10_000 }
    }
}

/// Intervals and time limits of the daemon's own work, in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Timing {
    /// Interval between probes of other daemons.
    pub probe_ms: u64,
    /// Timeout of a call to another daemon.
    pub peer_call_ms: u64,
    /// Time within which a daemon that is suspected of having failed can refute the suspicion.
    pub suspicion_ms: u64,
    /// Interval between reads of the VM list.
    pub list_ms: u64,
    /// Maximum time by which the VM list lags behind the actual state of the VMs.
    pub list_lag_ms: u64,
    /// Interval between queries of an endpoint's load.
    pub observe_ms: u64,
    /// Time without confirmation after which the configuration or the VM list counts as outdated.
    pub confirm_ms: u64,
    /// Duration of a shard's lease, rounded down to whole seconds.
    pub lease_ms: u64,
    /// Interval between rounds of the control loop.
    pub control_ms: u64,
    /// Time for which new requests are accepted after a planned stop has begun, until the load balancer has noticed.
    pub stop_grace_ms: u64,
    /// Minimum time for which an idempotency key is remembered.
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

/// Dispatch policy.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PolicySettings {
    /// Whether requests that cannot meet their deadline are refused early.
    pub admission: bool,
    /// Maximum number of waiting requests in one pool.
    pub queue_limit: usize,
    /// Maximum number of attempts per request.
    pub attempts: u32,
    /// Average number of retries allowed per new request.
    pub retry_ratio: f64,
    /// Factor applied to the predicted response time before it is compared with the deadline.
    pub refuse_margin: f64,
    /// Milliseconds without an output token after which an attempt counts as stalled, or three times the predicted time
    /// to the first token if that is longer.
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
    /// Converts the settings to the policy.
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

/// Settings of the log.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Format of the lines.
    pub format: LogFormat,
    /// Filter that selects the lines, in the syntax of `tracing`'s environment filter.
    pub filter: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: LogFormat::Json, filter: "info".to_owned() }
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Text for people.
    Text,
}

/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns why the file cannot be used; the message names the field and what is expected there.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = read_file(path)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks the values.
    ///
    /// # Errors
    /// Returns the first invalid field and what is expected there.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_addresses()?;
        let long_enough = |secret: &Secret| secret.len() >= MIN_SECRET_BYTES;
        expect(long_enough(&self.peer_secret), "peer_secret", "at least 16 bytes")?;
        expect(long_enough(&self.operator_token), "operator_token", "at least 16 bytes")?;
        expect(!self.vm.is_empty(), "vm", "the name of the VM")?;
        expect(!self.hall.is_empty(), "hall", "the name of the hall")?;
        expect(self.keyspace.ends_with('/'), "keyspace", "a prefix that ends with '/'")?;
        let timing = &self.timing;
        expect(timing.lease_ms >= 2_000, "timing.lease_ms", "at least 2000")?;
        expect(timing.probe_ms >= 10, "timing.probe_ms", "at least 10")?;
        expect(timing.control_ms >= 10, "timing.control_ms", "at least 10")?;
        expect(timing.observe_ms >= 10, "timing.observe_ms", "at least 10")?;
        expect(timing.list_ms >= 10, "timing.list_ms", "at least 10")?;
        let confirm_ok = timing.confirm_ms >= 2 * timing.probe_ms;
        expect(confirm_ok, "timing.confirm_ms", "at least twice timing.probe_ms")?;
        expect(self.limits.connections > 0, "limits.connections", "at least 1")?;
        expect(self.limits.header_bytes >= 8_192, "limits.header_bytes", "at least 8192")?;
        let has_memory = self.memory_mb.is_none_or(|megabytes| megabytes >= MIN_MEMORY_MB);
        expect(has_memory, "memory_mb", "at least 64")?;
        expect(self.loads_per_minute > 0.0, "loads_per_minute", "a number above 0")?;
        expect(self.policy.attempts > 0, "policy.attempts", "at least 1")?;
        expect(self.policy.refuse_margin > 0.0, "policy.refuse_margin", "a number above 0")
    }

    /// Memory of the VM.
    #[must_use]
    pub fn memory(&self) -> Memory {
        Memory::of(self.memory_mb)
    }

    /// Limits on callers' requests and connections, with no more connections than fit into the memory.
    #[must_use]
    pub fn caller_limits(&self) -> Limits {
        let in_memory = self.memory().connections(self.limits.header_bytes);
        Limits { connections: self.limits.connections.min(in_memory), ..self.limits }
    }

    /// Address at which other daemons reach this one.
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
            expect(ok, field, "an IP address and a port, as in 10.0.0.1:8000")?;
        }
        Ok(())
    }
}

/// Reads a settings file without checking its values.
pub(crate) fn read_file<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read(path).map_err(|e| SettingsError::Read(path.to_owned(), e))?;
    dahliaseam_wire::error::from_json(&text).map_err(|e| SettingsError::Parse(path.to_owned(), e))
}

pub(crate) fn expect(ok: bool, path: &str, expected: &str) -> Result<(), SettingsError> {
    if ok {
        return Ok(());
    }
    Err(SettingsError::Value(path.to_owned(), expected.to_owned()))
}

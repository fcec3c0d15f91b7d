//! Settings of a daemon that serves by routes: one JSON object, checked before anything starts.
//!
//! Such a daemon reads the routes and the replicas from the platform's key-value service, called the store.

use std::{
    net::{IpAddr, SocketAddr},
    path::Path,
};

use dahliaseam_core::{
    fleet::{budget::RetryBudgetTerms, policy::FleetPolicy},
    quota::terms::Tolerance,
    time::Span,
    usage::WindowSchedule,
};
use serde::Deserialize;

use crate::{
    error::SettingsError,
    memory::{MIN_MEMORY_MB, Memory},
    settings::{LogSettings, expect, read_file},
};

/// Settings of one daemon that serves by routes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the VM.
    pub vm: String,
    /// Hall of the VM.
    pub hall: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address at which the load balancer checks whether this VM is ready.
    pub ready_address: SocketAddr,
    /// Address at which other daemons fetch updates from this one.
    pub peer_address: SocketAddr,
    /// Address for other daemons: by UDP for messages such as load reports, by TCP for tunnels to replicas.
    pub load_address: SocketAddr,
    /// Address at which the metrics are served.
    pub metrics_address: SocketAddr,
    /// Source address of connections to replicas; absent if the system chooses it.
    #[serde(default)]
    pub source_address: Option<IpAddr>,
    /// Peer addresses of a few daemons, of which one is asked for a first snapshot; may be outdated.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Prefix of the daemons' own keys in the store.
    pub keyspace: String,
    /// Maximum number of open files.
    pub max_files: u32,
    /// Memory of the VM in megabytes; if absent, 256 or what the system has, whichever is less.
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// Bandwidth of the VM's network link, in megabits per second.
    pub link_mbps: f64,
    /// Retry budget of all daemons together.
    pub retries: RetrySettings,
    /// Time limits of the daemon's own work.
    pub timing: GatewayTiming,
    /// Limits on how soon changes to callers' keys must take effect; absent if there are none.
    #[serde(default)]
    pub keys: Option<KeySettings>,
    /// By how much teams may exceed their quotas.
    #[serde(default)]
    pub quotas: QuotaSettings,
    /// Calls to the platform that only one daemon may make at a time (duties); absent if there are none.
    #[serde(default)]
    pub duties: Option<DutySettings>,
    /// Parameters of the routing policy.
    #[serde(default)]
    pub policy: FleetPolicy,
    /// Settings of the log.
    #[serde(default)]
    pub log: LogSettings,
}

/// Retry budget of all daemons together for one service.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Number of retries allowed per new request.
    pub ratio: f64,
    /// Number of additional retries allowed in each window.
    pub slack: f64,
    /// Length of a window in seconds.
    pub window_s: f64,
}

impl RetrySettings {
    /// Converts the settings to the terms of the retry budget.
    #[must_use]
    pub fn terms(&self) -> RetryBudgetTerms {
        RetryBudgetTerms { ratio: self.ratio, slack: self.slack, window: Span::seconds(self.window_s) }
    }
}

/// Limits on how soon changes to callers' keys must take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Whether withdrawn keys must be refused in time on every VM, even on one that cannot reach the store.
    pub strict: bool,
    /// Milliseconds after its withdrawal from which a key must be refused.
    pub withdrawn_ms: u64,
    /// Milliseconds after its addition from which a key must be known.
    pub added_ms: u64,
}

impl KeySettings {
    /// Time after its withdrawal from which a key must be refused.
    #[must_use]
    pub const fn withdrawal_limit(&self) -> Span {
        Span::millis(self.withdrawn_ms)
    }

    /// Time after its addition from which a key must be known.
    #[must_use]
    pub const fn addition_limit(&self) -> Span {
        Span::millis(self.added_ms)
    }
}

/// By how much teams may exceed their quotas.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaSettings {
    /// Length in seconds of the windows in which usage is counted.
    pub window_s: f64,
    /// Share of its quota by which a team's usage in a window may exceed the quota.
    pub over: f64,
    /// Number of units by which the usage may exceed the quota in addition to that share.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self { window_s: 8.0, over: 0.0, slack: 0.0 }
    }
}

impl QuotaSettings {
    /// Tolerance by which quotas are divided among daemons.
    #[must_use]
    pub fn tolerance(&self) -> Tolerance {
        Tolerance { window: Span::seconds(self.window_s), excess_share: self.over, slack: self.slack }
    }
}

/// Calls to the platform that only one daemon may make at a time (duties).
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutySettings {
    /// Address at which the platform accepts these calls.
    pub address: SocketAddr,
    /// Names of the required duties; unknown names are ignored.
    pub asked: Vec<String>,
    /// Length in seconds of the windows of usage, one for each usage report.
    pub usage_window_s: f64,
    /// Seconds after the end of a window within which its usage report must arrive.
    pub usage_late_s: f64,
}

impl DutySettings {
    /// Windows of the usage reports.
    #[must_use]
    pub fn windows(&self) -> WindowSchedule {
        WindowSchedule {
            length_ms: Span::seconds(self.usage_window_s).as_millis(),
            due_ms: Span::seconds(self.usage_late_s).as_millis(),
        }
    }
}

/// Time limits of the daemon's own work.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayTiming {
    /// Milliseconds after the store has recovered from a fault within which this daemon must watch it again.
    pub contact_ms: u64,
    /// Seconds after the stop signal within which the process must exit.
    pub stop_s: f64,
    /// Minimum time in milliseconds between the last order of one leader and the first order of the next.
    pub order_lease_ms: u64,
}

/// Number of open files reserved for purposes other than connections of callers and to endpoints.
const RESERVED_FILES: u32 = 256;

impl GatewaySettings {
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
        expect(!self.vm.is_empty(), "vm", "the name of the VM")?;
        expect(!self.hall.is_empty(), "hall", "the name of the hall")?;
        expect(self.keyspace.ends_with('/'), "keyspace", "a prefix that ends with '/'")?;
        expect(self.max_files > 2 * RESERVED_FILES, "max_files", "a number above 512")?;
        let has_memory = self.memory_mb.is_none_or(|megabytes| megabytes >= MIN_MEMORY_MB);
        expect(has_memory, "memory_mb", "at least 64")?;
        expect(self.link_mbps > 0.0, "link_mbps", "a number above 0")?;
        expect(self.retries.ratio >= 0.0, "retries.ratio", "at least 0")?;
        expect(self.retries.slack >= 0.0, "retries.slack", "at least 0")?;
        expect(self.retries.window_s > 0.0, "retries.window_s", "a number above 0")?;
        expect(self.timing.contact_ms >= 500, "timing.contact_ms", "at least 500")?;
        expect(self.timing.stop_s >= 1.0, "timing.stop_s", "at least 1")?;
        if let Some(duties) = &self.duties {
            expect(duties.usage_window_s >= 1.0, "duties.usage_window_s", "at least 1")?;
            expect(duties.usage_late_s >= 1.0, "duties.usage_late_s", "at least 1")?;
        }
        if let Some(keys) = &self.keys {
            expect(keys.withdrawn_ms >= 1_000, "keys.withdrawn_ms", "at least 1000")?;
            expect(keys.added_ms >= 500, "keys.added_ms", "at least 500")?;
        }
        expect(self.quotas.window_s >= 1.0, "quotas.window_s", "at least 1")?;
        expect(self.quotas.over >= 0.0, "quotas.over", "at least 0")?;
        expect(self.quotas.slack >= 0.0, "quotas.slack", "at least 0")?;
        expect(self.timing.order_lease_ms >= 1_000, "timing.order_lease_ms", "at least 1000")
    }

    /// Memory of the VM.
    #[must_use]
    pub fn memory(&self) -> Memory {
        Memory::of(self.memory_mb)
    }

    /// Maximum number of concurrent tunnels that are served to other daemons. Each needs two files, and all of them
    /// together need at most a quarter of those that are not reserved.
    #[must_use]
    pub const fn tunnels(&self) -> usize {
        (self.max_files.saturating_sub(RESERVED_FILES) / 8) as usize
    }

    /// Maximum number of concurrent connections from callers: half of the files that are not reserved, since the
    /// connections to endpoints need the rest.
    #[must_use]
    pub const fn caller_connections(&self) -> usize {
        (self.max_files.saturating_sub(RESERVED_FILES) / 2) as usize
    }
}

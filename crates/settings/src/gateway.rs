//! The settings of a daemon that serves by routes: one JSON object, checked before anything starts.

use std::{net::SocketAddr, path::Path};

use dahliaseam_core::{
    fleet::{budget::RetryBudgetTerms, policy::FleetPolicy},
    quota::terms::Tolerance,
    time::Span,
    usage::WindowSchedule,
};
use serde::Deserialize;

use crate::{
    error::SettingsError,
    settings::{LogSettings, expect, read_file},
};

/// The settings of one daemon that serves by routes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the VM.
    pub vm: String,
    /// Hall of the VM.
    pub hall: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether this VM is ready.
    pub ready_address: SocketAddr,
    /// Where other daemons ask for what this one knows.
    pub peer_address: SocketAddr,
    /// Where other daemons send what they have under way, over UDP.
    pub load_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    /// Peer addresses of a few daemons, which may be old.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The key-value service.
    pub store_address: SocketAddr,
    /// Prefix of the daemons' own keys in the key-value service.
    pub keyspace: String,
    /// Open files at most.
    pub max_files: u32,
    /// Megabits a second that the VM's link carries.
    pub link_mbps: f64,
    /// Bounds on repeated sends, over all daemons.
    pub retries: RetrySettings,
    /// Spans of the daemon's own work.
    pub timing: GatewayTiming,
    /// How long callers' keys hold without a proof; absent where that has no bound.
    #[serde(default)]
    pub keys: Option<KeySettings>,
    /// How far teams may go beyond their quotas.
    #[serde(default)]
    pub quotas: QuotaSettings,
    /// What the platform takes from one daemon at a time; absent where it takes nothing.
    #[serde(default)]
    pub duties: Option<DutySettings>,
    /// Figures of the policy.
    #[serde(default)]
    pub policy: FleetPolicy,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Bounds on repeated sends to a service, over all daemons.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Repeats for each new request.
    pub ratio: f64,
    /// Repeats in a window beside those.
    pub slack: f64,
    /// Seconds of a window.
    pub window_s: f64,
}

impl RetrySettings {
    /// The terms that the budget works by.
    #[must_use]
    pub fn terms(&self) -> RetryBudgetTerms {
        RetryBudgetTerms { ratio: self.ratio, slack: self.slack, window: Span::seconds(self.window_s) }
    }
}

/// How old the configuration may be by which callers' keys are judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Whether a withdrawn key must have no effect after the bound on any VM, also one out of touch.
    pub strict: bool,
    /// Milliseconds after a key was withdrawn from which on it must have no effect.
    pub withdrawn_ms: u64,
    /// Milliseconds after a key was added from which on it must be known.
    pub added_ms: u64,
}

impl KeySettings {
    /// Time after which a withdrawn key must have no effect.
    #[must_use]
    pub const fn withdrawn(&self) -> Span {
        Span::millis(self.withdrawn_ms)
    }

    /// Time after which an added key must be known.
    #[must_use]
    pub const fn added(&self) -> Span {
        Span::millis(self.added_ms)
    }
}

/// How far teams may go beyond their quotas.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaSettings {
    /// Seconds of the windows in which usage is counted.
    pub window_s: f64,
    /// Share of the quota by which a window may exceed it.
    pub over: f64,
    /// Units by which it may exceed that.
    pub slack: f64,
}

impl Default for QuotaSettings {
    fn default() -> Self {
        Self { window_s: 8.0, over: 0.0, slack: 0.0 }
    }
}

impl QuotaSettings {
    /// The tolerance that quotas are split by.
    #[must_use]
    pub fn tolerance(&self) -> Tolerance {
        Tolerance { window: Span::seconds(self.window_s), excess_share: self.over, slack: self.slack }
    }
}

/// What the platform takes from one daemon at a time.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutySettings {
    /// Where it takes such calls.
    pub address: SocketAddr,
    /// Names of the duties that are asked for; those that are not known are passed over.
    pub asked: Vec<String>,
    /// Seconds of a window of the reports of usage.
    pub usage_window_s: f64,
    /// Seconds after a window's end within which its report must have come.
    pub usage_late_s: f64,
}

impl DutySettings {
    /// The windows of the reports of usage.
    #[must_use]
    pub fn windows(&self) -> WindowSchedule {
        WindowSchedule {
            length_ms: Span::seconds(self.usage_window_s).as_millis(),
            due_ms: Span::seconds(self.usage_late_s).as_millis(),
        }
    }
}

/// Spans of the daemon's own work.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayTiming {
    /// Milliseconds from an undisturbed store on in which this daemon must follow it again.
    pub contact_ms: u64,
    /// Seconds from the signal to stop until the process must be over.
    pub stop_s: f64,
    /// Milliseconds that separate the orders of two holders at least.
    pub order_lease_ms: u64,
}

/// Files that are kept for other things than connections.
const RESERVED_FILES: u32 = 256;

impl GatewaySettings {
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
        expect(!self.vm.is_empty(), "vm", "the VM's name")?;
        expect(!self.hall.is_empty(), "hall", "the hall's name")?;
        expect(self.keyspace.ends_with('/'), "keyspace", "a prefix that ends with '/'")?;
        expect(self.max_files > 2 * RESERVED_FILES, "max_files", "512 at least")?;
        expect(self.link_mbps > 0.0, "link_mbps", "a number above 0")?;
        expect(self.retries.ratio >= 0.0, "retries.ratio", "0 at least")?;
        expect(self.retries.slack >= 0.0, "retries.slack", "0 at least")?;
        expect(self.retries.window_s > 0.0, "retries.window_s", "a number above 0")?;
        expect(self.timing.contact_ms >= 500, "timing.contact_ms", "500 at least")?;
        expect(self.timing.stop_s >= 1.0, "timing.stop_s", "1 at least")?;
        if let Some(duties) = &self.duties {
            expect(duties.usage_window_s >= 1.0, "duties.usage_window_s", "1 at least")?;
            expect(duties.usage_late_s >= 1.0, "duties.usage_late_s", "1 at least")?;
        }
        if let Some(keys) = &self.keys {
            expect(keys.withdrawn_ms >= 1_000, "keys.withdrawn_ms", "1000 at least")?;
            expect(keys.added_ms >= 500, "keys.added_ms", "500 at least")?;
        }
        expect(self.quotas.window_s >= 1.0, "quotas.window_s", "1 at least")?;
        expect(self.quotas.over >= 0.0, "quotas.over", "0 at least")?;
        expect(self.quotas.slack >= 0.0, "quotas.slack", "0 at least")?;
        expect(self.timing.order_lease_ms >= 1_000, "timing.order_lease_ms", "1000 at least")
    }

    /// Connections of callers at once at most: half of the files, the rest goes to endpoints.
    #[must_use]
    pub const fn caller_connections(&self) -> usize {
        (self.max_files.saturating_sub(RESERVED_FILES) / 2) as usize
    }
}

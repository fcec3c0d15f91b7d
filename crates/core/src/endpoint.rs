//! The table of endpoints, as this daemon sees them.
//!
//! A view is always somewhat old: the last report, aged, plus what this daemon has sent since.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use crate::{eject::Health, time::Time, window::Window};

new_key_type! {
    /// Key of an endpoint in this daemon's table.
    pub struct EndpointKey;
    /// Key of a pool in this daemon's table.
    pub struct PoolKey;
}

/// What an endpoint does in its pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An engine that processes prompts and exports their KV cache.
    Prefill,
    /// An engine that imports KV caches and generates.
    Decode,
    /// An engine that does both.
    #[default]
    Mixed,
    /// A plain service.
    Plain,
}

/// Whether new work may go to an endpoint, apart from its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminState {
    /// It serves.
    Serving,
    /// It is leaving or about to change; no new work.
    Draining,
}

/// What an endpoint said of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Prompt tokens that wait for prefill.
    pub queued_prefill: u32,
    /// Sequences being generated.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Share of the KV cache in use, 0 to 1.
    pub kv_used: f32,
}

/// Rates learned from what was observed, with starting values from the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rates {
    /// Prompt tokens a second.
    pub prefill: f64,
    /// Seconds of one decode step in an empty batch.
    pub step: f64,
    /// Seconds that each further sequence adds to a step.
    pub step_per_seq: f64,
    /// Sequences in the batch at most.
    pub slots: u32,
}

impl Default for Rates {
    fn default() -> Self {
        Self { prefill: 8_000.0, step: 0.012, step_per_seq: 0.000_3, slots: 32 }
    }
}

/// One endpoint's row.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its name in the configuration.
    pub name: String,
    /// Hash of its name, the same on every daemon.
    pub hash: u64,
    /// The pool it serves.
    pub pool: PoolKey,
    /// Its role.
    pub role: Role,
    /// Whether new work may go there.
    pub admin_state: AdminState,
    /// Its last report.
    pub report: LoadReport,
    /// When that report was true, by this daemon's clock.
    pub report_at: Time,
    /// Prompt tokens sent by this daemon that have not had a first token.
    pub own_prefill_tokens: f64,
    /// Of `own_prefill`, what was sent after the report was true.
    pub own_tokens_since_report: f64,
    /// What peers said they have in flight there: prompt tokens.
    pub peer_prefill_tokens: f64,
    /// Rates as learned.
    pub rates: Rates,
    /// The adaptive window.
    pub window: Window,
    /// The health as observed.
    pub health: Health,
    /// Prefixes that this daemon believes are cached there, with when it was last used.
    pub prefixes: HashMap<u64, Time>,
    /// Adapters loaded, by identifier.
    pub adapters: Vec<u64>,
    /// Whether it left the configuration; the row goes with its last attempt.
    pub removed: bool,
}

/// Prefixes remembered for one endpoint at most.
const MAX_PREFIXES: usize = 512;

impl Endpoint {
    /// A fresh row without any report.
    #[must_use]
    pub fn new(name: &str, pool: PoolKey, role: Role, rates: Rates, live: usize) -> Self {
        let slots = f64::from(rates.slots);
        // A daemon alone may fill the endpoint twice over; among many, each starts with a share.
        let start = (2.0 * slots / live.max(1) as f64).max(4.0);
        Self {
            name: name.to_owned(),
            hash: crate::hash::bytes(name.as_bytes()),
            pool,
            role,
            admin_state: AdminState::Serving,
            report: LoadReport::default(),
            report_at: Time::default(),
            own_prefill_tokens: 0.0,
            own_tokens_since_report: 0.0,
            peer_prefill_tokens: 0.0,
            rates,
            window: Window::new(start, start),
            health: Health::default(),
            prefixes: HashMap::new(),
            adapters: Vec::new(),
            removed: false,
        }
    }

    /// Take in a report that was true at `at`; an older one than the present is dropped.
    pub fn observe(&mut self, report: LoadReport, at: Time) -> bool {
        if at < self.report_at {
            return false;
        }
        self.report = report;
        self.report_at = at;
        self.own_tokens_since_report = 0.0;
        true
    }

    /// Whether new work may go there at `now`.
    #[must_use]
    pub fn is_open(&self, now: Time) -> bool {
        self.admin_state == AdminState::Serving && self.health.is_available(now)
    }

    /// Remember that `prefix` was sent there.
    pub fn add_prefix(&mut self, prefix: u64, now: Time) {
        if self.prefixes.len() >= MAX_PREFIXES && !self.prefixes.contains_key(&prefix) {
            let oldest = self.prefixes.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key);
            if let Some(key) = oldest {
                self.prefixes.remove(&key);
            }
        }
        self.prefixes.insert(prefix, now);
    }

    /// Correct the belief about `prefix` from a cache event.
    pub fn remove_prefix(&mut self, prefix: u64) {
        self.prefixes.remove(&prefix);
    }
}

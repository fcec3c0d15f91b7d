//! Endpoint table, as seen by this daemon.
//!
//! The view is always somewhat stale: it consists of the last load report, adjusted for its age, and of what
//! this daemon has sent since.

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

/// Role of an endpoint in its pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Engine that prefills prompts and exports their KV cache.
    Prefill,
    /// Engine that imports KV caches and decodes.
    Decode,
    /// Engine that does both.
    #[default]
    Mixed,
    /// Plain service.
    Plain,
}

/// Whether an endpoint takes new work, regardless of its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminState {
    /// It takes new work.
    Serving,
    /// It takes no new work, because it is leaving or about to change.
    Draining,
}

/// Load as reported by an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Prompt tokens queued for prefill.
    pub queued_prefill: u32,
    /// Sequences being decoded.
    pub running: u32,
    /// Requests that wait for a slot in the batch.
    pub waiting: u32,
    /// Share of the KV cache in use, 0 to 1.
    pub kv_used: f32,
}

/// Performance figures, initially from the configuration, then learned from observations.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rates {
    /// Prompt tokens per second.
    pub prefill: f64,
    /// Seconds of one decode step with an empty batch.
    pub step: f64,
    /// Seconds that each further sequence adds to a step.
    pub step_per_seq: f64,
    /// Maximum number of sequences in a batch.
    pub slots: u32,
}

impl Default for Rates {
    fn default() -> Self {
        Self { prefill: 8_000.0, step: 0.012, step_per_seq: 0.000_3, slots: 32 }
    }
}

/// Row of one endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name in the configuration.
    pub name: String,
    /// Hash of the name, the same on every daemon.
    pub hash: u64,
    /// Pool of the endpoint.
    pub pool: PoolKey,
    /// Role in the pool.
    pub role: Role,
    /// Whether it takes new work.
    pub admin_state: AdminState,
    /// Last load report.
    pub report: EngineLoad,
    /// When the last report was valid, by this daemon's clock.
    pub report_at: Time,
    /// Uncached prompt tokens sent by this daemon whose request has had no token yet.
    pub own_prefill_tokens: f64,
    /// Uncached prompt tokens sent by this daemon after the last report was valid.
    pub own_tokens_since_report: f64,
    /// Prompt tokens that other daemons have in flight there.
    pub peer_prefill_tokens: f64,
    /// Learned performance figures.
    pub rates: Rates,
    /// Adaptive limit on attempts in flight.
    pub window: Window,
    /// Observed health.
    pub health: Health,
    /// Prefixes probably cached there, with the time of their last use.
    pub prefixes: HashMap<u64, Time>,
    /// Identifiers of the loaded adapters.
    pub adapters: Vec<u64>,
    /// Whether it was removed from the configuration; the row is dropped after its last attempt.
    pub removed: bool,
}

/// Maximum number of prefixes remembered per endpoint.
const MAX_PREFIXES: usize = 512;

impl Endpoint {
    /// Creates a row without a load report; `live` is the number of live daemons.
    #[must_use]
    pub fn new(name: &str, pool: PoolKey, role: Role, rates: Rates, live: usize) -> Self {
        let slots = f64::from(rates.slots);
        // A single daemon may fill the endpoint twice over; with several, each starts with a share of that.
        let start = (2.0 * slots / live.max(1) as f64).max(4.0);
        Self {
            name: name.to_owned(),
            hash: crate::hash::bytes(name.as_bytes()),
            pool,
            role,
            admin_state: AdminState::Serving,
            report: EngineLoad::default(),
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

    /// Records a load report that was valid at `at` and returns whether it did. Older reports are ignored.
    pub fn observe(&mut self, report: EngineLoad, at: Time) -> bool {
        if at < self.report_at {
            return false;
        }
        self.report = report;
        self.report_at = at;
        self.own_tokens_since_report = 0.0;
        true
    }

    /// Whether new work may be sent at `now`.
    #[must_use]
    pub fn is_open(&self, now: Time) -> bool {
        self.admin_state == AdminState::Serving && self.health.is_available(now)
    }

    /// Records that `prefix` was sent there, and evicts the least recently used prefix if there are too many.
    pub fn add_prefix(&mut self, prefix: u64, now: Time) {
        if self.prefixes.len() >= MAX_PREFIXES && !self.prefixes.contains_key(&prefix) {
            let oldest = self.prefixes.iter().min_by_key(|(_, at)| **at).map(|(key, _)| *key);
            if let Some(key) = oldest {
                self.prefixes.remove(&key);
            }
        }
        self.prefixes.insert(prefix, now);
    }

    /// Forgets `prefix` after a cache event reported its eviction.
    pub fn remove_prefix(&mut self, prefix: u64) {
        self.prefixes.remove(&prefix);
    }
}

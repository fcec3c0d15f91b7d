//! A shard's lease and fencing number.

use dahliaseam_border::{
    error::CallError,
    kv::{LeaseId, Swap},
};
use dahliaseam_core::{
    lease::Authority,
    time::{Span, Time},
};

use crate::{emit, node::Node};

/// Interval between attempts to acquire a free lease.
const ACQUIRE_INTERVAL: Span = Span::millis(1_000);
/// Number of times that a lease is renewed within its duration.
const RENEWALS_PER_TTL: u64 = 3;
const MILLIS_PER_SECOND: u64 = 1_000;

/// The lease of one shard, held or not.
#[derive(Debug)]
pub(super) struct Shard {
    name: String,
    holder_key: String,
    epoch_key: String,
    held: Option<(LeaseId, Authority)>,
    next_acquire_at: Time,
    renew_at: Time,
}

impl Shard {
    pub(super) fn new(node: &Node, name: &str) -> Self {
        let key = |part: &str| format!("{}shards/{name}/{part}", node.settings.keyspace);
        Self {
            name: name.to_owned(),
            holder_key: key("holder"),
            epoch_key: key("epoch"),
            held: None,
            next_acquire_at: Time::default(),
            renew_at: Time::default(),
        }
    }

    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// The authority, if it is valid at `now`.
    pub(super) fn authority(&self, now: Time) -> Option<Authority> {
        self.held.map(|(_, authority)| authority).filter(|a| a.holds(now))
    }

    /// Renews the lease when due, or tries to acquire it if this daemon is a candidate.
    pub(super) async fn maintain(&mut self, node: &Node, candidate: bool) {
        let now = node.now();
        if self.held.is_some() && self.authority(now).is_none() {
            self.lose(node, "the lease was not renewed in time");
        }
        if let Some((lease, _)) = self.held {
            if self.renew_at.is_past(now) {
                self.renew(node, lease).await;
            }
        } else if candidate && self.next_acquire_at.is_past(now) {
            self.next_acquire_at = now + ACQUIRE_INTERVAL;
            // Failing is normal: another daemon holds the lease, or the service is unreachable.
            let _ = self.try_acquire(node).await;
        }
    }

    /// Revokes the lease, so that another daemon need not wait until it expires.
    pub(super) async fn hand_over(&mut self, node: &Node) {
        if let Some((lease, _)) = self.held {
            self.lose(node, "handed over");
            node.metrics.kv_call("revoke");
            let _ = node.kv.revoke(lease).await;
        }
    }

    fn ttl(node: &Node) -> Span {
        Span::millis(node.settings.timing.lease_ms / MILLIS_PER_SECOND * MILLIS_PER_SECOND)
    }

    async fn renew(&mut self, node: &Node, lease: LeaseId) {
        let sent = node.now();
        let ttl = Self::ttl(node);
        self.renew_at = sent + Span(ttl.0 / RENEWALS_PER_TTL);
        node.metrics.kv_call("renew");
        match node.kv.keep_alive(lease).await {
            Ok(true) => {
                if let Some((_, authority)) = &mut self.held {
                    authority.renewed(sent, ttl);
                }
            }
            Ok(false) => self.lose(node, "the lease expired or was revoked"),
            // Without an answer, the deadline of the authority limits how long this daemon still relies on it.
            Err(_) => self.renew_at = node.now() + Span(ttl.0 / RENEWALS_PER_TTL / RENEWALS_PER_TTL),
        }
    }

    async fn try_acquire(&mut self, node: &Node) -> Result<(), CallError> {
        node.metrics.kv_call("holder_read");
        if node.kv.read(&self.holder_key).await?.is_some() {
            return Ok(());
        }
        node.metrics.kv_call("epoch_read");
        let epoch = node.kv.read(&self.epoch_key).await?;
        let new_epoch = epoch.as_ref().and_then(|e| e.value.parse::<u64>().ok()).unwrap_or(0) + 1;
        let sent = node.now();
        let ttl = Self::ttl(node);
        node.metrics.kv_call("grant");
        let lease = node.kv.grant(ttl.as_millis() / MILLIS_PER_SECOND).await?;
        let token = node.identity.new_id();
        let swaps = vec![
            Swap {
                key: self.epoch_key.clone(),
                required_revision: epoch.map_or(0, |e| e.revision),
                value: Some(new_epoch.to_string()),
                lease: None,
            },
            Swap { key: self.holder_key.clone(), required_revision: 0, value: Some(token.clone()), lease: Some(lease) },
        ];
        node.metrics.kv_call("stand");
        let acquired = match node.kv.swap_all(swaps).await {
            Ok(acquired) => acquired,
            Err(e) if e.had_no_effect() => false,
            // The answer was lost; the holder's token shows whether the write took effect.
            Err(_) => node.kv.read(&self.holder_key).await?.is_some_and(|e| e.value == token),
        };
        if !acquired {
            let _ = node.kv.revoke(lease).await;
            return Ok(());
        }
        self.held = Some((lease, Authority::granted(new_epoch, sent, ttl)));
        self.renew_at = sent + Span(ttl.0 / RENEWALS_PER_TTL);
        node.control.add_shard(&self.name, new_epoch);
        emit!(info, SHARD_WON, shard = self.name, epoch = new_epoch);
        Ok(())
    }

    fn lose(&mut self, node: &Node, why: &str) {
        if let Some((_, authority)) = self.held.take() {
            node.control.remove_shard(&self.name);
            emit!(info, SHARD_LOST, shard = self.name, epoch = authority.epoch(), why);
        }
    }
}

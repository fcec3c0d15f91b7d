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

/// Time between two looks for a free lease.
const LOOK: Span = Span::millis(1_000);
/// A lease is renewed this many times before it would end.
const RENEWALS: u64 = 3;
const MILLIS: u64 = 1_000;

/// The lease of one shard, held or not.
#[derive(Debug)]
pub(super) struct Shard {
    name: String,
    holder_key: String,
    epoch_key: String,
    held: Option<(LeaseId, Authority)>,
    look_at: Time,
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
            look_at: Time::default(),
            renew_at: Time::default(),
        }
    }

    pub(super) fn name(&self) -> &str {
        &self.name
    }

    /// The authority, if it holds at `now`.
    pub(super) fn authority(&self, now: Time) -> Option<Authority> {
        self.held.map(|(_, authority)| authority).filter(|a| a.holds(now))
    }

    /// Renew the lease when due, or try to win it.
    pub(super) async fn keep(&mut self, node: &Node, candidate: bool) {
        let now = node.now();
        if self.held.is_some() && self.authority(now).is_none() {
            self.lose(node, "its deadline passed");
        }
        if let Some((lease, _)) = self.held {
            if self.renew_at.is_past(now) {
                self.renew(node, lease).await;
            }
        } else if candidate && self.look_at.is_past(now) {
            self.look_at = now + LOOK;
            // Failing to win is usual: another holds it, or the service is down.
            let _ = self.stand(node).await;
        }
    }

    /// Give the lease up, so that another need not wait for its end.
    pub(super) async fn hand_over(&mut self, node: &Node) {
        if let Some((lease, _)) = self.held {
            self.lose(node, "handed over");
            node.metrics.kv_call("revoke");
            let _ = node.kv.revoke(lease).await;
        }
    }

    fn ttl(node: &Node) -> Span {
        Span::millis(node.settings.timing.lease_ms / MILLIS * MILLIS)
    }

    async fn renew(&mut self, node: &Node, lease: LeaseId) {
        let sent = node.now();
        let ttl = Self::ttl(node);
        self.renew_at = sent + Span(ttl.0 / RENEWALS);
        node.metrics.kv_call("renew");
        match node.kv.keep_alive(lease).await {
            Ok(true) => {
                if let Some((_, authority)) = &mut self.held {
                    authority.renewed(sent, ttl);
                }
            }
            Ok(false) => self.lose(node, "the lease is gone"),
            // No answer: the deadline bounds what this daemon still believes.
            Err(_) => self.renew_at = node.now() + Span(ttl.0 / RENEWALS / RENEWALS),
        }
    }

    async fn stand(&mut self, node: &Node) -> Result<(), CallError> {
        node.metrics.kv_call("holder_read");
        if node.kv.read(&self.holder_key).await?.is_some() {
            return Ok(());
        }
        node.metrics.kv_call("epoch_read");
        let epoch = node.kv.read(&self.epoch_key).await?;
        let number = epoch.as_ref().and_then(|e| e.value.parse::<u64>().ok()).unwrap_or(0) + 1;
        let sent = node.now();
        let ttl = Self::ttl(node);
        node.metrics.kv_call("grant");
        let lease = node.kv.grant(ttl.as_millis() / MILLIS).await?;
        let token = node.identity.fresh();
        let swaps = vec![
            Swap {
                key: self.epoch_key.clone(),
                expect: epoch.map_or(0, |e| e.revision),
                value: Some(number.to_string()),
                lease: None,
            },
            Swap { key: self.holder_key.clone(), expect: 0, value: Some(token.clone()), lease: Some(lease) },
        ];
        node.metrics.kv_call("stand");
        let won = match node.kv.swap_all(swaps).await {
            Ok(won) => won,
            Err(e) if e.had_no_effect() => false,
            // The answer is lost: this process's own token tells whether it took effect.
            Err(_) => node.kv.read(&self.holder_key).await?.is_some_and(|e| e.value == token),
        };
        if !won {
            let _ = node.kv.revoke(lease).await;
            return Ok(());
        }
        self.held = Some((lease, Authority::granted(number, sent, ttl)));
        self.renew_at = sent + Span(ttl.0 / RENEWALS);
        node.board.won(&self.name, number);
        emit!(info, SHARD_WON, shard = self.name, epoch = number);
        Ok(())
    }

    fn lose(&mut self, node: &Node, why: &str) {
        if let Some((_, authority)) = self.held.take() {
            node.board.lost(&self.name);
            emit!(info, SHARD_LOST, shard = self.name, epoch = authority.epoch(), why);
        }
    }
}

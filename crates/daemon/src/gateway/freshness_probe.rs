//! Freshness probes: proofs of how recent the configuration is, requested from other daemons.
//!
//! Daemons that watch the store have proofs of their own. Each of the others probes one of these several times a
//! second, and dates the proof by the time at which it sent the probe. If its proof becomes old, it also probes one
//! daemon of each other hall and any peer of its own hall, and asks the store itself.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use dahliaseam_core::{
    proof::Proof,
    revision,
    time::{Span, Time},
};

use crate::{
    emit,
    gateway::{packet::Packet, peers, state::Gateway},
};

/// Interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Number of latest probes whose replies are still accepted.
const MAX_OUTSTANDING_PROBES: usize = 16;
/// Age of a proof beyond which daemons of other halls, and a peer of this hall that may not watch the store, are asked
/// as well.
const OTHER_HALLS_AFTER: Span = Span::millis(1_500);

/// Probes that this daemon sent.
#[derive(Debug, Default)]
pub(super) struct Probes {
    outstanding: Mutex<VecDeque<(u64, Time)>>,
}

impl Probes {
    fn record_sent(&self, probe: u64, now: Time) {
        let mut outstanding = self.outstanding.lock().unwrap_or_else(PoisonError::into_inner);
        outstanding.push_back((probe, now));
        if outstanding.len() > MAX_OUTSTANDING_PROBES {
            outstanding.pop_front();
        }
    }

    /// When a probe was sent. Several daemons may reply to it.
    fn sent_at(&self, probe: u64) -> Option<Time> {
        let outstanding = self.outstanding.lock().unwrap_or_else(PoisonError::into_inner);
        outstanding.iter().find(|(number, _)| *number == probe).map(|(_, at)| *at)
    }
}

/// Keeps the proof recent until the daemon shuts down.
pub(super) async fn run(gw: Arc<Gateway>) {
    if !gw.keys.requires_proof() {
        return;
    }
    let stop = gw.stop.finished.clone();
    tokio::select! {
        () = probe(&gw) => {}
        () = stop.cancelled() => {}
    }
}

async fn probe(gw: &Gateway) {
    let mut was_stale = false;
    loop {
        gw.sleep(PROBE_INTERVAL).await;
        let now = gw.now();
        let is_stale = gw.keys.is_proof_stale(now);
        if is_stale != was_stale {
            emit!(
                info,
                PROOF_OLD,
                old = is_stale,
                age_ms = gw.keys.proof_age_ms(now),
                revision = revision::number(gw.store_cache().revision)
            );
            was_stale = is_stale;
        }
        if let Some(age) = gw.keys.proof_age(now) {
            gw.metrics.proof_age(age.as_seconds());
        }
        let (watching, unreachable) = {
            let cache = gw.store_cache();
            (cache.watching, cache.unreachable)
        };
        if watching && !unreachable {
            continue;
        }
        let probe = gw.random();
        gw.probes.record_sent(probe, now);
        peers::send_packet(gw, &Packet::Probe { probe }, &recipients(gw, now)).await;
    }
}

fn recipients(gw: &Gateway, now: Time) -> Vec<SocketAddr> {
    let mut recipients: Vec<SocketAddr> = gw.peers.watcher(gw.hall, gw.random(), now).into_iter().collect();
    if gw.keys.proof_age(now).is_none_or(|age| age > OTHER_HALLS_AFTER) {
        recipients.extend(gw.peers.one_of_each_hall(gw.hall, gw.random()));
        recipients.extend(gw.peers.any_hall_peer(gw.hall, gw.random()));
    }
    recipients
}

/// Replies to a probe.
pub(super) async fn handle_probe(gw: &Gateway, from: SocketAddr, probe: u64) {
    let now = gw.now();
    if let Some(proof) = gw.keys.newest_proof() {
        let packet = Packet::Proof { probe, revision: proof.revision, age_us: now.since(proof.at).0 };
        peers::send_packet(gw, &packet, &[from]).await;
    }
}

/// Handles the reply to a probe.
pub(super) fn handle_proof(gw: &Gateway, probe: u64, revision: i64, age: Span) {
    if let Some(sent_at) = gw.probes.sent_at(probe) {
        gw.keys.record_proof(Proof { revision, at: sent_at - age });
    }
}

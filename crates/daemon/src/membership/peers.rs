//! Probing of other daemons, and the gossip that the probes carry.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use dahliaseam_core::{
    endpoint::EngineLoad,
    member::{Contact, MemberKey},
    time::{Span, Time},
};
use dahliaseam_wire::peer::{Digest, EndpointLoad, PeerClient, Probe, ProbeAnswer};
use futures_util::future::join_all;
use http::{HeaderMap, HeaderValue, header::AUTHORIZATION};
use jsonrpsee::{
    core::middleware::layer::RpcLogger,
    http_client::{HttpClient, HttpClientBuilder, RpcService},
};
use tower::ServiceBuilder;

use crate::{configuration::configure, emit, endpoint::duties, membership::peer_transport::PeerTransport, node::Node};

/// Maximum number of load reports in one message.
const MAX_LOAD_REPORTS: usize = 64;
/// Load reports older than this are not passed on.
const MAX_LOAD_AGE: Span = Span::millis(5_000);
/// Number of daemons that are notified immediately of a newer configuration.
const ANNOUNCE_FANOUT: usize = 3;
/// Number of times per probing period that the loop checks whether a probe is due.
const CHECKS_PER_PERIOD: u64 = 4;

/// JSON-RPC client of one other daemon.
pub type PeerRpc = HttpClient<RpcLogger<RpcService<PeerTransport>>>;

/// Clients of other daemons, by address.
#[derive(Debug, Default)]
pub struct PeerClients {
    transport: PeerTransport,
    by_address: Mutex<HashMap<String, PeerRpc>>,
}

impl PeerClients {
    /// The client for the daemon at `address`.
    #[must_use]
    pub fn get(&self, node: &Node, address: &str) -> Option<PeerRpc> {
        let mut clients = self.by_address.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(address) {
            return Some(client.clone());
        }
        let mut headers = HeaderMap::new();
        headers.insert(AUTHORIZATION, HeaderValue::from_str(&node.settings.peer_secret.bearer()).ok()?);
        let client = HttpClientBuilder::default()
            .request_timeout(Duration::from_millis(node.settings.timing.peer_call_ms))
            .set_headers(headers)
            .set_http_middleware(ServiceBuilder::new().layer(self.transport.clone()))
            .build(format!("http://{address}"))
            .ok()?;
        clients.insert(address.to_owned(), client.clone());
        Some(client)
    }
}

/// Probes other daemons until this one stops.
pub async fn run(node: Arc<Node>) {
    let check_interval = Duration::from_millis((node.settings.timing.probe_ms / CHECKS_PER_PERIOD).max(1));
    let mut live = 0;
    while !node.stop.finished.is_cancelled() {
        let now = node.now();
        let target = node.members().next_probe_target(now);
        if let Some(key) = target {
            // Probes run in their own tasks, so that one slow daemon does not delay the others.
            tokio::spawn(probe(Arc::clone(&node), key));
        }
        confirm_if_alone(&node, now);
        let now_live = node.members().live_count();
        if now_live != live {
            live = now_live;
            emit!(info, MEMBER, live);
            node.dispatcher.configure(&node.document(), live, now);
        }
        tokio::select! {
            () = tokio::time::sleep(check_interval) => {}
            () = node.stop.finished.cancelled() => {}
        }
    }
}

/// A daemon that is alone in the list needs no answer from another to count as reachable.
fn confirm_if_alone(node: &Node, now: Time) {
    let (reachable, listed) = node.members().reachability();
    if listed == 1 && node.freshness().list_at().is_some() {
        node.freshness().set_reachable(reachable, listed, now);
    }
}

/// Notifies other daemons of a newer configuration as soon as it is in force, until this daemon stops.
pub async fn announce_config(node: Arc<Node>) {
    let mut config = node.config.subscribe();
    loop {
        tokio::select! {
            changed = config.changed() => if changed.is_err() { return },
            () = node.stop.finished.cancelled() => return,
        }
        let mut selected = Vec::new();
        for _ in 0..ANNOUNCE_FANOUT {
            let key = node.members().random_live();
            selected.extend(key.filter(|k| !selected.contains(k)));
        }
        join_all(selected.into_iter().map(|key| probe(Arc::clone(&node), key))).await;
    }
}

/// Announces that this process terminates. Others take this as proof that it sends no more orders, so control must have
/// ended before.
pub async fn announce_leaving(node: &Arc<Node>) {
    node.members().announce_leaving();
    let keys: Vec<_> = node.members().others().map(|(key, _)| key).collect();
    let recipients = keys.into_iter().take(ANNOUNCE_FANOUT * ANNOUNCE_FANOUT);
    join_all(recipients.map(|key| probe_once(node, key))).await;
}

async fn probe(node: Arc<Node>, key: MemberKey) {
    if probe_once(&node, key).await {
        return;
    }
    let target = node.members().get(key).map(|m| m.contact.clone());
    let Some(target) = target else { return };
    let helpers = node.members().indirect_probers(key);
    let calls = helpers.into_iter().map(|helper| probe_indirectly(&node, helper, &target));
    let found = join_all(calls).await.into_iter().flatten().next();
    let now = node.now();
    match found {
        Some((start, refutation)) => node.members().record_answer(key, start, refutation, now),
        None => node.members().record_unreached(key, now),
    }
}

async fn probe_indirectly(node: &Arc<Node>, helper: MemberKey, target: &Contact) -> Option<(u64, u32)> {
    let address = node.members().get(helper)?.contact.address.clone();
    let client = node.peers.get(node, &address)?;
    node.metrics.peer_call("probe_via");
    client.probe_via(target.clone()).await.ok().flatten()
}

/// Probes one daemon and applies its answer; returns whether there was one.
async fn probe_once(node: &Arc<Node>, key: MemberKey) -> bool {
    let Some(address) = node.members().get(key).map(|m| m.contact.address.clone()) else {
        return false;
    };
    let Some(client) = node.peers.get(node, &address) else { return false };
    let requested_at = node.now();
    node.metrics.peer_call("probe");
    let Ok(answer) = client.probe(make_probe(node, key)).await else {
        return false;
    };
    apply_answer(node, key, &address, answer, requested_at).await;
    true
}

fn make_probe(node: &Node, key: MemberKey) -> Probe {
    let mut members = node.members();
    let (from, mut updates) = (members.contact().clone(), members.take_updates());
    updates.extend(members.update_to_refute(key));
    drop(members);
    Probe { from, updates, digest: digest(node), closed_vms: node.availability.closed_vms(), loads: load_reports(node) }
}

fn make_answer(node: &Node) -> ProbeAnswer {
    let mut members = node.members();
    let (start, refutation, updates) = (members.me().start, members.refutation(), members.take_updates());
    drop(members);
    ProbeAnswer {
        start,
        refutation,
        updates,
        digest: digest(node),
        closed_vms: node.availability.closed_vms(),
        loads: load_reports(node),
    }
}

async fn apply_answer(node: &Arc<Node>, key: MemberKey, address: &str, answer: ProbeAnswer, requested_at: Time) {
    let now = node.now();
    let reachability = {
        let mut members = node.members();
        members.record_answer(key, answer.start, answer.refutation, now);
        members.apply(&answer.updates, now);
        members.reachability()
    };
    apply_load_reports(node, &answer.loads, now);
    fetch_newer(node, address, &answer.digest).await;
    // While this daemon lacks a newer configuration that the peer knows of, its own copy must not count as confirmed,
    // and it must not continue on the basis of a majority.
    if node.document().generation >= answer.digest.generation {
        node.freshness().set_reachable(reachability.0, reachability.1, requested_at);
        if let Some(at) = time_before(requested_at, answer.digest.confirmed_ms) {
            node.freshness().confirm_config(at);
        }
    }
    apply_closed_vms(node, &answer, requested_at);
}

/// Adopts the peer's view of the VM list if it is newer than this daemon's.
fn apply_closed_vms(node: &Node, answer: &ProbeAnswer, requested_at: Time) {
    let Some(at) = time_before(requested_at, answer.digest.list_ms) else { return };
    if node.freshness().list_at().is_none_or(|own| at > own) {
        node.availability.set_closed_vms(answer.closed_vms.iter().cloned());
        node.freshness().confirm_list(at);
        duties::apply(node);
    }
}

fn time_before(at: Time, ms: u64) -> Option<Time> {
    (ms != u64::MAX).then(|| at - Span::millis(ms))
}

/// Applies the updates and reports in the probe of another daemon, and answers it.
pub fn answer_probe(node: &Arc<Node>, probe: Probe) -> ProbeAnswer {
    let now = node.now();
    // A suspicion of this daemon must be known before the answer is made, because the answer refutes it.
    node.members().apply(&probe.updates, now);
    apply_load_reports(node, &probe.loads, now);
    let answer = make_answer(node);
    // Fetching from the prober must not delay the answer to it.
    let node = Arc::clone(node);
    tokio::spawn(async move { fetch_newer_from_prober(&node, &probe).await });
    answer
}

async fn fetch_newer_from_prober(node: &Arc<Node>, probe: &Probe) {
    let known = node.members().by_vm(&probe.from.vm).map(|m| m.contact.address.clone());
    fetch_newer(node, known.as_ref().unwrap_or(&probe.from.address), &probe.digest).await;
}

/// Fetches the configuration and marks if the other daemon has newer ones.
async fn fetch_newer(node: &Arc<Node>, address: &str, peer_digest: &Digest) {
    let Some(client) = node.peers.get(node, address) else { return };
    if peer_digest.generation > node.document().generation {
        node.metrics.peer_call("config");
        if let Ok(Some(doc)) = client.config().await {
            configure::apply_document(node, doc);
        }
    }
    if peer_digest.marks != node.availability.marks_hash() {
        node.metrics.peer_call("all_marks");
        for marks in client.all_marks().await.unwrap_or_default() {
            node.availability.apply_marks(marks);
        }
        duties::apply(node);
    }
}

fn digest(node: &Node) -> Digest {
    let now = node.now();
    let age = |at: Option<Time>| at.map_or(u64::MAX, |at| now.since(at).as_millis());
    let freshness = *node.freshness();
    Digest {
        generation: node.document().generation,
        confirmed_ms: age(freshness.config_at()),
        marks: node.availability.marks_hash(),
        list_ms: age(freshness.list_at()),
    }
}

fn load_reports(node: &Node) -> Vec<EndpointLoad> {
    let now = node.now();
    let mut recent: Vec<_> = node
        .dispatcher
        .endpoints(now)
        .into_iter()
        .filter(|(_, view)| view.load_at > Time::default() && now.since(view.load_at) < MAX_LOAD_AGE)
        .collect();
    recent.sort_by_key(|(_, view)| std::cmp::Reverse(view.load_at));
    let reports = recent.into_iter().take(MAX_LOAD_REPORTS).map(|(name, view)| EndpointLoad {
        endpoint: dahliaseam_core::hash::bytes(name.as_bytes()),
        age_ms: now.since(view.load_at).as_millis(),
        queued_prefill: view.load.queued_prefill,
        running: view.load.running,
        waiting: view.load.waiting,
        own_prefill: view.own_prefill as u32,
    });
    reports.collect()
}

fn apply_load_reports(node: &Node, loads: &[EndpointLoad], now: Time) {
    for report in loads {
        let load = EngineLoad {
            queued_prefill: report.queued_prefill,
            running: report.running,
            waiting: report.waiting,
            kv_used: 0.0,
        };
        let at = now - Span::millis(report.age_ms);
        node.dispatcher.observe_by_hash(report.endpoint, load, at, f64::from(report.own_prefill));
    }
}

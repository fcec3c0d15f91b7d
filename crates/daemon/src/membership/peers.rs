//! Probing the other daemons, and the gossip that rides on it.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use dahliaseam_core::{
    endpoint::LoadReport,
    member::{Contact, MemberKey},
    time::{Span, Time},
};
use dahliaseam_wire::peer::{Answer, Digest, EndpointLoad, PeerClient, Probe};
use futures_util::future::join_all;
use http::{HeaderMap, HeaderValue, header::AUTHORIZATION};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};

use crate::{configuration::configure, emit, endpoint::duties, node::Node};

/// Load news in one message at most.
const MAX_LOADS: usize = 64;
/// Load older than this is not passed on.
const OLD_LOAD: Span = Span::millis(5_000);
/// Daemons told at once of a newer configuration.
const EAGER: usize = 3;
/// The part of the probing period at which the loop looks for work.
const LOOKS_PER_PERIOD: u64 = 4;

/// Connections to other daemons, by address.
#[derive(Debug, Default)]
pub struct PeerClients {
    by_address: Mutex<HashMap<String, HttpClient>>,
}

impl PeerClients {
    /// The client for the daemon at `address`.
    #[must_use]
    pub fn get(&self, node: &Node, address: &str) -> Option<HttpClient> {
        let mut clients = self.by_address.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(client) = clients.get(address) {
            return Some(client.clone());
        }
        let mut headers = HeaderMap::new();
        headers.insert(AUTHORIZATION, HeaderValue::from_str(&node.settings.peer_secret.bearer()).ok()?);
        let client = HttpClientBuilder::default()
            .request_timeout(Duration::from_millis(node.settings.timing.peer_call_ms))
            .set_headers(headers)
            .build(format!("http://{address}"))
            .ok()?;
        clients.insert(address.to_owned(), client.clone());
        Some(client)
    }
}

/// Probe others until the daemon is over.
pub async fn run(node: Arc<Node>) {
    let look = Duration::from_millis((node.settings.timing.probe_ms / LOOKS_PER_PERIOD).max(1));
    let mut live = 0;
    while !node.stop.over.is_cancelled() {
        let now = node.now();
        let target = node.members().next_probe_target(now);
        if let Some(key) = target {
            // One slow daemon must not hold up the round.
            tokio::spawn(probe(Arc::clone(&node), key));
        }
        count(&node, now);
        let now_live = node.members().live_count();
        if now_live != live {
            live = now_live;
            emit!(info, MEMBER, live);
            node.desk.configure(&node.document(), live, now);
        }
        tokio::select! {
            () = tokio::time::sleep(look) => {}
            () = node.stop.over.cancelled() => {}
        }
    }
}

/// A daemon alone in the list needs no other's answer.
fn count(node: &Node, now: Time) {
    let (reachable, listed) = node.members().reachability();
    if listed == 1 && node.freshness().list_at().is_some() {
        node.freshness().set_reachable(reachable, listed, now);
    }
}

/// Tell others of a newer configuration as soon as it is in force, until the daemon is over.
pub async fn spread(node: Arc<Node>) {
    let mut config = node.config.subscribe();
    loop {
        tokio::select! {
            changed = config.changed() => if changed.is_err() { return },
            () = node.stop.over.cancelled() => return,
        }
        let mut told = Vec::new();
        for _ in 0..EAGER {
            let key = node.members().random_live();
            told.extend(key.filter(|k| !told.contains(k)));
        }
        join_all(told.into_iter().map(|key| probe(Arc::clone(&node), key))).await;
    }
}

/// Say that this process is over. Others take it as proof that no order of its comes any more,
/// so control must have ended before.
pub async fn farewell(node: &Arc<Node>) {
    node.members().announce_leaving();
    let keys: Vec<_> = node.members().others().map(|(key, _)| key).collect();
    let few = keys.into_iter().take(EAGER * EAGER);
    join_all(few.map(|key| exchange(node, key))).await;
}

async fn probe(node: Arc<Node>, key: MemberKey) {
    if exchange(&node, key).await {
        return;
    }
    let target = node.members().get(key).map(|m| m.contact.clone());
    let Some(target) = target else { return };
    let helpers = node.members().indirect_probers(key);
    let asked = helpers.into_iter().map(|helper| ask_helper(&node, helper, &target));
    let found = join_all(asked).await.into_iter().flatten().next();
    let now = node.now();
    match found {
        Some((start, refutation)) => node.members().record_answer(key, start, refutation, now),
        None => node.members().record_unreached(key, now),
    }
}

async fn ask_helper(node: &Arc<Node>, helper: MemberKey, target: &Contact) -> Option<(u64, u32)> {
    let address = node.members().get(helper)?.contact.address.clone();
    let client = node.peers.get(node, &address)?;
    node.metrics.peer_call("probe_via");
    client.probe_via(target.clone()).await.ok().flatten()
}

/// Probe one daemon and take in its answer; returns whether there was one.
async fn exchange(node: &Arc<Node>, key: MemberKey) -> bool {
    let Some(address) = node.members().get(key).map(|m| m.contact.address.clone()) else {
        return false;
    };
    let Some(client) = node.peers.get(node, &address) else { return false };
    let asked = node.now();
    node.metrics.peer_call("probe");
    let Ok(answer) = client.probe(make_probe(node, key)).await else {
        return false;
    };
    absorb_answer(node, key, &address, answer, asked).await;
    true
}

fn make_probe(node: &Node, key: MemberKey) -> Probe {
    let mut members = node.members();
    let (from, mut news) = (members.contact().clone(), members.take_updates());
    news.extend(members.update_to_refute(key));
    drop(members);
    Probe { from, updates: news, digest: digest(node), closed_vms: node.duties.closed_vms(), loads: loads(node) }
}

fn make_answer(node: &Node) -> Answer {
    let mut members = node.members();
    let (start, refutation, news) = (members.me().start, members.refutation(), members.take_updates());
    drop(members);
    Answer {
        start,
        refutation,
        updates: news,
        digest: digest(node),
        closed_vms: node.duties.closed_vms(),
        loads: loads(node),
    }
}

async fn absorb_answer(node: &Arc<Node>, key: MemberKey, address: &str, answer: Answer, asked: Time) {
    let now = node.now();
    let reach = {
        let mut members = node.members();
        members.record_answer(key, answer.start, answer.refutation, now);
        members.apply(&answer.updates, now);
        members.reachability()
    };
    take_loads(node, &answer.loads, now);
    catch_up(node, address, &answer.digest).await;
    // A daemon that knows of a newer configuration than its own has not caught up: neither may
    // its copy count as confirmed, nor may it go on by its majority.
    if node.document().generation >= answer.digest.generation {
        node.freshness().set_reachable(reach.0, reach.1, asked);
        if let Some(at) = minus(asked, answer.digest.confirmed_ms) {
            node.freshness().confirm_config(at);
        }
    }
    take_closed(node, &answer, asked);
}

/// Trust the peer's view of the list where it is the newer one.
fn take_closed(node: &Node, answer: &Answer, asked: Time) {
    let Some(at) = minus(asked, answer.digest.list_ms) else { return };
    if node.freshness().list_at().is_none_or(|mine| at > mine) {
        node.duties.set_closed_vms(answer.closed_vms.iter().cloned());
        node.freshness().confirm_list(at);
        duties::apply(node);
    }
}

fn minus(at: Time, ms: u64) -> Option<Time> {
    (ms != u64::MAX).then(|| at - Span::millis(ms))
}

/// Take in what a daemon that probed this one has sent along, and answer it.
pub fn answer_probe(node: &Arc<Node>, probe: Probe) -> Answer {
    let now = node.now();
    // An accusation must be known before the answer, which refutes it.
    node.members().apply(&probe.updates, now);
    take_loads(node, &probe.loads, now);
    let answer = make_answer(node);
    // What must be fetched from the prober must not hold its answer up.
    let node = Arc::clone(node);
    tokio::spawn(async move { catch_up_with(&node, &probe).await });
    answer
}

async fn catch_up_with(node: &Arc<Node>, probe: &Probe) {
    let known = node.members().by_vm(&probe.from.vm).map(|m| m.contact.address.clone());
    catch_up(node, known.as_ref().unwrap_or(&probe.from.address), &probe.digest).await;
}

/// Fetch what the other daemon has newer.
async fn catch_up(node: &Arc<Node>, address: &str, theirs: &Digest) {
    let Some(client) = node.peers.get(node, address) else { return };
    if theirs.generation > node.document().generation {
        node.metrics.peer_call("config");
        if let Ok(Some(doc)) = client.config().await {
            configure::put_in_force(node, doc);
        }
    }
    if theirs.marks != node.duties.marks_hash() {
        node.metrics.peer_call("all_marks");
        for marks in client.all_marks().await.unwrap_or_default() {
            node.duties.mark(marks);
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
        marks: node.duties.marks_hash(),
        list_ms: age(freshness.list_at()),
    }
}

fn loads(node: &Node) -> Vec<EndpointLoad> {
    let now = node.now();
    let mut fresh: Vec<_> = node
        .desk
        .endpoints(now)
        .into_iter()
        .filter(|(_, view)| view.load_at > Time::default() && now.since(view.load_at) < OLD_LOAD)
        .collect();
    fresh.sort_by_key(|(_, view)| std::cmp::Reverse(view.load_at));
    let news = fresh.into_iter().take(MAX_LOADS).map(|(name, view)| EndpointLoad {
        endpoint: dahliaseam_core::hash::bytes(name.as_bytes()),
        age_ms: now.since(view.load_at).as_millis(),
        queued_prefill: view.load.queued_prefill,
        running: view.load.running,
        waiting: view.load.waiting,
        own_prefill: view.own_prefill as u32,
    });
    news.collect()
}

fn take_loads(node: &Node, loads: &[EndpointLoad], now: Time) {
    for news in loads {
        let load = LoadReport {
            queued_prefill: news.queued_prefill,
            running: news.running,
            waiting: news.waiting,
            kv_used: 0.0,
        };
        let at = now - Span::millis(news.age_ms);
        node.desk.observe_hash(news.endpoint, load, at, f64::from(news.own_prefill));
    }
}

//! Asking engines for their load, role and cache events.
//!
//! Each engine is asked by two daemons, found by rendezvous hash over those alive; the others
//! hear by gossip. So the calls an engine gets do not grow with the daemons.

use std::{collections::HashMap, sync::Arc, time::Duration};

use dahliaseam_border::http::{HttpClient, Reuse};
use dahliaseam_core::{
    hash,
    time::{Span, Time},
};
use dahliaseam_wire::{
    engine::{CACHE_PATH, CacheEvent, STATUS_PATH, StatusReport},
    resource::{EndpointClass, EndpointSpec},
};
use futures_util::future::join_all;

use crate::{endpoint::duties, node::Node};

/// Daemons that ask one engine.
const OBSERVERS: usize = 2;
/// Time for one call.
const CALL: Duration = Duration::from_secs(1);
/// Rounds between two looks at cache events.
const CACHE_ROUNDS: u64 = 4;

/// Ask engines until the daemon is over.
pub async fn run(node: Arc<Node>) {
    let every = Duration::from_millis(node.settings.timing.observe_ms);
    let client = HttpClient::new(Reuse::Keep);
    let mut seen = HashMap::new();
    for round in 0_u64.. {
        let mine = assigned(&node);
        node.duties.forget_cordoned(|name| mine.iter().any(|(n, _)| n == name));
        join_all(mine.iter().map(|(name, spec)| ask(&node, &client, name, spec))).await;
        if round.is_multiple_of(CACHE_ROUNDS) {
            for (name, spec) in &mine {
                let after = seen.entry(name.clone()).or_insert(0);
                cache_events(&node, &client, name, spec, after).await;
            }
            seen.retain(|name, _| mine.iter().any(|(n, _)| n == name));
        }
        duties::apply(&node);
        tokio::select! {
            () = tokio::time::sleep(every) => {}
            () = node.stop.over.cancelled() => return,
        }
    }
}

/// The engines that this daemon asks.
fn assigned(node: &Node) -> Vec<(String, EndpointSpec)> {
    let doc = node.document();
    let me = hash::bytes(node.settings.vm.as_bytes());
    let live: Vec<_> = {
        let members = node.members();
        let others = members.others().filter(|(_, m)| m.health == dahliaseam_core::member::Health::Alive);
        others.map(|(_, m)| hash::bytes(m.contact.vm.as_bytes())).chain([me]).collect()
    };
    let is_engine =
        |spec: &EndpointSpec| doc.pools.get(&spec.pool).is_some_and(|p| p.spec.endpoints == EndpointClass::Engine);
    let is_mine = |name: &str| {
        let nodes = live.iter().map(|vm| (*vm, *vm));
        hash::owners(hash::bytes(name.as_bytes()), nodes, OBSERVERS).contains(&me)
    };
    doc.endpoints
        .iter()
        .filter(|(name, e)| is_engine(&e.spec) && is_mine(name))
        .map(|(name, e)| (name.clone(), e.spec.clone()))
        .collect()
}

async fn ask(node: &Node, client: &HttpClient, name: &str, spec: &EndpointSpec) {
    let asked = node.now();
    let url = format!("http://{}{STATUS_PATH}", spec.address);
    if let Ok(report) = client.get::<StatusReport>(&url, CALL).await {
        take(node, name, &report, asked);
    }
}

/// Take in what an engine said when asked at `asked`.
pub fn take(node: &Node, name: &str, report: &StatusReport, asked: Time) {
    node.desk.observe(name, report.load, asked - Span::millis(report.load_age_ms));
    node.desk.set_role(name, report.status.role);
    node.duties.set_cordoned(name, report.status.cordoned || report.status.changing);
}

async fn cache_events(node: &Node, client: &HttpClient, name: &str, spec: &EndpointSpec, after: &mut u64) {
    let url = format!("http://{}{CACHE_PATH}?after={after}", spec.address);
    let Ok(events) = client.get::<Vec<CacheEvent>>(&url, CALL).await else { return };
    for event in events {
        *after = (*after).max(event.number);
        node.desk.cache_event(name, event.prefix, event.cached, node.now());
    }
}

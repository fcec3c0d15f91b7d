//! Polls engines for their load, role and cache events.
//!
//! Each engine is polled by two daemons, chosen by rendezvous hashing over the live ones; the others get its load by
//! gossip. The number of calls to an engine therefore does not grow with the number of daemons.

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

/// Number of daemons that poll one engine.
const OBSERVERS: usize = 2;
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of status rounds per poll of the cache events.
const ROUNDS_PER_CACHE_POLL: u64 = 4;

/// Polls engines until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let interval = Duration::from_millis(node.settings.timing.observe_ms);
    let client = HttpClient::new(Reuse::Keep);
    let mut last_events = HashMap::new();
    for round in 0_u64.. {
        let assigned_engines = assigned(&node);
        node.availability.retain_cordoned(|name| assigned_engines.iter().any(|(n, _)| n == name));
        join_all(assigned_engines.iter().map(|(name, spec)| poll_status(&node, &client, name, spec))).await;
        if round.is_multiple_of(ROUNDS_PER_CACHE_POLL) {
            for (name, spec) in &assigned_engines {
                let last_event = last_events.entry(name.clone()).or_insert(0);
                poll_cache_events(&node, &client, name, spec, last_event).await;
            }
            last_events.retain(|name, _| assigned_engines.iter().any(|(n, _)| n == name));
        }
        duties::apply(&node);
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = node.stop.finished.cancelled() => return,
        }
    }
}

/// The engines that this daemon polls.
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

async fn poll_status(node: &Node, client: &HttpClient, name: &str, spec: &EndpointSpec) {
    let requested_at = node.now();
    let url = format!("http://{}{STATUS_PATH}", spec.address);
    if let Ok(report) = client.get::<StatusReport>(&url, CALL_TIMEOUT).await {
        apply_status(node, name, &report, requested_at);
    }
}

/// Applies the status of an engine, which was requested at `requested_at`.
pub fn apply_status(node: &Node, name: &str, report: &StatusReport, requested_at: Time) {
    node.dispatcher.observe(name, report.load, requested_at - Span::millis(report.load_age_ms));
    node.dispatcher.set_role(name, report.status.role);
    node.availability.set_cordoned(name, report.status.cordoned || report.status.changing);
}

async fn poll_cache_events(node: &Node, client: &HttpClient, name: &str, spec: &EndpointSpec, last_event: &mut u64) {
    let url = format!("http://{}{CACHE_PATH}?after={last_event}", spec.address);
    let Ok(events) = client.get::<Vec<CacheEvent>>(&url, CALL_TIMEOUT).await else { return };
    for event in events {
        *last_event = (*last_event).max(event.number);
        node.dispatcher.cache_event(name, event.prefix, event.cached, node.now());
    }
}

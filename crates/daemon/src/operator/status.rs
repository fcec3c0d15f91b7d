//! Status of a daemon, and of each resource.

use dahliaseam_core::freshness::Standing;
use dahliaseam_wire::{
    operator::{EndpointStatus, MemberStatus, VmStatus},
    resource::{Document, ResourceKind},
};
use serde_json::{Value, json};

use crate::node::Node;

/// Status of this daemon.
#[must_use]
pub fn vm_status(node: &Node) -> VmStatus {
    let now = node.now();
    let (held, waiting) = node.dispatcher.counts();
    let confirmed = node.freshness().config_at();
    let members = node.members();
    let mut others: Vec<_> = members
        .others()
        .map(|(_, m)| MemberStatus {
            vm: m.contact.vm.clone(),
            hall: m.contact.hall.clone(),
            health: m.health,
            start: m.start,
        })
        .collect();
    let start = members.me().start;
    drop(members);
    others.sort_by(|a, b| a.vm.cmp(&b.vm));
    VmStatus {
        vm: node.settings.vm.clone(),
        hall: node.settings.hall.clone(),
        start,
        ready: node.is_ready(),
        standing: standing_text(node).to_owned(),
        generation: node.document().generation,
        confirmed_ms: confirmed.map_or(u64::MAX, |at| now.since(at).as_millis()),
        shards: node.control.shards(),
        held,
        waiting,
        members: others,
    }
}

fn standing_text(node: &Node) -> &'static str {
    if node.stop.begun.is_cancelled() {
        return "stopping";
    }
    match node.standing() {
        Standing::Confirmed => "confirmed",
        Standing::GoOn => "platform out of reach, going on",
        Standing::CutOff => "cut off",
    }
}

/// Status of one resource as seen by this daemon.
#[must_use]
pub fn resource_status(node: &Node, doc: &Document, kind: ResourceKind, name: &str) -> Value {
    match kind {
        ResourceKind::Endpoint => endpoint_status(node, doc, name),
        ResourceKind::Pool => pool_status(node, doc, name),
        ResourceKind::Role => role_status(node, doc, name),
        _ => json!({ "generation_in_force": doc.generation }),
    }
}

fn endpoint_status(node: &Node, doc: &Document, name: &str) -> Value {
    let now = node.now();
    let Some(spec) = doc.endpoints.get(name).map(|e| &e.spec) else { return Value::Null };
    let Some(view) = node.dispatcher.endpoints(now).remove(name) else { return Value::Null };
    let closed = node.availability.closed_reason(name, spec).or(view.ejected.then_some("ejected after faults"));
    let change = node.control.change_in_progress(name).map(|change| format!("changing {change}"));
    let status = EndpointStatus {
        role: view.role,
        open: view.open,
        closed_why: change.or_else(|| closed.map(str::to_owned)),
        load: view.load,
        load_age_ms: now.since(view.load_at).as_millis(),
        in_flight: view.in_flight,
        window: view.window,
        fencing: spec.fencing,
        waits_for: node.control.wait_reason(name),
    };
    serde_json::to_value(status).unwrap_or_default()
}

fn pool_status(node: &Node, doc: &Document, name: &str) -> Value {
    let now = node.now();
    let views = node.dispatcher.endpoints(now);
    let pool_endpoints = doc.endpoints.iter().filter(|(_, e)| e.spec.pool == name);
    let open = pool_endpoints.clone().filter(|(n, _)| views.get(*n).is_some_and(|v| v.open)).count();
    let demand = node.dispatcher.demand(name, now);
    json!({
        "endpoints": pool_endpoints.count(),
        "open": open,
        "demand_here": demand.map(|(short, long)| json!({ "short": short, "long": long })),
    })
}

fn role_status(node: &Node, doc: &Document, name: &str) -> Value {
    let pool_endpoints = doc.endpoints.iter().filter(|(_, e)| e.spec.pool == name);
    let changing: Vec<_> =
        pool_endpoints.filter_map(|(n, _)| Some(json!({ n: node.control.change_in_progress(n)? }))).collect();
    let is_holder = node.control.shards().into_iter().any(|(shard, _)| shard == name);
    json!({ "held_here": is_holder, "changing": changing })
}

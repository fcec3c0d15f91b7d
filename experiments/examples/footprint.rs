//! Prints the sizes of messages between daemons and of the tables that daemons keep in memory, at
//! several cluster sizes.

use dahliaseam_core::{
    dispatch::{Dispatcher, Policy},
    endpoint::{Rates, Role},
    member::{Contact, Health, MemberSettings, Members, Update},
    time::Time,
};
use dahliaseam_wire::{
    peer::{Digest, EndpointLoad, Probe},
    resource::{Change, Document, ResourceKind},
};
use serde_json::json;

const NOW: Time = Time(1_000_000_000);
const MAX_LOADS: usize = 64;
const MAX_UPDATES: usize = 13;

fn contact(n: usize) -> Contact {
    Contact {
        vm: format!("entry-{n}"),
        hall: format!("hall-{}", n % 12),
        address: format!("10.0.{}.{}:8082", n / 250, n % 250),
    }
}

fn probe(updates: usize, loads: usize) -> Probe {
    let update = |n| Update { contact: contact(n), start: 1_796_000_000_000, refutation: 0, health: Health::Alive };
    let load = |n: usize| EndpointLoad {
        endpoint: dahliaseam_core::hash::bytes(format!("engine-{n}").as_bytes()),
        age_ms: 1_200,
        queued_prefill: 12_000,
        running: 24,
        waiting: 3,
        own_prefill: 800,
    };
    Probe {
        from: contact(0),
        updates: (0..updates).map(update).collect(),
        digest: Digest::default(),
        closed_vms: Vec::new(),
        loads: (0..loads).map(load).collect(),
    }
}

fn encoded_bytes(probe: &Probe) -> usize {
    serde_json::to_vec(probe).map_or(0, |v| v.len())
}

/// Returns the resident memory of this process, in bytes. Linux only.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * PAGE_BYTES
}

fn document(endpoints: usize) -> Document {
    let mut changes = vec![Change {
        kind: ResourceKind::Pool,
        name: "pool".into(),
        based_on: None,
        spec: Some(json!({ "endpoints": "engine" })),
    }];
    changes.extend((0..endpoints).map(|n| Change {
        kind: ResourceKind::Endpoint,
        name: format!("engine-{n}"),
        based_on: None,
        spec: Some(json!({
            "pool": "pool", "address": format!("10.1.{}.{}:8000", n / 250, n % 250),
            "vm": format!("vm-{n}"), "hall": "hall-1",
        })),
    }));
    Document::default().with_changes(&changes, "footprint").expect("the document is valid")
}

fn main() {
    println!("probe with 1 update: {} bytes", encoded_bytes(&probe(1, 0)));
    println!("probe with {MAX_UPDATES} updates: {} bytes", encoded_bytes(&probe(MAX_UPDATES, 0)));
    println!(
        "probe with {MAX_UPDATES} updates and {MAX_LOADS} load reports: {} bytes",
        encoded_bytes(&probe(MAX_UPDATES, MAX_LOADS))
    );
    for endpoints in [12, 120, 2_000] {
        let size = serde_json::to_vec(&document(endpoints)).map_or(0, |v| v.len());
        println!("configuration with {endpoints} endpoints: {size} bytes");
    }
    let before = resident_bytes();
    let mut dispatcher = Dispatcher::new(Policy::default(), 1, NOW);
    let pool = dispatcher.add_pool(Rates::default());
    let mut keys = Vec::new();
    for n in 0..20_000 {
        keys.push(dispatcher.add_endpoint(&format!("engine-{n}"), pool, Role::Mixed));
    }
    let rows = resident_bytes();
    println!("an endpoint's row without prefixes: {} bytes", (rows - before) / 20_000);
    for key in keys.iter().take(2_000) {
        for prefix in 0..512 {
            dispatcher.endpoint_mut(*key).expect("the endpoint exists").add_prefix(prefix, NOW);
        }
    }
    println!("its 512 remembered prefixes: {} bytes", (resident_bytes() - rows) / 2_000);
    let before = resident_bytes();
    let tables: Vec<_> = (0..20)
        .map(|n| {
            let mut members = Members::new(MemberSettings::default(), contact(0), 1, n);
            members.set_listed(&(0..690).map(contact).collect::<Vec<_>>());
            members
        })
        .collect();
    println!("a table of 690 members: {} bytes", (resident_bytes() - before) / tables.len());
}

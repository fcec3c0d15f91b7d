//! Sends orders to engines, for the shards whose lease this daemon holds.
//!
//! A shard is a pool of engines. A few daemons, chosen by rendezvous hashing, compete for its lease; the holder runs
//! the planner and carries out changes. Each engine's record in the key-value service is handled by
//! [`dahliaseam_core::custody::next_step`], one step at a time.

pub mod board;
mod changes;
mod custodian;
mod shard;

use std::{collections::HashMap, sync::Arc, time::Duration};

use dahliaseam_core::{hash, member::Health};
use dahliaseam_wire::resource::EndpointClass;

use crate::node::Node;
use changes::ShardChanges;
use shard::Shard;

/// Number of daemons that compete for one shard's lease.
const CANDIDATE_COUNT: usize = 3;

/// Maximum number of attempts to release records at a graceful stop.
const MAX_RELEASE_ATTEMPTS: u32 = 25;
/// Delay between attempts to release records.
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// One shard, whether or not this daemon holds it.
#[derive(Debug)]
struct ManagedShard {
    shard: Shard,
    changes: ShardChanges,
}

/// Runs control until the daemon stops, then hands over what it holds.
pub async fn run(node: Arc<Node>) {
    let interval = Duration::from_millis(node.settings.timing.control_ms);
    let mut shards: HashMap<String, ManagedShard> = HashMap::new();
    while !node.stop.finished.is_cancelled() {
        for pool in engine_pools(&node) {
            let managed = shards.entry(pool.clone()).or_insert_with(|| ManagedShard {
                shard: Shard::new(&node, &pool),
                changes: ShardChanges::new(&node, &pool),
            });
            run_round(&node, managed, is_candidate(&node, &pool)).await;
        }
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = node.stop.finished.cancelled() => {}
        }
    }
    for managed in shards.values_mut() {
        hand_over(&node, managed).await;
    }
}

/// Releases all records, then the lease. A record that cannot be released in time passes to another daemon once that
/// daemon knows that this process has terminated.
async fn hand_over(node: &Node, managed: &mut ManagedShard) {
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        if managed.changes.release_all(node).await {
            break;
        }
        tokio::time::sleep(RELEASE_RETRY_DELAY).await;
    }
    managed.shard.hand_over(node).await;
}

async fn run_round(node: &Arc<Node>, managed: &mut ManagedShard, candidate: bool) {
    managed.shard.maintain(node, candidate && !node.stop.begun.is_cancelled()).await;
    if managed.shard.authority(node.now()).is_some() {
        managed.changes.run_round(node, &managed.shard).await;
    } else {
        managed.changes.step_down(node).await;
    }
}

fn engine_pools(node: &Node) -> Vec<String> {
    let doc = node.document();
    let engines = doc.pools.iter().filter(|(_, p)| p.spec.endpoints == EndpointClass::Engine);
    engines.map(|(name, _)| name.clone()).collect()
}

fn is_candidate(node: &Node, pool: &str) -> bool {
    let me = hash::bytes(node.settings.vm.as_bytes());
    let members = node.members();
    let live = members.others().filter(|(_, m)| m.health == Health::Alive);
    let vms = live.map(|(_, m)| hash::bytes(m.contact.vm.as_bytes())).chain([me]);
    hash::owners(hash::bytes(pool.as_bytes()), vms.map(|vm| (vm, vm)), CANDIDATE_COUNT).contains(&me)
}

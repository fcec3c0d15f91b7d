//! No engine gets conflicting orders, and orders without authority have no effect.

use std::time::Duration;

use dahliaseam_core::{custody::Fencing, endpoint::Role};
use proofs::{
    check::{aborted_requests, conflicting_orders, conflicting_orders_with_crashes, expect_none},
    cluster::{Cluster, ClusterSetup, WAIT_TIMEOUT},
};
use serde_json::json;

const ENGINES: [(Role, Fencing); 3] =
    [(Role::Mixed, Fencing::Checks), (Role::Mixed, Fencing::Ignores), (Role::Mixed, Fencing::Checks)];

async fn start() -> Cluster {
    let setup = ClusterSetup { daemons: 3, engines: ENGINES.to_vec(), plain_services: 1, ..ClusterSetup::default() };
    Cluster::start(setup).await
}

fn other_than(cluster: &Cluster, vm: &str) -> String {
    cluster.daemons.keys().find(|other| *other != vm).expect("there are several daemons").clone()
}

fn roles(role: Role) -> [(&'static str, Role); 2] {
    [("engine-1", role), ("engine-2", role)]
}

#[tokio::test]
async fn the_holder_is_killed_twice_during_role_changes() {
    let mut cluster = start().await;
    for role in [Role::Prefill, Role::Decode] {
        let any = other_than(&cluster, "");
        let holder = cluster.wait_for_holder(&any).await;
        cluster.fix_roles(&holder, &roles(role)).await;
        cluster
            .wait_until("an order was accepted", async || {
                cluster.engine_status("engine-1").await.is_some_and(|s| s.cordoned)
            })
            .await;
        cluster.kill_daemon(&holder);
        cluster.start_daemon(&holder);
        cluster.wait_for_role("engine-1", role).await;
        cluster.wait_for_role("engine-2", role).await;
        cluster.wait_until_ready().await;
    }
    let history = cluster.history();
    expect_none("orders", &conflicting_orders(&history));
    expect_none("aborted requests", &aborted_requests(&history));
}

#[tokio::test]
async fn a_suspended_holder_resumes_after_its_lease_expired() {
    let mut cluster = start().await;
    let any = other_than(&cluster, "");
    let holder = cluster.wait_for_holder(&any).await;
    let other = other_than(&cluster, &holder);
    // The holder takes custody of both engines.
    cluster.fix_roles(&holder, &roles(Role::Prefill)).await;
    cluster.wait_for_role("engine-1", Role::Prefill).await;
    cluster.wait_for_role("engine-2", Role::Prefill).await;

    cluster.daemon(&holder).suspend();
    cluster
        .wait_until("another daemon holds the shard", async || {
            cluster.shard_holder(&other).await.is_some_and(|vm| vm != holder)
        })
        .await;
    let next = cluster.shard_holder(&other).await.expect("the shard has a holder");
    cluster.fix_roles(&next, &roles(Role::Decode)).await;
    // The engine that checks fencing numbers gets a new custodian at once. The one that ignores them
    // keeps its role, and its status shows the reason.
    cluster.wait_for_role("engine-1", Role::Decode).await;
    cluster
        .wait_until("the status shows the reason for the wait", async || {
            let status = cluster.resource(&next, "endpoints", "engine-2").await;
            status["status"]["waits_for"] == "former_custodian"
        })
        .await;
    let status = cluster.engine_status("engine-2").await.expect("the engine responds");
    assert_eq!(status.role, Role::Prefill);

    cluster.daemon(&holder).resume();
    cluster.wait_for_role("engine-2", Role::Decode).await;
    let history = cluster.history();
    expect_none("orders", &conflicting_orders(&history));
    expect_none("aborted requests", &aborted_requests(&history));
}

#[tokio::test]
async fn an_engine_crashes_during_a_role_change() {
    let cluster = start().await;
    let any = other_than(&cluster, "");
    let holder = cluster.wait_for_holder(&any).await;
    for engine in ["engine-1", "engine-2"] {
        cluster.inject_endpoint_fault(engine, &json!({ "crash_in_change": true })).await;
    }
    cluster.fix_roles(&holder, &roles(Role::Decode)).await;
    cluster.wait_for_role("engine-1", Role::Decode).await;
    cluster.wait_for_role("engine-2", Role::Decode).await;
    expect_none("orders", &conflicting_orders_with_crashes(&cluster.history()));
}

#[tokio::test]
async fn write_answers_are_lost_and_the_key_value_service_is_slow_during_role_changes() {
    let mut cluster = start().await;
    let any = other_than(&cluster, "");
    for (n, role) in [Role::Prefill, Role::Decode, Role::Mixed].into_iter().enumerate() {
        let holder = cluster.wait_for_holder(&any).await;
        cluster.fix_roles(&holder, &roles(role)).await;
        let kv = cluster.kv_address.clone();
        cluster.inject_fault(&kv, &json!({ "lose_answers": 4, "slow_ms": 40 * n })).await;
        if n == 1 {
            cluster.kill_daemon(&holder);
            cluster.start_daemon(&holder);
        }
        cluster.wait_for_role("engine-1", role).await;
        cluster.wait_for_role("engine-2", role).await;
        cluster.inject_fault(&kv, &json!({})).await;
    }
    let history = cluster.history();
    expect_none("orders", &conflicting_orders(&history));
    expect_none("aborted requests", &aborted_requests(&history));
}

#[tokio::test]
async fn an_order_of_a_former_holder_arrives_late() {
    let mut cluster = start().await;
    let any = other_than(&cluster, "");
    let holder = cluster.wait_for_holder(&any).await;
    for engine in ["engine-1", "engine-2"] {
        cluster.inject_endpoint_fault(engine, &json!({ "order_delay_ms": 900 })).await;
    }
    cluster.fix_roles(&holder, &roles(Role::Prefill)).await;
    tokio::time::sleep(Duration::from_millis(400)).await;
    cluster.daemon(&holder).suspend();
    let other = other_than(&cluster, &holder);
    cluster
        .wait_until("another daemon holds the shard", async || {
            cluster.shard_holder(&other).await.is_some_and(|vm| vm != holder)
        })
        .await;
    cluster.wait_for_role("engine-1", Role::Prefill).await;
    cluster.daemon(&holder).terminate();
    cluster.daemon(&holder).resume();
    let status = cluster.daemon(&holder).wait(WAIT_TIMEOUT).await;
    assert!(status.success());
    cluster.wait_for_role("engine-2", Role::Prefill).await;
    let history = cluster.history();
    expect_none("orders", &conflicting_orders(&history));
    expect_none("aborted requests", &aborted_requests(&history));
}

#[tokio::test]
async fn all_entry_vms_are_replaced_at_once() {
    let mut cluster = start().await;
    let any = other_than(&cluster, "");
    let holder = cluster.wait_for_holder(&any).await;
    cluster.fix_roles(&holder, &roles(Role::Prefill)).await;
    cluster.wait_for_role("engine-1", Role::Prefill).await;
    cluster.wait_for_role("engine-2", Role::Prefill).await;
    for vm in cluster.daemons.keys().cloned().collect::<Vec<_>>() {
        cluster.kill_daemon(&vm);
    }
    cluster.daemons.clear();
    for n in 1..=3 {
        cluster.add_daemon(&format!("next-{n}"), "hall-1");
    }
    cluster.set_vm_list(&[]).await;
    for n in 1..=3 {
        cluster.start_daemon(&format!("next-{n}"));
    }
    cluster.wait_until_ready().await;
    let holder = cluster.wait_for_holder("next-1").await;
    cluster.fix_roles(&holder, &roles(Role::Decode)).await;
    cluster.wait_for_role("engine-1", Role::Decode).await;
    cluster.wait_for_role("engine-2", Role::Decode).await;
    expect_none("orders", &conflicting_orders(&cluster.history()));
}

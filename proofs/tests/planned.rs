//! Planned changes abort no requests, even under load: role changes, loads of adapters and versions,
//! drains and stops.

use std::{
    process::ExitStatus,
    time::{Duration, Instant},
};

use dahliaseam_core::{custody::Fencing, endpoint::Role};
use proofs::{
    check::{
        aborted_requests, conflicting_orders, expect_none, false_not_run, late_starts, repeated_keys, wrong_answers,
    },
    cluster::{Cluster, ClusterSetup, WAIT_TIMEOUT},
    load::{Load, Mix, call, failed_protected},
};
use serde_json::json;
use stand_ins::{
    caller::{Answer, Call},
    history::monotonic_micros,
    relay::Link,
};

const CALLERS: usize = 6;
/// Time after which an endpoint that was drained or marked as leaving must start no more requests.
/// In these tests the VM list is read every 100 ms, and gossip is sent with probes every 60 ms.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

async fn start(daemons: usize, links: bool) -> Cluster {
    let engines = vec![
        (Role::Mixed, Fencing::Checks),
        (Role::Mixed, Fencing::Ignores),
        (Role::Mixed, Fencing::Checks),
        (Role::Mixed, Fencing::Checks),
    ];
    Cluster::start(ClusterSetup { daemons, engines, links, ..ClusterSetup::default() }).await
}

fn check_history(cluster: &Cluster, answers: &[(Call, Answer)]) {
    let history = cluster.history();
    expect_none("aborted requests", &aborted_requests(&history));
    expect_none("protected kinds", &failed_protected(answers));
    expect_none("exact answers", &wrong_answers(&history));
    expect_none("refused requests did not run", &false_not_run(&history));
    expect_none("at most once", &repeated_keys(&history));
    expect_none("orders", &conflicting_orders(&history));
    let lost: Vec<_> = answers.iter().filter(|(_, got)| got.outcome != "whole" && got.outcome != "not_run").collect();
    assert!(lost.is_empty(), "not answered because of a planned change: {lost:?}");
}

#[tokio::test]
async fn role_changes_and_loads() {
    let cluster = start(3, false).await;
    let caller = cluster.new_caller("caller");
    let load = Load::start(&caller, &cluster.caller_addresses(), CALLERS, 3, Mix::default());
    // Keeps requests of a protected kind running at every engine.
    let protected = Mix { chat_tokens: 120, only_kind: Some("counter-answer"), ..Mix::default() };
    let protected_load = Load::start(&caller, &cluster.caller_addresses(), 2 * CALLERS, 30, protected);
    let resources = [
        json!({ "kind": "version", "name": "catalogue-7b-r4",
            "spec": { "model": "catalogue-7b", "artifact": "catalogue-7b/r4" } }),
        json!({ "kind": "adapter", "name": "brakes", "spec": { "model": "catalogue-7b", "artifact": "brakes" } }),
        json!({ "kind": "model", "name": "catalogue-7b", "spec": { "version": "catalogue-7b-r4" } }),
    ];
    cluster.apply_until_accepted(&resources).await;
    for role in [Role::Prefill, Role::Decode] {
        let holder = cluster.wait_for_holder("entry-1").await;
        cluster.fix_roles(&holder, &[("engine-1", role), ("engine-2", role)]).await;
        cluster.wait_for_role("engine-1", role).await;
        cluster.wait_for_role("engine-2", role).await;
        load.wait_for_requests(50).await;
    }
    cluster.edit("entry-1", "endpoints", "engine-3", &json!({ "load": ["brakes"] })).await;
    cluster
        .wait_until("the adapter and the new version are loaded", async || {
            let loaded = cluster.engine_status("engine-3").await.map(|s| s.loaded).unwrap_or_default();
            ["brakes", "catalogue-7b-r4"].iter().all(|item| loaded.iter().any(|l| l == item))
        })
        .await;
    let mut answers = load.finish().await;
    answers.extend(protected_load.finish().await);
    check_history(&cluster, &answers);
}

#[tokio::test]
async fn a_drained_endpoint_gets_nothing_new() {
    let cluster = start(3, false).await;
    let caller = cluster.new_caller("caller");
    let load = Load::start(&caller, &cluster.caller_addresses(), CALLERS, 4, Mix::default());
    load.wait_for_requests(50).await;
    for name in ["plain-1", "engine-1"] {
        cluster.edit("entry-2", "endpoints", name, &json!({ "drained": true })).await;
    }
    tokio::time::sleep(PROPAGATION_TIME).await;
    let since = monotonic_micros();
    load.wait_for_requests(100).await;
    let answers = load.finish().await;
    expect_none("requests at drained endpoints", &late_starts(&cluster.history(), &["plain-1", "engine-1"], since));
    check_history(&cluster, &answers);
}

#[tokio::test]
async fn leaving_endpoints_while_the_key_value_service_is_down_and_a_daemon_is_partitioned() {
    let cluster = start(3, true).await;
    let caller = cluster.new_caller("caller");
    let load = Load::start(&caller, &cluster.caller_addresses(), CALLERS, 5, Mix::default());
    load.wait_for_requests(50).await;
    // The key-value service is down for all daemons. One daemon also loses its access to the VM list,
    // another loses all its links.
    cluster.inject_fault(&cluster.kv_address, &json!({ "down": true })).await;
    cluster.set_vm_list_link("entry-2", Link::Cut);
    cluster.set_daemon_links("entry-3", Link::Cut);
    cluster.set_vm_list(&["vm-plain-1", "vm-engine-1"]).await;
    tokio::time::sleep(PROPAGATION_TIME).await;
    let since = monotonic_micros();
    load.wait_for_requests(100).await;
    assert!(!cluster.is_ready("entry-3").await, "a daemon that is cut off is not ready");
    assert!(cluster.is_ready("entry-2").await, "a daemon that gets the VM list from its peers is ready");
    cluster.set_daemon_links("entry-3", Link::Pass);
    cluster.set_vm_list_link("entry-2", Link::Pass);
    cluster.wait_until("the daemon is ready again", async || cluster.is_ready("entry-3").await).await;
    load.wait_for_requests(50).await;
    let answers = load.finish().await;
    expect_none("requests at leaving endpoints", &late_starts(&cluster.history(), &["plain-1", "engine-1"], since));
    // Requests with an idempotency key need the key-value service, which is down, so they are
    // refused as not run.
    expect_none("refused requests did not run", &false_not_run(&cluster.history()));
    let lost: Vec<_> = answers.iter().filter(|(_, got)| got.outcome != "whole" && got.outcome != "not_run").collect();
    assert!(lost.is_empty(), "{lost:?}");
}

#[tokio::test]
async fn daemons_stop_in_turn_under_load() {
    let mut cluster = start(3, false).await;
    let caller = cluster.new_caller("caller");
    let load =
        Load::start(&caller, &cluster.caller_addresses(), CALLERS, 6, Mix { chat_tokens: 120, ..Mix::default() });
    for vm in ["entry-1", "entry-2", "entry-3"] {
        load.wait_for_requests(40).await;
        cluster.daemon(vm).terminate();
        let status = cluster.daemon(vm).wait(WAIT_TIMEOUT).await;
        assert!(status.success(), "{vm}: {status}\n{}", cluster.log(vm));
        cluster.start_daemon(vm);
        cluster.wait_until_ready().await;
    }
    let answers = load.finish().await;
    check_history(&cluster, &answers);
}

#[tokio::test]
async fn all_daemons_stop_at_once_under_long_streams() {
    let mut cluster = start(3, false).await;
    let caller = cluster.new_caller("caller");
    let mix = Mix { chat_tokens: 300, ..Mix::default() };
    let streams: Vec<_> = (0..12)
        .map(|n| {
            let (caller, address) = (caller.clone(), cluster.caller_addresses()[n % 3].clone());
            tokio::spawn(async move { caller.send(&address, &call("chat-reply", n as u64, &mix)).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(400)).await;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let vms: Vec<_> = cluster.daemons.keys().cloned().collect();
    for vm in &vms {
        cluster.daemon(vm).terminate();
    }
    for stream in streams {
        let got = stream.await.expect("callers do not panic");
        assert_eq!((got.outcome.as_str(), got.exact), ("whole", true), "{got:?}");
    }
    for vm in &vms {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let status: ExitStatus = cluster.daemon(vm).wait(remaining).await;
        assert!(status.success(), "{vm}: {status}\n{}", cluster.log(vm));
    }
}

#[tokio::test]
async fn a_daemon_whose_vm_is_leaving_stops() {
    let mut cluster = start(3, false).await;
    let caller = cluster.new_caller("caller");
    let load = Load::start(&caller, &cluster.caller_addresses(), CALLERS, 8, Mix::default());
    load.wait_for_requests(30).await;
    cluster.set_vm_list(&["entry-2"]).await;
    let status = cluster.daemon("entry-2").wait(WAIT_TIMEOUT).await;
    assert!(status.success(), "{status}\n{}", cluster.log("entry-2"));
    load.wait_for_requests(30).await;
    let answers = load.finish().await;
    check_history(&cluster, &answers);
}

//! Requests from the caller to the endpoint and back, without faults.

use dahliaseam_core::{custody::Fencing, endpoint::Role};
use proofs::{
    check::{expect_none, false_not_run, repeated_keys, wrong_answers},
    cluster::{Cluster, ClusterSetup},
    load::{KINDS, Mix, call},
};

#[tokio::test]
async fn every_kind_is_answered_whole_through_every_daemon() {
    let cluster = Cluster::start(ClusterSetup::default()).await;
    let caller = cluster.new_caller("caller");
    let mut n = 0;
    for address in cluster.caller_addresses() {
        for kind in KINDS {
            for _ in 0..3 {
                n += 1;
                let got = caller.send(&address, &call(kind, n, &Mix::default())).await;
                assert_eq!((got.outcome.as_str(), got.exact), ("whole", true), "{kind}: {got:?}");
            }
        }
    }
    let history = cluster.history();
    expect_none("exact answers", &wrong_answers(&history));
    expect_none("at most once", &repeated_keys(&history));
    expect_none("refused requests did not run", &false_not_run(&history));
}

#[tokio::test]
async fn a_prefill_engine_processes_the_prompt_and_its_cache_is_transferred() {
    let setup = ClusterSetup {
        engines: vec![(Role::Prefill, Fencing::Checks), (Role::Decode, Fencing::Checks)],
        ..ClusterSetup::default()
    };
    let cluster = Cluster::start(setup).await;
    let caller = cluster.new_caller("caller");
    let vm = cluster.daemons.keys().next().expect("the cluster has a daemon").clone();
    let mix = Mix { prompt_bytes: 4_000, ..Mix::default() };
    let got = caller.send(&cluster.daemons[&vm].caller_address, &call("catalogue-query", 1, &mix)).await;
    assert_eq!((got.outcome.as_str(), got.exact), ("whole", true), "{got:?}");
    let request = got.request.expect("every answer has a request id");
    let (_, record) =
        cluster.operator_call(&vm, "GET", &format!("/v1/requests/{request}"), None).await.expect("the daemon responds");
    assert_eq!(record["attempts"][0]["prefill"], "engine-1", "{record}");
    assert_eq!(record["attempts"][0]["endpoint"], "engine-2", "{record}");
}

#[tokio::test]
async fn any_daemon_returns_the_record_of_a_request_that_another_accepted() {
    let cluster = Cluster::start(ClusterSetup::default()).await;
    let caller = cluster.new_caller("caller");
    let vms: Vec<_> = cluster.daemons.keys().cloned().collect();
    let got = caller.send(&cluster.daemons[&vms[0]].caller_address, &call("chat-reply", 1, &Mix::default())).await;
    let request = got.request.expect("every answer has a request id");
    let path = format!("/v1/requests/{request}");
    let (status, record) = cluster.operator_call(&vms[1], "GET", &path, None).await.expect("the daemon responds");
    assert!(status.is_success(), "{record}");
    assert_eq!(record["outcome"], "whole");
    let candidates = record["attempts"][0]["candidates"].as_array().map(Vec::len);
    assert_eq!(candidates, Some(2), "{record}");
}

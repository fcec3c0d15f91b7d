//! The whole answer to its own request, whatever happens to frames and engines.

use std::time::Duration;

use proofs::{
    check::{exactness, expect_none, not_run},
    cluster::{Cluster, Plan},
    load::{Load, Mix, call, unprotected},
};
use serde_json::{Value, json};
use stand_ins::caller::Call;

async fn ask_through(fault: &Value) -> (Cluster, String) {
    let cluster = Cluster::start(Plan::default()).await;
    for engine in ["engine-1", "engine-2"] {
        cluster.endpoint_fault(engine, fault).await;
    }
    let caller = cluster.caller("caller");
    let vm = cluster.daemons.keys().next().expect("there is one").clone();
    for n in 0..4 {
        for stream in [true, false] {
            let call = Call { stream, ..call("chat-reply", n, &Mix::default()) };
            let got = caller.send(&cluster.daemons[&vm].caller, &call).await;
            assert_eq!((got.outcome.as_str(), got.exact), ("whole", true), "{got:?}\n{}", cluster.log(&vm));
        }
    }
    let history = cluster.history();
    expect_none("exact answers", &exactness(&history));
    expect_none("not run is true", &not_run(&history));
    let metrics = cluster.metrics(&vm).await;
    (cluster, metrics)
}

#[tokio::test]
async fn duplicated_frames_are_dropped() {
    let (_cluster, metrics) = ask_through(&json!({ "requests": 100, "duplicate": true })).await;
    assert!(metrics.contains("why=\"duplicate\""), "{metrics}");
}

#[tokio::test]
async fn crossed_frames_are_dropped() {
    let (_cluster, metrics) = ask_through(&json!({ "requests": 100, "cross": true })).await;
    assert!(metrics.contains("why=\"foreign\""), "{metrics}");
}

#[tokio::test]
async fn a_gap_is_resumed_elsewhere() {
    let (_cluster, metrics) = ask_through(&json!({ "requests": 1, "gap_at": 7 })).await;
    assert!(metrics.contains("end=\"broken\""), "{metrics}");
}

#[tokio::test]
async fn a_broken_stream_is_resumed_elsewhere() {
    let (_cluster, metrics) = ask_through(&json!({ "requests": 1, "break_after": 11 })).await;
    assert!(metrics.contains("end=\"broken\""), "{metrics}");
}

#[tokio::test]
async fn a_silent_stream_is_resumed_elsewhere() {
    let (_cluster, metrics) = ask_through(&json!({ "requests": 1, "stall_after": 5 })).await;
    assert!(metrics.contains("end=\"stalled\""), "{metrics}");
}

#[tokio::test]
async fn engines_are_killed_in_mid_stream_one_after_the_other() {
    let mut cluster = Cluster::start(Plan::default()).await;
    let caller = cluster.caller("caller");
    let mix = Mix { chat_tokens: 120, ..Mix::default() };
    let load = Load::start(&caller, &cluster.callers(), 6, 41, mix);
    for engine in ["engine-1", "engine-2", "engine-1"] {
        load.wait_for(40).await;
        cluster.kill_endpoint(engine);
        tokio::time::sleep(Duration::from_millis(300)).await;
        cluster.restart_endpoint(engine);
        load.wait_for(40).await;
    }
    let answers = load.finish().await;
    let history = cluster.history();
    expect_none("exact answers", &exactness(&history));
    expect_none("not run is true", &not_run(&history));
    expect_none("protected kinds", &unprotected(&answers));
    let chats: Vec<_> = answers.iter().filter(|(call, _)| call.tokens > 0).collect();
    let whole = chats.iter().filter(|(_, got)| got.outcome == "whole").count();
    assert!(whole * 10 > chats.len() * 9, "{whole} of {} streams were whole", chats.len());
}

//! Measures the time to the first token through a daemon and, in the same run, directly at the
//! stand-in. Also measures the throughput, and the memory of the daemon when idle and with open
//! streams.
//!
//! Run in a release build after `cargo build --release --workspace --bins --examples`.

use std::time::{Duration, Instant};

use dahliaseam_core::{custody::Fencing, endpoint::Role};
use hdrhistogram::Histogram;
use proofs::{
    cluster::{Cluster, ClusterSetup},
    load::{Mix, call},
    process::cpu_and_memory,
};
use serde_json::json;
use stand_ins::{caller::Call, model::ModelParams};

/// Number of requests sent each way, directly and through the daemon.
const REQUESTS: u64 = 2_000;
/// Number of concurrent callers in the throughput measurement.
const CALLERS: u64 = 64;
/// Duration of the throughput measurement.
const THROUGHPUT_TIME: Duration = Duration::from_secs(5);
/// Number of open streams in the memory measurement.
const STREAMS: u64 = 100;

fn print_percentiles(what: &str, h: &Histogram<u64>) {
    let ms = |q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
    println!("{what}: p50 {:.3} ms, p99 {:.3} ms", ms(0.5), ms(0.99));
}

/// Returns a call of a team without a rate limit.
fn call_without_limit(kind: &str, n: u64) -> Call {
    Call { team: "measured".to_owned(), deadline_ms: Some(60_000), ..call(kind, n, &Mix::default()) }
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are supported")
}

#[tokio::main]
async fn main() {
    let params =
        ModelParams { step: 0.002, step_per_seq: 0.0, slots: 2_048, kv_tokens: u32::MAX, ..ModelParams::default() };
    let setup = ClusterSetup {
        daemons: 1,
        engines: vec![(Role::Mixed, Fencing::Checks)],
        plain_services: 1,
        params,
        work_ms: 0,
        settings: json!({ "policy": { "queue_limit": 100_000, "stall_ms": 30_000 } }),
        ..ClusterSetup::default()
    };
    let mut cluster = Cluster::start(setup).await;
    let rates = json!({ "rates": { "prefill": 1e6, "step": 0.002, "step_per_seq": 0.0, "slots": 2_048 } });
    cluster.edit("entry-1", "pools", "catalogue", &rates).await;
    cluster.edit("entry-1", "kinds", "chat-reply", &json!({ "deadline_ms": 60_000 })).await;
    // An endpoint takes its initial rates from its pool when it is added, so it is added again.
    let engine = cluster.resource("entry-1", "endpoints", "engine-1").await["spec"].clone();
    let (status, _) =
        cluster.operator_call("entry-1", "DELETE", "/v1/endpoints/engine-1", None).await.expect("the daemon responds");
    assert!(status.is_success());
    cluster.apply_until_accepted(&[json!({ "kind": "endpoint", "name": "engine-1", "spec": engine })]).await;
    let pid = cluster.daemon("entry-1").id();
    let idle_bytes = cpu_and_memory(pid).1;
    println!("idle memory: {:.1} MB", idle_bytes as f64 / 1e6);
    let caller = cluster.new_caller("caller");
    let daemon = cluster.daemons["entry-1"].caller_address.clone();
    let engine = cluster.endpoints["engine-1"].address.clone();

    let (mut direct, mut through) = (histogram(), histogram());
    for n in 0..REQUESTS {
        let req = Call { prompt: format!("p{n}"), tokens: 1, ..call_without_limit("chat-reply", n) };
        let _ = direct.record(caller.send(&engine, &req).await.first_micros);
        let got = caller.send(&daemon, &req).await;
        assert_eq!(got.outcome, "whole", "{got:?}");
        let _ = through.record(got.first_micros);
    }
    print_percentiles("first token, direct", &direct);
    print_percentiles("first token, through the daemon", &through);

    throughput(&cluster, &daemon, pid).await;
    streams(&cluster, &daemon, pid).await;
}

/// Measures the throughput of short plain calls from many callers, in total and per second of the
/// daemon's CPU time.
async fn throughput(cluster: &Cluster, daemon: &str, pid: u32) {
    let deadline = Instant::now() + THROUGHPUT_TIME;
    let cpu_before = cpu_and_memory(pid).0;
    let tasks: Vec<_> = (0..CALLERS)
        .map(|n| {
            let (caller, daemon) = (cluster.new_caller("throughput"), daemon.to_owned());
            tokio::spawn(async move {
                let (mut whole, mut h) = (0_u64, histogram());
                while Instant::now() < deadline {
                    let got = caller.send(&daemon, &call_without_limit("stock-ping", n)).await;
                    whole += u64::from(got.outcome == "whole");
                    let _ = h.record(got.first_micros);
                }
                (whole, h)
            })
        })
        .collect();
    let (mut whole, mut all) = (0, histogram());
    for task in tasks {
        let (count, h) = task.await.expect("callers do not panic");
        whole += count;
        let _ = all.add(h);
    }
    let cpu_seconds = cpu_and_memory(pid).0 - cpu_before;
    let rate = whole as f64 / THROUGHPUT_TIME.as_secs_f64();
    println!("short plain calls: {rate:.0}/s, {:.0} per second of CPU time", whole as f64 / cpu_seconds);
    print_percentiles("short plain calls", &all);
}

/// Measures many long streams that are open at the same time.
async fn streams(cluster: &Cluster, daemon: &str, pid: u32) {
    let (cpu_before, idle_bytes) = cpu_and_memory(pid);
    let tasks: Vec<_> = (0..STREAMS)
        .map(|n| {
            let (caller, daemon) = (cluster.new_caller("streams"), daemon.to_owned());
            let req = Call { tokens: 400, ..call_without_limit("chat-reply", n) };
            tokio::spawn(async move { caller.send(&daemon, &req).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(900)).await;
    let busy_bytes = cpu_and_memory(pid).1;
    let mut whole = 0;
    for task in tasks {
        whole += u64::from(task.await.expect("callers do not panic").outcome == "whole");
    }
    let cpu_seconds = cpu_and_memory(pid).0 - cpu_before;
    println!("tokens per second of CPU time: {:.0}", (whole * 400) as f64 / cpu_seconds);
    let kb_per_stream = busy_bytes.saturating_sub(idle_bytes) as f64 / STREAMS as f64 / 1_024.0;
    println!(
        "{STREAMS} streams at once: {whole} whole, {kb_per_stream:.1} KB of additional memory per stream ({:.1} MB in total)",
        busy_bytes as f64 / 1e6
    );
}

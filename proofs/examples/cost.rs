//! Measures the cost of idle daemons at several cluster sizes: calls to the key-value service, traffic
//! on the loopback device, CPU time and memory.
//!
//! Run in a release build after `cargo build --release --workspace --bins --examples`.

use std::time::Duration;

use dahliaseam_core::{custody::Fencing, endpoint::Role};
use proofs::{
    cluster::{Cluster, ClusterSetup},
    process::cpu_and_memory,
};
use serde_json::json;

/// Duration of the measurement.
const MEASURE_TIME: Duration = Duration::from_secs(10);

/// Returns the number of bytes that the loopback device has received.
fn loopback_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:")).unwrap_or_default().to_owned();
    line.split_whitespace().next().and_then(|bytes| bytes.parse().ok()).unwrap_or(0)
}

#[tokio::main]
async fn main() {
    let sizes: Vec<usize> = std::env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let sizes = if sizes.is_empty() { vec![2, 8, 32] } else { sizes };
    println!("| daemons | kv calls/s | by path | bytes/s per daemon | CPU per daemon | largest memory of a daemon |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for daemons in sizes {
        let timing = json!({ "timing": {
            "probe_ms": 500, "suspicion_ms": 2_000, "list_ms": 1_000, "observe_ms": 500, "confirm_ms": 3_000,
            "lease_ms": 6_000, "control_ms": 250,
        } });
        let setup = ClusterSetup {
            daemons,
            engines: vec![(Role::Mixed, Fencing::Checks); 12],
            plain_services: 3,
            settings: timing,
            ..ClusterSetup::default()
        };
        let mut cluster = Cluster::start(setup).await;
        // At the start, the shard's holder orders each engine to load its model, at a limited rate. Only
        // the steady state after that is measured.
        tokio::time::sleep(Duration::from_secs(30)).await;
        let vms: Vec<_> = cluster.daemons.keys().cloned().collect();
        let pids: Vec<_> = vms.iter().map(|vm| cluster.daemon(vm).id()).collect();
        let calls_before = cluster.kv_calls().await;
        let (bytes_before, cpu_before) = (loopback_bytes(), pids.iter().map(|p| cpu_and_memory(*p).0).sum::<f64>());
        tokio::time::sleep(MEASURE_TIME).await;
        let bytes = loopback_bytes() - bytes_before;
        let cpu_seconds = pids.iter().map(|p| cpu_and_memory(*p).0).sum::<f64>() - cpu_before;
        let max_memory_bytes = pids.iter().map(|p| cpu_and_memory(*p).1).max().unwrap_or(0);
        let calls = cluster.kv_calls().await;
        let seconds = MEASURE_TIME.as_secs_f64();
        let rates: Vec<_> = calls
            .iter()
            .map(|(path, count)| (path, count - calls_before.get(path).copied().unwrap_or(0)))
            .filter(|(_, count)| *count > 0)
            .map(|(path, count)| format!("{path} {:.1}", count as f64 / seconds))
            .collect();
        let total_calls: u64 = calls.values().sum::<u64>() - calls_before.values().sum::<u64>();
        println!(
            "| {daemons} | {:.1} | {} | {:.0} | {:.2}% of a core | {:.1} MB |",
            total_calls as f64 / seconds,
            rates.join(", "),
            bytes as f64 / seconds / daemons as f64,
            cpu_seconds / seconds / daemons as f64 * 100.0,
            max_memory_bytes as f64 / 1e6,
        );
    }
}

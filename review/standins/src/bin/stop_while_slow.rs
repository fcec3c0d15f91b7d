//! A daemon is stopped as planned. Clients that keep their connections go on using them; the service takes five seconds.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use review_standins::{
    client, daemon, name,
    record::{Record, temporary_folder},
    replica::{Replica, sealed},
    store::Store,
};
use serde_json::json;

/// Time that the service takes for an order, and for anything else.
const ORDER_TIME: Duration = Duration::from_millis(5_000);
/// The route's timeout and the clients' deadline.
const DEADLINE_MS: u64 = 10_000;
/// Number of clients, each with a connection that it keeps.
const CLIENTS: u64 = 40;
/// The clients send their orders one after the other in this time after the signal. The later half is sent more than 3 s
/// after it.
const FIRST_AT: Duration = Duration::from_millis(2_800);
const SEND_GAP: Duration = Duration::from_millis(10);
/// A request sent no later than this after the signal may be cut while its replica is at work.
const EXCUSED_UNTIL: Duration = Duration::from_millis(3_000);

fn main() {
    let record = Record::start();
    record.limit_time();
    let temp = temporary_folder();
    let store = Store::start();
    store.put(
        name("CONFIG_KEY"),
        &json!({
            "version": 1,
            "routes": [{
                "name": "order", "host": "shop.example", "path_prefix": "/order/", "kind": "non_idempotent",
                "timeout_ms": DEADLINE_MS, "target_latency_ms": 6000, "priority": 1, "service": "till", "max_attempts": 1
            }],
            "services": [{"name": "till", "health_path": "/health", "max_connections": 300}],
            "limits": {"max_header_bytes": 8192, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        }),
    );
    let replicas: Vec<Replica> = (0..3)
        .map(|n| {
            let replica = Replica::start(&format!("i-till-{n}"), "till", &record, |request, conn| {
                if request.target().contains("slow") {
                    std::thread::sleep(ORDER_TIME);
                }
                conn.write(&sealed(request, "done"))
            });
            let mut entry = replica.entry("ready");
            entry["slots"] = 48.into();
            store.put(&replica.key(), &entry);
            replica
        })
        .collect();
    let mut daemons = daemon::start(2, store.address, &temp, &record);
    daemon::wait_registered(&store, 2, &record);
    std::thread::sleep(Duration::from_secs(2));
    let callers = daemons[0].callers;
    let start = Instant::now() + Duration::from_millis(500);
    let (lost, excused) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let (answered, not_run) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, replicas) = (record.clone(), replicas.clone());
            let (lost, excused, answered, not_run) =
                (Arc::clone(&lost), Arc::clone(&excused), Arc::clone(&answered), Arc::clone(&not_run));
            std::thread::spawn(move || {
                let Ok(mut conn) = client::connect(callers, Duration::from_millis(DEADLINE_MS)) else {
                    record.could_not_run("no connection")
                };
                // An earlier request of the same client, on the connection that it keeps.
                let earlier = client::request("POST", "/order/quick", &format!("quick-{n}"), DEADLINE_MS, "order");
                if conn.write(&earlier).is_err() || conn.read_message().map_or(0, |answer| answer.status()) != 200 {
                    record.could_not_run("the earlier request is not answered");
                }
                std::thread::sleep((start + FIRST_AT + SEND_GAP * n as u32).saturating_duration_since(Instant::now()));
                let id = format!("slow-{n}");
                let sent = conn.write(&client::request("POST", "/order/slow", &id, DEADLINE_MS, "order"));
                let sent_after = start.elapsed();
                let answer = sent.and_then(|()| conn.read_message());
                let runs: u32 = replicas.iter().map(|replica| replica.runs_of(&id)).sum();
                let outcome = match &answer {
                    Ok(answer) => format!("status {}", answer.status()),
                    Err(e) => format!("no answer ({e})"),
                };
                let sent_ms = sent_after.as_millis();
                let ended_ms = start.elapsed().as_millis();
                record.line(&format!(
                    "{id} sent {sent_ms} ms after the signal, {outcome} after {ended_ms} ms, run {runs} times"
                ));
                match answer {
                    Ok(answer) if answer.status() == 200 => answered.fetch_add(1, Ordering::Relaxed),
                    Err(_) if runs > 0 && sent_after > EXCUSED_UNTIL => lost.fetch_add(1, Ordering::Relaxed),
                    Err(_) if runs > 0 => excused.fetch_add(1, Ordering::Relaxed),
                    _ => not_run.fetch_add(1, Ordering::Relaxed),
                };
            })
        })
        .collect();
    std::thread::sleep(start.saturating_duration_since(Instant::now()));
    if record.trouble {
        daemons[0].signal("TERM");
        record.line("SIGTERM to the daemon that the clients are connected to");
    }
    if record.trouble {
        daemons[0].wait();
        record.line(&format!("the daemon has ended {} ms after the signal", start.elapsed().as_millis()));
    }
    for client in clients {
        let _ = client.join();
    }
    let count = |counter: &AtomicU32| counter.load(Ordering::Relaxed);
    let what = format!(
        "of {CLIENTS} orders, {} answered, {} lost although sent more than 3 s after the signal, {} cut but sent before, {} refused or not read",
        count(&answered),
        count(&lost),
        count(&excused),
        count(&not_run)
    );
    record.end("LOST", count(&lost) > 0, &what);
}

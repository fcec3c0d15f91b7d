//! Many users come at once, with bodies of nearly the largest size that the configuration allows.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
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

/// Memory of a machine, above which the platform kills its process.
const MEMORY_MB: u64 = 260;
const DAEMONS: usize = 2;
/// The largest body that the configuration allows, and the one that the clients send.
const MAX_BODY: usize = 4_194_304;
const BODY: usize = 4_000_000;
/// Clients of each daemon: always, and in addition during a burst (1.9 times the usual number in all).
const USUAL: usize = 30;
const MORE: usize = 27;
/// Time that the service takes.
const WORK: Duration = Duration::from_millis(1_000);
const DEADLINE_MS: u64 = 10_000;
const BURSTS: u32 = 3;
const BURST: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_secs(6);

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
                "timeout_ms": DEADLINE_MS, "target_latency_ms": 3000, "priority": 1, "service": "till", "max_attempts": 1
            }],
            "services": [{"name": "till", "health_path": "/health", "max_connections": 300}],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": MAX_BODY, "header_timeout_ms": 3000, "idle_timeout_ms": 15000
            }
        }),
    );
    for n in 0..3 {
        let replica = Replica::start(&format!("i-till-{n}"), "till", &record, |request, conn| {
            std::thread::sleep(WORK);
            conn.write(&sealed(request, "done"))
        });
        let mut entry = replica.entry("ready");
        entry["slots"] = 96.into();
        store.put(&replica.key(), &entry);
    }
    let daemons = daemon::start(DAEMONS, store.address, &temp, &record);
    daemon::wait_registered(&store, DAEMONS, &record);
    std::thread::sleep(Duration::from_secs(2));
    let callers: Vec<_> = daemons.iter().map(|daemon| daemon.callers).collect();
    let body = Arc::new("x".repeat(BODY));
    let over = Arc::new(AtomicBool::new(false));
    let bursting = Arc::new(AtomicBool::new(false));
    let (answered, lost) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..DAEMONS * (USUAL + MORE))
        .map(|n| {
            let (record, body) = (record.clone(), Arc::clone(&body));
            let (over, bursting) = (Arc::clone(&over), Arc::clone(&bursting));
            let (answered, lost) = (Arc::clone(&answered), Arc::clone(&lost));
            let address = callers[n % DAEMONS];
            let is_usual = n < DAEMONS * USUAL;
            std::thread::spawn(move || {
                for round in 0.. {
                    while !is_usual && !bursting.load(Ordering::Relaxed) && !over.load(Ordering::Relaxed) {
                        std::thread::sleep(Duration::from_millis(10));
                    }
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("order-{n}-{round}");
                    match client::call(address, "POST", "/order/x", &id, DEADLINE_MS, &body) {
                        Ok(answer) if answer.status() == 200 => {
                            answered.fetch_add(1, Ordering::Relaxed);
                        }
                        Ok(answer) => record.line(&format!("{id}: status {}", answer.status())),
                        Err(e) => {
                            record.line(&format!("{id}: no answer ({e})"));
                            lost.fetch_add(1, Ordering::Relaxed);
                            std::thread::sleep(Duration::from_millis(250));
                        }
                    }
                }
            })
        })
        .collect();
    let (ends, peaks) = (Arc::new(Mutex::new([0_u32; DAEMONS])), Arc::new([const { AtomicU64::new(0) }; DAEMONS]));
    // The platform: it kills a process that is over the machine's memory, and starts it again.
    for (n, mut daemon) in daemons.into_iter().enumerate() {
        let (record, over) = (record.clone(), Arc::clone(&over));
        let (ends, peaks) = (Arc::clone(&ends), Arc::clone(&peaks));
        std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let memory = daemon.memory_mb();
                peaks[n].fetch_max(memory, Ordering::Relaxed);
                if memory > MEMORY_MB {
                    record.line(&format!("the process of front-{n} has {memory} MB and is killed"));
                    ends.lock().expect("not poisoned")[n] += 1;
                    daemon.kill_and_restart();
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        });
    }
    for burst in 1..=BURSTS {
        std::thread::sleep(PAUSE);
        if record.trouble {
            record.line(&format!("burst {burst} of many users"));
            bursting.store(true, Ordering::Relaxed);
        }
        let until = Instant::now() + BURST;
        while Instant::now() < until {
            std::thread::sleep(Duration::from_millis(10));
        }
        bursting.store(false, Ordering::Relaxed);
    }
    std::thread::sleep(PAUSE);
    over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let ends = *ends.lock().expect("not poisoned");
    let peaks: Vec<u64> = peaks.iter().map(|peak| peak.load(Ordering::Relaxed)).collect();
    let what = format!(
        "processes killed for their memory: {ends:?}; largest memory seen: {peaks:?} MB of {MEMORY_MB}; {} orders answered, {} without an answer",
        answered.load(Ordering::Relaxed),
        lost.load(Ordering::Relaxed)
    );
    record.end("Fault", ends.iter().filter(|ends| **ends >= 3).count() >= 2, &what);
}

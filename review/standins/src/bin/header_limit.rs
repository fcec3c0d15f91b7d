//! The operator's second configuration adds a route and limits the heads of requests to two kilobytes.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use review_standins::{
    client, daemon, name,
    record::{Record, temporary_folder},
    replica::{Replica, sealed},
    store::Store,
};
use serde_json::{Value, json};

/// The limit that the first configuration sets, in bytes.
const USUAL_LIMIT: usize = 8_192;
/// The limit that the second configuration sets, in bytes. The heads that the clients send have less than 200.
const LOWER_LIMIT: usize = 2_048;
const DAEMONS: usize = 3;
/// Clients of each daemon: as many that keep a connection from before the change and use the first route, as new ones
/// that open a connection for each request and use the added route.
const CLIENTS: usize = 8;
/// Number of requests that each client sends after the change, and the time between two of them.
const REQUESTS: usize = 20;
const GAP: Duration = Duration::from_millis(250);
const DEADLINE_MS: u64 = 600;
/// Time after the acknowledgement from which requests are sent: `config_apply_ms` and half a second more.
const IN_FORCE_AFTER: Duration = Duration::from_millis(2_500);

fn configuration(version: u64, routes: &[&str], head_bytes: usize) -> Value {
    let route = |name: &&str| {
        json!({
            "name": name, "host": "shop.example", "path_prefix": format!("/{name}/"), "kind": "non_idempotent",
            "timeout_ms": DEADLINE_MS, "target_latency_ms": 100, "priority": 1, "service": "till", "max_attempts": 1
        })
    };
    json!({
        "version": version,
        "routes": routes.iter().map(route).collect::<Vec<_>>(),
        "services": [{"name": "till", "health_path": "/health", "max_connections": 110}],
        "limits": {
            "max_header_bytes": head_bytes, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000
        }
    })
}

/// Requests on one kind of route.
#[derive(Default)]
struct Count {
    sent: AtomicUsize,
    served: AtomicUsize,
}

impl Count {
    fn add(&self, served: bool) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.served.fetch_add(usize::from(served), Ordering::Relaxed);
    }

    fn sent(&self) -> usize {
        self.sent.load(Ordering::Relaxed)
    }

    fn served(&self) -> usize {
        self.served.load(Ordering::Relaxed)
    }

    fn share(&self) -> f64 {
        self.served() as f64 / self.sent().max(1) as f64
    }
}

fn main() {
    let record = Record::start();
    record.limit_time();
    let temp = temporary_folder();
    let store = Store::start();
    store.put(name("CONFIG_KEY"), &configuration(1, &["ping"], USUAL_LIMIT));
    for n in 0..3 {
        let replica = Replica::start(&format!("i-till-{n}"), "till", &record, |request, conn| {
            std::thread::sleep(Duration::from_millis(5));
            conn.write(&sealed(request, "ok"))
        });
        store.put(&replica.key(), &replica.entry("ready"));
    }
    let daemons = daemon::start(DAEMONS, store.address, &temp, &record);
    daemon::wait_registered(&store, DAEMONS, &record);
    std::thread::sleep(Duration::from_secs(4));
    let (first, added) = (Arc::new(Count::default()), Arc::new(Count::default()));
    let mut clients = Vec::new();
    let (release, released) = (Arc::new(std::sync::Barrier::new(2 * DAEMONS * CLIENTS + 1)), 2 * DAEMONS * CLIENTS);
    for n in 0..released {
        let callers = daemons[n % DAEMONS].callers;
        let keeps = n < DAEMONS * CLIENTS;
        let (record, release) = (record.clone(), Arc::clone(&release));
        let count = Arc::clone(if keeps { &first } else { &added });
        clients.push(std::thread::spawn(move || {
            let timeout = Duration::from_millis(DEADLINE_MS);
            let mut kept = keeps.then(|| client::connect(callers, timeout).expect("a connection before the change"));
            if let Some(conn) = &mut kept {
                conn.write(&client::request("POST", "/ping/x", &format!("before-{n}"), DEADLINE_MS, "ping"))
                    .expect("sent");
                assert_eq!(conn.read_message().map_or(0, |answer| answer.status()), 200, "served before the change");
            }
            release.wait();
            for round in 0..REQUESTS {
                let id = format!("after-{n}-{round}");
                let (answer, how) = match &mut kept {
                    Some(conn) => {
                        let request = client::request("POST", "/ping/x", &id, DEADLINE_MS, "ping");
                        (conn.write(&request).and_then(|()| conn.read_message()), "first route, kept connection")
                    }
                    None => {
                        let answer = client::call(callers, "POST", "/pong/x", &id, DEADLINE_MS, "ping");
                        (answer, "added route, new connection")
                    }
                };
                count.add(answer.as_ref().is_ok_and(|answer| answer.status() == 200));
                let outcome =
                    answer.map_or_else(|e| format!("no answer: {e}"), |answer| format!("status {}", answer.status()));
                record.line(&format!("{id} ({how}): {outcome}"));
                std::thread::sleep(GAP);
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(1));
    let limit = if record.trouble { LOWER_LIMIT } else { USUAL_LIMIT };
    store.put(name("CONFIG_KEY"), &configuration(2, &["ping", "pong"], limit));
    record.line(&format!("configuration 2 is acknowledged: it adds a route, its limit for heads is {limit} bytes"));
    std::thread::sleep(IN_FORCE_AFTER);
    release.wait();
    for client in clients {
        if client.join().is_err() {
            record.could_not_run("a client could not begin");
        }
    }
    let ready = daemons.iter().filter(|daemon| client::status(daemon.ready, &format!("{}ready", name("API"))) == 200);
    record.line(&format!("{} of {DAEMONS} daemons say that they are ready", ready.count()));
    for daemon in &daemons {
        let errors = std::fs::read_to_string(&daemon.errors).unwrap_or_default();
        let panics = errors.lines().filter(|line| line.contains("panicked")).count();
        record.line(&format!(
            "standard error: {panics} panics; {}",
            errors.lines().find(|line| line.contains("max_buf_size")).unwrap_or("")
        ));
    }
    let what = format!(
        "{} of {} requests served on the first route, {} of {} on the added one",
        first.served(),
        first.sent(),
        added.served(),
        added.sent()
    );
    record.end("CONFIG", added.sent() >= 20 && added.share() < first.share() / 4.0, &what);
}

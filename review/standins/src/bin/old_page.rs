//! A daemon is killed and started again soon after a change of the configuration. It reads the store in pages, of which
//! one is some seconds old.

use std::time::{Duration, Instant};

use review_standins::{
    client, daemon, name,
    record::{Record, temporary_folder},
    replica::{Replica, sealed},
    store::Store,
};
use serde_json::{Value, json};

const DAEMONS: usize = 3;
/// Number of routes; a configuration then has some 950 KB.
const ROUTES: usize = 4_300;
/// From the acknowledgement to the kill.
const KILL_AFTER: Duration = Duration::from_millis(300);
/// `contact_ms`, after which the daemon that was started again is in touch, and half a second more. It is longer than
/// `config_apply_ms`.
const IN_TOUCH_AFTER: Duration = Duration::from_millis(3_500);
/// Time for which requests are then sent.
const ASKING: Duration = Duration::from_secs(20);

fn configuration(version: u64, new_service: &str) -> Value {
    let route = |name: &str, service: &str| {
        json!({
            "name": name, "host": "shop.example", "path_prefix": format!("/{name}/"), "kind": "non_idempotent",
            "timeout_ms": 3000, "target_latency_ms": 100, "priority": 1, "service": service, "max_attempts": 1
        })
    };
    let mut routes = vec![route("order", new_service)];
    routes.extend((0..ROUTES).map(|n| route(&format!("shop-{n}-order-confirmation"), "till")));
    json!({
        "version": version, "routes": routes,
        "services": [
            {"name": "till", "health_path": "/health", "max_connections": 300},
            {"name": "till-new", "health_path": "/health", "max_connections": 300}
        ],
        "limits": {"max_header_bytes": 8192, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    })
}

fn main() {
    let record = Record::start();
    record.limit_time();
    let temp = temporary_folder();
    let store = Store::start();
    store.put(name("CONFIG_KEY"), &configuration(1, "till"));
    record.line(&format!("a configuration has {} bytes", configuration(1, "till").to_string().len()));
    let replicas = ["till", "till-new"].map(|service| {
        let replica = Replica::start(&format!("i-{service}"), service, &record, |request, conn| {
            conn.write(&sealed(request, "ok"))
        });
        store.put(&replica.key(), &replica.entry("ready"));
        replica
    });
    // Longer than an old read may be behind.
    std::thread::sleep(Duration::from_secs(4));
    let mut daemons = daemon::start(DAEMONS, store.address, &temp, &record);
    daemon::wait_registered(&store, DAEMONS, &record);
    std::thread::sleep(Duration::from_secs(4));
    store.put(name("CONFIG_KEY"), &configuration(2, "till-new"));
    record.line("configuration 2 is acknowledged: /order/ moves from the service till to till-new");
    std::thread::sleep(KILL_AFTER);
    if record.trouble {
        daemons[0].kill_and_restart();
        record.line("front-0 was killed and started again");
    }
    std::thread::sleep(IN_TOUCH_AFTER);
    let started = Instant::now();
    let (mut old, mut new, mut failed) = ([0; DAEMONS], [0; DAEMONS], [0; DAEMONS]);
    let mut round = 0;
    while started.elapsed() < ASKING {
        round += 1;
        for (n, daemon) in daemons.iter().enumerate() {
            let id = format!("order-{n}-{round}");
            let status = client::call(daemon.callers, "POST", "/order/x", &id, 3_000, "order")
                .map_or(0, |answer| answer.status());
            let (by_old, by_new) = (replicas[0].runs_of(&id), replicas[1].runs_of(&id));
            record.line(&format!(
                "{id} at front-{n}: status {status}, run {by_old} times by till and {by_new} times by till-new"
            ));
            if by_old > 0 {
                old[n] += 1
            } else if by_new > 0 {
                new[n] += 1
            } else {
                failed[n] += 1
            }
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    let log = std::fs::read_to_string(&daemons[0].log).unwrap_or_default();
    for line in log.lines().filter(|line| line.contains("ROUTES_IN_FORCE") || line.contains("STORE_READ")) {
        record.line(&format!("log of front-0: {line}"));
    }
    let what =
        format!("by machine, orders run by the old service {old:?}, by the new one {new:?}, by neither {failed:?}");
    record.end("CONFIG", old.iter().sum::<i32>() > 0, &what);
}

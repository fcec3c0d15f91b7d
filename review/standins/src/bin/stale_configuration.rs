//! All connections to the store fall silent while configurations come in quick succession.

use std::time::Duration;

use review_standins::{
    client, daemon, name,
    record::{Record, temporary_folder},
    replica::{Replica, sealed},
    store::Store,
};
use serde_json::{Value, json};

/// Number of daemons.
const DAEMONS: usize = 3;
/// Number of changes, and the time between two of them.
const CHANGES: u64 = 12;
const CHANGE_GAP: Duration = Duration::from_millis(330);
/// Number of routes.
const ROUTES: usize = 4_300;
/// `contact_ms` + `config_apply_ms`, and half a second more.
const IN_FORCE_AFTER: Duration = Duration::from_millis(3_000 + 2_000 + 500);
/// Time for which requests are then sent.
const ASKING: Duration = Duration::from_secs(30);

fn configuration(version: u64) -> Value {
    let route = |name: &str| {
        json!({
            "name": name, "host": "shop.example", "path_prefix": format!("/{name}/"), "kind": "non_idempotent",
            "timeout_ms": 3000, "target_latency_ms": 100, "priority": 1, "service": "till", "max_attempts": 1
        })
    };
    let mut routes = vec![route("ping"), route(&format!("v{version}"))];
    routes.extend((0..ROUTES).map(|n| route(&format!("shop-{n}-order-confirmation"))));
    json!({
        "version": version, "routes": routes,
        "services": [{"name": "till", "health_path": "/health", "max_connections": 300}],
        "limits": {"max_header_bytes": 8192, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    })
}

fn main() {
    let record = Record::start();
    record.limit_time();
    let temp = temporary_folder();
    let store = Store::start();
    let mut version = 1;
    store.put(name("CONFIG_KEY"), &configuration(version));
    record.line(&format!("a configuration has {} bytes", configuration(version).to_string().len()));
    let replica = Replica::start("i-till-1", "till", &record, |request, conn| conn.write(&sealed(request, "ok")));
    store.put(&replica.key(), &replica.entry("ready"));
    // Longer than an old read may be behind.
    std::thread::sleep(Duration::from_secs(4));
    let daemons = daemon::start(DAEMONS, store.address, &temp, &record);
    daemon::wait_registered(&store, DAEMONS, &record);
    std::thread::sleep(Duration::from_secs(3));
    if record.trouble {
        store.silence_open_connections();
        record.line("all open connections to the store fall silent; new ones work");
    }
    for _ in 0..CHANGES {
        version += 1;
        store.put(name("CONFIG_KEY"), &configuration(version));
        record.line(&format!("configuration {version} is acknowledged"));
        std::thread::sleep(CHANGE_GAP);
    }
    std::thread::sleep(IN_FORCE_AFTER);
    let mut refused = 0;
    let mut served = 0;
    for n in 0..ASKING.as_millis() / 250 {
        let daemon = &daemons[n as usize % DAEMONS];
        let id = format!("r{n}");
        let answer = client::call(daemon.callers, "POST", &format!("/v{version}/x"), &id, 3_000, "order");
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("{id} to the route that configuration {version} has added: {status}"));
        if status == 404 {
            refused += 1
        } else {
            served += usize::from(status == 200)
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    record.line(&format!("largest answer to a watch: {} bytes", store.largest_watch()));
    for daemon in &daemons {
        let log = std::fs::read_to_string(&daemon.log).unwrap_or_default();
        let lost = log.lines().filter(|line| line.contains("STORE_LOST")).count();
        let last = log.lines().rfind(|line| line.contains("STORE_LOST") || line.contains("STORE_BACK")).unwrap_or("");
        record.line(&format!("daemon's log: {lost} times STORE_LOST; last: {last}"));
    }
    if refused + served == 0 {
        record.could_not_run("no request was refused with 404 or served");
    }
    let what = format!(
        "{refused} requests refused with 404 and {served} served, from 5.5 s after the last of {CHANGES} changes"
    );
    record.end("CONFIG", refused > 0, &what);
}

//! Stand-in for the platform's metadata store.

use std::{
    collections::{BTreeMap, HashMap},
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use crate::{
    http::{Message, Reader, answer},
    wire::name,
};

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

#[derive(Default)]
struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    /// All changes; `None` for a removal.
    log: Vec<(i64, String, Option<Item>)>,
    leases: HashMap<i64, Lease>,
    next_lease: i64,
    /// When each replica last wrote its entry.
    beats: HashMap<String, Instant>,
    /// What replicas report to the script: not a call of the platform.
    reports: Vec<String>,
}

/// Time without a write after which the entry of a replica goes: three heartbeats.
const BEATS_TIMEOUT: Duration = Duration::from_millis(3_600);

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    inner: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Self { address, inner: Arc::default() };
        store.inner.0.lock().expect("lock").revision = 1;
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let clock = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                clock.expire();
            }
        });
        store
    }

    /// Writes as the operator or a replica.
    pub fn put(&self, key: &str, value: &Value) -> i64 {
        let mut state = self.inner.0.lock().expect("lock");
        let revision = state.revision + 1;
        state.revision = revision;
        state.set(key, STANDARD.encode(value.to_string()), 0);
        self.inner.1.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.inner.0.lock().expect("lock");
        state.revision += 1;
        state.remove(key);
        self.inner.1.notify_all();
    }

    /// The value of a key, decoded.
    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.inner.0.lock().expect("lock");
        let value = STANDARD.decode(&state.items.get(key)?.value).ok()?;
        String::from_utf8(value).ok()
    }

    /// What replicas reported so far.
    pub fn reports(&self) -> Vec<String> {
        self.inner.0.lock().expect("lock").reports.clone()
    }

    fn expire(&self) {
        let mut state = self.inner.0.lock().expect("lock");
        let now = Instant::now();
        let silent: Vec<String> =
            state.beats.iter().filter(|(_, at)| **at + BEATS_TIMEOUT <= now).map(|(id, _)| id.clone()).collect();
        for id in silent {
            state.beats.remove(&id);
            state.revision += 1;
            state.remove(&format!("servers/{id}"));
            self.inner.1.notify_all();
        }
        let over: Vec<i64> = state.leases.iter().filter(|(_, l)| l.ends_at <= now).map(|(id, _)| *id).collect();
        for id in over {
            state.end_lease(id);
            self.inner.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(req)) = reader.request() {
            let (status, body) = self.handle(&req);
            let text = body.to_string();
            let headers = [("Content-Type", "application/json")];
            if reader.stream.write_all(&answer(status, &headers, text.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn handle(&self, req: &Message) -> (&'static str, Value) {
        let call = req.path().strip_prefix(name("store-path")).unwrap_or("").to_owned();
        let body: Value = serde_json::from_slice(&req.body).unwrap_or(Value::Null);
        if call == "kv-watch" {
            return self.watch(req);
        }
        let mut state = self.inner.0.lock().expect("lock");
        let done = state.apply(&call, req, &body);
        self.inner.1.notify_all();
        done
    }

    fn watch(&self, req: &Message) -> (&'static str, Value) {
        let prefix = req.query("path_prefix").unwrap_or_default();
        let after: i64 = req.query("after").and_then(|after| after.parse().ok()).unwrap_or(0);
        let wait: u64 = req.query("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.inner.0.lock().expect("lock");
        loop {
            let events: Vec<Value> = state
                .log
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => row(key, item),
                    None => json!({"key": key, "revision": revision, "removed": true}),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return ("200 OK", json!({"events": events, (name("revision")): state.revision}));
            }
            state = self.inner.1.wait_timeout(state, left).expect("lock").0;
        }
    }
}

fn row(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": item.value, "revision": item.revision, "created_rev": item.created, "lease": item.lease})
}

impl State {
    fn set(&mut self, key: &str, value: String, lease: i64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.log.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.log.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, id: i64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self.items.iter().filter(|(_, i)| i.lease == id).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn apply(&mut self, call: &str, req: &Message, body: &Value) -> (&'static str, Value) {
        let revision = name("revision");
        match call.split('/').next().unwrap_or("") {
            "kv-key" => match self.items.get_key_value(&req.query("key").unwrap_or_default()) {
                Some((key, item)) => {
                    let mut item = row(key, item);
                    item[revision] = json!(self.revision);
                    ("200 OK", item)
                }
                None => ("404 Not Found", json!({(revision): self.revision})),
            },
            "kv-range" => {
                let prefix = req.query("path_prefix").unwrap_or_default();
                let after = req.query("after").unwrap_or_default();
                let found = self.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<Value> = found.map(|(key, item)| row(key, item)).collect();
                ("200 OK", json!({"items": items, "more_pages": false, (revision): self.revision}))
            }
            "kv-lease" => {
                let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1_000));
                self.next_lease += 1;
                self.leases.insert(self.next_lease, Lease { ttl, ends_at: Instant::now() + ttl });
                ("200 OK", json!({"lease": self.next_lease, "ttl_ms": ttl.as_millis() as u64}))
            }
            "kv-keep" => {
                let id = call.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                match self.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.ends_at = Instant::now() + lease.ttl;
                        ("200 OK", json!({"ttl_ms": lease.ttl.as_millis() as u64}))
                    }
                    None => ("404 Not Found", json!({})),
                }
            }
            "kv-lease-end" => {
                let id = call.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                self.end_lease(id);
                ("200 OK", json!({}))
            }
            "kv-txn" => self.transact(body),
            // How replicas write their entries and report to the script.
            "beat" => {
                let id = call.rsplit('/').next().unwrap_or("").to_owned();
                let key = format!("servers/{id}");
                let value = STANDARD.encode(body.to_string());
                self.beats.insert(id, Instant::now());
                if self.items.get(&key).is_none_or(|item| item.value != value) {
                    self.revision += 1;
                    self.set(&key, value, 0);
                }
                ("200 OK", json!({}))
            }
            "report-run" => {
                self.reports.push(body.as_str().unwrap_or("").to_owned());
                ("200 OK", json!({}))
            }
            _ => ("404 Not Found", json!({})),
        }
    }

    fn transact(&mut self, body: &Value) -> (&'static str, Value) {
        let rows = |field: &str| body[field].as_array().cloned().unwrap_or_default();
        let expected = rows(name("expected"));
        let current = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        let holds = expected
            .iter()
            .all(|row| current(row["key"].as_str().unwrap_or("")) == row["revision"].as_i64().unwrap_or(0));
        if !holds {
            let items = expected.iter().filter_map(|row| {
                let key = row["key"].as_str()?;
                Some(
                    self.items.get(key).map_or_else(|| json!({"key": key, "revision": 0}), |item| self::row(key, item)),
                )
            });
            return ("412 Precondition Failed", json!({"items": items.collect::<Vec<_>>()}));
        }
        let sets = rows("set_keys");
        let lease_of = |row: &Value| row["lease"].as_i64().unwrap_or(0);
        if sets.iter().any(|row| lease_of(row) != 0 && !self.leases.contains_key(&lease_of(row))) {
            return ("404 Not Found", json!({}));
        }
        self.revision += 1;
        for row in &sets {
            self.set(row["key"].as_str().unwrap_or(""), row["value"].as_str().unwrap_or("").to_owned(), lease_of(row));
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or(""));
        }
        ("200 OK", json!({"revision": self.revision}))
    }
}

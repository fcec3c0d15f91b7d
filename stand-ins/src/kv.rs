//! Stand-in for the key-value service: the subset of etcd's v3 JSON gateway that dahliaseam uses.
//!
//! A POST to `/fault` makes the service unavailable or slow, makes reads stale, or makes writes take effect although
//! their responses are lost. `/calls` returns the number of calls of each kind.

use std::{
    collections::{BTreeMap, HashMap},
    convert::Infallible,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    body::{Body, Bytes},
    extract::State,
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use futures_util::{StreamExt, stream};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::broadcast;

use crate::serve::Server;

/// Faults of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KvFault {
    /// Calls get no response and have no effect.
    pub down: bool,
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes that take effect although their responses are lost.
    pub lose_answers: u32,
    /// Reads return the value that each key had before its last change.
    pub stale_reads: bool,
}

/// Interval at which an idle watch sends empty messages.
const WATCH_PROGRESS_INTERVAL: Duration = Duration::from_millis(500);
/// Number of changes that a slow watch may lag behind before it is closed.
const WATCH_BUFFER: usize = 1_024;
/// Maximum size of a value in bytes, as on the platform.
const MAX_VALUE_BYTES: usize = 1 << 20;

#[derive(Clone, Debug)]
struct StoredValue {
    value: String,
    mod_revision: i64,
    lease: i64,
}

#[derive(Debug)]
struct Store {
    revision: i64,
    keys: BTreeMap<String, StoredValue>,
    previous: BTreeMap<String, StoredValue>,
    leases: HashMap<i64, (Instant, Duration)>,
    next_lease: i64,
    calls: BTreeMap<String, u64>,
    fault: KvFault,
    changes: broadcast::Sender<(String, Option<StoredValue>)>,
}

type Shared = Arc<Mutex<Store>>;

/// Running key-value service.
#[derive(Debug)]
pub struct Kv {
    server: Server,
}

impl Kv {
    /// Starts an empty service at `address`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(address: &str) -> std::io::Result<Self> {
        let state: Shared = Arc::new(Mutex::new(Store {
            revision: 1,
            keys: BTreeMap::new(),
            previous: BTreeMap::new(),
            leases: HashMap::new(),
            next_lease: 1,
            calls: BTreeMap::new(),
            fault: KvFault::default(),
            changes: broadcast::channel(WATCH_BUFFER).0,
        }));
        let router = Router::new()
            .route("/v3/kv/range", post(range))
            .route("/v3/kv/txn", post(txn))
            .route("/v3/lease/grant", post(grant))
            .route("/v3/lease/keepalive", post(keep_alive))
            .route("/v3/lease/revoke", post(revoke))
            .route("/v3/watch", post(watch))
            .route("/fault", post(set_fault))
            .route("/calls", get(calls))
            .with_state(state);
        Ok(Self { server: Server::start(address, router).await? })
    }

    /// Server of this stand-in.
    #[must_use]
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Serves until the process is killed.
    pub async fn serve_forever(self) {
        self.server.serve_forever().await;
    }
}

async fn set_fault(State(state): State<Shared>, Json(fault): Json<KvFault>) {
    state.lock().expect("the lock is not poisoned").fault = fault;
}

async fn calls(State(state): State<Shared>) -> Json<BTreeMap<String, u64>> {
    Json(state.lock().expect("the lock is not poisoned").calls.clone())
}

/// Counts the call and applies the fault.
async fn begin_call(state: &Shared, path: &str) -> Result<(), Response> {
    let fault = {
        let mut store = state.lock().expect("the lock is not poisoned");
        *store.calls.entry(path.to_owned()).or_default() += 1;
        store.expire();
        store.fault
    };
    tokio::time::sleep(Duration::from_millis(fault.slow_ms)).await;
    if fault.down { Err(broken_response()) } else { Ok(()) }
}

/// Returns a response whose body breaks off, which to the client is the same as none.
fn broken_response() -> Response {
    let broken = stream::once(async { Err::<Bytes, _>(std::io::Error::other("response lost by an injected fault")) });
    Response::builder().header("content-length", "1000").body(Body::from_stream(broken)).unwrap_or_default()
}

fn key_field(body: &Value, field: &str) -> Vec<u8> {
    let text = body.get(field).and_then(Value::as_str).unwrap_or_default();
    BASE64.decode(text).unwrap_or_default()
}

fn int_field(body: &Value, field: &str) -> i64 {
    match body.get(field) {
        Some(Value::String(text)) => text.parse().unwrap_or(0),
        Some(value) => value.as_i64().unwrap_or(0),
        None => 0,
    }
}

impl Store {
    fn expire(&mut self) {
        let now = Instant::now();
        let expired: Vec<_> =
            self.leases.iter().filter(|(_, (expires_at, _))| *expires_at <= now).map(|(id, _)| *id).collect();
        for lease in expired {
            self.remove_lease(lease);
        }
    }

    fn remove_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let attached: Vec<_> = self.keys.iter().filter(|(_, s)| s.lease == lease).map(|(k, _)| k.clone()).collect();
        for key in attached {
            self.revision += 1;
            self.delete(&key);
        }
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let _ = self.changes.send((key.to_owned(), None));
        }
    }

    fn range(&self, body: &Value) -> Value {
        let key = String::from_utf8_lossy(&key_field(body, "key")).into_owned();
        let end = String::from_utf8_lossy(&key_field(body, "range_end")).into_owned();
        let entries: Vec<_> = if end.is_empty() {
            self.keys.get_key_value(&key).into_iter().collect()
        } else {
            self.keys.range(key..end).collect()
        };
        let kv_of = |k: &String, s: &StoredValue| {
            let previous = self.previous.get(k).filter(|_| self.fault.stale_reads);
            kv_json(k, previous.unwrap_or(s))
        };
        let kvs: Vec<_> = entries.into_iter().map(|(k, s)| kv_of(k, s)).collect();
        json!({ "header": self.header(), "kvs": kvs, "count": kvs.len().to_string() })
    }

    fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }

    /// Runs a transaction; its writes get this revision.
    fn txn(&mut self, body: &Value, revision: i64) -> Value {
        let empty = Vec::new();
        let list = |field: &str| body.get(field).and_then(Value::as_array).unwrap_or(&empty).clone();
        let succeeded = list("compare").iter().all(|c| self.compare(c));
        let ops = list(if succeeded { "success" } else { "failure" });
        let responses: Vec<_> = ops.iter().map(|op| self.op(op, revision)).collect();
        json!({ "header": self.header(), "succeeded": succeeded, "responses": responses })
    }

    fn compare(&self, compare: &Value) -> bool {
        let key = String::from_utf8_lossy(&key_field(compare, "key")).into_owned();
        let present = self.keys.get(&key).map_or(0, |s| s.mod_revision);
        present == int_field(compare, "mod_revision")
    }

    fn op(&mut self, op: &Value, revision: i64) -> Value {
        if let Some(put) = op.get("request_put") {
            self.put(put, revision);
            json!({ "response_put": {} })
        } else if let Some(range) = op.get("request_range") {
            json!({ "response_range": self.range(range) })
        } else if let Some(delete) = op.get("request_delete_range") {
            let key = String::from_utf8_lossy(&key_field(delete, "key")).into_owned();
            self.revision = revision;
            self.delete(&key);
            json!({ "response_delete_range": {} })
        } else if let Some(inner) = op.get("request_txn") {
            json!({ "response_txn": self.txn(inner, revision) })
        } else {
            json!({})
        }
    }

    fn put(&mut self, put: &Value, revision: i64) {
        self.revision = revision;
        let key = String::from_utf8_lossy(&key_field(put, "key")).into_owned();
        let stored = StoredValue {
            value: put.get("value").and_then(Value::as_str).unwrap_or_default().to_owned(),
            mod_revision: revision,
            lease: int_field(put, "lease"),
        };
        if let Some(previous) = self.keys.insert(key.clone(), stored.clone()) {
            self.previous.insert(key.clone(), previous);
        }
        let _ = self.changes.send((key, Some(stored)));
    }
}

fn kv_json(key: &str, stored: &StoredValue) -> Value {
    json!({
        "key": BASE64.encode(key),
        "value": stored.value,
        "mod_revision": stored.mod_revision.to_string(),
        "lease": stored.lease.to_string(),
    })
}

async fn range(State(state): State<Shared>, body: Bytes) -> Response {
    if let Err(resp) = begin_call(&state, "range").await {
        return resp;
    }
    let body = parse_body(&body);
    Json(state.lock().expect("the lock is not poisoned").range(&body)).into_response()
}

/// The gateway accepts any media type, so the body is parsed without the `Json` extractor.
fn parse_body(body: &Bytes) -> Value {
    serde_json::from_slice(body).unwrap_or(Value::Null)
}

async fn txn(State(state): State<Shared>, body: Bytes) -> Response {
    if let Err(resp) = begin_call(&state, "txn").await {
        return resp;
    }
    if body.len() > MAX_VALUE_BYTES * 4 / 3 + MAX_VALUE_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let body = parse_body(&body);
    let mut store = state.lock().expect("the lock is not poisoned");
    let revision = store.revision + 1;
    let answer = store.txn(&body, revision);
    if store.fault.lose_answers > 0 {
        store.fault.lose_answers -= 1;
        return broken_response();
    }
    Json(answer).into_response()
}

async fn grant(State(state): State<Shared>, body: Bytes) -> Response {
    if let Err(resp) = begin_call(&state, "grant").await {
        return resp;
    }
    let ttl = Duration::from_secs(int_field(&parse_body(&body), "TTL").max(1) as u64);
    let mut store = state.lock().expect("the lock is not poisoned");
    store.next_lease += 1;
    let id = store.next_lease;
    store.leases.insert(id, (Instant::now() + ttl, ttl));
    Json(json!({ "ID": id.to_string(), "TTL": ttl.as_secs().to_string() })).into_response()
}

async fn keep_alive(State(state): State<Shared>, body: Bytes) -> Response {
    if let Err(resp) = begin_call(&state, "keepalive").await {
        return resp;
    }
    let id = int_field(&parse_body(&body), "ID");
    let mut store = state.lock().expect("the lock is not poisoned");
    let ttl = store.leases.get_mut(&id).map(|(expires_at, ttl)| {
        *expires_at = Instant::now() + *ttl;
        ttl.as_secs()
    });
    let result = json!({ "ID": id.to_string(), "TTL": ttl.unwrap_or(0).to_string() });
    Json(json!({ "result": result })).into_response()
}

async fn revoke(State(state): State<Shared>, body: Bytes) -> Response {
    if let Err(resp) = begin_call(&state, "revoke").await {
        return resp;
    }
    let id = int_field(&parse_body(&body), "ID");
    state.lock().expect("the lock is not poisoned").remove_lease(id);
    Json(json!({})).into_response()
}

async fn watch(State(state): State<Shared>, body: Bytes) -> Response {
    if let Err(resp) = begin_call(&state, "watch").await {
        return resp;
    }
    let body = parse_body(&body);
    let key = key_field(body.get("create_request").unwrap_or(&Value::Null), "key");
    let key = String::from_utf8_lossy(&key).into_owned();
    let rx = state.lock().expect("the lock is not poisoned").changes.subscribe();
    let watch_lines = stream::unfold((rx, state, key, true), next_watch_line);
    Response::new(Body::from_stream(watch_lines.map(Ok::<_, Infallible>)))
}

type WatchState = (broadcast::Receiver<(String, Option<StoredValue>)>, Shared, String, bool);

async fn next_watch_line((mut rx, state, key, is_first): WatchState) -> Option<(Bytes, WatchState)> {
    if is_first {
        return Some((watch_line(&[]), (rx, state, key, false)));
    }
    loop {
        let change = tokio::time::timeout(WATCH_PROGRESS_INTERVAL, rx.recv()).await;
        if state.lock().expect("the lock is not poisoned").fault.down {
            return None;
        }
        let events = match change {
            Ok(Ok((changed, stored))) if changed == key => vec![event_json(&key, stored.as_ref())],
            Ok(Ok(_)) => continue,
            Ok(Err(_)) => return None,
            Err(_) => Vec::new(),
        };
        return Some((watch_line(&events), (rx, state, key, false)));
    }
}

fn event_json(key: &str, stored: Option<&StoredValue>) -> Value {
    match stored {
        Some(stored) => json!({ "kv": kv_json(key, stored) }),
        None => json!({ "type": "DELETE", "kv": { "key": BASE64.encode(key) } }),
    }
}

fn watch_line(events: &[Value]) -> Bytes {
    let mut text = json!({ "result": { "header": {}, "events": events } }).to_string();
    text.push('\n');
    Bytes::from(text)
}

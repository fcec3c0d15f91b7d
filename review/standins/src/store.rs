//! The platform's metadata store.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};

use crate::{
    http::{Conn, Message, response, serve},
    name,
};

/// Time for which changes can be watched.
const HISTORY: Duration = Duration::from_secs(20);
/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Most items of a page, and most bytes of its values as they are sent; a page has one item at least.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// How far the store's second copy is behind. Of the reads that may be old, each connection has the first answered by
/// the first copy, which is up to date, the next by the second one, and so on by turns.
const COPY_AGE: Duration = Duration::from_secs(3);

/// The contents at some revision.
type Items = BTreeMap<String, Arc<Value>>;

#[derive(Default)]
struct Inner {
    revision: i64,
    items: Items,
    /// Earlier contents, each with the time from which it was there.
    earlier: VecDeque<(Instant, i64, Items)>,
    history: VecDeque<(Instant, i64, String, Value)>,
    /// Changes up to this revision are forgotten.
    forgotten: i64,
    leases: HashMap<i64, (Instant, Duration)>,
    last_lease: i64,
    /// Connections that were accepted before this number of silences say nothing more.
    silences: u64,
    /// Size in bytes of the largest answer to a watch.
    largest_watch: usize,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Inner>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let shared: Arc<(Mutex<Inner>, Condvar)> = Arc::default();
        let server = Arc::clone(&shared);
        let address = serve(move |conn| serve_connection(&server, conn));
        let store = Self { address, shared };
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                expiring.expire_leases();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.shared.0.lock().expect("not poisoned")
    }

    /// Writes a key, as the operator or a replica does. Returning acknowledges the write.
    pub fn put(&self, key: &str, value: &Value) {
        let encoded = STANDARD.encode(value.to_string());
        self.lock().set(key, &encoded, 0);
        self.shared.1.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.shared.1.notify_all();
    }

    /// All open connections say nothing more; new ones work.
    pub fn silence_open_connections(&self) {
        self.lock().silences += 1;
    }

    /// Size in bytes of the largest answer to a watch.
    pub fn largest_watch(&self) -> usize {
        self.lock().largest_watch
    }

    /// The keys that begin so.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.lock().items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn expire_leases(&self) {
        let mut inner = self.lock();
        let now = Instant::now();
        let over: Vec<i64> = inner.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for lease in &over {
            inner.end_lease(*lease);
        }
        drop(inner);
        if !over.is_empty() {
            self.shared.1.notify_all();
        }
    }
}

impl Inner {
    fn set(&mut self, key: &str, encoded: &str, lease: i64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item["created_rev"].as_i64().unwrap_or(0));
        let item =
            json!({"key": key, "value": encoded, "revision": self.revision, "created_rev": created, "lease": lease});
        self.items.insert(key.to_owned(), Arc::new(item.clone()));
        self.note(key, item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = json!({"key": key, "revision": self.revision, "removed": true});
            self.note(key, event);
        }
    }

    fn note(&mut self, key: &str, event: Value) {
        let now = Instant::now();
        self.earlier.push_back((now, self.revision, self.items.clone()));
        while self.earlier.get(1).is_some_and(|(at, ..)| now.duration_since(*at) > COPY_AGE) {
            self.earlier.pop_front();
        }
        self.history.push_back((now, self.revision, key.to_owned(), event));
        self.forget(now);
    }

    /// Revision and contents of the second copy.
    fn behind(&self) -> (i64, &Items) {
        let now = Instant::now();
        let is_there = |(at, ..): &&(Instant, i64, Items)| now.duration_since(*at) >= COPY_AGE;
        let empty: &Items = const { &Items::new() };
        self.earlier.iter().rfind(is_there).map_or((0, empty), |(_, revision, items)| (*revision, items))
    }

    /// Forgets the changes that are too old.
    fn forget(&mut self, now: Instant) {
        while self.history.front().is_some_and(|(at, ..)| now.duration_since(*at) > HISTORY) {
            self.forgotten = self.history.pop_front().map_or(0, |(_, revision, ..)| revision);
        }
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item["lease"] == lease).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn serve_connection(shared: &(Mutex<Inner>, Condvar), mut conn: Conn) {
    let accepted = shared.0.lock().expect("not poisoned").silences;
    let mut old_reads = 0;
    while let Ok(request) = conn.read_message() {
        old_reads += u32::from(request.target().contains("serializable=1"));
        let is_behind = request.target().contains("serializable=1") && old_reads % 2 == 0;
        let (status, body) = answer(shared, &request, is_behind);
        std::thread::sleep(ANSWER_TIME);
        let is_silent = shared.0.lock().expect("not poisoned").silences > accepted;
        if is_silent {
            // The connection stays open until the other side gives up.
            let _ = conn.read_bytes(usize::MAX);
            return;
        }
        if conn.write(&response(status, "Content-Type: application/json\r\n", body.as_bytes())).is_err() {
            return;
        }
    }
}

fn answer(shared: &(Mutex<Inner>, Condvar), request: &Message, is_behind: bool) -> (u16, String) {
    let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
    let query: HashMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
    let call = path.strip_prefix(name("API")).unwrap_or("");
    let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
    match call.split_once('/').map_or((call, ""), |(call, id)| (call, id)) {
        ("kv-key", _) => get(shared, query.get("key").unwrap_or(&"")),
        ("kv-range", _) => range(shared, &query, is_behind),
        ("kv-watch", _) => watch(shared, &query),
        ("kv-txn", _) => transact(shared, &body),
        ("kv-lease", _) => {
            let mut inner = shared.0.lock().expect("not poisoned");
            inner.last_lease += 1;
            let (lease, ttl) = (inner.last_lease, Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1_000)));
            inner.leases.insert(lease, (Instant::now() + ttl, ttl));
            (200, json!({"lease": lease, "ttl_ms": ttl.as_millis() as u64}).to_string())
        }
        ("kv-keep", id) => {
            let mut inner = shared.0.lock().expect("not poisoned");
            match id.parse().ok().and_then(|id: i64| inner.leases.get_mut(&id)) {
                Some((end, ttl)) => {
                    *end = Instant::now() + *ttl;
                    (200, json!({"ttl_ms": ttl.as_millis() as u64}).to_string())
                }
                None => (404, String::new()),
            }
        }
        ("kv-lease-end", id) => {
            shared.0.lock().expect("not poisoned").end_lease(id.parse().unwrap_or(0));
            shared.1.notify_all();
            (200, "{}".to_owned())
        }
        _ => (404, String::new()),
    }
}

fn get(shared: &(Mutex<Inner>, Condvar), key: &str) -> (u16, String) {
    let inner = shared.0.lock().expect("not poisoned");
    match inner.items.get(key) {
        Some(item) => {
            let mut item = Value::clone(item);
            item[name("REVISION_FIELD")] = inner.revision.into();
            (200, item.to_string())
        }
        None => (404, json!({name("REVISION_FIELD"): inner.revision}).to_string()),
    }
}

fn range(shared: &(Mutex<Inner>, Condvar), query: &HashMap<&str, &str>, is_behind: bool) -> (u16, String) {
    let inner = shared.0.lock().expect("not poisoned");
    let (revision, contents) = if is_behind { inner.behind() } else { (inner.revision, &inner.items) };
    let (prefix, after) = (*query.get("path_prefix").unwrap_or(&""), *query.get("after").unwrap_or(&""));
    let mut items: Vec<&Value> = Vec::new();
    let (mut bytes, mut more) = (0, false);
    for (_, item) in contents.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after) {
        bytes += item["value"].as_str().map_or(0, str::len);
        more = !items.is_empty() && (items.len() >= PAGE_ITEMS || bytes > PAGE_BYTES);
        if more {
            break;
        }
        items.push(item);
    }
    (200, json!({"items": items, "more_pages": more, name("REVISION_FIELD"): revision}).to_string())
}

fn watch(shared: &(Mutex<Inner>, Condvar), query: &HashMap<&str, &str>) -> (u16, String) {
    let prefix = *query.get("path_prefix").unwrap_or(&"");
    let after: i64 = query.get("after").and_then(|text| text.parse().ok()).unwrap_or(0);
    let wait = Duration::from_millis(query.get("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0));
    let until = Instant::now() + wait;
    let mut inner = shared.0.lock().expect("not poisoned");
    loop {
        inner.forget(Instant::now());
        if after < inner.forgotten {
            return (410, String::new());
        }
        let is_new =
            |(_, revision, key, _): &&(Instant, i64, String, Value)| *revision > after && key.starts_with(prefix);
        let events: Vec<&Value> = inner.history.iter().filter(is_new).map(|(.., event)| event).collect();
        let now = Instant::now();
        if !events.is_empty() || now >= until {
            let body = json!({"events": events, name("REVISION_FIELD"): inner.revision}).to_string();
            inner.largest_watch = inner.largest_watch.max(body.len());
            return (200, body);
        }
        inner = shared.1.wait_timeout(inner, until - now).expect("not poisoned").0;
    }
}

fn transact(shared: &(Mutex<Inner>, Condvar), body: &Value) -> (u16, String) {
    let rows = |field: &str| body[field].as_array().cloned().unwrap_or_default();
    let mut inner = shared.0.lock().expect("not poisoned");
    let expected = rows(name("EXPECTED"));
    let revision = |key: &Value| {
        inner.items.get(key.as_str().unwrap_or("")).map_or(0, |item| item["revision"].as_i64().unwrap_or(0))
    };
    if expected.iter().any(|row| row["revision"].as_i64() != Some(revision(&row["key"]))) {
        let present = expected.iter().filter_map(|row| inner.items.get(row["key"].as_str()?));
        let present: Vec<&Value> = present.map(|item| &**item).collect();
        return (412, json!({"items": present}).to_string());
    }
    let leases = rows("set_keys").iter().map(|row| row["lease"].as_i64().unwrap_or(0)).collect::<Vec<_>>();
    if leases.iter().any(|lease| *lease != 0 && !inner.leases.contains_key(lease)) {
        return (404, String::new());
    }
    for row in rows("set_keys") {
        let lease = row["lease"].as_i64().unwrap_or(0);
        inner.set(row["key"].as_str().unwrap_or(""), row["value"].as_str().unwrap_or(""), lease);
    }
    for key in rows("remove") {
        inner.remove(key.as_str().unwrap_or(""));
    }
    let revision = inner.revision;
    drop(inner);
    shared.1.notify_all();
    (200, json!({"revision": revision}).to_string())
}

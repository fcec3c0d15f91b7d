//! Stand-in for a replica, a process of its own: a plain service or a model engine.

use std::{
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::{Value, json};

use crate::{
    http::{self, Message, Reader, answer},
    wire::name,
};

/// What a replica is and how it answers, as given on the command line.
#[derive(Clone, Debug)]
pub struct Setup {
    pub store: SocketAddr,
    pub id: String,
    pub service: String,
    pub hall: String,
    /// The first part of an engine; empty for a plain service.
    pub stage: String,
    /// Whether answers end with their connection.
    pub unframed: bool,
    /// Number of pieces of an answer, and the pause before each.
    pub pieces: u64,
    pub pause_ms: u64,
}

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const SWITCH_TIME: Duration = Duration::from_millis(1_000);

struct Replica {
    setup: Setup,
    address: SocketAddr,
    stage: Mutex<String>,
    changing: Mutex<bool>,
    orders: AtomicU64,
    handles: AtomicU64,
}

/// One piece of the answer to a request.
pub fn piece(id: &str, number: u64, is_stream: bool) -> String {
    if is_stream { format!("id: {number}\ndata: {id} piece {number}\n\n") } else { format!("{id} piece {number};") }
}

/// Serves until the process is killed.
pub fn run(setup: Setup) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let stage = Mutex::new(setup.stage.clone());
    let replica = Replica {
        setup,
        address,
        stage,
        changing: Mutex::default(),
        orders: AtomicU64::new(0),
        handles: AtomicU64::new(0),
    };
    let replica = Arc::new(replica);
    let beating = Arc::clone(&replica);
    thread::spawn(move || {
        loop {
            beating.beat();
            thread::sleep(HEARTBEAT);
        }
    });
    for stream in listener.incoming().flatten() {
        let replica = Arc::clone(&replica);
        thread::spawn(move || replica.serve(stream));
    }
}

impl Replica {
    fn post(&self, call: &str, body: &Value) {
        let text = body.to_string();
        let req = format!(
            "POST {}{call} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{text}",
            name("store-path"),
            text.len()
        );
        let _ = http::call(self.setup.store, req.as_bytes(), Duration::from_secs(2));
    }

    fn beat(&self) {
        let stage = self.stage.lock().expect("lock").clone();
        let mut entry = json!({
            "service": self.setup.service, "address": self.address.to_string(), "zone": self.setup.hall,
            "version": "v1", "slots": 16, "state": "ready", "cold_remaining_ms": 0,
            "sequence": self.orders.load(Ordering::Relaxed)
        });
        if !stage.is_empty() {
            entry["stage"] = json!(stage);
            entry["models"] = json!([{"name": "m", "version": 1, "adapters": []}]);
        }
        self.post(&format!("beat/{}", self.setup.id), &entry);
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(req)) = reader.request() {
            if !self.handle(&req, &mut reader.stream) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the connection goes on.
    fn handle(self: &Arc<Self>, req: &Message, stream: &mut TcpStream) -> bool {
        let json_type = ("Content-Type", "application/json");
        if req.header(name("expect")).is_some_and(|id| id != self.setup.id) {
            return stream
                .write_all(&answer("421 Misdirected Request", &[("X-Instance-Id", &self.setup.id)], b""))
                .is_ok();
        }
        if req.path() == name("report-path") {
            let report = json!({
                "stage": *self.stage.lock().expect("lock"), "models": [{"name": "m", "version": 1, "adapters": []}],
                "utilization": *self.changing.lock().expect("lock"), "sequence": self.orders.load(Ordering::Relaxed),
                "queued": 0, "active": 0, "kv_used": 0, "kv_total": 300_000, "handles": 0
            });
            return stream.write_all(&answer("200 OK", &[json_type], report.to_string().as_bytes())).is_ok();
        }
        if req.path() == name("order-path") {
            return self.take_order(req, stream);
        }
        if req.path().starts_with(name("handle-path")) {
            return stream.write_all(&answer("200 OK", &[], b"")).is_ok();
        }
        let Some(id) = req.header(name("id")).map(str::to_owned) else {
            return stream.write_all(&answer("400 Bad Request", &[(name("not-run"), "1")], b"")).is_ok();
        };
        if *self.changing.lock().expect("lock") {
            let headers = [(name("id"), id.as_str()), (name("not-run"), "1")];
            return stream.write_all(&answer("503 Service Unavailable", &headers, b"")).is_ok();
        }
        if req.header(name("stage")).is_some() {
            let handle = format!("{:08x}", self.handles.fetch_add(1, Ordering::Relaxed) + 1);
            let body = json!({"prefill_handle": handle, "tokens": 100, "version": 1}).to_string();
            return stream.write_all(&answer("200 OK", &[(name("id"), &id), json_type], body.as_bytes())).is_ok();
        }
        if *self.stage.lock().expect("lock") == "prefill" {
            return stream
                .write_all(&answer("421 Misdirected Request", &[("X-Instance-Id", &self.setup.id)], b""))
                .is_ok();
        }
        self.run(req, &id, stream).is_ok() && !self.setup.unframed
    }

    fn take_order(self: &Arc<Self>, req: &Message, stream: &mut TcpStream) -> bool {
        let order: Value = serde_json::from_slice(&req.body).unwrap_or(Value::Null);
        let stage = order["stage"].as_str().unwrap_or("").to_owned();
        let expected = order[name("expected")].as_u64();
        let status = if *self.stage.lock().expect("lock") == stage {
            "200 OK"
        } else if *self.changing.lock().expect("lock")
            || expected.is_some_and(|n| n != self.orders.load(Ordering::Relaxed))
        {
            "409 Conflict"
        } else {
            self.orders.fetch_add(1, Ordering::Relaxed);
            *self.changing.lock().expect("lock") = true;
            let replica = Arc::clone(self);
            thread::spawn(move || {
                thread::sleep(SWITCH_TIME);
                *replica.stage.lock().expect("lock") = stage;
                *replica.changing.lock().expect("lock") = false;
                replica.beat();
            });
            "202 Accepted"
        };
        stream.write_all(&answer(status, &[], b"")).is_ok()
    }

    /// Runs a request: writes the pieces of its answer, each after its pause.
    fn run(&self, req: &Message, id: &str, stream: &mut TcpStream) -> std::io::Result<()> {
        let Setup { unframed, pieces, pause_ms, .. } = self.setup;
        let is_stream = !self.setup.stage.is_empty();
        let first = req.header("Last-Event-Id").and_then(|id| id.parse::<u64>().ok()).map_or(1, |last| last + 1);
        self.post("report-run", &json!(format!("ran {id} at {} from piece {first}", self.setup.id)));
        let kind = if is_stream { "text/event-stream" } else { "text/plain" };
        let framing = if unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}: {id}\r\n{}: {}.{id}\r\nContent-Type: {kind}\r\n{framing}\r\n\r\n",
            name("id"),
            name("seal"),
            self.setup.id
        );
        thread::sleep(Duration::from_millis(pause_ms));
        stream.write_all(head.as_bytes())?;
        for number in first..=pieces {
            if number > first {
                thread::sleep(Duration::from_millis(pause_ms));
            }
            let text = piece(id, number, is_stream);
            let text = if unframed { text } else { format!("{:x}\r\n{text}\r\n", text.len()) };
            stream.write_all(text.as_bytes())?;
        }
        if !unframed {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}

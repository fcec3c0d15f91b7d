//! A small deployment: the store and callers in this process, daemons and replicas as processes of their own.

use std::{
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU16, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{http, store::Store, wire::name};

pub const HALLS: [&str; 3] = ["oslo-a", "oslo-b", "oslo-c"];

/// Lines of `record.txt`, each with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self { file: Arc::new(Mutex::new(File::create(path).expect("a record"))), started_at: Instant::now() }
    }

    pub fn add(&self, line: &str) {
        let at = self.started_at.elapsed().as_millis();
        let _ = writeln!(self.file.lock().expect("lock"), "{at:>7} {line}");
    }
}

/// A process that ends with this value.
pub struct Process(pub Child);

impl Process {
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.0.id().to_string()).status();
    }

    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A daemon and its addresses.
pub struct Daemon {
    pub process: Process,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peer: SocketAddr,
    pub vm: String,
    settings: PathBuf,
    log: PathBuf,
}

/// A free address that was not returned before. The ports that the system gives to connections are above this range.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 12_000 + (std::process::id() % 1_000) as u16 * 20;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// Settings as the template of the deploy file yields them on a small site.
pub fn settings(number: usize, hall: &str, store: SocketAddr, seeds: &[SocketAddr], peer: SocketAddr) -> Value {
    json!({
        "vm": format!("front-{hall}-{number}"), "hall": hall,
        "caller_address": free_address(), "ready_address": free_address(), "peer_address": peer,
        "load_address": free_address(), "metrics_address": free_address(),
        "seeds": seeds, "store_address": store, "keyspace": "dahliaseam/",
        "link_mbps": 1000.0, "max_files": 4100, "memory_mb": 260,
        "retries": {"ratio": 0.2, "slack": 56, "window_s": 10},
        "timing": {"contact_ms": 3000, "stop_s": 8, "order_lease_ms": 3000}
    })
}

impl Daemon {
    pub fn start(dir: &Path, settings: &Value) -> Self {
        let address = |field: &str| settings[field].as_str().and_then(|text| text.parse().ok()).expect("an address");
        let vm = settings["vm"].as_str().unwrap_or("vm").to_owned();
        let (path, log) = (dir.join(format!("{vm}.json")), dir.join(format!("{vm}.log")));
        fs::write(&path, settings.to_string()).expect("settings are written");
        let process = spawn(&path, &log);
        Self {
            process,
            callers: address("caller_address"),
            ready: address("ready_address"),
            peer: address("peer_address"),
            vm,
            settings: path,
            log,
        }
    }

    /// Starts the process again, with the settings as they are.
    pub fn restart(&mut self) {
        self.process.kill();
        self.process = spawn(&self.settings, &self.log);
    }

    /// Lines of the log with an event.
    pub fn log_lines(&self, event: &str) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter(|line| line.contains(&format!("\"{event}\""))).map(str::to_owned).collect()
    }

    pub fn is_ready(&self) -> bool {
        let req = format!("GET {} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", name("ready-path"));
        http::call(self.ready, req.as_bytes(), Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
    }
}

/// Starts the program of the deploy file.
fn spawn(settings: &Path, log: &Path) -> Process {
    let log = File::options().create(true).append(true).open(log).expect("a log");
    let mut command = Command::new("target/release/dahliaseamd");
    command.arg("--routes").arg("--settings").arg(settings).stdout(log).stderr(Stdio::null());
    Process(command.spawn().expect("the daemon starts; build it with the command of the deploy file"))
}

/// Starts a replica as a process; `options` follow its identifier, service, hall and stage.
pub fn replica(store: &Store, id: &str, service: &str, hall: &str, stage: &str, options: &[&str]) -> Process {
    let program = std::env::current_exe().expect("this program");
    let mut command = Command::new(program);
    command.arg("replica").arg(store.address.to_string()).args([id, service, hall, stage]).args(options);
    Process(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("a replica starts"))
}

/// The first configuration.
pub fn configuration(version: u64) -> Value {
    let route = |path: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
        let stream = kind == "stream";
        json!({
            "name": path, "host": "shop.example", "path_prefix": format!("/{path}/"), "kind": kind,
            "timeout_ms": if stream { 15_000 } else { 4_000 }, "target_latency_ms": 1_000, "priority": 1,
            "gap_aim_ms": if stream { 150 } else { 0 }, "service": service, "max_attempts": attempts, "resumable": resumable
        })
    };
    json!({
        "version": version,
        "routes": [
            route("ping", "non_idempotent", "till", 1, false),
            route("confirm", "idempotent", "till", 2, false),
            route("match", "stream", "pool", 2, true),
            route("chat", "stream", "pool", 1, false),
        ],
        "services": [
            {"name": "till", "health_path": "/health", "max_connections": 110},
            {"name": "pool", "health_path": "/health", "max_connections": 300, "engine": {
                "slots": 16, "kv_capacity_tokens": 300_000, "handle_ttl_s": 5.0, "role_switch_s": 1.0
            }}
        ],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 5_000, "idle_timeout_ms": 15_000
        }
    })
}

/// Starts one daemon in each hall.
pub fn daemons(dir: &Path, store: &Store) -> Vec<Daemon> {
    daemons_at(dir, &HALLS, &HALLS.map(|_| store.address))
}

/// Starts daemons in these halls, each with the store at an address of its own.
pub fn daemons_at(dir: &Path, halls: &[&str], stores: &[SocketAddr]) -> Vec<Daemon> {
    let peers: Vec<SocketAddr> = halls.iter().map(|_| free_address()).collect();
    let seeds = &peers[..peers.len().min(3)];
    let start = |n: usize| Daemon::start(dir, &settings(n + 1, halls[n], stores[n], seeds, peers[n]));
    (0..halls.len()).map(start).collect()
}

/// Waits until a condition holds; returns whether it does in time.
pub fn wait_for(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

/// A request of a caller.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, headers: &str, body: &str) -> Vec<u8> {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\n{}: {id}\r\n{}: {deadline_ms}\r\n{headers}{length}\r\n{body}",
        name("id"), name("deadline")
    )
    .into_bytes()
}

/// Headers of a request with a short prompt.
pub fn prompt_headers() -> String {
    format!("{}: m\r\n{}: 220,90\r\n{}: 5c1e07a2:79,91bd3f06:141\r\n", name("model"), name("tokens"), name("parts"))
}

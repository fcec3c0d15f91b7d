//! The daemons as processes, started with the command of the deploy file.

use std::{
    fs::File,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    time::Duration,
};

use crate::{client, name, record::Record, record::root, store::Store};

static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all daemons that were started.
pub fn kill_all() {
    for process in PROCESSES.lock().expect("not poisoned").drain(..) {
        send_signal("KILL", process);
    }
}

fn send_signal(signal: &str, process: u32) {
    let _ = Command::new("sh").args(["-c", &format!("kill -{signal} {process}")]).stderr(Stdio::null()).status();
}

/// A daemon.
pub struct Daemon {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
    /// What it wrote to its standard error.
    pub errors: PathBuf,
    child: Child,
    command: (PathBuf, PathBuf),
}

/// Starts the program of the deploy file in the repository's root.
fn spawn(root: &Path, settings: &Path, log: &Path) -> std::io::Result<Child> {
    let child = Command::new("target/release/dahliaseamd")
        .args(["--routes", "--settings"])
        .arg(settings)
        .current_dir(root)
        .stdin(Stdio::null())
        .stdout(File::options().append(true).create(true).open(log)?)
        .stderr(File::options().append(true).create(true).open(log.with_extension("err"))?)
        .spawn()?;
    PROCESSES.lock().expect("not poisoned").push(child.id());
    Ok(child)
}

/// Ports that are free, below those that the system gives to outgoing connections.
fn free_ports(count: usize) -> Vec<u16> {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |now| now.subsec_nanos());
    let mut port = 15_000 + ((std::process::id() ^ now) % 17_000) as u16;
    let mut kept = Vec::new();
    while kept.len() < count {
        port = if port >= 32_000 { 15_000 } else { port + 1 };
        if let (Ok(tcp), Ok(udp)) = (TcpListener::bind(("127.0.0.1", port)), UdpSocket::bind(("127.0.0.1", port))) {
            kept.push((port, tcp, udp));
        }
    }
    kept.iter().map(|(port, ..)| *port).collect()
}

/// Number of times that daemons are started: another process may take a port between its choice and its use.
const STARTS: usize = 3;

/// Starts this many daemons on the store, and waits until all of them are ready.
pub fn start(count: usize, store: SocketAddr, temp: &Path, record: &Record) -> Vec<Daemon> {
    for _ in 0..STARTS {
        let mut daemons = start_once(count, store, temp, record);
        if are_ready(&mut daemons) {
            record.line(&format!("{count} daemons are ready"));
            return daemons;
        }
        kill_all();
    }
    record.could_not_run("the daemons are not ready")
}

fn start_once(count: usize, store: SocketAddr, temp: &Path, record: &Record) -> Vec<Daemon> {
    let ports: Vec<Vec<u16>> = free_ports(5 * count).chunks(5).map(<[u16]>::to_vec).collect();
    let seeds: Vec<String> = ports.iter().map(|ports| format!("\"127.0.0.1:{}\"", ports[2])).collect();
    let mut daemons = Vec::new();
    for (n, ports) in ports.iter().enumerate() {
        let settings = include_str!("../settings.json").replace("$N", &n.to_string());
        let settings = settings.replace("$CALLER", &ports[0].to_string()).replace("$READY", &ports[1].to_string());
        let settings = settings.replace("$PEER", &ports[2].to_string()).replace("$LOAD", &ports[3].to_string());
        let settings = settings.replace("$METRICS", &ports[4].to_string()).replace("$SEEDS", &seeds.join(", "));
        let file = temp.join(format!("settings-{n}.json"));
        std::fs::write(&file, settings.replace("$STORE", &store.to_string())).expect("settings can be written");
        let log = temp.join(format!("daemon-{n}.log"));
        let address = |n: usize| SocketAddr::from(([127, 0, 0, 1], ports[n]));
        let root = root(&record.folder);
        let Ok(child) = spawn(&root, &file, &log) else { record.could_not_run("the daemon does not start") };
        daemons.push(Daemon {
            callers: address(0),
            ready: address(1),
            errors: log.with_extension("err"),
            log,
            child,
            command: (root, file),
        });
    }
    daemons
}

/// Waits until all daemons are ready; returns whether they are.
fn are_ready(daemons: &mut [Daemon]) -> bool {
    let path = format!("{}ready", name("API"));
    for _ in 0..400 {
        if daemons.iter().all(|daemon| client::status(daemon.ready, &path) == 200) {
            return true;
        }
        if daemons.iter_mut().any(|daemon| daemon.child.try_wait().is_ok_and(|ended| ended.is_some())) {
            return false;
        }
        std::thread::sleep(Duration::from_millis(25));
    }
    false
}

impl Daemon {
    /// Sends a signal.
    pub fn signal(&self, signal: &str) {
        send_signal(signal, self.child.id());
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Resident memory in megabytes, as the platform sees it.
    pub fn memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = resident.and_then(|text| text.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024 / 1_000_000
    }

    /// Kills the process, as the platform does, and starts it again after a short delay.
    pub fn kill_and_restart(&mut self) {
        let _ = self.child.kill();
        self.wait();
        std::thread::sleep(Duration::from_millis(500));
        if let Ok(child) = spawn(&self.command.0, &self.command.1, &self.log) {
            self.child = child;
        }
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        let _ = self.child.wait();
    }
}

/// Waits until all daemons have registered, so that they know each other.
pub fn wait_registered(store: &Store, count: usize, record: &Record) {
    for _ in 0..200 {
        if store.keys("dahliaseam/daemons/").len() >= count {
            return;
        }
        std::thread::sleep(Duration::from_millis(25));
    }
    record.could_not_run("the daemons have not registered")
}

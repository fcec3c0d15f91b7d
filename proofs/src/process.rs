//! One process of a test, stopped by its id when the test is over.

use std::{
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};

/// Time between two looks whether a process is over.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running process.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// The folder of the build that this test belongs to.
///
/// # Panics
/// When the test is not run by cargo.
#[must_use]
pub fn build_dir() -> PathBuf {
    let exe = std::env::current_exe().expect("the test has a path");
    let deps = exe.parent().expect("it is in a folder");
    let is_nested = deps.ends_with("deps") || deps.ends_with("examples");
    if is_nested { deps.parent().expect("that has a parent").to_owned() } else { deps.to_owned() }
}

/// A program of this workspace, or one of its examples as `examples/NAME`.
///
/// # Panics
/// When it was not built: run `cargo test --workspace`, which builds all of them.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let path = build_dir().join(name);
    assert!(path.exists(), "{} is not built; run cargo test --workspace", path.display());
    path
}

/// Clock ticks a second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4_096;

/// Processor seconds and resident bytes of a process, on Linux.
#[must_use]
pub fn usage(pid: u32) -> (f64, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    let pages = fields.get(21).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
    ((ticks(11) + ticks(12)) / TICKS_PER_SECOND, pages * PAGE_BYTES)
}

impl Process {
    /// Start a program.
    ///
    /// # Panics
    /// When it cannot be started.
    pub fn start(command: &mut Command) -> Self {
        Self { child: command.stdin(Stdio::null()).spawn().expect("the program starts") }
    }

    /// Start a stand-in and read the address it prints.
    ///
    /// # Panics
    /// When it does not print one.
    pub fn start_stand_in(command: &mut Command) -> (Self, String) {
        let mut process = Self::start(command.stdout(Stdio::piped()));
        let out = process.child.stdout.take().expect("it is piped");
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).expect("it prints a line");
        let address = line.trim().strip_prefix("listening ").expect("it prints its address").to_owned();
        (process, address)
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// How it ended, if it did.
    ///
    /// # Panics
    /// When the system does not tell.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("it can be waited for")
    }

    /// Tell it that its settings file has changed.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Ask for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Kill it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Freeze it.
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Let a frozen one go on.
    pub fn thaw(&self) {
        self.signal(Signal::CONT);
    }

    /// Wait for its end.
    ///
    /// # Panics
    /// When it is not over within `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> ExitStatus {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.exit_status() {
                return status;
            }
            assert!(Instant::now() < deadline, "process {} is not over in time", self.id());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

//! Processes that a test starts. Each is killed when its handle is dropped.

use std::{
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use nix::sys::signal::{SigSet, SigmaskHow};
use rustix::process::{Pid, Signal, kill_process};

/// Interval between checks whether a process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Running process.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// Returns the build directory that this test belongs to.
///
/// # Panics
/// If the test is not run by cargo.
#[must_use]
pub fn build_dir() -> PathBuf {
    let exe = std::env::current_exe().expect("the test's path is known");
    let deps = exe.parent().expect("the test is in a directory");
    let is_nested = deps.ends_with("deps") || deps.ends_with("examples");
    if is_nested { deps.parent().expect("the directory has a parent").to_owned() } else { deps.to_owned() }
}

/// Returns the path of a program of this workspace, or of an example as `examples/NAME`.
///
/// # Panics
/// If it was not built: run `cargo test --workspace`, which builds all of them.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let path = build_dir().join(name);
    assert!(path.exists(), "{} is not built; run cargo test --workspace", path.display());
    path
}

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Returns the processor time of a process in seconds and its resident memory in bytes. Linux only.
#[must_use]
pub fn cpu_and_memory(pid: u32) -> (f64, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The command name may contain spaces, so fields are counted from the parenthesis after it.
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    let pages = fields.get(21).and_then(|f| f.parse::<u64>().ok()).unwrap_or(0);
    ((ticks(11) + ticks(12)) / TICKS_PER_SECOND, pages * PAGE_BYTES)
}

impl Process {
    /// Starts a program.
    ///
    /// # Panics
    /// If it cannot be started.
    pub fn start(command: &mut Command) -> Self {
        Self { child: command.stdin(Stdio::null()).spawn().expect("the program starts") }
    }

    /// Starts a program with the signals to stop and to reload blocked, as a supervisor can do: those sent while the program
    /// is loaded stay pending until it handles and unblocks them.
    ///
    /// # Panics
    /// If it cannot be started.
    pub fn start_with_signals_blocked(command: &mut Command) -> Self {
        let blocked: SigSet = [nix::sys::signal::SIGTERM, nix::sys::signal::SIGHUP].into_iter().collect();
        let mask = blocked.thread_swap_mask(SigmaskHow::SIG_BLOCK).expect("signals can be blocked");
        let process = Self::start(command);
        mask.thread_set_mask().expect("the signal mask can be restored");
        process
    }

    /// Starts a program and sends it a signal when the loader runs the initializers of its libraries, before `main`. Glibc
    /// only.
    ///
    /// # Panics
    /// If it cannot be started, or if the loader does not log its steps.
    pub fn start_with_signal_before_main(command: &mut Command, signal: Signal) -> Self {
        let mut process = Self::start(command.env("LD_DEBUG", "files").stderr(Stdio::piped()));
        let mut log = BufReader::new(process.child.stderr.take().expect("standard error is piped")).lines();
        let is_initializer = |line: std::io::Result<String>| line.is_ok_and(|line| line.contains("calling init:"));
        assert!(log.any(is_initializer), "the loader logs the initializers");
        process.signal(signal);
        // Reads on, so that the program can write.
        std::thread::spawn(move || log.for_each(drop));
        process
    }

    /// Starts a stand-in and reads the address that it prints.
    ///
    /// # Panics
    /// If it does not print one.
    pub fn start_stand_in(command: &mut Command) -> (Self, String) {
        let mut process = Self::start(command.stdout(Stdio::piped()));
        let out = process.child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(out).read_line(&mut line).expect("the stand-in prints a line");
        let address = line.trim().strip_prefix("listening ").expect("the line has the address").to_owned();
        (process, address)
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the exit status, if the process has exited.
    ///
    /// # Panics
    /// If the system cannot report the status.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the process can be waited for")
    }

    /// Signals the process to reload its settings file.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Signals the process to stop as planned.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Suspends the process.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits until the process exits.
    ///
    /// # Panics
    /// If it does not exit within `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> ExitStatus {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.exit_status() {
                return status;
            }
            assert!(Instant::now() < deadline, "process {} did not exit in time", self.id());
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
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

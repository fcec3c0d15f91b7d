//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(112);

/// The record of a case.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
    /// The case's folder.
    pub folder: PathBuf,
    /// Whether the disruption is to be played.
    pub trouble: bool,
}

impl Record {
    /// Starts the record in the folder that the first argument names.
    pub fn start() -> Self {
        let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let record = Self { started: Instant::now(), file: Arc::new(Mutex::new(file)), folder, trouble };
        record.line(&format!("trouble: {trouble}"));
        record
    }

    /// Milliseconds since the start.
    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.ms());
        let _ = self.file.lock().expect("not poisoned").write_all(line.as_bytes());
    }

    /// Ends the process with 2 after the longest time that a case may take.
    pub fn limit_time(&self) {
        let record = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(TIME_LIMIT);
            record.could_not_run("the time is over");
        });
    }

    /// Ends the case, which could not run.
    pub fn could_not_run(&self, why: &str) -> ! {
        self.line(&format!("the case could not run: {why}"));
        println!("the case could not run: {why}");
        crate::daemon::kill_all();
        std::process::exit(2)
    }

    /// Ends the case.
    pub fn end(&self, rule: &str, broken: bool, what: &str) -> ! {
        let verdict = if broken { "BROKEN" } else { "held" };
        self.line(&format!("{rule} {verdict}: {what}"));
        println!("{rule} {verdict}: {what}");
        crate::daemon::kill_all();
        std::process::exit(i32::from(broken))
    }
}

/// Creates an empty folder for this process.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    folder
}

/// The root of the repository, for a case's folder `review/N`.
pub fn root(folder: &Path) -> PathBuf {
    folder.join("../..").canonicalize().expect("the repository's root")
}

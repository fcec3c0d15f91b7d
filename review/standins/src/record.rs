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
    /// Starts the record in the folder that the first argument names. The disruption is left out if the second one is 0.
    pub fn start() -> Self {
        let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        let trouble = std::env::args().nth(2).as_deref() != Some("0");
        let record = Self { started: Instant::now(), file: Arc::new(Mutex::new(file)), folder, trouble };
        record.line(&format!("trouble: {trouble}"));
        record.end_with_main_thread();
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

    /// Ends the daemons and the case, which could not run, if the main thread panics.
    fn end_with_main_thread(&self) {
        let (record, main) = (self.clone(), std::thread::current().id());
        let usual = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            usual(panic);
            if std::thread::current().id() == main {
                record.could_not_run("the main thread panicked");
            }
        }));
    }

    /// Ends the case, which could not run.
    pub fn could_not_run(&self, why: &str) -> ! {
        self.line(&format!("the case could not run: {why}"));
        println!("the case could not run: {why}");
        clean_up();
        std::process::exit(2)
    }

    /// Ends the case.
    pub fn end(&self, rule: &str, broken: bool, what: &str) -> ! {
        let verdict = if broken { "BROKEN" } else { "held" };
        self.line(&format!("{rule} {verdict}: {what}"));
        println!("{rule} {verdict}: {what}");
        clean_up();
        std::process::exit(i32::from(broken))
    }
}

/// Ends the daemons and removes the temporary folder.
fn clean_up() {
    crate::daemon::kill_all();
    let _ = std::fs::remove_dir_all(temporary_path());
}

fn temporary_path() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}

/// Creates an empty folder for this process.
pub fn temporary_folder() -> PathBuf {
    let folder = temporary_path();
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    folder
}

/// The root of the repository, for a case's folder `review/N`.
pub fn root(folder: &Path) -> PathBuf {
    folder.join("../..").canonicalize().expect("the repository's root")
}

//! The history that checkers read: one JSON object a line, from every process.
//!
//! Times are of the machine's monotonic clock, which all processes share.

use std::{
    fs::{File, OpenOptions},
    io::{BufRead, BufReader, Write},
    path::Path,
    sync::{Arc, Mutex},
};

use dahliaseam_core::custody::OrderKind;
use serde::{Deserialize, Serialize};

/// One event of a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Microseconds of the monotonic clock.
    pub at: u64,
    /// The process.
    pub who: String,
    /// What happened.
    #[serde(flatten)]
    pub event: Event,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// An engine took an order.
    OrderTaken {
        /// Its fencing number.
        epoch: u64,
        /// Its sequence number.
        sequence: u64,
        /// The process that gave it.
        by: String,
        /// What it asks.
        kind: OrderKind,
        /// Whether the engine refuses old fencing numbers.
        checks: bool,
    },
    /// An engine refused an order as fenced.
    OrderFenced {
        /// Its fencing number.
        epoch: u64,
        /// The highest that the engine had seen.
        highest: u64,
    },
    /// An order was carried out.
    OrderDone {
        /// Its fencing number.
        epoch: u64,
        /// Its sequence number.
        sequence: u64,
    },
    /// An endpoint began to run a request.
    Ran {
        /// The request.
        request: String,
        /// The attempt.
        attempt: u32,
        /// The idempotency key.
        key: Option<String>,
    },
    /// An endpoint cut a request because of an order.
    Cut {
        /// The request.
        request: String,
    },
    /// A caller sent a request.
    Sent {
        /// The caller's own number for it.
        call: u64,
        /// Its kind.
        kind: String,
        /// The idempotency key.
        key: Option<String>,
    },
    /// A caller got its final answer.
    Got {
        /// The caller's own number for it.
        call: u64,
        /// The request's identifier, if an answer came at all.
        request: Option<String>,
        /// `whole`, `not_run`, `ran`, `unknown`, or `none` when no answer came.
        outcome: String,
        /// Whether the answer is exactly the expected one.
        exact: bool,
    },
}

/// Where a process writes its part.
#[derive(Clone, Debug, Default)]
pub struct History {
    who: String,
    file: Option<Arc<Mutex<File>>>,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl History {
    /// A history kept in memory.
    #[must_use]
    pub fn in_memory(who: &str) -> Self {
        Self { who: who.to_owned(), ..Self::default() }
    }

    /// A history appended to a file, line by line.
    ///
    /// # Errors
    /// Why the file cannot be opened.
    pub fn to_file(who: &str, path: &Path) -> std::io::Result<Self> {
        let f = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self { who: who.to_owned(), file: Some(Arc::new(Mutex::new(f))), ..Self::default() })
    }

    /// The same history under another name.
    #[must_use]
    pub fn with_name(&self, who: &str) -> Self {
        Self { who: who.to_owned(), ..self.clone() }
    }

    /// Note an event.
    ///
    /// # Panics
    /// When the file cannot be written: a proof without its history is none.
    pub fn record(&self, event: Event) {
        let entry = Entry { at: monotonic_micros(), who: self.who.clone(), event };
        match &self.file {
            None => self.entries.lock().expect("no holder panics").push(entry),
            Some(file) => {
                let mut line = serde_json::to_string(&entry).expect("entries are plain data");
                line.push('\n');
                let mut f = file.lock().expect("no holder panics");
                f.write_all(line.as_bytes()).expect("the history can be written");
            }
        }
    }

    /// What was kept in memory so far.
    ///
    /// # Panics
    /// When another thread panicked while noting.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().expect("no holder panics").clone()
    }
}

/// Read a history file; a last line that a kill cut short is left out.
///
/// # Errors
/// Why the file cannot be read.
pub fn read(path: &Path) -> std::io::Result<Vec<Entry>> {
    let lines = BufReader::new(File::open(path)?).lines();
    let mut entries = Vec::new();
    for line in lines {
        if let Ok(entry) = serde_json::from_str(&line?) {
            entries.push(entry);
        }
    }
    entries.sort_by_key(|entry: &Entry| entry.at);
    Ok(entries)
}

/// Microseconds of the monotonic clock.
#[must_use]
pub fn monotonic_micros() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

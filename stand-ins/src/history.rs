//! History of the events in a test, from which checks decide whether it passed.
//!
//! Each process appends its events to a file, as one JSON object per line, or keeps them in memory.
//! Times are taken from the machine's monotonic clock, which all processes share.

use std::{
    fs::{File, OpenOptions},
    io::{BufRead, BufReader, Write},
    path::Path,
    sync::{Arc, Mutex},
};

use dahliaseam_core::custody::OrderKind;
use serde::{Deserialize, Serialize};

/// Entry of a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Time of the monotonic clock, in microseconds.
    pub at: u64,
    /// Name of the process that recorded the event.
    pub who: String,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// Event in a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// An engine accepted an order.
    OrderTaken {
        /// Fencing number of the order.
        epoch: u64,
        /// Sequence number of the order.
        sequence: u64,
        /// Process that sent the order.
        by: String,
        /// What the order tells the engine to do.
        kind: OrderKind,
        /// Whether the engine rejects orders with an old fencing number.
        checks: bool,
    },
    /// An engine rejected an order because of its fencing number.
    OrderFenced {
        /// Fencing number of the order.
        epoch: u64,
        /// Highest fencing number that the engine had seen.
        highest: u64,
    },
    /// An engine has carried out an order.
    OrderDone {
        /// Fencing number of the order.
        epoch: u64,
        /// Sequence number of the order.
        sequence: u64,
    },
    /// An endpoint started to run a request.
    Ran {
        /// Identifier of the request.
        request: String,
        /// Number of the attempt.
        attempt: u32,
        /// Idempotency key, if any.
        key: Option<String>,
    },
    /// An endpoint aborted a request because of an order.
    Cut {
        /// Identifier of the request.
        request: String,
    },
    /// A caller sent a request.
    Sent {
        /// Number of the call, assigned by the caller.
        call: u64,
        /// Name of the request's kind.
        kind: String,
        /// Idempotency key, if any.
        key: Option<String>,
    },
    /// A caller received the final answer to a request, or gave up.
    Got {
        /// Number of the call, assigned by the caller.
        call: u64,
        /// Identifier of the request, if there was a response.
        request: Option<String>,
        /// `whole`, `not_run`, `ran`, `unknown`, or `none` if no outcome was received.
        outcome: String,
        /// Whether the answer is exactly the expected one.
        exact: bool,
    },
}

/// Records the events of one process, in memory or in a file.
#[derive(Clone, Debug, Default)]
pub struct History {
    who: String,
    file: Option<Arc<Mutex<File>>>,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl History {
    /// Creates a history that is kept in memory.
    #[must_use]
    pub fn in_memory(who: &str) -> Self {
        Self { who: who.to_owned(), ..Self::default() }
    }

    /// Creates a history that is appended to a file, line by line.
    ///
    /// # Errors
    /// If the file cannot be opened.
    pub fn to_file(who: &str, path: &Path) -> std::io::Result<Self> {
        let f = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self { who: who.to_owned(), file: Some(Arc::new(Mutex::new(f))), ..Self::default() })
    }

    /// Returns the same history, with events recorded under another process name.
    #[must_use]
    pub fn with_name(&self, who: &str) -> Self {
        Self { who: who.to_owned(), ..self.clone() }
    }

    /// Records an event.
    ///
    /// # Panics
    /// If the file cannot be written: a check of an incomplete history would prove nothing.
    pub fn record(&self, event: Event) {
        let entry = Entry { at: monotonic_micros(), who: self.who.clone(), event };
        match &self.file {
            None => self.entries.lock().expect("the lock is not poisoned").push(entry),
            Some(file) => {
                let mut line = serde_json::to_string(&entry).expect("entries can be serialized");
                line.push('\n');
                let mut f = file.lock().expect("the lock is not poisoned");
                f.write_all(line.as_bytes()).expect("the history is writable");
            }
        }
    }

    /// Returns the entries recorded in memory so far.
    ///
    /// # Panics
    /// If another thread panicked while it recorded an event.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().expect("the lock is not poisoned").clone()
    }
}

/// Reads a history file. A last line that was cut short when its process was killed is skipped.
///
/// # Errors
/// If the file cannot be read.
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

/// Returns the time of the monotonic clock, in microseconds.
#[must_use]
pub fn monotonic_micros() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

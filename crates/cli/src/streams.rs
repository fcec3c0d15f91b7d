//! What daemons' logs say of the streams that are over, by the replica that answered.
//!
//! A stream that ends unfinished long after its first event was too slow all along, or stopped. The
//! time between two events by how many long answers the replica had tells which: it grows with them
//! where an engine has too many, and is longer throughout where the engine is slow.

use std::{collections::BTreeMap, path::Path};

use serde::Deserialize;

use crate::{error::CommandError, log};

/// The event of a request that is over.
const REQUEST_OVER: &str = "ROUTED_OVER";
/// How it ends if the caller got all of it.
const OUTCOME_ANSWERED: &str = "answered";
/// Long answers beside a stream at which each bucket begins.
const CONCURRENCY_BUCKETS: [u32; 5] = [0, 20, 40, 60, 80];

/// A line of the log that tells of a stream.
#[derive(Debug, Deserialize)]
struct LogLine {
    event: String,
    outcome: String,
    replica: String,
    beside: u32,
    events: u64,
    interval_us: Option<u64>,
}

/// The streams of one replica.
#[derive(Debug, Default)]
struct ReplicaStreams {
    total: usize,
    unfinished: usize,
    max_events: u64,
    /// Microseconds between two events, by [`CONCURRENCY_BUCKETS`].
    intervals: [Vec<u64>; CONCURRENCY_BUCKETS.len()],
}

impl ReplicaStreams {
    fn add(&mut self, line: &LogLine) {
        self.total += 1;
        self.unfinished += usize::from(line.outcome != OUTCOME_ANSWERED);
        self.max_events = self.max_events.max(line.events);
        let bucket = CONCURRENCY_BUCKETS.iter().rposition(|from| line.beside >= *from).unwrap_or(0);
        self.intervals[bucket].extend(line.interval_us);
    }

    fn row(&mut self, replica: &str) -> String {
        let mut row = format!("{replica:<20} {:>7} {:>10} {:>6}", self.total, self.unfinished, self.max_events);
        for bucket in &mut self.intervals {
            row.push_str(&median(bucket).map_or_else(|| format!("{:>7}", "-"), |us| format!("{:>7}", us / 1_000)));
        }
        row.push('\n');
        row
    }
}

/// A table of the streams in the logs in `file`, or of standard input for `-`: how many, how many of them
/// unfinished, the most events of one, and the median milliseconds between two events by how many long
/// answers the replica had.
///
/// # Errors
/// The file cannot be read, or tells of no stream.
pub fn table(file: &Path) -> Result<String, CommandError> {
    let mut replicas: BTreeMap<String, ReplicaStreams> = BTreeMap::new();
    log::for_each_line(file, |json| {
        let line: Option<LogLine> = serde_json::from_str(json).ok();
        if let Some(line) = line.filter(|line| line.event == REQUEST_OVER) {
            replicas.entry(line.replica.clone()).or_default().add(&line);
        }
    })?;
    if replicas.is_empty() {
        return Err(CommandError::Answer(format!("no line of {} tells of a stream", file.display())));
    }
    let mut text = format!("{:<20} {:>7} {:>10} {:>6}", "REPLICA", "STREAMS", "UNFINISHED", "EVENTS");
    text.extend(CONCURRENCY_BUCKETS.map(|from| format!("{:>7}", format!("MS@{from}"))));
    text.push('\n');
    for (replica, streams) in &mut replicas {
        text.push_str(&streams.row(replica));
    }
    Ok(text)
}

fn median(values: &mut [u64]) -> Option<u64> {
    values.sort_unstable();
    values.get(values.len() / 2).copied()
}

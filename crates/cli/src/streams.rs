//! Summary of the ended streams in daemons' logs, by replica.
//!
//! A stream that ends unfinished long after its first event was either slow throughout or stopped. The interval between
//! events, grouped by the number of other long answers at the replica, shows why a replica is slow: it grows with that
//! number if the replica has too many of them, and is long at any number if the engine itself is slow.

use std::{collections::BTreeMap, path::Path};

use serde::Deserialize;

use crate::{error::CommandError, log};

/// Event that is logged when a request has ended.
const REQUEST_OVER: &str = "ROUTED_OVER";
/// Outcome of a request whose whole answer was delivered.
const OUTCOME_ANSWERED: &str = "answered";
/// Lower bounds of the groups of streams, by the number of other long answers at the replica when the stream began.
const CONCURRENCY_BUCKETS: [u32; 5] = [0, 20, 40, 60, 80];

/// A log line about an ended stream.
#[derive(Debug, Deserialize)]
struct LogLine {
    event: String,
    outcome: String,
    replica: String,
    beside: u32,
    events: u64,
    interval_us: Option<u64>,
}

/// Statistics of the streams of one replica.
#[derive(Debug, Default)]
struct ReplicaStreams {
    total: usize,
    unfinished: usize,
    max_events: u64,
    /// Microseconds between events, one value per stream, grouped by [`CONCURRENCY_BUCKETS`].
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

/// Formats a table of the streams in the logs in `file`, or on standard input for `-`.
///
/// It shows per replica the number of streams, how many of them did not finish, the maximum number of events of one,
/// and the median interval between events in milliseconds, by the number of other long answers at the replica.
///
/// # Errors
/// Returns an error if the file cannot be read or contains no ended stream.
pub fn table(file: &Path) -> Result<String, CommandError> {
    let mut replicas: BTreeMap<String, ReplicaStreams> = BTreeMap::new();
    log::for_each_line(file, |json| {
        let line: Option<LogLine> = serde_json::from_str(json).ok();
        if let Some(line) = line.filter(|line| line.event == REQUEST_OVER) {
            replicas.entry(line.replica.clone()).or_default().add(&line);
        }
    })?;
    if replicas.is_empty() {
        return Err(CommandError::Answer(format!("no log line in {} reports the end of a stream", file.display())));
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

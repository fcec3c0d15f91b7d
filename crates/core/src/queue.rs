//! Queue of waiting requests, and the choice of those to drop early.
//!
//! Urgent kinds go first, then the earliest deadline. If the work ahead of a request would make it late, the
//! waiting requests with the least weight per cost are dropped at once, instead of the whole queue running
//! late. This is the Moore-Hodgson rule for the minimum number of late jobs, with weights.

use std::{cmp::Reverse, collections::BTreeSet};

use crate::{request::RequestKey, time::Time};

/// Position of a request in the queue; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueEntry {
    priority: Reverse<u8>,
    deadline: Time,
    key: RequestKey,
}

impl QueueEntry {
    /// Creates the entry of a request: urgent kinds are ordered by priority, all others by deadline alone.
    #[must_use]
    pub const fn new(urgent: Option<u8>, deadline: Time, key: RequestKey) -> Self {
        let priority = match urgent {
            Some(priority) => priority,
            None => 0,
        };
        Self { priority: Reverse(priority), deadline, key }
    }

    /// Key of the request.
    #[must_use]
    pub const fn key(&self) -> RequestKey {
        self.key
    }
}

/// Waiting requests of one pool.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    entries: BTreeSet<QueueEntry>,
}

impl Queue {
    /// Adds a request.
    pub fn insert(&mut self, entry: QueueEntry) {
        self.entries.insert(entry);
    }

    /// Removes a request.
    pub fn remove(&mut self, entry: &QueueEntry) {
        self.entries.remove(entry);
    }

    /// Iterates over the requests in queue order.
    pub fn iter(&self) -> impl Iterator<Item = RequestKey> + '_ {
        self.entries.iter().map(QueueEntry::key)
    }

    /// Number of requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// A waiting request as input of [`jobs_to_drop`].
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Key of the request.
    pub key: RequestKey,
    /// Seconds of work on one endpoint.
    pub cost: f64,
    /// Seconds until the latest start that meets the deadline.
    pub start_by: f64,
    /// Value of an answer in time.
    pub weight: f64,
    /// Whether it may be dropped: nothing of it has been delivered.
    pub can_drop: bool,
}

/// Returns which of `jobs`, in queue order, to drop when `endpoints` endpoints work on them.
#[must_use]
pub fn jobs_to_drop(jobs: &[Job], endpoints: f64) -> Vec<RequestKey> {
    let mut kept: Vec<Job> = Vec::with_capacity(jobs.len());
    let mut dropped = Vec::new();
    let mut work = 0.0;
    for job in jobs {
        // A job only has to start by then, so its own cost does not count.
        while work / endpoints > job.start_by {
            let Some(at) = least_valuable(&kept, job) else { break };
            let removed = kept.remove(at);
            work -= removed.cost;
            dropped.push(removed.key);
        }
        if work / endpoints > job.start_by && job.can_drop {
            dropped.push(job.key);
            continue;
        }
        work += job.cost;
        kept.push(*job);
    }
    dropped
}

/// The kept job with the least weight per cost, if that is less than that of `job`.
fn least_valuable(kept: &[Job], job: &Job) -> Option<usize> {
    let value_per_cost = |j: &Job| j.weight / j.cost.max(f64::MIN_POSITIVE);
    let droppable = kept.iter().enumerate().filter(|(_, k)| k.can_drop);
    let (at, least) = droppable.min_by(|a, b| value_per_cost(a.1).total_cmp(&value_per_cost(b.1)))?;
    (value_per_cost(least) < value_per_cost(job)).then_some(at)
}

//! The order in which waiting requests go, and which are given up early.
//!
//! Urgent kinds go first, then the earliest deadline. When the work ahead of a request means
//! that it would be late, the waiting work with the least weight for its cost is given up at
//! once instead of the whole queue running late: Moore and Hodgson's rule for the fewest late
//! jobs, with weights.

use std::{cmp::Reverse, collections::BTreeSet};

use crate::{request::RequestKey, time::Time};

/// A place in the queue; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueEntry {
    priority: Reverse<u8>,
    deadline: Time,
    key: RequestKey,
}

impl QueueEntry {
    /// The place of a request: urgent kinds by priority, all others by deadline alone.
    #[must_use]
    pub const fn new(urgent: Option<u8>, deadline: Time, key: RequestKey) -> Self {
        let priority = match urgent {
            Some(priority) => priority,
            None => 0,
        };
        Self { priority: Reverse(priority), deadline, key }
    }

    /// The request.
    #[must_use]
    pub const fn key(&self) -> RequestKey {
        self.key
    }
}

/// The requests of one pool that wait.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    places: BTreeSet<QueueEntry>,
}

impl Queue {
    /// Add a request.
    pub fn insert(&mut self, place: QueueEntry) {
        self.places.insert(place);
    }

    /// Remove a request.
    pub fn remove(&mut self, place: &QueueEntry) {
        self.places.remove(place);
    }

    /// The requests in the order in which they go.
    pub fn iter(&self) -> impl Iterator<Item = RequestKey> + '_ {
        self.places.iter().map(QueueEntry::key)
    }

    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}

/// A waiting request as [`hopeless`] weighs it.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The request.
    pub key: RequestKey,
    /// Seconds of one endpoint's work.
    pub cost: f64,
    /// Seconds until it must have been sent.
    pub start_by: f64,
    /// Worth of an answer in time.
    pub weight: f64,
    /// Whether it may be given up: nothing of it has been delivered.
    pub can_drop: bool,
}

/// Which of `jobs`, in queue order, to give up when `lanes` endpoints work on them.
#[must_use]
pub fn jobs_to_drop(jobs: &[Job], endpoints: f64) -> Vec<RequestKey> {
    let mut kept: Vec<Job> = Vec::with_capacity(jobs.len());
    let mut dropped = Vec::new();
    let mut work = 0.0;
    for job in jobs {
        // The queue need only have begun this one by then, so its own cost does not count.
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

/// The kept job with the least weight for its cost, if less than that of `job`.
fn least_valuable(kept: &[Job], job: &Job) -> Option<usize> {
    let worth = |j: &Job| j.weight / j.cost.max(f64::MIN_POSITIVE);
    let droppable = kept.iter().enumerate().filter(|(_, k)| k.can_drop);
    let (at, least) = droppable.min_by(|a, b| worth(a.1).total_cmp(&worth(b.1)))?;
    (worth(least) < worth(job)).then_some(at)
}

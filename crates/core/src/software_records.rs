//! Records of the versions of software that may have begun streams.
//!
//! A stream may go on only at the version that began it, and the daemons that know where it began can all be lost at once.
//! So the versions that serve are recorded where that outlives the daemons: before the last daemon that saw a version is
//! gone, and until no stream of it can be taken up any more. With these records a daemon that has just started knows
//! whether a stream of unknown origin can have begun at one version only.
//!
//! Records contain no time: clocks of daemons differ, and a record that ends too early lets streams go on at another version.
//! Each daemon measures for itself for how long a version has had no replica, from its own start on at the earliest.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    stream_origin::{Origin, RecentSoftware},
    time::{Span, Time},
};

/// How many times the time limit of its route a stream may be taken up after it began: its caller may try again three
/// times, for as long each.
pub const LIFETIME_FACTOR: u64 = 4;

/// The record of one version of a service's software.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftwareRecord {
    /// The service.
    pub service: Arc<str>,
    /// The version.
    pub software: Arc<str>,
}

impl SoftwareRecord {
    /// The service and version.
    #[must_use]
    pub fn origin(&self) -> Origin {
        Origin::of(&self.service, &self.software)
    }
}

/// A change of the records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// A version serves.
    Serves(SoftwareRecord),
    /// No stream of a version goes on any more.
    Ended(Origin),
}

/// The recorded versions of all services.
#[derive(Clone, Debug, Default)]
pub struct SoftwareRecords {
    records: HashMap<Origin, SoftwareRecord>,
    /// When the streams of recorded versions without replicas have ended.
    ends_at: HashMap<Origin, Time>,
}

impl SoftwareRecords {
    /// Sets a record.
    pub fn put(&mut self, record: SoftwareRecord) {
        self.records.insert(record.origin(), record);
    }

    /// Removes a record.
    pub fn remove(&mut self, origin: Origin) {
        self.records.remove(&origin);
    }

    /// Whether a version is recorded.
    #[must_use]
    pub fn contains(&self, origin: Origin) -> bool {
        self.records.contains_key(&origin)
    }

    /// Restricts what is known of a service's versions by what is recorded.
    #[must_use]
    pub fn restrict(&self, service: &str, known: RecentSoftware) -> RecentSoftware {
        let RecentSoftware::Only(only) = known else { return known };
        let mut recorded = self.records.iter().filter(|(_, record)| *record.service == *service);
        if recorded.any(|(origin, _)| *origin != only) { RecentSoftware::Several } else { known }
    }

    /// The changes by which the records follow the versions that serve. `lifetime` is the time for which a service's
    /// streams may be taken up.
    #[must_use]
    pub fn changes(
        &mut self,
        serving: &[SoftwareRecord],
        lifetime: impl Fn(&str) -> Span,
        now: Time,
    ) -> Vec<RecordChange> {
        let origins: HashSet<Origin> = serving.iter().map(SoftwareRecord::origin).collect();
        let records = &self.records;
        self.ends_at.retain(|origin, _| records.contains_key(origin) && !origins.contains(origin));
        let mut changes = Vec::new();
        for (origin, record) in records.iter().filter(|(origin, _)| !origins.contains(origin)) {
            let ends_at = self.ends_at.entry(*origin).or_insert_with(|| now + lifetime(&record.service));
            if ends_at.is_past(now) {
                changes.push(RecordChange::Ended(*origin));
            }
        }
        let new = serving.iter().filter(|record| !records.contains_key(&record.origin()));
        changes.extend(new.cloned().map(RecordChange::Serves));
        changes
    }
}

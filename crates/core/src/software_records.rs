//! Records of the versions of software that may have begun streams.
//!
//! A stream may go on only at the version that began it, and the daemons that know where it began can all be lost at once.
//! So the versions that serve are recorded where that outlives the daemons: before the last daemon that saw a version is
//! gone, and until no stream of it can be taken up any more. With these records a daemon that has just started knows
//! whether a stream of unknown origin can have begun at one version only.

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    stream_origin::{Origin, RecentSoftware},
    time::Span,
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
    /// When the streams that it began have ended, in Unix milliseconds; `None` while it serves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub until_ms: Option<u64>,
}

impl SoftwareRecord {
    /// The service and version.
    #[must_use]
    pub fn origin(&self) -> Origin {
        Origin::of(&self.service, &self.software)
    }

    fn may_have_streams(&self, now_ms: u64) -> bool {
        self.until_ms.is_none_or(|until_ms| until_ms > now_ms)
    }
}

/// A change of the records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// A version serves.
    Serves(SoftwareRecord),
    /// The last replica of a version has left.
    Left(SoftwareRecord),
    /// No stream of a version goes on any more.
    Ended(Origin),
}

/// The recorded versions of all services.
#[derive(Clone, Debug, Default)]
pub struct SoftwareRecords {
    records: HashMap<Origin, SoftwareRecord>,
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
    pub fn restrict(&self, service: &str, known: RecentSoftware, now_ms: u64) -> RecentSoftware {
        let RecentSoftware::Only(only) = known else { return known };
        let recorded = self.records.iter().filter(|(_, record)| *record.service == *service);
        let mut others = recorded.filter(|(origin, record)| **origin != only && record.may_have_streams(now_ms));
        if others.next().is_some() { RecentSoftware::Several } else { known }
    }

    /// The changes by which the records follow the versions that serve. `lifetime` is the time for which a service's
    /// streams may be taken up.
    #[must_use]
    pub fn changes(
        &self,
        serving: &[(Arc<str>, Arc<str>)],
        lifetime: impl Fn(&str) -> Span,
        now_ms: u64,
    ) -> Vec<RecordChange> {
        let serving: HashMap<Origin, SoftwareRecord> = serving
            .iter()
            .map(|(service, software)| SoftwareRecord {
                service: Arc::clone(service),
                software: Arc::clone(software),
                until_ms: None,
            })
            .map(|record| (record.origin(), record))
            .collect();
        let is_recorded = |origin| self.records.get(origin).is_some_and(|record| record.until_ms.is_none());
        let new = serving.iter().filter(|(origin, _)| !is_recorded(origin));
        let new = new.map(|(_, record)| RecordChange::Serves(record.clone()));
        let gone = self.records.iter().filter(|(origin, _)| !serving.contains_key(origin));
        let gone = gone.filter_map(|(origin, record)| match record.until_ms {
            None => {
                let until_ms = now_ms.saturating_add(lifetime(&record.service).as_millis());
                Some(RecordChange::Left(SoftwareRecord { until_ms: Some(until_ms), ..record.clone() }))
            }
            Some(_) if record.may_have_streams(now_ms) => None,
            Some(_) => Some(RecordChange::Ended(*origin)),
        });
        new.chain(gone).collect()
    }
}

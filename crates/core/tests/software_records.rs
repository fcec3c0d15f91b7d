//! Records of the versions of software that may have begun streams.

use std::sync::Arc;

use dahliaseam_core::{
    software_records::{RecordChange, SoftwareRecord, SoftwareRecords},
    stream_origin::{Origin, RecentSoftware},
    time::Span,
};

const LIFETIME: Span = Span::millis(12_000);

fn record(software: &str, until_ms: Option<u64>) -> SoftwareRecord {
    SoftwareRecord { service: "pool".into(), software: software.into(), until_ms }
}

fn serving(versions: &[&str]) -> Vec<(Arc<str>, Arc<str>)> {
    versions.iter().map(|software| ("pool".into(), (*software).into())).collect()
}

fn only(software: &str) -> RecentSoftware {
    RecentSoftware::Only(Origin::of("pool", software))
}

#[test]
fn records_follow_the_versions_that_serve() {
    let mut records = SoftwareRecords::default();
    let changes = |records: &SoftwareRecords, versions: &[&str], now_ms| {
        records.changes(&serving(versions), |_| LIFETIME, now_ms)
    };
    assert_eq!(changes(&records, &["v1"], 0), [RecordChange::Serves(record("v1", None))]);
    records.put(record("v1", None));
    assert_eq!(changes(&records, &["v1"], 0), []);
    let left = record("v1", Some(1_000 + LIFETIME.as_millis()));
    assert!(changes(&records, &["v2"], 1_000).contains(&RecordChange::Left(left.clone())));
    records.put(left);
    records.put(record("v2", None));
    assert_eq!(changes(&records, &["v2"], 12_999), []);
    assert_eq!(changes(&records, &["v2"], 13_000), [RecordChange::Ended(Origin::of("pool", "v1"))]);
    // A version that is back serves.
    assert_eq!(changes(&records, &["v1", "v2"], 2_000), [RecordChange::Serves(record("v1", None))]);
}

/// Guards against taking the version that a daemon sees for the only one that can have begun a stream.
#[test]
fn a_version_that_left_counts_until_its_streams_have_ended() {
    let mut records = SoftwareRecords::default();
    records.put(record("v2", None));
    assert_eq!(records.restrict("pool", only("v2"), 0), only("v2"));
    records.put(record("v1", Some(5_000)));
    assert_eq!(records.restrict("pool", only("v2"), 4_999), RecentSoftware::Several);
    assert_eq!(records.restrict("pool", only("v2"), 5_000), only("v2"));
    assert_eq!(records.restrict("other", RecentSoftware::Unknown, 0), RecentSoftware::Unknown);
    records.remove(Origin::of("pool", "v1"));
    assert_eq!(records.restrict("pool", only("v2"), 0), only("v2"));
}

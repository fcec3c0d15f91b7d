//! Records of the versions of software that may have begun streams.

use dahliaseam_core::{
    software_records::{RecordChange, SoftwareRecord, SoftwareRecords},
    stream_origin::{Origin, RecentSoftware},
    time::{Span, Time},
};

const LIFETIME: Span = Span::millis(12_000);

fn record(software: &str) -> SoftwareRecord {
    SoftwareRecord { service: "pool".into(), software: software.into() }
}

fn only(software: &str) -> RecentSoftware {
    RecentSoftware::Only(Origin::of("pool", software))
}

fn changes(records: &mut SoftwareRecords, versions: &[&str], millis: u64) -> Vec<RecordChange> {
    let serving: Vec<SoftwareRecord> = versions.iter().map(|software| record(software)).collect();
    records.changes(&serving, |_| LIFETIME, Time(0) + Span::millis(millis))
}

#[test]
fn records_follow_the_versions_that_serve() {
    let mut records = SoftwareRecords::default();
    let ended = [RecordChange::Ended(Origin::of("pool", "v1"))];
    assert_eq!(changes(&mut records, &["v1"], 0), [RecordChange::Serves(record("v1"))]);
    records.put(record("v1"));
    assert_eq!(changes(&mut records, &["v1"], 0), []);
    assert_eq!(changes(&mut records, &["v2"], 1_000), [RecordChange::Serves(record("v2"))]);
    records.put(record("v2"));
    assert_eq!(changes(&mut records, &["v2"], 12_999), []);
    assert_eq!(changes(&mut records, &["v2"], 13_000), ended);
    // A version that is back serves, and its time begins again once it has left.
    assert_eq!(changes(&mut records, &["v1", "v2"], 14_000), []);
    assert_eq!(changes(&mut records, &["v2"], 15_000), []);
    assert_eq!(changes(&mut records, &["v2"], 26_999), []);
    assert_eq!(changes(&mut records, &["v2"], 27_000), ended);
    records.remove(Origin::of("pool", "v1"));
    assert_eq!(changes(&mut records, &["v2"], 28_000), []);
}

/// Guards against a daemon whose time of day is ahead, which took the streams of a version for ended: each daemon measures
/// by its own clock for how long it has seen no replica, however long ago that was for others.
#[test]
fn a_daemon_that_has_just_started_takes_no_streams_for_ended() {
    let mut records = SoftwareRecords::default();
    records.put(record("v1"));
    let started = 1_000_000_000;
    assert_eq!(changes(&mut records, &[], started), []);
    assert_eq!(changes(&mut records, &[], started + 11_999), []);
    assert_eq!(changes(&mut records, &[], started + 12_000), [RecordChange::Ended(Origin::of("pool", "v1"))]);
}

/// Guards against taking the version that a daemon sees for the only one that can have begun a stream.
#[test]
fn a_version_that_left_counts_until_its_streams_have_ended() {
    let mut records = SoftwareRecords::default();
    records.put(record("v2"));
    assert_eq!(records.restrict("pool", only("v2")), only("v2"));
    records.put(record("v1"));
    assert_eq!(changes(&mut records, &["v2"], 0), []);
    assert_eq!(records.restrict("pool", only("v2")), RecentSoftware::Several);
    assert_eq!(records.restrict("other", RecentSoftware::Unknown), RecentSoftware::Unknown);
    records.remove(Origin::of("pool", "v1"));
    assert_eq!(records.restrict("pool", only("v2")), only("v2"));
}

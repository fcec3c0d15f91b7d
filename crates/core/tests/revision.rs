//! Tests of revisions of a store that comes back from older copies of itself, and of the versions that it shows again.

use dahliaseam_core::{
    revision::{era, number, qualify},
    superseded::SupersededVersions,
    time::{Span, Time},
};

const NOW: Time = Time(1_000_000_000);

#[test]
fn revisions_are_ordered_by_era_and_then_by_number() {
    let ordered = [qualify(0, 7), qualify(1, 5), qualify(1, 900), qualify(2, 0), qualify(2, 3), qualify(7, 1)];
    assert!(ordered.is_sorted());
    assert!(ordered.iter().all(|revision| qualify(era(*revision), number(*revision)) == *revision));
    assert_eq!(qualify(0, 42), 42);
}

/// Guards against taking what an older copy shows for news, and news for what it shows.
#[test]
fn only_superseded_versions_of_earlier_eras_count_as_shown_again() {
    let mut versions = SupersededVersions::default();
    versions.record("k", qualify(1, 10), "ready", NOW);
    versions.record("k", qualify(1, 12), "leaving", NOW);
    assert!(versions.contains("k", qualify(2, 10), "ready"));
    assert!(versions.contains("k", qualify(3, 12), "leaving"));
    assert!(!versions.contains("k", qualify(1, 10), "ready"), "the same era");
    assert!(!versions.contains("k", qualify(2, 11), "ready"), "written again at another revision");
    assert!(!versions.contains("k", qualify(2, 10), "leaving"), "another value under the same revision");
    assert!(!versions.contains("other", qualify(2, 10), "ready"));
    versions.expire(NOW + Span::millis(600_000));
    assert!(!versions.contains("k", qualify(2, 10), "ready"));
}

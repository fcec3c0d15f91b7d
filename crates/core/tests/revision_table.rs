//! Copies of a store that are kept up to date by its changes.

use std::collections::{BTreeMap, HashSet};

use dahliaseam_core::revision_table::RevisionTable;
use rand::{Rng, SeedableRng, rngs::SmallRng};

#[test]
fn copy_updated_by_changes_equals_store() {
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut store: BTreeMap<String, i64> = BTreeMap::new();
        let (mut source, mut copy_table) = (RevisionTable::default(), RevisionTable::default());
        let mut seen = 0;
        for revision in 1..2_000 {
            let key = format!("k{}", rng.random_range(0..60));
            if rng.random_bool(0.4) {
                store.remove(&key);
                source.remove(&key, revision);
            } else {
                store.insert(key.clone(), revision);
                source.put(&key, revision, (key.clone(), revision));
            }
            if rng.random_bool(0.02) {
                assert!(source.is_complete_after(seen));
                let changed: Vec<(String, i64)> = source.changed_after(seen).cloned().collect();
                let removed: Vec<(String, i64)> =
                    source.removed_after(seen).map(|(key, at)| (key.to_owned(), at)).collect();
                for (key, at) in changed {
                    copy_table.put(&key, at, (key.clone(), at));
                }
                for (key, at) in removed {
                    copy_table.remove(&key, at);
                }
                let copy: BTreeMap<String, i64> = copy_table.values().cloned().collect();
                assert_eq!(copy, store, "seed {seed}, revision {revision}");
                seen = revision;
            }
        }
    }
}

/// Guards against a history of removals that is too short: when thousands of engines were replaced within seconds,
/// there were three times as many removals as the history held, and from then on all entries were sent to each daemon
/// at each change.
#[test]
fn replacing_most_entries_keeps_removal_history() {
    let mut table = RevisionTable::default();
    for n in 0..3_000 {
        table.put(&format!("old-{n}"), n + 1, n);
    }
    for n in 0..2_000 {
        table.put(&format!("new-{n}"), 3_001 + 2 * n, n);
        table.remove(&format!("old-{n}"), 3_002 + 2 * n);
    }
    assert!(table.is_complete_after(3_000), "the changes suffice, no daemon needs all entries");
    assert_eq!(table.changed_after(6_800).count(), 100);
    assert_eq!(table.removed_after(6_800).count(), 100);
}

#[test]
fn removal_history_is_bounded_by_entries() {
    let mut table = RevisionTable::default();
    for n in 0..50_000 {
        table.put("a", 2 * n + 1, n);
        table.remove("a", 2 * n + 2);
    }
    assert!(table.removed_after(0).count() <= 512);
    assert!(!table.is_complete_after(1));
    assert!(table.is_complete_after(99_999));
}

#[test]
fn older_changes_are_ignored() {
    let mut table = RevisionTable::default();
    assert!(table.put("a", 5, "five"));
    assert!(!table.put("a", 5, "again"));
    assert!(!table.put("a", 4, "four"));
    assert_eq!(table.remove("a", 4), None);
    assert_eq!(table.get("a"), Some(&"five"));
    assert_eq!(table.missing_from(&HashSet::from(["b"])).len(), 1);
    assert_eq!(table.remove("a", 6), Some("five"));
}

/// Guards against pages of different ages: a copy that is read from them and completed by the changes after the oldest one
/// equals the store, whatever was changed, removed and written again in between.
#[test]
fn copy_read_from_pages_of_any_age_equals_store() {
    for seed in 0..300 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut store: BTreeMap<String, i64> = BTreeMap::new();
        let mut versions = Vec::new();
        let mut changes = Vec::new();
        for revision in 1..200_i64 {
            let key = format!("k{:02}", rng.random_range(0..20));
            let removed = rng.random_bool(0.4);
            if removed {
                store.remove(&key);
            } else {
                store.insert(key.clone(), revision);
            }
            changes.push((key, removed, revision));
            versions.push((revision, store.clone()));
        }
        let mut table = RevisionTable::default();
        let mut oldest = i64::MAX;
        for page in 0..4 {
            let (read_at, read) = &versions[rng.random_range(100..versions.len())];
            oldest = oldest.min(*read_at);
            let (from, until) = (format!("k{:02}", page * 5), format!("k{:02}", page * 5 + 5));
            for (key, revision) in read.range(from..until) {
                table.put(key, *revision, (key.clone(), *revision));
            }
        }
        for (key, removed, revision) in changes.into_iter().filter(|(_, _, revision)| *revision > oldest) {
            if removed {
                table.remove(&key, revision);
            } else {
                table.put(&key, revision, (key.clone(), revision));
            }
        }
        let copy: BTreeMap<String, i64> = table.values().cloned().collect();
        assert_eq!(copy, store, "seed {seed}");
    }
}

//! Membership: beliefs about members, and how wrong ones are corrected.

use dahliaseam_core::{
    member::{Contact, Health, Incarnation, MemberSettings, Members},
    time::{Span, Time},
};
use proptest::{prelude::*, test_runner::RngSeed};

fn contact(n: usize) -> Contact {
    Contact { vm: format!("vm-{n}"), hall: "hall".to_owned(), address: format!("127.0.0.1:{n}") }
}

fn table(n: usize, all: usize) -> Members {
    let mut members = Members::new(MemberSettings::default(), contact(n), 1, n as u64);
    members.set_listed(&(0..all).map(contact).collect::<Vec<_>>());
    members
}

/// Simulates one probe of `to` by `from` as the daemon does it.
fn probe(tables: &mut [Members], from: usize, to: usize, now: Time) {
    let key = tables[from].others().find(|(_, m)| m.contact == contact(to)).map(|(key, _)| key).expect("listed");
    let mut updates = tables[from].take_updates();
    updates.extend(tables[from].update_to_refute(key));
    tables[to].apply(&updates, now);
    let (start, refutation, updates) = (tables[to].me().start, tables[to].refutation(), tables[to].take_updates());
    tables[from].record_answer(key, start, refutation, now);
    tables[from].apply(&updates, now);
}

fn believed_health(table: &Members, n: usize) -> Health {
    table.by_vm(&format!("vm-{n}")).map_or(Health::Listed, |m| m.health)
}

#[test]
fn member_believed_dead_by_all_recovers_with_one_probe() {
    let mut tables: Vec<_> = (0..3).map(|n| table(n, 3)).collect();
    let at = Time(1);
    for (from, to) in [(0, 1), (0, 2), (1, 2), (2, 0), (2, 1), (1, 0)] {
        probe(&mut tables, from, to, at);
    }
    let late = at + Span::millis(60_000);
    for table in tables.iter_mut().take(2) {
        let key = table.others().find(|(_, m)| m.contact.vm == "vm-2").map(|(k, _)| k).expect("listed");
        table.record_unreached(key, at);
        let _ = table.next_probe_target(late);
        assert_eq!(believed_health(table, 2), Health::Dead);
        // Takes updates until the one about the death is no longer sent.
        for _ in 0..100 {
            let _ = table.take_updates();
        }
    }
    probe(&mut tables, 0, 2, late);
    assert_eq!(believed_health(&tables[0], 2), Health::Alive);
    probe(&mut tables, 0, 1, late);
    assert_eq!(believed_health(&tables[1], 2), Health::Alive);
}

#[test]
fn process_is_terminated_only_on_evidence() {
    let mut tables: Vec<_> = (0..2).map(|n| table(n, 2)).collect();
    let process = Incarnation { vm: "vm-1".to_owned(), start: 1 };
    probe(&mut tables, 0, 1, Time(1));
    let key = tables[0].others().next().map(|(k, _)| k).expect("one other");
    tables[0].record_unreached(key, Time(1));
    let _ = tables[0].next_probe_target(Time(1) + Span::millis(60_000));
    assert_eq!(believed_health(&tables[0], 1), Health::Dead);
    assert!(!tables[0].is_terminated(&process), "silence is no evidence: the process may be paused");
    tables[0].set_listed(&[contact(0)]);
    assert!(tables[0].is_terminated(&process), "its VM was listed and no longer is");
    tables[0].set_listed(&[contact(0), contact(1)]);
    assert!(!tables[0].is_terminated(&process));
    tables[0].record_answer(key, 2, 0, Time(2));
    assert!(tables[0].is_terminated(&process), "a later run answers in its place");
}

/// Configures a fixed seed, so that each run has the same result.
fn fixed_config() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(20_261_202), failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed_config())]

    /// However probes, silences and restarts interleave, all members believe that all are alive after one full round of
    /// probes between them.
    #[test]
    fn beliefs_converge_after_faults(events in prop::collection::vec((0..4_usize, 0..4_usize, 0..4_u8), 1..200)) {
        let mut tables: Vec<_> = (0..4).map(|n| table(n, 4)).collect();
        let mut now = Time(1);
        for (from, to, event) in events {
            now = now + Span::millis(700);
            if from == to {
                continue;
            }
            let key = tables[from].others().find(|(_, m)| m.contact == contact(to)).map(|(k, _)| k);
            match (event, key) {
                (0, Some(key)) => tables[from].record_unreached(key, now),
                (1, _) => {
                    let start = tables[to].me().start + 1;
                    let mut fresh = Members::new(MemberSettings::default(), contact(to), start, 9);
                    fresh.set_listed(&(0..4).map(contact).collect::<Vec<_>>());
                    tables[to] = fresh;
                }
                (_, Some(_)) => probe(&mut tables, from, to, now),
                _ => {}
            }
            let _ = tables[from].next_probe_target(now);
        }
        for from in 0..4 {
            for to in (0..4).filter(|to| *to != from) {
                probe(&mut tables, from, to, now);
            }
        }
        for table in &tables {
            prop_assert_eq!(table.live_count(), 4);
            prop_assert_eq!(table.reachability(), (4, 4));
        }
    }
}

//! `docs/EVENTS.md` lists exactly the events in the code.

use std::fmt::Write;

use dahliaseamd::event::ALL;

const HEADER: &str = "\
# Events

Each line of the daemon's log that says something happened carries `code` and `event`. A number
never changes its meaning. This page is written by the test `events` from the code: run it with
`UPDATE_EXPECT=1` after a change.

| number | name | meaning |
| --- | --- | --- |
";

#[test]
fn the_catalogue_lists_exactly_the_events_in_the_code() {
    let mut table = String::from(HEADER);
    for event in ALL {
        writeln!(table, "| {} | {} | {} |", event.code, event.name, event.meaning).expect("a string grows");
    }
    expect_test::expect_file!["../../../docs/EVENTS.md"].assert_eq(&table);
}

#[test]
fn no_number_is_used_twice() {
    let mut codes: Vec<_> = ALL.iter().map(|event| event.code).collect();
    codes.dedup();
    assert_eq!(codes.len(), ALL.len());
    assert!(codes.is_sorted());
}

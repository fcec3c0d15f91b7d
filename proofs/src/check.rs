//! Checks of histories. Each returns what breaks the promise; nothing means that it holds.

use std::collections::{BTreeMap, HashMap, HashSet};

use dahliaseam_core::custody::OrderKind;
use stand_ins::history::{Entry, Event};

/// What breaks a promise.
pub type Violations = Vec<String>;

/// No engine gets conflicting orders, whether or not it checks fencing numbers: each order it takes
/// is newer than the one before, orders of two processes never cross, and none comes while one is
/// carried out.
#[must_use]
pub fn orders(history: &[Entry]) -> Violations {
    let mut by_engine: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    for entry in history {
        by_engine.entry(&entry.who).or_default().push(entry);
    }
    by_engine.into_iter().flat_map(|(who, entries)| order_violations(who, &entries)).collect()
}

fn order_violations(who: &str, entries: &[&Entry]) -> Violations {
    let mut violations = Vec::new();
    let mut last = (0, 0);
    let mut senders: Vec<(&str, u64)> = Vec::new();
    let mut in_progress: Option<(u64, u64)> = None;
    for entry in entries {
        match &entry.event {
            Event::OrderTaken { epoch, sequence, by, kind, .. } => {
                if (*epoch, *sequence) <= last {
                    violations.push(format!("{who} took ({epoch}, {sequence}) after {last:?}"));
                }
                last = last.max((*epoch, *sequence));
                // A process that wins the shard again is another giver under its new number.
                let sender = (by.as_str(), *epoch);
                if senders.last() != Some(&sender) && senders.contains(&sender) {
                    violations.push(format!("{who} got orders of {by} crossed with another's"));
                }
                if let Some(in_progress) = in_progress {
                    violations.push(format!("{who} took ({epoch}, {sequence}) while {in_progress:?} was carried out"));
                }
                if senders.last() != Some(&sender) {
                    senders.push(sender);
                }
                if matches!(kind, OrderKind::SetRole(_)) {
                    in_progress = Some((*epoch, *sequence));
                }
            }
            Event::OrderDone { epoch, sequence } if in_progress == Some((*epoch, *sequence)) => in_progress = None,
            _ => {}
        }
    }
    violations
}

/// The same, but an order that is never done may be followed by others once the engine has
/// started again.
#[must_use]
pub fn orders_with_crashes(history: &[Entry]) -> Violations {
    orders(history).into_iter().filter(|violation| !violation.contains("was carried out")).collect()
}

/// No request was cut by an order.
#[must_use]
pub fn cut_requests(history: &[Entry]) -> Violations {
    let cut = history.iter().filter_map(|entry| match &entry.event {
        Event::Cut { request } => Some(format!("{} cut {request}", entry.who)),
        _ => None,
    });
    cut.collect()
}

/// Each whole answer is exactly the expected one.
#[must_use]
pub fn wrong_answers(history: &[Entry]) -> Violations {
    let wrong = history.iter().filter_map(|entry| match &entry.event {
        Event::Got { call, request, outcome, exact: false } if outcome == "whole" => {
            Some(format!("call {call} ({request:?}) got a wrong answer as whole"))
        }
        _ => None,
    });
    wrong.collect()
}

/// What was refused as not run was run by no endpoint.
#[must_use]
pub fn not_run(history: &[Entry]) -> Violations {
    let ran: HashSet<&str> = history
        .iter()
        .filter_map(|entry| match &entry.event {
            Event::Ran { request, .. } => Some(request.as_str()),
            _ => None,
        })
        .collect();
    let contradicted = history.iter().filter_map(|entry| match &entry.event {
        Event::Got { call, request: Some(request), outcome, .. }
            if outcome == "not_run" && ran.contains(request.as_str()) =>
        {
            Some(format!("call {call} ({request}) was told not run, and ran"))
        }
        _ => None,
    });
    contradicted.collect()
}

/// No key ran more than once.
#[must_use]
pub fn at_most_once(history: &[Entry]) -> Violations {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for entry in history {
        if let Event::Ran { key: Some(key), .. } = &entry.event {
            *runs.entry(key).or_default() += 1;
        }
    }
    let repeated = runs.into_iter().filter(|(_, count)| *count > 1);
    repeated.map(|(key, count)| format!("key {key} ran {count} times")).collect()
}

/// No endpoint of `names` began to run anything after `since`.
#[must_use]
pub fn late_starts(history: &[Entry], names: &[&str], since: u64) -> Violations {
    let late = history.iter().filter_map(|entry| match &entry.event {
        Event::Ran { request, .. } if entry.at > since && names.contains(&entry.who.as_str()) => {
            Some(format!("{} began {request} {} ms too late", entry.who, (entry.at - since) / 1_000))
        }
        _ => None,
    });
    late.collect()
}

/// Panics with the faults, if there are any.
///
/// # Panics
/// When there is a fault.
pub fn expect_none(what: &str, violations: &Violations) {
    assert!(violations.is_empty(), "{what}: {} faults\n{}", violations.len(), violations.join("\n"));
}

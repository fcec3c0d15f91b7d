//! Checks of histories. Each returns the violations that it finds; an empty list means that the
//! guarantee holds.

use std::collections::{BTreeMap, HashMap, HashSet};

use dahliaseam_core::custody::OrderKind;
use stand_ins::history::{Entry, Event};

/// Descriptions of violated guarantees.
pub type Violations = Vec<String>;

/// Checks that no engine gets conflicting orders, whether or not it checks fencing numbers: each
/// accepted order is newer than the one before, orders of two processes are never interleaved, and
/// no order is accepted while another is being carried out.
#[must_use]
pub fn conflicting_orders(history: &[Entry]) -> Violations {
    let mut by_engine: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    for entry in history {
        by_engine.entry(&entry.who).or_default().push(entry);
    }
    by_engine.into_iter().flat_map(|(who, entries)| engine_order_violations(who, &entries)).collect()
}

fn engine_order_violations(who: &str, entries: &[&Entry]) -> Violations {
    let mut violations = Vec::new();
    let mut last = (0, 0);
    let mut senders: Vec<(&str, u64)> = Vec::new();
    let mut in_progress: Option<(u64, u64)> = None;
    for entry in entries {
        match &entry.event {
            Event::OrderTaken { epoch, sequence, by, kind, .. } => {
                if (*epoch, *sequence) <= last {
                    violations.push(format!("{who} accepted ({epoch}, {sequence}) after {last:?}"));
                }
                last = last.max((*epoch, *sequence));
                // A process that takes the shard again is a different sender, with a new fencing number.
                let sender = (by.as_str(), *epoch);
                if senders.last() != Some(&sender) && senders.contains(&sender) {
                    violations.push(format!("{who} accepted orders of {by} interleaved with those of another process"));
                }
                if let Some(in_progress) = in_progress {
                    violations
                        .push(format!("{who} accepted ({epoch}, {sequence}) while {in_progress:?} was carried out"));
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

/// Like [`conflicting_orders`], but permits further orders after one that was never completed,
/// because the engine may have crashed and restarted.
#[must_use]
pub fn conflicting_orders_with_crashes(history: &[Entry]) -> Violations {
    conflicting_orders(history).into_iter().filter(|violation| !violation.contains("was carried out")).collect()
}

/// Checks that no request was aborted because of an order.
#[must_use]
pub fn aborted_requests(history: &[Entry]) -> Violations {
    let aborted = history.iter().filter_map(|entry| match &entry.event {
        Event::Cut { request } => Some(format!("{} aborted {request}", entry.who)),
        _ => None,
    });
    aborted.collect()
}

/// Checks that each answer reported as whole is exactly the expected one.
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

/// Checks that no endpoint ran a request whose caller was told that it was not run.
#[must_use]
pub fn false_not_run(history: &[Entry]) -> Violations {
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
            Some(format!("call {call} ({request}) was reported as not run, but ran"))
        }
        _ => None,
    });
    contradicted.collect()
}

/// Checks that no request with an idempotency key ran more than once.
#[must_use]
pub fn repeated_keys(history: &[Entry]) -> Violations {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for entry in history {
        if let Event::Ran { key: Some(key), .. } = &entry.event {
            *runs.entry(key).or_default() += 1;
        }
    }
    let repeated = runs.into_iter().filter(|(_, count)| *count > 1);
    repeated.map(|(key, count)| format!("key {key} ran {count} times")).collect()
}

/// Checks that no endpoint in `names` started to run a request after `since`, in microseconds of
/// the monotonic clock.
#[must_use]
pub fn late_starts(history: &[Entry], names: &[&str], since: u64) -> Violations {
    let late = history.iter().filter_map(|entry| match &entry.event {
        Event::Ran { request, .. } if entry.at > since && names.contains(&entry.who.as_str()) => {
            Some(format!("{} started {request} {} ms too late", entry.who, (entry.at - since) / 1_000))
        }
        _ => None,
    });
    late.collect()
}

/// Panics with the violations, if there are any.
///
/// # Panics
/// If there is a violation.
pub fn expect_none(what: &str, violations: &Violations) {
    assert!(violations.is_empty(), "{what}: {} violations\n{}", violations.len(), violations.join("\n"));
}

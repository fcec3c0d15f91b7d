//! Keeping in the store which requests are refused since replicas end under them.
//!
//! Daemons tell each other; what stands in the store is for those that start when no other is left, and for
//! operators, who let a request through again by removing its entry. The daemon that lost the request at a
//! replica writes the entry; if it cannot, another one does.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use dahliaseam_border::kv::{Entry, Swap, Swapped};
use dahliaseam_core::{
    content::ContentHash,
    fleet::endings::{KnownBy, Refused},
    hash::rendezvous,
    time::{Span, Time},
};
use serde::{Deserialize, Serialize};

use crate::{
    clock::wall_millis,
    emit,
    gateway::{metrics::StoreCall, state::Gateway},
};

/// Time between two looks: soon enough that the entry stands before the bound in which all must know it.
const LOOK: Duration = Duration::from_millis(250);
/// Time that the daemon which lost the request has for its entry, and any for a removal, before others do it.
const OTHERS_AFTER: Span = Span::millis(3_000);
/// What others wait more, drawn up to this for each daemon, so that one of them is first.
const OTHERS_SPREAD_EACH: Span = Span::millis(20);
/// Time until a call that failed, or whose effect is not seen yet, is made again.
const AGAIN: Span = Span::millis(1_000);

/// The entry of a request that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredRefusal {
    /// Replicas that had ended under it.
    ends: u32,
    /// Unix millisecond until which it holds.
    until_ms: u64,
}

/// The content that a key of such entries names.
fn named(prefix: &str, key: &str) -> Option<ContentHash> {
    let digits = key.strip_prefix(prefix)?;
    u64::from_str_radix(digits, 16).ok().map(ContentHash)
}

fn prefix(gw: &Gateway) -> String {
    format!("{}refused/", gw.settings.keyspace)
}

/// Take in an entry; returns whether it is one of a refused request.
pub(super) fn put(gw: &Gateway, entry: &Entry) -> bool {
    let Some(content) = named(&prefix(gw), &entry.key) else {
        return false;
    };
    if let Ok(stored) = serde_json::from_str::<StoredRefusal>(&entry.value) {
        let left = Span::millis(stored.until_ms.saturating_sub(wall_millis()));
        if left > Span(0) {
            let now = gw.now();
            gw.fleet().endings.hear_stored(content, stored.ends, left, now);
        }
    }
    true
}

/// Take in that an entry was removed: an operator lets the request through again.
pub(super) fn removed(gw: &Gateway, key: &str) {
    if let Some(content) = named(&prefix(gw), key) {
        let now = gw.now();
        gw.fleet().endings.lift(content, now);
    }
}

/// Keep the store as the daemons know it, until the daemon is over.
pub(super) async fn run(gw: Arc<Gateway>) {
    let over = gw.stop.over.clone();
    let mut keeper = Keeper::default();
    loop {
        tokio::select! {
            () = tokio::time::sleep(LOOK) => keeper.look(&gw).await,
            () = over.cancelled() => return,
        }
    }
}

/// What this daemon has seen and done so far.
#[derive(Debug, Default)]
struct Keeper {
    known: HashMap<ContentHash, Refused>,
    /// When a call for an entry may be made, by key.
    due: HashMap<String, Time>,
}

impl Keeper {
    async fn look(&mut self, gw: &Arc<Gateway>) {
        let now = gw.now();
        let (refused, lapsed) = {
            let endings = &mut gw.fleet().endings;
            let lapsed: HashSet<ContentHash> = endings.sweep(now).into_iter().collect();
            (endings.refused().collect::<HashMap<_, _>>(), lapsed)
        };
        self.log_changes(&refused, &lapsed, now);
        self.known = refused;
        let prefix = prefix(gw);
        let stored: Vec<(String, i64, ContentHash)> = {
            let copies = gw.copies();
            let entries = copies.daemons.values();
            entries.filter_map(|entry| Some((entry.key.clone(), entry.revision, named(&prefix, &entry.key)?))).collect()
        };
        self.write_missing(gw, &prefix, &stored, now).await;
        self.remove_left_over(gw, &prefix, &stored, now).await;
    }

    fn log_changes(&self, refused: &HashMap<ContentHash, Refused>, lapsed: &HashSet<ContentHash>, now: Time) {
        for (content, refused) in refused.iter().filter(|(content, _)| !self.known.contains_key(content)) {
            emit!(
                warn,
                REQUEST_BLAMED,
                content = %content,
                ends = refused.ends,
                known_by = refused.known_by.name(),
                age_ms = now.since(refused.since).as_millis(),
                left_ms = refused.until.since(now).as_millis()
            );
        }
        for (content, before) in self.known.iter().filter(|(content, _)| !refused.contains_key(content)) {
            let why = if lapsed.contains(content) { "lapsed" } else { "lifted or answered" };
            emit!(
                warn,
                BLAME_LIFTED,
                content = %content,
                why,
                ends = before.ends,
                age_ms = now.since(before.since).as_millis()
            );
        }
    }

    async fn write_missing(&mut self, gw: &Gateway, prefix: &str, stored: &[(String, i64, ContentHash)], now: Time) {
        let refused: Vec<(ContentHash, Refused)> = self.known.iter().map(|(key, value)| (*key, *value)).collect();
        for (content, refused) in refused {
            if stored.iter().any(|(_, _, other)| *other == content) {
                continue;
            }
            let first = if refused.known_by == KnownBy::Own { now } else { others_at(gw, content, now) };
            let left_ms = refused.until.since(now).as_millis();
            let value = StoredRefusal { ends: refused.ends, until_ms: wall_millis() + left_ms };
            let Ok(value) = serde_json::to_string(&value) else {
                continue;
            };
            self.call(gw, format!("{prefix}{content}"), 0, Some(value), first, now).await;
        }
    }

    async fn remove_left_over(&mut self, gw: &Gateway, prefix: &str, stored: &[(String, i64, ContentHash)], now: Time) {
        for (key, revision, content) in stored {
            if !self.known.contains_key(content) {
                self.call(gw, key.clone(), *revision, None, others_at(gw, *content, now), now).await;
            }
        }
        let wanted = |key: &String| {
            let content = named(prefix, key);
            let is_stored = stored.iter().any(|(other, ..)| other == key);
            content.is_some_and(|content| self.known.contains_key(&content) != is_stored)
        };
        self.due.retain(|key, _| wanted(key));
    }

    /// Change an entry once it is due; `first` is when it is the first time.
    async fn call(&mut self, gw: &Gateway, key: String, expect: i64, value: Option<String>, first: Time, now: Time) {
        let due = *self.due.entry(key.clone()).or_insert(first);
        if !due.is_past(now) {
            return;
        }
        self.due.insert(key.clone(), now + AGAIN);
        gw.metrics.store_call(StoreCall::Refused);
        let swap = Swap { key, expect, value, lease: None };
        match gw.outside.kv.swap_each(vec![swap]).await.map(|mut swapped| swapped.pop()) {
            Ok(Some(Swapped::Done(_) | Swapped::Differs(_)) | None) => {}
            Err(e) => emit!(info, BLAME_NOT_STORED, why = %e),
        }
    }
}

/// When a daemon does what another one should have done before.
fn others_at(gw: &Gateway, content: ContentHash, now: Time) -> Time {
    let spread = OTHERS_SPREAD_EACH.0 * gw.fleet().daemons() as u64;
    now + OTHERS_AFTER + Span(rendezvous(content.0, gw.start) % spread.max(1))
}

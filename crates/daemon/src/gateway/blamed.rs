//! Stores which requests are refused because replicas crash while running them, and which are suspected of crashing
//! replicas.
//!
//! Daemons tell each other about such requests. The store entries serve daemons that start when no other one is left,
//! and operators, who allow a request again by removing its entry. The daemon that lost the request at a replica writes
//! the entry; if it cannot, another one does. Suspicions are stored too: otherwise daemons that all restart at once
//! would count from zero and lose as many replicas again.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use dahliaseam_border::kv::{Entry, Swap, Swapped};
use dahliaseam_core::{
    content::ContentHash,
    fleet::endings::{KnownBy, Refused, Suspicion},
    hash::rendezvous,
    time::{Span, Time},
};
use serde::{Deserialize, Serialize};

use crate::{
    clock::wall_millis,
    emit,
    gateway::{metrics::StoreCall, state::Gateway},
};

/// Interval between two synchronizations; short enough that an entry is stored within the time by which all daemons
/// must know it.
const SYNC_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a daemon writes an entry that the daemon which lost the request should have written, and before any
/// daemon removes an entry.
const TAKEOVER_DELAY: Span = Span::millis(3_000);
/// Upper bound of the jitter added to that delay, per daemon: with more daemons it is spread over a longer time, so
/// that one of them acts before the others.
const TAKEOVER_JITTER_PER_DAEMON: Span = Span::millis(20);
/// Delay before a store call that failed, or whose effect is not visible yet, is repeated.
const RETRY_INTERVAL: Span = Span::millis(1_000);
/// Maximum number of stored suspicions; those with the most crashes are stored. When a rack fails, hundreds of requests
/// lose a replica, some of them twice, and succeed a moment later.
const MAX_STORED_SUSPICIONS: usize = 8;

/// State that an entry records for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryKind {
    Refused,
    Suspected,
}

impl EntryKind {
    const ALL: [Self; 2] = [Self::Refused, Self::Suspected];

    /// Prefix of such entries below the daemons' keyspace.
    const fn prefix(self) -> &'static str {
        match self {
            Self::Refused => "refused/",
            Self::Suspected => "suspected/",
        }
    }

    fn key(self, keyspace: &str, content: ContentHash) -> String {
        format!("{keyspace}{}{content}", self.prefix())
    }

    /// Parses the key of a refused or suspected request; `None` for any other key.
    fn parse_key(keyspace: &str, key: &str) -> Option<(Self, ContentHash)> {
        let rest = key.strip_prefix(keyspace)?;
        Self::ALL.into_iter().find_map(|kind| {
            let digits = rest.strip_prefix(kind.prefix())?;
            u64::from_str_radix(digits, 16).ok().map(|content| (kind, ContentHash(content)))
        })
    }
}

/// Stored entry of a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredRefusal {
    /// Number of replicas that had crashed while running it.
    ends: u32,
    /// Start of the refusal, in Unix milliseconds.
    since_ms: u64,
    /// End of the refusal, in Unix milliseconds.
    until_ms: u64,
}

/// Stored entry of a suspected request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredSuspicion {
    /// Replicas that crashed while running it, as hashes of their identifiers, with the time in Unix milliseconds.
    ends: Vec<(u32, u64)>,
    /// End of the suspicion, in Unix milliseconds.
    until_ms: u64,
}

impl StoredSuspicion {
    fn new(suspicion: &Suspicion) -> Self {
        let now_ms = wall_millis();
        let crashes = suspicion.crashes.iter().map(|(replica, age)| (*replica, now_ms.saturating_sub(age.as_millis())));
        Self { ends: crashes.collect(), until_ms: now_ms + suspicion.time_left.as_millis() }
    }

    fn to_suspicion(&self) -> Suspicion {
        let now_ms = wall_millis();
        let crashes =
            self.ends.iter().map(|(replica, crashed_ms)| (*replica, Span::millis(now_ms.saturating_sub(*crashed_ms))));
        Suspicion {
            crashes: crashes.collect(),
            time_left: Span::millis(self.until_ms.saturating_sub(now_ms)),
            observed_here: false,
        }
    }
}

/// Applies an entry; returns whether it belongs to a refused or suspected request.
pub(super) fn apply_put(gw: &Gateway, entry: &Entry) -> bool {
    let Some((kind, content)) = EntryKind::parse_key(&gw.settings.keyspace, &entry.key) else {
        return false;
    };
    let now = gw.now();
    match kind {
        EntryKind::Refused => {
            if let Ok(stored) = serde_json::from_str::<StoredRefusal>(&entry.value) {
                let age = Span::millis(wall_millis().saturating_sub(stored.since_ms));
                let left = Span::millis(stored.until_ms.saturating_sub(wall_millis()));
                if left > Span(0) {
                    gw.fleet().crashes.apply_stored_refusal(content, stored.ends, age, left, now);
                }
            }
        }
        EntryKind::Suspected => {
            if let Ok(stored) = serde_json::from_str::<StoredSuspicion>(&entry.value) {
                gw.fleet().crashes.apply_stored_suspicion(content, &stored.to_suspicion(), now);
            }
        }
    }
    true
}

/// Applies the removal of an entry: an operator allows the request again.
pub(super) fn apply_removal(gw: &Gateway, key: &str) {
    if let Some((EntryKind::Refused, content)) = EntryKind::parse_key(&gw.settings.keyspace, key) {
        let now = gw.now();
        gw.fleet().crashes.lift(content, now);
    }
}

/// Synchronizes the store with what the daemons know until the daemon shuts down.
pub(super) async fn run(gw: Arc<Gateway>) {
    let stop = gw.stop.finished.clone();
    let mut sync = StoreSync::default();
    loop {
        tokio::select! {
            () = tokio::time::sleep(SYNC_INTERVAL) => sync.reconcile(&gw).await,
            () = stop.cancelled() => return,
        }
    }
}

/// An entry as it is in the store.
#[derive(Debug)]
struct StoredEntry {
    key: String,
    revision: i64,
    kind: EntryKind,
    content: ContentHash,
    /// Number of crashes that a suspicion lists; 0 for a refusal.
    crashes: usize,
}

impl StoredEntry {
    fn parse(keyspace: &str, entry: &Entry) -> Option<Self> {
        let (kind, content) = EntryKind::parse_key(keyspace, &entry.key)?;
        let crashes = match kind {
            EntryKind::Refused => 0,
            EntryKind::Suspected => serde_json::from_str::<StoredSuspicion>(&entry.value).map_or(0, |s| s.ends.len()),
        };
        Some(Self { key: entry.key.clone(), revision: entry.revision, kind, content, crashes })
    }
}

/// A pending change of the store.
#[derive(Debug)]
struct EntryChange {
    key: String,
    /// Revision of the entry that it replaces; 0 if there must be none.
    expect: i64,
    /// The new entry; `None` removes it.
    value: Option<String>,
    /// Earliest time for the change.
    not_before: Time,
}

/// The refused and suspected requests that this daemon knows of.
#[derive(Debug)]
struct KnownRequests {
    refused: HashMap<ContentHash, Refused>,
    suspected: HashMap<ContentHash, Suspicion>,
}

impl KnownRequests {
    fn contains(&self, kind: EntryKind, content: ContentHash) -> bool {
        match kind {
            EntryKind::Refused => self.refused.contains_key(&content),
            EntryKind::Suspected => self.suspected.contains_key(&content),
        }
    }

    /// The suspicions that should be in the store: those that already are, then those with the most crashes while there
    /// is room.
    fn suspicions_to_store(&self, stored_entries: &[StoredEntry]) -> Vec<(ContentHash, &Suspicion)> {
        let is_stored = |content: ContentHash| {
            stored_entries.iter().any(|entry| entry.kind == EntryKind::Suspected && entry.content == content)
        };
        let mut ranked: Vec<_> = self.suspected.iter().map(|(content, suspicion)| (*content, suspicion)).collect();
        ranked.sort_unstable_by_key(|(content, suspicion)| {
            (!is_stored(*content), usize::MAX - suspicion.crashes.len(), *content)
        });
        ranked.truncate(MAX_STORED_SUSPICIONS);
        ranked
    }
}

/// Synchronization state between two passes.
#[derive(Debug, Default)]
struct StoreSync {
    logged_refusals: HashMap<ContentHash, Refused>,
    /// Earliest time of the next store call, by key.
    due: HashMap<String, Time>,
}

impl StoreSync {
    async fn reconcile(&mut self, gw: &Arc<Gateway>) {
        let now = gw.now();
        let (known, expired) = {
            let crashes = &mut gw.fleet().crashes;
            let expired: HashSet<ContentHash> = crashes.expire(now).into_iter().collect();
            (
                KnownRequests { refused: crashes.refused().collect(), suspected: crashes.suspected(now).collect() },
                expired,
            )
        };
        self.log_changes(&known.refused, &expired, now);
        let stored_entries: Vec<StoredEntry> = {
            let cache = gw.store_cache();
            cache.daemons.values().filter_map(|entry| StoredEntry::parse(&gw.settings.keyspace, entry)).collect()
        };
        let changes = pending_changes(gw, &known, &stored_entries, now);
        self.logged_refusals = known.refused;
        self.due.retain(|key, _| changes.iter().any(|change| change.key == *key));
        for change in changes {
            self.apply(gw, change, now).await;
        }
    }

    fn log_changes(&self, refused: &HashMap<ContentHash, Refused>, expired: &HashSet<ContentHash>, now: Time) {
        for (content, refused) in refused.iter().filter(|(content, _)| !self.logged_refusals.contains_key(content)) {
            emit!(
                warn,
                REQUEST_BLAMED,
                content = %content,
                ends = refused.crashes,
                known_by = refused.known_by.name(),
                age_ms = now.since(refused.since).as_millis(),
                left_ms = refused.until.since(now).as_millis()
            );
        }
        for (content, before) in self.logged_refusals.iter().filter(|(content, _)| !refused.contains_key(content)) {
            let why = if expired.contains(content) { "lapsed" } else { "lifted or answered" };
            emit!(
                warn,
                BLAME_LIFTED,
                content = %content,
                why,
                ends = before.crashes,
                age_ms = now.since(before.since).as_millis()
            );
        }
    }

    /// Makes a change if it is due.
    async fn apply(&mut self, gw: &Gateway, change: EntryChange, now: Time) {
        let due = *self.due.entry(change.key.clone()).or_insert(change.not_before);
        if !due.is_past(now) {
            return;
        }
        self.due.insert(change.key.clone(), now + RETRY_INTERVAL);
        gw.metrics.store_call(StoreCall::Refused);
        let swap = Swap { key: change.key, required_revision: change.expect, value: change.value, lease: None };
        match gw.deps.kv.swap_each(vec![swap]).await.map(|mut swapped| swapped.pop()) {
            Ok(Some(Swapped::Done(_) | Swapped::Differs(_)) | None) => {}
            Err(e) => emit!(info, BLAME_NOT_STORED, why = %e),
        }
    }
}

/// The differences between the store and what this daemon knows.
fn pending_changes(gw: &Gateway, known: &KnownRequests, stored_entries: &[StoredEntry], now: Time) -> Vec<EntryChange> {
    let keyspace = &gw.settings.keyspace;
    let not_before = |own: bool, content: ContentHash| if own { now } else { takeover_at(gw, content, now) };
    let mut changes = Vec::new();
    for (content, refused) in &known.refused {
        let key = EntryKind::Refused.key(keyspace, *content);
        if stored_entries.iter().any(|entry| entry.key == key) {
            continue;
        }
        let since_ms = wall_millis().saturating_sub(now.since(refused.since).as_millis());
        let until_ms = wall_millis() + refused.until.since(now).as_millis();
        let value = serde_json::to_string(&StoredRefusal { ends: refused.crashes, since_ms, until_ms }).ok();
        changes.push(EntryChange {
            key,
            expect: 0,
            value,
            not_before: not_before(refused.known_by == KnownBy::Own, *content),
        });
    }
    for (content, suspicion) in known.suspicions_to_store(stored_entries) {
        let key = EntryKind::Suspected.key(keyspace, content);
        let (expect, crashes) = stored_entries
            .iter()
            .find(|entry| entry.key == key)
            .map_or((0, 0), |entry| (entry.revision, entry.crashes));
        if crashes < suspicion.crashes.len() {
            let value = serde_json::to_string(&StoredSuspicion::new(suspicion)).ok();
            changes.push(EntryChange { key, expect, value, not_before: not_before(suspicion.observed_here, content) });
        }
    }
    let stale = stored_entries.iter().filter(|entry| !known.contains(entry.kind, entry.content));
    changes.extend(stale.map(|entry| EntryChange {
        key: entry.key.clone(),
        expect: entry.revision,
        value: None,
        not_before: takeover_at(gw, entry.content, now),
    }));
    changes.retain(|change| change.value.is_some() || change.expect > 0);
    changes
}

/// Time at which this daemon makes a change that another one should have made by then.
fn takeover_at(gw: &Gateway, content: ContentHash, now: Time) -> Time {
    let max_jitter = TAKEOVER_JITTER_PER_DAEMON.0 * gw.fleet().daemons() as u64;
    now + TAKEOVER_DELAY + Span(rendezvous(content.0, gw.run_id) % max_jitter.max(1))
}

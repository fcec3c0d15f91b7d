//! Stores which requests and which parts of prompts are refused because replicas crash while running them, and which
//! are suspected of crashing replicas.
//!
//! Daemons tell each other about such requests and parts. The store entries serve daemons that start when no other one
//! is left, and operators, who allow a request or part again by removing its entry. The daemon that lost the request at
//! a replica writes the entry; if it cannot, another one does. Suspicions are stored too: otherwise daemons that all
//! restart at once would count from zero and lose as many replicas again.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    sync::Arc,
    time::Duration,
};

use dahliaseam_border::kv::{Entry, Swap, Swapped};
use dahliaseam_core::{
    content::ContentHash,
    fleet::endings::{CrashTracker, KnownBy, Refused, Suspicion},
    hash::rendezvous,
    prompt::PartId,
    time::{Span, Time},
};
use serde::{Deserialize, Serialize};

use crate::{
    clock::wall_millis,
    emit,
    gateway::{endings::log_part_changes, metrics::StoreCall, state::Gateway},
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
/// Maximum number of stored suspicions of requests, and of parts; those with the most crashes are stored. When a rack
/// fails, hundreds of requests lose a replica, some of them twice, and succeed a moment later.
const MAX_STORED_SUSPICIONS: usize = 8;

/// Prefix of the names of parts in keys.
const PART_PREFIX: &str = "part-";

/// What crashes replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Cause {
    /// Requests with this content.
    Request(ContentHash),
    /// Requests with this part in their prompts.
    Part(PartId),
}

impl Cause {
    fn parse(name: &str) -> Option<Self> {
        match name.strip_prefix(PART_PREFIX) {
            Some(part) => u64::from_str_radix(part, 16).ok().map(|part| Self::Part(PartId(part))),
            None => u64::from_str_radix(name, 16).ok().map(|content| Self::Request(ContentHash(content))),
        }
    }

    const fn id(self) -> u64 {
        match self {
            Self::Request(content) => content.0,
            Self::Part(part) => part.0,
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(content) => content.fmt(f),
            Self::Part(part) => write!(f, "{PART_PREFIX}{part}"),
        }
    }
}

/// State that an entry records for a request or a part.
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

    fn key(self, keyspace: &str, cause: Cause) -> String {
        format!("{keyspace}{}{cause}", self.prefix())
    }

    /// Parses the key of a refused or suspected request or part; `None` for any other key.
    fn parse_key(keyspace: &str, key: &str) -> Option<(Self, Cause)> {
        let rest = key.strip_prefix(keyspace)?;
        Self::ALL.into_iter().find_map(|kind| Some((kind, Cause::parse(rest.strip_prefix(kind.prefix())?)?)))
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
    let Some((kind, cause)) = EntryKind::parse_key(&gw.settings.keyspace, &entry.key) else {
        return false;
    };
    let now = gw.now();
    match kind {
        EntryKind::Refused => {
            if let Ok(stored) = serde_json::from_str::<StoredRefusal>(&entry.value) {
                let age = Span::millis(wall_millis().saturating_sub(stored.since_ms));
                let left = Span::millis(stored.until_ms.saturating_sub(wall_millis()));
                if left > Span(0) {
                    let crashes = &mut gw.fleet().crashes;
                    match cause {
                        Cause::Request(content) => {
                            crashes.apply_stored_refusal(content, stored.ends, age, left, now);
                        }
                        Cause::Part(part) => {
                            crashes.parts.apply_stored_refusal(part, stored.ends, age, left, now);
                        }
                    }
                }
            }
        }
        EntryKind::Suspected => {
            if let Ok(stored) = serde_json::from_str::<StoredSuspicion>(&entry.value) {
                let suspicion = stored.to_suspicion();
                let crashes = &mut gw.fleet().crashes;
                match cause {
                    Cause::Request(content) => crashes.apply_stored_suspicion(content, &suspicion, now),
                    Cause::Part(part) => crashes.parts.apply_stored_suspicion(part, &suspicion, now),
                }
            }
        }
    }
    true
}

/// Applies the removal of an entry: an operator allows the request again.
pub(super) fn apply_removal(gw: &Gateway, key: &str) {
    if let Some((EntryKind::Refused, cause)) = EntryKind::parse_key(&gw.settings.keyspace, key) {
        let now = gw.now();
        let crashes = &mut gw.fleet().crashes;
        match cause {
            Cause::Request(content) => crashes.lift(content, now),
            Cause::Part(part) => crashes.parts.lift(part, now),
        };
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
    cause: Cause,
    /// Number of crashes that a suspicion lists; 0 for a refusal.
    crashes: usize,
}

impl StoredEntry {
    fn parse(keyspace: &str, entry: &Entry) -> Option<Self> {
        let (kind, cause) = EntryKind::parse_key(keyspace, &entry.key)?;
        let crashes = match kind {
            EntryKind::Refused => 0,
            EntryKind::Suspected => serde_json::from_str::<StoredSuspicion>(&entry.value).map_or(0, |s| s.ends.len()),
        };
        Some(Self { key: entry.key.clone(), revision: entry.revision, kind, cause, crashes })
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

/// The refused and suspected requests and parts that this daemon knows of.
#[derive(Debug)]
struct KnownCauses {
    refused: HashMap<Cause, Refused>,
    suspected: HashMap<Cause, Suspicion>,
}

impl KnownCauses {
    fn of(crashes: &CrashTracker, now: Time) -> Self {
        let requests = crashes.refused().map(|(content, refused)| (Cause::Request(content), refused));
        let parts = crashes.parts.refused().map(|(part, refused)| (Cause::Part(part), refused));
        let suspected_requests = crashes.suspected(now).map(|(content, s)| (Cause::Request(content), s));
        let suspected_parts = crashes.parts.suspected(now).map(|(part, s)| (Cause::Part(part), s));
        Self {
            refused: requests.chain(parts).collect(),
            suspected: suspected_requests.chain(suspected_parts).collect(),
        }
    }

    /// Numbers of suspected and of refused parts.
    fn part_counts(&self) -> (usize, usize) {
        let is_part = |cause: &&Cause| matches!(cause, Cause::Part(_));
        (self.suspected.keys().filter(is_part).count(), self.refused.keys().filter(is_part).count())
    }

    fn contains(&self, kind: EntryKind, cause: Cause) -> bool {
        match kind {
            EntryKind::Refused => self.refused.contains_key(&cause),
            EntryKind::Suspected => self.suspected.contains_key(&cause),
        }
    }

    /// The suspicions that should be in the store: those that already are, then those with the most crashes while there
    /// is room.
    fn suspicions_to_store(&self, stored_entries: &[StoredEntry]) -> Vec<(Cause, &Suspicion)> {
        let is_stored = |cause: Cause| {
            stored_entries.iter().any(|entry| entry.kind == EntryKind::Suspected && entry.cause == cause)
        };
        let mut ranked: Vec<_> = self.suspected.iter().map(|(cause, suspicion)| (*cause, suspicion)).collect();
        ranked.sort_unstable_by_key(|(cause, suspicion)| {
            (!is_stored(*cause), usize::MAX - suspicion.crashes.len(), *cause)
        });
        let (mut parts, mut requests): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|(cause, _)| matches!(cause, Cause::Part(_)));
        parts.truncate(MAX_STORED_SUSPICIONS);
        requests.truncate(MAX_STORED_SUSPICIONS);
        parts.extend(requests);
        parts
    }
}

/// Synchronization state between two passes.
#[derive(Debug, Default)]
struct StoreSync {
    logged_refusals: HashMap<Cause, Refused>,
    /// Earliest time of the next store call, by key.
    due: HashMap<String, Time>,
}

impl StoreSync {
    async fn reconcile(&mut self, gw: &Arc<Gateway>) {
        let now = gw.now();
        let (known, expired) = {
            let crashes = &mut gw.fleet().crashes;
            let mut expired: HashSet<Cause> = crashes.expire(now).into_iter().map(Cause::Request).collect();
            expired.extend(crashes.parts.expire(now).into_iter().map(Cause::Part));
            (KnownCauses::of(crashes, now), expired)
        };
        let (suspected_parts, refused_parts) = known.part_counts();
        gw.metrics.accused_parts(suspected_parts, refused_parts);
        log_part_changes(gw);
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

    fn log_changes(&self, refused: &HashMap<Cause, Refused>, expired: &HashSet<Cause>, now: Time) {
        for (cause, refused) in refused.iter().filter(|(cause, _)| !self.logged_refusals.contains_key(cause)) {
            let (ends, known_by) = (refused.crashes, refused.known_by.name());
            let (age_ms, left_ms) = (now.since(refused.since).as_millis(), refused.until.since(now).as_millis());
            match cause {
                Cause::Request(content) => {
                    emit!(warn, REQUEST_BLAMED, content = %content, ends, known_by, age_ms, left_ms);
                }
                Cause::Part(part) => {
                    let unambiguous = refused.unambiguous;
                    emit!(warn, PART_BLAMED, part = %part, ends, known_by, unambiguous, age_ms, left_ms);
                }
            }
        }
        for (cause, before) in self.logged_refusals.iter().filter(|(cause, _)| !refused.contains_key(cause)) {
            let why = if expired.contains(cause) { "lapsed" } else { "lifted or answered" };
            emit!(
                warn,
                BLAME_LIFTED,
                content = %cause,
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
fn pending_changes(gw: &Gateway, known: &KnownCauses, stored_entries: &[StoredEntry], now: Time) -> Vec<EntryChange> {
    let keyspace = &gw.settings.keyspace;
    let not_before = |own: bool, cause: Cause| if own { now } else { takeover_at(gw, cause, now) };
    let mut changes = Vec::new();
    for (cause, refused) in &known.refused {
        let key = EntryKind::Refused.key(keyspace, *cause);
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
            not_before: not_before(refused.known_by == KnownBy::Own, *cause),
        });
    }
    for (cause, suspicion) in known.suspicions_to_store(stored_entries) {
        let key = EntryKind::Suspected.key(keyspace, cause);
        let (expect, crashes) = stored_entries
            .iter()
            .find(|entry| entry.key == key)
            .map_or((0, 0), |entry| (entry.revision, entry.crashes));
        if crashes < suspicion.crashes.len() {
            let value = serde_json::to_string(&StoredSuspicion::new(suspicion)).ok();
            changes.push(EntryChange { key, expect, value, not_before: not_before(suspicion.observed_here, cause) });
        }
    }
    let stale = stored_entries.iter().filter(|entry| !known.contains(entry.kind, entry.cause));
    changes.extend(stale.map(|entry| EntryChange {
        key: entry.key.clone(),
        expect: entry.revision,
        value: None,
        not_before: takeover_at(gw, entry.cause, now),
    }));
    changes.retain(|change| change.value.is_some() || change.expect > 0);
    changes
}

/// Time at which this daemon makes a change that another one should have made by then.
fn takeover_at(gw: &Gateway, cause: Cause, now: Time) -> Time {
    let max_jitter = TAKEOVER_JITTER_PER_DAEMON.0 * gw.fleet().daemons() as u64;
    now + TAKEOVER_DELAY + Span(rendezvous(cause.id(), gw.run_id) % max_jitter.max(1))
}

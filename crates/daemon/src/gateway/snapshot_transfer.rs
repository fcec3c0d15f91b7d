//! Updates of the store cache, fetched from peers.
//!
//! The store may be unreachable for some VMs while it serves others, and in large deployments only a few daemons watch
//! it. Load reports tell up to which revision each daemon has read the store; a daemon that cannot reach it, or leaves
//! watching to others, fetches the changes from a peer that is ahead. A peer whose link is busy says so, and the daemon
//! asks another one: with each round more daemons have the update.
//!
//! Updates are compressed: a configuration with many routes is repetitive text, and small links would need seconds to
//! serve a hall.

use std::{
    io::{BufReader, Read},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use dahliaseam_border::{
    error::CallError,
    feed::{Change, Snapshot},
    http::{HttpClient, Reuse},
    kv::Entry,
};
use dahliaseam_core::{revision, time::Span};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use crate::{
    clock::duration,
    emit,
    gateway::{state::Gateway, store_entries},
};

/// Path of updates at a daemon's peer address.
pub(super) const STATE_PATH: &str = "/state";
/// Interval between two checks whether an update is needed.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time without an answer from the store after which a peer is asked. Before that the store is preferred: it responds
/// within milliseconds, and its data is newer.
const STORE_SILENCE_TIMEOUT: Span = Span::millis(600);
/// Time limit for a peer's response. A large configuration takes some hundred milliseconds on a small link, and other
/// daemons of the hall ask at the same time.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum interval between two updates. While entries change continuously, each update carries all changes since the
/// last one instead of a few entries.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum delay before another peer is asked if one did not respond.
const PEER_FALLBACK_DELAY: Span = Span::millis(50);
/// Interval between two requests to seeds while no daemon is known to be ahead. The store may not contain a
/// configuration yet, in which case all daemons ask.
const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum bytes of an unpacked update: a few times the largest value of the store.
const MAX_UPDATE_BYTES: u64 = 8 << 20;

/// What a daemon has read from the store: all of it, or the changes after a revision.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct CacheUpdate {
    /// Revision up to which nothing is missing.
    pub(super) revision: i64,
    /// Whether `entries` contains all entries; otherwise only changed ones.
    pub(super) whole: bool,
    pub(super) entries: Vec<CachedEntry>,
    /// Removed keys, with the revisions of their removal.
    pub(super) removed: Vec<(String, i64)>,
    /// Milliseconds for which entries that lapsed while the store was unreachable may still come back.
    pub(super) grace_ms: u64,
    /// Removals up to this revision may be such lapses.
    #[serde(default)]
    pub(super) lapsed_up_to: i64,
    /// The era in which it was compared with what was known before.
    #[serde(default)]
    pub(super) merged_era: i64,
    /// Whether the store was read up to date for it.
    #[serde(default)]
    pub(super) is_confirmed: bool,
}

impl CacheUpdate {
    /// Encodes the update for sending.
    pub(super) fn pack(&self) -> Result<Vec<u8>, CallError> {
        let unsent = |e: &dyn std::error::Error| CallError::NotSent(e.to_string());
        let mut packed = DeflateEncoder::new(Vec::new(), Compression::fast());
        serde_json::to_writer(&mut packed, self).map_err(|e| unsent(&e))?;
        packed.finish().map_err(|e| unsent(&e))
    }

    /// Decodes a received update.
    fn unpack(packed: &[u8]) -> Result<Self, CallError> {
        let text = DeflateDecoder::new(packed).take(MAX_UPDATE_BYTES);
        serde_json::from_reader(BufReader::new(text))
            .map_err(|e| CallError::Lost(format!("the update is unreadable: {e}")))
    }
}

/// An entry of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct CachedEntry {
    key: String,
    value: String,
    revision: i64,
}

impl From<&Entry> for CachedEntry {
    fn from(entry: &Entry) -> Self {
        Self { key: entry.key.clone(), value: entry.value.clone(), revision: entry.revision }
    }
}

impl From<CachedEntry> for Entry {
    fn from(cached: CachedEntry) -> Self {
        Self { key: cached.key, value: cached.value, revision: cached.revision }
    }
}

/// Fetches updates from peers while this daemon does not watch the store or the store does not answer.
pub(super) async fn run(gw: Arc<Gateway>) {
    let stop = gw.stop.finished.clone();
    tokio::select! {
        () = keep_updated(&gw) => {}
        () = stop.cancelled() => {}
    }
}

async fn keep_updated(gw: &Arc<Gateway>) {
    let client = HttpClient::new(Reuse::Fresh);
    loop {
        let _ = tokio::time::timeout(POLL_INTERVAL, gw.peer_ahead.notified()).await;
        if !is_needed(gw) {
            continue;
        }
        match choose_source(gw) {
            Some(UpdateSource::Ahead(from)) if !update_from(gw, &client, from).await => {
                // Other daemons ask the same peer, or it is gone; by now more peers may have the update.
                gw.peer_ahead.notify_one();
                tokio::time::sleep(duration(PEER_FALLBACK_DELAY) + duration(Span(gw.random() % PEER_FALLBACK_DELAY.0)))
                    .await;
            }
            Some(UpdateSource::Seed(from)) => {
                let _ = update_from(gw, &client, from).await;
                tokio::time::sleep(SEED_RETRY_INTERVAL).await;
            }
            Some(UpdateSource::Merged(from)) => {
                merge_from(gw, &client, from).await;
                tokio::time::sleep(TRANSFER_INTERVAL).await;
            }
            Some(UpdateSource::Ahead(_)) => tokio::time::sleep(TRANSFER_INTERVAL).await,
            None => {}
        }
    }
}

/// The peer to ask.
#[derive(Clone, Copy, Debug)]
enum UpdateSource {
    /// A peer that has read the store further.
    Ahead(SocketAddr),
    /// A peer that knows what the store's copy lacks, while this daemon has read only the copy.
    Merged(SocketAddr),
    /// A seed from the settings, while no daemon is known to be ahead.
    Seed(SocketAddr),
}

fn is_needed(gw: &Gateway) -> bool {
    let now = gw.now();
    let cache = gw.store_cache();
    let lacks_merge = gw.peers.merged_in(revision::era(cache.revision), now).is_some() && !cache.is_merged();
    !cache.watching || lacks_merge || cache.unreachable_for(now).is_some_and(|time| time > STORE_SILENCE_TIMEOUT)
}

/// A peer that is ahead; a random seed while nothing is known at all.
fn choose_source(gw: &Gateway) -> Option<UpdateSource> {
    let (revision, is_complete, is_merged) = {
        let cache = gw.store_cache();
        (cache.revision, cache.is_complete(), cache.is_merged())
    };
    if is_complete
        && !is_merged
        && let Some(merged) = gw.peers.merged_in(revision::era(revision), gw.now())
    {
        return Some(UpdateSource::Merged(merged));
    }
    if let Some(ahead) = gw.peers.ahead_of(revision, gw.hall, gw.random(), gw.now()) {
        return Some(UpdateSource::Ahead(ahead));
    }
    if is_complete {
        return None;
    }
    let own = gw.settings.peer_address;
    let seeds: Vec<SocketAddr> = gw.seeds().into_iter().filter(|seed| *seed != own).collect();
    let index = gw.random() as usize % seeds.len().max(1);
    seeds.get(index).copied().map(UpdateSource::Seed)
}

fn apply_update(gw: &Arc<Gateway>, update: CacheUpdate) {
    let is_confirmed = update.is_confirmed;
    apply_entries(gw, update);
    gw.store_cache().is_confirmed |= is_confirmed;
}

fn apply_entries(gw: &Arc<Gateway>, update: CacheUpdate) {
    gw.store_cache().set_grace(gw.now() + Span::millis(update.grace_ms), update.lapsed_up_to);
    let entries = update.entries.into_iter().map(Entry::from);
    if update.whole {
        let revision = update.revision;
        let entries = entries.collect();
        store_entries::apply_snapshot(gw, Snapshot { entries, revision, newest: revision, ..Snapshot::default() });
        let mut cache = gw.store_cache();
        cache.merged_era = cache.merged_era.max(update.merged_era);
        return;
    }
    for entry in entries {
        store_entries::apply_unless_outdated(gw, Change::Put(entry));
    }
    for (key, revision) in update.removed {
        store_entries::apply(gw, Change::Removed { key, revision });
    }
    gw.store_cache().advance(update.revision);
}

/// Fetches an update from one peer and applies it; returns whether the peer responded.
async fn update_from(gw: &Arc<Gateway>, client: &HttpClient, from: SocketAddr) -> bool {
    let after = gw.store_cache().revision;
    match fetch_update(client, from, after).await {
        Ok(update) if update.revision > gw.store_cache().revision => {
            log_update(from, after, &update);
            apply_update(gw, update);
            true
        }
        Ok(_) => true,
        Err(e) => {
            emit!(info, NOT_BORROWED, peer = %from, why = %e);
            false
        }
    }
}

fn log_update(from: SocketAddr, after: i64, update: &CacheUpdate) {
    emit!(
        info,
        BORROWED,
        peer = %from,
        after_era = revision::era(after),
        after = revision::number(after),
        era = revision::era(update.revision),
        revision = revision::number(update.revision),
        whole = update.whole,
        entries = update.entries.len()
    );
}

/// Fetches all that a peer knows, and prefers it to what was read from the store's copy.
async fn merge_from(gw: &Arc<Gateway>, client: &HttpClient, from: SocketAddr) {
    match fetch_update(client, from, 0).await {
        Ok(update) if update.whole && update.merged_era == revision::era(gw.store_cache().revision) => {
            log_update(from, 0, &update);
            store_entries::apply_merged(gw, update);
        }
        Ok(_) => {}
        Err(e) => emit!(info, NOT_BORROWED, peer = %from, why = %e),
    }
}

async fn fetch_update(client: &HttpClient, from: SocketAddr, after: i64) -> Result<CacheUpdate, CallError> {
    let url = format!("http://{from}{STATE_PATH}?after={after}");
    let req = Request::get(url).body(Full::default()).map_err(|e| CallError::NotSent(e.to_string()))?;
    match client.fetch(req, RESPONSE_TIMEOUT).await? {
        (StatusCode::OK, packed) => CacheUpdate::unpack(&packed),
        (status, _) => Err(CallError::Lost(format!("status {status}"))),
    }
}

//! Updates of the store cache, taken from another daemon.
//!
//! The store may turn some VMs away and serve the others, and where there are many daemons only a few watch
//! it. Reports between daemons tell how far each has followed the store; one that is cut off, or leaves
//! watching to others, fetches what changed from a peer that is ahead. One whose link is busy with other
//! updates says so, and the asker goes to another: with each round more daemons have the update.
//!
//! Updates are packed: a configuration of many routes is text that repeats itself, and small links would
//! need seconds for a hall.

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
use dahliaseam_core::time::Span;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::{Deserialize, Serialize};

use crate::{
    clock::duration,
    emit,
    gateway::{state::Gateway, store_watch},
};

/// Path of updates on a daemon's peer address.
pub(super) const STATE_PATH: &str = "/state";
/// Time between two checks whether an update is needed.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Silence of the store after which another daemon is asked. The store itself answers in
/// milliseconds, and what it says is newer.
const STORE_SILENCE_TIMEOUT: Span = Span::millis(600);
/// Time for another daemon's answer. A large configuration takes a small link some hundred
/// milliseconds, and others of the hall ask at the same time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest time between two updates. While entries change all the time, each brings what changed since the last
/// one instead of a few entries.
const TRANSFER_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time until another daemon is asked where one did not answer.
const PEER_FALLBACK_DELAY: Span = Span::millis(50);
/// Time between two probes to seeds while no daemon is known to be ahead. The store may not hold
/// a configuration yet, and then all of them ask.
const SEED_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes of an unpacked update at most: the largest value of the store a few times over.
const MAX_UPDATE_BYTES: u64 = 8 << 20;

/// What a daemon has read from the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct CacheUpdate {
    /// Revision up to which nothing is missing.
    pub(super) revision: i64,
    /// Whether these are all entries; otherwise those that changed.
    pub(super) whole: bool,
    /// The entries.
    pub(super) entries: Vec<CachedEntry>,
    /// Keys that were removed, with the revisions at which they were.
    pub(super) removed: Vec<(String, i64)>,
    /// Milliseconds for which entries that lapsed while the store was away may still come back.
    pub(super) grace_ms: u64,
    /// Removals up to this revision may be such lapses.
    #[serde(default)]
    pub(super) lapsed_up_to: i64,
}

impl CacheUpdate {
    /// The update as it is sent.
    pub(super) fn pack(&self) -> Result<Vec<u8>, CallError> {
        let unsent = |e: &dyn std::error::Error| CallError::NotSent(e.to_string());
        let mut packed = DeflateEncoder::new(Vec::new(), Compression::fast());
        serde_json::to_writer(&mut packed, self).map_err(|e| unsent(&e))?;
        packed.finish().map_err(|e| unsent(&e))
    }

    /// Read an update that was sent.
    fn unpack(packed: &[u8]) -> Result<Self, CallError> {
        let text = DeflateDecoder::new(packed).take(MAX_UPDATE_BYTES);
        serde_json::from_reader(BufReader::new(text))
            .map_err(|e| CallError::Lost(format!("the update is unreadable: {e}")))
    }
}

/// One entry.
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

/// Ask other daemons whenever the store does not answer.
pub(super) async fn run(gw: Arc<Gateway>) {
    let stop = gw.stop.finished.clone();
    tokio::select! {
        () = watch(&gw) => {}
        () = stop.cancelled() => {}
    }
}

async fn watch(gw: &Arc<Gateway>) {
    let client = HttpClient::new(Reuse::Fresh);
    loop {
        let _ = tokio::time::timeout(POLL_INTERVAL, gw.peer_ahead.notified()).await;
        if !is_needed(gw) {
            continue;
        }
        match choose_source(gw) {
            Some(Source::Ahead(from)) if !update_from(gw, &client, from).await => {
                // Others ask it too, or it is gone; by now more daemons may have it.
                gw.peer_ahead.notify_one();
                tokio::time::sleep(duration(PEER_FALLBACK_DELAY) + duration(Span(gw.random() % PEER_FALLBACK_DELAY.0)))
                    .await;
            }
            Some(Source::Seed(from)) => {
                let _ = update_from(gw, &client, from).await;
                tokio::time::sleep(SEED_RETRY_INTERVAL).await;
            }
            Some(Source::Ahead(_)) => tokio::time::sleep(TRANSFER_INTERVAL).await,
            None => {}
        }
    }
}

/// Which daemon to ask.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// One that has followed the store further.
    Ahead(SocketAddr),
    /// Any of those in the settings, while none is known to be ahead.
    Seed(SocketAddr),
}

fn is_needed(gw: &Gateway) -> bool {
    let now = gw.now();
    let cache = gw.store_cache();
    !cache.watching || cache.unreachable_for(now).is_some_and(|silent| silent > STORE_SILENCE_TIMEOUT)
}

/// A daemon that is ahead; any seed while nothing is known at all.
fn choose_source(gw: &Gateway) -> Option<Source> {
    let (revision, is_complete) = {
        let cache = gw.store_cache();
        (cache.revision, cache.is_complete())
    };
    if let Some(ahead) = gw.peers.ahead_of(revision, gw.hall, gw.random(), gw.now()) {
        return Some(Source::Ahead(ahead));
    }
    if is_complete {
        return None;
    }
    let own = gw.settings.peer_address;
    let seeds: Vec<SocketAddr> = gw.seeds().into_iter().filter(|seed| *seed != own).collect();
    let index = gw.random() as usize % seeds.len().max(1);
    seeds.get(index).copied().map(Source::Seed)
}

fn apply_update(gw: &Arc<Gateway>, update: CacheUpdate) {
    gw.store_cache().set_grace(gw.now() + Span::millis(update.grace_ms), update.lapsed_up_to);
    let entries = update.entries.into_iter().map(Entry::from);
    if update.whole {
        store_watch::apply_snapshot(gw, Snapshot { entries: entries.collect(), revision: update.revision });
        return;
    }
    for entry in entries {
        store_watch::apply(gw, Change::Put(entry));
    }
    for (key, revision) in update.removed {
        store_watch::apply(gw, Change::Removed { key, revision });
    }
    gw.store_cache().advance(update.revision);
}

/// Ask one daemon; returns whether it answered.
async fn update_from(gw: &Arc<Gateway>, client: &HttpClient, from: SocketAddr) -> bool {
    let after = gw.store_cache().revision;
    match fetch_update(client, from, after).await {
        Ok(update) if update.revision > gw.store_cache().revision => {
            let (revision, whole) = (update.revision, update.whole);
            emit!(info, BORROWED, peer = %from, after, revision, whole, entries = update.entries.len());
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

async fn fetch_update(client: &HttpClient, from: SocketAddr, after: i64) -> Result<CacheUpdate, CallError> {
    let url = format!("http://{from}{STATE_PATH}?after={after}");
    let req = Request::get(url).body(Full::default()).map_err(|e| CallError::NotSent(e.to_string()))?;
    match client.fetch(req, ANSWER_TIMEOUT).await? {
        (StatusCode::OK, packed) => CacheUpdate::unpack(&packed),
        (status, _) => Err(CallError::Lost(format!("status {status}"))),
    }
}

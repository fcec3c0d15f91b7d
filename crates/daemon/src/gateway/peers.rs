//! What daemons tell each other: the work that each has under way, in small datagrams.
//!
//! Daemons find each other through keys in the store that end with a lease, and through the
//! datagrams themselves. A daemon that cannot reach the store asks a peer for what it has read.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dahliaseam_border::{
    error::CallError,
    kv::{Entry, LeaseId, Swap, Swapped},
};
use dahliaseam_core::{
    fleet::peers::News,
    time::{Span, Time},
};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use crate::{
    emit,
    gateway::{attempt::duration, state::Gateway},
};

/// Shortest time between two messages. A prompt takes an engine some tens of milliseconds, so
/// older news would send two daemons to the same engine.
const SHORTEST: Duration = Duration::from_millis(10);
/// Time between two messages for each daemon that is told. It bounds what a daemon sends to some
/// 500 packets a second and 90 kB, however many there are.
const EACH: Duration = Duration::from_millis(2);
/// Longest time between two messages, so that silence means something.
const LONGEST: Duration = Duration::from_millis(400);
/// Daemons of a hall that follow the store; the others learn from them. Each call counts, and
/// one or two of them may be gone at any time.
const FOLLOWERS: usize = 3;
/// Silence, of a daemon or of the store to it, after which it no longer counts as one that follows.
const FOLLOWER_SILENT: Span = Span::millis(1_000);
/// Largest message that is read.
const MAX_MESSAGE: usize = 8 << 10;
/// Life of the lease under which a daemon is listed, in seconds. It must bridge a few lost calls.
const LISTED_S: u64 = 10;
/// Time between two renewals.
const RENEW: Duration = Duration::from_secs(3);
/// Time after which a daemon that is neither listed nor heard is no longer told anything.
const FORGET: Span = Span::millis(5_000);

/// One message.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    /// The run of the daemon that sends it.
    sender: u64,
    /// Number of this message.
    number: u64,
    /// Where the sender's state can be read.
    state: SocketAddr,
    /// Revision up to which the sender has followed the store.
    revision: i64,
    /// Hash of the sender's hall.
    hall: u32,
    /// Milliseconds since the store last answered the sender itself, if it follows the store.
    store_age_ms: Option<u32>,
    news: News,
}

/// How a daemon is listed in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Listing {
    /// Where it takes messages.
    load: SocketAddr,
}

/// What another daemon last said of itself.
#[derive(Clone, Copy, Debug)]
struct Seen {
    at: Time,
    sender: u64,
    state: SocketAddr,
    revision: i64,
    hall: u32,
    /// When the store last answered it, if it follows the store.
    followed_at: Option<Time>,
}

/// Other daemons, by where they take messages.
#[derive(Debug, Default)]
pub(super) struct Peers {
    seen: Mutex<HashMap<SocketAddr, Seen>>,
    /// Where those take messages that are listed in the store, by key.
    listed: Mutex<HashMap<String, SocketAddr>>,
}

impl Peers {
    /// Where the state of a daemon can be read that has followed the store beyond `revision`,
    /// best one in the same hall.
    pub(super) fn ahead_of(&self, revision: i64, hall: u32) -> Option<SocketAddr> {
        let seen = self.lock();
        let ahead = seen.values().filter(|peer| peer.revision > revision);
        ahead.max_by_key(|peer| (peer.hall == hall, peer.revision)).map(|peer| peer.state)
    }

    /// Whether enough other daemons of the hall follow the store, so that this one need not.
    pub(super) fn followed(&self, own: u64, hall: u32, now: Time) -> bool {
        let fresh = |at: Time| now.since(at) < FOLLOWER_SILENT;
        let seen = self.lock();
        let followers = seen.values().filter(|peer| {
            let following = peer.followed_at.is_some_and(fresh) && fresh(peer.at);
            following && peer.hall == hall && peer.sender < own
        });
        followers.count() >= FOLLOWERS
    }

    /// Note a message; returns whether it is the first of that daemon.
    fn hear(&self, from: SocketAddr, message: &Message, now: Time) -> bool {
        let age = message.store_age_ms.map(|ms| Span::millis(u64::from(ms)));
        let seen = Seen {
            at: now,
            sender: message.sender,
            state: message.state,
            revision: message.revision,
            hall: message.hall,
            followed_at: age.map(|age| now - age),
        };
        self.lock().insert(from, seen).is_none()
    }

    /// Note an entry of the store; those that list no daemon are of no interest here.
    pub(super) fn list(&self, entry: &Entry) {
        if let Ok(listing) = serde_json::from_str::<Listing>(&entry.value) {
            self.listed().insert(entry.key.clone(), listing.load);
        }
    }

    /// Note that an entry of the store is gone.
    pub(super) fn unlist(&self, key: &str) {
        self.listed().remove(key);
    }

    /// All that are to be told: listed, or heard of lately.
    fn all(&self, own: SocketAddr, now: Time) -> Vec<SocketAddr> {
        let mut seen = self.lock();
        seen.retain(|_, peer| now.since(peer.at) < FORGET);
        let listed = self.listed();
        let known = seen.keys().copied().chain(listed.values().copied());
        let mut all: Vec<SocketAddr> = known.filter(|address| *address != own).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    fn listed(&self) -> MutexGuard<'_, HashMap<String, SocketAddr>> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn prefix(gw: &Gateway) -> String {
    format!("{}daemons/", gw.settings.keyspace)
}

/// Tell and hear until the daemon is over.
pub(super) async fn run(gw: Arc<Gateway>, socket: UdpSocket) {
    let over = gw.stop.over.clone();
    tokio::select! {
        () = tell(&gw, &socket) => {}
        () = hear(&gw, &socket) => {}
        () = be_listed(&gw) => {}
        () = over.cancelled() => {}
    }
}

async fn tell(gw: &Gateway, socket: &UdpSocket) {
    let mut number = 0;
    loop {
        let _ = tokio::time::timeout(LONGEST, gw.load_changed.notified()).await;
        number += 1;
        let news = gw.fleet().own_news(gw.now());
        let message = message(gw, number, news);
        let told = gw.peers.all(gw.settings.load_address, gw.now());
        match postcard::to_allocvec(&message) {
            Ok(bytes) => send(gw, socket, &told, &bytes).await,
            Err(e) => emit!(error, PEER_MESSAGE_LOST, why = %e),
        }
        tokio::time::sleep(SHORTEST.max(EACH * told.len() as u32)).await;
    }
}

fn message(gw: &Gateway, number: u64, news: News) -> Message {
    let now = gw.now();
    let copies = gw.copies();
    let age = copies.following.then(|| now.since(copies.heard).as_millis() as u32);
    Message {
        sender: gw.start,
        number,
        state: gw.settings.peer_address,
        revision: copies.revision,
        hall: gw.hall,
        store_age_ms: age,
        news,
    }
}

async fn send(gw: &Gateway, socket: &UdpSocket, to: &[SocketAddr], bytes: &[u8]) {
    for address in to {
        match socket.send_to(bytes, address).await {
            Ok(_) => gw.metrics.peer_message("sent"),
            Err(e) => emit!(debug, PEER_MESSAGE_LOST, peer = %address, why = %e),
        }
    }
}

async fn hear(gw: &Gateway, socket: &UdpSocket) {
    let mut buf = vec![0; MAX_MESSAGE];
    loop {
        let (len, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                // An earlier message met a closed port; nothing was received.
                emit!(debug, PEER_MESSAGE_LOST, why = %e);
                tokio::time::sleep(SHORTEST).await;
                continue;
            }
        };
        let message = match postcard::from_bytes::<Message>(&buf[..len]) {
            Ok(message) => message,
            Err(e) => {
                emit!(warn, PEER_MESSAGE_LOST, peer = %from, why = %e);
                continue;
            }
        };
        if message.sender == gw.start {
            continue;
        }
        gw.metrics.peer_message("received");
        let now = gw.now();
        if gw.peers.hear(from, &message, now) {
            emit!(info, PEER_HEARD, peer = %from, sender = message.sender, revision = message.revision);
        }
        if message.revision > gw.copies().revision {
            gw.peer_ahead.notify_one();
        }
        gw.fleet().peer_news(message.sender, message.number, &message.news, now);
    }
}

/// Keep this daemon listed in the store.
async fn be_listed(gw: &Gateway) {
    let key = format!("{}{}", prefix(gw), gw.settings.vm);
    let mut lease = None;
    loop {
        lease = match list_once(gw, &key, lease).await {
            Ok(lease) => Some(lease),
            Err(e) => {
                emit!(info, NOT_LISTED, key, why = %e);
                lease
            }
        };
        tokio::time::sleep(RENEW + duration(Span(gw.draw() % Span::millis(500).0))).await;
    }
}

async fn list_once(gw: &Gateway, key: &str, lease: Option<LeaseId>) -> Result<LeaseId, CallError> {
    let kv = &gw.outside.kv;
    let present = gw.copies().daemons.get(key).cloned();
    if let Some(lease) = lease
        && present.is_some()
        && kv.keep_alive(lease).await?
    {
        return Ok(lease);
    }
    let lease = kv.grant(LISTED_S).await?;
    let listing = Listing { load: gw.settings.load_address };
    let value = serde_json::to_string(&listing).map_err(|e| CallError::NotSent(e.to_string()))?;
    let mut expect = present.map_or(0, |entry| entry.revision);
    loop {
        let swap = Swap { key: key.to_owned(), expect, value: Some(value.clone()), lease: Some(lease) };
        match kv.swap_each(vec![swap]).await?.pop() {
            Some(Swapped::Differs(other)) => expect = other.map_or(0, |entry| entry.revision),
            Some(Swapped::Done(_)) | None => return Ok(lease),
        }
    }
}

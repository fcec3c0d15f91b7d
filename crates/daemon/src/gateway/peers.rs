//! What daemons tell each other: the work that each has under way, in small datagrams.
//!
//! Daemons find each other through keys in the store that end with a lease, and through the
//! datagrams themselves. A daemon that cannot reach the store asks a peer for what it has read.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use dahliaseam_border::{
    error::CallError,
    kv::{LeaseId, Swap, Swapped},
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
const SHORTEST: Duration = Duration::from_millis(5);
/// Longest time between two messages, so that silence means something.
const LONGEST: Duration = Duration::from_millis(400);
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
    news: News,
}

/// How a daemon is listed in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Listing {
    /// Where it takes messages.
    load: SocketAddr,
}

/// Other daemons, by where they take messages.
#[derive(Debug, Default)]
struct Peers {
    heard: Mutex<HashMap<SocketAddr, Time>>,
}

impl Peers {
    fn hear(&self, address: SocketAddr, now: Time) -> bool {
        self.heard.lock().unwrap_or_else(PoisonError::into_inner).insert(address, now).is_none()
    }

    /// All that are to be told: listed, or heard of lately.
    fn all(&self, gw: &Gateway) -> Vec<SocketAddr> {
        let now = gw.now();
        let own = gw.settings.load_address;
        let prefix = prefix(gw);
        let listed: Vec<SocketAddr> = gw
            .copies()
            .daemons
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix))
            .filter_map(|(_, entry)| serde_json::from_str::<Listing>(&entry.value).ok())
            .map(|listing| listing.load)
            .collect();
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.retain(|_, at| now.since(*at) < FORGET);
        let mut all: Vec<SocketAddr> = heard.keys().copied().chain(listed).filter(|address| *address != own).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}

fn prefix(gw: &Gateway) -> String {
    format!("{}daemons/", gw.settings.keyspace)
}

/// Tell and hear until the daemon is over.
pub(super) async fn run(gw: Arc<Gateway>, socket: UdpSocket) {
    let peers = Peers::default();
    let over = gw.stop.over.clone();
    tokio::select! {
        () = tell(&gw, &socket, &peers) => {}
        () = hear(&gw, &socket, &peers) => {}
        () = be_listed(&gw) => {}
        () = over.cancelled() => {}
    }
}

async fn tell(gw: &Gateway, socket: &UdpSocket, peers: &Peers) {
    let mut number = 0;
    loop {
        let _ = tokio::time::timeout(LONGEST, gw.load_changed.notified()).await;
        number += 1;
        let news = gw.fleet().own_news(gw.now());
        let revision = gw.copies().revision;
        let message = Message { sender: gw.start, number, state: gw.settings.peer_address, revision, news };
        match postcard::to_allocvec(&message) {
            Ok(bytes) => send(gw, socket, &peers.all(gw), &bytes).await,
            Err(e) => emit!(error, PEER_MESSAGE_LOST, why = %e),
        }
        tokio::time::sleep(SHORTEST).await;
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

async fn hear(gw: &Gateway, socket: &UdpSocket, peers: &Peers) {
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
        if peers.hear(from, now) {
            emit!(info, PEER_HEARD, peer = %from, revision = message.revision);
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

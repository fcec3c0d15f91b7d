//! Load reports between daemons: the work that each has under way, in small datagrams.
//!
//! Daemons find each other through registrations in the store, which end with a lease, and through the
//! datagrams themselves. A few daemons form a full mesh. Where there are many, each reports to those of
//! its hall, and the one with the best link aggregates them: it sends a summary to one daemon of each
//! other hall, drawn anew each time, which relays it in its own hall. So no daemon needs to know the
//! aggregator of another hall, and one that is gone loses one report.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dahliaseam_border::{
    error::CallError,
    kv::{LeaseId, Swap, Swapped},
};
use dahliaseam_core::{
    fleet::peers::{LoadReport, ReportId, Source},
    time::{Span, Time},
    watcher_election::Priority,
};
use serde::{Deserialize, Serialize};

use crate::{
    clock::{duration, wall_millis},
    emit,
    gateway::{
        freshness_probe,
        metrics::StoreCall,
        packet::Packet,
        peer_table::{PeerState, Registration},
        quota,
        state::Gateway,
        usage,
    },
};

/// Shortest time between two reports. A prompt takes an engine some tens of milliseconds, so older reports would send
/// two daemons to the same engine.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum send interval per recipient; caps the packet rate of a daemon.
const SEND_INTERVAL_PER_PEER: Duration = Duration::from_millis(1);
/// Longest time between two reports, so that silence means something.
const MAX_PUBLISH_INTERVAL: Duration = Duration::from_millis(400);
/// Daemons up to which all report to all; with more, reports would be older than a read takes.
const FULL_MESH_DAEMONS: usize = 24;
/// Shortest time between two summaries of a hall. They cross halls, where bytes cost.
const AGGREGATE_INTERVAL: Duration = Duration::from_millis(20);
/// Largest packet that is read; reports stay far below it.
const MAX_PACKET_BYTES: usize = 64 << 10;
/// Life of the lease of a registration, in seconds. It must bridge a few lost calls.
const REGISTRATION_TTL_S: u64 = 10;
/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// One load report, of a daemon or a hall.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ReportPacket {
    /// The run of the daemon that sends it.
    sender: u64,
    /// Number of this report.
    number: u64,
    /// Where the sender's state can be read.
    state: SocketAddr,
    /// Revision up to which the sender has followed the store.
    revision: i64,
    /// Hash of the sender's hall.
    hall: u32,
    /// Megabits a second of the sender's link.
    link_mbps: u32,
    /// Daemons of the hall, if this is its summary; else it reports on the sender alone.
    aggregates: Option<u32>,
    /// Whether a daemon of another hall relays it.
    relayed: bool,
    /// Milliseconds since the store last answered the sender itself, if it watches the store.
    store_age_ms: Option<u32>,
    load: LoadReport,
}

impl ReportPacket {
    /// What the sender says of itself.
    fn seen(&self, now: Time) -> PeerState {
        let age = self.store_age_ms.map(|ms| Span::millis(u64::from(ms)));
        PeerState {
            at: now,
            sender: self.sender,
            state: self.state,
            revision: self.revision,
            hall: self.hall,
            link_mbps: self.link_mbps,
            watched_at: age.map(|age| now - age),
        }
    }
}

/// Prefix of the keys of registrations; the rest is the VM's name.
pub(super) fn prefix(gw: &Gateway) -> String {
    format!("{}daemons/", gw.settings.keyspace)
}

/// Key of the registration of a VM's daemon.
pub(super) fn registration_key(gw: &Gateway, vm: &str) -> String {
    format!("{}{vm}", prefix(gw))
}

/// Publish and receive reports until the daemon is over.
pub(super) async fn run(gw: Arc<Gateway>) {
    let over = gw.stop.over.clone();
    tokio::select! {
        () = publish(&gw) => {}
        () = aggregate(&gw) => {}
        () = receive(&gw) => {}
        () = register(&gw) => {}
        () = over.cancelled() => {}
    }
}

async fn publish(gw: &Gateway) {
    let mut number = 0;
    loop {
        let _ = tokio::time::timeout(MAX_PUBLISH_INTERVAL, gw.load_changed.notified()).await;
        number += 1;
        let now = gw.now();
        let all = gw.peers.all(gw.settings.load_address, now);
        update_slot_share(gw, now);
        let to = recipients(gw, &all);
        let load = gw.fleet().own_report(now);
        publish_to(gw, load_report(gw, number, None, load), &to).await;
        gw.hall_changed.notify_one();
        tokio::time::sleep(MIN_PUBLISH_INTERVAL.max(SEND_INTERVAL_PER_PEER * to.len() as u32)).await;
    }
}

/// Update this daemon's share of rate-limit slots from the registered daemons.
fn update_slot_share(gw: &Gateway, now: Time) {
    let rank = gw.peers.rank(&registration_key(gw, &gw.settings.vm));
    let time_of_day = Time(wall_millis() * MICROS_PER_MILLI);
    let mut fleet = gw.fleet();
    fleet.set_listed(gw.peers.count_registered());
    fleet.set_slot_share(rank, time_of_day.since(now), now);
}

/// Aggregate the hall for the others, whenever one of its daemons has reported something new.
async fn aggregate(gw: &Gateway) {
    let mut number = 0;
    loop {
        let _ = tokio::time::timeout(MAX_PUBLISH_INTERVAL, gw.hall_changed.notified()).await;
        let now = gw.now();
        // Asked first: it is false on all but one of a hall, and the list of all daemons is long.
        if gw.peers.is_aggregator(priority(gw), gw.hall, now)
            && !is_full_mesh(&gw.peers.all(gw.settings.load_address, now))
        {
            number += 1;
            publish_summary(gw, number).await;
        }
        tokio::time::sleep(AGGREGATE_INTERVAL).await;
    }
}

async fn publish_summary(gw: &Gateway, number: u64) {
    let others = gw.peers.one_of_each_hall(gw.hall, gw.draw());
    if others.is_empty() {
        return;
    }
    let (load, daemons) = gw.fleet().hall_summary(gw.now());
    publish_to(gw, load_report(gw, number, Some(daemons), load), &others).await;
}

/// All daemons in a full mesh; else those of the same hall.
fn recipients(gw: &Gateway, all: &[(SocketAddr, u32)]) -> Vec<SocketAddr> {
    if is_full_mesh(all) { all.iter().map(|(address, _)| *address).collect() } else { hall_peers(gw, all) }
}

/// Whether all daemons report to all.
const fn is_full_mesh(all: &[(SocketAddr, u32)]) -> bool {
    all.len() < FULL_MESH_DAEMONS
}

/// The daemons of this hall.
fn hall_peers(gw: &Gateway, all: &[(SocketAddr, u32)]) -> Vec<SocketAddr> {
    all.iter().filter(|(_, hall)| *hall == gw.hall).map(|(address, _)| *address).collect()
}

/// This daemon's priority in elections of its hall.
pub(super) fn priority(gw: &Gateway) -> Priority {
    Priority { link_mbps: gw.settings.link_mbps as u32, run: gw.start }
}

fn load_report(gw: &Gateway, number: u64, aggregates: Option<u32>, load: LoadReport) -> ReportPacket {
    let now = gw.now();
    let cache = gw.store_cache();
    let age = cache.watching.then(|| now.since(cache.heard).as_millis() as u32);
    ReportPacket {
        sender: gw.start,
        number,
        state: gw.settings.peer_address,
        revision: cache.revision,
        hall: gw.hall,
        link_mbps: gw.settings.link_mbps as u32,
        aggregates,
        relayed: false,
        store_age_ms: age,
        load,
    }
}

async fn publish_to(gw: &Gateway, report: ReportPacket, to: &[SocketAddr]) {
    send_packet(gw, &Packet::Report(report), to).await;
}

/// Send one datagram to each of these.
pub(super) async fn send_packet(gw: &Gateway, packet: &Packet, to: &[SocketAddr]) {
    match postcard::to_allocvec(packet) {
        Ok(bytes) => send(gw, to, &bytes).await,
        Err(e) => emit!(error, PEER_MESSAGE_LOST, why = %e),
    }
}

async fn send(gw: &Gateway, to: &[SocketAddr], bytes: &[u8]) {
    for address in to {
        match gw.socket.send_to(bytes, address).await {
            Ok(_) => gw.metrics.peer_message("sent"),
            Err(e) => emit!(debug, PEER_MESSAGE_LOST, peer = %address, why = %e),
        }
    }
}

async fn receive(gw: &Gateway) {
    let mut buf = vec![0; MAX_PACKET_BYTES];
    loop {
        let (len, from) = match gw.socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                // An earlier message met a closed port; nothing was received.
                emit!(debug, PEER_MESSAGE_LOST, why = %e);
                tokio::time::sleep(MIN_PUBLISH_INTERVAL).await;
                continue;
            }
        };
        match postcard::from_bytes::<Packet>(&buf[..len]) {
            Ok(packet) => handle_packet(gw, from, packet).await,
            Err(e) => emit!(warn, PEER_MESSAGE_LOST, peer = %from, why = %e),
        }
    }
}

async fn handle_packet(gw: &Gateway, from: SocketAddr, packet: Packet) {
    match packet {
        Packet::Report(report) => handle_report(gw, from, report).await,
        Packet::Probe { probe } => freshness_probe::answer(gw, from, probe).await,
        Packet::Proof { probe, revision, age_us } => freshness_probe::receive(gw, probe, revision, Span(age_us)),
        Packet::Usage { vm, run, window } => usage::receive(gw, from, vm, run, window).await,
        Packet::AskCredit(request) => quota::answer(gw, from, request).await,
        Packet::Credit(reply) => quota::deliver(gw, reply),
        Packet::UsageAck { fence, window } => usage::acknowledged(gw, fence, window),
    }
}

async fn handle_report(gw: &Gateway, from: SocketAddr, report: ReportPacket) {
    if report.sender == gw.start {
        return;
    }
    gw.metrics.peer_message("received");
    ingest(gw, from, &report);
    if report.aggregates.is_some() && !report.relayed && report.hall != gw.hall {
        relay(gw, report).await;
    }
}

fn ingest(gw: &Gateway, from: SocketAddr, report: &ReportPacket) {
    let now = gw.now();
    if report.relayed {
        gw.peers.note_aggregator(report.seen(now));
    } else if gw.peers.note_peer(from, report.seen(now)) {
        emit!(info, PEER_HEARD, peer = %from, sender = report.sender, revision = report.revision);
        gw.fleet().endings.resend_now(now);
        gw.load_changed.notify_one();
    }
    if report.revision > gw.store_cache().revision {
        gw.peer_ahead.notify_one();
    }
    if report.aggregates.is_none() && report.hall == gw.hall {
        gw.hall_changed.notify_one();
    }
    let source = report.aggregates.map_or(Source::Daemon(report.sender), |_| Source::Hall(report.hall));
    let daemons = report.aggregates.unwrap_or(1);
    let id = ReportId { source, sender: report.sender, number: report.number, hall: report.hall, daemons };
    let mut fleet = gw.fleet();
    for key in fleet.apply_report(id, &report.load, now) {
        let Some(replica) = fleet.get(key) else { continue };
        let (facts, limit) = (&replica.facts, replica.rate_limit());
        emit!(info, REPLICA_LIMIT, replica = %facts.id, hall = %facts.hall, per_second = limit, peer = %from);
    }
}

/// Relay the summary of another hall to this one.
async fn relay(gw: &Gateway, report: ReportPacket) {
    let all = gw.peers.all(gw.settings.load_address, gw.now());
    publish_to(gw, ReportPacket { relayed: true, ..report }, &hall_peers(gw, &all)).await;
}

/// Keep this daemon registered in the store.
async fn register(gw: &Gateway) {
    let key = registration_key(gw, &gw.settings.vm);
    let mut lease = None;
    loop {
        lease = match register_once(gw, &key, lease).await {
            Ok(lease) => Some(lease),
            Err(e) => {
                emit!(info, NOT_LISTED, key, why = %e);
                lease
            }
        };
        gw.pause(RENEW_INTERVAL + duration(Span(gw.draw() % Span::millis(500).0))).await;
    }
}

async fn keep(gw: &Gateway, lease: LeaseId) -> Result<bool, CallError> {
    gw.metrics.store_call(StoreCall::List);
    gw.outside.kv.keep_alive(lease).await
}

async fn register_once(gw: &Gateway, key: &str, lease: Option<LeaseId>) -> Result<LeaseId, CallError> {
    let kv = &gw.outside.kv;
    let present = gw.store_cache().daemons.get(key).cloned();
    if let Some(lease) = lease
        && present.is_some()
        && keep(gw, lease).await?
    {
        return Ok(lease);
    }
    gw.metrics.store_call(StoreCall::List);
    let lease = kv.grant(REGISTRATION_TTL_S).await?;
    let Priority { link_mbps, .. } = priority(gw);
    let registration = Registration { load: gw.settings.load_address, hall: gw.hall, link_mbps };
    let value = serde_json::to_string(&registration).map_err(|e| CallError::NotSent(e.to_string()))?;
    let mut expect = present.map_or(0, |entry| entry.revision);
    loop {
        let swap = Swap { key: key.to_owned(), expect, value: Some(value.clone()), lease: Some(lease) };
        gw.metrics.store_call(StoreCall::List);
        match kv.swap_each(vec![swap]).await?.pop() {
            Some(Swapped::Differs(other)) => expect = other.map_or(0, |entry| entry.revision),
            Some(Swapped::Done(_)) | None => return Ok(lease),
        }
    }
}

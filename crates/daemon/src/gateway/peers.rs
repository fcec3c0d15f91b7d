//! Load reports between daemons: the work that each has in flight, in small datagrams.
//!
//! Daemons discover each other through registrations in the store, which expire with a lease, and through the datagrams
//! themselves. A small number of daemons forms a full mesh. With more daemons, each reports only within its hall, and
//! the daemon with the best link aggregates its hall: it sends a summary to one daemon of each other hall, chosen at
//! random each time, which relays it within its own hall. So no daemon needs to know the aggregator of another hall,
//! and a recipient that is gone costs only one report.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dahliaseam_border::{
    error::CallError,
    kv::{LeaseId, Swap, Swapped},
};
use dahliaseam_core::{
    fleet::peers::{LoadReport, ReportId, Source},
    peer::Peer,
    revision,
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
        origins,
        packet::Packet,
        peer_table::{PeerState, Registration},
        quota,
        state::Gateway,
        usage,
    },
};

/// Minimum interval between two reports. A prompt takes an engine some tens of milliseconds; with older reports, two
/// daemons would send requests to the same engine.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(10);
/// Minimum interval between two reports for each of their recipients; limits the packet rate of a daemon.
const SEND_INTERVAL_PER_PEER: Duration = Duration::from_millis(1);
/// Maximum interval between two reports, so that a daemon that sends none can be considered gone.
const MAX_PUBLISH_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of daemons in a full mesh; with more, reports would be older than a prefill takes.
const FULL_MESH_DAEMONS: usize = 24;
/// Minimum interval between two summaries of a hall. They cross halls, where bytes are expensive.
const AGGREGATE_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum size of a received packet; reports are far smaller.
const MAX_PACKET_BYTES: usize = 64 << 10;
/// TTL of the lease of a registration, in seconds. It must bridge a few lost calls.
const REGISTRATION_TTL_S: u64 = 10;
/// Interval between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

const MICROS_PER_MILLI: u64 = 1_000;

/// A load report of a daemon or a hall.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ReportPacket {
    /// Run identifier of the sending daemon.
    sender: u64,
    /// Sequence number of the report.
    number: u64,
    /// Address at which the sender's state can be read.
    state: SocketAddr,
    /// Revision up to which the sender has read the store.
    revision: i64,
    /// The era in which the sender compared the store with what was known before.
    merged_era: i64,
    /// Hash of the sender's hall.
    hall: u32,
    /// Link speed of the sender, in megabits per second.
    link_mbps: u32,
    /// Number of daemons that a hall summary covers; `None` if the report covers only the sender.
    aggregates: Option<u32>,
    /// Whether it was relayed by a daemon of another hall than the sender's.
    relayed: bool,
    /// Milliseconds since the store last answered the sender itself; `None` if it does not watch the store.
    store_age_ms: Option<u32>,
    load: LoadReport,
}

impl ReportPacket {
    /// State of the sender.
    fn peer_state(&self, now: Time) -> PeerState {
        let age = self.store_age_ms.map(|ms| Span::millis(u64::from(ms)));
        PeerState {
            heard_at: now,
            sender: self.sender,
            state_address: self.state,
            revision: self.revision,
            merged_era: self.merged_era,
            hall: self.hall,
            link_mbps: self.link_mbps,
            watched_at: age.map(|age| now - age),
        }
    }
}

/// Prefix of the registration keys; the rest of a key is the name of the VM.
pub(super) fn registration_prefix(gw: &Gateway) -> String {
    format!("{}daemons/", gw.settings.keyspace)
}

/// Key of the registration of a VM's daemon.
pub(super) fn registration_key(gw: &Gateway, vm: &str) -> String {
    format!("{}{vm}", registration_prefix(gw))
}

/// Publishes and receives reports until the daemon shuts down.
pub(super) async fn run(gw: Arc<Gateway>) {
    let stop = gw.stop.finished.clone();
    tokio::select! {
        () = publish(&gw) => {}
        () = aggregate(&gw) => {}
        () = receive(&gw) => {}
        () = register(&gw) => {}
        () = stop.cancelled() => {}
    }
}

async fn publish(gw: &Gateway) {
    let mut number = 0;
    loop {
        let _ = tokio::time::timeout(MAX_PUBLISH_INTERVAL, gw.load_changed.notified()).await;
        number += 1;
        let now = gw.now();
        let all = gw.peers.all(gw.settings.load_address, now);
        update_rate_limit_share(gw, now);
        let peers = recipients(gw, &all);
        let load = gw.fleet().own_report(now);
        send_report(gw, load_report(gw, number, None, load), &peers).await;
        gw.hall_changed.notify_one();
        tokio::time::sleep(MIN_PUBLISH_INTERVAL.max(SEND_INTERVAL_PER_PEER * peers.len() as u32)).await;
    }
}

/// Updates this daemon's share of rate-limit slots from the registered daemons.
fn update_rate_limit_share(gw: &Gateway, now: Time) {
    let rank = gw.peers.rank(&registration_key(gw, &gw.settings.vm));
    let time_of_day = Time(wall_millis() * MICROS_PER_MILLI);
    let mut fleet = gw.fleet();
    fleet.set_registered_daemons(gw.peers.count_registered());
    fleet.set_rate_limit_share(rank, time_of_day.since(now), now);
}

/// Publishes summaries of the hall to other halls whenever one of its daemons has reported, and at least once in
/// [`MAX_PUBLISH_INTERVAL`].
async fn aggregate(gw: &Gateway) {
    let mut number = 0;
    loop {
        let _ = tokio::time::timeout(MAX_PUBLISH_INTERVAL, gw.hall_changed.notified()).await;
        let now = gw.now();
        // Checked first: it is false for all but one daemon of a hall, and the list of all daemons is long.
        if gw.peers.is_aggregator(priority(gw), gw.hall, now)
            && !is_full_mesh(gw.peers.all(gw.settings.load_address, now).len())
        {
            number += 1;
            publish_summary(gw, number).await;
        }
        tokio::time::sleep(AGGREGATE_INTERVAL).await;
    }
}

async fn publish_summary(gw: &Gateway, number: u64) {
    let others = gw.peers.one_of_each_hall(gw.hall, gw.random());
    if others.is_empty() {
        return;
    }
    let (load, daemons) = gw.fleet().hall_summary(gw.now());
    send_report(gw, load_report(gw, number, Some(daemons), load), &others).await;
}

/// All daemons in a full mesh; otherwise those of the same hall.
fn recipients(gw: &Gateway, all: &[(SocketAddr, u32)]) -> Vec<SocketAddr> {
    if is_full_mesh(all.len()) { all.iter().map(|(address, _)| *address).collect() } else { hall_peers(gw, all) }
}

/// Whether every daemon reports to all others, of which there are `peers`.
const fn is_full_mesh(peers: usize) -> bool {
    peers < FULL_MESH_DAEMONS
}

/// All peers, each with whether it is silent. Only those that report to this daemon can be.
pub(super) fn known_peers(gw: &Gateway) -> Vec<Peer> {
    let all = gw.peers.all_with_heard(gw.settings.load_address, gw.now());
    let is_full_mesh = is_full_mesh(all.len());
    let peer = |(address, hall, is_heard): (SocketAddr, u32, bool)| Peer {
        address,
        hall,
        is_silent: !is_heard && (is_full_mesh || hall == gw.hall),
    };
    all.into_iter().map(peer).collect()
}

/// The daemons of this hall.
fn hall_peers(gw: &Gateway, all: &[(SocketAddr, u32)]) -> Vec<SocketAddr> {
    all.iter().filter(|(_, hall)| *hall == gw.hall).map(|(address, _)| *address).collect()
}

/// This daemon's priority in elections of its hall.
pub(super) fn priority(gw: &Gateway) -> Priority {
    Priority { link_mbps: gw.settings.link_mbps as u32, run: gw.run_id }
}

fn load_report(gw: &Gateway, number: u64, aggregates: Option<u32>, load: LoadReport) -> ReportPacket {
    let now = gw.now();
    let cache = gw.store_cache();
    let age = cache.watching.then(|| now.since(cache.last_answer_at).as_millis() as u32);
    ReportPacket {
        sender: gw.run_id,
        number,
        state: gw.settings.peer_address,
        revision: cache.revision,
        merged_era: cache.merged_era,
        hall: gw.hall,
        link_mbps: gw.settings.link_mbps as u32,
        aggregates,
        relayed: false,
        store_age_ms: age,
        load,
    }
}

async fn send_report(gw: &Gateway, report: ReportPacket, recipients: &[SocketAddr]) {
    send_packet(gw, &Packet::Report(Box::new(report)), recipients).await;
}

/// Sends one datagram to each recipient.
pub(super) async fn send_packet(gw: &Gateway, packet: &Packet, recipients: &[SocketAddr]) {
    match postcard::to_allocvec(packet) {
        Ok(bytes) => send(gw, recipients, &bytes).await,
        Err(e) => emit!(error, PEER_MESSAGE_LOST, why = %e),
    }
}

async fn send(gw: &Gateway, recipients: &[SocketAddr], bytes: &[u8]) {
    for address in recipients {
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
                // An earlier datagram reached a closed port; nothing was received.
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
        Packet::Report(report) => handle_report(gw, from, *report).await,
        Packet::Probe { probe } => freshness_probe::handle_probe(gw, from, probe).await,
        Packet::Proof { probe, revision, age_us } => freshness_probe::handle_proof(gw, probe, revision, Span(age_us)),
        Packet::Usage { vm, run, window } => usage::handle_usage(gw, from, vm, run, window).await,
        Packet::AskCredit(request) => quota::handle_request(gw, from, request).await,
        Packet::Credit(reply) => quota::handle_reply(gw, reply),
        Packet::StreamBegan(began) => origins::handle_began(gw, began),
        Packet::AskOrigin(question) => origins::handle_question(gw, from, question).await,
        Packet::Origin(reply) => origins::handle_reply(gw, from, reply),
        Packet::UsageAck { fence, window } => usage::handle_ack(gw, fence, window),
    }
}

async fn handle_report(gw: &Gateway, from: SocketAddr, report: ReportPacket) {
    if report.sender == gw.run_id {
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
        gw.peers.record_aggregator(report.peer_state(now));
    } else if gw.peers.record_peer(from, report.peer_state(now)) {
        let (era, revision) = (revision::era(report.revision), revision::number(report.revision));
        emit!(info, PEER_HEARD, peer = %from, sender = report.sender, era, revision);
        gw.fleet().crashes.resend_now(now);
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

/// Relays the summary of another hall within this hall.
async fn relay(gw: &Gateway, report: ReportPacket) {
    let all = gw.peers.all(gw.settings.load_address, gw.now());
    send_report(gw, ReportPacket { relayed: true, ..report }, &hall_peers(gw, &all)).await;
}

/// Keeps this daemon registered in the store.
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
        gw.sleep(RENEW_INTERVAL + duration(Span(gw.random() % Span::millis(500).0))).await;
    }
}

async fn renew(gw: &Gateway, lease: LeaseId) -> Result<bool, CallError> {
    gw.metrics.store_call(StoreCall::Register);
    gw.deps.kv.keep_alive(lease).await
}

async fn register_once(gw: &Gateway, key: &str, lease: Option<LeaseId>) -> Result<LeaseId, CallError> {
    let kv = &gw.deps.kv;
    let stored = gw.store_cache().daemons.get(key).cloned();
    if let Some(lease) = lease
        && stored.is_some()
        && renew(gw, lease).await?
    {
        return Ok(lease);
    }
    gw.metrics.store_call(StoreCall::Register);
    let lease = kv.grant(REGISTRATION_TTL_S).await?;
    let Priority { link_mbps, .. } = priority(gw);
    let registration = Registration { load: gw.settings.load_address, hall: gw.hall, link_mbps };
    let value = serde_json::to_string(&registration).map_err(|e| CallError::NotSent(e.to_string()))?;
    let mut expect = stored.map_or(0, |entry| entry.revision);
    loop {
        let swap =
            Swap { key: key.to_owned(), required_revision: expect, value: Some(value.clone()), lease: Some(lease) };
        gw.metrics.store_call(StoreCall::Register);
        match kv.swap_each(vec![swap]).await?.pop() {
            Some(Swapped::Differs(other)) => expect = other.map_or(0, |entry| entry.revision),
            Some(Swapped::Done(_)) | None => return Ok(lease),
        }
    }
}

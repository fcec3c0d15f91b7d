//! Where streams began, told to and asked of other daemons by datagrams.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dahliaseam_core::{
    peer::Peer,
    stream_origin::{Origin, RecentSoftware, StreamId, StreamOrigins, daemons_to_ask, daemons_to_tell, only_origin},
    time::Span,
};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::Instant,
};

use crate::{
    emit,
    gateway::{answer::Refusal, packet::Packet, peers, request::ActiveRequest, state::Gateway},
};

/// Time limit for the replies of other daemons. A round trip takes a few milliseconds, and some tens if a small VM is busy.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Time after which the daemons that have not replied are asked again, since a datagram may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(25);
/// Maximum wait of a stream that is taken up until a daemon that has just started has read the store up to date.
const CONFIRMATION_WAIT: Span = Span::millis(1_000);
/// Interval between two checks whether it has.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(10);
/// Time after a stream's deadline for which its origin is kept.
const MARGIN: Span = Span::millis(2_000);
/// Maximum time for which an origin is kept on the word of another daemon.
const MAX_TOLD_TIME: Span = Span::millis(600_000);

/// Tells where a stream began.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct StreamBegan {
    stream: StreamId,
    origin: Origin,
    /// Microseconds for which it may go on.
    left_us: u64,
}

/// Asks where a stream began.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct OriginQuestion {
    number: u64,
    stream: StreamId,
    service: String,
    /// Microseconds for which a stream on the route may have been going on.
    lifetime_us: u64,
}

/// Reply to that question.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct OriginReply {
    number: u64,
    origin: Option<Origin>,
    recent: RecentSoftware,
}

/// Who named the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NamedBy {
    /// The stream began here, or another daemon had told this one.
    Own,
    Peer,
    /// Nobody knows the stream, but only one version can have begun it.
    OnlyVersion,
    Nobody,
}

impl NamedBy {
    const fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::OnlyVersion => "only_version",
            Self::Nobody => "nobody",
        }
    }
}

/// A reply and the daemon that sent it.
type Reply = (SocketAddr, OriginReply);

/// Streams of which the origin is known, and questions that are being asked.
#[derive(Debug, Default)]
pub(super) struct Origins {
    streams: Mutex<StreamOrigins>,
    pending: Mutex<HashMap<u64, UnboundedSender<Reply>>>,
}

impl Origins {
    fn streams(&self) -> MutexGuard<'_, StreamOrigins> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pending(&self) -> MutexGuard<'_, HashMap<u64, UnboundedSender<Reply>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A question that is being asked. Dropping it ends the wait for replies.
struct Pending<'a> {
    origins: &'a Origins,
    number: u64,
    replies: UnboundedReceiver<Reply>,
}

impl<'a> Pending<'a> {
    fn new(origins: &'a Origins, number: u64) -> Self {
        let (tx, replies) = unbounded_channel();
        origins.pending().insert(number, tx);
        Self { origins, number, replies }
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.origins.pending().remove(&self.number);
    }
}

impl ActiveRequest {
    /// Records where this request's stream begins, and tells other daemons before its first event is relayed.
    pub(super) async fn record_origin(&self, origin: Origin) {
        let now = self.gw.now();
        let until = self.deadline + MARGIN;
        let stream = StreamId::of(&self.caller.id);
        self.gw.origins.streams().record(stream, origin, until, now);
        let daemons = daemons_to_tell(stream, &peers::known_peers(&self.gw));
        let began = StreamBegan { stream, origin, left_us: until.since(now).0 };
        peers::send_packet(&self.gw, &Packet::StreamBegan(began), &daemons).await;
    }

    /// Finds out where the stream began that the caller takes up, if it does.
    ///
    /// # Errors
    /// The refusal, if that is not known.
    pub(super) async fn find_origin(&mut self) -> Result<(), Refusal> {
        if !self.route.stream || (self.caller.last_event.is_none() && self.caller.resumes.is_none()) {
            return Ok(());
        }
        let asked_at = self.gw.now();
        let (origin, named_by) = self.look_up_origin().await;
        self.origin = origin;
        self.gw.metrics.stream_taken_up(named_by.name());
        let software = origin.and_then(|origin| self.gw.fleet().software_name(origin).map(str::to_owned));
        emit!(
            info,
            STREAM_TAKEN_UP,
            request = self.caller.id,
            resumes = self.caller.resumes.as_deref(),
            last_event = self.caller.last_event.as_deref(),
            service = %self.service,
            software,
            named_by = named_by.name(),
            after_ms = self.gw.now().since(asked_at).as_millis()
        );
        if origin.is_some() { Ok(()) } else { Err(Refusal::UnknownOrigin) }
    }

    async fn look_up_origin(&self) -> (Option<Origin>, NamedBy) {
        let lifetime = self.route.timeout + MARGIN;
        let Some(resumes) = &self.caller.resumes else {
            // The caller knows of no versions. It is served if only one can have begun its stream.
            self.wait_for_confirmation(lifetime).await;
            return match self.gw.possible_origins(&self.service, lifetime) {
                RecentSoftware::Only(origin) => (Some(origin), NamedBy::OnlyVersion),
                RecentSoftware::Several | RecentSoftware::Unknown => (None, NamedBy::Nobody),
            };
        };
        let stream = StreamId::of(resumes);
        let known = self.gw.origins.streams().get(stream, self.gw.now());
        if known.is_some() {
            return (known, NamedBy::Own);
        }
        let daemons = daemons_to_ask(stream, &peers::known_peers(&self.gw));
        let recent = match self.ask(stream, lifetime, &daemons).await {
            Ok(origin) => return (Some(origin), NamedBy::Peer),
            Err(recent) => recent,
        };
        self.wait_for_confirmation(lifetime).await;
        let own = recent_software(&self.gw, &self.service, lifetime);
        match only_origin(own, &recent, daemons.len()) {
            Some(origin) => (Some(origin), NamedBy::OnlyVersion),
            None => (None, NamedBy::Nobody),
        }
    }

    /// Waits until this daemon knows which versions may have begun streams, if it has only just started and sees one.
    async fn wait_for_confirmation(&self, lifetime: Span) {
        let until = self.deadline.min(self.gw.now() + CONFIRMATION_WAIT);
        let (gw, service) = (&self.gw, &*self.service);
        let sees_one = || matches!(gw.fleet().known_software(service, lifetime, gw.now()), RecentSoftware::Only(_));
        let is_unknown = || gw.possible_origins(service, lifetime) == RecentSoftware::Unknown;
        while sees_one() && is_unknown() && !gw.store_cache().unreachable && !until.is_past(gw.now()) {
            tokio::time::sleep(CONFIRMATION_INTERVAL).await;
        }
    }

    /// Asks other daemons where a stream began.
    ///
    /// # Errors
    /// If none of them knows, the versions that served lately according to those that replied.
    async fn ask(&self, stream: StreamId, lifetime: Span, daemons: &[Peer]) -> Result<Origin, Vec<RecentSoftware>> {
        let number = self.gw.random();
        let question = OriginQuestion { number, stream, service: self.service.to_string(), lifetime_us: lifetime.0 };
        let packet = Packet::AskOrigin(question);
        let mut pending = Pending::new(&self.gw.origins, number);
        let mut recent = HashMap::new();
        let give_up_at = Instant::now() + REPLY_TIMEOUT;
        let mut left = daemons.to_vec();
        // Silent daemons are asked too, and not waited for.
        while left.iter().any(|daemon| !daemon.is_silent) && Instant::now() < give_up_at {
            let addresses: Vec<SocketAddr> = left.iter().map(|daemon| daemon.address).collect();
            peers::send_packet(&self.gw, &packet, &addresses).await;
            let repeat_at = give_up_at.min(Instant::now() + REPEAT_DELAY);
            while let Ok(Some((from, reply))) = tokio::time::timeout_at(repeat_at, pending.replies.recv()).await {
                if let Some(origin) = reply.origin {
                    return Ok(origin);
                }
                recent.insert(from, reply.recent);
                left.retain(|daemon| daemon.address != from);
                if left.iter().all(|daemon| daemon.is_silent) {
                    break;
                }
            }
        }
        Err(recent.into_values().collect())
    }
}

/// The versions of a service's software that may have begun streams within `time`. Without the store, versions that are
/// new are not known.
fn recent_software(gw: &Gateway, service: &str, time: Span) -> RecentSoftware {
    if gw.store_cache().unreachable {
        return RecentSoftware::Unknown;
    }
    gw.possible_origins(service, time)
}

/// Records where a stream began at another daemon.
pub(super) fn handle_began(gw: &Gateway, StreamBegan { stream, origin, left_us }: StreamBegan) {
    let now = gw.now();
    gw.origins.streams().record(stream, origin, now + Span(left_us).min(MAX_TOLD_TIME), now);
}

/// Replies to the question where a stream began.
pub(super) async fn handle_question(gw: &Gateway, from: SocketAddr, question: OriginQuestion) {
    let OriginQuestion { number, stream, service, lifetime_us } = question;
    let now = gw.now();
    let origin = gw.origins.streams().get(stream, now);
    let recent = recent_software(gw, &service, Span(lifetime_us));
    peers::send_packet(gw, &Packet::Origin(OriginReply { number, origin, recent }), &[from]).await;
}

/// Passes a reply to the request that asked.
pub(super) fn handle_reply(gw: &Gateway, from: SocketAddr, reply: OriginReply) {
    if let Some(tx) = gw.origins.pending().get(&reply.number) {
        // The request may have ended.
        let _ = tx.send((from, reply));
    }
}

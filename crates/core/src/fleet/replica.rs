//! The state of one replica: what it states about itself, and what daemons observe.

use std::{net::SocketAddr, sync::Arc};

use slotmap::new_key_type;

use crate::{
    eject::Health,
    endpoint::Role,
    fleet::{
        cache::PrefixCache,
        distance::HallKey,
        engine::{answer_pace::AnswerPace, running_mean::RunningMean},
        path::PathState,
        rate_limit::{RateLimit, RateLimitShare},
        short_id,
    },
    hash::rendezvous,
    stream_origin::Origin,
    time::{Span, Time},
};

new_key_type! {
    /// Key of a replica in this daemon's table.
    pub struct ReplicaKey;
}

/// What a replica states about itself through discovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaFacts {
    /// Its identifier, which may stay the same when it restarts.
    pub id: Arc<str>,
    /// Unix time of its start in milliseconds, which distinguishes two starts with the same identifier; `None` for
    /// older replicas, which do not state it.
    pub start_time_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Version of its software, which is not that of its models' weights. What two versions send does not fit together.
    pub software: Arc<str>,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: Arc<str>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether the platform may reclaim it at any time.
    pub reclaimable: bool,
    /// Whether it has announced that it is leaving.
    pub draining: bool,
    /// Its role in the service.
    pub role: Role,
}

impl ReplicaFacts {
    /// Hash that identifies this start of the replica in messages between daemons.
    #[must_use]
    pub fn start_id(&self) -> u32 {
        match self.start_time_ms {
            Some(start_time_ms) => rendezvous(u64::from(short_id(&self.id)), start_time_ms) as u32,
            None => short_id(&self.id),
        }
    }

    /// Whether both describe the same start of a replica. Its software changes with a start only.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.id == other.id && self.start_time_ms == other.start_time_ms && self.software == other.software
    }

    /// Its service and version of software.
    #[must_use]
    pub fn origin(&self) -> Origin {
        Origin::of(&self.service, &self.software)
    }
}

/// Work on a replica that one or more daemons know of.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Milliseconds of prefill that an idle replica would need for it.
    pub prefill_ms: f64,
    /// The part of `prefill_ms` that is already late and is processed after all other prefill.
    pub late_ms: f64,
    /// Active requests, including those being prefilled.
    pub active: u32,
    /// Active requests with long answers, which occupy their slots for seconds.
    pub long_answers: u32,
}

impl Load {
    /// The sum of this and another load.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            prefill_ms: self.prefill_ms + other.prefill_ms,
            late_ms: self.late_ms + other.late_ms,
            active: self.active + other.active,
            long_answers: self.long_answers + other.long_answers,
        }
    }

    /// This load without another one that was part of it.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            prefill_ms: (self.prefill_ms - other.prefill_ms).max(0.0),
            late_ms: (self.late_ms - other.late_ms).max(0.0),
            active: self.active.saturating_sub(other.active),
            long_answers: self.long_answers.saturating_sub(other.long_answers),
        }
    }
}

/// Weight of a new observation of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 12.0);
/// Minimum weight of a new observation of the answer slowness. Each stream reports once a second and the speed is a
/// property of the engine, so some seconds of a few streams are averaged.
const MIN_ANSWER_SLOWNESS_WEIGHT: f64 = 0.03;
/// Share by which each observation of the answer slowness is pulled towards 1. Only the product of the usual pace and
/// a replica's slowness is observed; without the pull the two drift apart, to half and double within a minute.
const ANSWER_SLOWNESS_PULL: f64 = 0.1;
/// Time in which the slowness of a replica decays by half, so that a slow replica gets requests again.
const SLOWNESS_HALF_LIFE: Span = Span::millis(3_000);

/// One replica.
#[derive(Clone, Debug)]
pub struct Replica {
    /// What it states about itself.
    pub facts: ReplicaFacts,
    /// Index of its hall among the known halls.
    pub(super) hall: HallKey,
    /// Hash that identifies this start in messages.
    pub start_id: u32,
    /// Its service and version of software.
    pub(super) origin: Origin,
    /// Store revision of `facts`.
    pub revision: i64,
    /// Time at which a replica whose entry lapsed counts as gone; [`Time::NEVER`] while the entry exists.
    pub gone_at: Time,
    /// Its health as observed by this daemon.
    pub health: Health,
    /// The network path of calls to it.
    pub path: PathState,
    /// Time until which its ejection by a peer counts.
    pub ejected_by_peer_until: Time,
    /// Load from this daemon.
    pub own_load: Load,
    /// Load from other daemons, as they reported it.
    pub peer_load: Load,
    /// Estimated contents of its KV cache.
    pub cache: PrefixCache,
    /// Time by which its role change will have ended; it gets no new work until then.
    pub role_change_until: Time,
    /// The role that it changes to.
    pub next_role: Role,
    /// Whether this daemon ordered the role change, and therefore reports it to its peers.
    pub ordered_here: bool,
    /// Whether another daemon of this hall ordered the role change.
    pub ordered_in_hall: bool,
    /// Time until which it gets no orders, since an earlier one may still take effect.
    pub orders_held_until: Time,
    /// Its rate limit, shared by all daemons.
    pub(super) rate_limit: RateLimit,
    /// Time from which it accepts requests from this daemon again; the latest that it has stated.
    pub(super) retry_at: Time,
    /// Its intervals between events of long answers in proportion to the usual ones of the service.
    pub(super) answer_slowness: RunningMean,
    slowness: f64,
    slowness_at: Time,
}

impl Replica {
    /// Creates the state of a newly discovered replica with a KV cache of `kv_capacity_tokens`.
    #[must_use]
    pub fn new(facts: ReplicaFacts, revision: i64, kv_capacity_tokens: u64) -> Self {
        Self {
            start_id: facts.start_id(),
            origin: facts.origin(),
            hall: HallKey::default(),
            facts,
            revision,
            gone_at: Time::NEVER,
            health: Health::default(),
            path: PathState::default(),
            ejected_by_peer_until: Time(0),
            own_load: Load::default(),
            peer_load: Load::default(),
            cache: PrefixCache::new(kv_capacity_tokens),
            role_change_until: Time(0),
            next_role: Role::Plain,
            ordered_here: false,
            ordered_in_hall: false,
            orders_held_until: Time(0),
            rate_limit: RateLimit::default(),
            retry_at: Time(0),
            answer_slowness: RunningMean::new(1.0, MIN_ANSWER_SLOWNESS_WEIGHT),
            slowness: 1.0,
            slowness_at: Time(0),
        }
    }

    /// Copies the slowness, which is a property of the machine, from the replica's previous start.
    pub(super) const fn inherit_slowness(&mut self, previous: &Self) {
        self.answer_slowness = previous.answer_slowness;
        self.slowness = previous.slowness;
        self.slowness_at = previous.slowness_at;
    }

    /// Whether new work may be sent to it, apart from its health and rate limit.
    #[must_use]
    pub fn is_open(&self, now: Time) -> bool {
        !self.facts.draining && !self.gone_at.is_past(now) && self.role_change_until.is_past(now)
    }

    /// Requests per second that it accepts from all daemons combined; `None` if it states no limit.
    #[must_use]
    pub const fn rate_limit(&self) -> Option<f64> {
        self.rate_limit.per_second()
    }

    /// Time until both its rate limit and its retry time let this daemon send; zero if they do now.
    pub(super) fn time_until_accepted(&self, share: RateLimitShare, now: Time) -> Span {
        self.rate_limit.time_until_slot(self.start_id, share, now).max(self.retry_at.since(now))
    }

    /// Whether its rate limit and its retry time let this daemon send now.
    pub(super) fn accepts(&self, share: RateLimitShare, now: Time) -> bool {
        self.time_until_accepted(share, now) == Span(0)
    }

    /// Whether it may be gone: its entry lapsed, or a peer has ejected it.
    #[must_use]
    pub fn may_be_gone(&self, now: Time) -> bool {
        self.gone_at != Time::NEVER || !self.ejected_by_peer_until.is_past(now)
    }

    /// Known active requests of all daemons.
    #[must_use]
    pub const fn active(&self) -> u32 {
        self.own_load.active + self.peer_load.active
    }

    /// Known long answers of all daemons.
    #[must_use]
    pub const fn long_answers(&self) -> u32 {
        self.own_load.long_answers + self.peer_load.long_answers
    }

    /// Milliseconds until all known prompts are prefilled.
    #[must_use]
    pub fn prefill_ms(&self, now: Time) -> f64 {
        (self.own_load.prefill_ms + self.peer_load.prefill_ms) * self.slowness(now)
    }

    /// Milliseconds until all known prompts that can still be in time are prefilled.
    #[must_use]
    pub fn urgent_prefill_ms(&self, now: Time) -> f64 {
        let late = self.own_load.late_ms + self.peer_load.late_ms;
        (self.prefill_ms(now) - late * self.slowness(now)).max(0.0)
    }

    /// Its processing times in proportion to the usual ones of its service.
    #[must_use]
    pub fn slowness(&self, now: Time) -> f64 {
        let half_lives = now.since(self.slowness_at).as_seconds() / SLOWNESS_HALF_LIFE.as_seconds();
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(half_lives)
    }

    /// Milliseconds between two events of long answers if it has `answers` of them.
    pub(super) fn interval_ms(&self, pace: &AnswerPace, answers: u32) -> f64 {
        pace.interval_ms(f64::from(answers)) * self.answer_slowness.value()
    }

    /// Learns from a part of a long answer whose intervals were `slowness` times those of a usual replica.
    pub(super) fn learn_answer_slowness(&mut self, slowness: f64) {
        self.answer_slowness.learn(slowness + ANSWER_SLOWNESS_PULL * (1.0 - slowness));
    }

    /// Learns from work that took `took` where `expected_ms` was predicted.
    pub fn learn_slowness(&mut self, expected_ms: f64, took: Span, now: Time) {
        let observed = took.as_millis_f64() / expected_ms.max(1.0);
        let previous = self.slowness(now);
        let next = previous + SLOWNESS_WEIGHT * (observed - previous);
        self.slowness = next.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        self.slowness_at = now;
    }
}

//! One replica: what it says of itself, and what is seen of it.

use std::{net::SocketAddr, sync::Arc};

use slotmap::new_key_type;

use crate::{
    eject::Health,
    endpoint::Role,
    fleet::{
        cache::PrefixCache,
        distance::HallKey,
        engine::{answer_pace::AnswerPace, running_mean::RunningMean},
        rate_limit::{RateLimit, SlotShare},
        short_id,
    },
    hash::rendezvous,
    time::{Span, Time},
};

new_key_type! {
    /// Key of a replica in this daemon's table.
    pub struct ReplicaKey;
}

/// What a replica says of itself through discovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaFacts {
    /// Its identifier, which it may keep when it starts again.
    pub id: Arc<str>,
    /// Unix millisecond of its start, which tells two starts under one identifier apart; an older replica does not say it.
    pub start_time_ms: Option<u64>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether the platform may take it away at any time.
    pub reclaimable: bool,
    /// Whether it announced that it leaves.
    pub draining: bool,
    /// What it does in its service.
    pub role: Role,
}

impl ReplicaFacts {
    /// Hash that names this start of the replica in messages between daemons.
    #[must_use]
    pub fn start_id(&self) -> u32 {
        match self.start_time_ms {
            Some(start_time_ms) => rendezvous(u64::from(short_id(&self.id)), start_time_ms) as u32,
            None => short_id(&self.id),
        }
    }

    /// Whether this and another are the same start of a replica.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.id == other.id && self.start_time_ms == other.start_time_ms
    }
}

/// Work at a replica that one or several daemons know of.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Milliseconds of reading that an idle replica would need for it.
    pub prefill_ms: f64,
    /// The part of that which is known to be late, and read behind all else.
    pub late_ms: f64,
    /// Requests under way, those being read included.
    pub active: u32,
    /// Those of them whose answers are long, so that they keep their slot for seconds.
    pub streams: u32,
}

impl Load {
    /// This load and another one.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            prefill_ms: self.prefill_ms + other.prefill_ms,
            late_ms: self.late_ms + other.late_ms,
            active: self.active + other.active,
            streams: self.streams + other.streams,
        }
    }

    /// This load without another one that was part of it.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self {
            prefill_ms: (self.prefill_ms - other.prefill_ms).max(0.0),
            late_ms: (self.late_ms - other.late_ms).max(0.0),
            active: self.active.saturating_sub(other.active),
            streams: self.streams.saturating_sub(other.streams),
        }
    }
}

/// Weight of a new observation in the slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;
/// Bounds of the slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 12.0);
/// Least weight of a new observation of how fast its answers go on: each stream tells once a second, and
/// an engine's speed is its own, so some seconds of a few streams count.
const MIN_ANSWER_SLOWNESS_WEIGHT: f64 = 0.03;
/// Part of an observation of that which is taken to be usual. Without it, what is usual and how many times as
/// long each replica takes drift apart, to half and twice in a minute, as only their product is seen.
const ANSWER_SLOWNESS_PULL: f64 = 0.1;
/// Time after which a slow replica is believed half as slow, so that it is tried again.
const SLOWNESS_HALF_LIFE: Span = Span::millis(3_000);

/// One replica's row.
#[derive(Clone, Debug)]
pub struct Replica {
    /// What it says of itself.
    pub facts: ReplicaFacts,
    /// Place of its hall among those that are known.
    pub(super) hall: HallKey,
    /// Hash of this start of it, as messages name it.
    pub start_id: u32,
    /// Revision of that in the store.
    pub revision: i64,
    /// When a replica whose entry lapsed counts as gone; [`Time::NEVER`] while the entry is there.
    pub gone_at: Time,
    /// What this daemon saw of its failures.
    pub health: Health,
    /// Until when another daemon's failure to reach it counts.
    pub unreachable_until: Time,
    /// What this daemon has under way there.
    pub own_load: Load,
    /// What other daemons said that they have under way there.
    pub peer_load: Load,
    /// What its memory probably holds.
    pub cache: PrefixCache,
    /// When an order to change its role will be over; no new work until then.
    pub role_change_until: Time,
    /// The role that it takes by that order.
    pub next_role: Role,
    /// Whether this daemon gave that order, and so tells the others.
    pub ordered_here: bool,
    /// Whether a daemon of this hall gave that order.
    pub ordered_in_hall: bool,
    /// From when on it may get an order; later than now while one may still take effect.
    pub orders_held_until: Time,
    /// Its rate limit, shared by all daemons.
    pub(super) rate_limit: RateLimit,
    /// Time from which it accepts requests from this daemon again; the latest that it has stated.
    pub(super) retry_at: Time,
    /// How many times as long as its service's usual it takes to the next event of long answers.
    pub(super) answer_slowness: RunningMean,
    slowness: f64,
    slowness_at: Time,
}

impl Replica {
    /// A replica that was just discovered, with a memory of `memory_tokens`.
    #[must_use]
    pub fn new(facts: ReplicaFacts, revision: i64, kv_capacity_tokens: u64) -> Self {
        Self {
            start_id: facts.start_id(),
            hall: HallKey::default(),
            facts,
            revision,
            gone_at: Time::NEVER,
            health: Health::default(),
            unreachable_until: Time(0),
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

    /// Take over what belongs to the machine from the start before: how slow it is.
    pub(super) const fn inherit_speed(&mut self, before: &Self) {
        self.answer_slowness = before.answer_slowness;
        self.slowness = before.slowness;
        self.slowness_at = before.slowness_at;
    }

    /// Whether new work may be sent there at all.
    #[must_use]
    pub fn is_open(&self, now: Time) -> bool {
        !self.facts.draining && !self.gone_at.is_past(now) && self.role_change_until.is_past(now)
    }

    /// Requests per second that it accepts from all daemons combined, or `None` if it states no limit.
    #[must_use]
    pub const fn rate_limit(&self) -> Option<f64> {
        self.rate_limit.per_second()
    }

    /// Time until both its rate limit and its retry time let this daemon send; zero if they do now.
    pub(super) fn time_until_accepted(&self, share: SlotShare, now: Time) -> Span {
        self.rate_limit.time_until_slot(self.start_id, share, now).max(self.retry_at.since(now))
    }

    /// Whether its rate limit and its retry time let this daemon send now.
    pub(super) fn accepts(&self, share: SlotShare, now: Time) -> bool {
        self.time_until_accepted(share, now) == Span(0)
    }

    /// Whether it may not be there: its entry lapsed, or a peer could not reach it.
    #[must_use]
    pub fn may_be_gone(&self, now: Time) -> bool {
        self.gone_at != Time::NEVER || !self.unreachable_until.is_past(now)
    }

    /// Requests under way there, as far as known.
    #[must_use]
    pub const fn active(&self) -> u32 {
        self.own_load.active + self.peer_load.active
    }

    /// Long answers under way there, as far as known.
    #[must_use]
    pub const fn streams(&self) -> u32 {
        self.own_load.streams + self.peer_load.streams
    }

    /// Milliseconds until what is known to be there has been read.
    #[must_use]
    pub fn prefill_ms(&self, now: Time) -> f64 {
        (self.own_load.prefill_ms + self.peer_load.prefill_ms) * self.slowness(now)
    }

    /// Milliseconds until what goes before a request that can be in time has been read.
    #[must_use]
    pub fn urgent_prefill_ms(&self, now: Time) -> f64 {
        let late = self.own_load.late_ms + self.peer_load.late_ms;
        (self.prefill_ms(now) - late * self.slowness(now)).max(0.0)
    }

    /// How many times as long as its service's usual it takes.
    #[must_use]
    pub fn slowness(&self, now: Time) -> f64 {
        let half_lives = now.since(self.slowness_at).as_seconds() / SLOWNESS_HALF_LIFE.as_seconds();
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(half_lives)
    }

    /// Milliseconds between two events of long answers if it has so many of them.
    pub(super) fn interval_ms(&self, pace: &AnswerPace, answers: u32) -> f64 {
        pace.interval_ms(f64::from(answers)) * self.answer_slowness.value()
    }

    /// Learn from a part of a long answer that took so many times as long as the usual replica's.
    pub(super) fn learn_answer_slowness(&mut self, slowness: f64) {
        self.answer_slowness.learn(slowness + ANSWER_SLOWNESS_PULL * (1.0 - slowness));
    }

    /// Learn from work that took `took` where `expected_ms` was predicted for a usual replica.
    pub fn learn_slowness(&mut self, expected_ms: f64, took: Span, now: Time) {
        let seen = took.as_millis_f64() / expected_ms.max(1.0);
        let before = self.slowness(now);
        let next = before + SLOWNESS_WEIGHT * (seen - before);
        self.slowness = next.clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
        self.slowness_at = now;
    }
}

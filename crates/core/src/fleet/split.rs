//! Which role each engine of a service should play.
//!
//! The demand for reading and for long answers is measured over a second or two, on all daemons.
//! An engine changes its role when one side lacks engines and the other has one to spare. A
//! change takes the engine away for seconds, so nothing is changed for a small difference.

use crate::{
    endpoint::Role,
    fleet::{
        Fleet,
        replica::{Replica, ReplicaKey},
    },
    time::{Span, Time},
};

/// Time over which demand is averaged. Shorter than a role change pays for, longer than a burst
/// of a few requests.
const AVERAGE: Span = Span::millis(1_500);
/// Seconds of an answer before any was seen.
const ANSWER_GUESS: f64 = 1.0;
/// Seconds of a long answer before any was seen.
const LONG_GUESS: f64 = 3.0;
/// Weight of a new observation of an answer's time, once there are many.
const LEARN: f64 = 0.02;
/// Weight of a new observation of a long answer's time.
const LEARN_LONG: f64 = 0.05;
/// Engines of a service below which roles are left alone.
const FEWEST: usize = 4;
/// Decode engines that are kept at least: one may be lost at any time.
const LEAST_DECODE: usize = 2;
/// Share of a service's engines that stay decode engines at least. When the store is away roles
/// cannot change back, and without decode engines nothing is answered; an idle one still reads.
const LEAST_DECODE_SHARE: f64 = 0.25;
/// Prefill engines that are kept at least.
const LEAST_PREFILL: usize = 2;

/// A rate of work that fades with time.
#[derive(Clone, Copy, Debug, Default)]
struct Fading {
    sum: f64,
    at: Time,
}

impl Fading {
    fn add(&mut self, amount: f64, now: Time) {
        self.sum = self.sum_at(now) + amount;
        self.at = now;
    }

    fn sum_at(&self, now: Time) -> f64 {
        self.sum * (-now.since(self.at).as_seconds() / AVERAGE.as_seconds()).exp()
    }

    /// The amount a second.
    fn rate(&self, now: Time) -> f64 {
        self.sum_at(now) / AVERAGE.as_seconds()
    }
}

/// What is asked of the engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Engines that would be reading all the time.
    pub reading: f64,
    /// Slots that answers would take.
    pub slots: f64,
    /// Tokens of memory that answers would take.
    pub tokens: f64,
    /// Engines that would be taking over prompts all the time.
    pub moving: f64,
}

impl Demand {
    /// Add another demand for the same service.
    pub fn add(&mut self, other: Self) {
        self.reading += other.reading;
        self.slots += other.slots;
        self.tokens += other.tokens;
        self.moving += other.moving;
    }
}

/// Measures the demand that this daemon sees.
#[derive(Clone, Copy, Debug)]
pub struct DemandMeter {
    reading: Fading,
    /// Answers that were begun.
    answers: Fading,
    /// Tokens of memory that they hold.
    held: Fading,
    /// Engine-seconds of handing prompts over.
    moving: Fading,
    /// Seconds that an answer takes.
    answer_s: f64,
    answers_seen: u32,
    /// Seconds that a long answer takes.
    long_s: f64,
    seen: bool,
}

impl Default for DemandMeter {
    fn default() -> Self {
        Self {
            reading: Fading::default(),
            answers: Fading::default(),
            held: Fading::default(),
            moving: Fading::default(),
            answer_s: ANSWER_GUESS,
            answers_seen: 0,
            long_s: LONG_GUESS,
            seen: false,
        }
    }
}

impl DemandMeter {
    /// Note a request: what reading it takes, what handing it over takes, and the tokens of its prompt.
    pub fn offered(&mut self, reading_ms: f64, moving_ms: f64, tokens: u32, now: Time) {
        self.seen = true;
        self.reading.add(reading_ms / 1_000.0, now);
        self.moving.add(moving_ms / 1_000.0, now);
        self.held.add(f64::from(tokens), now);
        self.answers.add(1.0, now);
    }

    /// Note that an answer took so long, and whether it was a long one.
    pub fn answered(&mut self, took: Span, long: bool) {
        self.answers_seen = self.answers_seen.saturating_add(1);
        let weight = LEARN.max(1.0 / f64::from(self.answers_seen + 1));
        self.answer_s += weight * (took.as_seconds() - self.answer_s);
        if long {
            self.long_s += LEARN_LONG * (took.as_seconds() - self.long_s);
        }
    }

    /// The demand now.
    #[must_use]
    pub fn demand(&self, now: Time) -> Demand {
        Demand {
            reading: self.reading.rate(now),
            slots: self.answers.rate(now) * self.answer_s,
            tokens: self.held.rate(now) * self.answer_s,
            moving: self.moving.rate(now),
        }
    }
}

/// A change of one engine's role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shift {
    /// The engine.
    pub key: ReplicaKey,
    /// The role that it is to take.
    pub to: Role,
    /// The demand that asks for it.
    pub demand: Demand,
    /// Prefill and decode engines before.
    pub before: (usize, usize),
}

impl Fleet {
    /// The next change of a role that is worth it, for a service and a demand on all daemons.
    #[must_use]
    pub fn next_shift(&self, service: &str, demand: Demand, now: Time) -> Option<Shift> {
        let engines: Vec<(ReplicaKey, &Replica)> = self
            .replicas
            .iter()
            .filter(|(_, replica)| &*replica.facts.service == service && is_serving(replica, now))
            .collect();
        let with = |role| engines.iter().filter(|(_, replica)| role_to_be(replica, now) == role).count();
        let (prefill, decode) = (with(Role::Prefill), with(Role::Decode));
        if prefill + decode < FEWEST {
            return None;
        }
        let streams: u32 = engines.iter().map(|(_, replica)| replica.streams()).sum();
        let slots = engines.iter().map(|(_, replica)| replica.facts.slots).min()?;
        let need_slots = demand.slots.max(f64::from(streams)) / (f64::from(slots) * self.policy.slot_share);
        let least_decode = LEAST_DECODE.max(((prefill + decode) as f64 * LEAST_DECODE_SHARE) as usize);
        let need_decode = (need_slots.ceil() as usize).max(least_decode);
        let need_prefill = demand.reading / self.policy.read_share;
        let shift = |key, to| Shift { key, to, demand, before: (prefill, decode) };
        if demand == Demand::default() && streams == 0 {
            let wanted = ((prefill + decode) as f64 * self.policy.first_read_share) as usize;
            let lacks = prefill < wanted && decode > LEAST_DECODE && !self.saw_demand(service);
            return idle_engine(&engines, Role::Decode, now).filter(|_| lacks).map(|key| shift(key, Role::Prefill));
        }
        let short_of_prefill = need_prefill > prefill as f64;
        if short_of_prefill && decode > need_decode {
            return idle_engine(&engines, Role::Decode, now).map(|key| shift(key, Role::Prefill));
        }
        let spare_prefill = prefill > LEAST_PREFILL && need_prefill <= (prefill - 1) as f64;
        let far_short_of_decode = prefill > LEAST_PREFILL && need_slots > decode as f64 * OVERFULL;
        if need_decode > decode && (spare_prefill || far_short_of_decode) {
            return idle_engine(&engines, Role::Prefill, now).map(|key| shift(key, Role::Decode));
        }
        None
    }

    /// Whether there are engines with different roles, so that roles may be worth changing.
    #[must_use]
    pub fn has_split_engines(&self) -> bool {
        self.replicas.values().any(|replica| matches!(replica.facts.role, Role::Prefill | Role::Decode))
    }

    /// Whether this daemon was ever asked for the service.
    fn saw_demand(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|state| state.meter.seen)
    }

    /// Keep new work from an engine until `until`, because its role is to change to `to`.
    pub fn set_changing(&mut self, key: ReplicaKey, to: Role, until: Time) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.changing_until = until;
            replica.changing_to = to;
            replica.ordered_here = true;
        }
    }

    /// Give an engine no orders until `from`.
    pub fn no_orders_until(&mut self, key: ReplicaKey, from: Time) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.orders_from = from;
        }
    }

    /// Note that an answer took so long, and whether it was a long one.
    pub fn answered(&mut self, service: &str, took: Span, long: bool) {
        if let Some(state) = self.services.get_mut(service) {
            state.meter.answered(took, long);
        }
    }

    /// How long a long answer of a service usually takes.
    #[must_use]
    pub fn usual_answer(&self, service: &str) -> Span {
        self.services.get(service).map_or(Span::seconds(LONG_GUESS), |state| Span::seconds(state.meter.long_s))
    }

    /// The demand that this daemon and its peers see for a service.
    #[must_use]
    pub fn demand(&self, service: &str, now: Time) -> Demand {
        let own = self.services.get(service).map_or_else(Demand::default, |state| state.meter.demand(now));
        let key = super::short_id(service);
        let mut sum = own;
        for demand in self.peers.values().filter_map(|peer| peer.demands.get(&key)) {
            sum.add(*demand);
        }
        sum
    }
}

/// The engine with this role that a change disturbs least.
fn idle_engine(engines: &[(ReplicaKey, &Replica)], role: Role, now: Time) -> Option<ReplicaKey> {
    engines
        .iter()
        .filter(|(_, replica)| {
            replica.facts.role == role && replica.changing_until.is_past(now) && replica.orders_from.is_past(now)
        })
        .filter(|(_, replica)| replica.streams() == 0)
        .min_by(|a, b| load_of(a.1).total_cmp(&load_of(b.1)))
        .map(|(key, _)| *key)
}

/// How many times as many slots as there are must be lacking before engines are taken from
/// reading that is itself short of them.
const OVERFULL: f64 = 1.25;

fn is_serving(replica: &Replica, now: Time) -> bool {
    !replica.facts.draining && !replica.gone_at.is_past(now)
}

fn role_to_be(replica: &Replica, now: Time) -> Role {
    if replica.changing_until.is_past(now) { replica.facts.role } else { replica.changing_to }
}

fn load_of(replica: &Replica) -> f64 {
    f64::from(replica.active()) + replica.own.reading_ms + replica.peers.reading_ms
}

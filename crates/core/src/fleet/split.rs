//! Selects the roles of the engines of a service.
//!
//! The demand for prefill and decode on all daemons is averaged over some seconds: the engine time for prefill, and
//! the slots, KV cache and link time for answers. An engine changes its role if one side lacks engines and the other
//! can spare one. The change makes the engine unavailable for seconds, so small differences are ignored and few
//! engines change at a time.

use crate::{
    endpoint::Role,
    fleet::{
        Fleet,
        engine::running_mean::RunningMean,
        replica::{Replica, ReplicaKey},
    },
    stream_origin::Origin,
    time::{Span, Time},
};

/// Averaging period of the demand. It is longer than a role change makes an engine unavailable, and shorter than most
/// swings in the mix of requests.
const AVERAGING_PERIOD: Span = Span::millis(2_500);
/// Estimated duration of a short answer before any was observed.
const INITIAL_SHORT_SECONDS: f64 = 0.5;
/// Estimated duration of a long answer before any was observed.
const INITIAL_LONG_SECONDS: f64 = 3.0;
/// Minimum weight of a new observation of an answer's duration.
const MIN_ANSWER_TIME_WEIGHT: f64 = 0.05;
/// Minimum number of engines in a service for roles to be changed.
const MIN_ENGINES: usize = 4;
/// Minimum number of decode engines: one may be lost at any time.
const MIN_DECODE: usize = 2;
/// Minimum share of decode engines. While the store is unreachable roles cannot be changed back, and without decode
/// engines nothing is answered; an idle one can still prefill.
const MIN_DECODE_SHARE: f64 = 0.25;
/// Target share of a decode engine's KV cache that active answers use; the rest holds parts of earlier prompts.
const ANSWER_KV_SHARE: f64 = 0.5;
/// Target utilization of a decode engine's link by transfers, which queue and come in bursts.
const LINK_UTILIZATION: f64 = 0.5;
/// Required decode engines in proportion to the current ones above which one is taken from prefill even if prefill
/// lacks engines too.
const SHORTAGE_FACTOR: f64 = 1.25;
/// Decode engines, in proportion to the required ones, that must remain when one is taken from them. Answers take
/// longer the more of them an engine has, so the demand on the remaining engines would double, and full engines reject
/// prompts that were already prefilled.
const DECODE_MARGIN: f64 = 2.2;
/// Share of a service's engines by which one side must exceed its balanced number for one to be taken from it
/// although neither side lacks any.
const MIN_IMBALANCE: f64 = 0.05;
/// Share of the decode engines that must be required for a change because of [`MIN_IMBALANCE`]: the mix of a small
/// demand says little about the next one.
const MIN_UTILIZATION: f64 = 0.5;
/// Maximum share of the engines that change at a time, rounded up. Each is unavailable for seconds, so a demand that
/// swings back would find too few.
const MAX_CHANGING_SHARE: f64 = 0.1;
/// Minimum number of prefill engines.
const MIN_PREFILL: usize = 2;

/// An exponentially decaying sum, from which an average rate is computed.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingSum {
    sum: f64,
    at: Time,
}

impl DecayingSum {
    fn add(&mut self, amount: f64, now: Time) {
        self.sum = self.sum_at(now) + amount;
        self.at = now;
    }

    fn sum_at(&self, now: Time) -> f64 {
        self.sum * (-now.since(self.at).as_seconds() / AVERAGING_PERIOD.as_seconds()).exp()
    }

    /// Average amount per second.
    fn rate(&self, now: Time) -> f64 {
        self.sum_at(now) / AVERAGING_PERIOD.as_seconds()
    }
}

/// The demand for the engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineDemand {
    /// Number of engines that prefill would keep busy.
    pub prefill: f64,
    /// The part of `prefill` that can be in time and is processed before the rest.
    pub urgent: f64,
    /// Slots that answers would occupy.
    pub slots: f64,
    /// Tokens of KV cache that answers would occupy.
    pub tokens: f64,
    /// Number of engines that receiving transfers would keep busy.
    pub transfer: f64,
}

impl EngineDemand {
    /// Adds another demand for the same service.
    pub fn add(&mut self, other: Self) {
        self.prefill += other.prefill;
        self.urgent += other.urgent;
        self.slots += other.slots;
        self.tokens += other.tokens;
        self.transfer += other.transfer;
    }
}

/// Answers of one kind: how many start, how much KV cache they hold, and how long they take.
#[derive(Clone, Copy, Debug)]
struct AnswerMeter {
    started: DecayingSum,
    tokens: DecayingSum,
    seconds: RunningMean,
}

impl AnswerMeter {
    fn new(seconds: f64) -> Self {
        Self {
            started: DecayingSum::default(),
            tokens: DecayingSum::default(),
            seconds: RunningMean::new(seconds, MIN_ANSWER_TIME_WEIGHT),
        }
    }

    fn record_request(&mut self, tokens: u32, now: Time) {
        self.started.add(1.0, now);
        self.tokens.add(f64::from(tokens), now);
    }

    fn record_answer_time(&mut self, took: Span) {
        self.seconds.learn(took.as_seconds());
    }

    /// Average number of slots in use.
    fn slots(&self, now: Time) -> f64 {
        self.started.rate(now) * self.seconds.value()
    }

    /// Average number of KV cache tokens in use.
    fn held_tokens(&self, now: Time) -> f64 {
        self.tokens.rate(now) * self.seconds.value()
    }
}

/// The work that a request requires of engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestDemand {
    /// Milliseconds of prefill.
    pub prefill_ms: f64,
    /// Milliseconds of link time for transferring its KV cache.
    pub transfer_ms: f64,
    /// Tokens of its prompt.
    pub tokens: u32,
    /// Whether its answer occupies a slot for seconds.
    pub long: bool,
    /// Whether it can no longer be in time.
    pub late: bool,
}

/// Measures the demand that this daemon observes.
#[derive(Clone, Copy, Debug)]
pub struct DemandMeter {
    prefill: DecayingSum,
    urgent: DecayingSum,
    short: AnswerMeter,
    long: AnswerMeter,
    /// Engine-seconds of transfers.
    transfer: DecayingSum,
    has_requests: bool,
}

impl Default for DemandMeter {
    fn default() -> Self {
        Self {
            prefill: DecayingSum::default(),
            urgent: DecayingSum::default(),
            short: AnswerMeter::new(INITIAL_SHORT_SECONDS),
            long: AnswerMeter::new(INITIAL_LONG_SECONDS),
            transfer: DecayingSum::default(),
            has_requests: false,
        }
    }
}

impl DemandMeter {
    /// Records a request.
    pub fn record_request(&mut self, request: &RequestDemand, now: Time) {
        self.has_requests = true;
        self.prefill.add(request.prefill_ms / 1_000.0, now);
        if !request.late {
            self.urgent.add(request.prefill_ms / 1_000.0, now);
        }
        self.transfer.add(request.transfer_ms / 1_000.0, now);
        let meter = if request.long { &mut self.long } else { &mut self.short };
        meter.record_request(request.tokens, now);
    }

    /// Records the duration of an answer, and whether it was a long one.
    pub fn record_answer_time(&mut self, took: Span, long: bool) {
        let meter = if long { &mut self.long } else { &mut self.short };
        meter.record_answer_time(took);
    }

    /// The current demand.
    #[must_use]
    pub fn demand(&self, now: Time) -> EngineDemand {
        EngineDemand {
            prefill: self.prefill.rate(now),
            urgent: self.urgent.rate(now),
            slots: self.short.slots(now) + self.long.slots(now),
            tokens: self.short.held_tokens(now) + self.long.held_tokens(now),
            transfer: self.transfer.rate(now),
        }
    }
}

/// A change of one engine's role.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleChange {
    /// The engine.
    pub key: ReplicaKey,
    /// Its new role.
    pub to: Role,
    /// The demand that is the reason for the change.
    pub demand: EngineDemand,
    /// Numbers of prefill and decode engines before the change.
    pub counts_before: (usize, usize),
}

impl Fleet {
    /// The next worthwhile role change for a service, given the demand on all daemons.
    #[must_use]
    pub fn next_role_change(&self, service: &str, demand: EngineDemand, now: Time) -> Option<RoleChange> {
        let engines: Vec<(ReplicaKey, &Replica)> = self
            .replicas
            .iter()
            .filter(|(_, replica)| &*replica.facts.service == service && is_serving(replica, now))
            .collect();
        let count = |role| engines.iter().filter(|(_, replica)| target_role(replica, now) == role).count();
        let (prefill, decode) = (count(Role::Prefill), count(Role::Decode));
        if prefill + decode < MIN_ENGINES {
            return None;
        }
        let change = |key, to| RoleChange { key, to, demand, counts_before: (prefill, decode) };
        if demand == EngineDemand::default() {
            let wanted = ((prefill + decode) as f64 * self.policy.first_read_share) as usize;
            let lacks_prefill = prefill < wanted && decode > MIN_DECODE && !self.has_seen_demand(service);
            return least_loaded_engine(&engines, Role::Decode, now)
                .filter(|_| lacks_prefill)
                .map(|key| change(key, Role::Prefill));
        }
        let all = prefill + decode;
        let changing = engines.iter().filter(|(_, replica)| !replica.role_change_until.is_past(now)).count();
        if changing >= (all as f64 * MAX_CHANGING_SHARE).ceil() as usize {
            return None;
        }
        let required = self.required_engines(service, &engines, demand, now)?;
        let min_decode = min_decode(all);
        // Without prefill engines no larger prompt is served at all, so the first ones are taken from decode whatever
        // KV cache the answers would need.
        let margin = if prefill < MIN_PREFILL { 0.0 } else { DECODE_MARGIN };
        let kept = ((required.decode * margin).ceil() as usize).max(min_decode);
        if required.prefill > prefill as f64 && decode > kept {
            return least_loaded_engine(&engines, Role::Decode, now).map(|key| change(key, Role::Prefill));
        }
        let prefill_to_spare = required.prefill <= prefill.saturating_sub(1) as f64;
        let is_short = required.decode > decode as f64 * SHORTAGE_FACTOR;
        let wanted = (required.decode.ceil() as usize).max(min_decode);
        let balanced =
            all as f64 * required.decode_in_time / (required.prefill + required.decode_in_time).max(f64::MIN_POSITIVE);
        let is_utilized = required.decode_in_time >= decode as f64 * MIN_UTILIZATION;
        let is_imbalanced = is_utilized && balanced - decode as f64 >= (all as f64 * MIN_IMBALANCE).max(1.0);
        let lacks_decode = wanted > decode && (prefill_to_spare || is_short);
        if prefill > MIN_PREFILL && (lacks_decode || (is_imbalanced && prefill_to_spare)) {
            return least_loaded_engine(&engines, Role::Prefill, now).map(|key| change(key, Role::Decode));
        }
        None
    }

    /// The engines of each role that a demand requires at the target utilization.
    pub(super) fn required_engines(
        &self,
        service: &str,
        engines: &[(ReplicaKey, &Replica)],
        demand: EngineDemand,
        now: Time,
    ) -> Option<RequiredEngines> {
        let slots = f64::from(engines.iter().map(|(_, replica)| replica.facts.slots).min()?);
        let state = self.services.get(service);
        let kv_capacity = state.map_or(super::DEFAULT_KV_CAPACITY, |state| state.kv_capacity_tokens) as f64;
        let max_answers = state.and_then(|state| self.max_answers(state, now)).unwrap_or(f64::INFINITY);
        let decode_engines = engines.iter().filter(|(_, replica)| replica.facts.role == Role::Decode);
        let active: u32 = decode_engines.map(|(_, replica)| replica.active()).sum();
        let answers = demand.slots.max(f64::from(active));
        let usable_slots = slots * self.policy.slot_share;
        let for_kv = demand.tokens / (kv_capacity * ANSWER_KV_SHARE);
        let for_transfers = demand.transfer / LINK_UTILIZATION;
        Some(RequiredEngines {
            prefill: demand.prefill / self.policy.read_share,
            decode: (answers / usable_slots).max(for_kv).max(for_transfers),
            decode_in_time: (answers / usable_slots.min(max_answers)).max(for_kv).max(for_transfers),
        })
    }

    /// Whether there are engines with different roles, so that changing roles may be worthwhile.
    #[must_use]
    pub fn has_split_engines(&self) -> bool {
        self.replicas.values().any(|replica| matches!(replica.facts.role, Role::Prefill | Role::Decode))
    }

    /// Whether this daemon has received any request for the service.
    fn has_seen_demand(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|state| state.demand_meter.has_requests)
    }

    /// Sends no new work to an engine until `until`, because its role is changing to `to`.
    pub fn start_role_change(&mut self, key: ReplicaKey, to: Role, until: Time) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.role_change_until = until;
            replica.next_role = to;
            replica.ordered_here = true;
            self.reportable.insert(key);
        }
    }

    /// Gives an engine no orders until `from`.
    pub fn hold_orders_until(&mut self, key: ReplicaKey, from: Time) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.orders_held_until = from;
        }
    }

    /// Records the duration of an answer, and whether it was a long one.
    pub fn record_answer_time(&mut self, service: &str, took: Span, long: bool) {
        if let Some(state) = self.services.get_mut(service) {
            state.demand_meter.record_answer_time(took, long);
        }
    }

    /// Mean duration of a service's long answers.
    #[must_use]
    pub fn mean_answer_time(&self, service: &str) -> Span {
        self.services
            .get(service)
            .map_or(Span::seconds(INITIAL_LONG_SECONDS), |state| Span::seconds(state.demand_meter.long.seconds.value()))
    }

    /// The demand that this daemon and its peers observe for a service.
    #[must_use]
    pub fn demand(&self, service: &str, now: Time) -> EngineDemand {
        let own = self.services.get(service).map_or_else(EngineDemand::default, |state| state.demand_meter.demand(now));
        let key = super::short_id(service);
        let mut sum = own;
        for demand in self.peers.values().filter_map(|peer| peer.demands.get(&key)) {
            sum.add(*demand);
        }
        sum
    }
}

/// Number of engines required of each role.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequiredEngines {
    pub(super) prefill: f64,
    pub(super) decode: f64,
    /// Number of decode engines with which the longest answers also end in time.
    pub(super) decode_in_time: f64,
}

/// Minimum number of decode engines in a service with `engines` engines.
fn min_decode(engines: usize) -> usize {
    MIN_DECODE.max((engines as f64 * MIN_DECODE_SHARE) as usize)
}

/// The engine with this role that can change its role with the least disturbance. The only decode engine of a version of
/// software keeps its role, since the streams that began there go on nowhere else.
fn least_loaded_engine(engines: &[(ReplicaKey, &Replica)], role: Role, now: Time) -> Option<ReplicaKey> {
    engines
        .iter()
        .filter(|(_, replica)| {
            replica.facts.role == role
                && replica.role_change_until.is_past(now)
                && replica.orders_held_until.is_past(now)
        })
        .filter(|(_, replica)| replica.long_answers() == 0)
        .filter(|(_, replica)| role != Role::Decode || decode_engines_of(engines, replica.origin, now) > 1)
        .min_by(|a, b| load(a.1).total_cmp(&load(b.1)))
        .map(|(key, _)| *key)
}

/// Number of engines of a version of software that decode, or will when their role has changed.
fn decode_engines_of(engines: &[(ReplicaKey, &Replica)], origin: Origin, now: Time) -> usize {
    let of_version = engines.iter().filter(|(_, replica)| replica.origin == origin);
    of_version.filter(|(_, replica)| target_role(replica, now) != Role::Prefill).count()
}

fn is_serving(replica: &Replica, now: Time) -> bool {
    !replica.facts.draining && !replica.gone_at.is_past(now)
}

fn target_role(replica: &Replica, now: Time) -> Role {
    if replica.role_change_until.is_past(now) { replica.facts.role } else { replica.next_role }
}

fn load(replica: &Replica) -> f64 {
    f64::from(replica.active()) + replica.own_load.prefill_ms + replica.peer_load.prefill_ms
}

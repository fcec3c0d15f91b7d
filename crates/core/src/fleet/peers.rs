//! Load reports, in which daemons inform each other of the load that they put on replicas.
//!
//! Each message contains absolute figures, so the next message makes up for a lost one. A small number of daemons all
//! report to each other. With many daemons, each reports only to its hall peers, and one of them sends a summary of
//! their reports to the other halls. The number of messages that a daemon sends and receives then grows with its hall
//! and the number of halls, not with the number of daemons.

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    endpoint::Role,
    fleet::{
        Fleet, ServiceState,
        endings::{PartNote, Recipients, RequestNote},
        engine::LearnedModel,
        rate_limit::RateLimitNote,
        replica::{Load, Replica, ReplicaKey},
        short_id,
        split::EngineDemand,
    },
    prompt::{Part, Prompt},
    time::{Span, Time},
};

/// Time without a load report after which a peer expires and its load no longer counts.
pub const PEER_TIMEOUT: Span = Span::millis(1_500);
/// Time for which the ejection of a replica by a peer counts unless it is reported again.
const PEER_EJECTION_PERIOD: Span = Span::millis(600);
/// Interval between reports of what was learned.
const LEARNED_INTERVAL: Span = Span::millis(500);
/// Maximum number of prompts in a report; further ones are not reported.
const MAX_PROMPT_NOTES: usize = 32;
/// Maximum number of prompts in the summary of a hall.
const MAX_HALL_PROMPT_NOTES: usize = 96;

/// Maximum number of rate limits in a report, of about twenty bytes each.
const MAX_RATE_LIMIT_NOTES: usize = 256;
/// Maximum number of prompt parts in a message, of about fourteen bytes each, so that it fits into a datagram however
/// many parts prompts have.
const MAX_PARTS: usize = 384;

/// The daemons whose load a report describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Source {
    /// A single daemon, by the identifier of its run.
    Daemon(u64),
    /// All daemons of the hall with this hash.
    Hall(u32),
}

/// Identifies a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportId {
    /// The daemons whose load it describes.
    pub source: Source,
    /// Identifier of the run of the daemon that sent it.
    pub sender: u64,
    /// Sequence number of that daemon.
    pub number: u64,
    /// Hash of that daemon's hall.
    pub hall: u32,
    /// Number of daemons that it describes.
    pub daemons: u32,
}

/// The load of a daemon or a hall on one replica.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaLoad {
    /// The replica's `start_id`.
    pub replica: u32,
    /// Milliseconds of prefill.
    #[serde(rename = "reading_ms")]
    pub prefill_ms: u32,
    /// The part of `prefill_ms` that is processed after all other prefill.
    pub late_ms: u32,
    /// Active requests.
    pub active: u32,
    /// Active requests with long answers.
    #[serde(rename = "streams")]
    pub long_answers: u32,
    /// Whether one of the reporting daemons has ejected the replica, since it failed repeatedly or could not be reached.
    #[serde(rename = "unreachable")]
    pub ejected: bool,
}

/// The demand that a daemon observes for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// Hash of the service's name.
    pub service: u32,
    /// Number of engines that prefill would keep busy.
    #[serde(rename = "reading")]
    pub prefill: f32,
    /// The part of `prefill` that can be in time.
    pub urgent: f32,
    /// Slots that answers would occupy.
    pub slots: f32,
    /// Tokens of KV cache that answers would occupy.
    pub tokens: f32,
    /// Number of engines that receiving transfers would keep busy.
    #[serde(rename = "moving")]
    pub transfer: f32,
}

/// An engine whose role is changing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangingEngine {
    /// The replica's `start_id`.
    pub replica: u32,
    /// Whether it becomes a prefill engine, or else a decode engine.
    pub to_prefill: bool,
    /// Milliseconds for which it gets no new work.
    pub left_ms: u32,
}

/// The contents of a load report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Load on each replica.
    pub loads: Vec<ReplicaLoad>,
    /// Prompts that were sent since the previous report.
    #[serde(rename = "reads")]
    pub prompts: Vec<PromptNote>,
    /// Observed demand for each service.
    pub demands: Vec<ServiceDemand>,
    /// Engines whose role is being changed by the reporting daemons.
    #[serde(rename = "changing")]
    pub role_changes: Vec<ChangingEngine>,
    /// What was learned about engines; empty in most reports.
    pub learned: Vec<ServiceLearned>,
    /// Requests during which replicas crashed.
    pub requests: Vec<RequestNote>,
    /// Parts of prompts during whose requests replicas crashed.
    pub parts: Vec<PartNote>,
    /// Rate limits that replicas stated.
    pub rate_limits: Vec<RateLimitNote>,
}

/// What a daemon has learned about the engines of one service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLearned {
    /// Hash of the service's name.
    pub service: u32,
    /// The learned model.
    pub learned: LearnedModel,
}

/// A prompt that was sent to a replica, whose KV cache therefore holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptNote {
    /// The replica's `start_id`.
    pub replica: u32,
    /// Prefix hash and number of tokens of each part of the prompt.
    pub parts: Vec<(u64, u32)>,
}

impl PromptNote {
    /// Creates a note of a prompt that is prefilled by this start of a replica.
    #[must_use]
    pub fn new(start_id: u32, prompt: &Prompt) -> Self {
        Self { replica: start_id, parts: prompt.parts.iter().map(|part| (part.prefix_hash, part.tokens)).collect() }
    }
}

/// The last load report of a daemon or a hall.
#[derive(Clone, Debug)]
pub struct LastReport {
    id: ReportId,
    heard_at: Time,
    loads: HashMap<ReplicaKey, Load>,
    /// Replicas that it has ejected.
    ejected: Vec<ReplicaKey>,
    /// Demand by the hash of the service's name.
    pub(super) demands: HashMap<u32, EngineDemand>,
}

impl Fleet {
    /// Returns the current load report of this daemon for its peers.
    pub fn own_report(&mut self, now: Time) -> LoadReport {
        let learned = self.learned_report(now);
        let daemons = self.daemons();
        let requests = self.crashes.due_notes(Recipients::HallPeers, daemons, now);
        let parts = self.crashes.parts.due_notes(Recipients::HallPeers, daemons, now);
        let mut prompts = std::mem::take(&mut self.prompt_notes);
        prompts.truncate(MAX_PROMPT_NOTES);
        limit_parts(&mut prompts);
        self.hall_prompt_notes.extend(prompts.iter().cloned());
        self.hall_prompt_notes.truncate(MAX_HALL_PROMPT_NOTES);
        self.prune_reportable(now);
        let loaded = self.reportable_replicas().map(|(_, replica)| replica);
        let loaded = loaded.filter(|replica| replica.own_load.active > 0 || is_unreachable(replica, now));
        let loads = loaded.map(|replica| to_replica_load(replica, replica.own_load, is_unreachable(replica, now)));
        let demands = self.services.iter().map(|(name, state)| (short_id(name), state.demand_meter.demand(now)));
        LoadReport {
            loads: loads.collect(),
            prompts,
            demands: demands.filter_map(to_service_demand).collect(),
            role_changes: self.role_changes(now, |replica| replica.ordered_here),
            learned,
            requests,
            parts,
            rate_limits: self.rate_limits(false, now),
        }
    }

    /// Returns the current summary of all daemons of this hall for other halls, and the number of these daemons.
    pub fn hall_summary(&mut self, now: Time) -> (LoadReport, u32) {
        let hall_peers: Vec<&LastReport> =
            self.peers.values().filter(|peer| peer.is_from_hall_peer(self.hall_hash)).collect();
        let mut demands: HashMap<u32, EngineDemand> = HashMap::new();
        let own = self.services.iter().map(|(name, state)| (short_id(name), state.demand_meter.demand(now)));
        for (service, demand) in own.chain(hall_peers.iter().flat_map(|peer| peer.demands.clone())) {
            demands.entry(service).or_default().add(demand);
        }
        let mut loads_by_replica: HashMap<ReplicaKey, (Load, bool)> = HashMap::new();
        for (key, replica) in self.reportable_replicas() {
            let ejected = is_unreachable(replica, now);
            if replica.own_load.active > 0 || ejected {
                loads_by_replica.insert(key, (replica.own_load, ejected));
            }
        }
        for (key, load) in hall_peers.iter().flat_map(|peer| &peer.loads) {
            let sum = &mut loads_by_replica.entry(*key).or_default().0;
            *sum = sum.plus(*load);
        }
        for key in hall_peers.iter().flat_map(|peer| &peer.ejected) {
            loads_by_replica.entry(*key).or_default().1 = true;
        }
        let reported = loads_by_replica.into_iter().filter(|(_, (load, ejected))| load.active > 0 || *ejected);
        let loads =
            reported.filter_map(|(key, (load, ejected))| Some(to_replica_load(self.replicas.get(key)?, load, ejected)));
        let loads = loads.collect();
        let daemons = hall_peers.len() as u32 + 1;
        let mut prompts = std::mem::take(&mut self.hall_prompt_notes);
        limit_parts(&mut prompts);
        let report = LoadReport {
            loads,
            prompts,
            demands: demands.into_iter().filter_map(to_service_demand).collect(),
            role_changes: self.role_changes(now, |replica| replica.ordered_here || replica.ordered_in_hall),
            learned: Vec::new(),
            requests: self.crashes.due_notes(Recipients::OtherHalls, daemons as usize, now),
            parts: self.crashes.parts.due_notes(Recipients::OtherHalls, daemons as usize, now),
            rate_limits: self.rate_limits(true, now),
        };
        (report, daemons)
    }

    /// Applies a load report; returns the replicas whose rate limits changed.
    pub fn apply_report(&mut self, id: ReportId, report: &LoadReport, now: Time) -> Vec<ReplicaKey> {
        let in_hall = id.hall == self.hall_hash;
        self.crashes.apply_notes(&report.requests, in_hall, now);
        self.crashes.parts.apply_notes(&report.parts, in_hall, now);
        if self.is_covered(&id) {
            return Vec::new();
        }
        let mut limits_changed = Vec::new();
        let is_outdated = self.peers.get(&id.source).is_some_and(|peer| peer.id.supersedes(&id));
        if !is_outdated {
            self.remove_covered(&id, now);
            self.replace_peer(id, &report.loads, now);
            if let Some(peer) = self.peers.get_mut(&id.source) {
                peer.demands = report.demands.iter().map(ServiceDemand::demand).collect();
            }
            self.apply_role_changes(&report.role_changes, in_hall, now);
            limits_changed = self.apply_rate_limits(&report.rate_limits, in_hall, now);
        }
        self.apply_learned(&report.learned);
        if in_hall {
            self.hall_prompt_notes.extend(report.prompts.iter().cloned());
            self.hall_prompt_notes.truncate(MAX_HALL_PROMPT_NOTES);
        }
        for note in &report.prompts {
            let Some(key) = self.by_start_id.get(&note.replica).copied() else { continue };
            if let Some(replica) = self.replicas.get_mut(key) {
                let parts: Vec<Part> = note
                    .parts
                    .iter()
                    .map(|(prefix_hash, tokens)| Part { prefix_hash: *prefix_hash, tokens: *tokens })
                    .collect();
                replica.cache.insert(&parts);
                self.candidates.record_prompt(key, &parts);
            }
        }
        limits_changed
    }

    /// Rate limits to report within this hall, or to other halls if `to_halls` is set.
    fn rate_limits(&self, to_halls: bool, now: Time) -> Vec<RateLimitNote> {
        let replicas = self.reportable_replicas().map(|(_, replica)| replica);
        let reportable = replicas.filter(|replica| replica.rate_limit.is_reportable(to_halls, now));
        reportable.take(MAX_RATE_LIMIT_NOTES).map(|replica| replica.rate_limit.note(replica.start_id, now)).collect()
    }

    /// Applies reported rate limits; returns the replicas whose limits changed.
    fn apply_rate_limits(&mut self, notes: &[RateLimitNote], in_hall: bool, now: Time) -> Vec<ReplicaKey> {
        if notes.is_empty() {
            return Vec::new();
        }
        let share = self.rate_limit_share;
        let mut changed = Vec::new();
        for note in notes {
            let Some(key) = self.by_start_id.get(&note.replica).copied() else { continue };
            let Some(replica) = self.replicas.get_mut(key) else { continue };
            if replica.rate_limit.update_from_report(note, in_hall, share, now) {
                changed.push(key);
            }
            self.reportable.insert(key);
        }
        changed
    }

    /// What this daemon has learned, if the next report of it is due.
    fn learned_report(&mut self, now: Time) -> Vec<ServiceLearned> {
        if !self.next_learned_report.is_past(now) {
            return Vec::new();
        }
        self.next_learned_report = now + LEARNED_INTERVAL;
        let to_learned = |(name, state): (&Arc<str>, &ServiceState)| {
            let learned = state.engine.learned()?;
            Some(ServiceLearned { service: short_id(name), learned })
        };
        self.services.iter().filter_map(to_learned).collect()
    }

    fn apply_learned(&mut self, all: &[ServiceLearned]) {
        if all.is_empty() {
            return;
        }
        for (name, state) in &mut self.services {
            let service = short_id(name);
            for learned in all.iter().filter(|learned| learned.service == service) {
                state.engine.adopt(&learned.learned);
            }
        }
    }

    /// Whether the report is already contained in a summary of its hall, or summarizes this hall.
    fn is_covered(&self, id: &ReportId) -> bool {
        match id.source {
            Source::Daemon(_) => id.hall != self.hall_hash && self.peers.contains_key(&Source::Hall(id.hall)),
            Source::Hall(hall) => hall == self.hall_hash,
        }
    }

    /// Removes reports of single daemons that are now contained in a summary of their hall.
    fn remove_covered(&mut self, id: &ReportId, now: Time) {
        let Source::Hall(hall) = id.source else {
            return;
        };
        let covered: Vec<Source> =
            self.peers.values().filter(|peer| peer.is_from_hall_peer(hall)).map(|peer| peer.id.source).collect();
        for source in covered {
            self.remove_peer(source, now);
        }
    }

    /// Replicas for which there may be something to report.
    fn reportable_replicas(&self) -> impl Iterator<Item = (ReplicaKey, &Replica)> {
        self.reportable.iter().filter_map(|key| Some((*key, self.replicas.get(*key)?)))
    }

    /// Drops replicas for which there is nothing left to report.
    fn prune_reportable(&mut self, now: Time) {
        let replicas = &self.replicas;
        self.reportable.retain(|key| {
            replicas.get(*key).is_some_and(|replica| {
                replica.own_load.active > 0
                    || is_ejected(replica, now)
                    || !replica.role_change_until.is_past(now)
                    || replica.rate_limit.is_reportable(true, now)
            })
        });
    }

    fn role_changes(&self, now: Time, by: impl Fn(&Replica) -> bool) -> Vec<ChangingEngine> {
        let replicas = self.reportable_replicas().map(|(_, replica)| replica);
        let changing = replicas.filter(|replica| by(replica) && !replica.role_change_until.is_past(now));
        let changing = changing.map(|replica| ChangingEngine {
            replica: replica.start_id,
            to_prefill: replica.next_role == Role::Prefill,
            left_ms: replica.role_change_until.since(now).as_millis() as u32,
        });
        changing.collect()
    }

    fn apply_role_changes(&mut self, changes: &[ChangingEngine], in_hall: bool, now: Time) {
        for change in changes {
            let to = if change.to_prefill { Role::Prefill } else { Role::Decode };
            let until = now + Span::millis(u64::from(change.left_ms));
            let Some(key) = self.by_start_id.get(&change.replica).copied() else { continue };
            if let Some(replica) = self.replicas.get_mut(key)
                && replica.facts.role != to
            {
                self.reportable.insert(key);
                replica.role_change_until = until;
                replica.next_role = to;
                replica.ordered_in_hall = in_hall;
            }
        }
    }

    /// Removes daemons and halls whose last load report has expired; returns the run identifiers of the senders.
    pub fn remove_expired_peers(&mut self, now: Time) -> Vec<u64> {
        let expired: Vec<ReportId> =
            self.peers.values().filter(|peer| now.since(peer.heard_at) > PEER_TIMEOUT).map(|peer| peer.id).collect();
        for id in &expired {
            self.remove_peer(id.source, now);
        }
        expired.into_iter().map(|id| id.sender).collect()
    }

    /// Number of daemons whose reports arrive, including this one.
    #[must_use]
    pub fn daemons(&self) -> usize {
        self.peers.values().map(|peer| peer.id.daemons as usize).sum::<usize>() + 1
    }

    /// Age of the oldest peer report in milliseconds.
    #[must_use]
    pub fn peers_age_ms(&self, now: Time) -> u64 {
        self.peers.values().map(|peer| now.since(peer.heard_at).as_millis()).max().unwrap_or(0)
    }

    fn remove_peer(&mut self, source: Source, now: Time) {
        if let Some(peer) = self.peers.get(&source) {
            self.replace_peer(peer.id, &[], now);
            self.peers.remove(&source);
        }
    }

    fn replace_peer(&mut self, id: ReportId, loads: &[ReplicaLoad], now: Time) {
        let previous = self.peers.remove(&id.source).map(|peer| peer.loads).unwrap_or_default();
        for (key, load) in previous {
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.peer_load = replica.peer_load.minus(load);
            }
        }
        let mut loads_by_key = HashMap::with_capacity(loads.len());
        let mut ejected = Vec::new();
        for load in loads {
            let Some(key) = self.by_start_id.get(&load.replica).copied() else {
                continue;
            };
            let replica_load = Load {
                prefill_ms: f64::from(load.prefill_ms),
                late_ms: f64::from(load.late_ms),
                active: load.active,
                long_answers: load.long_answers,
            };
            if let Some(replica) = self.replicas.get_mut(key) {
                replica.peer_load = replica.peer_load.plus(replica_load);
                if load.ejected {
                    replica.ejected_by_peer_until = now + PEER_EJECTION_PERIOD;
                    ejected.push(key);
                }
            }
            loads_by_key.insert(key, replica_load);
        }
        self.peers
            .insert(id.source, LastReport { id, heard_at: now, loads: loads_by_key, ejected, demands: HashMap::new() });
    }
}

impl ReportId {
    /// Whether `other` is not newer than this report and was sent by the same daemon.
    const fn supersedes(&self, other: &Self) -> bool {
        self.sender == other.sender && self.number >= other.number
    }
}

impl LastReport {
    /// Whether a single daemon of the given hall sent it.
    const fn is_from_hall_peer(&self, hall: u32) -> bool {
        matches!(self.id.source, Source::Daemon(_)) && self.id.hall == hall
    }
}

impl ServiceDemand {
    const fn demand(&self) -> (u32, EngineDemand) {
        let demand = EngineDemand {
            prefill: self.prefill as f64,
            urgent: self.urgent as f64,
            slots: self.slots as f64,
            tokens: self.tokens as f64,
            transfer: self.transfer as f64,
        };
        (self.service, demand)
    }
}

/// The reported form of a demand; `None` if there is none.
fn to_service_demand((service, demand): (u32, EngineDemand)) -> Option<ServiceDemand> {
    let reported = ServiceDemand {
        service,
        prefill: demand.prefill as f32,
        urgent: demand.urgent as f32,
        slots: demand.slots as f32,
        tokens: demand.tokens as f32,
        transfer: demand.transfer as f32,
    };
    (reported.prefill > 0.0 || reported.slots > 0.0).then_some(reported)
}

/// Drops the last notes if the parts of all notes do not fit into a message.
fn limit_parts(notes: &mut Vec<PromptNote>) {
    let mut parts = 0;
    notes.retain(|note| {
        parts += note.parts.len();
        parts <= MAX_PARTS
    });
}

fn is_ejected(replica: &Replica, now: Time) -> bool {
    replica.health.ejected_until(now).is_some()
}

/// Whether a replica is ejected and not just being looked for through peers.
fn is_unreachable(replica: &Replica, now: Time) -> bool {
    is_ejected(replica, now) && !replica.path.is_checking()
}

fn to_replica_load(replica: &Replica, load: Load, ejected: bool) -> ReplicaLoad {
    ReplicaLoad {
        replica: replica.start_id,
        prefill_ms: load.prefill_ms as u32,
        late_ms: load.late_ms as u32,
        active: load.active,
        long_answers: load.long_answers,
        ejected,
    }
}

//! Changes carried out by a shard's holder, one order at a time per engine.
//!
//! Steps of a role change: mark the engine, so that daemons send it no new work; cordon it, so that it rejects work
//! from a daemon that is cut off; wait until it reports that nothing runs; change the role; uncordon it. No request
//! that a person waits for is interrupted.

use std::{collections::BTreeMap, sync::Arc};

use dahliaseam_border::http::{HttpClient, Reuse};
use dahliaseam_core::{
    bucket::TokenBucket,
    custody::{EngineStatus, Fencing, OrderKind, WaitReason},
    endpoint::Role,
    mix::TokenDemand,
    planner::{AverageDemand, Planner, RoleCounts},
    time::{Span, Time},
};
use dahliaseam_wire::{
    peer::{Marks, PeerClient},
    resource::{Document, EndpointSpec, RoleSpec},
};
use futures_util::future::join_all;

use super::{
    custodian::{EngineCustody, ReconcileResult, query_status},
    shard::Shard,
};
use crate::{emit, endpoint::duties, node::Node};

/// Number of daemons asked for their demand; the sum is scaled up to all live daemons.
const DEMAND_SAMPLE_SIZE: usize = 16;
/// Interval between updates of the demand.
const DEMAND_INTERVAL: Span = Span::millis(2_000);
/// Interval between status requests to an engine with nothing to do.
const IDLE_STATUS_INTERVAL: Span = Span::millis(2_000);
/// Number of daemons that are sent new marks directly; the others get them by gossip.
const MARK_FANOUT: usize = 16;
/// Interval between attempts to release records while the lease is not held.
const RELEASE_INTERVAL: Span = Span::millis(500);
/// Number of orders to load a model or adapter that may be given at once.
const LOAD_BURST: f64 = 2.0;
const SECONDS_PER_MINUTE: f64 = 60.0;

/// State of the changes in one shard.
#[derive(Debug)]
pub(super) struct ShardChanges {
    pool: String,
    client: HttpClient,
    custody_by_engine: BTreeMap<String, EngineCustody>,
    targets: BTreeMap<String, Role>,
    /// Last status of each engine, and when it was requested.
    statuses: BTreeMap<String, (Time, EngineStatus)>,
    planner: Planner,
    demand: AverageDemand,
    next_demand_at: Time,
    next_release_at: Time,
    load_bucket: TokenBucket,
    marks: Option<Marks>,
    /// Marks last sent; sent again when they or the fencing number change.
    sent_marks: Option<Marks>,
}

/// The engines of the shard with their status, if they answered.
type Engines = BTreeMap<String, (EndpointSpec, Option<EngineStatus>)>;

impl ShardChanges {
    pub(super) fn new(node: &Node, pool: &str) -> Self {
        let per_second = node.settings.loads_per_minute / SECONDS_PER_MINUTE;
        Self {
            pool: pool.to_owned(),
            client: HttpClient::new(Reuse::Fresh),
            custody_by_engine: BTreeMap::new(),
            targets: BTreeMap::new(),
            statuses: BTreeMap::new(),
            planner: Planner::default(),
            demand: AverageDemand::default(),
            next_demand_at: Time::default(),
            next_release_at: Time::default(),
            load_bucket: TokenBucket::new(per_second, LOAD_BURST, node.now()),
            marks: None,
            sent_marks: None,
        }
    }

    /// Runs one round while the shard's lease is held.
    pub(super) async fn run_round(&mut self, node: &Arc<Node>, shard: &Shard) {
        let doc = node.document();
        let engines = self.query_engines(node, &doc).await;
        self.targets.retain(|name, _| engines.contains_key(name));
        self.update_demand(node).await;
        self.plan(node, &doc, &engines);
        self.send_marks(node, shard, &engines).await;
        self.reconcile(node, shard, &doc, &engines).await;
        self.publish_changing(node, &engines);
    }

    /// Runs one round while the lease is not held: releases the engines that are still in this process's custody.
    pub(super) async fn step_down(&mut self, node: &Node) {
        self.targets.clear();
        self.sent_marks = None;
        if self.next_release_at.is_past(node.now()) {
            self.next_release_at = node.now() + RELEASE_INTERVAL;
            self.release_all(node).await;
        }
    }

    /// Releases every engine record that may name this process; returns whether none is left.
    pub(super) async fn release_all(&mut self, node: &Node) -> bool {
        let doc = node.document();
        for (name, custody) in &mut self.custody_by_engine {
            if let Some(endpoint) = doc.endpoints.get(name).filter(|_| custody.may_be_own()) {
                custody.release(node, &self.client, &endpoint.spec).await;
            }
        }
        !self.custody_by_engine.values().any(EngineCustody::may_be_own)
    }

    /// Status of each engine. Engines with something to do are asked in every round, the others at a longer interval.
    async fn query_engines(&mut self, node: &Node, doc: &Document) -> Engines {
        let now = node.now();
        let pool_endpoints = doc.endpoints.iter().filter(|(_, e)| e.spec.pool == self.pool);
        let calls = pool_endpoints.map(|(name, endpoint)| async {
            let (spec, known) = (&endpoint.spec, self.statuses.get(name));
            let known = known.filter(|(at, status)| {
                now.since(*at) < IDLE_STATUS_INTERVAL && self.is_as_desired(doc, name, spec, status)
            });
            let status = match known {
                Some(known) => Some(known.clone()),
                None => query_status(&self.client, spec).await.map(|status| (now, status)),
            };
            (name.clone(), (spec.clone(), status))
        });
        let results: Vec<_> = join_all(calls).await;
        self.statuses =
            results.iter().filter_map(|(name, (_, status))| Some((name.clone(), status.clone()?))).collect();
        results.into_iter().map(|(name, (spec, status))| (name, (spec, status.map(|(_, status)| status)))).collect()
    }

    /// Whether an engine is in its desired state, according to its last status.
    fn is_as_desired(&self, doc: &Document, name: &str, spec: &EndpointSpec, status: &EngineStatus) -> bool {
        !self.targets.contains_key(name)
            && !self.custody_by_engine.get(name).is_some_and(EngineCustody::may_have_open_order)
            && !status.changing
            && status.cordoned == spec.drained
            && desired_loads(doc, spec).all(|item| status.loaded.contains(&item))
            && doc.roles.get(&self.pool).is_none_or(|r| r.spec.fixed.get(name).is_none_or(|role| *role == status.role))
    }

    async fn update_demand(&mut self, node: &Arc<Node>) {
        let now = node.now();
        if !self.next_demand_at.is_past(now) {
            return;
        }
        self.next_demand_at = now + DEMAND_INTERVAL;
        let (live, addresses) = sample(node, DEMAND_SAMPLE_SIZE - 1);
        let calls = addresses.iter().map(|address| async {
            let client = node.peers.get(node, address)?;
            node.metrics.peer_call("demand");
            let report = client.demand().await.ok()?;
            report.pools.into_iter().find(|p| p.pool == self.pool).map(|p| (p.short, p.long))
        });
        let mut demands: Vec<_> = join_all(calls).await.into_iter().flatten().collect();
        demands.extend(node.dispatcher.demand(&self.pool, now));
        let scale = live as f64 / demands.len().max(1) as f64;
        let sum = |pick: fn(&(TokenDemand, TokenDemand)) -> TokenDemand| {
            let sum = demands.iter().map(pick).fold(TokenDemand::default(), TokenDemand::plus);
            TokenDemand { prefill: sum.prefill * scale, decode: sum.decode * scale }
        };
        self.demand = AverageDemand { short: sum(|d| d.0), long: sum(|d| d.1) };
    }

    fn plan(&mut self, node: &Node, doc: &Document, engines: &Engines) {
        let Some(role_spec) = doc.roles.get(&self.pool).map(|r| &r.spec) else { return };
        for (name, role) in &role_spec.fixed {
            let differs = engines.get(name).and_then(|(_, s)| s.as_ref()).is_some_and(|s| s.role != *role);
            if differs {
                self.targets.insert(name.clone(), *role);
            }
        }
        self.plan_flexible(node, doc, engines, role_spec);
    }

    fn plan_flexible(&mut self, node: &Node, doc: &Document, engines: &Engines, role_spec: &RoleSpec) {
        let Some(pool) = doc.pools.get(&self.pool) else { return };
        let flexible: Vec<_> = engines
            .iter()
            .filter(|(name, (spec, _))| !role_spec.fixed.contains_key(*name) && !spec.drained)
            .filter_map(|(name, (_, status))| Some((name, status.as_ref()?)))
            .collect();
        // An engine whose role is changing counts in its new role.
        let role_of = |name: &str, status: &EngineStatus| self.targets.get(name).copied().unwrap_or(status.role);
        let mut counts = RoleCounts::default();
        for (name, status) in &flexible {
            match role_of(name, status) {
                Role::Prefill => counts.prefill += 1,
                Role::Decode => counts.decode += 1,
                Role::Mixed => counts.mixed += 1,
                Role::Plain => {}
            }
        }
        let rates = pool.spec.role_rates;
        let in_flight = self.targets.len();
        let now = node.now();
        let change = self.planner.plan(&role_spec.planner, rates, counts, self.demand, in_flight, now);
        let Some(change) = change else { return };
        let candidates = flexible.iter().filter(|(name, status)| {
            status.role == change.from && !self.targets.contains_key(*name) && !status.cordoned
        });
        let Some((name, _)) = candidates.min_by_key(|(_, status)| status.running) else { return };
        emit!(info, ROLE_PLANNED, engine = name, from = ?change.from, to = ?change.to,
            gain = change.gain, loss = change.loss);
        node.metrics.role_change(&self.pool);
        self.targets.insert((*name).clone(), change.to);
    }

    async fn send_marks(&mut self, node: &Arc<Node>, shard: &Shard, engines: &Engines) {
        let Some(authority) = shard.authority(node.now()) else { return };
        let marks = self.next_marks(shard, authority.epoch(), engines);
        if self.sent_marks.as_ref() == Some(&marks) {
            return;
        }
        node.availability.apply_marks(marks.clone());
        duties::apply(node);
        let (_, addresses) = sample(node, MARK_FANOUT);
        let calls = addresses.iter().map(|address| async {
            let client = node.peers.get(node, address)?;
            node.metrics.peer_call("marks");
            client.marks(marks.clone()).await.ok()
        });
        join_all(calls).await;
        self.sent_marks = Some(marks);
    }

    fn next_marks(&mut self, shard: &Shard, epoch: u64, engines: &Engines) -> Marks {
        let leaving: Vec<_> = self.targets.keys().cloned().collect();
        let roles: Vec<_> =
            engines.iter().filter_map(|(name, (_, status))| Some((name.clone(), status.as_ref()?.role))).collect();
        let is_same = |m: &&Marks| m.epoch == epoch && m.leaving == leaving && m.roles == roles;
        if let Some(current) = self.marks.as_ref().filter(is_same) {
            return current.clone();
        }
        let previous = self.marks.as_ref().filter(|m| m.epoch == epoch);
        let marks = Marks {
            shard: shard.name().to_owned(),
            epoch,
            sequence: previous.map_or(0, |m| m.sequence) + 1,
            leaving,
            roles,
        };
        self.marks = Some(marks.clone());
        marks
    }

    async fn reconcile(&mut self, node: &Arc<Node>, shard: &Shard, doc: &Document, engines: &Engines) {
        for (name, (spec, status)) in engines {
            let order = status.as_ref().and_then(|s| self.next_order(node, doc, name, spec, s));
            let may_be_own = self.custody_by_engine.get(name).is_some_and(EngineCustody::may_be_own);
            if order.is_none() && !may_be_own {
                continue;
            }
            let custody = self.custody_by_engine.entry(name.clone()).or_insert_with(|| EngineCustody::new(node, name));
            let result = custody.reconcile(node, &self.client, shard, spec, order.as_ref(), status.clone()).await;
            let wait_reason = match result {
                ReconcileResult::Waiting(wait) => Some(wait),
                ReconcileResult::Done | ReconcileResult::Incomplete => None,
            };
            if node.control.set_wait_reason(name, wait_reason) && wait_reason == Some(WaitReason::FormerCustodian) {
                emit!(warn, CUSTODY_WAITS, engine = name, ignores = spec.fencing == Fencing::Ignores);
            }
        }
    }

    /// The next order that an engine should get, if any.
    fn next_order(
        &mut self,
        node: &Node,
        doc: &Document,
        name: &str,
        spec: &EndpointSpec,
        status: &EngineStatus,
    ) -> Option<OrderKind> {
        if let Some(role) = self.targets.get(name).copied() {
            if status.role != role {
                let empty = status.cordoned && status.running == 0;
                return Some(if empty { OrderKind::SetRole(role) } else { OrderKind::Cordon });
            }
            if !status.cordoned && !status.changing {
                self.targets.remove(name);
            }
        }
        if spec.drained {
            return (!status.cordoned).then_some(OrderKind::Cordon);
        }
        if status.cordoned {
            return Some(OrderKind::Uncordon);
        }
        let missing = desired_loads(doc, spec).find(|item| !status.loaded.contains(item))?;
        self.load_bucket.take(1.0, node.now()).then_some(OrderKind::Load(missing))
    }

    fn publish_changing(&self, node: &Node, engines: &Engines) {
        let changing = self.targets.iter().map(|(name, role)| (name.clone(), format!("to {role:?}").to_lowercase()));
        let names: Vec<_> = engines.keys().cloned().collect();
        node.control.set_changing(&names, changing.collect());
    }
}

/// What an engine should have loaded: its own list, and the configured versions of its pool's models.
fn desired_loads<'a>(doc: &'a Document, spec: &'a EndpointSpec) -> impl Iterator<Item = String> + 'a {
    let models = doc.pools.get(&spec.pool).map(|p| p.spec.models.as_slice()).unwrap_or_default();
    let versions = models.iter().filter_map(|m| doc.models.get(m)).map(|m| m.spec.version.clone());
    spec.load.iter().cloned().chain(versions)
}

/// The number of live daemons, and the addresses of up to `count` others drawn at random.
fn sample(node: &Node, count: usize) -> (usize, Vec<String>) {
    let mut members = node.members();
    let live = members.live_count();
    let mut keys = Vec::new();
    // Draws more often than needed, since the same daemon may be drawn twice.
    for _ in 0..count * 2 {
        let drawn = members.random_live();
        keys.extend(drawn.filter(|key| keys.len() < count && !keys.contains(key)));
    }
    let addresses = keys.iter().filter_map(|key| members.get(*key)).map(|m| m.contact.address.clone());
    (live, addresses.collect())
}

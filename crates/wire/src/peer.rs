//! The calls between daemons, by `jsonrpsee`.
//!
//! Each call carries the deployment's secret in the HTTP `authorization` header.

use dahliaseam_core::member::{Contact, Update};
use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use serde::{Deserialize, Serialize};

use crate::{
    operator::{RequestRecord, VmStatus},
    resource::Document,
};

/// What a daemon says of its copies, on every probe.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Generation of its configuration.
    pub generation: u64,
    /// Milliseconds since that copy was confirmed at the service, by it or through others.
    pub confirmed_ms: u64,
    /// Hash of the marks in force.
    pub marks: u64,
    /// Milliseconds since its list of VMs was confirmed.
    pub list_ms: u64,
}

/// A probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Who probes.
    pub from: Contact,
    /// News, the sender's own first.
    #[serde(rename = "news")]
    pub updates: Vec<Update>,
    /// The sender's copies.
    pub digest: Digest,
    /// VMs of configured endpoints that the sender's list shows as leaving or gone.
    pub closed_vms: Vec<String>,
    /// Load that the sender has seen or put on endpoints lately.
    pub loads: Vec<EndpointLoad>,
}

/// The answer to a probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Stamp of the answering process's start.
    pub start: u64,
    /// Its refutation counter.
    pub refutation: u32,
    /// News.
    #[serde(rename = "news")]
    pub updates: Vec<Update>,
    /// Its copies.
    pub digest: Digest,
    /// VMs of configured endpoints that its list shows as leaving or gone.
    pub closed_vms: Vec<String>,
    /// Load that it has seen or put on endpoints lately.
    pub loads: Vec<EndpointLoad>,
}

/// The load of an endpoint as one daemon saw it.
///
/// A tuple on the wire, since these make up most of what daemons send each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LoadTuple", into = "LoadTuple")]
pub struct EndpointLoad {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Milliseconds since it was true.
    pub age_ms: u64,
    /// Prompt tokens that wait.
    pub queued_prefill: u32,
    /// Sequences being generated.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that the sender itself has sent and not seen answered.
    pub own_prefill: u32,
}

type LoadTuple = (u64, u64, u32, u32, u32, u32);

impl From<LoadTuple> for EndpointLoad {
    fn from(t: LoadTuple) -> Self {
        Self { endpoint: t.0, age_ms: t.1, queued_prefill: t.2, running: t.3, waiting: t.4, own_prefill: t.5 }
    }
}

impl From<EndpointLoad> for LoadTuple {
    fn from(n: EndpointLoad) -> Self {
        (n.endpoint, n.age_ms, n.queued_prefill, n.running, n.waiting, n.own_prefill)
    }
}

/// Marks of one shard's holder: which endpoints get no new work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marks {
    /// The shard.
    pub shard: String,
    /// The holder's fencing number; older ones are refused.
    pub epoch: u64,
    /// Grows with each change under one number.
    pub sequence: u64,
    /// Names of the endpoints that get no new work.
    pub leaving: Vec<String>,
    /// Roles as the holder last saw them, by endpoint.
    pub roles: Vec<(String, dahliaseam_core::endpoint::Role)>,
}

/// What a daemon answers to marks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarksAnswer {
    /// Whether they are in force here.
    pub taken: bool,
    /// Requests of this daemon that are still at each endpoint: protected, and others.
    pub in_flight: Vec<(String, usize, usize)>,
}

/// What this daemon has seen arrive, for the planner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Per pool: the short and the long average.
    pub pools: Vec<PoolDemand>,
}

/// The demand of one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// The pool.
    pub pool: String,
    /// Short average.
    pub short: dahliaseam_core::mix::Demand,
    /// Long average.
    pub long: dahliaseam_core::mix::Demand,
}

/// The calls between daemons.
#[rpc(server, client, namespace = "peer")]
pub trait Peer {
    /// Probe this daemon.
    #[method(name = "probe")]
    async fn probe(&self, probe: Probe) -> RpcResult<Answer>;

    /// Probe another on the caller's behalf; the start stamp and refutation counter it answered.
    #[method(name = "probe_via")]
    async fn probe_via(&self, target: Contact) -> RpcResult<Option<(u64, u32)>>;

    /// The configuration that is in force here.
    #[method(name = "config")]
    async fn config(&self) -> RpcResult<Option<Document>>;

    /// Put a shard's marks in force.
    #[method(name = "marks")]
    async fn marks(&self, marks: Marks) -> RpcResult<MarksAnswer>;

    /// The marks that are in force here.
    #[method(name = "all_marks")]
    async fn all_marks(&self) -> RpcResult<Vec<Marks>>;

    /// The demand seen here.
    #[method(name = "demand")]
    async fn demand(&self) -> RpcResult<DemandReport>;

    /// The record of a request that was taken here.
    #[method(name = "explain")]
    async fn explain(&self, request: String) -> RpcResult<Option<RequestRecord>>;

    /// The state of this daemon.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<VmStatus>;
}

//! Calls between daemons, by JSON-RPC over HTTP.
//!
//! Each call carries the deployment's peer secret in the HTTP `authorization` header.

use dahliaseam_core::member::{Contact, Update};
use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use serde::{Deserialize, Serialize};

use crate::{
    operator::{RequestRecord, VmStatus},
    resource::Document,
};

/// Versions of a daemon's copies of shared state, sent with every probe and answer.
///
/// A daemon fetches its peer's configuration if that is newer, and its peer's marks if they differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Generation of its configuration.
    pub generation: u64,
    /// Milliseconds since that copy was confirmed with the key-value service, directly or through peers; `u64::MAX` if
    /// never.
    pub confirmed_ms: u64,
    /// Hash of the marks in force.
    pub marks: u64,
    /// Milliseconds since its VM list was confirmed; `u64::MAX` if never.
    pub list_ms: u64,
}

/// A probe of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Sender of the probe.
    pub from: Contact,
    /// Membership updates, the sender's own first.
    #[serde(rename = "news")]
    pub updates: Vec<Update>,
    /// Versions of the sender's copies.
    pub digest: Digest,
    /// VMs of configured endpoints that are leaving or gone according to the sender's VM list.
    pub closed_vms: Vec<String>,
    /// Recent loads of endpoints, as seen or caused by the sender.
    pub loads: Vec<EndpointLoad>,
}

/// Answer to a probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// Start number of the answering daemon's run.
    pub start: u64,
    /// Number of suspicions that it has refuted in this run.
    pub refutation: u32,
    /// Membership updates, its own first.
    #[serde(rename = "news")]
    pub updates: Vec<Update>,
    /// Versions of its copies.
    pub digest: Digest,
    /// VMs of configured endpoints that are leaving or gone according to its VM list.
    pub closed_vms: Vec<String>,
    /// Recent loads of endpoints, as seen or caused by it.
    pub loads: Vec<EndpointLoad>,
}

/// Load of an endpoint as seen by one daemon.
///
/// Encoded as a tuple, since these entries are most of the data that daemons send each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LoadTuple", into = "LoadTuple")]
pub struct EndpointLoad {
    /// Hash of the endpoint's name.
    pub endpoint: u64,
    /// Age of the load in milliseconds.
    pub age_ms: u64,
    /// Number of prompt tokens queued for prefill.
    pub queued_prefill: u32,
    /// Number of sequences being decoded.
    pub running: u32,
    /// Number of requests that wait for a slot in the batch.
    pub waiting: u32,
    /// Prompt tokens of the sender's own requests that have had no output token yet.
    pub own_prefill: u32,
}

type LoadTuple = (u64, u64, u32, u32, u32, u32);

impl From<LoadTuple> for EndpointLoad {
    fn from(t: LoadTuple) -> Self {
        Self { endpoint: t.0, age_ms: t.1, queued_prefill: t.2, running: t.3, waiting: t.4, own_prefill: t.5 }
    }
}

impl From<EndpointLoad> for LoadTuple {
    fn from(load: EndpointLoad) -> Self {
        (load.endpoint, load.age_ms, load.queued_prefill, load.running, load.waiting, load.own_prefill)
    }
}

/// Marks of one shard, set by its holder: which endpoints get no new requests, and the roles of endpoints.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Marks {
    /// Name of the shard.
    pub shard: String,
    /// Fencing number of the holder; marks under an older number are refused.
    pub epoch: u64,
    /// Grows with each change under one fencing number.
    pub sequence: u64,
    /// Names of the endpoints that get no new requests.
    pub leaving: Vec<String>,
    /// Roles of endpoints as last seen by the holder.
    pub roles: Vec<(String, dahliaseam_core::endpoint::Role)>,
}

/// A daemon's answer to marks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarksAnswer {
    /// Whether the marks are in force at this daemon.
    pub taken: bool,
    /// This daemon's requests in flight, as name of the endpoint, number of protected ones and number of others.
    pub in_flight: Vec<(String, usize, usize)>,
}

/// Demand seen by this daemon, for the planner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Demand of each pool.
    pub pools: Vec<PoolDemand>,
}

/// Demand of one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolDemand {
    /// Name of the pool.
    pub pool: String,
    /// Short-term average.
    pub short: dahliaseam_core::mix::TokenDemand,
    /// Long-term average.
    pub long: dahliaseam_core::mix::TokenDemand,
}

/// Calls between daemons.
#[rpc(server, client, namespace = "peer")]
pub trait Peer {
    /// Probes this daemon.
    #[method(name = "probe")]
    async fn probe(&self, probe: Probe) -> RpcResult<ProbeAnswer>;

    /// Probes another daemon on the calling peer's behalf; returns its start number and refutation count if it answers.
    #[method(name = "probe_via")]
    async fn probe_via(&self, target: Contact) -> RpcResult<Option<(u64, u32)>>;

    /// Returns the configuration in force at this daemon.
    #[method(name = "config")]
    async fn config(&self) -> RpcResult<Option<Document>>;

    /// Puts the marks of a shard in force.
    #[method(name = "marks")]
    async fn marks(&self, marks: Marks) -> RpcResult<MarksAnswer>;

    /// Returns the marks in force at this daemon.
    #[method(name = "all_marks")]
    async fn all_marks(&self) -> RpcResult<Vec<Marks>>;

    /// Returns the demand seen by this daemon.
    #[method(name = "demand")]
    async fn demand(&self) -> RpcResult<DemandReport>;

    /// Returns the record of a request that arrived at this daemon.
    #[method(name = "explain")]
    async fn explain(&self, request: String) -> RpcResult<Option<RequestRecord>>;

    /// Returns the state of this daemon.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<VmStatus>;
}

//! How callers, endpoints and the stored configuration are spoken to.
//!
//! A deployment's platform has its own header names, paths and documents. A [`Dialect`] turns
//! them into the product's types and back, and decides nothing.

use std::{fmt::Debug, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use dahliaseam_core::{
    endpoint::Role,
    fleet::replica::ReplicaFacts,
    prompt::Prompt,
    route::RouteTable,
    team::{Identity, PresentedKey},
    time::Span,
    usage::Report,
};
use http::{Request, request, response};
use http_body_util::Full;

use crate::error::DecodeError;

/// What a caller's request says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Its identifier, which an answer must repeat.
    pub id: String,
    /// How long the caller waits, if it says so.
    pub timeout: Option<Span>,
    /// The prompt, if it names one.
    pub prompt: Option<Prompt>,
    /// The last event that the caller already has, of a stream that it resumes.
    pub last_event: Option<String>,
    /// Its key.
    pub key: PresentedKey,
}

/// What an endpoint is to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// Serve it as a whole.
    Serve {
        /// An endpoint that holds more of the prompt, to copy that from.
        copy_from: Option<SocketAddr>,
    },
    /// Only read its prompt and keep that in memory.
    Prefill {
        /// An endpoint that holds more of the prompt, to copy that from.
        copy_from: Option<SocketAddr>,
    },
    /// Answer it from a prompt that another endpoint has read.
    Decode {
        /// The endpoint that read it.
        prefill_address: SocketAddr,
        /// The name of the memory there.
        handle: String,
    },
}

/// A request as it goes to one endpoint.
#[derive(Clone, Debug)]
pub struct Forward<'a> {
    /// The caller's head.
    pub head: &'a request::Parts,
    /// The whole body.
    pub body: Bytes,
    /// The replica that must serve it.
    pub replica: &'a ReplicaFacts,
    /// Time left.
    pub time_left: Span,
    /// Rank, 0 the most urgent.
    pub priority: u8,
    /// What to do.
    pub task: &'a Task,
    /// The last event that the caller has, if the answer goes on from there.
    pub last_event: Option<&'a str>,
    /// On whose behalf it runs.
    pub identity: &'a Identity,
}

/// Whether an endpoint ran a request that it answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunStatus {
    /// It did, or nothing says that it did not.
    MayHaveRun,
    /// It vouches that it did not.
    NotRun,
    /// It did not: it is not the replica that was named.
    OtherReplica,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerFacts {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// Whether the request ran.
    pub run: RunStatus,
    /// Whether it carries the endpoint's proof of a whole answer.
    pub sealed: bool,
    /// Requests per second that the endpoint accepts from all daemons combined, or `None` if it states no limit.
    pub rate_limit: Option<f64>,
    /// Time for which the endpoint accepts no further requests from this daemon, or `None` if it states no such time.
    pub retry_after: Option<Span>,
    /// Whether the endpoint states that it is leaving and accepts no new requests.
    pub draining: bool,
}

/// A prompt that an endpoint has read and holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handle {
    /// Its name at that endpoint.
    pub name: String,
    /// Tokens that it holds.
    pub tokens: u64,
}

/// An order to change an engine's role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleOrder {
    /// The role to take.
    pub role: Role,
    /// Name of the daemon that gives it.
    pub holder: String,
    /// Its fencing number.
    pub fence: u64,
    /// Orders that the engine must have taken before, no more and no fewer.
    pub expected_orders: u64,
}

/// In whose name a duty that one daemon has at a time is done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Name of the daemon.
    pub holder: String,
    /// Its fencing number.
    pub fence: u64,
}

/// An order how many engines a service is to have in a hall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SizeOrder {
    /// The service.
    pub service: String,
    /// The hall.
    pub hall: String,
    /// Whether it is about those that may be taken away.
    pub reclaimable: bool,
    /// How many.
    pub desired: u32,
}

/// What the platform answered to a call of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// It is done.
    Taken,
    /// Not now.
    Later,
    /// It can never be.
    Refused,
}

impl DutyAnswer {
    /// Short name, for metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Later => "later",
            Self::Refused => "refused",
        }
    }
}

/// What an engine answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It is under way.
    Accepted,
    /// It already is so.
    Holds,
    /// Another order is under way, or others came before.
    Conflict,
    /// A higher fencing number was seen.
    Fenced,
    /// It cannot be done.
    Refused,
    /// The engine is another replica.
    OtherReplica,
}

/// What an engine says of its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Unix millisecond of its start, if it says that.
    pub start_time_ms: Option<u64>,
    /// Its role.
    pub role: Role,
    /// Whether an order is under way.
    pub changing: bool,
    /// Orders that it has taken.
    pub orders: u64,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
}

/// The language of one platform.
pub trait Dialect: Debug + Send + Sync {
    /// Path at which the balancer asks whether this VM is ready.
    fn ready_path(&self) -> &'static str;

    /// Key of the configuration in the store.
    fn configuration_key(&self) -> &'static str;

    /// Prefix of the replicas' keys in the store; the rest of such a key is the replica's id.
    fn replica_prefix(&self) -> &'static str;

    /// Read the stored configuration.
    ///
    /// # Errors
    /// What cannot be read.
    fn configuration(&self, text: &str) -> Result<RouteTable, DecodeError>;

    /// Read a replica's stored entry; also returns how many orders it has taken.
    ///
    /// # Errors
    /// What cannot be read.
    fn replica(&self, id: &str, text: &str) -> Result<(ReplicaFacts, u64), DecodeError>;

    /// Read a caller's head.
    ///
    /// # Errors
    /// What is missing or cannot be read.
    fn caller(&self, head: &request::Parts) -> Result<CallerRequest, DecodeError>;

    /// The request that goes to an endpoint.
    ///
    /// # Errors
    /// What of the caller's head cannot be sent on.
    fn forward(&self, forward: &Forward<'_>) -> Result<Request<Full<Bytes>>, DecodeError>;

    /// Read the head of an endpoint's answer.
    fn answer(&self, head: &response::Parts) -> AnswerFacts;

    /// Read the answer to [`Task::Prefill`].
    ///
    /// # Errors
    /// What cannot be read.
    fn handle(&self, body: &[u8]) -> Result<Handle, DecodeError>;

    /// The call that frees a handle.
    ///
    /// # Errors
    /// Why it cannot be made.
    fn free_handle(&self, replica: &ReplicaFacts, handle: &str) -> Result<Request<Full<Bytes>>, DecodeError>;

    /// The call that orders a role.
    ///
    /// # Errors
    /// Why it cannot be made.
    fn order_role(&self, replica: &ReplicaFacts, order: &RoleOrder) -> Result<Request<Full<Bytes>>, DecodeError>;

    /// Read the status of an order's answer; absent if it says nothing.
    fn order_answer(&self, status: u16) -> Option<OrderAnswer>;

    /// The call that asks an engine for its state.
    ///
    /// # Errors
    /// Why it cannot be made.
    fn ask_report(&self, replica: &ReplicaFacts) -> Result<Request<Full<Bytes>>, DecodeError>;

    /// Whether the platform asks for reports of usage, by the names of the duties in the settings.
    fn wants_usage_reports(&self, duties: &[String]) -> bool;

    /// The call that reports usage to the platform at an address.
    ///
    /// # Errors
    /// Why it cannot be made.
    fn report_usage(
        &self,
        address: SocketAddr,
        holder: &Leader,
        report: &Report,
    ) -> Result<Request<Full<Bytes>>, DecodeError>;

    /// Whether the platform takes orders for sizes, by the names of the duties in the settings.
    fn accepts_size_orders(&self, duties: &[String]) -> bool;

    /// The call that orders how many engines a hall is to have.
    ///
    /// # Errors
    /// Why it cannot be made.
    fn order_size(
        &self,
        address: SocketAddr,
        holder: &Leader,
        order: &SizeOrder,
    ) -> Result<Request<Full<Bytes>>, DecodeError>;

    /// Read the status of an answer to a call of a duty.
    fn duty_answer(&self, status: u16) -> DutyAnswer;

    /// Read an engine's report.
    ///
    /// # Errors
    /// What cannot be read.
    fn report(&self, body: &[u8]) -> Result<EngineReport, DecodeError>;
}

/// A dialect that tasks share.
pub type SharedDialect = Arc<dyn Dialect>;

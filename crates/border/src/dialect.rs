//! Conversion between a platform's formats and dahliaseam's types.
//!
//! Each platform has its own header names and paths for callers and endpoints, and its own documents for the stored
//! configuration. A [`Dialect`] decodes and encodes them, and makes no decisions.

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

use crate::error::FormatError;

/// Data from the head of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Its identifier, which must be repeated in the response.
    pub id: String,
    /// How long the caller waits for the answer, if it states a limit.
    pub timeout: Option<Span>,
    /// The prompt, if the head describes one.
    pub prompt: Option<Prompt>,
    /// Identifier of the last event that the caller has received, if it resumes a stream.
    pub last_event: Option<String>,
    /// Identifier of the request that brought the first event of the stream, if the caller takes up a stream.
    pub resumes: Option<String>,
    /// The key that the caller presented.
    pub key: PresentedKey,
}

/// What an endpoint is to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Task {
    /// Serve it completely.
    Serve {
        /// An endpoint that holds the KV cache of a longer part of the prompt, from which to copy it.
        copy_from: Option<SocketAddr>,
    },
    /// Only prefill the prompt and keep its KV cache.
    Prefill {
        /// An endpoint that holds the KV cache of a longer part of the prompt, from which to copy it.
        copy_from: Option<SocketAddr>,
    },
    /// Generate the answer from the KV cache of a prompt that another endpoint has prefilled.
    Decode {
        /// Address of the endpoint that prefilled it.
        prefill_address: SocketAddr,
        /// Handle of the KV cache at that endpoint.
        handle: String,
    },
}

/// Everything from which a request to one endpoint is built.
#[derive(Clone, Debug)]
pub struct Forward<'a> {
    /// Head of the caller's request.
    pub head: &'a request::Parts,
    /// Complete body of the caller's request.
    pub body: Bytes,
    /// The only replica that may serve it.
    pub replica: &'a ReplicaFacts,
    /// Time left until the deadline.
    pub time_left: Span,
    /// Priority at the replica; 0 is the most urgent.
    pub priority: u8,
    /// What the endpoint is to do with the request.
    pub task: &'a Task,
    /// Identifier of the last event that the caller has received, if the answer is to resume after it.
    pub last_event: Option<&'a str>,
    /// Identity on whose behalf it runs.
    pub identity: &'a Identity,
}

/// Whether an endpoint ran a request, according to its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunStatus {
    /// It ran the request, or did not state otherwise.
    MayHaveRun,
    /// It states that it did not run the request.
    NotRun,
    /// It states that it did not run the request, beside a status of requests that ran.
    Contradictory,
    /// It did not run the request, since it is not the replica that was addressed.
    OtherReplica,
}

/// Data from the head of an endpoint's response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// Identifier of the request that it responds to.
    pub request_id: Option<String>,
    /// Whether the endpoint ran the request.
    pub run: RunStatus,
    /// Whether it carries the endpoint's seal, which proves that the answer is complete.
    pub sealed: bool,
    /// Requests per second that the endpoint accepts from all daemons combined, or `None` if it states no limit.
    pub rate_limit: Option<f64>,
    /// Time for which the endpoint accepts no further requests from this daemon, or `None` if it states no such time.
    pub retry_after: Option<Span>,
    /// Whether the endpoint states that it is leaving and accepts no new requests.
    pub draining: bool,
}

/// A prefilled prompt whose KV cache an endpoint holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handle {
    /// Name of the handle at that endpoint.
    pub name: String,
    /// Number of tokens in the KV cache.
    pub tokens: u64,
}

/// An order to change an engine's role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoleOrder {
    /// The new role.
    pub role: Role,
    /// Name of the leader, which sends the order.
    pub leader: String,
    /// Fencing number of the leader.
    pub fence: u64,
    /// Number of orders that the engine must have accepted before; it rejects this one if the number differs.
    pub expected_orders: u64,
}

/// The daemon that carries out the duties which only one daemon may have at a time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    /// Name of the daemon.
    pub name: String,
    /// Fencing number of that daemon.
    pub fence: u64,
}

/// An order to set the number of engines of a service in a hall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SizeOrder {
    /// Name of the service.
    pub service: String,
    /// Name of the hall.
    pub hall: String,
    /// Whether it is about the engines that the platform may reclaim at any time; otherwise it is about the others.
    pub reclaimable: bool,
    /// Desired number of engines.
    pub desired: u32,
}

/// The platform's answer to a call that only the leader may make (a duty call).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// The call was accepted.
    Taken,
    /// The call was not accepted, but may be if it is repeated later.
    Later,
    /// The call can never be accepted.
    Refused,
}

impl DutyAnswer {
    /// Name used in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Later => "later",
            Self::Refused => "refused",
        }
    }
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is being carried out.
    Accepted,
    /// The engine already has the ordered role.
    Holds,
    /// Another order is being carried out, or the number of earlier orders is not the expected one.
    Conflict,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The engine cannot carry out the order.
    Refused,
    /// Another replica listens at the address.
    OtherReplica,
}

/// State reported by an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Unix time of its start in milliseconds, if it reports that.
    pub start_time_ms: Option<u64>,
    /// Current role.
    pub role: Role,
    /// Whether an order is being carried out.
    pub changing: bool,
    /// Number of orders that it has accepted.
    pub orders: u64,
    /// Number of requests that wait at the engine.
    pub waiting: u32,
    /// Number of requests that run at the engine.
    pub running: u32,
}

/// Encoder and decoder of one platform's formats.
pub trait Dialect: Debug + Send + Sync {
    /// Path at which the load balancer checks whether this VM is ready.
    fn ready_path(&self) -> &'static str;

    /// Key of the configuration in the store.
    fn configuration_key(&self) -> &'static str;

    /// Prefix of the replicas' keys in the store; the rest of such a key is the replica's identifier.
    fn replica_prefix(&self) -> &'static str;

    /// Decodes the stored configuration.
    ///
    /// # Errors
    /// Names the field that is missing or invalid.
    fn decode_configuration(&self, text: &str) -> Result<RouteTable, FormatError>;

    /// Decodes a replica's stored entry; also returns the number of orders that it has accepted.
    ///
    /// # Errors
    /// Names the field that is missing or invalid.
    fn decode_replica(&self, id: &str, text: &str) -> Result<(ReplicaFacts, u64), FormatError>;

    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    /// Names the header that is missing or invalid.
    fn decode_caller_request(&self, head: &request::Parts) -> Result<CallerRequest, FormatError>;

    /// Builds the request to an endpoint.
    ///
    /// # Errors
    /// Returns an error if a part of the head cannot be encoded.
    fn forward(&self, forward: &Forward<'_>) -> Result<Request<Full<Bytes>>, FormatError>;

    /// Decodes the head of an endpoint's response.
    fn decode_response_head(&self, head: &response::Parts) -> ResponseHead;

    /// Decodes the body of the response to [`Task::Prefill`].
    ///
    /// # Errors
    /// Names the field that is missing or invalid.
    fn decode_handle(&self, body: &[u8]) -> Result<Handle, FormatError>;

    /// Builds the call that frees a handle.
    ///
    /// # Errors
    /// Returns an error if the call cannot be encoded.
    fn free_handle(&self, replica: &ReplicaFacts, handle: &str) -> Result<Request<Full<Bytes>>, FormatError>;

    /// Builds the call that orders a role.
    ///
    /// # Errors
    /// Returns an error if the call cannot be encoded.
    fn order_role(&self, replica: &ReplicaFacts, order: &RoleOrder) -> Result<Request<Full<Bytes>>, FormatError>;

    /// Interprets the status of the response to an order; `None` for statuses without a defined meaning.
    fn order_answer(&self, status: u16) -> Option<OrderAnswer>;

    /// Builds the call that asks an engine for its state.
    ///
    /// # Errors
    /// Returns an error if the call cannot be encoded.
    fn ask_report(&self, replica: &ReplicaFacts) -> Result<Request<Full<Bytes>>, FormatError>;

    /// Whether the platform requires usage reports, according to the names of duties in the settings.
    fn wants_usage_reports(&self, duties: &[String]) -> bool;

    /// Builds the call that reports usage to the platform at `address`.
    ///
    /// # Errors
    /// Returns an error if the call cannot be encoded.
    fn report_usage(
        &self,
        address: SocketAddr,
        leader: &Leader,
        report: &Report,
    ) -> Result<Request<Full<Bytes>>, FormatError>;

    /// Whether the platform accepts orders for the number of engines, according to the names of duties in the settings.
    fn accepts_size_orders(&self, duties: &[String]) -> bool;

    /// Builds the call to the platform at `address` that orders the number of engines of a service in a hall.
    ///
    /// # Errors
    /// Returns an error if the call cannot be encoded.
    fn order_size(
        &self,
        address: SocketAddr,
        leader: &Leader,
        order: &SizeOrder,
    ) -> Result<Request<Full<Bytes>>, FormatError>;

    /// Interprets the status of the response to a duty call.
    fn duty_answer(&self, status: u16) -> DutyAnswer;

    /// Decodes an engine's report.
    ///
    /// # Errors
    /// Names the field that is missing or invalid.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport, FormatError>;
}

/// A dialect shared between tasks.
pub type SharedDialect = Arc<dyn Dialect>;

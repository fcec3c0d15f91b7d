//! Extensions to the protocols of endpoints.
//!
//! A model engine implements the `OpenAI` completions API with server-sent events. The member [`EXTENSION`] holds a
//! [`RequestExtension`] in requests to it and a [`FrameExtension`] in its frames. Orders, status and cache events have
//! separate paths. A plain service gets the [`REQUEST`] and [`ATTEMPT`] headers, and repeats them in its answers. An engine
//! repeats its request's identifier and attempt in them when it rejects a call.

use dahliaseam_core::{
    custody::{EngineStatus, Order},
    endpoint::EngineLoad,
    frame::FrameId,
};
use serde::{Deserialize, Serialize};

/// Member of the JSON objects of requests and frames that holds the extension.
pub const EXTENSION: &str = "dahliaseam";
/// Header with the request's identifier.
pub const REQUEST: &str = "x-dahliaseam-request";
/// Header with the attempt's number.
pub const ATTEMPT: &str = "x-dahliaseam-attempt";
/// Header by which an endpoint that rejects a request states that it ran no part of it.
pub const NOT_RUN: &str = "x-dahliaseam-not-run";
/// Path for orders (POST).
pub const ORDER_PATH: &str = "/control/order";
/// Path of the status (GET).
pub const STATUS_PATH: &str = "/control/status";
/// Path of cache events (GET with `?after=N`).
pub const CACHE_PATH: &str = "/control/cache";
/// Path for releasing an exported KV cache (POST).
pub const RELEASE_PATH: &str = "/control/release";

/// Extension of a request to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestExtension {
    /// Identifier of the request.
    pub request: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Priority in the engine's queue; higher goes first.
    pub priority: u8,
    /// Number of output tokens that the caller already has, after which generation resumes.
    #[serde(default)]
    pub resume_at: u32,
    /// Whether to only prefill the prompt and keep its KV cache for export.
    #[serde(default)]
    pub export: bool,
    /// Where to import the prompt's KV cache from, instead of prefilling the prompt.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub import: Option<Import>,
}

/// Location of an exported KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// Address of the engine that holds it, as `IP:port`.
    pub from: String,
    /// Handle of the KV cache at that engine.
    pub handle: String,
}

/// Extension of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrameExtension {
    /// Identifier of the frame.
    #[serde(flatten)]
    pub id: FrameId,
    /// Number of output tokens in the frame.
    pub tokens: u32,
    /// Whether this is the last frame; its `position` is then the length of the whole answer.
    #[serde(default)]
    pub end: bool,
    /// Handle of the exported KV cache, in the last frame of an export.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub handle: Option<String>,
}

/// An order with its expiry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// The order.
    pub order: Order,
    /// Unix time in milliseconds after which the engine must reject the order.
    pub not_after_ms: u64,
}

/// An engine's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum OrderAnswer {
    /// It accepted the order.
    Taken,
    /// It rejected the order, since it has seen a higher fencing number.
    Fenced {
        /// Highest fencing number that it has seen.
        highest: u64,
    },
    /// It rejected the order for another reason.
    Refused {
        /// The reason.
        why: String,
    },
}

/// Status and load of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The status.
    pub status: EngineStatus,
    /// The load.
    pub load: EngineLoad,
    /// Age of the load in milliseconds.
    pub load_age_ms: u64,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, which grows by one with each event; a gap means that events were lost.
    pub number: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether it is now cached.
    pub cached: bool,
}

//! What endpoints understand beyond the usual protocols.
//!
//! A model engine speaks the `OpenAI` completions API with server-sent events. Its requests carry
//! an [`RequestExtension`] under [`EXTENSION`], its frames a [`FrameExtension`]. Orders, status and cache events have
//! paths of their own. A plain service gets the [`REQUEST`] and [`ATTEMPT`] headers.

use dahliaseam_core::{
    custody::{EngineStatus, Order},
    endpoint::LoadReport,
    frame::FrameId,
};
use serde::{Deserialize, Serialize};

/// Member of a request's and a frame's JSON object that holds our extension.
pub const EXTENSION: &str = "dahliaseam";
/// Header with the request's identifier.
pub const REQUEST: &str = "x-dahliaseam-request";
/// Header with the attempt's number.
pub const ATTEMPT: &str = "x-dahliaseam-attempt";
/// Header of a refusal by which an endpoint vouches that nothing ran.
pub const NOT_RUN: &str = "x-dahliaseam-not-run";
/// Path of orders, by POST.
pub const ORDER_PATH: &str = "/control/order";
/// Path of the status, by GET.
pub const STATUS_PATH: &str = "/control/status";
/// Path of cache events, by GET with `?after=N`.
pub const CACHE_PATH: &str = "/control/cache";
/// Path that drops an exported KV cache, by POST.
pub const RELEASE_PATH: &str = "/control/release";

/// Our part of a request to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestExtension {
    /// The request's identifier.
    pub request: String,
    /// The attempt's number.
    pub attempt: u32,
    /// Higher goes first in the engine's own queue.
    pub priority: u8,
    /// Tokens that the caller has, where generation goes on.
    #[serde(default)]
    pub resume_at: u32,
    /// Only process the prompt and keep its KV cache for export.
    #[serde(default)]
    pub export: bool,
    /// Take the prompt's KV cache from another engine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub import: Option<Import>,
}

/// Where an exported KV cache is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Import {
    /// `IP:port` of the engine that has it.
    pub from: String,
    /// Its identifier there.
    pub handle: String,
}

/// Our part of a frame.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FrameExtension {
    /// Which frame this is.
    #[serde(flatten)]
    pub id: FrameId,
    /// Tokens in the frame.
    pub tokens: u32,
    /// Whether the answer ends here; `position` is then its whole length.
    #[serde(default)]
    pub end: bool,
    /// The exported KV cache, on the end of an export.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub handle: Option<String>,
}

/// An order with its last moment, by the wall clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// The order.
    pub order: Order,
    /// Milliseconds since 1970 after which the engine is to refuse it.
    pub not_after_ms: u64,
}

/// What an engine answers to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum OrderAnswer {
    /// It took the order.
    Taken,
    /// It refused: a higher fencing number was seen.
    Fenced {
        /// The highest number seen.
        highest: u64,
    },
    /// It refused for another reason.
    Refused {
        /// Why.
        why: String,
    },
}

/// A status with the load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The status.
    pub status: EngineStatus,
    /// The load.
    pub load: LoadReport,
    /// How old the load is, in milliseconds.
    pub load_age_ms: u64,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one with each event; a gap means that events were lost.
    pub number: u64,
    /// The prefix's hash.
    pub prefix: u64,
    /// Whether it is cached now.
    pub cached: bool,
}

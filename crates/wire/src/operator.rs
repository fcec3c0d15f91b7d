//! The operators' resource API: declared specifications and observed status.

use dahliaseam_core::{
    choose::{Reason, Skip},
    custody::{Fencing, WaitReason},
    dispatch::Refusal,
    endpoint::{EngineLoad, Role},
    member::Health,
    outcome::{AttemptEnd, Outcome},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::resource::ResourceKind;

/// A resource as returned by the API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// Its kind.
    pub kind: ResourceKind,
    /// Its name.
    pub name: String,
    /// Generation at which it last changed. A change that states this version is refused if another one came first.
    pub resource_version: u64,
    /// Declared specification.
    pub spec: Value,
    /// Observed status.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub status: Value,
}

/// A resource as declared by an operator.
///
/// Error responses contain the name of this type, because serde puts it into its error messages:
/// `expected struct ResourceFile`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceFile {
    /// Its kind.
    pub kind: ResourceKind,
    /// Its name.
    pub name: String,
    /// Version that the change is based on; zero to create the resource, absent to accept any version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource_version: Option<u64>,
    /// Declared specification.
    pub spec: Value,
    /// Observed status; ignored.
    #[serde(default, skip_serializing)]
    pub status: Value,
}

/// Body of a PUT request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PutBody {
    /// Version that the change is based on; zero to create the resource, absent to accept any version.
    #[serde(default)]
    pub resource_version: Option<u64>,
    /// Declared specification.
    pub spec: Value,
}

/// Body of an apply request, whose changes take effect all together or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyBody {
    /// The resources.
    pub resources: Vec<ResourceFile>,
}

/// Response to an accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Generation that the change created.
    pub generation: u64,
}

/// List of the resources of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResourceList {
    /// Generation of the configuration that the list was read from.
    pub generation: u64,
    /// The resources, ordered by name.
    pub items: Vec<Resource>,
}

/// One line of a watch stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum WatchEvent {
    /// The resource existed when the watch began, or was created or changed since.
    Put {
        /// The resource.
        resource: Resource,
    },
    /// The resource was deleted.
    Delete {
        /// Its kind.
        kind: ResourceKind,
        /// Its name.
        name: String,
        /// Generation at which it was deleted.
        generation: u64,
    },
}

/// Body of an error response of this API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiError {
    /// Stable identifier: `invalid`, `conflict`, `not_found`, `unauthorized`, `unavailable` or `unknown`.
    pub code: String,
    /// Explanation in plain words.
    pub message: String,
    /// Invalid fields.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<crate::validate::Problem>,
    /// Present version of the resource, in case of a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub present_version: Option<u64>,
}

/// State of one endpoint as seen by one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Its role.
    pub role: Role,
    /// Whether this daemon sends new requests there.
    pub open: bool,
    /// Why it does not, in plain words.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub closed_why: Option<String>,
    /// Last load report.
    pub load: EngineLoad,
    /// Age of the load report in milliseconds.
    pub load_age_ms: u64,
    /// Number of this daemon's attempts that are in flight there.
    pub in_flight: u32,
    /// This daemon's adaptive limit on attempts in flight there.
    pub window: f64,
    /// Whether it rejects orders with an old fencing number.
    pub fencing: Fencing,
    /// Why its next order has to wait, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waits_for: Option<WaitReason>,
}

/// State of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmStatus {
    /// Name of the VM.
    pub vm: String,
    /// Hall of the VM.
    pub hall: String,
    /// Start number of the daemon's run.
    pub start: u64,
    /// Whether it accepts new requests.
    pub ready: bool,
    /// Why it accepts none, or whether its configuration is confirmed if it does; in plain words.
    pub standing: String,
    /// Generation of the configuration in force.
    pub generation: u64,
    /// Milliseconds since that configuration was last confirmed to be current; `u64::MAX` if never.
    pub confirmed_ms: u64,
    /// Shards that it holds, each with its fencing number.
    pub shards: Vec<(String, u64)>,
    /// Number of requests that it is handling.
    pub held: usize,
    /// Number of waiting requests.
    pub waiting: usize,
    /// State of the daemons on the other entry VMs, as this daemon believes it.
    pub members: Vec<MemberStatus>,
}

/// State of a daemon, as another one believes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Name of the VM.
    pub vm: String,
    /// Hall of the VM.
    pub hall: String,
    /// Believed state.
    pub health: Health,
    /// Start number of the daemon's run.
    pub start: u64,
}

/// State of the deployment, as gathered by one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DeploymentStatus {
    /// States of the daemons that answered.
    pub vms: Vec<VmStatus>,
    /// Names of the entry VMs that did not answer.
    pub silent: Vec<String>,
}

/// Record of what happened to one request, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Identifier of the request.
    pub request: String,
    /// Its kind.
    pub kind: String,
    /// Its team.
    pub team: String,
    /// Its pool.
    pub pool: String,
    /// Estimated number of tokens in its prompt.
    pub prompt_tokens: u32,
    /// Deadline, in milliseconds after its arrival.
    pub deadline_ms: u64,
    /// Milliseconds from its arrival to its end; `None` while it is running.
    pub took_ms: Option<u64>,
    /// Outcome, once it is known.
    pub outcome: Option<Outcome>,
    /// Why it was refused, if it was.
    pub refusal: Option<Refusal>,
    /// Attempts in order.
    pub attempts: Vec<AttemptRecord>,
    /// For a refused request, the candidates when the pool was last evaluated.
    pub seen: Vec<CandidateRecord>,
}

/// Record of one attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Number of the attempt.
    pub attempt: u32,
    /// When it was sent, in milliseconds after the request's arrival.
    pub sent_ms: u64,
    /// Endpoint that it was sent to.
    pub endpoint: String,
    /// Endpoint that prefilled the prompt, if it is another one.
    pub prefill: Option<String>,
    /// Why the endpoint was chosen.
    pub reason: Reason,
    /// Predicted milliseconds until its first token.
    pub predicted_first_ms: f64,
    /// Actual milliseconds until its first token; `None` if there was none.
    pub first_ms: Option<f64>,
    /// Number of output tokens delivered.
    pub tokens: u32,
    /// How it ended; `None` while it is running.
    pub end: Option<AttemptEnd>,
    /// Candidates that were evaluated.
    pub candidates: Vec<CandidateRecord>,
}

/// Record of one candidate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// The endpoint.
    pub endpoint: String,
    /// Endpoint that would prefill the prompt, if it is another one.
    pub prefill: Option<String>,
    /// Predicted milliseconds until the first token.
    pub first_ms: f64,
    /// Predicted milliseconds until the whole answer.
    pub whole_ms: f64,
    /// Why it was skipped, if it was.
    pub skipped: Option<Skip>,
}

//! The operators' resource API: what is declared, and what is seen.

use dahliaseam_core::{
    choose::{Reason, Skip},
    custody::{Fencing, WaitReason},
    dispatch::Refusal,
    endpoint::{LoadReport, Role},
    member::Health,
    outcome::{AttemptEnd, Outcome},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::resource::ResourceKind;

/// A resource as it is read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// Its kind.
    pub kind: ResourceKind,
    /// Its name.
    pub name: String,
    /// Generation at which it last changed; a change must name it.
    pub resource_version: u64,
    /// What is wanted.
    pub spec: Value,
    /// What is seen.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub status: Value,
}

/// A resource as it is written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceFile {
    /// Its kind.
    pub kind: ResourceKind,
    /// Its name.
    pub name: String,
    /// The version that the change is based on; zero to create, absent to take any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resource_version: Option<u64>,
    /// What is wanted.
    pub spec: Value,
    /// What was seen; ignored when written.
    #[serde(default, skip_serializing)]
    pub status: Value,
}

/// The body of a put.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PutBody {
    /// The version that the change is based on; zero to create, absent to take any.
    #[serde(default)]
    pub resource_version: Option<u64>,
    /// What is wanted.
    pub spec: Value,
}

/// The body of an apply: changes that are made as one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyBody {
    /// The resources.
    pub resources: Vec<ResourceFile>,
}

/// The answer to an accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Generation that the change made.
    pub generation: u64,
}

/// A list of resources of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ResourceList {
    /// Generation of the configuration that was read.
    pub generation: u64,
    /// The resources, by name.
    pub items: Vec<Resource>,
}

/// One line of a watch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum WatchEvent {
    /// It is there, or was changed.
    Put {
        /// The resource.
        resource: Resource,
    },
    /// It is gone.
    Delete {
        /// Its kind.
        kind: ResourceKind,
        /// Its name.
        name: String,
        /// Generation at which it went.
        generation: u64,
    },
}

/// The body of an error of this API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApiError {
    /// A stable word: `invalid`, `conflict`, `not_found`, `unauthorized`, `unavailable`, `unknown`.
    pub code: String,
    /// A sentence.
    pub message: String,
    /// Fields that are wrong.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<crate::validate::Problem>,
    /// On a conflict, the present version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub present_version: Option<u64>,
}

/// What one endpoint looks like from one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Its role.
    pub role: Role,
    /// Whether new work goes there.
    pub open: bool,
    /// Why not, in words.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub closed_why: Option<String>,
    /// The last load report.
    pub load: LoadReport,
    /// Its age in milliseconds.
    pub load_age_ms: u64,
    /// Attempts of this daemon there.
    pub in_flight: u32,
    /// This daemon's window.
    pub window: f64,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// What control waits for, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waits_for: Option<WaitReason>,
}

/// The state of one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The VM.
    pub vm: String,
    /// Its hall.
    pub hall: String,
    /// Stamp of its start.
    pub start: u64,
    /// Whether it takes new work.
    pub ready: bool,
    /// Why not, or on what footing.
    pub standing: String,
    /// Generation of the configuration in force.
    pub generation: u64,
    /// Milliseconds since that was confirmed.
    pub confirmed_ms: u64,
    /// Shards that it holds, with the fencing numbers.
    pub shards: Vec<(String, u64)>,
    /// Requests that it holds.
    pub held: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// What it believes of the other entry VMs.
    pub members: Vec<MemberStatus>,
}

/// What a daemon believes of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The VM.
    pub vm: String,
    /// Its hall.
    pub hall: String,
    /// What is believed.
    pub health: Health,
    /// Stamp of its start.
    pub start: u64,
}

/// The state of the deployment, as one daemon gathered it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Each daemon that answered.
    pub vms: Vec<VmStatus>,
    /// Entry VMs that did not answer.
    pub silent: Vec<String>,
}

/// What happened to one request, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The request's identifier.
    pub request: String,
    /// Its kind.
    pub kind: String,
    /// Its team.
    pub team: String,
    /// Its pool.
    pub pool: String,
    /// Tokens of its prompt, estimated.
    pub prompt_tokens: u32,
    /// Milliseconds that it was given.
    pub deadline_ms: u64,
    /// Milliseconds until it was over.
    pub took_ms: Option<u64>,
    /// What became of it.
    pub outcome: Option<Outcome>,
    /// Why it was refused.
    pub refusal: Option<Refusal>,
    /// The attempts.
    pub attempts: Vec<AttemptRecord>,
    /// What the last look at the pool saw, for a refused one.
    pub seen: Vec<CandidateRecord>,
}

/// One attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Its number.
    pub attempt: u32,
    /// Milliseconds after the request's arrival.
    pub sent_ms: u64,
    /// Where it went.
    pub endpoint: String,
    /// Where its prompt was processed, if elsewhere.
    pub prefill: Option<String>,
    /// Why there.
    pub reason: Reason,
    /// Milliseconds predicted until its first token.
    pub predicted_first_ms: f64,
    /// Milliseconds until its first token.
    pub first_ms: Option<f64>,
    /// Tokens it delivered.
    pub tokens: u32,
    /// How it ended.
    pub end: Option<AttemptEnd>,
    /// What was weighed.
    pub candidates: Vec<CandidateRecord>,
}

/// One candidate of a choice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// The endpoint.
    pub endpoint: String,
    /// Where the prompt would be processed, if elsewhere.
    pub prefill: Option<String>,
    /// Milliseconds predicted until the first token.
    pub first_ms: f64,
    /// Milliseconds predicted until the whole answer.
    pub whole_ms: f64,
    /// Why it was passed over.
    pub skipped: Option<Skip>,
}

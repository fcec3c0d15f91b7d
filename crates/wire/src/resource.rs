//! Resources declared by operators, and the document that contains them.
//!
//! The document is a single value in the key-value service and is changed by compare-and-swap. Its generation grows
//! by one with each accepted change, so of two copies the one with the higher generation is newer.

use std::collections::BTreeMap;

use dahliaseam_core::{
    custody::Fencing,
    endpoint::{Rates, Role},
    planner::{PlannerSettings, RoleRates},
    request::KindTraits,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::{ParseError, from_value};

/// A specification with the generation at which it last changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Versioned<T> {
    /// Generation of the last change.
    pub version: u64,
    /// The specification.
    pub spec: T,
}

/// A pool of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Whether it consists of engines or of plain services.
    pub endpoints: EndpointClass,
    /// Models that its engines serve.
    #[serde(default)]
    pub models: Vec<String>,
    /// Initial performance figures of its endpoints, before any are learned.
    #[serde(default)]
    pub rates: Rates,
    /// Throughput of one engine by role, for the planner.
    #[serde(default)]
    pub role_rates: RoleRates,
}

/// Type of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointClass {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// A model that callers may request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// The version in service.
    pub version: String,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// The adapted model.
    pub model: String,
    /// Name of its weights in the weight store.
    pub artifact: String,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// The model.
    pub model: String,
    /// Name of its weights in the weight store.
    pub artifact: String,
}

/// How engine roles are assigned in one pool; the resource has the name of the pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleSpec {
    /// The planner's settings.
    #[serde(default)]
    pub planner: PlannerSettings,
    /// Fixed roles by endpoint; the planner does not change these.
    #[serde(default)]
    pub fixed: BTreeMap<String, Role>,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSpec {
    /// Priority from 0 to 15; higher goes first, and 8 or more is urgent.
    pub priority: u8,
    /// Value of one complete answer that arrives before the deadline.
    pub weight: f64,
    /// Milliseconds within which an answer is useful.
    pub deadline_ms: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether no planned change may interrupt it.
    #[serde(default)]
    pub protected: bool,
    /// Whether callers must send an idempotency key.
    #[serde(default)]
    pub key_required: bool,
    /// Assumed number of output tokens if the caller states no maximum.
    #[serde(default = "default_output")]
    pub output_tokens: u32,
}

const fn default_output() -> u32 {
    128
}

impl KindSpec {
    /// The properties that decisions about its requests depend on.
    #[must_use]
    pub const fn traits(&self) -> KindTraits {
        KindTraits {
            priority: self.priority,
            weight: self.weight,
            repeatable: self.repeatable,
            protected: self.protected,
        }
    }
}

/// An endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndpointSpec {
    /// Pool that it belongs to.
    pub pool: String,
    /// Address as `IP:port`.
    pub address: String,
    /// VM that it runs on, by its name in the platform's list.
    pub vm: String,
    /// Hall of the VM.
    pub hall: String,
    /// Initial role.
    #[serde(default)]
    pub role: Role,
    /// Whether it rejects orders with an old fencing number.
    #[serde(default)]
    pub fencing: Fencing,
    /// Whether operators want it to get no new requests.
    #[serde(default)]
    pub drained: bool,
    /// Adapters and versions of models that it is to have loaded.
    #[serde(default)]
    pub load: Vec<String>,
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Maximum number of requests per second in the whole deployment.
    pub rate: f64,
}

/// Maximum number of write tokens kept in the document, from which a writer whose answer was lost can find out whether
/// its write took effect.
const MAX_WRITES: usize = 64;

/// A write that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Token chosen by the writer.
    pub token: String,
    /// Generation that it created.
    pub generation: u64,
}

macro_rules! resources {
    ($($kind:ident, $field:ident, $spec:ty, $doc:literal;)*) => {
        /// The kinds of resource.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ResourceKind {
            $(#[doc = $doc] $kind,)*
        }

        impl ResourceKind {
            /// All kinds.
            pub const ALL: &'static [Self] = &[$(Self::$kind),*];

            /// Plural name, as used in paths.
            #[must_use]
            pub const fn plural(self) -> &'static str {
                match self { $(Self::$kind => stringify!($field),)* }
            }
        }

        /// The configuration document.
        #[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct Document {
            /// Grows by one with each accepted change.
            #[serde(default)]
            pub generation: u64,
            /// Most recent writes, the latest last.
            #[serde(default)]
            pub writes: Vec<Write>,
            $(#[doc = $doc] #[serde(default)] pub $field: BTreeMap<String, Versioned<$spec>>,)*
        }

        impl Document {
            /// Names and versions of all resources of one kind.
            #[must_use]
            pub fn names(&self, kind: ResourceKind) -> Vec<(String, u64)> {
                match kind {
                    $(ResourceKind::$kind => self
                        .$field
                        .iter()
                        .map(|(name, v)| (name.clone(), v.version))
                        .collect(),)*
                }
            }

            /// Version and specification of a resource.
            #[must_use]
            pub fn get(&self, kind: ResourceKind, name: &str) -> Option<(u64, Value)> {
                match kind {
                    $(ResourceKind::$kind => {
                        let v = self.$field.get(name)?;
                        Some((v.version, serde_json::to_value(&v.spec).ok()?))
                    })*
                }
            }

            fn insert(&mut self, kind: ResourceKind, name: &str, spec: Value) -> Result<(), ParseError> {
                let version = self.generation;
                match kind {
                    $(ResourceKind::$kind => {
                        let spec: $spec = from_value(spec)?;
                        self.$field.insert(name.to_owned(), Versioned { version, spec });
                    })*
                }
                Ok(())
            }

            fn remove(&mut self, kind: ResourceKind, name: &str) {
                match kind {
                    $(ResourceKind::$kind => { self.$field.remove(name); })*
                }
            }
        }
    };
}

resources! {
    Pool, pools, PoolSpec, "Pools of endpoints.";
    Model, models, ModelSpec, "Models that callers may request.";
    Adapter, adapters, AdapterSpec, "Adapters of models.";
    Version, versions, VersionSpec, "Versions of models.";
    Role, roles, RoleSpec, "How engine roles are assigned in a pool.";
    Kind, kinds, KindSpec, "Kinds of request.";
    Endpoint, endpoints, EndpointSpec, "Endpoints.";
    Team, teams, TeamSpec, "Teams of callers.";
}

impl ResourceKind {
    /// Returns the kind with this singular or plural name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        let singular = name.strip_suffix('s').unwrap_or(name);
        Self::ALL.iter().copied().find(|kind| kind.plural().strip_suffix('s') == Some(singular))
    }
}

/// A change to one resource.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Its kind.
    pub kind: ResourceKind,
    /// Its name.
    pub name: String,
    /// Version that the change is based on; zero to create the resource, `None` to accept any version.
    pub based_on: Option<u64>,
    /// New specification; `None` to delete the resource.
    pub spec: Option<Value>,
}

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeRefusal {
    /// The resource has another version.
    Conflict {
        /// Present version; zero if the resource does not exist.
        present: u64,
    },
    /// The resource to delete does not exist.
    NotFound,
    /// The resulting document would not be valid.
    Invalid(Vec<crate::validate::Problem>),
}

impl Document {
    /// Returns the next generation of the document, with all of `changes` made and the write recorded under `token`.
    ///
    /// # Errors
    /// Returns why a change is refused; then none is made.
    pub fn with_changes(&self, changes: &[Change], token: &str) -> Result<Self, ChangeRefusal> {
        let mut next = self.clone();
        next.generation += 1;
        for change in changes {
            next.apply(change)?;
        }
        let problems = crate::validate::problems(&next);
        if !problems.is_empty() {
            return Err(ChangeRefusal::Invalid(problems));
        }
        next.writes.push(Write { token: token.to_owned(), generation: next.generation });
        let excess = next.writes.len().saturating_sub(MAX_WRITES);
        next.writes.drain(..excess);
        Ok(next)
    }

    /// Generation created by the write with `token`, if it took effect and is among the recent writes.
    #[must_use]
    pub fn generation_of_write(&self, token: &str) -> Option<u64> {
        self.writes.iter().find(|w| w.token == token).map(|w| w.generation)
    }

    fn apply(&mut self, change: &Change) -> Result<(), ChangeRefusal> {
        let present = self.get(change.kind, &change.name).map_or(0, |(version, _)| version);
        if change.based_on.is_some_and(|based_on| based_on != present) {
            return Err(ChangeRefusal::Conflict { present });
        }
        match &change.spec {
            Some(spec) => self.insert(change.kind, &change.name, spec.clone()).map_err(invalid_spec),
            None if present == 0 => Err(ChangeRefusal::NotFound),
            None => {
                self.remove(change.kind, &change.name);
                Ok(())
            }
        }
    }
}

fn invalid_spec(error: ParseError) -> ChangeRefusal {
    let ParseError::Invalid(path, expected) = error;
    ChangeRefusal::Invalid(vec![crate::validate::Problem { path: format!("spec.{path}"), expected }])
}

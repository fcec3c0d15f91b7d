//! The resources that operators declare, and the one document that holds them.
//!
//! The document is a single value in the key-value service, changed by compare-and-swap. Its
//! generation grows by one with each accepted change, so of two copies the one with the higher
//! generation is the newer.

use std::collections::BTreeMap;

use dahliaseam_core::{
    custody::Fencing,
    endpoint::{Rates, Role},
    planner::{PlannerSettings, RoleRates},
    request::KindTraits,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::{ReadError, from_value};

/// A value with the generation at which it last changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Versioned<T> {
    /// That generation.
    pub version: u64,
    /// The value.
    pub spec: T,
}

/// A pool of endpoints that serve the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Whether it consists of engines or of plain services.
    pub endpoints: EndpointClass,
    /// Models that its engines carry.
    #[serde(default)]
    pub models: Vec<String>,
    /// Rates that its endpoints start from.
    #[serde(default)]
    pub rates: Rates,
    /// Rates of whole roles, for the planner.
    #[serde(default)]
    pub role_rates: RoleRates,
}

/// What an endpoint is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointClass {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// A model that callers may ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// The version in service.
    pub version: String,
}

/// An adapter over a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// The model under it.
    pub model: String,
    /// Its name in the weight store.
    pub artifact: String,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// The model.
    pub model: String,
    /// Its name in the weight store.
    pub artifact: String,
}

/// How the roles of one pool are decided; named as the pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoleSpec {
    /// The planner's settings.
    #[serde(default)]
    pub planner: PlannerSettings,
    /// Roles that are fixed, by endpoint; the planner leaves these alone.
    #[serde(default)]
    pub fixed: BTreeMap<String, Role>,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindSpec {
    /// Higher goes first, 0 to 15; 8 and above is urgent.
    pub priority: u8,
    /// Worth of one whole answer in time.
    pub weight: f64,
    /// Milliseconds within which an answer is useful.
    pub deadline_ms: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether no planned change may cut it.
    #[serde(default)]
    pub protected: bool,
    /// Whether callers must send an idempotency key.
    #[serde(default)]
    pub key_required: bool,
    /// Tokens of the answer when the caller names no bound.
    #[serde(default = "default_output")]
    pub output_tokens: u32,
}

const fn default_output() -> u32 {
    128
}

impl KindSpec {
    /// What the decisions need of it.
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
    /// The pool that it serves.
    pub pool: String,
    /// `IP:port`.
    pub address: String,
    /// The VM it runs on, as the platform lists it.
    pub vm: String,
    /// Its hall.
    pub hall: String,
    /// The role it starts with.
    #[serde(default)]
    pub role: Role,
    /// Whether it refuses old fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Whether operators want it to get no work.
    #[serde(default)]
    pub drained: bool,
    /// Models, adapters and versions that it is to have loaded.
    #[serde(default)]
    pub load: Vec<String>,
}

/// A team of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Requests a second over the whole deployment.
    pub rate: f64,
}

/// Tokens of writes kept in the document, to settle writes whose answer was lost.
const MAX_WRITES: usize = 64;

/// A write that the document holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The writer's own token.
    pub token: String,
    /// The generation that it made.
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

            /// Its name in paths.
            #[must_use]
            pub const fn plural(self) -> &'static str {
                match self { $(Self::$kind => stringify!($field),)* }
            }
        }

        /// The whole configuration.
        #[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
        #[serde(deny_unknown_fields)]
        pub struct Document {
            /// Grows by one with each accepted change.
            #[serde(default)]
            pub generation: u64,
            /// The latest writes.
            #[serde(default)]
            pub writes: Vec<Write>,
            $(#[doc = $doc] #[serde(default)] pub $field: BTreeMap<String, Versioned<$spec>>,)*
        }

        impl Document {
            /// The names and versions of one kind's resources.
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

            /// A resource's version and specification.
            #[must_use]
            pub fn get(&self, kind: ResourceKind, name: &str) -> Option<(u64, Value)> {
                match kind {
                    $(ResourceKind::$kind => {
                        let v = self.$field.get(name)?;
                        Some((v.version, serde_json::to_value(&v.spec).ok()?))
                    })*
                }
            }

            fn insert(&mut self, kind: ResourceKind, name: &str, spec: Value) -> Result<(), ReadError> {
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
    Model, models, ModelSpec, "Models that callers may ask for.";
    Adapter, adapters, AdapterSpec, "Adapters over models.";
    Version, versions, VersionSpec, "Versions of models.";
    Role, roles, RoleSpec, "How the roles of a pool are decided.";
    Kind, kinds, KindSpec, "Kinds of request.";
    Endpoint, endpoints, EndpointSpec, "Endpoints.";
    Team, teams, TeamSpec, "Teams of callers.";
}

impl ResourceKind {
    /// The kind with this singular or plural name.
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
    /// The version that the change is based on; zero to create, absent to take any.
    pub based_on: Option<u64>,
    /// What is wanted; absent to delete.
    pub spec: Option<Value>,
}

/// Why a change does not apply.
#[derive(Clone, Debug, PartialEq)]
pub enum Refused {
    /// The resource has another version.
    Conflict {
        /// The present one; zero when there is none.
        present: u64,
    },
    /// There is no such resource.
    NotFound,
    /// The result would not be valid.
    Invalid(Vec<crate::validate::Problem>),
}

impl Document {
    /// The document after all of `changes`, written as one under `token`.
    ///
    /// # Errors
    /// Why the changes do not apply; then none of them does.
    pub fn with_changes(&self, changes: &[Change], token: &str) -> Result<Self, Refused> {
        let mut next = self.clone();
        next.generation += 1;
        for change in changes {
            next.apply(change)?;
        }
        let problems = crate::validate::problems(&next);
        if !problems.is_empty() {
            return Err(Refused::Invalid(problems));
        }
        next.writes.push(Write { token: token.to_owned(), generation: next.generation });
        let excess = next.writes.len().saturating_sub(MAX_WRITES);
        next.writes.drain(..excess);
        Ok(next)
    }

    /// The generation that the write under `token` made, if it took effect.
    #[must_use]
    pub fn generation_of_write(&self, token: &str) -> Option<u64> {
        self.writes.iter().find(|w| w.token == token).map(|w| w.generation)
    }

    fn apply(&mut self, change: &Change) -> Result<(), Refused> {
        let present = self.get(change.kind, &change.name).map_or(0, |(version, _)| version);
        if change.based_on.is_some_and(|based_on| based_on != present) {
            return Err(Refused::Conflict { present });
        }
        match &change.spec {
            Some(spec) => self.insert(change.kind, &change.name, spec.clone()).map_err(invalid_spec),
            None if present == 0 => Err(Refused::NotFound),
            None => {
                self.remove(change.kind, &change.name);
                Ok(())
            }
        }
    }
}

fn invalid_spec(error: ReadError) -> Refused {
    let ReadError::Invalid(path, expected) = error;
    Refused::Invalid(vec![crate::validate::Problem { path: format!("spec.{path}"), expected }])
}

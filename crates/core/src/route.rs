//! Routes: which service answers a caller's request, and under which terms.
//!
//! A table is one version of the operators' configuration. It is built once and never changed;
//! a newer version replaces it as a whole.

use std::{collections::HashMap, sync::Arc};

use crate::{
    fleet::pool::Scaling,
    team::{PresentedKey, Team, Teams, Verdict, authenticate},
    time::Span,
};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It runs once at most.
    AtMostOnce,
    /// It may run again.
    Allowed,
}

/// One service's share of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service's name.
    pub service: Arc<str>,
    /// Its weight against the other shares.
    pub weight: u32,
}

/// A route and the terms of its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: Arc<str>,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// The services that answer, by weight.
    pub shares: Vec<Share>,
    /// Whether its requests may run more than once.
    pub repeat: Repeat,
    /// Whether its answers are event streams.
    pub stream: bool,
    /// Longest time that a request may be held.
    pub timeout: Span,
    /// Time in which a whole answer, or a stream's first event, is worth most.
    pub objective: Span,
    /// Time after which a caller that has heard nothing leaves.
    pub caller_timeout: Span,
    /// Longest pause between two events of a stream that is in time; absent if any is.
    pub max_event_gap: Option<Span>,
    /// Endpoints that one request may run on.
    pub max_attempts: u32,
    /// Rank, 0 the most urgent.
    pub priority: u8,
    /// Whether its callers need no key.
    pub anonymous: bool,
}

impl Route {
    /// The service for a request whose id hashes to `hash`.
    #[must_use]
    pub fn service(&self, hash: u64) -> Option<&Arc<str>> {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut left = hash.checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }
}

/// What the configuration says of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that one engine generates for at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Time that a role change takes an engine away.
    pub role_change: Span,
}

/// What the configuration says of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name.
    pub name: Arc<str>,
    /// Connections that one endpoint takes from all VMs together.
    pub connections: u32,
    /// Its engines; absent for a plain service.
    pub engine: Option<EngineSpec>,
    /// How many of them there may be, where that is ours to choose.
    pub scaling: Option<Scaling>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a head at most.
    pub head_bytes: usize,
    /// Bytes of a body at most.
    pub body_bytes: usize,
    /// Time in which a head must have come.
    pub head_time: Span,
    /// Time for which an idle connection is kept.
    pub idle_time: Span,
}

/// One version of the routes and services.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Version, rising.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// The teams of callers; absent where nobody needs a key.
    teams: Option<Teams>,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<ServiceSpec>>,
}

impl RouteTable {
    /// A table of routes, each with its host; `teams` are absent where nobody needs a key.
    #[must_use]
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: Vec<(String, Route)>,
        services: Vec<ServiceSpec>,
        teams: Option<Teams>,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for (host, route) in routes {
            hosts.entry(host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services.into_iter().map(|s| (Arc::clone(&s.name), Arc::new(s))).collect();
        Self { version, limits, teams, hosts, services }
    }

    /// The route of a request: of its host's routes, the one with the longest matching prefix.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        let host = host_name(host).to_ascii_lowercase();
        self.hosts.get(&host)?.iter().find(|route| path.starts_with(&route.prefix)).cloned()
    }

    /// How a caller's key is judged on a route.
    #[must_use]
    pub fn authenticate(&self, given: &PresentedKey, route: &Route) -> Verdict {
        authenticate(self.teams.as_ref(), given, route.anonymous)
    }

    /// The team of a name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Arc<Team>> {
        self.teams.as_ref()?.find_by_name(name)
    }

    /// Whether any team has a quota.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        self.teams.as_ref().is_some_and(Teams::has_quotas)
    }

    /// What is said of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// Longest pause between two events that is in time on all streams of a service.
    #[must_use]
    pub fn max_event_gap(&self, service: &str) -> Option<Span> {
        let routes = self.hosts.values().flatten();
        let its = routes.filter(|route| route.shares.iter().any(|share| &*share.service == service));
        its.filter_map(|route| route.max_event_gap).min()
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values()
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// The host without its port.
fn host_name(host: &str) -> &str {
    host.rsplit_once(':')
        .map_or(host, |(name, port)| if port.bytes().all(|b| b.is_ascii_digit()) { name } else { host })
}

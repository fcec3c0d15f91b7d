//! Routes: which service handles a caller's request, and under which conditions.
//!
//! A table is built from one version of the operators' configuration and never changed; a newer version
//! replaces it as a whole.

use std::{collections::HashMap, sync::Arc};

use crate::{
    fleet::pool::Scaling,
    team::{Authentication, PresentedKey, Team, Teams, authenticate},
    time::Span,
};

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It runs at most once.
    AtMostOnce,
    /// It may run again.
    Allowed,
}

/// A service of a route and its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceWeight {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight relative to the other services.
    pub weight: u32,
}

/// A route and the conditions for its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: Arc<str>,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Services of the route, chosen by weight.
    pub service_weights: Vec<ServiceWeight>,
    /// Whether requests may run more than once.
    pub repeat: Repeat,
    /// Whether answers are event streams.
    pub stream: bool,
    /// Maximum time for which a request is held.
    pub timeout: Span,
    /// Target time for a whole answer or for the first event of a stream.
    pub objective: Span,
    /// Time after which a caller that has received nothing gives up.
    pub caller_timeout: Span,
    /// Maximum gap between two events of a stream that counts as in time; `None` if any gap does.
    pub max_event_gap: Option<Span>,
    /// Maximum number of endpoints on which one request may run.
    pub max_attempts: u32,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub anonymous: bool,
}

impl Route {
    /// Selects the service for a request whose identifier has this hash.
    #[must_use]
    pub fn service(&self, hash: u64) -> Option<&Arc<str>> {
        let total: u64 = self.service_weights.iter().map(|s| u64::from(s.weight)).sum();
        let mut remaining = hash.checked_rem(total)?;
        for candidate in &self.service_weights {
            let weight = u64::from(candidate.weight);
            if remaining < weight {
                return Some(&candidate.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// Configuration of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Number of requests that an engine decodes concurrently.
    pub slots: u32,
    /// Number of tokens that fit into its KV cache.
    pub kv_capacity_tokens: u64,
    /// Time for which a role change makes an engine unavailable.
    pub role_change: Span,
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Arc<str>,
    /// Maximum number of connections to one endpoint from all VMs together.
    pub connections: u32,
    /// Configuration of its engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// Limits for automatic scaling; `None` if the number of replicas is not managed here.
    pub scaling: Option<Scaling>,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Time in which a request head must arrive.
    pub head_time: Span,
    /// Time after which an idle connection is closed.
    pub idle_time: Span,
}

/// One version of the routes and services.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Version number, which grows.
    pub version: u64,
    /// Limits on callers' connections and requests.
    pub limits: CallerLimits,
    /// Teams of callers; `None` if no route needs a key.
    teams: Option<Teams>,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<ServiceSpec>>,
}

impl RouteTable {
    /// Creates a table from routes, each with its host. `teams` is `None` if no route needs a key.
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

    /// Finds the route of a request: the one with the longest matching path prefix among those of its host.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<Arc<Route>> {
        let host = host_name(host).to_ascii_lowercase();
        self.hosts.get(&host)?.iter().find(|route| path.starts_with(&route.prefix)).cloned()
    }

    /// Checks the key of a caller on a route.
    #[must_use]
    pub fn authenticate(&self, presented: &PresentedKey, route: &Route) -> Authentication {
        authenticate(self.teams.as_ref(), presented, route.anonymous)
    }

    /// Returns a team by name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Arc<Team>> {
        self.teams.as_ref()?.find_by_name(name)
    }

    /// Whether any team has a quota.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        self.teams.as_ref().is_some_and(Teams::has_quotas)
    }

    /// Returns the configuration of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceSpec>> {
        self.services.get(name)
    }

    /// Whether there is a route of this name.
    #[must_use]
    pub fn has_route(&self, name: &str) -> bool {
        self.hosts.values().flatten().any(|route| &*route.name == name)
    }

    /// Smallest of the maximum event gaps of the routes to a service.
    #[must_use]
    pub fn max_event_gap(&self, service: &str) -> Option<Span> {
        let routes = self.hosts.values().flatten();
        let routes_to_service =
            routes.filter(|route| route.service_weights.iter().any(|entry| &*entry.service == service));
        routes_to_service.filter_map(|route| route.max_event_gap).min()
    }

    /// Longest time limit of the routes to a service on which streams may go on elsewhere; `None` if there are none.
    #[must_use]
    pub fn resumable_time(&self, service: &str) -> Option<Span> {
        let routes = self.hosts.values().flatten().filter(|route| route.stream && route.repeat == Repeat::Allowed);
        let routes = routes.filter(|route| route.service_weights.iter().any(|entry| &*entry.service == service));
        routes.map(|route| route.timeout).max()
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<ServiceSpec>> {
        self.services.values()
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there are no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}

/// Removes the port from a host.
fn host_name(host: &str) -> &str {
    host.rsplit_once(':')
        .map_or(host, |(name, port)| if port.bytes().all(|b| b.is_ascii_digit()) { name } else { host })
}

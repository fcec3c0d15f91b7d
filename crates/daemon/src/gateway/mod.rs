//! The gateway: routes callers' requests to the replicas that service discovery knows.
//!
//! The path of a request:
//!
//! - [`listener`] accepts connections.
//! - [`admission`] reads the head, key, route and body.
//! - [`request`] makes attempts until there is an outcome, which [`ending`] logs.
//! - [`attempt`] makes one attempt; [`reading`] has a prompt prefilled for another engine.
//! - [`upstream`] keeps the connections to replicas, and [`body`] knows whether a response arrived completely. Where this
//!   VM has no path to a replica, [`path`] sends its requests through the [`tunnel`] of a peer.
//! - [`relay`] relays the response as it arrives.
//! - [`endings`] checks whether a replica crashed while it had the request, and [`blamed`] stores which requests are
//!   suspected or refused because of such crashes.
//!
//! Background tasks and shared parts:
//!
//! - [`store_watch`] reads the configuration and the replicas from the store, [`snapshot_transfer`] the same from a peer
//!   while the store is unreachable or peers watch it. [`store_entries`] applies it, and [`store_cache`] holds it.
//! - [`peers`] exchanges load reports with other daemons in [`packet`]s, with [`peer_table`].
//! - [`keys`] authenticates callers' keys, and [`freshness_probe`] proves that the configuration is recent enough.
//! - [`quota`] keeps teams within their quotas.
//! - [`leadership`] elects the daemon that sends orders for the roles of engines ([`orders`]), reports usage by team
//!   ([`usage`]) and chooses the number of engines in each hall ([`autoscaler`]).
//! - [`pages`] serves readiness and metrics.
//! - [`suspension`] detects that the machine was suspended.
//! - [`passed`] records the events that were relayed of a stream.
//! - [`state`] is the state that these parts share, and [`controller`] starts and stops them.

mod admission;
mod answer;
mod attempt;
mod autoscaler;
mod blamed;
mod body;
pub mod controller;
mod ending;
mod endings;
mod freshness_probe;
mod keys;
mod leadership;
mod link;
mod listener;
mod log;
mod metrics;
mod orders;
mod origins;
mod packet;
mod pages;
mod passed;
mod path;
mod peer_table;
mod peers;
mod quota;
mod reading;
mod relay;
mod request;
mod sends;
mod snapshot_transfer;
mod software_records;
mod sse;
mod state;
mod stop;
mod store_cache;
mod store_entries;
mod store_watch;
mod suspension;
mod tunnel;
mod upstream;
mod usage;
mod work;

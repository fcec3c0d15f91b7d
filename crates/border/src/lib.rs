//! Interfaces to external services, each with a trait.
//!
//! - [`kv`]: the key-value service; [`etcd`] implements it over the JSON gateway of etcd's v3 protocol.
//! - [`feed`]: a key-value service whose changes can be read in order.
//! - [`framing`]: whether a response states where its body ends.
//! - [`vms`]: the platform's VM list.
//! - [`dialect`]: the formats of a platform for callers, endpoints and the stored configuration.
//! - [`dialer`]: opens connections to replicas.
//! - [`once`]: HTTP calls of which no data may arrive after their timeout.
//! - [`http`]: the HTTP client of all other calls.
//! - [`connection`]: HTTP connections that a task of their own drives; [`idle`] keeps them between requests.

pub mod connection;
pub mod dialect;
pub mod dialer;
pub mod error;
pub mod etcd;
pub mod feed;
pub mod framing;
pub mod http;
pub mod idle;
pub mod kv;
pub mod once;
pub mod vms;

//! Interfaces to external services, each of them a trait.
//!
//! - [`kv`]: the key-value service; [`etcd`] implements it over the JSON gateway of etcd's v3 protocol.
//! - [`feed`]: a key-value service whose changes can be followed.
//! - [`vms`]: the platform's list of VMs.
//! - [`dialect`]: the formats of a platform for callers, endpoints and the stored configuration.
//! - [`http`]: the HTTP client of all calls except those of [`once`], of which nothing may arrive after their timeout.

pub mod dialect;
pub mod error;
pub mod etcd;
pub mod feed;
pub mod http;
pub mod kv;
pub mod once;
pub mod vms;

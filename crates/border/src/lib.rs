//! The borders to the platform, each a trait object with one real adapter.
//!
//! [`kv`] is the key-value service, spoken to by [`etcd`] over the JSON gateway of etcd's v3
//! protocol. [`vms`] is the platform's list of VMs. [`http`] is the client under both.

pub mod error;
pub mod etcd;
pub mod http;
pub mod kv;
pub mod vms;

//! Small stand-ins for the systems around dahliaseam, for tests and the quick start.
//!
//! The engine, the plain service, the key-value service and the VM list each serve on a loopback address until they are
//! dropped; the examples of this package run them as separate processes. Tests inject faults into the first three by a
//! POST to `/fault`. [`caller`] sends requests, [`relay`] stands in for a network link, and [`history`] records what
//! happens.
//! [`model`] is the engine model without I/O, which the experiments use too.

pub mod answer;
pub mod caller;
pub mod engine;
pub mod history;
pub mod kv;
pub mod model;
pub mod plain;
pub mod relay;
pub mod serve;
pub mod vms;

//! Small stand-ins for the systems around dahliaseam, for tests and the quick start.
//!
//! Each is a value that serves on a loopback address; tests inject faults through its `/fault` path.
//! The examples of this package run each stand-in as a separate process.
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

//! Small stand-ins for the systems that dahliaseam meets, for tests and the quick start.
//!
//! Each is a value that serves on a loopback address and has a `/fault` path by which a test
//! brings a failure about. The examples of this package run each as a process of its own.
//! [`model`] is the engine model, without input or output, which the bench uses too.

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

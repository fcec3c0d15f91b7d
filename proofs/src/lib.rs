//! Tests and measurements of the daemons as real processes.
//!
//! [`cluster`] starts the daemons and the stand-ins as processes on loopback and injects faults;
//! [`load`] sends requests meanwhile. Callers and endpoints record what they see in histories,
//! which [`check`] examines afterwards. [`crowd`] plays callers that do not behave.

pub mod check;
pub mod cluster;
pub mod crowd;
pub mod load;
pub mod process;

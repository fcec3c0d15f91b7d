//! Simulations that compare routing and planning decisions. They do not simulate a whole cluster.
//!
//! The dispatchers of several daemons, which do not share state, run against the same engine model as
//! the engine stand-in. [`workload`] generates the requests, [`routing`] contains the compared
//! policies, [`roles`] plans role changes, [`world`] simulates one run, [`bound`] computes an upper
//! bound for all policies, and [`report`] writes tables, CSV and plots.

pub mod bound;
pub mod report;
pub mod roles;
pub mod routing;
pub mod workload;
pub mod world;

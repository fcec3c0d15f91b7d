//! A bench of the decisions, not a simulator of a cluster.
//!
//! It drives the dispatchers of several daemons, which do not see each other's state, against the
//! engine model that the engine stand-in runs too. [`workload`] makes the requests, [`routing`]
//! holds the policies that are compared, [`world`] plays one run, [`bound`] says what no policy
//! can exceed and [`report`] writes tables, CSV and plots.

pub mod bound;
pub mod report;
pub mod roles;
pub mod routing;
pub mod workload;
pub mod world;

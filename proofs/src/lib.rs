//! Process tests and history checks.
//!
//! [`cluster`] starts the daemons and the stand-ins as processes on loopback and brings failures
//! about; [`load`] sends requests meanwhile; [`check`] reads the histories afterwards.

pub mod check;
pub mod cluster;
pub mod load;
pub mod process;

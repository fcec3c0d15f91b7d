//! The daemon that runs on each entry VM, as a library.
//!
//! [`controller`] starts and stops it; [`node`] is what its parts share. The serving path is
//! [`caller`] (HTTP from callers), [`desk`] (the dispatcher with its waiters), [`exchange`] (one
//! request from start to end) and [`attempt`] (one try at an endpoint). Beside it run [`peers`]
//! (membership and gossip), [`configure`] (the configuration in force), [`observe`] (load of
//! endpoints), [`duties`] (which endpoints get work), [`claims`] (at most one run) and
//! [`control`] (orders to engines, for the shards whose lease this daemon holds). [`gateway`] is
//! the serving path for routes and discovered replicas.

pub mod attempt;
pub mod caller;
pub mod claims;
pub mod clock;
pub mod configure;
pub mod control;
pub mod controller;
pub mod desk;
pub mod duties;
pub mod error;
pub mod event;
pub mod exchange;
pub mod gateway;
pub mod health;
pub mod identity;
pub mod listener;
pub mod metrics;
pub mod node;
pub mod observe;
pub mod operator;
pub mod peer_server;
pub mod peers;
pub mod records;
pub mod telemetry;

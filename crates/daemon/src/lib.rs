//! The daemon that runs on each entry VM, as a library.
//!
//! [`controller`] starts and stops it; [`node`] is what its parts share. A request's way under the
//! product's own interface is [`caller`] (HTTP from callers), [`dispatch`] (one request, and where
//! it is tried) and [`endpoint`] (one try). [`gateway`] is the way of requests on routes, to
//! discovered replicas. Beside them are [`configuration`], [`membership`] and [`control`] (orders to
//! engines, for the shards whose lease this daemon holds).

pub mod caller;
pub mod clock;
pub mod configuration;
pub mod control;
pub mod controller;
pub mod dispatch;
pub mod endpoint;
pub mod error;
pub mod event;
pub mod gateway;
pub mod health;
pub mod listener;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod telemetry;

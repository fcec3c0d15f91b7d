//! The daemon that runs on each entry VM, as a library.
//!
//! [`controller`] starts and stops it; [`node`] is the state that its parts share. A request under the product's own
//! interface goes through [`caller`] (HTTP from callers), [`dispatch`] (one request, and where it is tried) and
//! [`endpoint`] (one attempt). Requests on routes go through [`gateway`] to discovered replicas. Further parts are
//! [`configuration`], [`membership`], [`control`] (orders to engines, for the shards whose lease this daemon holds) and
//! [`operator`] (the operators' API).

pub mod body_store;
pub mod caller;
pub mod caller_resources;
mod caller_stream;
pub mod clock;
pub mod configuration;
pub mod connection;
pub mod connection_table;
pub mod control;
pub mod controller;
pub mod dispatch;
pub mod endpoint;
pub mod error;
pub mod event;
pub mod gateway;
pub mod health;
pub mod listener;
pub mod listener_health;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod telemetry;

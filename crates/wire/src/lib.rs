//! The typed messages that cross process borders.
//!
//! [`caller`] is what callers send and get, [`engine`] what endpoints do, [`operator`] the
//! resource API, [`peer`] the calls between daemons, and [`resource`] the configuration document.

pub mod caller;
pub mod engine;
pub mod error;
pub mod operator;
pub mod peer;
pub mod resource;
pub mod validate;

//! Types of the messages between processes.
//!
//! - [`caller`]: headers and error responses of the callers' API.
//! - [`engine`]: extensions to the protocols of endpoints.
//! - [`error`]: parsing of JSON.
//! - [`operator`]: the operators' resource API.
//! - [`peer`]: calls between daemons.
//! - [`resource`]: the configuration document.
//! - [`validate`]: validation of that document.

pub mod caller;
pub mod engine;
pub mod error;
pub mod operator;
pub mod peer;
pub mod resource;
pub mod validate;

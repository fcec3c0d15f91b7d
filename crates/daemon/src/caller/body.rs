//! Reads a caller's body within its limits of size, time and memory.

use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use dahliaseam_core::outcome::Outcome;

use crate::{body_store::BodyError, connection_table::ConnectionHandle, dispatch::failure::Failure, node::Node};

/// Reads the whole body; `conn` is the connection on which it arrives.
///
/// # Errors
/// The refusal if the body is too large, too slow or broken, or if there is no memory for it.
pub(crate) async fn read(node: &Node, body: Body, conn: Option<&ConnectionHandle>) -> Result<Bytes, Failure> {
    let limits = &node.settings.limits;
    let received = node.callers.bodies.receive(body, limits.body_bytes, conn);
    let received = tokio::time::timeout(Duration::from_millis(limits.body_ms), received).await;
    let Ok(received) = received else {
        return Err(Failure::bad_request(408, "body_slow", "the body did not come in time"));
    };
    received.map_err(|e| match e {
        BodyError::TooLarge => {
            let message = format!("the body has more than {} bytes", limits.body_bytes);
            Failure::bad_request(413, "body_large", message)
        }
        BodyError::NoMemory => {
            let message = "the memory for bodies is used up; ask another VM, or again later";
            Failure::new(Outcome::NotRun, "body_memory", message)
        }
        BodyError::Broken(why) => Failure::bad_request(400, "body_broken", why),
    })
}

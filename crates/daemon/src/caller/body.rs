//! Reads a caller's body within its limits of size and time.

use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use dahliaseam_settings::settings::Limits;
use http_body_util::{BodyExt, LengthLimitError, Limited};

use crate::dispatch::failure::Failure;

/// Reads the whole body.
///
/// # Errors
/// The refusal if the body is too large, too slow or broken.
pub(crate) async fn read(body: Body, limits: &Limits) -> Result<Bytes, Failure> {
    let collected = Limited::new(body, limits.body_bytes).collect();
    let read = tokio::time::timeout(Duration::from_millis(limits.body_ms), collected).await;
    let Ok(read) = read else {
        return Err(Failure::bad_request(408, "body_slow", "the body did not come in time"));
    };
    match read {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => {
            let message = format!("the body has more than {} bytes", limits.body_bytes);
            Err(Failure::bad_request(413, "body_large", message))
        }
        Err(e) => Err(Failure::bad_request(400, "body_broken", e.to_string())),
    }
}

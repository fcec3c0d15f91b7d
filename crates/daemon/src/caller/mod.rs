//! The API for callers: completions and plain services over HTTP.

mod body;
mod completion;
mod plain;
pub mod refusal;
mod terms;

use std::sync::Arc;

use axum::{
    Router,
    extract::DefaultBodyLimit,
    response::{IntoResponse, Response},
    routing::{any, post},
};
use dahliaseam_core::outcome::Outcome;

use crate::{dispatch::failure::Failure, endpoint::attempt::Clients, node::Node};

/// State shared by the handlers.
#[derive(Clone, Debug)]
pub(crate) struct CallerState {
    node: Arc<Node>,
    clients: Clients,
}

/// Routes for callers.
pub fn router(node: Arc<Node>) -> Router {
    let state = CallerState { node, clients: Clients::default() };
    Router::new()
        .route("/v1/completions", post(completion::text))
        .route("/v1/chat/completions", post(completion::chat))
        .route("/services/{pool}", any(plain::call_root))
        .route("/services/{pool}/{*path}", any(plain::call))
        .fallback(unknown_path)
        .layer(DefaultBodyLimit::disable())
        .with_state(state)
}

async fn unknown_path() -> Response {
    let failure = Failure::bad_request(404, "unknown_path", "see docs/API.md for the paths there are");
    refusal::response("", &failure).into_response()
}

impl CallerState {
    /// Refuses new work while this daemon must not accept any.
    fn check_accepts_work(&self) -> Result<(), Failure> {
        if self.node.accepts_work() {
            return Ok(());
        }
        Err(Failure::new(Outcome::NotRun, "not_ready", "this VM is cut off or has no configuration yet; ask another"))
    }
}

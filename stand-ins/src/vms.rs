//! Stand-in for the platform's VM list, which the test sets.

use std::sync::{Arc, Mutex};

use axum::{Json, Router, extract::State, http::StatusCode, routing::get};
use serde_json::Value;

use crate::serve::Server;

type Shared = Arc<Mutex<Option<Value>>>;

/// Running service of the VM list.
#[derive(Debug)]
pub struct VmList {
    server: Server,
}

impl VmList {
    /// Starts a service at `address` with an empty list.
    ///
    /// `PUT /vms` replaces the list; `null` makes the service unavailable.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(address: &str) -> std::io::Result<Self> {
        let state: Shared = Arc::new(Mutex::new(Some(Value::Array(Vec::new()))));
        let router = Router::new().route("/vms", get(list).put(set)).with_state(state);
        Ok(Self { server: Server::start(address, router).await? })
    }

    /// Server of this stand-in.
    #[must_use]
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Serves until the process is killed.
    pub async fn serve_forever(self) {
        self.server.serve_forever().await;
    }
}

async fn list(State(state): State<Shared>) -> Result<Json<Value>, StatusCode> {
    let list = state.lock().expect("the lock is not poisoned").clone();
    list.map(Json).ok_or(StatusCode::SERVICE_UNAVAILABLE)
}

async fn set(State(state): State<Shared>, Json(value): Json<Value>) {
    *state.lock().expect("the lock is not poisoned") = (!value.is_null()).then_some(value);
}

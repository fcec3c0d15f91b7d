//! Stand-in for a plain service, such as a till application or a porting lookup.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use axum::{
    Json, Router,
    body::{Body, Bytes},
    extract::State,
    http::{HeaderMap, StatusCode},
    response::{IntoResponse, Response},
    routing::post,
};
use dahliaseam_wire::{
    caller::IDEMPOTENCY_KEY,
    engine::{ATTEMPT, NOT_RUN, REQUEST},
};
use futures_util::{StreamExt, stream};
use serde::{Deserialize, Serialize};

use crate::{
    history::{Event, History},
    serve::Server,
};

/// Faults of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFault {
    /// Delay of each answer in milliseconds, after the request has run.
    pub delay_ms: u64,
    /// Number of requests that run although their answers are lost.
    pub lose_answers: u32,
    /// Number of requests that are rejected without running.
    pub refuse: u32,
}

/// Setup of a plain service.
#[derive(Clone, Debug)]
pub struct PlainSetup {
    /// Address to listen on, as `IP:port`.
    pub address: String,
    /// Duration of a call, in milliseconds.
    pub work_ms: u64,
    /// History in which requests are recorded.
    pub history: History,
}

#[derive(Clone)]
struct Shared {
    setup: Arc<PlainSetup>,
    fault: Arc<Mutex<PlainFault>>,
}

/// Running plain service.
#[derive(Debug)]
pub struct Plain {
    server: Server,
}

impl Plain {
    /// Starts a service that accepts any path and repeats the request body in its answer.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(setup: PlainSetup) -> std::io::Result<Self> {
        let address = setup.address.clone();
        let shared = Shared { setup: Arc::new(setup), fault: Arc::default() };
        let router = Router::new().route("/fault", post(set_fault)).fallback(run).with_state(shared);
        Ok(Self { server: Server::start(&address, router).await? })
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

async fn set_fault(State(shared): State<Shared>, Json(fault): Json<PlainFault>) {
    *shared.fault.lock().expect("the lock is not poisoned") = fault;
}

/// Returns the answer to `body`.
#[must_use]
pub fn answer(body: &str) -> String {
    format!("done: {body}")
}

/// Names the call of a request in its answer.
fn named(headers: &HeaderMap, mut resp: Response) -> Response {
    for name in [REQUEST, ATTEMPT] {
        if let Some(value) = headers.get(name) {
            resp.headers_mut().insert(name, value.clone());
        }
    }
    resp
}

async fn run(State(shared): State<Shared>, headers: HeaderMap, body: Bytes) -> Response {
    let resp = answer_call(&shared, &headers, &body).await;
    named(&headers, resp)
}

async fn answer_call(shared: &Shared, headers: &HeaderMap, body: &Bytes) -> Response {
    let fault = take_fault(shared);
    if fault.refuse > 0 {
        return (StatusCode::SERVICE_UNAVAILABLE, [(NOT_RUN, "1")], "busy").into_response();
    }
    let header = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    shared.setup.history.record(Event::Ran {
        request: header(REQUEST).unwrap_or_default(),
        attempt: header(ATTEMPT).and_then(|a| a.parse().ok()).unwrap_or(0),
        key: header(IDEMPOTENCY_KEY),
    });
    tokio::time::sleep(Duration::from_millis(shared.setup.work_ms + fault.delay_ms)).await;
    if fault.lose_answers > 0 {
        let broken = stream::once(async { Err::<Bytes, _>(std::io::Error::other("answer lost by an injected fault")) });
        return Response::builder()
            .header("content-length", "1000")
            .body(Body::from_stream(broken.boxed()))
            .unwrap_or_default();
    }
    answer(&String::from_utf8_lossy(body)).into_response()
}

/// Returns the faults for one request, and decrements the counters of those that apply.
fn take_fault(shared: &Shared) -> PlainFault {
    let mut fault = shared.fault.lock().expect("the lock is not poisoned");
    let current = *fault;
    fault.refuse = fault.refuse.saturating_sub(1);
    if current.refuse == 0 {
        fault.lose_answers = fault.lose_answers.saturating_sub(1);
    }
    current
}

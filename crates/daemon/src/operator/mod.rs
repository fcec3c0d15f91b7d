//! The operators' resource API, which requires a token.

mod resources;
pub mod status;

use std::sync::Arc;

use axum::{
    Json, Router,
    extract::{Path, Request, State},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use dahliaseam_wire::{
    operator::{ApiError, DeploymentStatus, RequestRecord},
    peer::PeerClient,
};
use futures_util::future::join_all;
use http::{StatusCode, header::AUTHORIZATION};

use crate::{membership::identity::vm_of, node::Node};

/// Routes for operators.
pub fn router(node: Arc<Node>) -> Router {
    Router::new()
        .route("/v1/status", get(all_status))
        .route("/v1/requests/{id}", get(explain))
        .route("/v1/apply", post(resources::apply))
        .route("/v1/{kind}", get(resources::list))
        .route("/v1/{kind}/{name}", get(resources::get).put(resources::put).delete(resources::delete))
        .layer(middleware::from_fn_with_state(Arc::clone(&node), authenticate))
        .with_state(node)
}

async fn authenticate(State(node): State<Arc<Node>>, req: Request, next: Next) -> Response {
    let expected = node.settings.operator_token.bearer();
    let presented = req.headers().get(AUTHORIZATION).map(http::HeaderValue::as_bytes);
    if presented == Some(expected.as_bytes()) {
        return next.run(req).await;
    }
    node.metrics.refused_call("operator");
    error(StatusCode::UNAUTHORIZED, "unauthorized", "show the operators' token")
}

/// Builds an error response of this API.
pub(crate) fn error(status: StatusCode, code: &str, message: impl Into<String>) -> Response {
    let body = ApiError { code: code.to_owned(), message: message.into(), problems: Vec::new(), present_version: None };
    (status, Json(body)).into_response()
}

async fn all_status(State(node): State<Arc<Node>>) -> Json<DeploymentStatus> {
    let others: Vec<_> = {
        let members = node.members();
        members.others().filter(|(_, m)| m.listed).map(|(_, m)| m.contact.clone()).collect()
    };
    let calls = others.iter().map(|contact| async {
        let client = node.peers.get(&node, &contact.address)?;
        client.status().await.ok()
    });
    let answers = join_all(calls).await;
    let mut report = DeploymentStatus { vms: vec![status::vm_status(&node)], silent: Vec::new() };
    for (contact, answer) in others.iter().zip(answers) {
        match answer {
            Some(vm) => report.vms.push(vm),
            None => report.silent.push(contact.vm.clone()),
        }
    }
    report.vms.sort_by(|a, b| a.vm.cmp(&b.vm));
    Json(report)
}

async fn explain(State(node): State<Arc<Node>>, Path(id): Path<String>) -> Response {
    let Some(vm) = vm_of(&id) else {
        return error(StatusCode::BAD_REQUEST, "invalid", "a request's identifier is VM.START.NUMBER");
    };
    let record =
        if vm == node.settings.vm { Ok(node.records.get(&id)) } else { explain_from_peer(&node, vm, &id).await };
    match record {
        Ok(Some(record)) => Json(record).into_response(),
        Ok(None) => error(StatusCode::NOT_FOUND, "not_found", "the VM does not remember this request"),
        Err(why) => error(StatusCode::SERVICE_UNAVAILABLE, "unavailable", why),
    }
}

async fn explain_from_peer(node: &Arc<Node>, vm: &str, id: &str) -> Result<Option<RequestRecord>, String> {
    let address = node.members().by_vm(vm).map(|m| m.contact.address.clone());
    let client = address.and_then(|address| node.peers.get(node, &address));
    let client = client.ok_or_else(|| format!("there is no VM {vm}"))?;
    client.explain(id.to_owned()).await.map_err(|_| format!("VM {vm} does not answer"))
}

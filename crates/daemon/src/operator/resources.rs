//! Reads, writes and watches resources.

use std::{collections::BTreeMap, convert::Infallible, sync::Arc, time::Duration};

use axum::{
    Json,
    body::{Body, Bytes},
    extract::{Path, Query, State},
    response::{IntoResponse, Response},
};
use dahliaseam_wire::{
    error::{ParseError, from_json},
    operator::{Accepted, ApiError, ApplyBody, PutBody, Resource, ResourceList, WatchEvent},
    resource::{Change, ChangeRefusal, Document, ResourceKind},
    validate::Problem,
};
use futures_util::stream;
use http::StatusCode;
use serde::Deserialize;

use super::{error, status};
use crate::{
    configuration::configure::{self, ChangeError},
    node::Node,
};

/// Interval at which a watch checks for changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug, Deserialize)]
pub(super) struct ListQuery {
    #[serde(default)]
    watch: bool,
}

#[derive(Debug, Deserialize)]
pub(super) struct DeleteQuery {
    resource_version: Option<u64>,
}

fn parse_kind(name: &str) -> Result<ResourceKind, Box<Response>> {
    let known_kinds = || ResourceKind::ALL.iter().map(|k| k.plural()).collect::<Vec<_>>().join(", ");
    ResourceKind::from_name(name).ok_or_else(|| {
        Box::new(error(StatusCode::NOT_FOUND, "not_found", format!("there are {}, not {name:?}", known_kinds())))
    })
}

fn resource(node: &Node, doc: &Document, kind: ResourceKind, name: &str) -> Option<Resource> {
    let (resource_version, spec) = doc.get(kind, name)?;
    Some(Resource {
        kind,
        name: name.to_owned(),
        resource_version,
        spec,
        status: status::resource_status(node, doc, kind, name),
    })
}

fn all_resources(node: &Node, doc: &Document, kind: ResourceKind) -> Vec<Resource> {
    doc.names(kind).iter().filter_map(|(name, _)| resource(node, doc, kind, name)).collect()
}

pub(super) async fn list(
    State(node): State<Arc<Node>>,
    Path(kind): Path<String>,
    Query(query): Query<ListQuery>,
) -> Response {
    let kind = match parse_kind(&kind) {
        Ok(kind) => kind,
        Err(resp) => return *resp,
    };
    if query.watch {
        return watch(node, kind);
    }
    let doc = node.document();
    Json(ResourceList { generation: doc.generation, items: all_resources(&node, &doc, kind) }).into_response()
}

pub(super) async fn get(State(node): State<Arc<Node>>, Path((kind, name)): Path<(String, String)>) -> Response {
    let kind = match parse_kind(&kind) {
        Ok(kind) => kind,
        Err(resp) => return *resp,
    };
    let doc = node.document();
    match resource(&node, &doc, kind, &name) {
        Some(resource) => Json(resource).into_response(),
        None => error(StatusCode::NOT_FOUND, "not_found", format!("there is no {kind:?} {name:?}")),
    }
}

pub(super) async fn put(
    State(node): State<Arc<Node>>,
    Path((kind, name)): Path<(String, String)>,
    body: Bytes,
) -> Response {
    let kind = match parse_kind(&kind) {
        Ok(kind) => kind,
        Err(resp) => return *resp,
    };
    let body: PutBody = match from_json(&body) {
        Ok(body) => body,
        Err(e) => return invalid_body(&node, e),
    };
    let change = Change { kind, name, based_on: body.resource_version, spec: Some(body.spec) };
    change_response(configure::change(&node, &[change]).await)
}

pub(super) async fn delete(
    State(node): State<Arc<Node>>,
    Path((kind, name)): Path<(String, String)>,
    Query(query): Query<DeleteQuery>,
) -> Response {
    let kind = match parse_kind(&kind) {
        Ok(kind) => kind,
        Err(resp) => return *resp,
    };
    let change = Change { kind, name, based_on: query.resource_version, spec: None };
    change_response(configure::change(&node, &[change]).await)
}

pub(super) async fn apply(State(node): State<Arc<Node>>, body: Bytes) -> Response {
    let body: ApplyBody = match from_json(&body) {
        Ok(body) => body,
        Err(e) => return invalid_body(&node, e),
    };
    let changes: Vec<_> = body
        .resources
        .into_iter()
        .map(|r| Change { kind: r.kind, name: r.name, based_on: r.resource_version, spec: Some(r.spec) })
        .collect();
    change_response(configure::change(&node, &changes).await)
}

fn invalid_body(node: &Node, e: ParseError) -> Response {
    node.metrics.refused_call("operator");
    let ParseError::Invalid(path, expected) = e;
    invalid_change(vec![Problem { path, expected }])
}

fn invalid_change(problems: Vec<Problem>) -> Response {
    let body = ApiError {
        code: "invalid".to_owned(),
        message: "the change is not valid; nothing was changed".to_owned(),
        problems,
        present_version: None,
    };
    (StatusCode::UNPROCESSABLE_ENTITY, Json(body)).into_response()
}

fn conflict(present: u64) -> Response {
    let body = ApiError {
        code: "conflict".to_owned(),
        message: "the resource was changed meanwhile; read it and decide again".to_owned(),
        problems: Vec::new(),
        present_version: Some(present),
    };
    (StatusCode::CONFLICT, Json(body)).into_response()
}

fn change_response(result: Result<u64, ChangeError>) -> Response {
    match result {
        Ok(generation) => Json(Accepted { generation }).into_response(),
        Err(ChangeError::Refused(ChangeRefusal::Conflict { present })) => conflict(present),
        Err(ChangeError::Refused(ChangeRefusal::NotFound)) => {
            error(StatusCode::NOT_FOUND, "not_found", "there is no such resource")
        }
        Err(ChangeError::Refused(ChangeRefusal::Invalid(problems))) => invalid_change(problems),
        Err(ChangeError::Unavailable(why)) => error(StatusCode::SERVICE_UNAVAILABLE, "unavailable", why),
        Err(ChangeError::Unknown(why)) => error(StatusCode::GATEWAY_TIMEOUT, "unknown", why),
    }
}

/// A watch, with the resources as last sent.
struct ResourceWatch {
    node: Arc<Node>,
    kind: ResourceKind,
    sent: BTreeMap<String, Resource>,
}

fn watch(node: Arc<Node>, kind: ResourceKind) -> Response {
    let state = ResourceWatch { node, kind, sent: BTreeMap::new() };
    let lines = stream::unfold(state, |mut state| async move {
        loop {
            if state.node.stop.closing.is_cancelled() {
                return None;
            }
            let lines = state.changed_lines();
            if !lines.is_empty() {
                return Some((Ok::<_, Infallible>(Bytes::from(lines)), state));
            }
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
    });
    ([("content-type", "application/x-ndjson")], Body::from_stream(lines)).into_response()
}

impl ResourceWatch {
    /// One line for each resource that has changed since the last check.
    fn changed_lines(&mut self) -> String {
        let doc = self.node.document();
        let current: BTreeMap<_, _> =
            all_resources(&self.node, &doc, self.kind).into_iter().map(|r| (r.name.clone(), r)).collect();
        let changed = current.values().filter(|r| self.sent.get(&r.name).is_none_or(|sent| has_changed(sent, r)));
        let mut events: Vec<_> = changed.map(|r| WatchEvent::Put { resource: r.clone() }).collect();
        let removed = self.sent.keys().filter(|name| !current.contains_key(*name));
        events.extend(removed.map(|name| WatchEvent::Delete {
            kind: self.kind,
            name: name.clone(),
            generation: doc.generation,
        }));
        for event in &events {
            match event {
                WatchEvent::Put { resource } => self.sent.insert(resource.name.clone(), resource.clone()),
                WatchEvent::Delete { name, .. } => self.sent.remove(name),
            };
        }
        events.iter().filter_map(|e| serde_json::to_string(e).ok()).map(|line| line + "\n").collect()
    }
}

/// Status fields that change constantly; a change in these alone is not reported.
const VOLATILE_FIELDS: [&str; 5] = ["load", "load_age_ms", "in_flight", "window", "demand_here"];

fn has_changed(sent: &Resource, current: &Resource) -> bool {
    let stable_status = |r: &Resource| {
        let mut status = r.status.clone();
        if let Some(fields) = status.as_object_mut() {
            fields.retain(|name, _| !VOLATILE_FIELDS.contains(&name.as_str()));
        }
        status
    };
    sent.resource_version != current.resource_version || stable_status(sent) != stable_status(current)
}

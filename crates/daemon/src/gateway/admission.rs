//! Admission of a request: reads its head, authenticates its key, finds its route and reads its body.

use std::sync::Arc;

use bytes::Bytes;
use dahliaseam_border::dialect::CallerRequest;
use dahliaseam_core::{
    content::ContentHash,
    hash,
    route::{Route, RouteTable},
    team::Identity,
    time::Time,
};
use http::{header, request, uri::PathAndQuery};
use hyper::body::Incoming;

use crate::{
    body_store::BodyError,
    connection_table::ConnectionHandle,
    gateway::{answer::Refusal, state::Gateway},
};

/// A request that was read completely and may run.
#[derive(Debug)]
pub(super) struct Admitted {
    pub(super) head: request::Parts,
    pub(super) body: Bytes,
    pub(super) caller: CallerRequest,
    pub(super) content: ContentHash,
    pub(super) route: Arc<Route>,
    pub(super) service: Arc<str>,
    /// On whose behalf the request runs.
    pub(super) identity: Identity,
    /// Version of the configuration that applied.
    pub(super) version: u64,
    pub(super) arrived: Time,
    /// When the request must be finished: after the caller's timeout or the route's time limit, whichever is shorter.
    pub(super) deadline: Time,
}

/// Why a request is not admitted, and its identifier if that was read.
pub(super) type NotAdmitted = (Refusal, String);

/// Reads a request, finds its route and authenticates its key.
pub(super) async fn admit(gw: &Gateway, mut head: request::Parts, body: Incoming) -> Result<Admitted, NotAdmitted> {
    let arrived = gw.now();
    mark_keys_sensitive(&mut head);
    let caller =
        gw.deps.dialect.decode_caller_request(&head).map_err(|e| (Refusal::BadHead(e.to_string()), String::new()))?;
    let refused = |refusal| (refusal, caller.id.clone());
    let table = gw.table().ok_or_else(|| refused(Refusal::NoConfiguration))?;
    if head_bytes(&head) > table.limits.head_bytes {
        return Err(refused(Refusal::HeadTooLarge));
    }
    let (route, service) = find_route(&table, &head, &caller).ok_or_else(|| refused(Refusal::NoRoute))?;
    let identity = gw.keys.authenticate(&table, &route, &caller.key, arrived).map_err(refused)?;
    let timeout = caller.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + timeout;
    let conn = head.extensions.remove::<ConnectionHandle>();
    let body = read_body(gw, body, table.limits.body_bytes, conn.as_ref(), deadline).await.map_err(refused)?;
    let content = content_hash(&head, &body);
    Ok(Admitted { head, body, caller, content, route, service, identity, version: table.version, arrived, deadline })
}

/// Size of a head as it is sent: the method, the target and all header fields, each with its separators.
fn head_bytes(head: &request::Parts) -> usize {
    const LINE_REST: usize = "  HTTP/1.1\r\n".len();
    const SEPARATORS: usize = ": ".len() + "\r\n".len();
    let authority = head.uri.authority().map_or(0, |authority| "http://".len() + authority.as_str().len());
    let path = head.uri.path_and_query().map_or(0, |path| path.as_str().len());
    let fields = head.headers.iter().map(|(name, value)| name.as_str().len() + value.len() + SEPARATORS);
    head.method.as_str().len() + authority + path + LINE_REST + fields.sum::<usize>() + "\r\n".len()
}

/// Marks keys as sensitive, so that Debug output of a head does not show them.
fn mark_keys_sensitive(head: &mut request::Parts) {
    for (_, value) in head.headers.iter_mut().filter(|(name, _)| **name == header::AUTHORIZATION) {
        value.set_sensitive(true);
    }
}

fn find_route(table: &RouteTable, head: &request::Parts, caller: &CallerRequest) -> Option<(Arc<Route>, Arc<str>)> {
    let route = table.find(host(head)?, head.uri.path())?;
    // A stream that is taken up goes to the service where it began.
    let id = caller.resumes.as_ref().unwrap_or(&caller.id);
    let service = Arc::clone(route.service(hash::bytes(id.as_bytes()))?);
    Some((route, service))
}

/// The host that the request addresses.
fn host(head: &request::Parts) -> Option<&str> {
    head.headers.get(header::HOST).and_then(|host| host.to_str().ok()).or_else(|| head.uri.host())
}

fn content_hash(head: &request::Parts, body: &[u8]) -> ContentHash {
    let path = head.uri.path_and_query().map_or("", PathAndQuery::as_str);
    ContentHash::of(head.method.as_str(), host(head).unwrap_or_default(), path, body)
}

async fn read_body(
    gw: &Gateway,
    body: Incoming,
    limit: usize,
    conn: Option<&ConnectionHandle>,
    deadline: Time,
) -> Result<Bytes, Refusal> {
    let received = gw.timeout_at(deadline, gw.bodies.receive(body, limit, conn)).await;
    received.ok_or(Refusal::BodyLate)?.map_err(|e| match e {
        BodyError::TooLarge => Refusal::BodyTooLarge,
        BodyError::NoMemory => Refusal::NoBodyMemory,
        BodyError::Broken(why) => Refusal::BadHead(format!("the body broke off: {why}")),
    })
}

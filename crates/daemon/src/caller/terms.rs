//! Reads the parameters of a request from its headers and the configuration.

use dahliaseam_wire::{
    caller::{DEADLINE, IDEMPOTENCY_KEY, KIND, TEAM},
    resource::Document,
};
use http::HeaderMap;

use crate::{
    dispatch::{
        exchange::{RequestParams, deadline},
        failure::Failure,
    },
    node::Node,
};

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Reads the parameters of a request that has just arrived under `id`.
///
/// # Errors
/// The refusal if a header is invalid.
pub(crate) fn read(node: &Node, doc: &Document, id: &str, headers: &HeaderMap) -> Result<RequestParams, Failure> {
    let kind_name = header_text(headers, KIND)?.or(node.settings.default_kind.as_deref()).ok_or_else(|| {
        Failure::bad_request(400, "kind_missing", format!("name the request's kind in the header {KIND}"))
    })?;
    let Some(kind) = doc.kinds.get(kind_name) else {
        return Err(Failure::bad_request(400, "kind_unknown", format!("there is no kind {kind_name:?}")));
    };
    let kind = kind.spec.clone();
    let team = header_text(headers, TEAM)?.unwrap_or("default").to_owned();
    let key = read_key(headers, &team, kind.repeatable)?;
    if kind.key_required && key.is_none() {
        let message = format!("requests of kind {kind_name:?} need the header {IDEMPOTENCY_KEY}");
        return Err(Failure::bad_request(400, "key_missing", message));
    }
    let arrived = node.now();
    let requested_ms = read_deadline(headers)?;
    Ok(RequestParams {
        request: id.to_owned(),
        kind_name: kind_name.to_owned(),
        deadline: deadline(arrived, &kind, requested_ms),
        kind,
        team,
        key,
        arrived,
    })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Failure> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let invalid = |_| Failure::bad_request(400, "header_invalid", format!("the header {name} is not plain text"));
    value.to_str().map(Some).map_err(invalid)
}

/// A repeatable kind needs no claim, so its key is ignored.
fn read_key(headers: &HeaderMap, team: &str, repeatable: bool) -> Result<Option<String>, Failure> {
    let Some(key) = header_text(headers, IDEMPOTENCY_KEY)?.filter(|_| !repeatable) else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("an idempotency key has 1 to {MAX_KEY_BYTES} bytes");
        return Err(Failure::bad_request(400, "key_invalid", message));
    }
    Ok(Some(format!("{team}/{key}")))
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<u64>, Failure> {
    let Some(value) = header_text(headers, DEADLINE)? else { return Ok(None) };
    match value.parse::<u64>() {
        Ok(ms) if ms > 0 => Ok(Some(ms)),
        _ => {
            let message = format!("the header {DEADLINE} is a whole number of milliseconds above 0");
            Err(Failure::bad_request(400, "deadline_invalid", message))
        }
    }
}

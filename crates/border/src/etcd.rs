//! Client of an etcd key-value service, over the JSON gateway of its v3 protocol.
//!
//! The gateway encodes keys and values in base64 and 64-bit numbers as strings. See the API reference of etcd 3.5,
//! `etcdserverpb.KV`, `Lease` and `Watch`.

use std::time::Duration;

use async_trait::async_trait;
use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use bytes::{Bytes, BytesMut};
use futures_util::{StreamExt, stream};
use http::Request;
use http_body_util::{BodyExt, Full};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{
    error::CallError,
    http::{HttpClient, Incoming, Reuse},
    kv::{Entry, KeyValue, LeaseId, Swap, Swapped, WatchEvent, WatchStream},
};

/// Time limit for one call, except watches.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without data after which a watch counts as broken.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of one message of a watch.
const MAX_WATCH_MESSAGE_BYTES: usize = 4 << 20;

/// Client of the service at one address.
#[derive(Debug)]
pub struct Etcd {
    base: String,
    client: HttpClient,
    watch_client: HttpClient,
}

impl Etcd {
    /// Creates a client for the service at `address`, given as `IP:port`.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            base: format!("http://{address}/v3"),
            client: HttpClient::new(Reuse::Keep),
            watch_client: HttpClient::new(Reuse::Fresh),
        }
    }

    async fn call<B: serde::de::DeserializeOwned>(&self, path: &str, body: &Value) -> Result<B, CallError> {
        self.client.post(&format!("{}/{path}", self.base), body, CALL_TIMEOUT).await
    }
}

#[derive(Debug, Deserialize)]
struct RangeAnswer {
    #[serde(default)]
    kvs: Vec<RawEntry>,
}

#[derive(Debug, Deserialize)]
struct RawEntry {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    mod_revision: String,
}

#[derive(Debug, Deserialize)]
struct Header {
    #[serde(default)]
    revision: String,
}

#[derive(Debug, Deserialize)]
struct TxnAnswer {
    header: Option<Header>,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<OpAnswer>,
}

#[derive(Debug, Deserialize)]
struct OpAnswer {
    response_range: Option<RangeAnswer>,
    response_txn: Option<TxnAnswer>,
}

#[derive(Debug, Deserialize)]
struct GrantAnswer {
    #[serde(rename = "ID")]
    id: String,
}

#[derive(Debug, Deserialize)]
struct KeepAliveAnswer {
    result: KeepAliveResult,
}

#[derive(Debug, Deserialize)]
struct KeepAliveResult {
    #[serde(rename = "TTL", default)]
    ttl: String,
}

#[derive(Debug, Deserialize)]
struct WatchAnswer {
    result: WatchResult,
}

#[derive(Debug, Deserialize)]
struct WatchResult {
    #[serde(default)]
    events: Vec<RawEvent>,
}

#[derive(Debug, Deserialize)]
struct RawEvent {
    #[serde(rename = "type", default)]
    kind: String,
    kv: RawEntry,
}

fn decode_base64(text: &str) -> Result<String, CallError> {
    let bytes = BASE64.decode(text).map_err(|e| CallError::Lost(e.to_string()))?;
    String::from_utf8(bytes).map_err(|e| CallError::Lost(e.to_string()))
}

fn parse_entry(raw: &RawEntry) -> Result<Entry, CallError> {
    Ok(Entry {
        key: decode_base64(&raw.key)?,
        value: decode_base64(&raw.value)?,
        revision: raw.mod_revision.parse().unwrap_or(0),
    })
}

fn compare_op(swap: &Swap) -> Value {
    json!({
        "key": BASE64.encode(&swap.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": swap.required_revision.to_string(),
    })
}

fn write_op(swap: &Swap) -> Value {
    let key = BASE64.encode(&swap.key);
    match &swap.value {
        None => json!({ "request_delete_range": { "key": key } }),
        Some(value) => {
            let lease = swap.lease.map_or_else(|| "0".to_owned(), |id| id.0.to_string());
            json!({ "request_put": { "key": key, "value": BASE64.encode(value), "lease": lease } })
        }
    }
}

fn read_op(swap: &Swap) -> Value {
    json!({ "request_range": { "key": BASE64.encode(&swap.key) } })
}

/// Returns the first key after all keys that begin with `prefix`.
fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            break;
        }
    }
    end
}

fn swap_result(answer: &TxnAnswer, revision: i64) -> Result<Swapped, CallError> {
    if answer.succeeded {
        return Ok(Swapped::Done(revision));
    }
    let range = answer.responses.first().and_then(|r| r.response_range.as_ref());
    let present = range.and_then(|r| r.kvs.first()).map(parse_entry).transpose()?;
    Ok(Swapped::Differs(present))
}

#[async_trait]
impl KeyValue for Etcd {
    async fn read(&self, key: &str) -> Result<Option<Entry>, CallError> {
        let answer: RangeAnswer = self.call("kv/range", &json!({ "key": BASE64.encode(key) })).await?;
        answer.kvs.first().map(parse_entry).transpose()
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Entry>, CallError> {
        let body = json!({ "key": BASE64.encode(prefix), "range_end": BASE64.encode(range_end(prefix)) });
        let answer: RangeAnswer = self.call("kv/range", &body).await?;
        // One entry that is no text must not hide the others.
        Ok(answer.kvs.iter().filter_map(|raw| parse_entry(raw).ok()).collect())
    }

    async fn swap_each(&self, swaps: Vec<Swap>) -> Result<Vec<Swapped>, CallError> {
        let txn_op = |swap: &Swap| {
            json!({ "request_txn": {
                "compare": [compare_op(swap)], "success": [write_op(swap)], "failure": [read_op(swap)],
            } })
        };
        let body = json!({ "success": swaps.iter().map(txn_op).collect::<Vec<_>>() });
        let answer: TxnAnswer = self.call("kv/txn", &body).await?;
        let revision = answer.header.as_ref().and_then(|h| h.revision.parse().ok()).unwrap_or(0);
        let results: Vec<_> = answer
            .responses
            .iter()
            .filter_map(|r| r.response_txn.as_ref())
            .map(|txn| swap_result(txn, revision))
            .collect::<Result<_, _>>()?;
        if results.len() != swaps.len() {
            return Err(CallError::Lost("the number of results differs from that of the swaps".to_owned()));
        }
        Ok(results)
    }

    async fn swap_all(&self, swaps: Vec<Swap>) -> Result<bool, CallError> {
        let body = json!({
            "compare": swaps.iter().map(compare_op).collect::<Vec<_>>(),
            "success": swaps.iter().map(write_op).collect::<Vec<_>>(),
        });
        let answer: TxnAnswer = self.call("kv/txn", &body).await?;
        Ok(answer.succeeded)
    }

    async fn grant(&self, ttl_seconds: u64) -> Result<LeaseId, CallError> {
        let body = json!({ "TTL": ttl_seconds.to_string() });
        let answer: GrantAnswer = self.call("lease/grant", &body).await?;
        let id = answer.id.parse().map_err(|_| CallError::Lost("the lease identifier is not a number".to_owned()))?;
        Ok(LeaseId(id))
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<bool, CallError> {
        let answer: KeepAliveAnswer = self.call("lease/keepalive", &json!({ "ID": lease.0.to_string() })).await?;
        Ok(answer.result.ttl.parse::<i64>().unwrap_or(0) > 0)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), CallError> {
        let _: Value = self.call("lease/revoke", &json!({ "ID": lease.0.to_string() })).await?;
        Ok(())
    }

    async fn watch(&self, key: &str) -> Result<WatchStream, CallError> {
        let body = json!({ "create_request": { "key": BASE64.encode(key), "progress_notify": true } });
        let req = Request::post(format!("{}/watch", self.base))
            .body(Full::from(Bytes::from(body.to_string())))
            .map_err(|e| CallError::NotSent(e.to_string()))?;
        let resp = self.watch_client.send(req).await?;
        let state = Watch { body: resp.into_body(), buf: BytesMut::new(), pending: Vec::new() };
        Ok(stream::try_unfold(state, Watch::next).boxed())
    }
}

/// An open watch, whose body consists of one JSON object per line.
///
/// Events that were parsed but not yet returned are in `pending`, the oldest last.
struct Watch {
    body: Incoming,
    buf: BytesMut,
    pending: Vec<WatchEvent>,
}

impl Watch {
    async fn next(mut self) -> Result<Option<(WatchEvent, Self)>, CallError> {
        loop {
            if let Some(event) = self.pending.pop() {
                return Ok(Some((event, self)));
            }
            if let Some(end) = self.buf.iter().position(|b| *b == b'\n') {
                let line = self.buf.split_to(end + 1);
                self.pending = parse_watch_message(&line)?;
                continue;
            }
            let frame = tokio::time::timeout(WATCH_IDLE_TIMEOUT, self.body.frame())
                .await
                .map_err(|_| CallError::Lost("no data from the watch in time".to_owned()))?;
            let Some(frame) = frame else {
                return self.end();
            };
            let frame = frame.map_err(|e| CallError::Lost(e.to_string()))?;
            if let Ok(data) = frame.into_data() {
                self.buf.extend_from_slice(&data);
            }
            if self.buf.len() > MAX_WATCH_MESSAGE_BYTES {
                return Err(CallError::Lost("a watch message is too large".to_owned()));
            }
        }
    }

    fn end(&self) -> Result<Option<(WatchEvent, Self)>, CallError> {
        if self.buf.is_empty() {
            return Ok(None);
        }
        Err(CallError::Lost("the watch ended within a message".to_owned()))
    }
}

/// Parses one message into its events, the latest first.
fn parse_watch_message(line: &[u8]) -> Result<Vec<WatchEvent>, CallError> {
    let answer: WatchAnswer = serde_json::from_slice(line).map_err(|e| CallError::Lost(e.to_string()))?;
    if answer.result.events.is_empty() {
        return Ok(vec![WatchEvent::Alive]);
    }
    answer
        .result
        .events
        .iter()
        .rev()
        .map(|event| match event.kind.as_str() {
            "DELETE" => Ok(WatchEvent::Removed),
            _ => parse_entry(&event.kv).map(WatchEvent::Put),
        })
        .collect()
}

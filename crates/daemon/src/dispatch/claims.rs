//! Claims for keyed requests that must not be repeated, stored in the key-value service.
//!
//! Claims that arrive within a short time are batched into one call. If the answer to a claim is lost, the record is
//! read back; if that fails too, the request is refused as not run, which is correct because nothing was sent, and the
//! record is removed in the background.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use dahliaseam_border::{
    error::CallError,
    kv::{Entry, LeaseId, Swap, Swapped},
};
use dahliaseam_core::{
    claim::{Claim, Duplicate, RecordedResult, check_duplicate},
    time::{Span, Time},
};
use tokio::sync::{mpsc, oneshot};

use crate::{emit, node::Node};

/// Maximum number of claims in one call.
const MAX_BATCH: usize = 64;
/// Time for which claims are collected into a batch.
const BATCH_DELAY: Duration = Duration::from_millis(2);
/// Timeout of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a failed claim for which further claims are refused without calling the service.
const UNAVAILABLE_TIME: Span = Span::millis(500);
/// Delay between attempts to settle a record in the background.
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of attempts to settle a record, after which it expires with its lease.
const MAX_SETTLE_ATTEMPTS: u32 = 240;
/// Lease duration as a multiple of the time for which a key is remembered. A new lease is granted each time that time
/// has passed, so every claim is kept at least that long.
const LEASE_FACTOR: u64 = 2;
/// Maximum size of a recorded response body, in bytes.
const MAX_RECORDED_BYTES: usize = 64 << 10;

type ReplySender = oneshot::Sender<Result<Swapped, CallError>>;

/// Queue of claims, which the batching task sends to the key-value service.
#[derive(Debug)]
pub struct Claims {
    tx: mpsc::Sender<(Swap, ReplySender)>,
    rx: Mutex<Option<mpsc::Receiver<(Swap, ReplySender)>>>,
    unavailable_until: Mutex<Time>,
    settle_tasks: tokio_util::task::TaskTracker,
}

impl Default for Claims {
    fn default() -> Self {
        let (tx, rx) = mpsc::channel(MAX_BATCH * 16);
        Self {
            tx,
            rx: Mutex::new(Some(rx)),
            unavailable_until: Mutex::default(),
            settle_tasks: tokio_util::task::TaskTracker::new(),
        }
    }
}

/// A claim held by this daemon, which must record its result.
#[derive(Debug)]
pub struct HeldClaim {
    key: String,
    claim: Claim,
    revision: i64,
}

/// Why a claim was not acquired.
#[derive(Debug)]
pub enum ClaimError {
    /// Another request holds it.
    Duplicate(Duplicate),
    /// The key-value service is unreachable.
    Unavailable,
}

/// Runs the batching task until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let rx = node.claims.rx.lock().unwrap_or_else(PoisonError::into_inner).take();
    let Some(mut rx) = rx else { return };
    let mut lease = ClaimLease::default();
    while let Some(first) = rx.recv().await {
        let mut batch = vec![first];
        let collect_until = tokio::time::Instant::now() + BATCH_DELAY;
        while batch.len() < MAX_BATCH {
            match tokio::time::timeout_at(collect_until, rx.recv()).await {
                Ok(Some(next)) => batch.push(next),
                _ => break,
            }
        }
        send_batch(&node, &mut lease, batch).await;
    }
}

async fn send_batch(node: &Node, lease: &mut ClaimLease, batch: Vec<(Swap, ReplySender)>) {
    let (mut swaps, replies): (Vec<_>, Vec<_>) = batch.into_iter().unzip();
    let answer = match lease.current(node).await {
        Err(e) => Err(e),
        Ok(id) => {
            for swap in swaps.iter_mut().filter(|s| s.value.is_some()) {
                swap.lease = Some(id);
            }
            node.metrics.kv_call("claims");
            node.kv.swap_each(swaps).await
        }
    };
    match answer {
        Ok(results) => {
            for (reply, result) in replies.into_iter().zip(results) {
                let _ = reply.send(Ok(result));
            }
        }
        Err(e) => {
            for reply in replies {
                let _ = reply.send(Err(e.clone()));
            }
        }
    }
}

/// Lease that the claims are attached to, so that they expire.
#[derive(Debug, Default)]
struct ClaimLease {
    id: Option<LeaseId>,
    replace_at: Time,
}

impl ClaimLease {
    async fn current(&mut self, node: &Node) -> Result<LeaseId, CallError> {
        let now = node.now();
        if let Some(id) = self.id
            && !self.replace_at.is_past(now)
        {
            return Ok(id);
        }
        let retention = Span::millis(node.settings.timing.claim_ms);
        node.metrics.kv_call("claim_lease");
        let id = node.kv.grant(retention.as_millis() * LEASE_FACTOR / 1_000).await?;
        self.id = Some(id);
        self.replace_at = now + retention;
        Ok(id)
    }
}

/// Acquires the claim of `key` for `request`.
///
/// # Errors
/// Why this request must not be sent.
pub async fn acquire(node: &Arc<Node>, key: &str, request: &str, content_hash: u64) -> Result<HeldClaim, ClaimError> {
    let now = node.now();
    if !lock(&node.claims.unavailable_until).is_past(now) {
        return Err(ClaimError::Unavailable);
    }
    let claim =
        Claim { request: request.to_owned(), owner: node.identity.me().clone(), content: content_hash, result: None };
    let key = format!("{}claims/{key}", node.settings.keyspace);
    let held = |revision| HeldClaim { key: key.clone(), claim: claim.clone(), revision };
    match swap(node, &key, 0, Some(&claim)).await {
        Ok(Swapped::Done(revision)) => Ok(held(revision)),
        Ok(Swapped::Differs(Some(entry))) => check_existing(node, &entry, &claim, held),
        Ok(Swapped::Differs(None)) => Err(ClaimError::Unavailable),
        Err(e) => settle_lost_answer(node, &e, &key, &claim, held).await,
    }
}

/// Decides what an existing record means for this request.
fn check_existing(
    node: &Node,
    entry: &Entry,
    own: &Claim,
    held: impl Fn(i64) -> HeldClaim,
) -> Result<HeldClaim, ClaimError> {
    let Ok(existing) = serde_json::from_str::<Claim>(&entry.value) else {
        return Err(ClaimError::Duplicate(Duplicate::Unknown));
    };
    if existing.request == own.request {
        return Ok(held(entry.revision));
    }
    let owner_terminated = node.members().is_terminated(&existing.owner);
    Err(ClaimError::Duplicate(check_duplicate(&existing, own.content, owner_terminated)))
}

async fn settle_lost_answer(
    node: &Arc<Node>,
    error: &CallError,
    key: &str,
    claim: &Claim,
    held: impl Fn(i64) -> HeldClaim,
) -> Result<HeldClaim, ClaimError> {
    if !error.had_no_effect() {
        emit!(warn, CLAIM_UNSETTLED, request = claim.request, why = %error);
        node.metrics.kv_call("claim_read");
        let read = tokio::time::timeout(CLAIM_TIMEOUT, node.kv.read(key)).await;
        match read {
            Ok(Ok(Some(entry))) => return check_existing(node, &entry, claim, held),
            Ok(Ok(None) | Err(_)) | Err(_) => delete_in_background(node, key.to_owned(), claim.clone()),
        }
    }
    *lock(&node.claims.unavailable_until) = node.now() + UNAVAILABLE_TIME;
    emit!(warn, CLAIM_REFUSED, why = %error);
    Err(ClaimError::Unavailable)
}

async fn swap(node: &Node, key: &str, expect: i64, value: Option<&Claim>) -> Result<Swapped, CallError> {
    let value = value.map(|claim| serde_json::to_string(claim).unwrap_or_default());
    let swap = Swap { key: key.to_owned(), required_revision: expect, value, lease: None };
    let (reply, answer) = oneshot::channel();
    let sent = node.claims.tx.send((swap, reply)).await;
    if sent.is_err() {
        return Err(CallError::NotSent("the daemon is stopping".to_owned()));
    }
    match tokio::time::timeout(CLAIM_TIMEOUT, answer).await {
        Ok(Ok(result)) => result,
        _ => Err(CallError::Lost("no answer in time".to_owned())),
    }
}

/// Records the result of a claimed request; in the background if the service is unreachable.
pub async fn record(node: &Arc<Node>, held: HeldClaim, mut result: RecordedResult) {
    if result.body.as_ref().is_some_and(|body| body.len() > MAX_RECORDED_BYTES) {
        result.body = None;
    }
    let claim = Claim { result: Some(result), ..held.claim };
    if !matches!(swap(node, &held.key, held.revision, Some(&claim)).await, Ok(Swapped::Done(_))) {
        settle_in_background(node, held.key, claim.clone(), Some(claim));
    }
}

/// Releases a claim whose request did not run, so that its key can be used again.
pub async fn release(node: &Arc<Node>, held: HeldClaim) {
    if !matches!(swap(node, &held.key, held.revision, None).await, Ok(Swapped::Done(_))) {
        delete_in_background(node, held.key, held.claim);
    }
}

/// Waits until no record is left to settle.
pub async fn wait_settled(node: &Node) {
    node.claims.settle_tasks.close();
    node.claims.settle_tasks.wait().await;
}

fn delete_in_background(node: &Arc<Node>, key: String, claim: Claim) {
    settle_in_background(node, key, claim, None);
}

/// Changes the record under `key` to `desired` while it belongs to the same request and has no result.
fn settle_in_background(node: &Arc<Node>, key: String, claim: Claim, desired: Option<Claim>) {
    let node = Arc::clone(node);
    node.clone().claims.settle_tasks.spawn(async move {
        for _ in 0..MAX_SETTLE_ATTEMPTS {
            tokio::time::sleep(SETTLE_RETRY_DELAY).await;
            let Ok(read) = node.kv.read(&key).await else { continue };
            let Some(entry) = read else { return };
            let existing = serde_json::from_str::<Claim>(&entry.value);
            let is_own = existing.is_ok_and(|p| p.request == claim.request && p.result.is_none());
            if !is_own || matches!(swap(&node, &key, entry.revision, desired.as_ref()).await, Ok(Swapped::Done(_))) {
                return;
            }
        }
    });
}

fn lock(time: &Mutex<Time>) -> std::sync::MutexGuard<'_, Time> {
    time.lock().unwrap_or_else(PoisonError::into_inner)
}

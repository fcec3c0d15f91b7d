//! Claims of keyed requests that may not be repeated, in the key-value service.
//!
//! Claims that arrive within a short time go into one call. A claim whose answer is lost is
//! settled by reading it back; if that fails too, the request is refused as not run, which is
//! true since nothing was sent, and the record is removed in the background.

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

/// Claims in one call at most.
const BATCH: usize = 64;
/// Time for which a batch is collected.
const COLLECT: Duration = Duration::from_millis(2);
/// Time after which a claim is given up.
const CLAIM: Duration = Duration::from_secs(1);
/// Time for which claims are refused at once after the service did not answer.
const CLOSED: Span = Span::millis(500);
/// Time between tries to settle a record in the background.
const SETTLE_AGAIN: Duration = Duration::from_millis(500);
/// Tries to settle a record before it is left to its lease.
const SETTLE_TRIES: u32 = 240;
/// Leases are this many times as long as a key is remembered, and renewed by a fresh one.
const LEASE_FACTOR: u64 = 2;
/// Largest answer that is recorded, in bytes.
const MAX_RECORDED: usize = 64 << 10;

type Reply = oneshot::Sender<Result<Swapped, CallError>>;

/// The way to the batching task.
#[derive(Debug)]
pub struct Claims {
    tx: mpsc::Sender<(Swap, Reply)>,
    rx: Mutex<Option<mpsc::Receiver<(Swap, Reply)>>>,
    closed_until: Mutex<Time>,
    settling: tokio_util::task::TaskTracker,
}

impl Default for Claims {
    fn default() -> Self {
        let (tx, rx) = mpsc::channel(BATCH * 16);
        Self {
            tx,
            rx: Mutex::new(Some(rx)),
            closed_until: Mutex::default(),
            settling: tokio_util::task::TaskTracker::new(),
        }
    }
}

/// A claim that this daemon holds; its result must be recorded.
#[derive(Debug)]
pub struct Held {
    key: String,
    claim: Claim,
    revision: i64,
}

/// Why there is no claim.
#[derive(Debug)]
pub enum NotHeld {
    /// Another request has it.
    Second(Duplicate),
    /// The service is out of reach.
    Unavailable,
}

/// Run the batching task until the daemon is over.
pub async fn run(node: Arc<Node>) {
    let rx = node.claims.rx.lock().unwrap_or_else(PoisonError::into_inner).take();
    let Some(mut rx) = rx else { return };
    let mut lease = ClaimLease::default();
    while let Some(first) = rx.recv().await {
        let mut batch = vec![first];
        let collect_until = tokio::time::Instant::now() + COLLECT;
        while batch.len() < BATCH {
            match tokio::time::timeout_at(collect_until, rx.recv()).await {
                Ok(Some(next)) => batch.push(next),
                _ => break,
            }
        }
        send_batch(&node, &mut lease, batch).await;
    }
}

async fn send_batch(node: &Node, lease: &mut ClaimLease, batch: Vec<(Swap, Reply)>) {
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

/// The lease under which claims are forgotten at last.
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
        let keep = Span::millis(node.settings.timing.claim_ms);
        node.metrics.kv_call("claim_lease");
        let id = node.kv.grant(keep.as_millis() * LEASE_FACTOR / 1_000).await?;
        self.id = Some(id);
        self.replace_at = now + keep;
        Ok(id)
    }
}

/// Claim `key` for `request`.
///
/// # Errors
/// Why this request must not be sent.
pub async fn claim(node: &Arc<Node>, key: &str, request: &str, content: u64) -> Result<Held, NotHeld> {
    let now = node.now();
    if !lock(&node.claims.closed_until).is_past(now) {
        return Err(NotHeld::Unavailable);
    }
    let claim = Claim { request: request.to_owned(), owner: node.identity.me().clone(), content, result: None };
    let key = format!("{}claims/{key}", node.settings.keyspace);
    let held = |revision| Held { key: key.clone(), claim: claim.clone(), revision };
    match swap(node, &key, 0, Some(&claim)).await {
        Ok(Swapped::Done(revision)) => Ok(held(revision)),
        Ok(Swapped::Differs(Some(entry))) => told(node, &entry, &claim, held),
        Ok(Swapped::Differs(None)) => Err(NotHeld::Unavailable),
        Err(e) => settle_claim(node, &e, &key, &claim, held).await,
    }
}

/// What an existing record means for this request.
fn told(node: &Node, entry: &Entry, mine: &Claim, held: impl Fn(i64) -> Held) -> Result<Held, NotHeld> {
    let Ok(present) = serde_json::from_str::<Claim>(&entry.value) else {
        return Err(NotHeld::Second(Duplicate::Unknown));
    };
    if present.request == mine.request {
        return Ok(held(entry.revision));
    }
    let over = node.members().is_terminated(&present.owner);
    Err(NotHeld::Second(check_duplicate(&present, mine.content, over)))
}

async fn settle_claim(
    node: &Arc<Node>,
    error: &CallError,
    key: &str,
    claim: &Claim,
    held: impl Fn(i64) -> Held,
) -> Result<Held, NotHeld> {
    if !error.had_no_effect() {
        emit!(warn, CLAIM_UNSETTLED, request = claim.request, why = %error);
        node.metrics.kv_call("claim_read");
        let read = tokio::time::timeout(CLAIM, node.kv.read(key)).await;
        match read {
            Ok(Ok(Some(entry))) => return told(node, &entry, claim, held),
            Ok(Ok(None) | Err(_)) | Err(_) => forget_later(node, key.to_owned(), claim.clone()),
        }
    }
    *lock(&node.claims.closed_until) = node.now() + CLOSED;
    emit!(warn, CLAIM_REFUSED, why = %error);
    Err(NotHeld::Unavailable)
}

async fn swap(node: &Node, key: &str, expect: i64, value: Option<&Claim>) -> Result<Swapped, CallError> {
    let value = value.map(|claim| serde_json::to_string(claim).unwrap_or_default());
    let swap = Swap { key: key.to_owned(), expect, value, lease: None };
    let (reply, answer) = oneshot::channel();
    let sent = node.claims.tx.send((swap, reply)).await;
    if sent.is_err() {
        return Err(CallError::NotSent("the daemon is over".to_owned()));
    }
    match tokio::time::timeout(CLAIM, answer).await {
        Ok(Ok(result)) => result,
        _ => Err(CallError::Lost("no answer in time".to_owned())),
    }
}

/// Record what became of a claimed request; in the background when the service is out of reach.
pub async fn record(node: &Arc<Node>, held: Held, mut recorded: RecordedResult) {
    if recorded.body.as_ref().is_some_and(|body| body.len() > MAX_RECORDED) {
        recorded.body = None;
    }
    let claim = Claim { result: Some(recorded), ..held.claim };
    if !matches!(swap(node, &held.key, held.revision, Some(&claim)).await, Ok(Swapped::Done(_))) {
        settle_later(node, held.key, claim.clone(), Some(claim));
    }
}

/// Give a claim back: the request did not run, and the key may be used again.
pub async fn release(node: &Arc<Node>, held: Held) {
    if !matches!(swap(node, &held.key, held.revision, None).await, Ok(Swapped::Done(_))) {
        forget_later(node, held.key, held.claim);
    }
}

/// Wait until nothing is left to settle.
pub async fn settled(node: &Node) {
    node.claims.settling.close();
    node.claims.settling.wait().await;
}

fn forget_later(node: &Arc<Node>, key: String, claim: Claim) {
    settle_later(node, key, claim, None);
}

/// Bring the record under `key` to `wanted`, as long as it belongs to the same request.
fn settle_later(node: &Arc<Node>, key: String, claim: Claim, wanted: Option<Claim>) {
    let node = Arc::clone(node);
    node.clone().claims.settling.spawn(async move {
        for _ in 0..SETTLE_TRIES {
            tokio::time::sleep(SETTLE_AGAIN).await;
            let Ok(read) = node.kv.read(&key).await else { continue };
            let Some(entry) = read else { return };
            let present = serde_json::from_str::<Claim>(&entry.value);
            let mine = present.is_ok_and(|p| p.request == claim.request && p.result.is_none());
            if !mine || matches!(swap(&node, &key, entry.revision, wanted.as_ref()).await, Ok(Swapped::Done(_))) {
                return;
            }
        }
    });
}

fn lock(time: &Mutex<Time>) -> std::sync::MutexGuard<'_, Time> {
    time.lock().unwrap_or_else(PoisonError::into_inner)
}

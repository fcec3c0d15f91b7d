//! The configuration in force, and changes to it.
//!
//! A few daemons of each hall watch the document; the others learn of a newer generation by gossip and fetch it from
//! the peer that reported it. A daemon that has had no confirmation for a while reads the service itself. Only a higher
//! generation is ever applied.

use std::{sync::Arc, time::Duration};

use dahliaseam_border::{
    error::CallError,
    kv::{Entry, Swap, Swapped, WatchEvent},
};
use dahliaseam_core::{
    hash,
    member::Health,
    time::{Span, Time},
};
use dahliaseam_wire::resource::{Change, ChangeRefusal, Document};
use futures_util::StreamExt;

use crate::{emit, endpoint::duties, node::Node};

/// Number of watchers in each hall.
const WATCHERS_PER_HALL: usize = 2;
/// Interval between checks whether this daemon has to watch or read the document.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Age of the last confirmation from which the service is read directly.
const MAX_UNCONFIRMED_AGE: Span = Span::millis(1_500);
/// Maximum number of attempts at one change, which fail if the document is changed by others at the same time.
const MAX_CHANGE_ATTEMPTS: u32 = 8;
/// Maximum number of attempts to settle a change whose answer was lost.
const MAX_SETTLE_ATTEMPTS: u32 = 5;
/// Delay between attempts to settle a change.
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Key of the document.
#[must_use]
pub fn key(node: &Node) -> String {
    format!("{}config", node.settings.keyspace)
}

/// Puts a document in force if it is newer; returns whether it is.
pub fn apply_document(node: &Node, doc: Document) -> bool {
    let generation = doc.generation;
    let newer = node.config.send_if_modified(|current| {
        let newer = generation > current.generation;
        if newer {
            *current = Arc::new(doc);
        }
        newer
    });
    if newer {
        let live = node.members().live_count();
        node.dispatcher.configure(&node.document(), live, node.now());
        duties::apply(node);
        emit!(info, CONFIG_IN_FORCE, generation);
    }
    newer
}

/// Keeps the configuration up to date until the daemon stops.
pub async fn run(node: Arc<Node>) {
    let mut reachable = true;
    while !node.stop.finished.is_cancelled() {
        let result = if is_watcher(&node) {
            watch(&node).await
        } else if is_stale(&node) {
            read(&node).await.map(|_| ())
        } else {
            Ok(())
        };
        if result.is_ok() != reachable {
            reachable = result.is_ok();
            match &result {
                Ok(()) => emit!(info, KV_BACK),
                Err(e) => emit!(warn, KV_LOST, why = %e),
            }
        }
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = node.stop.finished.cancelled() => {}
        }
    }
}

fn is_stale(node: &Node) -> bool {
    let at = node.freshness().config_at();
    at.is_none_or(|at| node.now().since(at) > MAX_UNCONFIRMED_AGE)
}

/// Whether this daemon is one of its hall's watchers.
fn is_watcher(node: &Node) -> bool {
    let members = node.members();
    let me = members.contact().clone();
    let same_hall = members.others().filter(|(_, m)| m.contact.hall == me.hall && m.health == Health::Alive);
    let vms: Vec<_> = same_hall.map(|(_, m)| m.contact.vm.clone()).chain([me.vm.clone()]).collect();
    drop(members);
    let candidates = vms.iter().map(|vm| (hash::bytes(vm.as_bytes()), vm));
    hash::owners(hash::bytes(me.hall.as_bytes()), candidates, WATCHERS_PER_HALL).contains(&&me.vm)
}

async fn watch(node: &Arc<Node>) -> Result<(), CallError> {
    node.metrics.kv_call("watch");
    let mut events = node.kv.watch(&key(node)).await?;
    // Read after the watch has started, since a change between a read and a later watch would be missed.
    read(node).await?;
    while is_watcher(node) {
        let next = tokio::select! {
            next = events.next() => next,
            () = node.stop.finished.cancelled() => return Ok(()),
        };
        let received = node.now();
        match next {
            None => return Ok(()),
            Some(Err(e)) => return Err(e),
            Some(Ok(WatchEvent::Put(entry))) => apply_entry(node, &entry, received),
            Some(Ok(WatchEvent::Alive | WatchEvent::Removed)) => node.freshness().confirm_config(received),
        }
    }
    Ok(())
}

/// Reads the document from the service and puts it in force.
async fn read(node: &Arc<Node>) -> Result<Option<Entry>, CallError> {
    let requested_at = node.now();
    node.metrics.kv_call("config_read");
    let entry = node.kv.read(&key(node)).await?;
    match &entry {
        Some(entry) => apply_entry(node, entry, requested_at),
        None => node.freshness().confirm_config(requested_at),
    }
    Ok(entry)
}

fn apply_entry(node: &Node, entry: &Entry, at: Time) {
    match parse(entry) {
        Ok(doc) => {
            apply_document(node, doc);
            node.freshness().confirm_config(at);
        }
        Err(why) => emit!(error, CONFIG_REJECTED, why),
    }
}

fn parse(entry: &Entry) -> Result<Document, String> {
    dahliaseam_wire::error::from_json(entry.value.as_bytes()).map_err(|e| e.to_string())
}

/// Why a change was not accepted.
#[derive(Clone, Debug)]
pub enum ChangeError {
    /// The change cannot be applied.
    Refused(ChangeRefusal),
    /// The change did not take effect: the service or the other daemons are unreachable.
    Unavailable(String),
    /// Whether the change took effect is not known.
    Unknown(String),
}

/// Makes all changes or none; returns the new generation.
///
/// # Errors
/// Why the changes were not accepted.
pub async fn change(node: &Arc<Node>, changes: &[Change]) -> Result<u64, ChangeError> {
    if !node.has_majority() {
        let why = "this VM reaches no more than half of the entry VMs; ask another".to_owned();
        return Err(ChangeError::Unavailable(why));
    }
    let token = node.identity.new_id();
    for _ in 0..MAX_CHANGE_ATTEMPTS {
        let entry = read(node).await.map_err(|e| ChangeError::Unavailable(e.to_string()))?;
        let current = match &entry {
            Some(entry) => parse(entry).map_err(ChangeError::Unavailable)?,
            None => Document::default(),
        };
        let next = current.with_changes(changes, &token).map_err(ChangeError::Refused)?;
        let generation = next.generation;
        let swap = Swap {
            key: key(node),
            required_revision: entry.map_or(0, |e| e.revision),
            value: serde_json::to_string(&next).ok(),
            lease: None,
        };
        node.metrics.kv_call("config_write");
        match node.kv.swap_each(vec![swap]).await.as_deref() {
            Ok([Swapped::Done(_)]) => {
                apply_document(node, next);
                emit!(info, CONFIG_ACCEPTED, generation);
                return Ok(generation);
            }
            Ok(_) => {}
            Err(e) if e.had_no_effect() => return Err(ChangeError::Unavailable(e.to_string())),
            Err(_) => return settle(node, &token).await,
        }
    }
    Err(ChangeError::Unavailable("too many others change the configuration".to_owned()))
}

/// Settles a write whose answer was lost, by looking for its token in the document.
async fn settle(node: &Arc<Node>, token: &str) -> Result<u64, ChangeError> {
    for _ in 0..MAX_SETTLE_ATTEMPTS {
        tokio::time::sleep(SETTLE_RETRY_DELAY).await;
        if read(node).await.is_err() {
            continue;
        }
        if let Some(generation) = node.document().generation_of_write(token) {
            emit!(info, CONFIG_ACCEPTED, generation);
            return Ok(generation);
        }
    }
    // A write that is not visible yet may still be in flight, so its absence proves nothing.
    Err(ChangeError::Unknown("the answer was lost; read the resource to see what holds".to_owned()))
}

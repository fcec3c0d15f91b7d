//! The configuration in force, and changes to it.
//!
//! A few daemons of each hall watch the document; the others hear of a newer generation by
//! gossip and fetch it from the peer that named it. One that hears nothing for a while reads the
//! service itself. Only a higher generation is ever applied.

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
use dahliaseam_wire::resource::{Change, Document, Refused};
use futures_util::StreamExt;

use crate::{emit, endpoint::duties, node::Node};

/// Watchers in each hall.
const WATCHERS: usize = 2;
/// Time between two looks at whether there is anything to do.
const LOOK: Duration = Duration::from_millis(250);
/// Age of an unconfirmed copy at which the service is read directly.
const READ_AFTER: Span = Span::millis(1_500);
/// Tries at one change, when others change other resources meanwhile.
const CHANGE_TRIES: u32 = 8;
/// Tries to settle a change whose answer was lost.
const SETTLE_TRIES: u32 = 5;
/// Time between them.
const SETTLE_AGAIN: Duration = Duration::from_millis(200);

/// The document's key.
#[must_use]
pub fn key(node: &Node) -> String {
    format!("{}config", node.settings.keyspace)
}

/// Put a document in force if it is newer; returns whether it is.
pub fn put_in_force(node: &Node, doc: Document) -> bool {
    let generation = doc.generation;
    let newer = node.config.send_if_modified(|present| {
        let newer = generation > present.generation;
        if newer {
            *present = Arc::new(doc);
        }
        newer
    });
    if newer {
        let live = node.members().live_count();
        node.desk.configure(&node.document(), live, node.now());
        duties::apply(node);
        emit!(info, CONFIG_IN_FORCE, generation);
    }
    newer
}

/// Keep the configuration until the daemon is over.
pub async fn run(node: Arc<Node>) {
    let mut reachable = true;
    while !node.stop.over.is_cancelled() {
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
            () = tokio::time::sleep(LOOK) => {}
            () = node.stop.over.cancelled() => {}
        }
    }
}

fn is_stale(node: &Node) -> bool {
    let at = node.freshness().config_at();
    at.is_none_or(|at| node.now().since(at) > READ_AFTER)
}

/// Whether this daemon is one of its hall's watchers.
fn is_watcher(node: &Node) -> bool {
    let members = node.members();
    let me = members.contact().clone();
    let same_hall = members.others().filter(|(_, m)| m.contact.hall == me.hall && m.health == Health::Alive);
    let vms: Vec<_> = same_hall.map(|(_, m)| m.contact.vm.clone()).chain([me.vm.clone()]).collect();
    drop(members);
    let named = vms.iter().map(|vm| (hash::bytes(vm.as_bytes()), vm));
    hash::owners(hash::bytes(me.hall.as_bytes()), named, WATCHERS).contains(&&me.vm)
}

async fn watch(node: &Arc<Node>) -> Result<(), CallError> {
    node.metrics.kv_call("watch");
    let mut news = node.kv.watch(&key(node)).await?;
    // A change between a read and a watch would be missed, so the read comes second.
    read(node).await?;
    while is_watcher(node) {
        let next = tokio::select! {
            next = news.next() => next,
            () = node.stop.over.cancelled() => return Ok(()),
        };
        let heard = node.now();
        match next {
            None => return Ok(()),
            Some(Err(e)) => return Err(e),
            Some(Ok(WatchEvent::Put(entry))) => take(node, &entry, heard),
            Some(Ok(WatchEvent::Alive | WatchEvent::Removed)) => node.freshness().confirm_config(heard),
        }
    }
    Ok(())
}

/// Read the document from the service and put it in force.
async fn read(node: &Arc<Node>) -> Result<Option<Entry>, CallError> {
    let asked = node.now();
    node.metrics.kv_call("config_read");
    let entry = node.kv.read(&key(node)).await?;
    match &entry {
        Some(entry) => take(node, entry, asked),
        None => node.freshness().confirm_config(asked),
    }
    Ok(entry)
}

fn take(node: &Node, entry: &Entry, at: Time) {
    match parse(entry) {
        Ok(doc) => {
            put_in_force(node, doc);
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
pub enum NotAccepted {
    /// It does not apply.
    Refused(Refused),
    /// It did not take effect: the service or the other daemons are out of reach.
    Unavailable(String),
    /// Whether it took effect cannot be known now.
    Unknown(String),
}

/// Make changes as one; returns the generation they made.
///
/// # Errors
/// Why they were not accepted.
pub async fn change(node: &Arc<Node>, changes: &[Change]) -> Result<u64, NotAccepted> {
    if !node.has_majority() {
        let why = "this VM reaches no more than half of the entry VMs; ask another".to_owned();
        return Err(NotAccepted::Unavailable(why));
    }
    let token = node.identity.fresh();
    for _ in 0..CHANGE_TRIES {
        let entry = read(node).await.map_err(|e| NotAccepted::Unavailable(e.to_string()))?;
        let present = match &entry {
            Some(entry) => parse(entry).map_err(NotAccepted::Unavailable)?,
            None => Document::default(),
        };
        let next = present.with_changes(changes, &token).map_err(NotAccepted::Refused)?;
        let generation = next.generation;
        let swap = Swap {
            key: key(node),
            expect: entry.map_or(0, |e| e.revision),
            value: serde_json::to_string(&next).ok(),
            lease: None,
        };
        node.metrics.kv_call("config_write");
        match node.kv.swap_each(vec![swap]).await.as_deref() {
            Ok([Swapped::Done(_)]) => {
                put_in_force(node, next);
                emit!(info, CONFIG_ACCEPTED, generation);
                return Ok(generation);
            }
            Ok(_) => {}
            Err(e) if e.had_no_effect() => return Err(NotAccepted::Unavailable(e.to_string())),
            Err(_) => return settle(node, &token).await,
        }
    }
    Err(NotAccepted::Unavailable("too many others change the configuration".to_owned()))
}

/// Settle a write whose answer was lost, by looking for its own token.
async fn settle(node: &Arc<Node>, token: &str) -> Result<u64, NotAccepted> {
    for _ in 0..SETTLE_TRIES {
        tokio::time::sleep(SETTLE_AGAIN).await;
        if read(node).await.is_err() {
            continue;
        }
        if let Some(generation) = node.document().generation_of_write(token) {
            emit!(info, CONFIG_ACCEPTED, generation);
            return Ok(generation);
        }
    }
    // An unseen write may still be on its way, so its absence proves nothing.
    Err(NotAccepted::Unknown("the answer was lost; read the resource to see what holds".to_owned()))
}

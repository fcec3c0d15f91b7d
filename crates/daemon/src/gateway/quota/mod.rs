//! Teams' quotas.
//!
//! [`credit`] obtains credit for a request from the daemon that owns a shard of its team's quota, and grants credit
//! from this daemon's own shards to others; [`ownership`] keeps every shard owned by some daemon.

mod credit;
mod ownership;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use dahliaseam_border::kv::Entry;
use dahliaseam_core::{
    lease::Authority,
    quota::{
        SHARDS,
        client::QuotaClient,
        shard::ShardBuckets,
        terms::{ShardTerms, Tolerance},
    },
    team::Team,
};
use dahliaseam_settings::gateway::QuotaSettings;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

pub(super) use self::{
    credit::{CreditReply, CreditRequest, handle_reply, handle_request, take},
    ownership::run,
};
use crate::gateway::state::Gateway;

/// Owner of a shard, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Owner {
    /// Name of its VM.
    vm: String,
    /// Identifier of its run.
    run: u64,
    /// Address for datagrams.
    address: SocketAddr,
}

/// The entry under a shard's key.
#[derive(Clone, Debug)]
struct OwnerEntry {
    /// `None` if the entry is unreadable.
    owner: Option<Owner>,
    revision: i64,
}

/// A shard that this daemon owns.
#[derive(Debug)]
struct OwnedShard {
    authority: Authority,
    buckets: ShardBuckets,
}

/// Quota state of this daemon.
#[derive(Debug)]
pub(super) struct Quotas {
    tolerance: Tolerance,
    client: Mutex<QuotaClient>,
    owner_entries: Mutex<HashMap<u8, OwnerEntry>>,
    owned: Mutex<HashMap<u8, OwnedShard>>,
    pending_replies: Mutex<HashMap<u64, oneshot::Sender<CreditReply>>>,
}

impl Quotas {
    pub(super) fn new(settings: QuotaSettings) -> Self {
        Self {
            tolerance: settings.tolerance(),
            client: Mutex::default(),
            owner_entries: Mutex::default(),
            owned: Mutex::default(),
            pending_replies: Mutex::default(),
        }
    }

    /// What each shard of a team's quota may grant; `None` if the team has no quota.
    fn terms(&self, team: &Team) -> Option<ShardTerms> {
        team.quota.as_ref().map(|quota| ShardTerms::split(quota, &self.tolerance))
    }

    fn owner(&self, shard: u8) -> Option<Owner> {
        lock(&self.owner_entries).get(&shard)?.owner.clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn prefix(gw: &Gateway) -> String {
    format!("{}quota/", gw.settings.keyspace)
}

fn key(gw: &Gateway, shard: u8) -> String {
    format!("{}{shard:02}", prefix(gw))
}

fn shard_of(gw: &Gateway, key: &str) -> Option<u8> {
    let shard = key.strip_prefix(&prefix(gw))?.parse().ok()?;
    (shard < SHARDS).then_some(shard)
}

/// Applies an entry of the store; returns whether it is under a shard's key.
pub(super) fn apply_put(gw: &Gateway, entry: &Entry) -> bool {
    let Some(shard) = shard_of(gw, &entry.key) else {
        return false;
    };
    let owner_entry = OwnerEntry { owner: serde_json::from_str(&entry.value).ok(), revision: entry.revision };
    lock(&gw.quotas.owner_entries).insert(shard, owner_entry);
    true
}

/// Applies the removal of an entry of the store.
pub(super) fn apply_removal(gw: &Gateway, key: &str) {
    if let Some(shard) = shard_of(gw, key) {
        lock(&gw.quotas.owner_entries).remove(&shard);
    }
}

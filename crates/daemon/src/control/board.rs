//! What control shows of itself, and what it has noticed of other processes.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard, PoisonError},
};

use dahliaseam_border::{http::TCP_USER_TIMEOUT, vms::ListedVm};
use dahliaseam_core::{
    custody::WaitReason,
    member::Incarnation,
    time::{Span, Time},
};

use crate::node::Node;

/// Added to the time for which a dead process's bytes may still arrive.
const MARGIN: Span = Span::millis(1_000);

#[derive(Debug, Default)]
struct State {
    shards: BTreeMap<String, u64>,
    waits: BTreeMap<String, WaitReason>,
    over_since: HashMap<Incarnation, Time>,
    unlisted_since: HashMap<String, Time>,
    listed: Vec<String>,
    changing: BTreeMap<String, String>,
}

/// The board.
#[derive(Debug, Default)]
pub struct Board {
    state: Mutex<State>,
}

impl Board {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The shards that this daemon holds, with the fencing numbers.
    #[must_use]
    pub fn shards(&self) -> Vec<(String, u64)> {
        self.lock().shards.iter().map(|(name, epoch)| (name.clone(), *epoch)).collect()
    }

    pub(super) fn won(&self, shard: &str, epoch: u64) {
        self.lock().shards.insert(shard.to_owned(), epoch);
    }

    pub(super) fn lost(&self, shard: &str) {
        self.lock().shards.remove(shard);
    }

    /// What control of an endpoint waits for.
    #[must_use]
    pub fn wait_of(&self, endpoint: &str) -> Option<WaitReason> {
        self.lock().waits.get(endpoint).copied()
    }

    /// Note what control waits for; returns whether that is new.
    pub(super) fn waits(&self, endpoint: &str, wait: Option<WaitReason>) -> bool {
        let mut state = self.lock();
        match wait {
            Some(wait) => state.waits.insert(endpoint.to_owned(), wait) != Some(wait),
            None => state.waits.remove(endpoint).is_some(),
        }
    }

    /// The change under way at an endpoint, in words.
    #[must_use]
    pub fn change_of(&self, endpoint: &str) -> Option<String> {
        self.lock().changing.get(endpoint).cloned()
    }

    pub(super) fn set_changing(&self, pool_endpoints: &[String], changing: BTreeMap<String, String>) {
        let mut state = self.lock();
        state.changing.retain(|name, _| !pool_endpoints.contains(name));
        state.changing.extend(changing);
    }

    /// Take in the platform's list as asked for at `asked`.
    pub fn note_list(&self, list: &[ListedVm], asked: Time) {
        let mut state = self.lock();
        state.listed = list.iter().map(|vm| vm.vm.clone()).collect();
        let State { listed, unlisted_since, .. } = &mut *state;
        unlisted_since.retain(|vm, _| !listed.contains(vm));
        for since in unlisted_since.values_mut() {
            *since = (*since).min(asked);
        }
    }

    /// Whether `process` is known to be over, and long enough for its last bytes to be gone.
    pub(super) fn is_over(&self, node: &Node, process: &Incarnation) -> bool {
        let now = node.now();
        let bound = Span(TCP_USER_TIMEOUT.as_micros() as u64 + MARGIN.0);
        let lag = Span::millis(node.settings.timing.list_lag_ms);
        let (replaced, unheard) = {
            let members = node.members();
            (members.is_terminated(process), members.by_vm(&process.vm).is_none())
        };
        let mut state = self.lock();
        let listed = state.listed.contains(&process.vm);
        // A VM that this daemon never heard of counts as gone once the list has had time to
        // show it: all VMs may have been replaced since.
        let gone = unheard && !listed && !state.listed.is_empty() && {
            let since = *state.unlisted_since.entry(process.vm.clone()).or_insert(now);
            now.since(since) > lag
        };
        if !replaced && !gone {
            state.over_since.remove(process);
            return false;
        }
        let since = *state.over_since.entry(process.clone()).or_insert(now);
        now.since(since) > bound
    }
}

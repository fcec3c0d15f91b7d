//! State of the control of engines: what operators can see of it, and which other processes have terminated.

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

/// Safety margin added to the time for which bytes from a terminated process may still arrive.
const ARRIVAL_MARGIN: Span = Span::millis(1_000);

#[derive(Debug, Default)]
struct Inner {
    shards: BTreeMap<String, u64>,
    wait_reasons: BTreeMap<String, WaitReason>,
    terminated_since: HashMap<Incarnation, Time>,
    unlisted_since: HashMap<String, Time>,
    listed: Vec<String>,
    changing: BTreeMap<String, String>,
}

/// State of the control of engines in this daemon.
#[derive(Debug, Default)]
pub struct ControlState {
    inner: Mutex<Inner>,
}

impl ControlState {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The shards held by this daemon, with their fencing numbers.
    #[must_use]
    pub fn shards(&self) -> Vec<(String, u64)> {
        self.lock().shards.iter().map(|(name, epoch)| (name.clone(), *epoch)).collect()
    }

    pub(super) fn add_shard(&self, shard: &str, epoch: u64) {
        self.lock().shards.insert(shard.to_owned(), epoch);
    }

    pub(super) fn remove_shard(&self, shard: &str) {
        self.lock().shards.remove(shard);
    }

    /// What control of an endpoint waits for, if anything.
    #[must_use]
    pub fn wait_reason(&self, endpoint: &str) -> Option<WaitReason> {
        self.lock().wait_reasons.get(endpoint).copied()
    }

    /// Sets what control of an endpoint waits for; returns whether that is a change.
    pub(super) fn set_wait_reason(&self, endpoint: &str, wait: Option<WaitReason>) -> bool {
        let mut inner = self.lock();
        match wait {
            Some(wait) => inner.wait_reasons.insert(endpoint.to_owned(), wait) != Some(wait),
            None => inner.wait_reasons.remove(endpoint).is_some(),
        }
    }

    /// Description of the change in progress at an endpoint.
    #[must_use]
    pub fn change_in_progress(&self, endpoint: &str) -> Option<String> {
        self.lock().changing.get(endpoint).cloned()
    }

    pub(super) fn set_changing(&self, pool_endpoints: &[String], changing: BTreeMap<String, String>) {
        let mut inner = self.lock();
        inner.changing.retain(|name, _| !pool_endpoints.contains(name));
        inner.changing.extend(changing);
    }

    /// Applies the platform's VM list, which was requested at `requested_at`.
    pub fn apply_vm_list(&self, list: &[ListedVm], requested_at: Time) {
        let mut inner = self.lock();
        inner.listed = list.iter().map(|vm| vm.vm.clone()).collect();
        let Inner { listed, unlisted_since, .. } = &mut *inner;
        unlisted_since.retain(|vm, _| !listed.contains(vm));
        for since in unlisted_since.values_mut() {
            *since = (*since).min(requested_at);
        }
    }

    /// Whether `process` is known to have terminated so long ago that none of its bytes can still arrive.
    pub(super) fn is_terminated(&self, node: &Node, process: &Incarnation) -> bool {
        let now = node.now();
        let max_delivery_time = Span(TCP_USER_TIMEOUT.as_micros() as u64 + ARRIVAL_MARGIN.0);
        let list_lag = Span::millis(node.settings.timing.list_lag_ms);
        let (terminated, unknown) = {
            let members = node.members();
            (members.is_terminated(process), members.by_vm(&process.vm).is_none())
        };
        let mut inner = self.lock();
        let listed = inner.listed.contains(&process.vm);
        // A VM that this daemon has never heard of counts as gone if it stays unlisted for longer than the list may
        // lag: all VMs may have been replaced in the meantime.
        let gone = unknown && !listed && !inner.listed.is_empty() && {
            let since = *inner.unlisted_since.entry(process.vm.clone()).or_insert(now);
            now.since(since) > list_lag
        };
        if !terminated && !gone {
            inner.terminated_since.remove(process);
            return false;
        }
        let since = *inner.terminated_since.entry(process.clone()).or_insert(now);
        now.since(since) > max_delivery_time
    }
}

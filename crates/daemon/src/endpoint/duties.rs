//! Which endpoints get new work.
//!
//! An endpoint is closed if operators drained it, if the platform's list shows its VM as leaving or no longer contains
//! it, if its shard's holder marked it, or if it reports that it is cordoned. Any one of these is enough.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use dahliaseam_border::vms::{ListedVm, VmPurpose};
use dahliaseam_core::{endpoint::AdminState, hash, member::Contact, time::Time};
use dahliaseam_wire::{peer::Marks, resource::EndpointSpec};

use crate::{emit, node::Node};

#[derive(Debug, Default)]
struct Inner {
    marks: BTreeMap<String, Marks>,
    closed_vms: HashSet<String>,
    cordoned: HashSet<String>,
}

/// Reasons for which endpoints get no new work.
#[derive(Debug, Default)]
pub struct Availability {
    inner: Mutex<Inner>,
}

impl Availability {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies marks unless newer ones of the shard are in force; returns whether they were applied.
    pub fn apply_marks(&self, marks: Marks) -> bool {
        let mut inner = self.lock();
        let rank = |m: &Marks| (m.epoch, m.sequence);
        if let Some(present) = inner.marks.get(&marks.shard)
            && rank(present) > rank(&marks)
        {
            return false;
        }
        inner.marks.insert(marks.shard.clone(), marks);
        true
    }

    /// All marks in force.
    #[must_use]
    pub fn marks(&self) -> Vec<Marks> {
        self.lock().marks.values().cloned().collect()
    }

    /// Hash of the marks in force.
    #[must_use]
    pub fn marks_hash(&self) -> u64 {
        let ranks: Vec<_> = self.lock().marks.values().map(|m| (m.shard.clone(), m.epoch, m.sequence)).collect();
        hash::bytes(&serde_json::to_vec(&ranks).unwrap_or_default())
    }

    /// VMs of endpoints that the platform's list shows as leaving or no longer contains.
    #[must_use]
    pub fn closed_vms(&self) -> Vec<String> {
        self.lock().closed_vms.iter().cloned().collect()
    }

    /// Replaces the VMs of [`Self::closed_vms`].
    pub fn set_closed_vms(&self, vms: impl IntoIterator<Item = String>) {
        self.lock().closed_vms = vms.into_iter().collect();
    }

    /// Records whether an endpoint reports that it rejects new work.
    pub fn set_cordoned(&self, endpoint: &str, cordoned: bool) {
        let mut inner = self.lock();
        if cordoned {
            inner.cordoned.insert(endpoint.to_owned());
        } else {
            inner.cordoned.remove(endpoint);
        }
    }

    /// Drops the reports of endpoints that this daemon no longer polls.
    pub fn retain_cordoned(&self, is_polled: impl Fn(&str) -> bool) {
        self.lock().cordoned.retain(|name| is_polled(name));
    }

    /// Why an endpoint gets no new work, if it gets none.
    #[must_use]
    pub fn closed_reason(&self, name: &str, spec: &EndpointSpec) -> Option<&'static str> {
        let inner = self.lock();
        let marked = |m: &Marks| m.leaving.iter().any(|e| e == name);
        if spec.drained {
            Some("drained by an operator")
        } else if inner.closed_vms.contains(&spec.vm) {
            Some("its VM is leaving or gone")
        } else if inner.marks.values().any(marked) {
            Some("marked by its shard's holder")
        } else if inner.cordoned.contains(name) {
            Some("it refuses new work")
        } else {
            None
        }
    }

    fn roles(&self) -> HashMap<String, dahliaseam_core::endpoint::Role> {
        self.lock().marks.values().flat_map(|m| m.roles.iter().cloned()).collect()
    }
}

/// Opens or closes the endpoints in the dispatcher, and sets the roles that shard holders reported.
pub fn apply(node: &Node) {
    let doc = node.document();
    let now = node.now();
    let roles = node.availability.roles();
    for (name, endpoint) in &doc.endpoints {
        let why = node.availability.closed_reason(name, &endpoint.spec);
        let state = if why.is_some() { AdminState::Draining } else { AdminState::Serving };
        if node.dispatcher.set_admin_state(name, state, now) {
            emit!(info, ENDPOINT_DUTY, endpoint = name, open = why.is_none(), why = why.unwrap_or_default());
        }
        if let Some(role) = roles.get(name) {
            node.dispatcher.set_role(name, *role);
        }
    }
}

/// Polls the platform's VM list until the daemon stops.
pub async fn poll_vm_list(node: Arc<Node>) {
    let interval = Duration::from_millis(node.settings.timing.list_ms);
    while !node.stop.finished.is_cancelled() {
        let requested_at = node.now();
        match node.vm_list.vms().await {
            Ok(list) => apply_vm_list(&node, &list, requested_at),
            Err(e) => emit!(debug, LIST_LOST, why = %e),
        }
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = node.stop.finished.cancelled() => {}
        }
    }
}

fn apply_vm_list(node: &Arc<Node>, list: &[ListedVm], requested_at: Time) {
    let me = list.iter().find(|vm| vm.purpose == VmPurpose::Entry && vm.vm == node.settings.vm);
    let Some(me) = me else {
        emit!(warn, LIST_REFUSED, vms = list.len());
        return;
    };
    if me.leaving && !node.stop.begun.is_cancelled() {
        emit!(info, STOPPING, why = "the platform lists this VM as leaving");
        node.stop.begun.cancel();
    }
    let entries: Vec<_> = list
        .iter()
        .filter(|vm| vm.purpose == VmPurpose::Entry)
        .map(|vm| Contact { vm: vm.vm.clone(), hall: vm.hall.clone(), address: vm.address.clone() })
        .collect();
    node.members().set_listed(&entries);
    node.availability.set_closed_vms(closed_vms(node, list));
    node.freshness().confirm_list(requested_at);
    node.control.apply_vm_list(list, requested_at);
    apply(node);
}

/// VMs of configured endpoints that are leaving or not listed.
fn closed_vms(node: &Node, list: &[ListedVm]) -> HashSet<String> {
    let remaining: HashSet<_> = list.iter().filter(|vm| !vm.leaving).map(|vm| vm.vm.as_str()).collect();
    let doc = node.document();
    let vms = doc.endpoints.values().map(|e| &e.spec.vm);
    vms.filter(|vm| !remaining.contains(vm.as_str())).cloned().collect()
}

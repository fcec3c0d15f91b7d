//! Whether a daemon may act on its copies of the configuration and the VM list.
//!
//! A change is accepted only through a daemon that reaches more than half of the listed entry VMs. A daemon
//! that can confirm its copies neither with the platform nor through a peer continues only while it reaches
//! more than half itself. Any two such majorities share a VM, so a daemon that continues learns of an accepted
//! change through that VM. A daemon that reaches no majority either is cut off and becomes not ready.

use crate::time::{Span, Time};

/// Age and reachability information of a daemon's copies.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    config_at: Option<Time>,
    list_at: Option<Time>,
    contact_at: Option<Time>,
    reachable: usize,
    listed: usize,
}

/// Whether a daemon takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The copies were confirmed recently.
    Confirmed,
    /// The platform seems unreachable for everyone; continue.
    GoOn,
    /// This daemon can neither confirm its copies nor reach a majority; take no new work.
    CutOff,
}

impl Freshness {
    /// Records that the key-value service, or a peer that reaches it, confirmed the configuration as of `at`.
    pub fn confirm_config(&mut self, at: Time) {
        self.config_at = self.config_at.max(Some(at));
    }

    /// Records that the platform, or a peer that reaches it, confirmed the VM list as of `at`.
    pub fn confirm_list(&mut self, at: Time) {
        self.list_at = self.list_at.max(Some(at));
    }

    /// Records that `reachable` of `listed` entry VMs answer, both including this one; `contact_at` is when this
    /// daemon sent the last probe that was answered.
    pub const fn set_reachable(&mut self, reachable: usize, listed: usize, contact_at: Time) {
        self.reachable = reachable;
        self.listed = listed;
        self.contact_at = Some(contact_at);
    }

    /// When the configuration was last confirmed.
    #[must_use]
    pub const fn config_at(&self) -> Option<Time> {
        self.config_at
    }

    /// When the VM list was last confirmed.
    #[must_use]
    pub const fn list_at(&self) -> Option<Time> {
        self.list_at
    }

    /// Whether more than half of the listed VMs answered within `limit`.
    #[must_use]
    pub fn has_majority(&self, now: Time, limit: Span) -> bool {
        self.reachable * 2 > self.listed && is_within(self.contact_at, now, limit)
    }

    /// Whether to take new work at `now`, if the copies may be up to `limit` old.
    #[must_use]
    pub fn standing(&self, now: Time, limit: Span) -> Standing {
        if is_within(self.config_at, now, limit) && is_within(self.list_at, now, limit) {
            return Standing::Confirmed;
        }
        if self.has_majority(now, limit) {
            return Standing::GoOn;
        }
        Standing::CutOff
    }
}

fn is_within(at: Option<Time>, now: Time, limit: Span) -> bool {
    at.is_some_and(|at| now.since(at) <= limit)
}

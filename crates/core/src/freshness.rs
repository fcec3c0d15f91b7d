//! Whether a daemon may still act on the configuration and the VM list it has.
//!
//! A change is accepted only through a daemon that reaches more than half of the listed entry
//! VMs. A daemon that can confirm its copies neither at the platform nor through a peer goes on
//! only while it reaches more than half itself. Any two such sets share a VM, so a daemon that
//! goes on hears of an accepted change through that VM; one that is cut off turns not ready.

use crate::time::{Span, Time};

/// What a daemon knows of the age of its copies.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    config_at: Option<Time>,
    list_at: Option<Time>,
    contact_at: Option<Time>,
    reachable: usize,
    listed: usize,
}

/// Whether to take new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The copies were confirmed lately.
    Confirmed,
    /// The platform is out of reach for all that can be seen; go on.
    GoOn,
    /// This daemon is cut off; take no new work.
    CutOff,
}

impl Freshness {
    /// The service, or a peer that reaches it, confirmed the configuration as of `at`.
    pub fn confirm_config(&mut self, at: Time) {
        self.config_at = self.config_at.max(Some(at));
    }

    /// The platform, or a peer that reaches it, confirmed the list as of `at`.
    pub fn confirm_list(&mut self, at: Time) {
        self.list_at = self.list_at.max(Some(at));
    }

    /// Of `listed` entry VMs, this one among them, `reachable` answer; the last answer to this
    /// daemon's own question was asked for at `contact_at`.
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

    /// When the list was last confirmed.
    #[must_use]
    pub const fn list_at(&self) -> Option<Time> {
        self.list_at
    }

    /// Whether more than half of the listed VMs answered within `limit`.
    #[must_use]
    pub fn has_majority(&self, now: Time, limit: Span) -> bool {
        self.reachable * 2 > self.listed && is_within(self.contact_at, now, limit)
    }

    /// Whether to take new work at `now`, when a copy may be `limit` old.
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

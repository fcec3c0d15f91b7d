//! What the parts of one daemon share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dahliaseam_border::{kv::KeyValue, vms::VmList};
use dahliaseam_core::{
    freshness::{Freshness, Standing},
    member::Members,
    time::{Span, Time},
};
use dahliaseam_settings::settings::Settings;
use dahliaseam_wire::resource::Document;
use tokio::sync::watch;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    clock::Clock,
    control::board::ControlState,
    dispatch::{claims::Claims, desk::SharedDispatcher, records::Records},
    endpoint::duties::Availability,
    membership::{identity::Identity, peers::PeerClients},
    metrics::Metrics,
};

/// The shared state of one daemon.
#[derive(Debug)]
pub struct Node {
    /// The settings, as checked at the start.
    pub settings: Settings,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Who this is.
    pub identity: Identity,
    /// The key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// The platform's list of VMs.
    pub vm_list: Arc<dyn VmList>,
    /// The dispatcher with its waiters.
    pub dispatcher: SharedDispatcher,
    /// The other daemons.
    pub members: Mutex<Members>,
    /// Connections to them.
    pub peers: PeerClients,
    /// The configuration in force.
    pub config: watch::Sender<Arc<Document>>,
    /// How sure this daemon is of its copies.
    pub freshness: Mutex<Freshness>,
    /// Which endpoints get work.
    pub availability: Availability,
    /// Claims of keyed requests.
    pub claims: Claims,
    /// The latest requests.
    pub records: Records,
    /// What is counted.
    pub metrics: Metrics,
    /// What control is doing.
    pub control: ControlState,
    /// How far a planned stop is.
    pub stop: Stop,
}

/// The stages of a planned stop.
#[derive(Debug, Default)]
pub struct Stop {
    /// It began: not ready, still taking work.
    pub begun: CancellationToken,
    /// No more work is taken.
    pub closing: CancellationToken,
    /// Background tasks are to end.
    pub finished: CancellationToken,
    /// The requests under way.
    pub requests: TaskTracker,
}

impl Node {
    /// The time now.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The configuration in force.
    #[must_use]
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&self.config.borrow())
    }

    /// The table of members.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How sure this daemon is of its copies.
    pub fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// On what footing this daemon acts.
    #[must_use]
    pub fn standing(&self) -> Standing {
        self.freshness().standing(self.now(), self.confirm_limit())
    }

    /// Whether this daemon lately reached more than half of the listed entry VMs.
    #[must_use]
    pub fn has_majority(&self) -> bool {
        self.freshness().has_majority(self.now(), self.confirm_limit())
    }

    /// The age at which an unconfirmed copy counts as old.
    #[must_use]
    pub const fn confirm_limit(&self) -> Span {
        Span::millis(self.settings.timing.confirm_ms)
    }

    /// Whether new work may be taken at all.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.document().generation > 0 && self.standing() != Standing::CutOff
    }

    /// Whether the balancer should send work here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.accepts_work() && !self.stop.begun.is_cancelled()
    }
}

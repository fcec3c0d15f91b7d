//! State shared by the parts of one daemon.

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
    caller_resources::CallerResources,
    clock::Clock,
    control::board::ControlState,
    dispatch::{claims::Claims, desk::SharedDispatcher, records::Records},
    endpoint::duties::Availability,
    membership::{identity::RunIdentity, peers::PeerClients},
    metrics::Metrics,
};

/// The shared state of one daemon.
#[derive(Debug)]
pub struct Node {
    /// Settings, checked at the start.
    pub settings: Settings,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Identity of this run of the daemon.
    pub identity: RunIdentity,
    /// The key-value service.
    pub kv: Arc<dyn KeyValue>,
    /// The platform's list of VMs.
    pub vm_list: Arc<dyn VmList>,
    /// The dispatcher, shared by the daemon's tasks.
    pub dispatcher: SharedDispatcher,
    /// Membership table of the daemons.
    pub members: Mutex<Members>,
    /// Connections to other daemons.
    pub peers: PeerClients,
    /// The configuration in force.
    pub config: watch::Sender<Arc<Document>>,
    /// How fresh this daemon's copies of the configuration and the VM list are.
    pub freshness: Mutex<Freshness>,
    /// Which endpoints get new work.
    pub availability: Availability,
    /// Claims for keyed requests.
    pub claims: Claims,
    /// Records of the latest requests.
    pub records: Records,
    /// What callers' connections and requests share.
    pub callers: CallerResources,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// State of the control of engines.
    pub control: ControlState,
    /// Progress of a graceful stop.
    pub stop: Stop,
}

/// The stages of a graceful stop.
#[derive(Debug, Default)]
pub struct Stop {
    /// The stop has begun: the daemon reports not ready, but still accepts work.
    pub begun: CancellationToken,
    /// No more connections are accepted.
    pub closing: CancellationToken,
    /// All requests have finished; background tasks must end.
    pub finished: CancellationToken,
    /// Requests in flight.
    pub requests: TaskTracker,
}

impl Node {
    /// The current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The configuration in force.
    #[must_use]
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&self.config.borrow())
    }

    /// Locks the members.
    pub fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the freshness of the copies.
    pub fn freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this daemon takes new work, and on what grounds.
    #[must_use]
    pub fn standing(&self) -> Standing {
        self.freshness().standing(self.now(), self.confirm_limit())
    }

    /// Whether this daemon recently reached more than half of the listed entry VMs.
    #[must_use]
    pub fn has_majority(&self) -> bool {
        self.freshness().has_majority(self.now(), self.confirm_limit())
    }

    /// Age from which an unconfirmed copy counts as old.
    #[must_use]
    pub const fn confirm_limit(&self) -> Span {
        Span::millis(self.settings.timing.confirm_ms)
    }

    /// Whether new work may be accepted.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        self.document().generation > 0 && self.standing() != Standing::CutOff
    }

    /// Whether the load balancer should send work here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.accepts_work() && !self.stop.begun.is_cancelled()
    }
}

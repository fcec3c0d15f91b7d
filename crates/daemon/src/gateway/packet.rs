//! Datagrams between daemons.

use dahliaseam_core::usage::WindowCounts;
use serde::{Deserialize, Serialize};

use crate::gateway::{
    origins::{OriginQuestion, OriginReply, StreamBegan},
    peers::ReportPacket,
    quota::{CreditReply, CreditRequest},
};

#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Packet {
    /// Load report: the work that a daemon has in flight.
    Report(Box<ReportPacket>),
    /// Freshness probe: asks how recent a daemon's configuration is.
    Probe {
        /// Number of the probe.
        probe: u64,
    },
    /// Reply to a freshness probe.
    Proof {
        /// Number of the probe.
        probe: u64,
        /// Revision of the configuration that is in force at the sender.
        revision: i64,
        /// Microseconds since that configuration was last proved to be the newest.
        age_us: u64,
    },
    /// Usage counts of a daemon, for the leader.
    Usage {
        /// Name of the daemon's VM.
        vm: String,
        /// Run identifier of the daemon.
        run: u64,
        /// Counts of one window.
        window: WindowCounts,
    },
    /// Acknowledges that the leader has recorded the counts of a window.
    UsageAck {
        /// Fencing number of the leader.
        fence: u64,
        /// The window, which is over.
        window: u64,
    },
    /// Request for credit from a team's quota.
    AskCredit(CreditRequest),
    /// Reply to a request for credit.
    Credit(CreditReply),
    /// Tells where a stream began.
    StreamBegan(StreamBegan),
    /// Asks where a stream began.
    AskOrigin(OriginQuestion),
    /// Reply to that question.
    Origin(OriginReply),
}

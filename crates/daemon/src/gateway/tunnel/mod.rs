//! Tunnels: connections to replicas through the VM of a peer, for a daemon that has lost its own paths to them.
//!
//! A tunnel is an HTTP `CONNECT` request (RFC 9110, section 9.3.6) to the load address of a peer, which serves it by TCP.
//! [`client`] opens tunnels and [`server`] serves them. On top of a tunnel the daemon speaks HTTP with the replica as on a
//! connection of its own, so all that is said about its response applies unchanged. A tunnel carries one request and is
//! never kept, so that a peer that stops has only running requests to finish. Such a peer opens tunnels as long as it accepts
//! requests of its own callers, and states that it is stopping, so that others are preferred.

use std::{fmt, time::Duration};

use dahliaseam_core::tunnel_peers::TunnelAnswer;
use http::{HeaderMap, HeaderName, HeaderValue};

mod client;
mod server;

pub(super) use client::{OPEN_TIMEOUT, TunnelError, Tunnels};
pub(super) use server::run;

/// Time limit for a connection to a replica that is opened for a peer, or to check a path. A round trip takes a few
/// milliseconds, and whoever waits for the connection has already lost time on another path.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);

/// Header that states why a tunnel was not opened (RFC 9209).
const PROXY_STATUS: HeaderName = HeaderName::from_static("proxy-status");
/// Its value if nothing listens at the replica's address.
const NOBODY_LISTENS: HeaderValue = HeaderValue::from_static("dahliaseamd; error=connection_refused");

/// Its value if the tunnel was opened by a daemon that is stopping.
const STOPPING: HeaderValue = HeaderValue::from_static("dahliaseamd; details=\"stopping\"");

/// Whether a response states that nothing listens at the replica's address.
fn states_nobody_listens(headers: &HeaderMap) -> bool {
    headers.get(PROXY_STATUS) == Some(&NOBODY_LISTENS)
}

/// Whether a response states that the daemon which opened the tunnel is stopping.
fn states_stopping(headers: &HeaderMap) -> bool {
    headers.get(PROXY_STATUS) == Some(&STOPPING)
}

/// Result of a request for a tunnel, in logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Opened,
    /// The request is not for a replica of the fleet, or is none for a tunnel.
    Forbidden,
    /// The daemon has no path to the replica itself.
    Busy,
    /// The daemon does not respond.
    NoResponse,
    NobodyListens,
    Unreachable,
}

impl Outcome {
    /// What the result tells about the peer; `None` if only about the replica or the request.
    const fn answer(self, is_stopping: bool) -> Option<TunnelAnswer> {
        match self {
            Self::Opened if is_stopping => Some(TunnelAnswer::OpenedStopping),
            Self::Opened => Some(TunnelAnswer::Opened),
            Self::Busy | Self::Unreachable => Some(TunnelAnswer::NoPath),
            Self::NoResponse => Some(TunnelAnswer::NoAnswer),
            Self::Forbidden | Self::NobodyListens => None,
        }
    }

    const fn name(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::Forbidden => "forbidden",
            Self::Busy => "busy",
            Self::NoResponse => "no_response",
            Self::NobodyListens => "nobody_listens",
            Self::Unreachable => "unreachable",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

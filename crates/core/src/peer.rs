//! Another daemon, as seen by those that choose whom to ask or tell something.

use std::net::SocketAddr;

/// Another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its address for datagrams and tunnels.
    pub address: SocketAddr,
    /// Hash of its hall.
    pub hall: u32,
    /// Whether it should have been heard of late and was not.
    pub is_silent: bool,
}

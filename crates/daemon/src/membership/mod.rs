//! Other daemons: probing and gossip ([`peers`]), the server for their calls ([`peer_server`]), and the identity of
//! this daemon ([`identity`]).

pub mod identity;
pub mod peer_server;
pub mod peer_transport;
pub mod peers;

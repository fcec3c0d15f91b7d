//! Other daemons: probing them and the gossip that rides on it ([`peers`]), what they are answered
//! ([`peer_server`]), and who this daemon is ([`identity`]).

pub mod identity;
pub mod peer_server;
pub mod peers;

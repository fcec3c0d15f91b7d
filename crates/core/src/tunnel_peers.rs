//! The peers through which replicas are reached, as learned from their answers.
//!
//! A cut of network paths often strikes most VMs of a hall, so a peer that has lost the same paths must not be asked
//! again and again, and the few that still have theirs must be found and all be used. Peers that opened a tunnel of late
//! are asked first, in random order, so that they share the load. While few of them are known, every other tunnel is asked
//! of an untried peer.

use std::{collections::HashMap, net::SocketAddr};

use crate::{
    hash::{self, rendezvous},
    peer::Peer,
    time::{Span, Time},
};

/// Time for which an answer of a peer counts. Paths are cut for seconds.
const ANSWER_TIME: Span = Span::millis(1_000);
/// Number of peers known to open tunnels below which others are tried.
const FEW_PEERS: usize = 4;
/// Weight of a new observation of the time that opening a tunnel takes.
const OPEN_TIME_WEIGHT: f64 = 0.2;
/// Multiple of the usual time to open a tunnel after which another peer is asked as well.
const SLOW_FACTOR: f64 = 2.0;
/// Bounds of the time after which another peer is asked as well. Where all peers are slow, asking more of them at once
/// would slow them further.
const NEXT_PEER_DELAY: (Span, Span) = (Span::millis(30), Span::millis(100));

/// How a peer answered the request for a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TunnelAnswer {
    /// It opened the tunnel.
    Opened,
    /// It opened the tunnel, and is stopping.
    OpenedStopping,
    /// It does not reach the replica itself.
    NoPath,
    /// It did not answer in time, or serves too many tunnels.
    NoAnswer,
}

#[derive(Clone, Copy, Debug)]
struct LastAnswer {
    answer: TunnelAnswer,
    until: Time,
}

/// What is known of the peers that open tunnels.
#[derive(Debug, Default)]
pub struct TunnelPeers {
    answers: HashMap<SocketAddr, LastAnswer>,
    /// Usual time in seconds to open a tunnel.
    open_s: f64,
}

impl TunnelPeers {
    /// Records how a peer answered, and how long that took.
    pub fn record(&mut self, peer: SocketAddr, answer: TunnelAnswer, took: Span, now: Time) {
        self.answers.retain(|_, last| !last.until.is_past(now));
        self.answers.insert(peer, LastAnswer { answer, until: now + ANSWER_TIME });
        if matches!(answer, TunnelAnswer::Opened | TunnelAnswer::NoAnswer) {
            self.open_s += OPEN_TIME_WEIGHT * (took.as_seconds() - self.open_s);
        }
    }

    /// Time to wait for the answer of one peer before another one is asked as well.
    #[must_use]
    pub fn next_peer_delay(&self) -> Span {
        Span::seconds(self.open_s * SLOW_FACTOR).max(NEXT_PEER_DELAY.0).min(NEXT_PEER_DELAY.1)
    }

    /// The peers in the order in which they are to be asked for one tunnel; `draw` is a random number.
    #[must_use]
    pub fn order(&self, peers: &[Peer], draw: u64, now: Time) -> Vec<SocketAddr> {
        let answer = |peer: &Peer| {
            let last = self.answers.get(&peer.address).filter(|last| !last.until.is_past(now));
            last.map(|last| last.answer)
        };
        let openers = peers.iter().filter(|peer| answer(peer) == Some(TunnelAnswer::Opened)).count();
        let tries_another = openers < FEW_PEERS && draw.is_multiple_of(2);
        let mut ranked: Vec<(u8, u64, SocketAddr)> = Vec::with_capacity(peers.len());
        for peer in peers {
            let rank = match answer(peer) {
                Some(TunnelAnswer::Opened) => 1,
                None if peer.is_silent => 3,
                None => 2,
                Some(TunnelAnswer::OpenedStopping) => 4,
                Some(TunnelAnswer::NoAnswer) => 5,
                Some(TunnelAnswer::NoPath) => 6,
            };
            ranked.push((rank, rendezvous(draw, hash::bytes(peer.address.to_string().as_bytes())), peer.address));
        }
        ranked.sort_unstable();
        if tries_another && let Some(untried) = ranked.iter().position(|(rank, ..)| *rank == 2) {
            ranked[..=untried].rotate_right(1);
        }
        ranked.into_iter().map(|(_, _, address)| address).collect()
    }
}

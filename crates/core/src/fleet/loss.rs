//! The share of packets that this VM loses on its paths to replicas, as new connections show it.
//!
//! On a path that loses three packets in ten, checks pass and calls stall in retransmissions. So what counts is how often
//! a connection fails to a replica that is reached right afterwards.

/// Weight of one connection.
const WEIGHT: f64 = 1.0 / 8.0;
/// Share of lost connections above which calls go through peers. Where a hall's link loses three packets in a hundred, six
/// connections in a hundred fail.
const LOSSY_SHARE: f64 = 0.3;
/// Share of lost connections below which they go directly again.
const SOUND_SHARE: f64 = 0.1;

/// Measures lost connections.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LossMeter {
    lost_share: f64,
    is_lossy: bool,
}

impl LossMeter {
    /// Records a connection that was established, or lost although its replica is reached.
    pub(super) fn record(&mut self, is_lost: bool) {
        self.lost_share += WEIGHT * (f64::from(u8::from(is_lost)) - self.lost_share);
        let limit = if self.is_lossy { SOUND_SHARE } else { LOSSY_SHARE };
        self.is_lossy = self.lost_share > limit;
    }

    /// Whether so many connections are lost that other VMs' paths are better.
    pub(super) const fn is_lossy(&self) -> bool {
        self.is_lossy
    }
}

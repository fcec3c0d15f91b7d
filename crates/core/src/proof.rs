//! How new a daemon's copy of the configuration is proved to be.
//!
//! A key that was withdrawn must have no effect after a bound, also on a daemon that nobody reaches. So
//! a daemon acts on its configuration only for a while after a moment at which that was surely the
//! newest. Such a proof comes from the key-value service, dated when it was asked, or from another
//! daemon, dated by its own age from when that one was asked: news that nobody asked for may have been
//! under way for any time.

use crate::time::{Span, Time};

/// Part of the bound that is kept for clocks that run at different speeds.
const DRIFT_DIVISOR: u64 = 50;

/// At some moment the newest configuration was the one of this revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// The revision.
    pub revision: i64,
    /// The moment, by this daemon's clock.
    pub at: Time,
}

/// What a call that waited for changes proves.
///
/// Without a change until the end of the wait nothing changed in that time either; otherwise the answer
/// may have been made at any time since the call began.
#[must_use]
pub fn proved_at(asked: Time, wait: Span, changed: bool, now: Time) -> Time {
    if !changed && now.since(asked) >= wait { asked + wait } else { asked }
}

/// The proofs that a daemon has.
#[derive(Clone, Copy, Debug, Default)]
pub struct Proofs {
    /// Revision of the configuration in force here.
    revision: i64,
    /// When that or an older one was last proved to be the newest.
    proved_at: Option<Time>,
    /// A proof of one that is not in force here yet.
    pending: Option<Proof>,
}

impl Proofs {
    /// Take in a proof.
    pub fn record(&mut self, proof: Proof) {
        if proof.revision <= self.revision {
            self.proved_at = self.proved_at.max(Some(proof.at));
        } else if self.pending.is_none_or(|pending| (pending.revision, pending.at) < (proof.revision, proof.at)) {
            self.pending = Some(proof);
        }
    }

    /// A configuration is in force from now on.
    pub fn set_in_force(&mut self, revision: i64) {
        self.revision = self.revision.max(revision);
        if let Some(pending) = self.pending.take_if(|pending| pending.revision <= revision) {
            self.record(pending);
        }
    }

    /// The newest proof of the configuration in force here.
    #[must_use]
    pub fn newest(&self) -> Option<Proof> {
        self.proved_at.map(|at| Proof { revision: self.revision, at })
    }

    /// Time since the configuration in force here was surely the newest.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Span> {
        self.proved_at.map(|at| now.since(at))
    }

    /// Whether the configuration in force here was the newest less than `bound` before a request that
    /// arrived at `arrived`.
    #[must_use]
    pub fn is_fresh(&self, bound: Span, arrived: Time) -> bool {
        let usable = Span(bound.0 - bound.0 / DRIFT_DIVISOR);
        self.age(arrived).is_some_and(|age| age < usable)
    }
}

//! Callers' keys: how the key of each request is authenticated, and which proof of the configuration's freshness that
//! requires.

use std::sync::{Mutex, MutexGuard, PoisonError};

use dahliaseam_core::{
    proof::{Proof, Proofs},
    route::{Route, RouteTable},
    team::{Authentication, Identity, PresentedKey},
    time::{Span, Time},
};
use dahliaseam_settings::gateway::KeySettings;

use crate::gateway::answer::Refusal;

/// Divides the time within which an added key must be known. If the newest proof is older than the result, a key that
/// is not in the configuration is refused as uncertain instead of unknown, since a caller that is told that its key is
/// unknown does not retry.
const UNKNOWN_KEY_DIVISOR: u64 = 2;
/// Share of the time for which a withdrawn key may still be accepted. If the newest proof is older, a daemon asks the
/// store itself. Normally, a peer of its hall has taken over watching the store before that. While the store is
/// unreachable for all, all daemons call it once their proofs are this old; a high share limits that to long outages.
const STALE_PROOF_SHARE: f64 = 0.75;
/// Divides the time for which a withdrawn key may still be accepted; the result is how long one watch call to the store
/// may wait.
const WATCH_WAIT_DIVISOR: u64 = 8;

/// Authenticates keys.
#[derive(Debug)]
pub(super) struct Keys {
    settings: Option<KeySettings>,
    proofs: Mutex<Proofs>,
}

impl Keys {
    pub(super) fn new(settings: Option<KeySettings>) -> Self {
        Self { settings, proofs: Mutex::default() }
    }

    /// Authenticates the key of a request, once, against one version of the configuration.
    pub(super) fn authenticate(
        &self,
        table: &RouteTable,
        route: &Route,
        presented: &PresentedKey,
        arrived: Time,
    ) -> Result<Identity, Refusal> {
        match table.authenticate(presented, route) {
            Authentication::Allowed(identity @ Identity::Team(_)) if self.is_still_valid(arrived) => Ok(identity),
            Authentication::Allowed(Identity::Team(_)) => Err(Refusal::KeyUncertain),
            Authentication::Allowed(identity) => Ok(identity),
            Authentication::NoKey => Err(Refusal::NoKey),
            Authentication::UnknownKey if self.is_certainly_unknown(arrived) => Err(Refusal::UnknownKey),
            Authentication::UnknownKey => Err(Refusal::KeyUncertain),
        }
    }

    /// Whether a configured key cannot have been withdrawn for longer than allowed.
    fn is_still_valid(&self, arrived: Time) -> bool {
        let strict = self.settings.filter(|settings| settings.strict);
        strict.is_none_or(|settings| self.proofs().is_fresh(settings.withdrawal_limit(), arrived))
    }

    /// Whether a key that is not in the configuration has certainly not been added since.
    fn is_certainly_unknown(&self, arrived: Time) -> bool {
        let bound = self.settings.map(|settings| Span(settings.addition_limit().0 / UNKNOWN_KEY_DIVISOR));
        bound.is_none_or(|bound| self.proofs().is_fresh(bound, arrived))
    }

    /// Whether authentication requires a proof at all.
    pub(super) const fn requires_proof(&self) -> bool {
        self.settings.is_some()
    }

    /// Longest wait of a watch call to the store; `None` if it is not limited. A call that returns changes proves the
    /// state only for the time at which it was made, so that a proof may become as old as two calls take.
    pub(super) fn max_watch_wait(&self) -> Option<Span> {
        let strict = self.settings.filter(|settings| settings.strict);
        strict.map(|settings| Span(settings.withdrawal_limit().0 / WATCH_WAIT_DIVISOR))
    }

    /// Whether the newest proof is so old that the store should be asked.
    pub(super) fn is_proof_stale(&self, now: Time) -> bool {
        let bound =
            self.settings.map(|settings| Span::seconds(settings.withdrawal_limit().as_seconds() * STALE_PROOF_SHARE));
        bound.is_some_and(|bound| !self.proofs().is_fresh(bound, now))
    }

    /// Time since the configuration in force was last proved to be the newest.
    pub(super) fn proof_age(&self, now: Time) -> Option<Span> {
        self.proofs().age(now)
    }

    pub(super) fn proof_age_ms(&self, now: Time) -> Option<u64> {
        self.proof_age(now).map(Span::as_millis)
    }

    pub(super) fn record_proof(&self, proof: Proof) {
        self.proofs().record(proof);
    }

    /// Records that a configuration is in force from now on.
    pub(super) fn set_in_force(&self, revision: i64) {
        self.proofs().set_in_force(revision);
    }

    /// The newest proof, for other daemons.
    pub(super) fn newest_proof(&self) -> Option<Proof> {
        self.proofs().newest()
    }

    fn proofs(&self) -> MutexGuard<'_, Proofs> {
        self.proofs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

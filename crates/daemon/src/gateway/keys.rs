//! Callers' keys: how each request's key is judged, and under which proof of the configuration.

use std::sync::{Mutex, MutexGuard, PoisonError};

use dahliaseam_core::{
    proof::{Proof, Proofs},
    route::{Route, RouteTable},
    team::{Identity, PresentedKey, Verdict},
    time::{Span, Time},
};
use dahliaseam_settings::gateway::KeySettings;

use crate::gateway::answer::Refusal;

/// Part of the time in which an added key must be known after which an unknown one is no longer called so
/// without a newer proof: a caller that is told so does not come again.
const UNKNOWN_KEY_DIVISOR: u64 = 2;
/// Part of the time for which a key holds after which a daemon asks the store itself. Its hall peers step in before that;
/// where the store is away for all, all would call it.
const STALE_PROOF_SHARE: f64 = 0.75;
/// Part of the time for which a key holds that one call to follow the store may wait.
const WATCH_WAIT_DIVISOR: u64 = 8;

/// Judges keys.
#[derive(Debug)]
pub(super) struct Keys {
    settings: Option<KeySettings>,
    proofs: Mutex<Proofs>,
}

impl Keys {
    pub(super) fn new(settings: Option<KeySettings>) -> Self {
        Self { settings, proofs: Mutex::default() }
    }

    /// Judge a request's key, once, by one version of the configuration.
    pub(super) fn authenticate(
        &self,
        table: &RouteTable,
        route: &Route,
        given: &PresentedKey,
        arrived: Time,
    ) -> Result<Identity, Refusal> {
        match table.authenticate(given, route) {
            Verdict::Allowed(identity @ Identity::Team(_)) if self.is_still_valid(arrived) => Ok(identity),
            Verdict::Allowed(Identity::Team(_)) => Err(Refusal::KeyUncertain),
            Verdict::Allowed(identity) => Ok(identity),
            Verdict::NoKey => Err(Refusal::NoKey),
            Verdict::UnknownKey if self.is_surely_unknown(arrived) => Err(Refusal::UnknownKey),
            Verdict::UnknownKey => Err(Refusal::KeyUncertain),
        }
    }

    /// Whether a key that the configuration has cannot have been withdrawn too long ago.
    fn is_still_valid(&self, arrived: Time) -> bool {
        let strict = self.settings.filter(|settings| settings.strict);
        strict.is_none_or(|settings| self.proofs().is_fresh(settings.withdrawn(), arrived))
    }

    /// Whether a key that the configuration does not have was not added since.
    fn is_surely_unknown(&self, arrived: Time) -> bool {
        let bound = self.settings.map(|settings| Span(settings.added().0 / UNKNOWN_KEY_DIVISOR));
        bound.is_none_or(|bound| self.proofs().is_fresh(bound, arrived))
    }

    /// Whether keys are judged under a proof at all.
    pub(super) const fn requires_proof(&self) -> bool {
        self.settings.is_some()
    }

    /// Longest wait of a call that follows the store. Its answer is a proof of the moment of the question
    /// if something changed, and two such calls lie between two proofs.
    pub(super) fn longest_wait(&self) -> Option<Span> {
        let strict = self.settings.filter(|settings| settings.strict);
        strict.map(|settings| Span(settings.withdrawn().0 / WATCH_WAIT_DIVISOR))
    }

    /// Whether the newest proof is so old that the store should be asked.
    pub(super) fn is_proof_stale(&self, now: Time) -> bool {
        let bound = self.settings.map(|settings| Span::seconds(settings.withdrawn().as_seconds() * STALE_PROOF_SHARE));
        bound.is_some_and(|bound| !self.proofs().is_fresh(bound, now))
    }

    /// Time since the configuration in force was surely the newest.
    pub(super) fn age(&self, now: Time) -> Option<Span> {
        self.proofs().age(now)
    }

    /// The same in milliseconds, for logs.
    pub(super) fn age_ms(&self, now: Time) -> Option<u64> {
        self.age(now).map(Span::as_millis)
    }

    /// Take in a proof.
    pub(super) fn record(&self, proof: Proof) {
        self.proofs().record(proof);
    }

    /// A configuration is in force from now on.
    pub(super) fn in_force(&self, revision: i64) {
        self.proofs().set_in_force(revision);
    }

    /// The newest proof, for others.
    pub(super) fn newest(&self) -> Option<Proof> {
        self.proofs().newest()
    }

    fn proofs(&self) -> MutexGuard<'_, Proofs> {
        self.proofs.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

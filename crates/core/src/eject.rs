//! Outlier ejection: failing endpoints get no work for a growing time, then a single probe.

use crate::time::{Span, Time};

/// Consecutive faults that eject an endpoint.
const FAULTS_TO_EJECT: u32 = 3;
/// Duration of the first ejection.
const BASE_EJECTION_TIME: Span = Span::millis(500);
/// Maximum number of times that the duration is doubled.
const MAX_DOUBLINGS: u32 = 6;

/// Health of one endpoint as observed by this daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    faults: u32,
    ejections: u32,
    ejected_until: Time,
    probing: bool,
}

impl Health {
    /// Records a successful attempt.
    pub const fn record_success(&mut self) {
        self.faults = 0;
        self.ejections = 0;
        self.probing = false;
    }

    /// Records a fault and returns whether it ejects the endpoint.
    pub fn record_fault(&mut self, now: Time) -> bool {
        if !self.ejected_until.is_past(now) {
            return false;
        }
        self.faults += 1;
        let ejects = self.probing || self.faults >= FAULTS_TO_EJECT;
        if ejects {
            self.eject(now);
        }
        ejects
    }

    /// Records that the endpoint was unreachable or silent, which ejects it at once.
    ///
    /// Returns whether this ejects it. Attempts that were in flight at the ejection fail later and carry no new
    /// information.
    pub fn record_unreachable(&mut self, now: Time) -> bool {
        let ejects = self.ejected_until.is_past(now);
        if ejects {
            self.eject(now);
        }
        ejects
    }

    /// Forgets all faults and ejections, since they were not the endpoint's.
    pub fn readmit(&mut self) {
        *self = Self::default();
    }

    /// Whether new work may be sent at `now`. After an ejection a single attempt is allowed as a probe.
    #[must_use]
    pub const fn is_available(&self, now: Time) -> bool {
        self.ejected_until.is_past(now) && !self.probing
    }

    /// Records that an attempt was sent; after an ejection it is the probe.
    pub const fn record_sent(&mut self) {
        if self.ejections > 0 {
            self.probing = true;
        }
    }

    /// Ends the probe without a result.
    pub const fn end_probe(&mut self) {
        self.probing = false;
    }

    /// End of the ejection in force at `now`, if any.
    #[must_use]
    pub fn ejected_until(&self, now: Time) -> Option<Time> {
        (!self.ejected_until.is_past(now)).then_some(self.ejected_until)
    }

    fn eject(&mut self, now: Time) {
        let wait = Span(BASE_EJECTION_TIME.0 << self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        self.faults = 0;
        self.probing = false;
        self.ejected_until = now + wait;
    }
}

//! Outlier endpoints are left out for a growing time and then probed.

use crate::time::{Span, Time};

/// Faults in a row that eject an endpoint.
const FAULTS_TO_EJECT: u32 = 3;
/// The first ejection's length.
const BASE_EJECTION_TIME: Span = Span::millis(500);
/// Doublings of the wait at most.
const MAX_DOUBLINGS: u32 = 6;

/// The health of one endpoint as this daemon saw it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    faults: u32,
    ejections: u32,
    ejected_until: Time,
    probing: bool,
}

impl Health {
    /// Note an attempt that ended well.
    pub const fn record_success(&mut self) {
        self.faults = 0;
        self.ejections = 0;
        self.probing = false;
    }

    /// Note a fault; returns whether the endpoint is ejected by it.
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

    /// Note that it could not be reached, or was silent; it is ejected at once.
    ///
    /// Returns whether this ejects it. Calls that were under way when it was ejected fail after
    /// that; they say nothing new.
    pub fn record_unreachable(&mut self, now: Time) -> bool {
        let ejects = self.ejected_until.is_past(now);
        if ejects {
            self.eject(now);
        }
        ejects
    }

    /// Whether new work may go there at `now`; one probe at a time after an ejection.
    #[must_use]
    pub const fn is_available(&self, now: Time) -> bool {
        self.ejected_until.is_past(now) && !self.probing
    }

    /// Note that an attempt is sent; after an ejection it counts as the probe.
    pub const fn record_sent(&mut self) {
        if self.ejections > 0 {
            self.probing = true;
        }
    }

    /// Note that the probe ended without a verdict.
    pub const fn end_probe(&mut self) {
        self.probing = false;
    }

    /// When the ejection ends, if one is in force at `now`.
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

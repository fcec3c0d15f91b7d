//! How long whole answers take, learned for each route.
//!
//! Mean and mean deviation are tracked as TCP does for its retransmission timeout (RFC 6298): their weighted sum bounds
//! almost all answers, without any assumption on the distribution. A call that has been open for longer shows that this does
//! not hold at present.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use crate::time::{Span, Time};

/// Weight of a new observation in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new observation in the mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Number of mean deviations above the mean within which almost all answers are complete.
const BOUND_DEVIATIONS: f64 = 4.0;

/// Durations of the answers on each route, and the calls that are open.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    routes: HashMap<Arc<str>, Estimate>,
    /// Open calls in the order in which they were sent.
    open: HashMap<Arc<str>, BTreeSet<OpenCall>>,
    last_id: u64,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean_s: f64,
    deviation_s: f64,
}

/// Time within which almost all answers on a route are complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsualTime {
    /// The time.
    pub bound: Span,
    /// Whether no open call has taken longer.
    pub holds: bool,
}

/// A call that has not been answered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OpenCall {
    sent_at: Time,
    id: u64,
}

impl AnswerTimes {
    /// Records that a call on a route is sent.
    pub fn begin(&mut self, route: &Arc<str>, now: Time) -> OpenCall {
        self.last_id += 1;
        let call = OpenCall { sent_at: now, id: self.last_id };
        self.open.entry(Arc::clone(route)).or_default().insert(call);
        call
    }

    /// Records that a call is no longer open.
    pub fn end(&mut self, route: &str, call: OpenCall) {
        if let Some(open) = self.open.get_mut(route) {
            open.remove(&call);
        }
    }

    /// Records that an answer on a route was complete after `took`.
    pub fn record(&mut self, route: &Arc<str>, took: Span) {
        let seconds = took.as_seconds();
        let Some(known) = self.routes.get_mut(route) else {
            self.routes.insert(Arc::clone(route), Estimate { mean_s: seconds, deviation_s: seconds / 2.0 });
            return;
        };
        known.deviation_s += DEVIATION_WEIGHT * ((seconds - known.mean_s).abs() - known.deviation_s);
        known.mean_s += MEAN_WEIGHT * (seconds - known.mean_s);
    }

    /// Time within which almost all answers on a route are complete; `None` if no answer is known.
    #[must_use]
    pub fn usual(&self, route: &str, now: Time) -> Option<UsualTime> {
        let known = self.routes.get(route)?;
        let bound = Span::seconds(known.mean_s + BOUND_DEVIATIONS * known.deviation_s);
        let oldest = self.open.get(route).and_then(BTreeSet::first);
        Some(UsualTime { bound, holds: oldest.is_none_or(|call| now.since(call.sent_at) <= bound) })
    }

    /// Forgets the routes for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_kept(route));
        self.open.retain(|route, calls| is_kept(route) || !calls.is_empty());
    }
}

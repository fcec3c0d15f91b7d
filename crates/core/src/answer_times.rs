//! How long whole answers take, learned for each route.
//!
//! Mean and mean deviation are tracked as TCP does for its retransmission timeout (RFC 6298): their weighted sum bounds
//! almost all answers, without any assumption on the distribution.

use std::{collections::HashMap, sync::Arc};

use crate::time::Span;

/// Weight of a new observation in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new observation in the mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Number of mean deviations above the mean within which almost all answers are complete.
const BOUND_DEVIATIONS: f64 = 4.0;

/// Durations of the answers on each route.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    routes: HashMap<Arc<str>, Estimate>,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean_s: f64,
    deviation_s: f64,
}

impl AnswerTimes {
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

    /// Time within which almost all answers on a route are complete; `None` if none is known.
    #[must_use]
    pub fn usual_bound(&self, route: &str) -> Option<Span> {
        let known = self.routes.get(route)?;
        Some(Span::seconds(known.mean_s + BOUND_DEVIATIONS * known.deviation_s))
    }

    /// Forgets the routes for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_kept(route));
    }
}

//! Recent complete answers.

use std::collections::{HashMap, VecDeque};

use crate::{
    content::ContentHash,
    time::{Span, Time},
};

/// Time for which a complete answer clears a request.
///
/// Popular look-ups are requested several times in this period. A change that makes a request crash replicas is
/// noticed later by this period.
pub(super) const ANSWER_VALIDITY: Span = Span::millis(60_000);
/// Maximum number of answers kept, of some 40 bytes each: one minute at seventy answers a second.
const MAX_ANSWERS: usize = 4_096;

/// The latest complete answers of this daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentAnswers {
    latest: HashMap<ContentHash, Time>,
    order: VecDeque<(ContentHash, Time)>,
}

impl RecentAnswers {
    pub(super) fn record(&mut self, content: ContentHash, now: Time) {
        self.latest.insert(content, now);
        self.order.push_back((content, now));
        while let Some((oldest, at)) = self.order.front().copied() {
            if self.order.len() <= MAX_ANSWERS && !(at + ANSWER_VALIDITY).is_past(now) {
                return;
            }
            self.order.pop_front();
            if self.latest.get(&oldest) == Some(&at) {
                self.latest.remove(&oldest);
            }
        }
    }

    /// Time of the last complete answer to a request, if it still clears the request.
    pub(super) fn last_answer(&self, content: ContentHash, now: Time) -> Option<Time> {
        self.latest.get(&content).copied().filter(|at| !(*at + ANSWER_VALIDITY).is_past(now))
    }
}

//! The requests that were answered whole lately.

use std::collections::{HashMap, VecDeque};

use crate::{
    content::ContentHash,
    time::{Span, Time},
};

/// Time for which a whole answer speaks for a request: popular look-ups come several times in it, and a change
/// that makes a request end replicas is noticed so much later.
pub(super) const ANSWER_VALIDITY: Span = Span::millis(60_000);
/// Answers that are remembered, of some 40 bytes: a minute of seventy a second.
const MAX_ANSWERS: usize = 4_096;

/// The latest whole answers of this daemon.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentAnswers {
    latest: HashMap<ContentHash, Time>,
    order: VecDeque<(ContentHash, Time)>,
}

impl RecentAnswers {
    /// Note an answer.
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

    /// When a request was last answered, if that still speaks for it.
    pub(super) fn last_answer(&self, content: ContentHash, now: Time) -> Option<Time> {
        self.latest.get(&content).copied().filter(|at| !(*at + ANSWER_VALIDITY).is_past(now))
    }
}

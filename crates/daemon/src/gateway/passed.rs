//! The events of a stream that were passed on, and how far apart they came.

use dahliaseam_core::{
    fleet::StreamPart,
    time::{Span, Time},
};

/// Part of a stream that is learned from: some ten events, so that single pauses do not count as the pace.
const PART: Span = Span::millis(500);

/// What was passed on after a stream's first event.
#[derive(Clone, Copy, Debug)]
pub(super) struct Passed {
    first_at: Time,
    last_at: Time,
    count: u64,
    longest: Span,
    /// What was passed on when it was last learned from.
    learned: u64,
    learned_at: Time,
}

impl Passed {
    /// Nothing after the first event, which came `now`.
    pub(super) const fn new(now: Time) -> Self {
        Self { first_at: now, last_at: now, count: 0, longest: Span(0), learned: 0, learned_at: now }
    }

    /// Note an event.
    pub(super) fn note(&mut self, now: Time) {
        self.longest = self.longest.max(now.since(self.last_at));
        self.last_at = now;
        self.count += 1;
    }

    /// Events after the first.
    pub(super) const fn count(&self) -> u64 {
        self.count
    }

    /// All of it.
    pub(super) fn whole(&self) -> StreamPart {
        StreamPart {
            events: self.count,
            total: self.count,
            took: self.last_at.since(self.first_at),
            longest_interval: self.longest,
        }
    }

    /// What was passed on since this was last asked for, once that took long enough to learn from.
    pub(super) fn part(&mut self) -> Option<StreamPart> {
        let took = self.last_at.since(self.learned_at);
        if took < PART {
            return None;
        }
        let part = StreamPart { events: self.count - self.learned, total: self.count, took, longest_interval: Span(0) };
        self.learned = self.count;
        self.learned_at = self.last_at;
        Some(part)
    }

    /// The longest time between two events.
    pub(super) const fn longest(&self) -> Span {
        self.longest
    }
}

//! The events of a stream that were passed on, and how far apart they came.

use dahliaseam_core::{
    fleet::StreamPart,
    time::{Span, Time},
};

/// What was passed on after a stream's first event.
#[derive(Clone, Copy, Debug)]
pub(super) struct Passed {
    first_at: Time,
    last_at: Time,
    count: u64,
    longest: Span,
}

impl Passed {
    /// Nothing after the first event, which came `now`.
    pub(super) const fn new(now: Time) -> Self {
        Self { first_at: now, last_at: now, count: 0, longest: Span(0) }
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
        StreamPart { events: self.count, took: self.last_at.since(self.first_at) }
    }

    /// The longest time between two events.
    pub(super) const fn longest(&self) -> Span {
        self.longest
    }
}

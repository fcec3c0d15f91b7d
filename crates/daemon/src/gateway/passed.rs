//! The events of a stream that were passed on, and how far apart they came.

use dahliaseam_core::{
    fleet::StreamPart,
    time::{Span, Time},
};

/// Part of a stream that is learned from: some ten events, so that single pauses do not count as the pace.
const MIN_PART_TIME: Span = Span::millis(500);

/// What was passed on after a stream's first event.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayedEvents {
    first_at: Time,
    last_at: Time,
    count: u64,
    longest_gap: Span,
    /// What was passed on when it was last learned from.
    part_start_count: u64,
    part_start: Time,
}

impl RelayedEvents {
    /// Nothing after the first event, which came `now`.
    pub(super) const fn new(now: Time) -> Self {
        Self { first_at: now, last_at: now, count: 0, longest_gap: Span(0), part_start_count: 0, part_start: now }
    }

    /// Note an event.
    pub(super) fn record(&mut self, now: Time) {
        self.longest_gap = self.longest_gap.max(now.since(self.last_at));
        self.last_at = now;
        self.count += 1;
    }

    /// Events after the first.
    pub(super) const fn count(&self) -> u64 {
        self.count
    }

    /// All of it.
    pub(super) fn total(&self) -> StreamPart {
        StreamPart {
            events: self.count,
            total: self.count,
            took: self.last_at.since(self.first_at),
            longest_interval: self.longest_gap,
        }
    }

    /// What was passed on since this was last asked for, once that took long enough to learn from.
    pub(super) fn next_part(&mut self) -> Option<StreamPart> {
        let took = self.last_at.since(self.part_start);
        if took < MIN_PART_TIME {
            return None;
        }
        let part = StreamPart {
            events: self.count - self.part_start_count,
            total: self.count,
            took,
            longest_interval: Span(0),
        };
        self.part_start_count = self.count;
        self.part_start = self.last_at;
        Some(part)
    }

    /// The longest time between two events.
    pub(super) const fn longest_gap(&self) -> Span {
        self.longest_gap
    }
}

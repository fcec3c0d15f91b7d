//! Relayed events of a stream, and the intervals between them.

use dahliaseam_core::{
    fleet::StreamPart,
    time::{Span, Time},
};

/// Minimum duration of a part of a stream that estimates are updated from: about ten events, so that a single pause
/// does not distort the estimated interval.
const MIN_PART_TIME: Span = Span::millis(500);

/// Events that were relayed after the first event of a stream.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayedEvents {
    first_at: Time,
    last_at: Time,
    count: u64,
    longest_interval: Span,
    /// Number of events that were relayed before the current part.
    part_start_count: u64,
    part_start: Time,
}

impl RelayedEvents {
    /// No events yet after the first one, which arrived `now`.
    pub(super) const fn new(now: Time) -> Self {
        Self { first_at: now, last_at: now, count: 0, longest_interval: Span(0), part_start_count: 0, part_start: now }
    }

    pub(super) fn record(&mut self, now: Time) {
        self.longest_interval = self.longest_interval.max(now.since(self.last_at));
        self.last_at = now;
        self.count += 1;
    }

    /// Number of events after the first one.
    pub(super) const fn count(&self) -> u64 {
        self.count
    }

    /// The whole stream so far.
    pub(super) fn total(&self) -> StreamPart {
        StreamPart {
            events: self.count,
            total: self.count,
            took: self.last_at.since(self.first_at),
            longest_interval: self.longest_interval,
        }
    }

    /// The events since the last returned part, once they cover enough time to update estimates from.
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

    /// The longest interval between two events.
    pub(super) const fn longest_interval(&self) -> Span {
        self.longest_interval
    }
}

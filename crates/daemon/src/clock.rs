//! Clocks of the daemon.

use std::{fmt::Debug, time::Duration};

use dahliaseam_core::time::{Span, Time};
use rustix::time::{ClockId, clock_gettime};

/// A source of time.
pub trait Clock: Debug + Send + Sync {
    /// The current time.
    fn now(&self) -> Time;
}

/// The machine's boot-time clock, which continues through a suspend.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

impl Clock for BootClock {
    fn now(&self) -> Time {
        let now = clock_gettime(ClockId::Boottime);
        Time(now.tv_sec as u64 * MICROS_PER_SECOND + now.tv_nsec as u64 / NANOS_PER_MICRO)
    }
}

/// Milliseconds since the Unix epoch, for deadlines that are checked on another machine.
#[must_use]
pub fn wall_millis() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// Converts a span to the type of the runtime's timers.
#[must_use]
pub const fn duration(span: Span) -> Duration {
    Duration::from_micros(span.0)
}

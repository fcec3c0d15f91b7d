//! Detects that the machine was suspended.
//!
//! The daemon's clock counts suspended time, the timers of the runtime do not: a wait for a deadline would continue for
//! the rest of its time after a suspension. So each such wait checks the clock again when the machine resumes
//! ([`Gateway::timeout_at`]), load reports of peers that expired in the meantime are discarded, and estimates are not
//! updated from work whose duration includes a suspension.

use std::{pin::pin, sync::Arc, time::Duration};

use dahliaseam_core::time::{Span, Time};

use crate::{clock::duration, emit, gateway::state::Gateway};

/// Interval between two checks: short compared with the deadlines of callers, and ten checks a second have no
/// measurable cost.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum difference between the two clocks that counts as a suspension. Smaller ones arise because the clocks are
/// read one after the other.
const MIN_SUSPENSION: Span = Span::millis(50);

/// Detects suspensions until the daemon shuts down.
pub(super) async fn run(gw: Arc<Gateway>) {
    let stop = gw.stop.finished.clone();
    tokio::select! {
        () = detect(&gw) => {}
        () = stop.cancelled() => {}
    }
}

async fn detect(gw: &Gateway) {
    let mut known = gw.suspended_time();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let suspended = gw.suspended_time();
        if suspended.has_grown_since(known) {
            handle_resume(gw, Span(suspended.0.0 - known.0.0));
            known = suspended;
        }
    }
}

fn handle_resume(gw: &Gateway, suspended: Span) {
    emit!(warn, MACHINE_RESUMED, away_ms = suspended.as_millis());
    let now = gw.now();
    // Reports that expired during the suspension are too old to act on.
    let silent = gw.fleet().remove_expired_peers(now);
    for sender in silent {
        emit!(info, PEER_SILENT, sender);
    }
    gw.resumed.notify_waiters();
}

/// Total time for which the machine was suspended since the daemon started.
#[derive(Clone, Copy, Debug)]
pub(super) struct SuspendedTime(Span);

impl SuspendedTime {
    /// Whether the machine was suspended since `before` was read.
    pub(super) const fn has_grown_since(self, before: Self) -> bool {
        self.0.0 > before.0.0 + MIN_SUSPENSION.0
    }
}

impl Gateway {
    /// Total time for which the machine was suspended so far.
    pub(super) fn suspended_time(&self) -> SuspendedTime {
        let (started_at, instant) = self.started_at;
        let steady = instant.elapsed().as_micros() as u64;
        SuspendedTime(Span(self.now().since(started_at).0.saturating_sub(steady)))
    }

    /// Waits for a future until a deadline; `None` if the deadline comes first.
    pub(super) async fn timeout_at<F: Future>(&self, deadline: Time, awaited: F) -> Option<F::Output> {
        let mut awaited = pin!(awaited);
        loop {
            let resumed = self.resumed.notified();
            let left = duration(deadline.since(self.now()));
            tokio::select! {
                biased;
                out = &mut awaited => return Some(out),
                () = tokio::time::sleep(left) => return None,
                () = resumed => {}
            }
        }
    }

    /// Sleeps for this time, or until the machine resumes after a suspension.
    pub(super) async fn sleep(&self, time: Duration) {
        tokio::select! {
            () = tokio::time::sleep(time) => {}
            () = self.resumed.notified() => {}
        }
    }
}

//! Noticing that the machine was suspended.
//!
//! The daemon's clock counts such a time, the runtime's timers do not: what waits for a deadline would wait for the rest of it
//! once more. So each such wait looks at the clock again when the machine goes on ([`Gateway::timeout_at`]), what
//! was believed of others before is looked at anew, and nothing is learned from work that took so long for that reason.

use std::{pin::pin, sync::Arc, time::Duration};

use dahliaseam_core::time::{Span, Time};

use crate::{clock::duration, emit, gateway::state::Gateway};

/// Time between two looks: small against the deadlines of callers, and ten a second cost nothing that can be measured.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Difference between the two clocks from which on the machine was suspended. Each is read a moment after the other.
const MIN_SUSPENSION: Span = Span::millis(50);

/// Look for suspensions until the daemon is over.
pub(super) async fn run(gw: Arc<Gateway>) {
    let stop = gw.stop.finished.clone();
    tokio::select! {
        () = watch(&gw) => {}
        () = stop.cancelled() => {}
    }
}

async fn watch(gw: &Gateway) {
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
    // What others said before is too old to act on.
    let silent = gw.fleet().remove_expired_peers(now);
    for sender in silent {
        emit!(info, PEER_SILENT, sender);
    }
    gw.resumed.notify_waiters();
}

/// For how long the machine was suspended in all since the daemon started.
#[derive(Clone, Copy, Debug)]
pub(super) struct SuspendedTime(Span);

impl SuspendedTime {
    /// Whether the machine was suspended since that was so.
    pub(super) const fn has_grown_since(self, before: Self) -> bool {
        self.0.0 > before.0.0 + MIN_SUSPENSION.0
    }
}

impl Gateway {
    /// For how long the machine was suspended so far.
    pub(super) fn suspended_time(&self) -> SuspendedTime {
        let (started_at, instant) = self.started_at;
        let steady = instant.elapsed().as_micros() as u64;
        SuspendedTime(Span(self.now().since(started_at).0.saturating_sub(steady)))
    }

    /// Wait for something until a deadline; absent if that comes first.
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

    /// Wait so long, or until the machine goes on after a suspension.
    pub(super) async fn sleep(&self, time: Duration) {
        tokio::select! {
            () = tokio::time::sleep(time) => {}
            () = self.resumed.notified() => {}
        }
    }
}

//! Stages of a graceful stop, and which requests may still be started.
//!
//! A request that is interrupted by the exit of the process is lost, while one that is refused as not run finds another
//! daemon at once. So a request is started only if it will be answered before: its deadline comes first, or answers to
//! requests like it are known to take less than the time left. What is open in the end is answered nevertheless.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use dahliaseam_core::{
    answer_times::{OpenCall, UsualTime},
    fleet::{Fleet, plan::Plan},
    time::{Span, Time},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    emit,
    gateway::{
        request::{ActiveRequest, Progress},
        state::Gateway,
        work::InFlightCall,
    },
};

/// Time after which the load balancer sends no new connections: it checks every second and stops after two failed checks.
/// From then on a call is not started if it is unknown how long calls like it take, or if one takes longer at present.
const BALANCER_REMOVAL_TIME: Span = Span::millis(2_250);
/// Time after which the same holds if the load balancer's checks are slow. From then on no duration is relied on, since some
/// answers take far longer than any before.
const LAST_CALL_TIME: Span = Span::millis(3_000);
/// Share of the stop time after which that holds for long answers, whose durations differ the most.
const LONG_ANSWER_SHARE: f64 = 0.3;
/// Multiple of the mean duration of long answers within which most are complete: one in ten takes twice as long.
const LONG_ANSWER_FACTOR: f64 = 1.3;

/// Progress of a graceful stop.
#[derive(Debug, Default)]
pub(super) struct Stop {
    /// It has begun: the daemon reports not ready, but still accepts work.
    pub(super) begun: CancellationToken,
    /// No more connections are accepted.
    pub(super) closing: CancellationToken,
    /// Requests without a response are answered now, as far as that can be done.
    pub(super) interrupting: CancellationToken,
    /// Background tasks must end.
    pub(super) finished: CancellationToken,
    /// Requests in flight.
    pub(super) requests: TaskTracker,
    /// Tunnels that are served to peers.
    pub(super) tunnels: TaskTracker,
    /// When requests that are still open are interrupted, in microseconds; 0 before the stop.
    interrupt_at: AtomicU64,
    /// From when on durations must be known, in microseconds.
    known_from: AtomicU64,
    /// From when on durations are not relied on, in microseconds.
    uncertain_from: AtomicU64,
    /// The same for long answers.
    long_uncertain_from: AtomicU64,
}

impl Stop {
    /// Begins the stop.
    pub(super) fn begin(&self, now: Time, interrupt_at: Time) {
        let long_uncertain_from = now + Span::seconds(interrupt_at.since(now).as_seconds() * LONG_ANSWER_SHARE);
        self.long_uncertain_from.store(long_uncertain_from.0, Ordering::Relaxed);
        self.known_from.store((now + BALANCER_REMOVAL_TIME).0, Ordering::Relaxed);
        self.uncertain_from.store((now + LAST_CALL_TIME).0, Ordering::Relaxed);
        self.interrupt_at.store(interrupt_at.0, Ordering::Relaxed);
        self.begun.cancel();
    }

    /// Whether a request that ends by `deadline` may be started. `usual` is the time within which requests like it are
    /// answered, if that is known.
    pub(super) fn may_start(&self, deadline: Time, usual: Option<UsualTime>, is_long: bool, now: Time) -> bool {
        let interrupt_at = Time(self.interrupt_at.load(Ordering::Relaxed));
        if !self.begun.is_cancelled() || deadline <= interrupt_at {
            return true;
        }
        let uncertain_from = if is_long { &self.long_uncertain_from } else { &self.uncertain_from };
        if Time(uncertain_from.load(Ordering::Relaxed)).is_past(now) {
            return false;
        }
        let must_hold = Time(self.known_from.load(Ordering::Relaxed)).is_past(now);
        let is_in_time = usual.is_none_or(|usual| now + usual.bound < interrupt_at);
        is_in_time && (!must_hold || usual.is_some_and(|usual| usual.holds))
    }
}

impl ActiveRequest {
    /// Whether the request will be answered before a stop of the daemon ends. A response that has begun cannot be refused
    /// any more, so it continues for as long as it can.
    pub(super) fn may_start(&self, fleet: &Fleet, plan: &Plan, now: Time) -> bool {
        let is_long = plan.is_long();
        let usual = if is_long {
            let mean_s = fleet.mean_answer_time(&self.service).as_seconds();
            Some(UsualTime { bound: Span::seconds(mean_s * LONG_ANSWER_FACTOR), holds: true })
        } else {
            self.gw.answer_times().usual(&self.route.name, now)
        };
        if self.progress == Progress::Begun || self.gw.stop.may_start(self.deadline, usual, is_long, now) {
            return true;
        }
        emit!(
            info,
            REFUSED_STOPPING,
            request = self.caller.id,
            route = %self.route.name,
            long = is_long,
            usual_ms = usual.map(|usual| usual.bound.as_millis()),
            holds = usual.map(|usual| usual.holds),
            left_ms = self.deadline.since(now).as_millis(),
            attempts = self.attempts
        );
        false
    }

    /// Records how long the replica took for a complete response.
    pub(super) fn record_answer_time(&self, in_flight: &InFlightCall) {
        if !in_flight.was_suspended() {
            self.gw.answer_times().record(&self.route.name, in_flight.age());
        }
    }
}

/// Counts a call as open until it is dropped.
#[derive(Debug)]
pub(super) struct OpenCallGuard {
    gw: Arc<Gateway>,
    route: Arc<str>,
    call: OpenCall,
}

impl OpenCallGuard {
    /// Counts a call on a route that is about to be sent.
    pub(super) fn begin(gw: &Arc<Gateway>, route: &Arc<str>) -> Self {
        let call = gw.answer_times().begin(route, gw.now());
        Self { gw: Arc::clone(gw), route: Arc::clone(route), call }
    }
}

impl Drop for OpenCallGuard {
    fn drop(&mut self) {
        self.gw.answer_times().end(&self.route, self.call);
    }
}

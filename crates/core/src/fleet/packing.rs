//! Where long answers go, among the engines that can answer.
//!
//! They are kept together on few engines, so that the others read undisturbed or can change their role, but
//! each ends in time and goes on without long pauses: an engine computes all its answers together, and each
//! goes on the slower the more it has. Answers that are likely to be short go where others go on slowest
//! already, and leave the rest to those that need it.

use crate::{
    fleet::{Fleet, ServiceState, engine::answer_pace::AnswerPace, plan::RouteRequest, replica::Replica},
    time::Time,
};

/// Milliseconds that an engine counts more at most for a long answer that ends there in time.
const PACKING_MS: f64 = 40.0;
/// How many times that an engine counts more where the last event would come too late by the whole time left.
/// A tenth of that time counts as much as opening an empty engine, so that answers go where all of them
/// go on fastest once no engine has room.
const LATENESS_WEIGHT: f64 = 10.0;

/// What placing one long answer goes by, the same for all engines of its service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Placement<'a> {
    /// How fast answers go on; absent while nothing is known of that.
    pace: Option<&'a AnswerPace>,
    /// Milliseconds between two events at which the answer ends in time.
    max_interval_ms: f64,
    /// Part of an engine's slots that long answers may take.
    packed_share: f64,
}

impl Placement<'_> {
    /// Milliseconds that a replica counts more for the answer.
    ///
    /// While nothing is known of their pace, engines are filled one after the other.
    pub(super) fn cost_ms(&self, replica: &Replica) -> f64 {
        let slots = f64::from(replica.facts.slots) * self.packed_share;
        let streams = f64::from(replica.streams());
        let overfull = ((streams - slots) / slots).max(0.0);
        let Some(pace) = self.pace else {
            return PACKING_MS * if streams < slots { 1.0 - streams / slots } else { 1.0 + overfull };
        };
        let interval_ms = replica.interval_ms(pace, replica.streams() + 1);
        let lateness = interval_ms / self.max_interval_ms - 1.0;
        if streams >= slots || lateness > 0.0 {
            return PACKING_MS * (1.0 + overfull + lateness.max(0.0) * LATENESS_WEIGHT);
        }
        let slowest_ms = pace.interval_ms(slots);
        PACKING_MS * (1.0 - interval_ms / slowest_ms).max(0.0)
    }
}

impl Fleet {
    /// What placing an answer goes by; absent if it is not a long one, or nobody knows where others are.
    pub(super) fn placement(&self, req: &RouteRequest<'_>, long: bool, now: Time) -> Option<Placement<'_>> {
        if !long || self.is_warming_up(now) {
            return None;
        }
        let packed_share = self.policy.packed_share;
        let unknown = Placement { pace: None, max_interval_ms: f64::INFINITY, packed_share };
        let Some(state) = self.services.get(req.service).filter(|state| state.engine.answer_pace.is_known()) else {
            return Some(unknown);
        };
        let pace = &state.engine.answer_pace;
        let lengths_known = state.long_answers.is_some_and(|long| long.lengths_known_from.is_past(now));
        let likely = req.prompt.and_then(|prompt| pace.likely_max_events(prompt, lengths_known));
        let max_interval_ms = match likely {
            Some(events) => (req.time_left.as_millis_f64() * self.policy.answer_share / events)
                .min(Self::max_steady_interval_ms(state)),
            // However long they are, they end soonest where they go on fastest.
            None => pace.interval_ms(0.0),
        };
        let max_interval_ms = max_interval_ms.max(f64::MIN_POSITIVE);
        Some(Placement { pace: Some(pace), max_interval_ms, packed_share })
    }

    /// Milliseconds between two events on average at which single ones hardly pause beyond what is in time.
    fn max_steady_interval_ms(state: &ServiceState) -> f64 {
        state.max_pause.map_or(f64::INFINITY, |pause| state.engine.answer_pace.max_mean_interval_ms(pause))
    }

    /// Long answers that a usual engine of a service can have at once so that the longest end in time and none
    /// pauses for too long; absent while their pace or lengths are not known.
    pub(super) fn max_answers(&self, state: &ServiceState, now: Time) -> Option<f64> {
        let pace = &state.engine.answer_pace;
        let long = state.long_answers.filter(|_| pace.is_known())?;
        let events = pace.max_events(long.tokens, long.lengths_known_from.is_past(now))?;
        let in_time_ms = long.limit.as_millis_f64() * self.policy.answer_share / events;
        Some(pace.max_answers(in_time_ms.min(Self::max_steady_interval_ms(state))))
    }

    /// Whether the longest answers that a replica has end in time though it also reads prompts. Reading
    /// takes a fifth of the time of engines with long answers under load; where the last events are
    /// late already, engines that only read do it.
    pub(super) fn has_decode_slack(&self, replica: &Replica, now: Time) -> bool {
        let Some(state) = self.services.get(&replica.facts.service) else {
            return true;
        };
        let pace = &state.engine.answer_pace;
        let (Some(long), true) = (state.long_answers, pace.is_known()) else {
            return true;
        };
        let Some(events) = pace.max_events(long.tokens, long.lengths_known_from.is_past(now)) else {
            return true;
        };
        replica.interval_ms(pace, replica.streams()) * events <= long.limit.as_millis_f64() * self.policy.answer_share
    }
}

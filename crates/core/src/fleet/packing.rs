//! Placement of long answers on engines.
//!
//! Long answers are packed on few engines, so that the others can prefill undisturbed or change their role, as long
//! as each ends in time and has no long pauses. An engine computes a step for all its answers together, so each
//! answer proceeds more slowly the more of them there are. Answers that are probably short are placed on the engines
//! that are already slowest, which leaves the others to answers that need them.

use crate::{
    fleet::{Fleet, ServiceState, engine::answer_pace::AnswerPace, plan::RouteRequest, replica::Replica},
    time::Time,
};

/// Maximum cost in milliseconds of an engine on which a long answer ends in time.
const PACKING_MS: f64 = 40.0;
/// Multiple of [`PACKING_MS`] that an engine costs if the last event would be late by the whole remaining time. Being
/// late by a tenth of that time costs as much as using an empty engine, so that answers go where all of them proceed
/// fastest once no engine has room.
const LATENESS_WEIGHT: f64 = 10.0;

/// Inputs for the placement of one long answer, which are the same for all engines of its service.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementInput<'a> {
    /// The pace of answers; `None` while it is not known.
    pace: Option<&'a AnswerPace>,
    /// Longest interval in milliseconds between two events with which the answer ends in time.
    max_interval_ms: f64,
    /// Share of an engine's slots that long answers may use.
    packed_share: f64,
}

impl PlacementInput<'_> {
    /// Cost in milliseconds of placing the answer on a replica.
    ///
    /// While the pace is not known, engines are filled one after the other.
    pub(super) fn cost_ms(&self, replica: &Replica) -> f64 {
        let slots = f64::from(replica.facts.slots) * self.packed_share;
        let long_answers = f64::from(replica.long_answers());
        let excess = ((long_answers - slots) / slots).max(0.0);
        let Some(pace) = self.pace else {
            return PACKING_MS * if long_answers < slots { 1.0 - long_answers / slots } else { 1.0 + excess };
        };
        let interval_ms = replica.interval_ms(pace, replica.long_answers() + 1);
        let lateness = interval_ms / self.max_interval_ms - 1.0;
        if long_answers >= slots || lateness > 0.0 {
            return PACKING_MS * (1.0 + excess + lateness.max(0.0) * LATENESS_WEIGHT);
        }
        let slowest_ms = pace.interval_ms(slots);
        PACKING_MS * (1.0 - interval_ms / slowest_ms).max(0.0)
    }
}

impl Fleet {
    /// Inputs for the placement of an answer; `None` if it is not long or this daemon does not know its peers' load
    /// yet.
    pub(super) fn placement_input(&self, req: &RouteRequest<'_>, long: bool, now: Time) -> Option<PlacementInput<'_>> {
        if !long || self.is_warming_up(now) {
            return None;
        }
        let packed_share = self.policy.packed_share;
        let without_pace = PlacementInput { pace: None, max_interval_ms: f64::INFINITY, packed_share };
        let Some(state) = self.services.get(req.service).filter(|state| state.engine.answer_pace.is_known()) else {
            return Some(without_pace);
        };
        let pace = &state.engine.answer_pace;
        let lengths_known = state.long_answer_limits.is_some_and(|long| long.lengths_known_from.is_past(now));
        let likely_events = req.prompt.and_then(|prompt| pace.likely_max_events(prompt, lengths_known));
        let max_interval_ms = match likely_events {
            Some(events) => (req.time_left.as_millis_f64() * self.policy.answer_share / events)
                .min(Self::max_steady_interval_ms(state)),
            // Whatever their length, answers end soonest where they proceed fastest.
            None => pace.interval_ms(0.0),
        };
        let max_interval_ms = max_interval_ms.max(f64::MIN_POSITIVE);
        Some(PlacementInput { pace: Some(pace), max_interval_ms, packed_share })
    }

    /// Mean interval in milliseconds between events up to which few single intervals exceed the accepted pause.
    fn max_steady_interval_ms(state: &ServiceState) -> f64 {
        state.max_pause.map_or(f64::INFINITY, |pause| state.engine.answer_pace.max_mean_interval_ms(pause))
    }

    /// Number of long answers that a usual engine can have so that the longest end in time and none pauses for too
    /// long; `None` while their pace or lengths are not known.
    pub(super) fn max_answers(&self, state: &ServiceState, now: Time) -> Option<f64> {
        let pace = &state.engine.answer_pace;
        let long = state.long_answer_limits.filter(|_| pace.is_known())?;
        let events = pace.max_events(long.max_output, long.lengths_known_from.is_past(now))?;
        let in_time_ms = long.time_limit.as_millis_f64() * self.policy.answer_share / events;
        Some(pace.max_answers(in_time_ms.min(Self::max_steady_interval_ms(state))))
    }

    /// Whether a replica's longest answers end in time even if it also prefills prompts. Under load prefill takes a
    /// fifth of the time of engines with long answers. If their last events would already be late, prefill is left to
    /// engines that only prefill.
    pub(super) fn has_decode_slack(&self, replica: &Replica, now: Time) -> bool {
        let Some(state) = self.services.get(&replica.facts.service) else {
            return true;
        };
        let pace = &state.engine.answer_pace;
        let (Some(long), true) = (state.long_answer_limits, pace.is_known()) else {
            return true;
        };
        let Some(events) = pace.max_events(long.max_output, long.lengths_known_from.is_past(now)) else {
            return true;
        };
        replica.interval_ms(pace, replica.long_answers()) * events
            <= long.time_limit.as_millis_f64() * self.policy.answer_share
    }
}

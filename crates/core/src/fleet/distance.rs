//! Latencies to the halls, learned from the time that connections to their replicas take.

use std::sync::Arc;

use crate::{fleet::engine::running_mean::RunningMean, time::Span};

/// Minimum weight of a new observation.
const MIN_WEIGHT: f64 = 0.05;
/// Longer observations count as this multiple of the mean: most of the excess is waiting time.
const MAX_OUTLIER_FACTOR: f64 = 3.0;
/// Number of connections after which a latency counts as known.
const MIN_OBSERVATIONS: u32 = 5;
/// Round trips of a call: one for the connection, one for the request and the first bytes of the response.
const ROUND_TRIPS_PER_CALL: f64 = 2.0;

/// Index of a hall in [`HallLatencies`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct HallKey(usize);

/// Learned latencies of the halls that have replicas.
#[derive(Clone, Debug, Default)]
pub(super) struct HallLatencies {
    halls: Vec<Hall>,
}

#[derive(Clone, Debug)]
struct Hall {
    name: Arc<str>,
    round_trip_ms: RunningMean,
    observations: u32,
}

impl HallLatencies {
    /// The index of a hall, which is added if it is new.
    pub(super) fn key(&mut self, name: &Arc<str>) -> HallKey {
        let known = self.halls.iter().position(|hall| hall.name == *name);
        HallKey(known.unwrap_or_else(|| {
            self.halls.push(Hall {
                name: Arc::clone(name),
                round_trip_ms: RunningMean::new(0.0, MIN_WEIGHT),
                observations: 0,
            });
            self.halls.len() - 1
        }))
    }

    /// Learns from the time that a connection took.
    pub(super) fn learn(&mut self, key: HallKey, took: Span) {
        if let Some(hall) = self.halls.get_mut(key.0) {
            let max_ms = if hall.observations >= MIN_OBSERVATIONS {
                hall.round_trip_ms.value() * MAX_OUTLIER_FACTOR
            } else {
                f64::INFINITY
            };
            hall.round_trip_ms.learn(took.as_millis_f64().min(max_ms));
            hall.observations = hall.observations.saturating_add(1);
        }
    }

    /// Milliseconds by which a call to a hall takes longer than one to the nearest; zero while its latency is not
    /// known.
    pub(super) fn extra_ms(&self, key: HallKey) -> f64 {
        let Some(hall) = self.halls.get(key.0).filter(|hall| hall.observations >= MIN_OBSERVATIONS) else {
            return 0.0;
        };
        let known = self.halls.iter().filter(|hall| hall.observations >= MIN_OBSERVATIONS);
        let nearest = known.map(|hall| hall.round_trip_ms.value()).fold(f64::INFINITY, f64::min);
        (hall.round_trip_ms.value() - nearest).max(0.0) * ROUND_TRIPS_PER_CALL
    }
}

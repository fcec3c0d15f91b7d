//! Load shedding: cost of the waiting requests, and which of them to refuse.

use super::{Action, Dispatcher, MIN_ENDPOINT_SHARE, Refusal};
use crate::{
    endpoint::PoolKey,
    queue::{Job, jobs_to_drop},
    request::{Request, RequestKey},
    time::Time,
};

impl Dispatcher {
    /// Refuses waiting requests that would make others miss their deadlines.
    pub(super) fn shed(&mut self, pool: PoolKey, now: Time, actions: &mut Vec<Action>) {
        if self.pools[pool].queue.is_empty() {
            return;
        }
        let jobs: Vec<_> = self.pools[pool].queue.iter().map(|key| self.job(key, now)).collect();
        for key in jobs_to_drop(&jobs, self.pools[pool].endpoint_share) {
            self.refuse(key, Refusal::TooLate, Vec::new(), now, actions);
        }
    }

    fn job(&self, key: RequestKey, now: Time) -> Job {
        let request = &self.requests[key];
        let spec = &request.spec;
        let rates = self.pools[spec.pool].rates;
        let service_time = f64::from(spec.prompt_tokens) / rates.prefill
            + f64::from(request.remaining_tokens()) * (rates.step + rates.step_per_seq);
        Job {
            key,
            cost: self.cost(request),
            start_by: spec.deadline.since(now).as_seconds() - service_time,
            weight: spec.kind.weight,
            can_drop: request.delivered == 0,
        }
    }

    /// Seconds of work that the request adds to one engine with a full batch.
    fn cost(&self, request: &Request) -> f64 {
        let rates = self.pools[request.spec.pool].rates;
        let slots = f64::from(rates.slots.max(1));
        let seconds_per_token = (rates.step + rates.step_per_seq * slots) / slots;
        f64::from(request.spec.prompt_tokens) / rates.prefill
            + f64::from(request.remaining_tokens()) * seconds_per_token
    }

    pub(super) fn queued_cost(&self, pool: PoolKey) -> f64 {
        self.pools[pool].queue.iter().map(|key| self.cost(&self.requests[key])).sum()
    }

    pub(super) fn update_endpoint_share(&mut self, pool: PoolKey, now: Time) {
        let index = &self.pools[pool].index;
        let all = index.serving_endpoints().chain(index.prefill_endpoints().iter().copied());
        let open = all.filter(|key| self.endpoints.0[*key].is_open(now)).count();
        self.pools[pool].endpoint_share = (open as f64 / self.live_daemons as f64).max(MIN_ENDPOINT_SHARE);
    }
}

//! Upper bound on the goodput of any policy.
//!
//! The bound relaxes the problem: engines always run full batches, never wait for prompts, keep each
//! prefix cached after its first use, and may serve fractions of requests. The optimum is then to
//! serve requests in descending order of weight per cost until the engines' time is used up. Each
//! engine has the time of the run plus the longest deadline.

use std::collections::HashSet;

use stand_ins::model::ModelParams;

use crate::workload::{Arrival, User, cost};

/// Returns the largest total weight of requests that could be answered in time.
#[must_use]
pub fn max_goodput(arrivals: &[Arrival], user: User, engines: usize, seconds: f64, params: &ModelParams) -> f64 {
    let kinds = user.kinds();
    let longest_deadline = kinds.iter().map(|k| k.deadline).fold(0.0, f64::max);
    let mut seen = HashSet::new();
    let mut jobs: Vec<(f64, f64)> = arrivals
        .iter()
        .map(|a| {
            let cached = if seen.insert(a.prefix) { 0.0 } else { params.cached_share };
            let prompt = f64::from(a.prompt) * (1.0 - cached);
            (kinds[a.kind].traits.weight, cost(prompt, f64::from(a.output), params))
        })
        .collect();
    jobs.sort_by(|a, b| (b.0 / b.1).total_cmp(&(a.0 / a.1)));
    let mut remaining = engines as f64 * (seconds + longest_deadline);
    let mut total = 0.0;
    for (weight, cost) in jobs {
        let fraction = (remaining / cost).min(1.0);
        total += weight * fraction;
        remaining -= cost * fraction;
        if remaining <= 0.0 {
            break;
        }
    }
    total
}

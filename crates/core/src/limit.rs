//! Request rate limits per team, split over the live daemons.
//!
//! Each daemon enforces its share. The load balancer spreads callers evenly, so the shares add up to the team's
//! limit without any messages. When a daemon terminates, the shares of the others grow as soon as membership reports
//! it.

use std::collections::HashMap;

use crate::{bucket::TokenBucket, time::Time};

/// Burst of a team in seconds of its rate.
const BURST_SECONDS: f64 = 2.0;

/// Rate limits of all teams on one daemon.
#[derive(Debug, Default)]
pub struct TeamLimits {
    rates: HashMap<String, f64>,
    buckets: HashMap<String, TokenBucket>,
    live_daemons: usize,
}

impl TeamLimits {
    /// Sets the rates of the teams, in requests per second over all daemons, and the number of live daemons.
    pub fn configure(&mut self, rates: HashMap<String, f64>, live_daemons: usize, now: Time) {
        self.live_daemons = live_daemons.max(1);
        self.buckets.retain(|team, _| rates.contains_key(team));
        self.rates = rates;
        for (team, rate) in &self.rates {
            let share = rate / self.live_daemons as f64;
            let burst = (share * BURST_SECONDS).max(1.0);
            self.buckets
                .entry(team.clone())
                .and_modify(|bucket| bucket.resize(share, burst, now))
                .or_insert_with(|| TokenBucket::new(share, burst, now));
        }
    }

    /// Takes one request from the limit of `team`.
    ///
    /// # Errors
    /// Returns the time from which the team may send again. A team without a limit is never refused.
    pub fn take(&mut self, team: &str, now: Time) -> Result<(), Time> {
        let Some(bucket) = self.buckets.get_mut(team) else {
            return Ok(());
        };
        if bucket.take(1.0, now) {
            return Ok(());
        }
        Err(bucket.available_at(1.0, now))
    }
}

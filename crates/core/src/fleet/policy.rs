//! Policy parameters that operators may set; docs/POLICY.md describes their effects.

use serde::Deserialize;

/// Parameters of replica selection, roles and pool sizes.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FleetPolicy {
    /// Share of the remaining objective that the predicted time to the first event may use; requests above it are
    /// planned as late.
    pub admit_share: f64,
    /// Like `admit_share`, for requests whose caller appears to be retrying after a refusal.
    pub admit_share_returned: f64,
    /// Share of the time until the caller disconnects that the prediction for a late request may use; requests above
    /// it are refused.
    pub late_share: f64,
    /// Share of an engine's KV cache that is assumed to hold parts of earlier prompts.
    pub cache_share: f64,
    /// Cost in milliseconds of each thousand copied tokens, since they evict other parts.
    pub copy_cost_ms: f64,
    /// Cost in milliseconds of a step in another hall: latency and paid traffic.
    pub other_hall_ms: f64,
    /// Share of an engine's slots that long answers may use before they are placed on another engine.
    pub packed_share: f64,
    /// Share of the remaining time in which the last event of the longest answers must be expected at the learned
    /// pace. Engines on which it is not expected get no long answers while others have room. The rest of the time is
    /// reserved for answers that are added later and for prompts prefilled on the same engine.
    pub answer_share: f64,
    /// Longest pause in milliseconds between events of a stream that callers accept, if none is configured.
    pub pause_ms: f64,
    /// Share of the accepted pause, beyond the usual interval, that a single prefill on the same engine may take;
    /// longer ones go to engines without long answers.
    pub pause_share: f64,
    /// Share of a service's engines that prefill before any demand was seen; 0 keeps the roles as they are. Equal
    /// halves cost least whichever side the demand turns out to be on.
    pub first_read_share: f64,
    /// Share of the required engines that cannot be reclaimed, whatever the price of reclaimable ones: after all
    /// reclaimable engines in every hall are gone, urgent requests and long answers must still be served.
    pub pool_staying_share: f64,
    /// Pool size up to which cheap reclaimable engines are added, as a multiple of the engines that the highest recent
    /// demand requires. A burst is over before a new engine has started, so the engines must be there in advance.
    pub pool_headroom: f64,
    /// Target utilization of a prefill engine: the share of its time in which it prefills.
    pub read_share: f64,
    /// Target share of a decode engine's slots that long answers use.
    pub slot_share: f64,
}

impl Default for FleetPolicy {
    fn default() -> Self {
        Self {
            admit_share: 0.9,
            admit_share_returned: 0.9,
            late_share: 0.7,
            cache_share: 0.93,
            copy_cost_ms: 3.0,
            other_hall_ms: 5.0,
            packed_share: 0.8,
            answer_share: 0.85,
            pause_ms: 150.0,
            pause_share: 0.27,
            first_read_share: 0.5,
            pool_staying_share: 0.1,
            pool_headroom: 1.5,
            read_share: 0.6,
            slot_share: 0.75,
        }
    }
}

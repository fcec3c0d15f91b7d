//! Prediction of response times from a somewhat stale view of an endpoint.

use crate::{
    endpoint::{Endpoint, Role},
    request::RequestSpec,
    time::Time,
};

/// Weight of a new observation in a learned rate.
const LEARNING_RATE: f64 = 0.05;
/// Share of a prompt that a cached prefix saves.
const CACHED_PREFIX_SAVING: f64 = 0.5;
/// Seconds to transfer the KV cache of a thousand prompt tokens between engines.
pub const TRANSFER_PER_KTOKEN: f64 = 0.004;
/// Fixed cost in seconds of a KV cache transfer.
pub const TRANSFER_BASE: f64 = 0.005;
/// Maximum ratio between a learned and the configured rate. On a mixed engine, prompts between the decode steps
/// make a step up to eight times as long as in a batch that only decodes.
const LEARNED_RATE_BOUND: f64 = 10.0;

/// Predicted times of a request at an endpoint, in seconds from now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Time to the first token.
    pub first_token: f64,
    /// Time to the whole answer.
    pub total: f64,
}

/// Prompt tokens of `spec` that `endpoint` would have to prefill, given its cached prefixes.
#[must_use]
pub fn uncached(endpoint: &Endpoint, spec: &RequestSpec) -> f64 {
    let tokens = f64::from(spec.prompt_tokens);
    if endpoint.prefixes.contains_key(&spec.prefix) { tokens * (1.0 - CACHED_PREFIX_SAVING) } else { tokens }
}

/// Prompt tokens queued at `endpoint`: the last report, what was sent since, and what peers sent, less what was
/// prefilled since the report.
#[must_use]
pub fn backlog(endpoint: &Endpoint, now: Time) -> f64 {
    let age = now.since(endpoint.report_at).as_seconds();
    let sum =
        f64::from(endpoint.report.queued_prefill) + endpoint.own_tokens_since_report + endpoint.peer_prefill_tokens;
    let aged = (sum - age * endpoint.rates.prefill).max(0.0);
    // Requests of this daemon without a token yet cannot have been prefilled; at least half of their uncached
    // tokens count.
    aged.max(endpoint.own_prefill_tokens * 0.5)
}

/// Seconds of one decode step after one more sequence has joined the batch.
#[must_use]
pub fn step(endpoint: &Endpoint) -> f64 {
    let batch = endpoint.report.running.max(endpoint.window.in_flight());
    let batch = f64::from(batch.min(endpoint.rates.slots)) + 1.0;
    endpoint.rates.step + endpoint.rates.step_per_seq * batch
}

/// Seconds until a slot in the batch is free.
fn slot_wait(endpoint: &Endpoint, spec: &RequestSpec) -> f64 {
    let running = endpoint.report.running + endpoint.report.waiting;
    let ahead = running.max(endpoint.window.in_flight());
    let excess = f64::from(ahead.saturating_sub(endpoint.rates.slots));
    let each = f64::from(spec.output_tokens) * step(endpoint);
    excess * each / f64::from(endpoint.rates.slots.max(1))
}

/// Predicts the response times of `spec` at `endpoint`, with its prompt prefilled there or before at `prefill`.
#[must_use]
pub fn predict(
    endpoint: &Endpoint,
    prefill: Option<&Endpoint>,
    spec: &RequestSpec,
    remaining: u32,
    now: Time,
) -> Prediction {
    if endpoint.role == Role::Plain {
        let calls = f64::from(endpoint.window.in_flight() + 1);
        let slots = f64::from(endpoint.rates.slots.max(1));
        let total = endpoint.rates.step * (calls / slots).max(1.0);
        return Prediction { first_token: total, total };
    }
    let at = prefill.unwrap_or(endpoint);
    let mut first_token = (backlog(at, now) + uncached(at, spec)) / at.rates.prefill;
    if prefill.is_some() {
        first_token += TRANSFER_BASE + TRANSFER_PER_KTOKEN * f64::from(spec.prompt_tokens) / 1_000.0;
    }
    first_token += slot_wait(endpoint, spec) + step(endpoint);
    let total = first_token + f64::from(remaining.saturating_sub(1)) * step(endpoint);
    Prediction { first_token, total }
}

/// Seconds by which the prompt of `spec` delays decoding on `endpoint`, summed over its sequences.
#[must_use]
pub fn interference(endpoint: &Endpoint, spec: &RequestSpec) -> f64 {
    let running = endpoint.report.running.max(endpoint.window.in_flight());
    f64::from(running) * uncached(endpoint, spec) / endpoint.rates.prefill
}

/// Updates the prefill rate from a first token that took `seconds` for `tokens` of work.
pub fn learn_prefill(endpoint: &mut Endpoint, tokens: f64, seconds: f64, configured: f64) {
    if seconds <= 0.0 || tokens < 64.0 {
        return;
    }
    let observed = (tokens / seconds).clamp(configured / LEARNED_RATE_BOUND, configured * LEARNED_RATE_BOUND);
    endpoint.rates.prefill += LEARNING_RATE * (observed - endpoint.rates.prefill);
}

/// Updates the step time from a token that came `seconds` after the previous one.
pub fn learn_step(endpoint: &mut Endpoint, seconds: f64, configured: f64) {
    let batch = f64::from(endpoint.window.in_flight().max(endpoint.report.running).max(1));
    let base = seconds - endpoint.rates.step_per_seq * batch;
    let observed = base.clamp(configured / LEARNED_RATE_BOUND, configured * LEARNED_RATE_BOUND);
    endpoint.rates.step += LEARNING_RATE * (observed - endpoint.rates.step);
}

/// Updates the response time of a plain service from an attempt that took `took`.
pub fn learn_plain(endpoint: &mut Endpoint, took: crate::time::Span) {
    if endpoint.role == Role::Plain {
        endpoint.rates.step += LEARNING_RATE * (took.as_seconds() - endpoint.rates.step);
    }
}

//! How long an endpoint would take, from a view that is somewhat old.

use crate::{
    endpoint::{Endpoint, Role},
    request::RequestSpec,
    time::Time,
};

/// Weight of a new observation in a learned rate.
const LEARNING_RATE: f64 = 0.05;
/// Share of a prompt that a cached prefix saves.
const CACHED_PREFIX_SAVING: f64 = 0.5;
/// Seconds to move a prompt's KV cache between engines, for each thousand tokens.
pub const TRANSFER_PER_KTOKEN: f64 = 0.004;
/// Seconds of fixed cost of such a move.
pub const TRANSFER_BASE: f64 = 0.005;
/// Bounds of a learned rate against the configured one. Prompts between the steps of a mixed
/// engine make a step up to eight times as long as in a batch that only generates.
const LEARNED_RATE_BOUND: f64 = 10.0;

/// The predicted times of one request at one endpoint, in seconds from now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Until the first token.
    pub first_token: f64,
    /// Until the whole answer.
    pub total: f64,
}

/// Prompt tokens that `endpoint` would have to process for `spec`.
#[must_use]
pub fn uncached(endpoint: &Endpoint, spec: &RequestSpec) -> f64 {
    let tokens = f64::from(spec.prompt_tokens);
    if endpoint.prefixes.contains_key(&spec.prefix) { tokens * (1.0 - CACHED_PREFIX_SAVING) } else { tokens }
}

/// Prompt tokens before a new one at `endpoint`: the report aged, own and peers' since.
#[must_use]
pub fn backlog(endpoint: &Endpoint, now: Time) -> f64 {
    let age = now.since(endpoint.report_at).as_seconds();
    let sum =
        f64::from(endpoint.report.queued_prefill) + endpoint.own_tokens_since_report + endpoint.peer_prefill_tokens;
    let aged = (sum - age * endpoint.rates.prefill).max(0.0);
    // What this daemon knows to be unanswered there cannot have been processed.
    aged.max(endpoint.own_prefill_tokens * 0.5)
}

/// Seconds of one decode step at the batch that a new sequence would meet.
#[must_use]
pub fn step(endpoint: &Endpoint) -> f64 {
    let batch = endpoint.report.running.max(endpoint.window.in_flight());
    let batch = f64::from(batch.min(endpoint.rates.slots)) + 1.0;
    endpoint.rates.step + endpoint.rates.step_per_seq * batch
}

/// Seconds until a place in the batch is free.
fn slot_wait(endpoint: &Endpoint, spec: &RequestSpec) -> f64 {
    let running = endpoint.report.running + endpoint.report.waiting;
    let ahead = running.max(endpoint.window.in_flight());
    let over = f64::from(ahead.saturating_sub(endpoint.rates.slots));
    let each = f64::from(spec.output_tokens) * step(endpoint);
    over * each / f64::from(endpoint.rates.slots.max(1))
}

/// Predict `spec` at `endpoint`, its prompt processed there or, at `prefill`, before.
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
        let whole = endpoint.rates.step * (calls / slots).max(1.0);
        return Prediction { first_token: whole, total: whole };
    }
    let at = prefill.unwrap_or(endpoint);
    let mut first = (backlog(at, now) + uncached(at, spec)) / at.rates.prefill;
    if prefill.is_some() {
        first += TRANSFER_BASE + TRANSFER_PER_KTOKEN * f64::from(spec.prompt_tokens) / 1_000.0;
    }
    first += slot_wait(endpoint, spec) + step(endpoint);
    let whole = first + f64::from(remaining.saturating_sub(1)) * step(endpoint);
    Prediction { first_token: first, total: whole }
}

/// Seconds by which `spec`'s prompt holds up what `endpoint` generates, summed over its sequences.
#[must_use]
pub fn interference(endpoint: &Endpoint, spec: &RequestSpec) -> f64 {
    let running = endpoint.report.running.max(endpoint.window.in_flight());
    f64::from(running) * uncached(endpoint, spec) / endpoint.rates.prefill
}

/// Learn the prefill rate from a first token that took `seconds` for `tokens` of work.
pub fn learn_prefill(endpoint: &mut Endpoint, tokens: f64, seconds: f64, configured: f64) {
    if seconds <= 0.0 || tokens < 64.0 {
        return;
    }
    let observed = (tokens / seconds).clamp(configured / LEARNED_RATE_BOUND, configured * LEARNED_RATE_BOUND);
    endpoint.rates.prefill += LEARNING_RATE * (observed - endpoint.rates.prefill);
}

/// Learn the step from a token that came `seconds` after the one before.
pub fn learn_step(endpoint: &mut Endpoint, seconds: f64, configured: f64) {
    let batch = f64::from(endpoint.window.in_flight().max(endpoint.report.running).max(1));
    let base = seconds - endpoint.rates.step_per_seq * batch;
    let observed = base.clamp(configured / LEARNED_RATE_BOUND, configured * LEARNED_RATE_BOUND);
    endpoint.rates.step += LEARNING_RATE * (observed - endpoint.rates.step);
}

/// Learn a plain service's time from a call that took `took`.
pub fn learn_plain(endpoint: &mut Endpoint, took: crate::time::Span) {
    if endpoint.role == Role::Plain {
        endpoint.rates.step += LEARNING_RATE * (took.as_seconds() - endpoint.rates.step);
    }
}

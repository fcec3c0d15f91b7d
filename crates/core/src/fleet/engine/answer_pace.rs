//! Interval between the events of long answers by the load of their engine, and their maximum number of events.
//!
//! An engine decodes its answers in one batch, so the interval between two events grows with the number of answers.
//! The maximum time until the last event of an answer follows from this interval and the maximum number of events.

use crate::{
    fleet::engine::{least_squares::LeastSquares, running_quantile::RunningQuantile},
    prompt::Prompt,
    time::Span,
};

/// Initial guess: milliseconds between two events, and milliseconds that ten answers add.
const INITIAL_WEIGHTS: [f64; 2] = [40.0, 4.0];
/// Uncertainty of each initial weight.
const INITIAL_SIGMAS: [f64; 2] = [60.0, 10.0];
/// Longer intervals count as this multiple of the prediction: a pause is not the pace.
const OUTLIER_FACTOR: f64 = 2.0;
/// Number of observed parts of streams after which the pace is used.
const MIN_OBSERVATIONS: u32 = 10;
/// The maximum number of events is known once finished answers have reached this share of the most events that any
/// answer in progress has had.
const LENGTHS_KNOWN_SHARE: f64 = 0.9;
/// Initial bound on the length of answers, as a multiple of their callers' hints.
const INITIAL_HINT_FACTOR: f64 = 2.0;
/// Initial bound on the longest interval of a stream, as a multiple of its mean interval.
const INITIAL_PAUSE_FACTOR: f64 = 2.0;
/// Share of the streams whose longest interval should lie within that bound.
const PAUSE_QUANTILE: f64 = 0.8;
/// Minimum number of events of a stream for its longest interval to be representative.
const MIN_PAUSE_EVENTS: u64 = 8;
/// Share of the answers whose length should lie within its bound.
const HINT_QUANTILE: f64 = 0.9;
/// Share by which the maximum number of events per token decays with each part of a stream. At a few hundred parts a
/// second on a busy service, a length that is not seen again is forgotten in minutes.
const DECAY: f64 = 0.0002;

/// Learned pace of long answers of the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct AnswerPace {
    fit: LeastSquares<2>,
    /// Most events per permitted output token, of answers that were still in progress.
    ongoing_events_per_token: f64,
    /// Most events per permitted output token, of finished answers.
    finished_events_per_token: f64,
    /// Bound on the events of an answer, as a multiple of the caller's hint; nine in ten answers do not exceed it.
    hint_factor: RunningQuantile,
    /// Bound on the longest interval of a stream, as a multiple of its mean interval; four in five streams do not
    /// exceed it.
    pause_factor: RunningQuantile,
}

impl Default for AnswerPace {
    fn default() -> Self {
        Self {
            fit: LeastSquares::new(INITIAL_WEIGHTS, INITIAL_SIGMAS),
            ongoing_events_per_token: 0.0,
            finished_events_per_token: 0.0,
            hint_factor: RunningQuantile::new(INITIAL_HINT_FACTOR, HINT_QUANTILE),
            pause_factor: RunningQuantile::new(INITIAL_PAUSE_FACTOR, PAUSE_QUANTILE),
        }
    }
}

impl AnswerPace {
    /// Whether there were enough observations to use the pace.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.fit.observations() >= MIN_OBSERVATIONS
    }

    /// Predicted milliseconds between two events at a usual engine with so many long answers.
    #[must_use]
    pub fn interval_ms(&self, answers: f64) -> f64 {
        self.fit.predict(&features(answers))
    }

    /// Maximum number of events of an answer with at most `tokens` tokens.
    ///
    /// `None` before the first answer, and while one is in progress that is longer than any finished one, unless the
    /// longest answers must have finished by now (`lengths_known`).
    #[must_use]
    pub fn max_events(&self, tokens: u32, lengths_known: bool) -> Option<f64> {
        let max = self.max_events_for(tokens);
        let is_known =
            lengths_known || self.finished_events_per_token >= self.ongoing_events_per_token * LENGTHS_KNOWN_SHARE;
        (is_known && max > 0.0).then_some(max)
    }

    /// Number of events that nine in ten such answers do not exceed, by the caller's hint if there is one.
    ///
    /// `None` while it is not known.
    #[must_use]
    pub fn likely_max_events(&self, prompt: &Prompt, lengths_known: bool) -> Option<f64> {
        let max = self.max_events(prompt.max_output, lengths_known)?;
        let likely = prompt.output_hint.map(|hint| self.max_events_for(hint) * self.hint_factor.value());
        Some(likely.unwrap_or(max).min(max).max(1.0))
    }

    /// Maximum milliseconds for an answer with at most `tokens` tokens, alone at a usual engine.
    ///
    /// `None` before the first observation.
    #[must_use]
    pub fn max_duration_ms(&self, tokens: u32) -> Option<f64> {
        let events = self.max_events_for(tokens);
        (events > 0.0).then(|| events * self.interval_ms(0.0))
    }

    /// Number of concurrent long answers up to which a usual engine keeps this interval between events; at least one.
    #[must_use]
    pub fn max_answers(&self, interval_ms: f64) -> f64 {
        let [base_ms, ten_answers_ms] = self.fit.weights();
        let slack_ms = (interval_ms - base_ms).max(0.0);
        if ten_answers_ms > 0.0 { (slack_ms / ten_answers_ms * 10.0).max(1.0) } else { f64::INFINITY }
    }

    /// Mean milliseconds between two events up to which few streams have a longer pause than this.
    #[must_use]
    pub fn max_mean_interval_ms(&self, pause: Span) -> f64 {
        pause.as_millis_f64() / self.pause_factor.value().max(1.0)
    }

    /// Learns from the longest interval of a complete stream.
    pub fn learn_pause(&mut self, events: u64, interval: Span, longest: Span) {
        if events >= MIN_PAUSE_EVENTS && longest >= interval {
            self.pause_factor.learn(longest.as_millis_f64() / interval.as_millis_f64().max(f64::MIN_POSITIVE));
        }
    }

    /// Learns the error of a caller's hint from a finished answer.
    pub fn learn_hint(&mut self, events: u64, hint: Option<u32>) {
        let Some(hinted) = hint.map(|hint| self.max_events_for(hint)).filter(|hinted| *hinted >= 1.0) else {
            return;
        };
        self.hint_factor.learn(events as f64 / hinted);
    }

    /// Maximum number of events for so many tokens.
    fn max_events_for(&self, tokens: u32) -> f64 {
        self.ongoing_events_per_token.max(self.finished_events_per_token) * f64::from(tokens)
    }

    /// Learns from the mean interval in a part of a stream, at an engine with so many long answers.
    ///
    /// `slowness` is the engine's interval as a multiple of a usual engine's. Returns the observed multiple.
    pub fn learn(&mut self, interval: Span, answers: u32, slowness: f64) -> f64 {
        let features = features(f64::from(answers));
        let usual_ms = self.fit.predict(&features).max(f64::MIN_POSITIVE);
        let observed_ms = interval.as_millis_f64();
        let limit_ms = usual_ms * slowness * OUTLIER_FACTOR;
        let counted_ms = if self.is_known() { observed_ms.min(limit_ms) } else { observed_ms };
        self.fit.learn(&features, counted_ms / slowness);
        self.ongoing_events_per_token *= 1.0 - DECAY;
        self.finished_events_per_token *= 1.0 - DECAY;
        counted_ms / usual_ms
    }

    /// Learns from an answer in progress with at most `tokens` tokens and so many events after the first.
    ///
    /// The last event may have few tokens. Leaving one event out never overestimates the length of answers.
    pub fn learn_ongoing(&mut self, events: u64, tokens: u32) {
        self.ongoing_events_per_token = self.ongoing_events_per_token.max(events as f64 / f64::from(tokens.max(1)));
    }

    /// Like [`Self::learn_ongoing`], from a finished answer, short or long.
    pub fn learn_finished(&mut self, events: u64, tokens: u32) {
        self.finished_events_per_token = self.finished_events_per_token.max(events as f64 / f64::from(tokens.max(1)));
    }
}

fn features(answers: f64) -> [f64; 2] {
    [1.0, answers / 10.0]
}

//! How fast long answers go on, by how many an engine has, and how many events they have at most.
//!
//! An engine computes its answers together, so each event takes longer the more of them run. What
//! an answer needs until its last event follows from that and from its events at most.

use crate::{
    fleet::engine::{least_squares::LeastSquares, running_quantile::RunningQuantile},
    prompt::Prompt,
    time::Span,
};

/// Milliseconds between two events, and what ten answers add, before anything is learned.
const INITIAL_WEIGHTS: [f64; 2] = [40.0, 4.0];
/// How far off each of these may be.
const INITIAL_SIGMAS: [f64; 2] = [60.0, 10.0];
/// How many times as long as expected an interval counts at most: a pause is not the pace.
const OUTLIER_FACTOR: f64 = 2.0;
/// Parts of streams after which the pace is known well enough to go by.
const MIN_OBSERVATIONS: u32 = 10;
/// How near the longest answers that have ended must come to the longest that were seen.
const LENGTHS_KNOWN_SHARE: f64 = 0.9;
/// How many times as long as guessed answers may be, before anything is learned.
const INITIAL_GUESS_FACTOR: f64 = 2.0;
/// How many times as long as the mean interval the longest one of a stream is, before anything is learned.
const INITIAL_PAUSE_FACTOR: f64 = 2.0;
/// Share of the streams whose longest interval is to be no longer than that.
const PAUSE_QUANTILE: f64 = 0.8;
/// Events of a stream from which on its longest interval says something of others.
const MIN_PAUSE_EVENTS: u64 = 8;
/// Share of the answers that are to be no longer than that.
const GUESS_QUANTILE: f64 = 0.9;
/// Share that the most events for each token lose with each part of a stream that has fewer. With a
/// few hundred parts a second on a busy service, a size that is not seen again is forgotten in minutes.
const DECAY: f64 = 0.0002;

/// The learned pace of long answers, for the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct AnswerPace {
    fit: LeastSquares<2>,
    /// The most events that were passed on, for each token that the answer could have.
    ongoing_events_per_token: f64,
    /// The same of answers that have ended.
    finished_events_per_token: f64,
    /// How many times as long as guessed nine of ten answers are at most.
    guess_factor: RunningQuantile,
    /// How many times as long as the mean the longest interval of a stream is.
    pause_factor: RunningQuantile,
}

impl Default for AnswerPace {
    fn default() -> Self {
        Self {
            fit: LeastSquares::new(INITIAL_WEIGHTS, INITIAL_SIGMAS),
            ongoing_events_per_token: 0.0,
            finished_events_per_token: 0.0,
            guess_factor: RunningQuantile::new(INITIAL_GUESS_FACTOR, GUESS_QUANTILE),
            pause_factor: RunningQuantile::new(INITIAL_PAUSE_FACTOR, PAUSE_QUANTILE),
        }
    }
}

impl AnswerPace {
    /// Whether enough was seen to go by it.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.fit.observations() >= MIN_OBSERVATIONS
    }

    /// Milliseconds between two events at a usual engine with so many long answers.
    #[must_use]
    pub fn interval_ms(&self, answers: f64) -> f64 {
        self.fit.predict(&features(answers))
    }

    /// Events of an answer at most that can have so many tokens. Unless the longest must have shown by now
    /// how long they are (`lengths_known`), absent while one is under way that is longer than any that
    /// has ended.
    #[must_use]
    pub fn max_events(&self, tokens: u32, lengths_known: bool) -> Option<f64> {
        let max = self.max_events_for(tokens);
        let is_known =
            lengths_known || self.finished_events_per_token >= self.ongoing_events_per_token * LENGTHS_KNOWN_SHARE;
        (is_known && max > 0.0).then_some(max)
    }

    /// Events that nine of ten such answers have at most, by their caller's guess if there is one; absent
    /// while that is not known.
    #[must_use]
    pub fn likely_max_events(&self, prompt: &Prompt, lengths_known: bool) -> Option<f64> {
        let max = self.max_events(prompt.output, lengths_known)?;
        let likely = prompt.guess.map(|guess| self.max_events_for(guess) * self.guess_factor.value());
        Some(likely.unwrap_or(max).min(max).max(1.0))
    }

    /// Milliseconds that an answer takes at most that can have so many tokens, alone at a usual engine; absent
    /// before any was seen.
    #[must_use]
    pub fn max_duration_ms(&self, tokens: u32) -> Option<f64> {
        let events = self.max_events_for(tokens);
        (events > 0.0).then(|| events * self.interval_ms(0.0))
    }

    /// Long answers that a usual engine can have at once for its events to come no farther apart; one at least.
    #[must_use]
    pub fn max_answers(&self, interval_ms: f64) -> f64 {
        let [base_ms, ten_answers_ms] = self.fit.weights();
        let slack_ms = (interval_ms - base_ms).max(0.0);
        if ten_answers_ms > 0.0 { (slack_ms / ten_answers_ms * 10.0).max(1.0) } else { f64::INFINITY }
    }

    /// Milliseconds between two events on average at which few streams pause for longer than this.
    #[must_use]
    pub fn max_mean_interval_ms(&self, pause: Span) -> f64 {
        pause.in_millis() / self.pause_factor.value().max(1.0)
    }

    /// Learn how long the longest interval of a whole stream was.
    pub fn learn_pause(&mut self, events: u64, interval: Span, longest: Span) {
        if events >= MIN_PAUSE_EVENTS && longest >= interval {
            self.pause_factor.learn(longest.in_millis() / interval.in_millis().max(f64::MIN_POSITIVE));
        }
    }

    /// Learn how far off a caller's guess was, from an answer that has ended.
    pub fn learn_guess(&mut self, events: u64, guess: Option<u32>) {
        let Some(guessed) = guess.map(|guess| self.max_events_for(guess)).filter(|guessed| *guessed >= 1.0) else {
            return;
        };
        self.guess_factor.learn(events as f64 / guessed);
    }

    /// The events that so many tokens are at most.
    fn max_events_for(&self, tokens: u32) -> f64 {
        self.ongoing_events_per_token.max(self.finished_events_per_token) * f64::from(tokens)
    }

    /// Learn from a part of a stream at an engine with so many long answers, which takes so many times as
    /// long as usual; returns how many times as long as the usual engine's it took.
    pub fn learn(&mut self, interval: Span, answers: u32, slowness: f64) -> f64 {
        let features = features(f64::from(answers));
        let usual_ms = self.fit.predict(&features).max(f64::MIN_POSITIVE);
        let observed_ms = interval.in_millis();
        let limit_ms = usual_ms * slowness * OUTLIER_FACTOR;
        let counted_ms = if self.is_known() { observed_ms.min(limit_ms) } else { observed_ms };
        self.fit.learn(&features, counted_ms / slowness);
        self.ongoing_events_per_token *= 1.0 - DECAY;
        self.finished_events_per_token *= 1.0 - DECAY;
        counted_ms / usual_ms
    }

    /// Learn from an answer under way that can have so many tokens and has had so many events after its
    /// first. The last one may have few tokens, so leaving one out never takes answers for longer than
    /// they are.
    pub fn learn_ongoing(&mut self, events: u64, tokens: u32) {
        self.ongoing_events_per_token = self.ongoing_events_per_token.max(events as f64 / f64::from(tokens.max(1)));
    }

    /// Learn the same from an answer, short or long, that has ended.
    pub fn learn_finished(&mut self, events: u64, tokens: u32) {
        self.finished_events_per_token = self.finished_events_per_token.max(events as f64 / f64::from(tokens.max(1)));
    }
}

fn features(answers: f64) -> [f64; 2] {
    [1.0, answers / 10.0]
}

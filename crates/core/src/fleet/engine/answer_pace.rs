//! How fast long answers go on, by how many an engine has, and how many events they have.
//!
//! An engine computes its answers together, so each event takes longer the more of them run. What
//! an answer needs until its last event follows from that and from its events at most.

use crate::{fleet::engine::least_squares::LeastSquares, time::Span};

/// Milliseconds between two events, and what ten answers add, before anything is learned.
const GUESS: [f64; 2] = [40.0, 4.0];
/// How far off each of these may be.
const GUESS_WIDTH: [f64; 2] = [60.0, 10.0];
/// How many times as long as expected an interval counts at most: a pause is not the pace.
const LONGEST: f64 = 2.0;
/// Parts of streams after which the pace is known well enough to go by.
const ENOUGH: u32 = 10;
/// How near the longest answers that have ended must come to the longest that were seen.
const NEAR: f64 = 0.9;
/// Share that the most events for each token lose with each part of a stream that has fewer. With a
/// few hundred parts a second on a busy service, a size that is not seen again is forgotten in minutes.
const FADE: f64 = 0.0002;

/// The learned pace of long answers, for the engines of one service.
#[derive(Clone, Copy, Debug)]
pub struct AnswerPace {
    fit: LeastSquares<2>,
    /// The most events that were passed on, for each token that the answer could have.
    passed_per_token: f64,
    /// The same of answers that have ended.
    ended_per_token: f64,
}

impl Default for AnswerPace {
    fn default() -> Self {
        Self { fit: LeastSquares::new(GUESS, GUESS_WIDTH), passed_per_token: 0.0, ended_per_token: 0.0 }
    }
}

impl AnswerPace {
    /// Whether enough was seen to go by it.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.fit.seen() >= ENOUGH
    }

    /// Milliseconds between two events at a usual engine with so many long answers.
    #[must_use]
    pub fn interval_ms(&self, answers: f64) -> f64 {
        self.fit.expect(&terms(answers))
    }

    /// Long answers that a usual engine can have with events no further apart than this; less than none
    /// if one alone is slower.
    #[must_use]
    pub fn answers_within(&self, interval_ms: f64) -> f64 {
        let alone = self.interval_ms(0.0);
        let each = self.interval_ms(1.0) - alone;
        if each > 0.0 { (interval_ms - alone) / each } else { f64::INFINITY }
    }

    /// Events of an answer at most that can have so many tokens; absent while longer ones are under way
    /// than have ever ended, so that nobody knows how long they will be.
    #[must_use]
    pub fn most_events(&self, tokens: u32) -> Option<f64> {
        let is_known = self.ended_per_token > 0.0 && self.ended_per_token >= self.passed_per_token * NEAR;
        is_known.then_some(self.passed_per_token.max(self.ended_per_token) * f64::from(tokens))
    }

    /// Learn from a part of a stream at an engine with so many long answers, which takes so many times as
    /// long as usual; returns how many times as long as the usual engine's it took.
    pub fn learn(&mut self, interval: Span, answers: u32, slowness: f64) -> f64 {
        let terms = terms(f64::from(answers));
        let usual_ms = self.fit.expect(&terms).max(f64::MIN_POSITIVE);
        let seen_ms = interval.in_millis();
        let longest_ms = usual_ms * slowness * LONGEST;
        let counted_ms = if self.is_known() { seen_ms.min(longest_ms) } else { seen_ms };
        self.fit.learn(&terms, counted_ms / slowness);
        self.passed_per_token *= 1.0 - FADE;
        self.ended_per_token *= 1.0 - FADE;
        counted_ms / usual_ms
    }

    /// Learn from an answer that can have so many tokens and has had so many events after its first so
    /// far. The last may have few tokens, so leaving one out never takes answers for longer than they are.
    pub fn learn_passed(&mut self, events: u64, tokens: u32) {
        self.passed_per_token = self.passed_per_token.max(events as f64 / f64::from(tokens.max(1)));
    }

    /// Learn the same from an answer, short or long, that has ended.
    pub fn learn_ended(&mut self, events: u64, tokens: u32) {
        self.ended_per_token = self.ended_per_token.max(events as f64 / f64::from(tokens.max(1)));
    }
}

fn terms(answers: f64) -> [f64; 2] {
    [1.0, answers / 10.0]
}

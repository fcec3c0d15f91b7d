//! The learned performance model, for four very different engines, idle and loaded.

use dahliaseam_core::{
    fleet::engine::{
        EngineModel,
        answer_pace::AnswerPace,
        event_pace::EventPace,
        hand_over::{KvTransfer, KvTransferTime},
        read_time::{PrefillTime, PrefillWork},
    },
    prompt::Prompt,
    time::Span,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// True prefill time of an engine: milliseconds per prefill, per thousand uncached tokens and per million token pairs
/// in the attention.
#[derive(Clone, Copy, Debug)]
struct Engine {
    name: &'static str,
    weights: [f64; 3],
}

const ENGINES: [Engine; 4] = [
    Engine { name: "fast", weights: [1.5, 2.9, 0.02] },
    Engine { name: "usual", weights: [5.0, 15.6, 0.65] },
    Engine { name: "slow, long steps", weights: [25.0, 60.0, 2.0] },
    Engine { name: "no attention to speak of", weights: [3.0, 8.0, 0.0] },
];

impl Engine {
    fn duration_ms(&self, work: PrefillWork) -> f64 {
        let uncached = f64::from(work.uncached);
        let pairs = uncached * (f64::from(work.cached) + uncached / 2.0);
        self.weights[0] + self.weights[1] * uncached / 1e3 + self.weights[2] * pairs / 1e6
    }
}

/// A prompt of a hundred to forty thousand tokens, with small ones most frequent.
fn random_work(rng: &mut SmallRng) -> PrefillWork {
    let size = |rng: &mut SmallRng| 10_f64.powf(rng.random_range(2.0..4.6)) as u32;
    PrefillWork { uncached: size(rng), cached: if rng.random_bool(0.5) { size(rng) } else { 0 } }
}

/// Minimum duration in milliseconds to which an error is relative: timers are no finer, and no decision depends on
/// shorter prefills.
const MIN_ERROR_BASE_MS: f64 = 5.0;

/// Relative errors of 500 predictions after a hundred observations, sorted.
fn errors(engine: &Engine, queued_share: f64, seed: u64) -> Vec<f64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut model = PrefillTime::default();
    for _ in 0..100 {
        let work = random_work(&mut rng);
        let queued = if rng.random_bool(queued_share) { engine.duration_ms(random_work(&mut rng)) } else { 0.0 };
        let took = engine.duration_ms(work) * rng.random_range(0.95..1.1) + queued;
        model.learn(work, Span::seconds(took / 1e3));
    }
    let mut errors: Vec<f64> = (0..500)
        .map(|_| {
            let work = random_work(&mut rng);
            let expected = engine.duration_ms(work);
            (model.duration_ms(work) - expected).abs() / expected.max(MIN_ERROR_BASE_MS)
        })
        .collect();
    errors.sort_by(f64::total_cmp);
    errors
}

/// Asserts bounds on the median and the 95th percentile of the error, for each engine and seed.
fn assert_errors_below(median: f64, p95: f64, queued_share: f64) {
    for engine in &ENGINES {
        for seed in 0..5 {
            let errors = errors(engine, queued_share, seed);
            assert!(errors[250] < median, "{}: median {:.3}", engine.name, errors[250]);
            assert!(errors[475] < p95, "{}: p95 {:.3}", engine.name, errors[475]);
        }
    }
}

#[test]
fn prefill_times_of_idle_engines_are_predicted_within_a_tenth() {
    assert_errors_below(0.10, 0.30, 0.0);
}

#[test]
fn unknown_queueing_does_not_make_an_engine_look_slow() {
    assert_errors_below(0.25, 0.60, 0.2);
}

#[test]
fn the_decode_factor_is_learned_separately() {
    let engine = ENGINES[1];
    let mut rng = SmallRng::seed_from_u64(1);
    let mut model = PrefillTime::default();
    for _ in 0..100 {
        let work = random_work(&mut rng);
        model.learn(work, Span::seconds(engine.duration_ms(work) / 1e3));
    }
    for _ in 0..100 {
        let work = random_work(&mut rng);
        model.learn_decode(work, Span::seconds(engine.duration_ms(work) * 3.0 / 1e3));
    }
    assert!((2.7..3.3).contains(&model.decode_factor()), "{}", model.decode_factor());
}

#[test]
fn kv_transfer_times_are_predicted_by_size_and_hall() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut model = KvTransferTime::default();
    let duration_ms =
        |transfer: KvTransfer| 12.0 + f64::from(transfer.tokens) / 1e3 * if transfer.cross_hall { 2.4 } else { 1.2 };
    for _ in 0..100 {
        let transfer = KvTransfer { tokens: rng.random_range(100..40_000), cross_hall: rng.random_bool(0.5) };
        model.learn(transfer, Span::seconds(duration_ms(transfer) / 1e3));
    }
    for transfer in [KvTransfer { tokens: 2_000, cross_hall: false }, KvTransfer { tokens: 30_000, cross_hall: true }] {
        let error = (model.duration_ms(transfer) - duration_ms(transfer)).abs() / duration_ms(transfer);
        assert!(error < 0.1, "{transfer:?}: {error:.3}");
    }
}

#[test]
fn a_model_is_adopted_only_from_a_peer_with_more_observations() {
    let engine = ENGINES[2];
    let mut rng = SmallRng::seed_from_u64(3);
    let mut old = EngineModel::default();
    assert_eq!(old.learned(), None, "there is nothing to report before the first observation");
    for _ in 0..60 {
        let work = random_work(&mut rng);
        old.prefill.learn(work, Span::seconds(engine.duration_ms(work) / 1e3));
    }
    let learned = old.learned().expect("there are observations");
    let mut new = EngineModel::default();
    new.adopt(&learned);
    let work = PrefillWork { uncached: 5_000, cached: 10_000 };
    let expected = engine.duration_ms(work);
    assert!((new.prefill.duration_ms(work) - expected).abs() / expected < 0.1);
    let mut wrong = learned;
    wrong.prefill_weights = [0.0, 0.1, 0.0];
    old.adopt(&wrong);
    assert!((old.prefill.duration_ms(work) - expected).abs() / expected < 0.1);
}

#[test]
fn a_pause_does_not_change_the_learned_interval() {
    let mut pace = EventPace::default();
    for n in 0..200 {
        pace.learn(Span::millis(if n % 20 == 0 { 2_000 } else { 60 }));
    }
    assert!((55.0..75.0).contains(&pace.interval_ms()), "{}", pace.interval_ms());
}

/// Prints the table of docs/DECISIONS.md: `cargo test -p dahliaseam-core --test engine_model -- --nocapture table`.
#[test]
fn table_of_errors() {
    for engine in &ENGINES {
        for (load, share) in [("idle", 0.0), ("loaded", 0.2)] {
            let all: Vec<Vec<f64>> = (0..5).map(|seed| errors(engine, share, seed)).collect();
            let worst = |at: usize| all.iter().map(|errors| errors[at]).fold(0.0, f64::max);
            println!("| {} | {load} | {:.0}% | {:.0}% |", engine.name, worst(250) * 100.0, worst(475) * 100.0);
        }
    }
}

#[test]
fn answer_pace_is_learned_by_load_and_by_engine() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut pace = AnswerPace::default();
    // Two usual engines, and one that takes 1.3 times as long and has more answers.
    let (speeds, max) = ([1.0, 1.0, 1.3], [60, 60, 90]);
    let mut slowness = [1.0; 3];
    for n in 0..2_000 {
        let engine = n % 3;
        let answers = rng.random_range(1..max[engine]);
        let interval = speeds[engine] * (44.0 + 0.34 * f64::from(answers)) * rng.random_range(0.9..1.1);
        let interval = Span::seconds(interval / 1e3);
        slowness[engine] += 0.03 * (pace.learn(interval, answers, slowness[engine]) - slowness[engine]);
    }
    for (engine, speed) in speeds.iter().enumerate() {
        for answers in [5.0, 30.0, 70.0] {
            let expected = speed * (44.0 + 0.34 * answers);
            let predicted = slowness[engine] * pace.interval_ms(answers);
            assert!(
                (predicted / expected - 1.0).abs() < 0.08,
                "engine {engine}, {answers}: {predicted} for {expected}"
            );
        }
    }
}

#[test]
fn the_event_limit_is_known_once_the_longest_answers_have_finished() {
    let max_events = |pace: &AnswerPace, tokens| pace.max_events(tokens, false).map(f64::round);
    let mut pace = AnswerPace::default();
    assert_eq!(max_events(&pace, 12_000), None);
    pace.learn_finished(100, 12_000);
    assert_eq!(max_events(&pace, 12_000), Some(100.0));
    assert_eq!(max_events(&pace, 6_000), Some(50.0));
    pace.learn_ongoing(200, 12_000);
    assert_eq!(max_events(&pace, 12_000), None, "an answer in progress is longer than any finished one");
    assert_eq!(pace.max_events(12_000, true).map(f64::round), Some(200.0), "no longer answer can be in progress");
    pace.learn_finished(210, 12_000);
    assert_eq!(max_events(&pace, 12_000), Some(210.0));
}

#[test]
fn a_callers_hint_bounds_the_events_of_nine_in_ten_answers() {
    let mut rng = SmallRng::seed_from_u64(2);
    let mut pace = AnswerPace::default();
    pace.learn_finished(200, 12_000);
    for _ in 0..2_000 {
        // An event has 60 tokens, and nine in ten answers are no longer than 1.8 times the hint.
        let hint = rng.random_range(600..6_000);
        let factor = rng.random_range(0.0..2.0);
        pace.learn_hint((f64::from(hint) / 60.0 * factor) as u64, Some(hint));
    }
    let likely = |output, hint| {
        let prompt = Prompt::new("m", std::iter::empty(), 100, output).with_output_hint(hint);
        pace.likely_max_events(&prompt, false).expect("the event limit is known")
    };
    let hinted = likely(12_000, Some(3_000));
    assert!((80.0..100.0).contains(&hinted), "{hinted} events for a hint of 50 events");
    for max in [likely(12_000, Some(60_000)), likely(12_000, None)] {
        assert!((max - 200.0).abs() < 0.1, "{max} events, not the maximum");
    }
}

/// Guards against a fit that diverges when all observations have the same size, as in a soak test whose prompts were
/// all of one size: within 300 ms, transfers that took 20 ms were predicted to take 2,071 ms, and all requests were
/// refused as too late until the end. Such observations cannot separate the weights, whose uncertainty grew without
/// bound in one direction. Clipping each weight on its own then moved the weights away from the observations.
#[test]
fn identical_observations_keep_the_fit_stable() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut kv_transfer = KvTransferTime::default();
        let transfer = |tokens| KvTransfer { tokens, cross_hall: false };
        for n in 0..5_000 {
            let delay = if rng.random_bool(0.02) { 300.0 } else { 0.0 };
            let took = rng.random_range(15.0..30.0) + delay;
            kv_transfer.learn(transfer(9_000), Span::seconds(took / 1e3));
            let expected = kv_transfer.duration_ms(transfer(9_000));
            assert!((10.0..60.0).contains(&expected), "seed {seed}: {expected:.0} ms after {n} observations");
        }
        let other = kv_transfer.duration_ms(transfer(1_000));
        assert!(other < 100.0, "seed {seed}: {other:.0} ms for another size");
    }
}

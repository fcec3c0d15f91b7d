//! Runs the dispatcher on two engines and one request, and prints the choice and the reason for it.

use dahliaseam_core::{
    dispatch::{Action, Dispatcher, Policy, Site},
    endpoint::{EngineLoad, Rates, Role},
    outcome::AttemptEnd,
    request::{KindTraits, RequestSpec},
    time::{Span, Time},
};

fn main() {
    let now = Time(1_000_000);
    let mut dispatcher = Dispatcher::new(Policy::default(), 1, now);
    let pool = dispatcher.add_pool(Rates::default());
    let quiet = dispatcher.add_endpoint("quiet", pool, Role::Mixed);
    let busy = dispatcher.add_endpoint("busy", pool, Role::Mixed);
    dispatcher.observe(busy, EngineLoad { queued_prefill: 40_000, running: 30, ..EngineLoad::default() }, now);
    dispatcher.observe(quiet, EngineLoad::default(), now);

    let spec = RequestSpec {
        pool,
        kind: KindTraits { priority: 3, weight: 1.0, repeatable: true, protected: false },
        prompt_tokens: 500,
        output_tokens: 40,
        prefix: 42,
        adapter: 0,
        deadline: now + Span::millis(4_000),
    };
    let Ok(key) = dispatcher.submit("team", spec, now) else { return };
    for action in dispatcher.pump(pool, now) {
        if let Action::Send { choice, .. } = action {
            for c in &choice.candidates {
                let name = dispatcher.endpoint(c.endpoint).map_or("", |row| row.name.as_str());
                println!("{name}: whole answer in {:.2} s", c.prediction.total);
            }
            println!("reason: {:?}", choice.reason);
        }
    }
    let next = dispatcher.attempt_ended(key, AttemptEnd::Whole, Site::Serving, now + Span::millis(900));
    println!("{next:?}");
}

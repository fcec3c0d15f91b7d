//! Generated requests of two users, with a mix of kinds that changes periodically.

use dahliaseam_core::request::KindTraits;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use stand_ins::model::ModelParams;

/// User of dahliaseam whose requests are generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum User {
    /// Catalogue queries with long prompts, and chat replies.
    Fjordkjede,
    /// Eligibility questions about long contracts, whose answers a person waits for, and chat.
    Portalinea,
}

impl User {
    /// Both users.
    pub const ALL: [Self; 2] = [Self::Fjordkjede, Self::Portalinea];

    /// Name in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Fjordkjede => "fjordkjede",
            Self::Portalinea => "portalinea",
        }
    }

    /// Returns the kind with long prompts and the kind with long answers, as in the user's example
    /// configuration.
    #[must_use]
    pub const fn kinds(self) -> [Kind; 2] {
        match self {
            Self::Fjordkjede => [
                Kind::new("catalogue-query", 3, 3.0, 8.0, (3_000, 8_000), (12, 40)),
                Kind::new("chat-reply", 4, 1.0, 6.0, (200, 600), (60, 150)),
            ],
            Self::Portalinea => [
                Kind::new("eligibility", 8, 4.0, 10.0, (4_000, 12_000), (8, 20)),
                Kind::new("history-chat", 3, 1.0, 8.0, (300, 1_000), (80, 160)),
            ],
        }
    }
}

/// Kind of requests that engines serve.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Name of the kind.
    pub name: &'static str,
    /// Properties that decisions depend on.
    pub traits: KindTraits,
    /// Time within which an answer counts, in seconds.
    pub deadline: f64,
    prompt: (u32, u32),
    output: (u32, u32),
}

impl Kind {
    const fn new(
        name: &'static str,
        priority: u8,
        weight: f64,
        deadline: f64,
        prompt: (u32, u32),
        output: (u32, u32),
    ) -> Self {
        let protected = priority >= dahliaseam_core::request::URGENT_PRIORITY;
        let traits = KindTraits { priority, weight, repeatable: true, protected };
        Self { name, traits, deadline, prompt, output }
    }

    fn mean_cost(&self, params: &ModelParams) -> f64 {
        let prompt = f64::midpoint(f64::from(self.prompt.0), f64::from(self.prompt.1));
        let output = f64::midpoint(f64::from(self.output.0), f64::from(self.output.1));
        cost(prompt, output, params)
    }
}

/// Returns the least engine time that a request takes, which is that at a full batch, in seconds.
#[must_use]
pub fn cost(prompt: f64, output: f64, params: &ModelParams) -> f64 {
    prompt / params.prefill_rate + output * (params.step / f64::from(params.slots) + params.step_per_seq)
}

/// Generated request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Time since the start of the run, in seconds.
    pub at: f64,
    /// Index of its kind.
    pub kind: usize,
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Number of tokens to generate.
    pub output: u32,
    /// Identifier of the prompt's prefix.
    pub prefix: u64,
}

/// Parameters of the generated requests.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// User whose requests are generated.
    pub user: User,
    /// Arriving work as a fraction of the engines' capacity at full batches.
    pub load: f64,
    /// Number of engines.
    pub engines: usize,
    /// Duration in seconds.
    pub seconds: f64,
    /// Time between two changes of the mix, in seconds.
    pub mix_period: f64,
}

/// Fractions of requests with long prompts, between which the mix alternates.
const LONG_SHARES: [f64; 2] = [0.7, 0.1];
/// Number of distinct prefixes; a few of them are popular.
const PREFIXES: f64 = 400.0;

impl Workload {
    /// Generates the requests, ordered by time.
    #[must_use]
    pub fn arrivals(&self, params: &ModelParams, seed: u64) -> Vec<Arrival> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let kinds = self.user.kinds();
        let mut at = 0.0;
        let mut arrivals = Vec::new();
        while at < self.seconds {
            let long = LONG_SHARES[((at / self.mix_period) as usize) % 2];
            let mean = long * kinds[0].mean_cost(params) + (1.0 - long) * kinds[1].mean_cost(params);
            let rate = self.load * self.engines as f64 / mean;
            at += -(1.0 - rng.random::<f64>()).ln() / rate;
            let kind = usize::from(rng.random::<f64>() >= long);
            let sample = |rng: &mut SmallRng, (low, high): (u32, u32)| rng.random_range(low..=high);
            arrivals.push(Arrival {
                at,
                kind,
                prompt: sample(&mut rng, kinds[kind].prompt),
                output: sample(&mut rng, kinds[kind].output),
                prefix: (rng.random::<f64>().powi(3) * PREFIXES) as u64 + 1,
            });
        }
        arrivals
    }
}

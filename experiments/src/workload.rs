//! The requests of the two users, through swings of the mix.

use dahliaseam_core::request::KindTraits;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use stand_ins::model::ModelParams;

/// One of the two users.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum User {
    /// Catalogue queries with long prompts, chat replies.
    Fjordkjede,
    /// Eligibility answers over long contracts, for which a person waits, and chat.
    Portalinea,
}

impl User {
    /// Both users.
    pub const ALL: [Self; 2] = [Self::Fjordkjede, Self::Portalinea];

    /// Its name.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Fjordkjede => "fjordkjede",
            Self::Portalinea => "portalinea",
        }
    }

    /// The kind with long prompts and the kind with long answers, as its example file has them.
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

/// A kind of request that engines serve.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// What decisions know of it.
    pub traits: KindTraits,
    /// Seconds within which an answer counts.
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

/// Seconds of one engine's work at a full batch, the least that a request can take.
#[must_use]
pub fn cost(prompt: f64, output: f64, params: &ModelParams) -> f64 {
    prompt / params.prefill_rate + output * (params.step / f64::from(params.slots) + params.step_per_seq)
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// Seconds from the start.
    pub at: f64,
    /// Index of its kind.
    pub kind: usize,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Tokens of its answer.
    pub output: u32,
    /// Its prefix.
    pub prefix: u64,
}

/// What requests come.
#[derive(Clone, Copy, Debug)]
pub struct Workload {
    /// Whose.
    pub user: User,
    /// Work that arrives, as a multiple of what the engines could do at best.
    pub load: f64,
    /// Engines.
    pub engines: usize,
    /// Seconds.
    pub seconds: f64,
    /// Seconds between two swings of the mix.
    pub mix_period: f64,
}

/// Share of the long-prompt kind in the two halves of a swing.
const LONG_SHARES: [f64; 2] = [0.7, 0.1];
/// Distinct prefixes; a few are popular.
const PREFIXES: f64 = 400.0;

impl Workload {
    /// The requests, in order of time.
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

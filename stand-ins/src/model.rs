//! Engine model: continuous batching, step by step, without I/O.
//!
//! Each step generates one token for each sequence whose prompt has been prefilled, and prefills a chunk of the
//! remaining prompts. A step takes a base time, plus a time for each generating sequence, plus the chunk size divided
//! by the prefill rate, so prompts slow generation down. The maximum chunk size depends on the role: large on a prefill
//! engine, small on a decode engine.

use std::collections::VecDeque;

use dahliaseam_core::endpoint::{EngineLoad, Role};
use serde::{Deserialize, Serialize};

/// Parameters of the model. The defaults do not describe the engines of a particular deployment.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ModelParams {
    /// Prompt tokens that an engine prefills per second when nothing else runs.
    pub prefill_rate: f64,
    /// Base time of a step, in seconds; a step in which no sequence generates has a quarter of it.
    pub step: f64,
    /// Time that each generating sequence adds to a step, in seconds.
    pub step_per_seq: f64,
    /// Maximum number of sequences in the batch.
    pub slots: u32,
    /// Maximum number of tokens in the KV cache.
    pub kv_tokens: u32,
    /// Maximum number of cached prefixes.
    pub prefixes: usize,
    /// Fraction of a prompt that a cached prefix saves.
    pub cached_share: f64,
    /// Maximum number of prompt tokens per step of a prefill engine.
    pub chunk_prefill: u32,
    /// Maximum number of prompt tokens per step of a mixed engine.
    pub chunk_mixed: u32,
    /// Maximum number of prompt tokens per step of a decode engine.
    pub chunk_decode: u32,
    /// Time that an engine is unavailable during a role change, in seconds.
    pub change_seconds: f64,
    /// Age of reported loads, in seconds.
    pub report_lag: f64,
    /// Delay of cache events, in seconds.
    pub cache_lag: f64,
    /// Evictions are not reported if the number of their cache event is a multiple of this; zero to report all.
    pub cache_gap: u64,
}

impl Default for ModelParams {
    fn default() -> Self {
        Self {
            prefill_rate: 8_000.0,
            step: 0.012,
            step_per_seq: 0.000_3,
            slots: 32,
            kv_tokens: 120_000,
            prefixes: 64,
            cached_share: 0.5,
            chunk_prefill: 4_096,
            chunk_mixed: 512,
            chunk_decode: 64,
            change_seconds: 4.0,
            report_lag: 0.5,
            cache_lag: 1.0,
            cache_gap: 10,
        }
    }
}

/// A request, as the model sees it.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Identifier chosen by the user of the model.
    pub id: u64,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Number of tokens to generate.
    pub output_tokens: u32,
    /// Priority; jobs with a higher one run first.
    pub priority: u8,
    /// Whether the KV cache of the prompt is imported, so that the prompt need not be prefilled.
    pub imported: bool,
    /// Whether the prompt is only prefilled, and no token is generated.
    pub prefill_only: bool,
}

/// Event of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The job with this id generated a token.
    Token(u64),
    /// The job with this id is complete; its last token was reported before.
    Done(u64),
}

#[derive(Clone, Copy, Debug)]
struct Sequence {
    job: Job,
    prompt_left: f64,
    output_left: u32,
}

impl Sequence {
    fn is_generating(&self) -> bool {
        self.prompt_left <= 0.0
    }

    const fn kv_tokens(&self) -> u32 {
        self.job.prompt_tokens + self.job.output_tokens
    }
}

/// Model of one engine.
#[derive(Debug)]
pub struct EngineModel {
    params: ModelParams,
    role: Role,
    batch: Vec<Sequence>,
    waiting: Vec<Sequence>,
    prefixes: VecDeque<u64>,
    generating: Vec<u64>,
    evicted: Vec<u64>,
}

impl EngineModel {
    /// Creates an idle engine.
    #[must_use]
    pub const fn new(params: ModelParams, role: Role) -> Self {
        Self {
            params,
            role,
            batch: Vec::new(),
            waiting: Vec::new(),
            prefixes: VecDeque::new(),
            generating: Vec::new(),
            evicted: Vec::new(),
        }
    }

    /// Current role.
    #[must_use]
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Changes the role. All jobs are dropped; returns their ids.
    pub fn change_role(&mut self, role: Role) -> Vec<u64> {
        self.role = role;
        self.prefixes.clear();
        self.drop_jobs()
    }

    /// Drops all jobs, as in a crash, and returns their ids.
    pub fn drop_jobs(&mut self) -> Vec<u64> {
        let jobs = self.batch.drain(..).chain(self.waiting.drain(..));
        jobs.map(|s| s.job.id).collect()
    }

    /// Adds a job.
    pub fn submit(&mut self, job: Job) {
        let cached = self.use_prefix(job.prefix);
        let prompt = f64::from(job.prompt_tokens);
        let prompt_left = match (job.imported, cached) {
            (true, _) => 0.0,
            (false, true) => prompt * (1.0 - self.params.cached_share),
            (false, false) => prompt,
        };
        let sequence = Sequence { job, prompt_left, output_left: job.output_tokens };
        let index = self.waiting.partition_point(|w| w.job.priority >= job.priority);
        self.waiting.insert(index, sequence);
    }

    /// Removes a job. Returns whether it was present.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.batch.len() + self.waiting.len();
        self.batch.retain(|s| s.job.id != id);
        self.waiting.retain(|s| s.job.id != id);
        before > self.batch.len() + self.waiting.len()
    }

    /// Starts a step and returns its duration in seconds, or `None` if there is nothing to do.
    pub fn start_step(&mut self) -> Option<f64> {
        self.admit();
        if self.batch.is_empty() {
            return None;
        }
        self.generating = self.batch.iter().filter(|s| s.is_generating()).map(|s| s.job.id).collect();
        let mut budget = f64::from(self.chunk());
        for sequence in &mut self.batch {
            let part = sequence.prompt_left.min(budget);
            sequence.prompt_left -= part;
            budget -= part;
        }
        let chunk = f64::from(self.chunk()) - budget;
        let generating = self.generating.len() as f64;
        let base = if self.generating.is_empty() { self.params.step / 4.0 } else { self.params.step };
        Some(base + generating * self.params.step_per_seq + chunk / self.params.prefill_rate)
    }

    /// Finishes the step and returns its events.
    pub fn finish_step(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        for sequence in &mut self.batch {
            let id = sequence.job.id;
            let first = sequence.is_generating() && sequence.output_left == sequence.job.output_tokens;
            if sequence.job.prefill_only {
                if sequence.is_generating() {
                    sequence.output_left = 0;
                    events.push(Event::Done(id));
                }
                continue;
            }
            if (first || self.generating.contains(&id)) && sequence.output_left > 0 {
                sequence.output_left -= 1;
                events.push(Event::Token(id));
                if sequence.output_left == 0 {
                    events.push(Event::Done(id));
                }
            }
        }
        self.batch.retain(|s| s.output_left > 0);
        events
    }

    /// Returns the current load.
    #[must_use]
    pub fn load(&self) -> EngineLoad {
        let all = self.batch.iter().chain(&self.waiting);
        let kv: u32 = self.batch.iter().map(Sequence::kv_tokens).sum();
        EngineLoad {
            queued_prefill: all.map(|s| s.prompt_left.max(0.0)).sum::<f64>() as u32,
            running: self.batch.len() as u32,
            waiting: self.waiting.len() as u32,
            kv_used: kv as f32 / self.params.kv_tokens.max(1) as f32,
        }
    }

    /// Returns the prefixes evicted from the cache since the last call.
    pub fn take_evicted(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.evicted)
    }

    const fn chunk(&self) -> u32 {
        match self.role {
            Role::Prefill => self.params.chunk_prefill,
            Role::Decode => self.params.chunk_decode,
            Role::Mixed | Role::Plain => self.params.chunk_mixed,
        }
    }

    fn admit(&mut self) {
        while let Some(next) = self.waiting.first() {
            let kv: u32 = self.batch.iter().map(Sequence::kv_tokens).sum();
            let full = self.batch.len() >= self.params.slots as usize;
            let fits = self.batch.is_empty() || kv + next.kv_tokens() <= self.params.kv_tokens;
            if full || !fits {
                return;
            }
            let sequence = self.waiting.remove(0);
            self.batch.push(sequence);
        }
    }

    /// Records the use of a prefix. Returns whether it was cached.
    fn use_prefix(&mut self, prefix: u64) -> bool {
        let index = self.prefixes.iter().position(|p| *p == prefix);
        if let Some(index) = index {
            self.prefixes.remove(index);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > self.params.prefixes {
            self.evicted.extend(self.prefixes.pop_front());
        }
        index.is_some()
    }
}

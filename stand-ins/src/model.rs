//! The engine model: continuous batching, step by step, without input or output.
//!
//! Each step generates one token for each sequence whose prompt is done and processes a chunk of
//! waiting prompts. The step's length is the base, plus a part for each generating sequence, plus
//! the chunk over the prefill rate, so prompts slow generation down. A role sets the chunk: a
//! prefill engine takes large ones, a decode engine small ones.

use std::collections::VecDeque;

use dahliaseam_core::endpoint::{LoadReport, Role};
use serde::{Deserialize, Serialize};

/// Parameters of the model; the users' own figures are not settled.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ModelParams {
    /// Prompt tokens a second when nothing else runs.
    pub prefill_rate: f64,
    /// Seconds of a step with an empty batch.
    pub step: f64,
    /// Seconds that each generating sequence adds.
    pub step_per_seq: f64,
    /// Sequences in the batch at most.
    pub slots: u32,
    /// Tokens of KV cache at most.
    pub kv_tokens: u32,
    /// Prefixes cached at most.
    pub prefixes: usize,
    /// Share of a prompt that a cached prefix saves.
    pub cached_share: f64,
    /// Prompt tokens a step, by role.
    pub chunk_prefill: u32,
    /// Prompt tokens a step of a mixed engine.
    pub chunk_mixed: u32,
    /// Prompt tokens a step of a decode engine.
    pub chunk_decode: u32,
    /// Seconds that a role change takes the engine away.
    pub change_seconds: f64,
    /// Seconds by which a load report lags.
    pub report_lag: f64,
    /// Seconds by which cache events lag.
    pub cache_lag: f64,
    /// One of so many cache events is lost; zero for none.
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

/// A request as the model sees it.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The driver's identifier.
    pub id: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Tokens to generate.
    pub output_tokens: u32,
    /// Higher goes first.
    pub priority: u8,
    /// The prompt's KV cache comes with it.
    pub imported: bool,
    /// Only the prompt is processed.
    pub prefill_only: bool,
}

/// What a step brought about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A token was generated.
    Token(u64),
    /// The job is done; its last token came before.
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

    const fn kv(&self) -> u32 {
        self.job.prompt_tokens + self.job.output_tokens
    }
}

/// One engine.
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
    /// An idle engine.
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

    /// The role.
    #[must_use]
    pub const fn role(&self) -> Role {
        self.role
    }

    /// Take another role; all jobs are lost and returned.
    pub fn change_role(&mut self, role: Role) -> Vec<u64> {
        self.role = role;
        self.prefixes.clear();
        self.drop_jobs()
    }

    /// Lose all jobs, as in a crash.
    pub fn drop_jobs(&mut self) -> Vec<u64> {
        let jobs = self.batch.drain(..).chain(self.waiting.drain(..));
        jobs.map(|s| s.job.id).collect()
    }

    /// Add a job.
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

    /// Forget a job; returns whether it was there.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.batch.len() + self.waiting.len();
        self.batch.retain(|s| s.job.id != id);
        self.waiting.retain(|s| s.job.id != id);
        before > self.batch.len() + self.waiting.len()
    }

    /// Begin a step and return its length in seconds; `None` when there is nothing to do.
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

    /// End the step.
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

    /// The load at this moment.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        let all = self.batch.iter().chain(&self.waiting);
        let kv: u32 = self.batch.iter().map(Sequence::kv).sum();
        LoadReport {
            queued_prefill: all.map(|s| s.prompt_left.max(0.0)).sum::<f64>() as u32,
            running: self.batch.len() as u32,
            waiting: self.waiting.len() as u32,
            kv_used: kv as f32 / self.params.kv_tokens.max(1) as f32,
        }
    }

    /// Prefixes that left the cache since the last call.
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
            let kv: u32 = self.batch.iter().map(Sequence::kv).sum();
            let full = self.batch.len() >= self.params.slots as usize;
            let fits = self.batch.is_empty() || kv + next.kv() <= self.params.kv_tokens;
            if full || !fits {
                return;
            }
            let sequence = self.waiting.remove(0);
            self.batch.push(sequence);
        }
    }

    /// Note the use of a prefix; returns whether it was cached.
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

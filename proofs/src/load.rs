//! Callers that send requests of all kinds until they are stopped.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use stand_ins::caller::{Answer, Call, Caller, NO_CONNECTION};
use tokio::task::JoinSet;

/// Maximum number of requests of one caller, so that the load always ends.
const MAX_CALLS_PER_CALLER: u64 = 5_000;

/// Parameters of the requests that callers send.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Pause between two requests of a caller, in milliseconds.
    pub pause_ms: u64,
    /// Size of a catalogue query's prompt, in bytes.
    pub prompt_bytes: usize,
    /// Number of output tokens of a chat reply or counter answer.
    pub chat_tokens: u32,
    /// Whether callers try another daemon if one accepts no connection or is not ready.
    pub try_other_daemons: bool,
    /// Single kind to send, instead of all kinds.
    pub only_kind: Option<&'static str>,
}

impl Default for Mix {
    fn default() -> Self {
        Self { pause_ms: 5, prompt_bytes: 800, chat_tokens: 40, try_other_daemons: true, only_kind: None }
    }
}

/// Running callers.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    tasks: JoinSet<Vec<(Call, Answer)>>,
}

/// Kinds that are sent by default.
pub const KINDS: [&str; 5] = ["stock-ping", "order-confirm", "counter-answer", "chat-reply", "catalogue-query"];

/// Returns a request of the given kind, made unique by `n`.
#[must_use]
pub fn call(kind: &str, n: u64, mix: &Mix) -> Call {
    let base = Call { kind: kind.to_owned(), team: "dealers".to_owned(), ..Call::default() };
    match kind {
        "stock-ping" => Call { target: "till".into(), prompt: format!("stock {n}"), ..base },
        "order-confirm" => {
            Call { target: "till".into(), prompt: format!("order {n}"), key: Some(format!("order-{n}")), ..base }
        }
        "counter-answer" => Call {
            target: "catalogue-7b".into(),
            prompt: format!("contract {n}: may the number move?"),
            tokens: mix.chat_tokens,
            stream: n.is_multiple_of(3),
            ..base
        },
        "chat-reply" => Call {
            target: "catalogue-7b".into(),
            prompt: format!("chat {n}: which pad fits?"),
            tokens: mix.chat_tokens,
            stream: true,
            chat: true,
            ..base
        },
        _ => Call {
            target: "catalogue-7b".into(),
            prompt: format!("{:width$}{n}", "part ", width = mix.prompt_bytes),
            tokens: 8,
            stream: n.is_multiple_of(2),
            ..base
        },
    }
}

impl Load {
    /// Starts `callers` callers that send to the daemons at `addresses`.
    #[must_use]
    pub fn start(caller: &Caller, addresses: &[String], callers: usize, seed: u64, mix: Mix) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(AtomicU64::new(0));
        let mut tasks = JoinSet::new();
        for n in 0..callers {
            let worker = Worker {
                caller: caller.clone(),
                addresses: addresses.to_vec(),
                stop: Arc::clone(&stop),
                sent: Arc::clone(&sent),
                mix,
                first_number: (seed * 100 + n as u64) * 1_000_000,
                rng: SmallRng::seed_from_u64(seed + n as u64),
            };
            tasks.spawn(worker.run());
        }
        Self { stop, sent, tasks }
    }

    /// Returns the number of requests sent so far; one sent to several daemons counts each time.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Waits until `count` more requests have been sent, for at most
    /// [`WAIT_TIMEOUT`](crate::cluster::WAIT_TIMEOUT).
    pub async fn wait_for_requests(&self, count: u64) {
        let deadline = std::time::Instant::now() + crate::cluster::WAIT_TIMEOUT;
        let target = self.sent() + count;
        while self.sent() < target && std::time::Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Stops the callers after their current requests, and returns all answers.
    ///
    /// # Panics
    /// If a caller panicked.
    pub async fn finish(mut self) -> Vec<(Call, Answer)> {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Vec::new();
        while let Some(result) = self.tasks.join_next().await {
            all.extend(result.expect("callers do not panic"));
        }
        all
    }
}

/// Returns the requests of protected kinds that did not get a whole and exact answer.
#[must_use]
pub fn failed_protected(answers: &[(Call, Answer)]) -> Vec<String> {
    let protected = |call: &Call| matches!(call.kind.as_str(), "stock-ping" | "order-confirm" | "counter-answer");
    let failed = answers.iter().filter(|(call, got)| protected(call) && !(got.outcome == "whole" && got.exact));
    failed.map(|(call, got)| format!("{} {}: {got:?}", call.kind, call.prompt)).collect()
}

struct Worker {
    caller: Caller,
    addresses: Vec<String>,
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    mix: Mix,
    first_number: u64,
    rng: SmallRng,
}

impl Worker {
    async fn run(mut self) -> Vec<(Call, Answer)> {
        let mut all = Vec::new();
        for n in self.first_number..self.first_number + MAX_CALLS_PER_CALLER {
            if self.stop.load(Ordering::Relaxed) {
                break;
            }
            let kind = self.mix.only_kind.unwrap_or(KINDS[self.rng.random_range(0..KINDS.len())]);
            let call = call(kind, n, &self.mix);
            let got = self.send(&call).await;
            all.push((call, got));
            tokio::time::sleep(Duration::from_millis(self.mix.pause_ms)).await;
        }
        all
    }

    /// Sends a request as the platform's balancer does: tries another daemon if one accepts no
    /// connection or is not ready.
    async fn send(&mut self, call: &Call) -> Answer {
        let start = self.rng.random_range(0..self.addresses.len());
        let attempts = if self.mix.try_other_daemons { self.addresses.len() } else { 1 };
        let mut got = Answer::default();
        for i in 0..attempts {
            let address = &self.addresses[(start + i) % self.addresses.len()];
            self.sent.fetch_add(1, Ordering::Relaxed);
            got = self.caller.send(address, call).await;
            let may_try_other = got.reason == NO_CONNECTION || got.reason == "not_ready";
            if !may_try_other {
                break;
            }
        }
        got
    }
}

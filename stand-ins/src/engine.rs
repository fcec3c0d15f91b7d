//! A model engine: the engine model behind the completions API, in real time.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    body::{Body, Bytes},
    extract::{Query, State},
    http::{StatusCode, header::CONTENT_TYPE},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use dahliaseam_core::{
    custody::{EngineStatus, Fencing, OrderKind},
    endpoint::{LoadReport, Role},
    frame::FrameId,
    lease::Fence,
};
use dahliaseam_wire::engine::{
    CACHE_PATH, CacheEvent, EXTENSION, FrameExtension, Import, NOT_RUN, ORDER_PATH, OrderAnswer, OrderRequest,
    RELEASE_PATH, RequestExtension, STATUS_PATH, StatusReport,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::{Notify, mpsc};
use tokio_stream::wrappers::UnboundedReceiverStream;

use crate::{
    answer::{prompt_tokens, token},
    history::{Event, History},
    model::{self, EngineModel, Job, ModelParams},
    serve::Server,
};

/// How the engine misbehaves towards the next requests or orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFault {
    /// Requests that the faults below apply to.
    pub requests: u32,
    /// Break the connection after so many tokens.
    pub break_after: Option<u32>,
    /// Leave the token at this position out.
    pub gap_at: Option<u32>,
    /// Send each frame twice.
    pub duplicate: bool,
    /// Before each frame send one of another request.
    pub cross: bool,
    /// Fall silent after so many tokens.
    pub stall_after: Option<u32>,
    /// Crash in the middle of the next role change and start again with the old role.
    pub crash_in_change: bool,
    /// Milliseconds before the next order is looked at.
    pub order_delay_ms: u64,
}

/// How an engine is set up.
#[derive(Clone, Debug)]
pub struct EngineSetup {
    /// Where to serve.
    pub address: String,
    /// The role it starts with.
    pub role: Role,
    /// Whether it refuses old fencing numbers.
    pub fencing: Fencing,
    /// The model's parameters.
    pub params: ModelParams,
    /// Where to note what ran.
    pub history: History,
}

/// Samples of the load that are kept to report an old one.
const LOAD_SAMPLES: usize = 4_096;
/// Cache events that are kept.
const CACHE_EVENTS: usize = 1_024;

struct Sink {
    tx: mpsc::UnboundedSender<std::io::Result<Bytes>>,
    ask: RequestExtension,
    prompt: String,
    chat: bool,
    position: u32,
    fault: EngineFault,
}

struct Inner {
    model: EngineModel,
    sinks: HashMap<u64, Sink>,
    next_id: u64,
    boot: u64,
    cordoned: bool,
    changing: bool,
    fence: Fence,
    last: (u64, u64),
    loaded: Vec<String>,
    exports: HashSet<String>,
    loads: VecDeque<(Instant, LoadReport)>,
    cache: VecDeque<(Instant, CacheEvent)>,
    cache_number: u64,
    fault: EngineFault,
}

struct Engine {
    setup: EngineSetup,
    inner: Mutex<Inner>,
    work: Notify,
}

type Shared = Arc<Engine>;

/// The stand-in.
#[derive(Debug)]
pub struct EngineStandIn {
    server: Server,
    steps: tokio::task::JoinHandle<()>,
}

impl Drop for EngineStandIn {
    fn drop(&mut self) {
        self.steps.abort();
    }
}

impl EngineStandIn {
    /// Serve an idle engine.
    ///
    /// # Errors
    /// Why the address cannot be bound.
    pub async fn start(setup: EngineSetup) -> std::io::Result<Self> {
        let address = setup.address.clone();
        let engine: Shared = Arc::new(Engine {
            inner: Mutex::new(Inner {
                model: EngineModel::new(setup.params, setup.role),
                sinks: HashMap::new(),
                next_id: 0,
                boot: crate::history::monotonic_micros(),
                cordoned: false,
                changing: false,
                fence: Fence::default(),
                last: (0, 0),
                loaded: Vec::new(),
                exports: HashSet::new(),
                loads: VecDeque::new(),
                cache: VecDeque::new(),
                cache_number: 0,
                fault: EngineFault::default(),
            }),
            setup,
            work: Notify::new(),
        });
        let steps = tokio::spawn(run_steps(Arc::clone(&engine)));
        let router = Router::new()
            .route("/v1/completions", post(complete))
            .route("/v1/chat/completions", post(chat))
            .route(ORDER_PATH, post(order))
            .route(STATUS_PATH, get(status))
            .route(CACHE_PATH, get(cache))
            .route(RELEASE_PATH, post(release))
            .route("/fault", post(set_fault))
            .with_state(engine);
        Ok(Self { server: Server::start(&address, router).await?, steps })
    }

    /// The server.
    #[must_use]
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Serve until the process ends.
    pub async fn forever(self) {
        std::future::pending::<()>().await;
    }
}

impl Engine {
    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }
}

impl Inner {
    fn sample_load(&mut self) {
        let load = self.model.load();
        if self.loads.back().is_none_or(|(_, last)| *last != load) {
            self.loads.push_back((Instant::now(), load));
        }
        if self.loads.len() > LOAD_SAMPLES {
            self.loads.pop_front();
        }
    }

    fn note_cache(&mut self, prefix: u64, cached: bool, gap: u64) {
        self.cache_number += 1;
        if gap > 0 && self.cache_number.is_multiple_of(gap) {
            return;
        }
        let event = CacheEvent { number: self.cache_number, prefix, cached };
        self.cache.push_back((Instant::now(), event));
        if self.cache.len() > CACHE_EVENTS {
            self.cache.pop_front();
        }
    }

    fn cut_all(&mut self, history: &History) {
        for id in self.model.lose_all() {
            if let Some(sink) = self.sinks.remove(&id) {
                history.note(Event::Cut { request: sink.ask.request.clone() });
                let _ = sink.tx.send(Err(std::io::Error::other("cut")));
            }
        }
    }

    fn deliver(&mut self, event: model::Event) {
        let (model::Event::Token(id) | model::Event::Done(id)) = event;
        let Some(sink) = self.sinks.get_mut(&id) else { return };
        let open = match event {
            model::Event::Token(_) => sink.send_token(),
            // A silent engine does not say that it has ended either.
            model::Event::Done(_) if sink.is_silent() => return,
            model::Event::Done(_) => {
                let handle = sink.ask.export.then(|| format!("kv-{id}"));
                self.exports.extend(handle.clone());
                sink.send_end(handle);
                false
            }
        };
        if !open {
            self.sinks.remove(&id);
            self.model.cancel(id);
        }
    }
}

impl Sink {
    fn is_silent(&self) -> bool {
        self.fault.stall_after.is_some_and(|at| self.position >= at)
    }

    /// Send the next token; returns whether the stream goes on.
    fn send_token(&mut self) -> bool {
        let position = self.position;
        self.position += 1;
        let faulty = |at: Option<u32>| at.is_some_and(|at| position >= at);
        if faulty(self.fault.break_after) {
            let _ = self.tx.send(Err(std::io::Error::other("broken")));
            return false;
        }
        if faulty(self.fault.stall_after) || self.fault.gap_at == Some(position) {
            return !self.tx.is_closed();
        }
        if self.fault.cross {
            let mut other = self.ask.clone();
            other.request.push_str("-other");
            let _ = self.tx.send(Ok(frame(&other, position, 1, "wrong ", self.chat, None)));
        }
        let text = token(&self.prompt, position);
        let data = frame(&self.ask, position, 1, &text, self.chat, None);
        if self.fault.duplicate {
            let _ = self.tx.send(Ok(data.clone()));
        }
        self.tx.send(Ok(data)).is_ok()
    }

    fn send_end(&self, handle: Option<String>) {
        let end = frame(&self.ask, self.position, 0, "", self.chat, Some(&End { handle }));
        let _ = self.tx.send(Ok(end));
        let _ = self.tx.send(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
    }
}

/// The end of an answer, with the handle of an export.
struct End {
    handle: Option<String>,
}

/// A server-sent event.
fn frame(ask: &RequestExtension, position: u32, tokens: u32, text: &str, chat: bool, end: Option<&End>) -> Bytes {
    let finish = if end.is_some() { json!("length") } else { Value::Null };
    let choice = if chat {
        json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish })
    } else {
        json!({ "index": 0, "text": text, "finish_reason": finish })
    };
    let mark = FrameExtension {
        id: FrameId { request: ask.request.clone(), attempt: ask.attempt, position },
        tokens,
        end: end.is_some(),
        handle: end.and_then(|end| end.handle.clone()),
    };
    let object = if chat { "chat.completion.chunk" } else { "text_completion" };
    let value = json!({ "id": ask.request, "object": object, "choices": [choice], EXTENSION: mark });
    Bytes::from(format!("data: {value}\n\n"))
}

async fn run_steps(engine: Shared) {
    let mut at = Instant::now();
    loop {
        let started = engine.lock().model.start_step();
        let Some(seconds) = started else {
            engine.lock().sample_load();
            engine.work.notified().await;
            at = Instant::now();
            continue;
        };
        at += Duration::from_secs_f64(seconds);
        tokio::time::sleep_until(at.into()).await;
        let mut inner = engine.lock();
        for event in inner.model.finish_step() {
            inner.deliver(event);
        }
        let gap = engine.setup.params.cache_gap;
        for prefix in inner.model.take_evicted() {
            inner.note_cache(prefix, false, gap);
        }
        inner.sample_load();
    }
}

async fn complete(State(engine): State<Shared>, Json(body): Json<Value>) -> Response {
    let prompt = body.get("prompt").and_then(Value::as_str).unwrap_or_default().to_owned();
    run(&engine, &body, prompt, false).await
}

async fn chat(State(engine): State<Shared>, Json(body): Json<Value>) -> Response {
    run(&engine, &body, chat_prompt(&body), true).await
}

/// The prompt that a chat's messages make.
#[must_use]
pub fn chat_prompt(body: &Value) -> String {
    let empty = Vec::new();
    let messages = body.get("messages").and_then(Value::as_array).unwrap_or(&empty);
    let contents = messages.iter().filter_map(|m| m.get("content").and_then(Value::as_str));
    contents.collect::<Vec<_>>().join("\n")
}

async fn run(engine: &Shared, body: &Value, prompt: String, chat: bool) -> Response {
    let ask: RequestExtension =
        body.get(EXTENSION).and_then(|v| serde_json::from_value(v.clone()).ok()).unwrap_or_else(direct_ask);
    if let Some(import) = &ask.import
        && !fetch_export(import).await
    {
        return (StatusCode::FAILED_DEPENDENCY, [(NOT_RUN, "1")], "no such export").into_response();
    }
    let output = body.get("max_tokens").and_then(Value::as_u64).unwrap_or(16) as u32;
    let mut inner = engine.lock();
    if inner.cordoned || inner.changing {
        return (StatusCode::SERVICE_UNAVAILABLE, [(NOT_RUN, "1")], "cordoned").into_response();
    }
    engine.setup.history.note(Event::Ran { request: ask.request.clone(), attempt: ask.attempt, key: None });
    let rx = inner.take_in(ask, prompt, output, chat);
    drop(inner);
    engine.work.notify_one();
    let body = Body::from_stream(UnboundedReceiverStream::new(rx));
    ([(CONTENT_TYPE, "text/event-stream")], body).into_response()
}

impl Inner {
    fn take_in(
        &mut self,
        ask: RequestExtension,
        prompt: String,
        output: u32,
        chat: bool,
    ) -> mpsc::UnboundedReceiver<std::io::Result<Bytes>> {
        let (tx, rx) = mpsc::unbounded_channel();
        self.next_id += 1;
        let prefix = dahliaseam_core::hash::prefix(prompt.as_bytes());
        let job = Job {
            id: self.next_id,
            prompt: prompt_tokens(&prompt) + ask.resume_at,
            prefix,
            output: output.saturating_sub(ask.resume_at).max(1),
            priority: ask.priority,
            imported: ask.import.is_some(),
            prefill_only: ask.export,
        };
        let mut fault = EngineFault::default();
        if self.fault.requests > 0 {
            self.fault.requests -= 1;
            fault = self.fault;
        }
        let position = ask.resume_at;
        self.sinks.insert(job.id, Sink { tx, ask, prompt, chat, position, fault });
        self.model.submit(job);
        self.note_cache(prefix, true, 0);
        self.sample_load();
        rx
    }
}

fn direct_ask() -> RequestExtension {
    RequestExtension {
        request: "direct".to_owned(),
        attempt: 0,
        priority: 0,
        resume_at: 0,
        export: false,
        import: None,
    }
}

/// Take an exported KV cache over from the engine that has it.
async fn fetch_export(import: &Import) -> bool {
    let client = dahliaseam_border::http::HttpClient::new(dahliaseam_border::http::Reuse::Fresh);
    let url = format!("http://{}{RELEASE_PATH}", import.from);
    let answer = client.post::<_, Value>(&url, &import.handle, Duration::from_secs(2)).await;
    answer.is_ok()
}

async fn release(State(engine): State<Shared>, Json(handle): Json<String>) -> Response {
    if engine.lock().exports.remove(&handle) {
        Json(Value::Null).into_response()
    } else {
        StatusCode::NOT_FOUND.into_response()
    }
}

async fn set_fault(State(engine): State<Shared>, Json(fault): Json<EngineFault>) {
    engine.lock().fault = fault;
}

async fn status(State(engine): State<Shared>) -> Json<StatusReport> {
    let mut inner = engine.lock();
    inner.sample_load();
    let lag = Duration::from_secs_f64(engine.setup.params.report_lag);
    let now = Instant::now();
    let old = inner.loads.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
    let load = old.map(|(_, load)| *load).unwrap_or_default();
    Json(StatusReport {
        status: EngineStatus {
            boot: inner.boot,
            role: inner.model.role(),
            cordoned: inner.cordoned,
            changing: inner.changing,
            epoch: inner.last.0,
            sequence: inner.last.1,
            running: inner.sinks.len() as u32,
            loaded: inner.loaded.clone(),
        },
        load,
        load_age_ms: lag.as_millis() as u64,
    })
}

#[derive(Debug, Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

async fn cache(State(engine): State<Shared>, Query(query): Query<After>) -> Json<Vec<CacheEvent>> {
    let lag = Duration::from_secs_f64(engine.setup.params.cache_lag);
    let now = Instant::now();
    let inner = engine.lock();
    let due = inner.cache.iter().filter(|(at, e)| e.number > query.after && now.duration_since(*at) >= lag);
    Json(due.map(|(_, event)| event.clone()).collect())
}

async fn order(State(engine): State<Shared>, Json(req): Json<OrderRequest>) -> Json<OrderAnswer> {
    let delay = std::mem::take(&mut engine.lock().fault.order_delay_ms);
    tokio::time::sleep(Duration::from_millis(delay)).await;
    let order = req.order;
    let mut inner = engine.lock();
    if let Some(answer) = refuse(&engine, &mut inner, &order, req.not_after_ms) {
        return Json(answer);
    }
    inner.last = (order.epoch, order.sequence);
    engine.setup.history.note(Event::OrderTaken {
        epoch: order.epoch,
        sequence: order.sequence,
        by: format!("{}@{}", order.by.vm, order.by.start),
        kind: order.kind.clone(),
        checks: engine.setup.fencing == Fencing::Checks,
    });
    match order.kind {
        OrderKind::Cordon => inner.cordoned = true,
        OrderKind::Uncordon => inner.cordoned = false,
        OrderKind::Fence => {}
        OrderKind::SetRole(role) => {
            inner.changing = true;
            let (engine, ids) = (Arc::clone(&engine), (order.epoch, order.sequence));
            tokio::spawn(change_role(engine, role, ids));
        }
        OrderKind::Load(name) => inner.loaded.push(name),
    }
    Json(OrderAnswer::Taken)
}

fn refuse(
    engine: &Engine,
    inner: &mut Inner,
    order: &dahliaseam_core::custody::Order,
    not_after_ms: u64,
) -> Option<OrderAnswer> {
    let refused = |why: &str| Some(OrderAnswer::Refused { why: why.to_owned() });
    if engine.setup.fencing == Fencing::Checks {
        if !inner.fence.admit(order.epoch) {
            let highest = inner.fence.highest();
            engine.setup.history.note(Event::OrderFenced { epoch: order.epoch, highest });
            return Some(OrderAnswer::Fenced { highest });
        }
        if order.boot != inner.boot {
            return refused("another boot");
        }
        if inner.last >= (order.epoch, order.sequence) {
            return refused("an old sequence number");
        }
        if wall_millis() > not_after_ms {
            return refused("too late");
        }
    }
    if inner.changing {
        return refused("an order is being carried out");
    }
    None
}

fn wall_millis() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

async fn change_role(engine: Shared, role: Role, ids: (u64, u64)) {
    let whole = Duration::from_secs_f64(engine.setup.params.change_seconds);
    engine.lock().cut_all(&engine.setup.history);
    tokio::time::sleep(whole / 2).await;
    if engine.lock().fault.crash_in_change {
        // Starting again takes the other half; the role is the old one and the memory is gone.
        tokio::time::sleep(whole / 2).await;
        let mut inner = engine.lock();
        inner.fault.crash_in_change = false;
        inner.boot += 1;
        inner.fence = Fence::default();
        inner.last = (0, 0);
        inner.changing = false;
        inner.cordoned = false;
        return;
    }
    tokio::time::sleep(whole / 2).await;
    let mut inner = engine.lock();
    inner.model.change_role(role);
    inner.changing = false;
    engine.setup.history.note(Event::OrderDone { epoch: ids.0, sequence: ids.1 });
}

//! Stand-in for a model engine: the engine model, run in real time behind the completions API.

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
    endpoint::{EngineLoad, Role},
    frame::FrameId,
    lease::Fence,
};
use dahliaseam_wire::engine::{
    ATTEMPT, CACHE_PATH, CacheEvent, EXTENSION, FrameExtension, Import, NOT_RUN, ORDER_PATH, OrderAnswer, OrderRequest,
    RELEASE_PATH, REQUEST, RequestExtension, STATUS_PATH, StatusReport,
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

/// Faults in the engine's handling of the next requests or orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFault {
    /// Number of requests to which the faults of the answer stream below apply.
    pub requests: u32,
    /// Break the connection after this number of output tokens.
    pub break_after: Option<u32>,
    /// Omit the output token at this position.
    pub gap_at: Option<u32>,
    /// Send each frame twice.
    pub duplicate: bool,
    /// Send a frame of another request before each frame.
    pub cross: bool,
    /// Stop sending after this number of output tokens, without closing the connection.
    pub stall_after: Option<u32>,
    /// Crash during the next role change, and restart with the old role.
    pub crash_in_change: bool,
    /// Delay before the next order is handled, in milliseconds.
    pub order_delay_ms: u64,
}

/// Setup of an engine.
#[derive(Clone, Debug)]
pub struct EngineSetup {
    /// Address to listen on, as `IP:port`.
    pub address: String,
    /// Initial role.
    pub role: Role,
    /// Whether it rejects orders with an old fencing number.
    pub fencing: Fencing,
    /// Parameters of the engine model.
    pub params: ModelParams,
    /// History in which requests and orders are recorded.
    pub history: History,
}

/// Number of load samples kept, from which an outdated load is reported.
const MAX_LOAD_SAMPLES: usize = 4_096;
/// Number of cache events kept.
const MAX_CACHE_EVENTS: usize = 1_024;

struct AnswerStream {
    tx: mpsc::UnboundedSender<std::io::Result<Bytes>>,
    req: RequestExtension,
    prompt: String,
    chat: bool,
    position: u32,
    fault: EngineFault,
}

struct EngineState {
    model: EngineModel,
    answers: HashMap<u64, AnswerStream>,
    next_id: u64,
    boot: u64,
    cordoned: bool,
    changing: bool,
    fence: Fence,
    last_order: (u64, u64),
    loaded: Vec<String>,
    exports: HashSet<String>,
    load_samples: VecDeque<(Instant, EngineLoad)>,
    cache_events: VecDeque<(Instant, CacheEvent)>,
    last_cache_event: u64,
    fault: EngineFault,
}

struct Engine {
    setup: EngineSetup,
    state: Mutex<EngineState>,
    work_added: Notify,
}

type SharedEngine = Arc<Engine>;

/// Running engine stand-in.
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
    /// Starts an idle engine.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(setup: EngineSetup) -> std::io::Result<Self> {
        let address = setup.address.clone();
        let engine: SharedEngine = Arc::new(Engine {
            state: Mutex::new(EngineState {
                model: EngineModel::new(setup.params, setup.role),
                answers: HashMap::new(),
                next_id: 0,
                boot: crate::history::monotonic_micros(),
                cordoned: false,
                changing: false,
                fence: Fence::default(),
                last_order: (0, 0),
                loaded: Vec::new(),
                exports: HashSet::new(),
                load_samples: VecDeque::new(),
                cache_events: VecDeque::new(),
                last_cache_event: 0,
                fault: EngineFault::default(),
            }),
            setup,
            work_added: Notify::new(),
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

    /// Server of this stand-in.
    #[must_use]
    pub const fn server(&self) -> &Server {
        &self.server
    }

    /// Serves until the process is killed.
    pub async fn serve_forever(self) {
        std::future::pending::<()>().await;
    }
}

impl Engine {
    fn lock(&self) -> std::sync::MutexGuard<'_, EngineState> {
        self.state.lock().expect("the lock is not poisoned")
    }
}

impl EngineState {
    fn sample_load(&mut self) {
        let load = self.model.load();
        if self.load_samples.back().is_none_or(|(_, last)| *last != load) {
            self.load_samples.push_back((Instant::now(), load));
        }
        if self.load_samples.len() > MAX_LOAD_SAMPLES {
            self.load_samples.pop_front();
        }
    }

    fn record_cache_event(&mut self, prefix: u64, cached: bool, gap: u64) {
        self.last_cache_event += 1;
        if gap > 0 && self.last_cache_event.is_multiple_of(gap) {
            return;
        }
        let event = CacheEvent { number: self.last_cache_event, prefix, cached };
        self.cache_events.push_back((Instant::now(), event));
        if self.cache_events.len() > MAX_CACHE_EVENTS {
            self.cache_events.pop_front();
        }
    }

    fn cut_requests(&mut self, history: &History) {
        for id in self.model.drop_jobs() {
            if let Some(answer) = self.answers.remove(&id) {
                history.record(Event::Cut { request: answer.req.request.clone() });
                let _ = answer.tx.send(Err(std::io::Error::other("request aborted by an order")));
            }
        }
    }

    fn send_event(&mut self, event: model::Event) {
        let (model::Event::Token(id) | model::Event::Done(id)) = event;
        let Some(answer) = self.answers.get_mut(&id) else { return };
        let is_open = match event {
            model::Event::Token(_) => answer.send_token(),
            // A stalled stream must not send its end either.
            model::Event::Done(_) if answer.is_stalled() => return,
            model::Event::Done(_) => {
                let handle = answer.req.export.then(|| format!("kv-{id}"));
                self.exports.extend(handle.clone());
                answer.send_end(handle);
                false
            }
        };
        if !is_open {
            self.answers.remove(&id);
            self.model.cancel(id);
        }
    }
}

impl AnswerStream {
    fn is_stalled(&self) -> bool {
        self.fault.stall_after.is_some_and(|at| self.position >= at)
    }

    /// Sends the next token. Returns whether the stream continues.
    fn send_token(&mut self) -> bool {
        let position = self.position;
        self.position += 1;
        let reached = |at: Option<u32>| at.is_some_and(|at| position >= at);
        if reached(self.fault.break_after) {
            let _ = self.tx.send(Err(std::io::Error::other("connection broken by an injected fault")));
            return false;
        }
        if reached(self.fault.stall_after) || self.fault.gap_at == Some(position) {
            return !self.tx.is_closed();
        }
        if self.fault.cross {
            let mut other = self.req.clone();
            other.request.push_str("-other");
            let _ = self.tx.send(Ok(frame(&other, position, 1, "wrong ", self.chat, None)));
        }
        let text = token(&self.prompt, position);
        let data = frame(&self.req, position, 1, &text, self.chat, None);
        if self.fault.duplicate {
            let _ = self.tx.send(Ok(data.clone()));
        }
        self.tx.send(Ok(data)).is_ok()
    }

    fn send_end(&self, handle: Option<String>) {
        let end = frame(&self.req, self.position, 0, "", self.chat, Some(&EndFrame { handle }));
        let _ = self.tx.send(Ok(end));
        let _ = self.tx.send(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
    }
}

/// End of an answer, with the handle of an exported KV cache.
struct EndFrame {
    handle: Option<String>,
}

/// Returns one frame of an answer as a server-sent event.
fn frame(req: &RequestExtension, position: u32, tokens: u32, text: &str, chat: bool, end: Option<&EndFrame>) -> Bytes {
    let finish = if end.is_some() { json!("length") } else { Value::Null };
    let choice = if chat {
        json!({ "index": 0, "delta": { "content": text }, "finish_reason": finish })
    } else {
        json!({ "index": 0, "text": text, "finish_reason": finish })
    };
    let extension = FrameExtension {
        id: FrameId { request: req.request.clone(), attempt: req.attempt, position },
        tokens,
        end: end.is_some(),
        handle: end.and_then(|end| end.handle.clone()),
    };
    let object = if chat { "chat.completion.chunk" } else { "text_completion" };
    let value = json!({ "id": req.request, "object": object, "choices": [choice], EXTENSION: extension });
    Bytes::from(format!("data: {value}\n\n"))
}

async fn run_steps(engine: SharedEngine) {
    let mut at = Instant::now();
    loop {
        let started = engine.lock().model.start_step();
        let Some(seconds) = started else {
            engine.lock().sample_load();
            engine.work_added.notified().await;
            at = Instant::now();
            continue;
        };
        at += Duration::from_secs_f64(seconds);
        tokio::time::sleep_until(at.into()).await;
        let mut state = engine.lock();
        for event in state.model.finish_step() {
            state.send_event(event);
        }
        let gap = engine.setup.params.cache_gap;
        for prefix in state.model.take_evicted() {
            state.record_cache_event(prefix, false, gap);
        }
        state.sample_load();
    }
}

async fn complete(State(engine): State<SharedEngine>, Json(body): Json<Value>) -> Response {
    let prompt = body.get("prompt").and_then(Value::as_str).unwrap_or_default().to_owned();
    run(&engine, &body, prompt, false).await
}

async fn chat(State(engine): State<SharedEngine>, Json(body): Json<Value>) -> Response {
    run(&engine, &body, chat_prompt(&body), true).await
}

/// Returns the prompt made from the messages of a chat request.
#[must_use]
pub fn chat_prompt(body: &Value) -> String {
    let empty = Vec::new();
    let messages = body.get("messages").and_then(Value::as_array).unwrap_or(&empty);
    let contents = messages.iter().filter_map(|m| m.get("content").and_then(Value::as_str));
    contents.collect::<Vec<_>>().join("\n")
}

async fn run(engine: &SharedEngine, body: &Value, prompt: String, chat: bool) -> Response {
    let req: RequestExtension =
        body.get(EXTENSION).and_then(|v| serde_json::from_value(v.clone()).ok()).unwrap_or_else(direct_request);
    if let Some(import) = &req.import
        && !import_kv_cache(import).await
    {
        return rejection(&req, StatusCode::FAILED_DEPENDENCY, "no such export");
    }
    let output = body.get("max_tokens").and_then(Value::as_u64).unwrap_or(16) as u32;
    let mut state = engine.lock();
    if state.cordoned || state.changing {
        return rejection(&req, StatusCode::SERVICE_UNAVAILABLE, "cordoned");
    }
    engine.setup.history.record(Event::Ran { request: req.request.clone(), attempt: req.attempt, key: None });
    let rx = state.accept_request(req, prompt, output, chat);
    drop(state);
    engine.work_added.notify_one();
    let body = Body::from_stream(UnboundedReceiverStream::new(rx));
    ([(CONTENT_TYPE, "text/event-stream")], body).into_response()
}

/// The answer to a call that does not run, which names the call.
fn rejection(req: &RequestExtension, status: StatusCode, why: &'static str) -> Response {
    let headers = [(NOT_RUN, "1".to_owned()), (REQUEST, req.request.clone()), (ATTEMPT, req.attempt.to_string())];
    (status, headers, why).into_response()
}

impl EngineState {
    fn accept_request(
        &mut self,
        req: RequestExtension,
        prompt: String,
        output: u32,
        chat: bool,
    ) -> mpsc::UnboundedReceiver<std::io::Result<Bytes>> {
        let (tx, rx) = mpsc::unbounded_channel();
        self.next_id += 1;
        let prefix = dahliaseam_core::hash::prefix(prompt.as_bytes());
        let job = Job {
            id: self.next_id,
            prompt_tokens: prompt_tokens(&prompt) + req.resume_at,
            prefix,
            output_tokens: output.saturating_sub(req.resume_at).max(1),
            priority: req.priority,
            imported: req.import.is_some(),
            prefill_only: req.export,
        };
        let mut fault = EngineFault::default();
        if self.fault.requests > 0 {
            self.fault.requests -= 1;
            fault = self.fault;
        }
        let position = req.resume_at;
        self.answers.insert(job.id, AnswerStream { tx, req, prompt, chat, position, fault });
        self.model.submit(job);
        self.record_cache_event(prefix, true, 0);
        self.sample_load();
        rx
    }
}

fn direct_request() -> RequestExtension {
    RequestExtension {
        request: "direct".to_owned(),
        attempt: 0,
        priority: 0,
        resume_at: 0,
        export: false,
        import: None,
    }
}

/// Imports an exported KV cache, which releases it at the engine that holds it. Returns whether it was there.
async fn import_kv_cache(import: &Import) -> bool {
    let client = dahliaseam_border::http::HttpClient::new(dahliaseam_border::http::Reuse::Fresh);
    let url = format!("http://{}{RELEASE_PATH}", import.from);
    let answer = client.post::<_, Value>(&url, &import.handle, Duration::from_secs(2)).await;
    answer.is_ok()
}

async fn release(State(engine): State<SharedEngine>, Json(handle): Json<String>) -> Response {
    if engine.lock().exports.remove(&handle) {
        Json(Value::Null).into_response()
    } else {
        StatusCode::NOT_FOUND.into_response()
    }
}

async fn set_fault(State(engine): State<SharedEngine>, Json(fault): Json<EngineFault>) {
    engine.lock().fault = fault;
}

async fn status(State(engine): State<SharedEngine>) -> Json<StatusReport> {
    let mut state = engine.lock();
    state.sample_load();
    let lag = Duration::from_secs_f64(engine.setup.params.report_lag);
    let now = Instant::now();
    let sample = state.load_samples.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
    let load = sample.map(|(_, load)| *load).unwrap_or_default();
    Json(StatusReport {
        status: EngineStatus {
            boot: state.boot,
            role: state.model.role(),
            cordoned: state.cordoned,
            changing: state.changing,
            epoch: state.last_order.0,
            sequence: state.last_order.1,
            running: state.answers.len() as u32,
            loaded: state.loaded.clone(),
        },
        load,
        load_age_ms: lag.as_millis() as u64,
    })
}

#[derive(Debug, Deserialize)]
struct CacheQuery {
    #[serde(default)]
    after: u64,
}

async fn cache(State(engine): State<SharedEngine>, Query(query): Query<CacheQuery>) -> Json<Vec<CacheEvent>> {
    let lag = Duration::from_secs_f64(engine.setup.params.cache_lag);
    let now = Instant::now();
    let state = engine.lock();
    let due = state.cache_events.iter().filter(|(at, e)| e.number > query.after && now.duration_since(*at) >= lag);
    Json(due.map(|(_, event)| event.clone()).collect())
}

async fn order(State(engine): State<SharedEngine>, Json(req): Json<OrderRequest>) -> Json<OrderAnswer> {
    let delay = std::mem::take(&mut engine.lock().fault.order_delay_ms);
    tokio::time::sleep(Duration::from_millis(delay)).await;
    let order = req.order;
    let mut state = engine.lock();
    if let Some(answer) = check_order(&engine, &mut state, &order, req.not_after_ms) {
        return Json(answer);
    }
    state.last_order = (order.epoch, order.sequence);
    engine.setup.history.record(Event::OrderTaken {
        epoch: order.epoch,
        sequence: order.sequence,
        by: format!("{}@{}", order.by.vm, order.by.start),
        kind: order.kind.clone(),
        checks: engine.setup.fencing == Fencing::Checks,
    });
    match order.kind {
        OrderKind::Cordon => state.cordoned = true,
        OrderKind::Uncordon => state.cordoned = false,
        OrderKind::Fence => {}
        OrderKind::SetRole(role) => {
            state.changing = true;
            let (engine, number) = (Arc::clone(&engine), (order.epoch, order.sequence));
            tokio::spawn(change_role(engine, role, number));
        }
        OrderKind::Load(name) => state.loaded.push(name),
    }
    Json(OrderAnswer::Taken)
}

fn check_order(
    engine: &Engine,
    state: &mut EngineState,
    order: &dahliaseam_core::custody::Order,
    not_after_ms: u64,
) -> Option<OrderAnswer> {
    let refused = |why: &str| Some(OrderAnswer::Refused { why: why.to_owned() });
    if engine.setup.fencing == Fencing::Checks {
        if !state.fence.admit(order.epoch) {
            let highest = state.fence.highest();
            engine.setup.history.record(Event::OrderFenced { epoch: order.epoch, highest });
            return Some(OrderAnswer::Fenced { highest });
        }
        if order.boot != state.boot {
            return refused("the order is for another start of the engine");
        }
        if state.last_order >= (order.epoch, order.sequence) {
            return refused("the sequence number is not above that of the last order");
        }
        if wall_millis() > not_after_ms {
            return refused("the order has expired");
        }
    }
    if state.changing {
        return refused("another order is being carried out");
    }
    None
}

fn wall_millis() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

async fn change_role(engine: SharedEngine, role: Role, number: (u64, u64)) {
    let duration = Duration::from_secs_f64(engine.setup.params.change_seconds);
    engine.lock().cut_requests(&engine.setup.history);
    tokio::time::sleep(duration / 2).await;
    if engine.lock().fault.crash_in_change {
        // The restart takes the other half. The engine has its old role, and its fencing and sequence
        // numbers are lost.
        tokio::time::sleep(duration / 2).await;
        let mut state = engine.lock();
        state.fault.crash_in_change = false;
        state.boot += 1;
        state.fence = Fence::default();
        state.last_order = (0, 0);
        state.changing = false;
        state.cordoned = false;
        return;
    }
    tokio::time::sleep(duration / 2).await;
    let mut state = engine.lock();
    state.model.change_role(role);
    state.changing = false;
    engine.setup.history.record(Event::OrderDone { epoch: number.0, sequence: number.1 });
}

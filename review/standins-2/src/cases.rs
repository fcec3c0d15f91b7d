//! The cases that are scripts.

use std::{
    env, fs,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    deployment::{HALLS, Record, configuration, daemons, prompt_headers, replica, request, wait_for},
    http,
    replica::piece,
    store::Store,
    wire::name,
};

const HELD: i32 = 0;
const BROKEN: i32 = 1;
const NOT_RUN: i32 = 2;

/// Plays a case; returns the status of its script.
pub fn run(case: &str, folder: &Path) -> i32 {
    let dir = env::temp_dir().join(format!("review-2-{case}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a temporary folder");
    let record = Record::create(&folder.join("record.txt"));
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let status = match case {
        "cut-answers" => cut_answers(&dir, &record, trouble),
        _ => NOT_RUN,
    };
    record.add(&format!("exit status {status}"));
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&dir);
    }
    status
}

/// What a caller received for one request.
struct Received {
    id: String,
    status: u16,
    is_complete: bool,
    has_seal: bool,
    body: String,
}

fn ask(address: SocketAddr, id: String, req: Vec<u8>, record: &Record) -> Received {
    record.add(&format!("sent {id}"));
    let received = match http::call(address, &req, Duration::from_secs(20)) {
        Ok(answer) => Received {
            id,
            status: answer.status(),
            is_complete: answer.complete,
            has_seal: answer.header(name("seal")).is_some(),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        },
        Err(_) => Received { id, status: 0, is_complete: false, has_seal: false, body: String::new() },
    };
    let Received { id, status, is_complete, body, .. } = &received;
    record.add(&format!("answered {id}: status {status}, complete {is_complete}, {} bytes", body.len()));
    received
}

/// Pieces of an answer of the engines and of the plain service, and the pause before each in milliseconds.
const ENGINE_ANSWER: (u64, u64) = (20, 100);
const PLAIN_ANSWER: (u64, u64) = (10, 50);
/// Routes of the configuration, each with its method and whether its answers are streams.
const ROUTES: [(&str, &str, bool); 4] =
    [("chat", "POST", true), ("match", "POST", true), ("ping", "POST", false), ("confirm", "GET", false)];
/// Callers of each route.
const CALLERS: usize = 6;

/// Answers without a length, and replicas that crash.
fn cut_answers(dir: &Path, record: &Record, trouble: bool) -> i32 {
    let store = Store::start();
    store.put(name("config-key"), &configuration(1));
    let [engine_pieces, engine_pause, plain_pieces, plain_pause] =
        [ENGINE_ANSWER.0, ENGINE_ANSWER.1, PLAIN_ANSWER.0, PLAIN_ANSWER.1].map(|n| n.to_string());
    let engine = ["unframed", &engine_pieces, &engine_pause];
    let plain = ["unframed", &plain_pieces, &plain_pause];
    let start_engine =
        |n: usize, stage: &str| replica(&store, &format!("i-{stage}-{n}"), "pool", HALLS[n % 3], stage, &engine);
    let _readers: Vec<_> = (0..3).map(|n| start_engine(n, "prefill")).collect();
    let mut engines: Vec<_> = (0..6).map(|n| start_engine(n, "decode")).collect();
    let mut plains: Vec<_> =
        (0..4).map(|n| replica(&store, &format!("i-till-{n}"), "till", HALLS[n % 3], "", &plain)).collect();
    let daemons = daemons(dir, &store);
    if !wait_for(Duration::from_secs(20), || daemons.iter().all(|daemon| daemon.is_ready())) {
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(5));
    let stop_at = Instant::now() + Duration::from_secs(12);
    let received: Arc<Mutex<Vec<(Received, bool)>>> = Arc::default();
    let mut callers = Vec::new();
    for n in 0..CALLERS * ROUTES.len() {
        let address = daemons[n % daemons.len()].callers;
        let (record, received) = (record.clone(), Arc::clone(&received));
        callers.push(thread::spawn(move || {
            let (route, method, is_stream) = ROUTES[n / CALLERS];
            for round in 0.. {
                if Instant::now() >= stop_at {
                    return;
                }
                let id = format!("{route}-{n}-{round}");
                let (headers, deadline_ms) =
                    if is_stream { (prompt_headers(), 15_000) } else { (String::new(), 4_000) };
                let body = if method == "POST" { "words" } else { "" };
                let req = request(method, &format!("/{route}/{n}"), &id, deadline_ms, &headers, body);
                let answer = ask(address, id, req, &record);
                let pause = if answer.status == 200 { 20 } else { 300 };
                received.lock().expect("lock").push((answer, is_stream));
                thread::sleep(Duration::from_millis(pause));
            }
        }));
    }
    thread::sleep(Duration::from_millis(4_000));
    if trouble {
        // Each crashes while it writes an answer, as a loaded replica does at any time.
        for (replicas, prefix, pause_ms) in [(&mut engines, "i-decode-", 1_050), (&mut plains, "i-till-", 275)] {
            let before = store.reports().len();
            let working = || {
                let reports = store.reports();
                let new = reports[before..]
                    .iter()
                    .filter_map(|line| line.split(' ').nth(3)?.strip_prefix(prefix)?.parse().ok());
                new.last()
            };
            if wait_for(Duration::from_secs(4), || working().is_some()) {
                let n: usize = working().unwrap_or(0);
                thread::sleep(Duration::from_millis(pause_ms));
                replicas[n].kill();
                record.add(&format!("{prefix}{n} crashes (SIGKILL)"));
            }
        }
    }
    for caller in callers {
        let _ = caller.join();
    }
    for line in store.reports() {
        record.add(&line);
    }
    let whole = |id: &str, is_stream: bool| {
        let pieces = if is_stream { ENGINE_ANSWER.0 } else { PLAIN_ANSWER.0 };
        (1..=pieces).map(|n| piece(id, n, is_stream)).collect::<String>()
    };
    let received = received.lock().expect("lock");
    let mut cut = Vec::new();
    for (answer, is_stream) in received.iter() {
        let whole = whole(&answer.id, *is_stream);
        if answer.status == 200 && answer.has_seal && answer.is_complete && answer.body != whole {
            cut.push(answer.id.clone());
            record.add(&format!(
                "BROKEN: the answer to {} has {} of {} bytes, and is complete for its caller",
                answer.id,
                answer.body.len(),
                whole.len()
            ));
        }
    }
    for daemon in &daemons {
        for line in daemon.log_lines("REPLICA_ENDED") {
            record.add(&format!("log of {}: {line}", daemon.vm));
        }
    }
    let served = received.iter().filter(|(answer, is_stream)| answer.body == whole(&answer.id, *is_stream)).count();
    record.add(&format!("{} requests, {served} answered whole, {} cut short and complete", received.len(), cut.len()));
    if served < received.len() / 2 {
        return NOT_RUN;
    }
    if cut.is_empty() { HELD } else { BROKEN }
}

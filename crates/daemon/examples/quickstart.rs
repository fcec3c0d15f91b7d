//! A whole deployment in one process: three daemons, engines of each role, plain services and the platform, all as
//! stand-ins on loopback. Callers send requests of every kind while the mix of kinds changes; then one request is
//! explained, and the daemons stop gracefully.

use std::{
    collections::BTreeMap,
    error::Error,
    sync::Arc,
    time::{Duration, Instant},
};

use dahliaseam_border::http::{HttpClient, Reuse};
use dahliaseam_core::{custody::Fencing, endpoint::Role};
use dahliaseam_settings::settings::Settings;
use dahliaseam_wire::resource::{Change, ResourceKind};
use dahliaseamd::{
    configuration::configure,
    controller::{Controller, Dependencies},
};
use futures_util::future::join_all;
use serde_json::{Value, json};
use stand_ins::{
    caller::{Answer, Call, Caller},
    engine::{EngineSetup, EngineStandIn},
    history::History,
    kv::Kv,
    model::ModelParams,
    plain::{Plain, PlainSetup},
    serve::free_address,
    vms::VmList,
};

type BoxError = Box<dyn Error + Send + Sync>;

/// Number of daemons.
const DAEMONS: usize = 3;
/// Number of concurrent callers.
const CALLERS: u64 = 24;
/// Duration of each of the two phases.
const PHASE_DURATION: Duration = Duration::from_secs(8);
/// Pause between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);
/// Time for which a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(15);
const ENGINES: [(&str, Role); 4] =
    [("engine-1", Role::Mixed), ("engine-2", Role::Mixed), ("engine-3", Role::Prefill), ("engine-4", Role::Decode)];

/// The phases: name, and how many of ten requests are of each kind.
const PHASES: [(&str, [(&str, u64); 4]); 2] = [
    ("chat", [("stock-ping", 2), ("order-confirm", 1), ("chat-reply", 6), ("catalogue-query", 1)]),
    ("catalogue", [("stock-ping", 2), ("order-confirm", 1), ("chat-reply", 1), ("catalogue-query", 6)]),
];

/// The stand-ins, which serve until this is dropped.
struct StandIns {
    kv: Kv,
    vms: VmList,
    engines: Vec<EngineStandIn>,
    plain_services: Vec<Plain>,
}

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let stand_ins = start_stand_ins().await?;
    let daemons = start_daemons(&stand_ins).await?;
    configure(&daemons, &stand_ins).await?;
    println!("three daemons, four engines and two plain services are running on loopback\n");

    let addresses: Vec<_> = daemons.iter().map(|d| d.node().settings.caller_address.clone()).collect();
    let mut example = None;
    for (phase, mix) in PHASES {
        let answers = run_phase(&addresses, phase, &mix).await;
        print_summary(phase, &answers);
        example =
            answers.into_iter().rfind(|(call, answer)| call.kind == "catalogue-query" && answer.outcome == "whole");
    }
    if let Some((_, answer)) = example {
        explain(&daemons, answer.request.as_deref().unwrap_or_default());
    }
    let started = Instant::now();
    join_all(daemons.into_iter().map(Controller::stop)).await;
    println!("\nall daemons stopped gracefully in {:.1} s", started.elapsed().as_secs_f64());
    Ok(())
}

async fn start_stand_ins() -> Result<StandIns, BoxError> {
    let local = || "127.0.0.1:0".to_owned();
    let params = ModelParams { change_seconds: 2.0, ..ModelParams::default() };
    let mut engines = Vec::new();
    for (name, role) in ENGINES {
        let history = History::in_memory(name);
        let setup = EngineSetup { address: local(), role, fencing: Fencing::Checks, params, history };
        engines.push(EngineStandIn::start(setup).await?);
    }
    let mut plain_services = Vec::new();
    for name in ["till-1", "till-2"] {
        let setup = PlainSetup { address: local(), work_ms: 5, history: History::in_memory(name) };
        plain_services.push(Plain::start(setup).await?);
    }
    Ok(StandIns {
        kv: Kv::start("127.0.0.1:0").await?,
        vms: VmList::start("127.0.0.1:0").await?,
        engines,
        plain_services,
    })
}

async fn start_daemons(stand_ins: &StandIns) -> Result<Vec<Controller>, BoxError> {
    let mut daemons = Vec::new();
    let mut list = Vec::new();
    for n in 1..=DAEMONS {
        let (vm, hall, peer) = (format!("entry-{n}"), format!("oslo-{n}"), free_address());
        list.push(json!({ "vm": vm, "hall": hall, "address": peer, "part": "entry" }));
        let settings: Settings = serde_json::from_value(json!({
            "vm": vm, "hall": hall, "keyspace": "/quickstart/",
            "caller_address": free_address(), "operator_address": free_address(), "peer_address": peer,
            "kv_address": stand_ins.kv.server().address().to_string(),
            "vm_list_address": stand_ins.vms.server().address().to_string(),
            "peer_secret": "quick-start-secret", "operator_token": "quick-start-token",
            "timing": { "probe_ms": 100, "list_ms": 200, "observe_ms": 200, "stop_grace_ms": 500 },
        }))?;
        let deps = Dependencies::real(&settings);
        daemons.push(Controller::start(settings, deps).await?);
    }
    let endpoints = ENGINES.iter().map(|(name, _)| *name).chain(["till-1", "till-2"]);
    list.extend(endpoints.map(|name| json!({ "vm": name, "hall": "oslo-1", "part": "endpoint" })));
    let url = format!("http://{}/vms", stand_ins.vms.server().address());
    let body = http_body_util::Full::from(bytes::Bytes::from(Value::Array(list).to_string()));
    let req = http::Request::put(url).header("content-type", "application/json").body(body)?;
    HttpClient::new(Reuse::Fresh).fetch(req, Duration::from_secs(2)).await?;
    Ok(daemons)
}

/// Creates Fjordkjede's resources, with these stand-ins as endpoints.
async fn configure(daemons: &[Controller], stand_ins: &StandIns) -> Result<(), BoxError> {
    let file: Value = serde_json::from_str(include_str!("../../../deploy/fjordkjede/resources.json"))?;
    let mut resources = file["resources"].as_array().cloned().unwrap_or_default();
    let engines = ENGINES.iter().zip(&stand_ins.engines);
    resources.extend(engines.map(|((name, role), engine)| {
        json!({ "kind": "endpoint", "name": name, "spec": {
            "pool": "catalogue", "address": engine.server().address().to_string(), "vm": name,
            "hall": "oslo-1", "role": role, "fencing": "checks",
        } })
    }));
    let plain_services = ["till-1", "till-2"].iter().zip(&stand_ins.plain_services);
    resources.extend(plain_services.map(|(name, plain)| {
        json!({ "kind": "endpoint", "name": name, "spec": {
            "pool": "till", "address": plain.server().address().to_string(), "vm": name,
            "hall": "oslo-1", "role": "plain",
        } })
    }));
    let changes: Vec<_> = resources
        .into_iter()
        .map(|r| {
            let kind: ResourceKind = serde_json::from_value(r["kind"].clone())?;
            let name = r["name"].as_str().unwrap_or_default().to_owned();
            Ok(Change { kind, name, based_on: None, spec: Some(r["spec"].clone()) })
        })
        .collect::<Result<_, serde_json::Error>>()?;
    let until = Instant::now() + Duration::from_secs(20);
    while let Err(why) = configure::change(daemons[0].node(), &changes).await {
        if Instant::now() > until {
            return Err(format!("the resources were not accepted: {why:?}").into());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    while !daemons.iter().all(|d| d.node().is_ready() && d.node().document().generation > 0) {
        if Instant::now() > until {
            return Err("the daemons did not become ready in time".into());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

async fn run_phase(addresses: &[String], phase: &str, mix: &[(&'static str, u64)]) -> Vec<(Call, Answer)> {
    let caller = Caller::new(History::in_memory("caller"), CALLER_TIMEOUT);
    let addresses = Arc::new(addresses.to_vec());
    let until = Instant::now() + PHASE_DURATION;
    let callers = (0..CALLERS).map(|n| {
        let (caller, addresses, mix, phase) = (caller.clone(), Arc::clone(&addresses), mix.to_vec(), phase.to_owned());
        tokio::spawn(async move {
            let mut answers = Vec::new();
            for i in 0_u64.. {
                if Instant::now() >= until {
                    break;
                }
                let call = call(pick(&mix, n + i), &format!("{phase} {n} {i}"));
                let address = &addresses[((n + i) % addresses.len() as u64) as usize];
                let answer = caller.send(address, &call).await;
                answers.push((call, answer));
                tokio::time::sleep(REQUEST_INTERVAL).await;
            }
            answers
        })
    });
    join_all(callers).await.into_iter().flatten().flatten().collect()
}

/// The kind of the `n`th request.
fn pick(mix: &[(&'static str, u64)], n: u64) -> &'static str {
    let mut slot = n * 7 % 10;
    for (kind, share) in mix {
        if slot < *share {
            return kind;
        }
        slot -= share;
    }
    mix[0].0
}

fn call(kind: &str, id: &str) -> Call {
    let base = Call { kind: kind.to_owned(), team: "dealers".to_owned(), ..Call::default() };
    let model = "catalogue-7b".to_owned();
    match kind {
        "stock-ping" => Call { target: "till".into(), prompt: format!("stock {id}"), ..base },
        "order-confirm" => {
            Call { target: "till".into(), prompt: format!("order {id}"), key: Some(id.replace(' ', "-")), ..base }
        }
        "chat-reply" => Call {
            target: model,
            prompt: format!("{id}: which brake pad fits a 2019 hub?"),
            tokens: 48,
            stream: true,
            chat: true,
            ..base
        },
        _ => Call { target: model, prompt: format!("{:6000}{id}", "worn part against catalogue"), tokens: 12, ..base },
    }
}

fn print_summary(phase: &str, answers: &[(Call, Answer)]) {
    let mut by_kind: BTreeMap<&str, Vec<&Answer>> = BTreeMap::new();
    for (call, answer) in answers {
        by_kind.entry(&call.kind).or_default().push(answer);
    }
    println!("phase {phase}: {} requests", answers.len());
    println!("  {:16} {:>6} {:>7} {:>8} {:>8}", "kind", "sent", "whole", "exact", "first");
    for (kind, answers) in by_kind {
        let count = |test: fn(&Answer) -> bool| answers.iter().filter(|answer| test(answer)).count();
        let mut first: Vec<_> = answers.iter().filter(|g| g.outcome == "whole").map(|g| g.first_micros).collect();
        first.sort_unstable();
        let median = first.get(first.len() / 2).copied().unwrap_or(0) as f64 / 1_000.0;
        let (whole, exact) = (count(|g| g.outcome == "whole"), count(|g| g.exact));
        println!("  {kind:16} {:6} {whole:7} {exact:8} {median:5.1} ms", answers.len());
    }
}

fn explain(daemons: &[Controller], request: &str) {
    let record = daemons.iter().find_map(|d| d.node().records.get(request));
    let Some(record) = record else { return };
    println!("\nrouting of request {request}:");
    for attempt in record.attempts {
        let via = attempt.prefill.map(|p| format!(", prefill at {p}")).unwrap_or_default();
        println!("  attempt {}: {}{via}; {:?}", attempt.attempt, attempt.endpoint, attempt.reason);
        for c in attempt.candidates {
            let skipped = c.skipped.map(|s| format!("; skipped: {s:?}")).unwrap_or_default();
            println!(
                "    {}: first token in {:.0} ms, complete in {:.0} ms{skipped}",
                c.endpoint, c.first_ms, c.whole_ms
            );
        }
    }
}

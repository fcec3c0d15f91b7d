//! Invalid input gets a specific error and affects no other request.

use std::time::Duration;

use dahliaseam_core::{custody::Fencing, endpoint::Role};
use dahliaseam_settings::settings::Settings;
use dahliaseam_wire::resource::{Change, ResourceKind};
use dahliaseamd::{
    configuration::configure,
    controller::{Controller, Dependencies},
};
use serde_json::{Value, json};
use stand_ins::{
    caller::{Call, Caller},
    engine::{EngineSetup, EngineStandIn},
    history::History,
    kv::Kv,
    model::ModelParams,
    serve::free_address,
    vms::VmList,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const TIMEOUT: Duration = Duration::from_secs(20);

struct Deployment {
    daemon: Controller,
    address: String,
    engine: EngineStandIn,
    _kv: Kv,
    _vms: VmList,
}

fn change(kind: ResourceKind, name: &str, spec: Value) -> Change {
    Change { kind, name: name.to_owned(), based_on: None, spec: Some(spec) }
}

/// Starts one daemon and one engine in this process.
async fn start() -> Deployment {
    let kv = Kv::start("127.0.0.1:0").await.expect("a free port");
    let vms = VmList::start("127.0.0.1:0").await.expect("a free port");
    let engine = EngineStandIn::start(EngineSetup {
        address: "127.0.0.1:0".to_owned(),
        role: Role::Mixed,
        fencing: Fencing::Checks,
        params: ModelParams::default(),
        history: History::in_memory("engine"),
    })
    .await
    .expect("a free port");
    let (address, peer) = (free_address(), free_address());
    let settings: Settings = serde_json::from_value(json!({
        "vm": "entry-1", "hall": "h", "keyspace": "/limits/", "caller_address": address,
        "operator_address": free_address(), "peer_address": peer,
        "kv_address": kv.server().address().to_string(), "vm_list_address": vms.server().address().to_string(),
        "peer_secret": "a-secret-of-this-test", "operator_token": "a-token-of-this-test",
        "limits": { "body_bytes": 10_000, "header_ms": 500, "body_ms": 500, "header_bytes": 8192 },
        "timing": { "list_ms": 50, "probe_ms": 50, "stop_grace_ms": 50 },
    }))
    .expect("the settings are valid");
    let deps = Dependencies::real(&settings);
    let daemon = Controller::start(settings, deps).await.expect("the daemon starts");
    set_vm_list(&vms, &peer).await;
    let changes = [
        change(ResourceKind::Version, "v", json!({ "model": "m", "artifact": "a" })),
        change(ResourceKind::Model, "m", json!({ "version": "v" })),
        change(ResourceKind::Pool, "p", json!({ "endpoints": "engine", "models": ["m"] })),
        change(
            ResourceKind::Endpoint,
            "e",
            json!({ "pool": "p", "address": engine.server().address().to_string(), "vm": "vm-e", "hall": "h" }),
        ),
        change(
            ResourceKind::Kind,
            "chat",
            json!({ "priority": 3, "weight": 1, "deadline_ms": 20_000, "repeatable": true }),
        ),
    ];
    let until = tokio::time::Instant::now() + TIMEOUT;
    while configure::change(daemon.node(), &changes).await.is_err() {
        assert!(tokio::time::Instant::now() < until, "timed out waiting until the resources are accepted");
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    Deployment { daemon, address, engine, _kv: kv, _vms: vms }
}

async fn set_vm_list(vms: &VmList, peer: &str) {
    let list = json!([
        { "vm": "entry-1", "hall": "h", "address": peer, "part": "entry" },
        { "vm": "vm-e", "hall": "h", "part": "endpoint" },
    ]);
    let address = vms.server().address().to_string();
    let body = list.to_string();
    let text = format!(
        "PUT /vms HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    assert!(send_raw(&address, text.as_bytes()).await.starts_with("HTTP/1.1 200"));
}

/// Sends raw bytes and reads until the other side closes.
async fn send_raw(address: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the address accepts connections");
    let _ = stream.write_all(bytes).await;
    let mut buf = Vec::new();
    let _ = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut buf)).await;
    String::from_utf8_lossy(&buf).into_owned()
}

fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

async fn assert_serves(deployment: &Deployment) {
    let caller = Caller::new(History::in_memory("caller"), TIMEOUT);
    let call = Call {
        kind: "chat".into(),
        target: "m".into(),
        prompt: "hello".into(),
        tokens: 5,
        stream: true,
        ..Call::default()
    };
    let got = caller.send(&deployment.address, &call).await;
    assert_eq!((got.outcome.as_str(), got.exact), ("whole", true), "{got:?}");
}

#[tokio::test]
async fn each_invalid_request_gets_a_specific_error() {
    let deployment = start().await;
    let kind = "x-dahliaseam-kind: chat\r\n";
    let body = r#"{"model":"m","prompt":"hello"}"#;
    let oversized = "x".repeat(20_000);
    let cases = [
        (post("/nowhere", kind, body), 404, "unknown_path"),
        (post("/v1/completions", "", body), 400, "kind_missing"),
        (post("/v1/completions", "x-dahliaseam-kind: nothing\r\n", body), 400, "kind_unknown"),
        (post("/v1/completions", kind, "{"), 400, "body_invalid"),
        (post("/v1/completions", kind, "[]"), 400, "body_invalid"),
        (post("/v1/completions", kind, r#"{"prompt":"x"}"#), 400, "body_invalid"),
        (post("/v1/completions", kind, r#"{"model":"m","prompt":7}"#), 400, "body_invalid"),
        (post("/v1/completions", kind, r#"{"model":"m","prompt":"x","max_tokens":-1}"#), 400, "body_invalid"),
        (post("/v1/completions", kind, r#"{"model":"m","prompt":"x","stream":"yes"}"#), 400, "body_invalid"),
        (post("/v1/chat/completions", kind, r#"{"model":"m","messages":[]}"#), 400, "body_invalid"),
        (post("/v1/completions", kind, r#"{"model":"other","prompt":"x"}"#), 404, "model_unknown"),
        (post("/services/p/x", kind, body), 404, "pool_unknown"),
        (post("/v1/completions", &format!("{kind}x-dahliaseam-deadline-ms: soon\r\n"), body), 400, "deadline_invalid"),
        (post("/v1/completions", &format!("{kind}x-dahliaseam-deadline-ms: 1\r\n"), body), 503, "too_late"),
        (post("/v1/completions", kind, &oversized), 413, "body_large"),
    ];
    for (bytes, status, reason) in cases {
        let answer = send_raw(&deployment.address, bytes.as_bytes()).await;
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{reason}: {answer}");
        assert!(answer.contains(&format!("\"reason\":\"{reason}\"")), "{reason}: {answer}");
        assert!(answer.contains("\"outcome\":\"not_run\""), "{reason}: {answer}");
    }
    assert_serves(&deployment).await;
    deployment.daemon.stop().await;
}

#[tokio::test]
async fn slow_and_oversized_requests_are_ended() {
    let deployment = start().await;
    let slow_body = "POST /v1/completions HTTP/1.1\r\nhost: x\r\nx-dahliaseam-kind: chat\r\ncontent-length: 9\r\n\r\n{";
    let answer = send_raw(&deployment.address, slow_body.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    let slow_head = "POST /v1/completions HTTP/1.1\r\nhost:";
    let answer = send_raw(&deployment.address, slow_head.as_bytes()).await;
    assert!(!answer.contains("200"), "{answer}");
    let large_head = format!("GET / HTTP/1.1\r\nhost: x\r\nx: {}\r\n\r\n", "y".repeat(40_000));
    let answer = send_raw(&deployment.address, large_head.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    let answer = send_raw(&deployment.address, b"\x16\x03\x01 not http\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert_serves(&deployment).await;
    deployment.daemon.stop().await;
}

#[tokio::test]
async fn a_caller_disconnect_cancels_its_attempt() {
    let deployment = start().await;
    let body = r#"{"model":"m","prompt":"long","max_tokens":1000,"stream":true}"#;
    let bytes = post("/v1/completions", "x-dahliaseam-kind: chat\r\n", body);
    let mut stream = TcpStream::connect(&deployment.address).await.expect("the daemon accepts connections");
    stream.write_all(bytes.as_bytes()).await.expect("the connection is open");
    let mut buf = [0; 64];
    let read = stream.read(&mut buf).await.expect("the stream begins");
    assert!(read > 0);
    drop(stream);
    let status = format!("http://{}/control/status", deployment.engine.server().address());
    let client = dahliaseam_border::http::HttpClient::new(dahliaseam_border::http::Reuse::Fresh);
    let until = tokio::time::Instant::now() + TIMEOUT;
    loop {
        let report: Value = client.get(&status, TIMEOUT).await.expect("the engine answers");
        if report["status"]["running"] == 0 && deployment.daemon.node().dispatcher.counts().0 == 0 {
            break;
        }
        assert!(tokio::time::Instant::now() < until, "the attempt still runs: {report}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    deployment.daemon.stop().await;
}

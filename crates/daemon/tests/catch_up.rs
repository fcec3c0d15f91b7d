//! A daemon that hears of a newer configuration is not ready before it has fetched it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use dahliaseam_core::{
    freshness::Standing,
    member::{Contact, Health, Update},
};
use dahliaseam_settings::settings::Settings;
use dahliaseam_wire::{
    operator::{RequestRecord, VmStatus},
    peer::{Answer, DemandReport, Digest, Marks, MarksAnswer, PeerServer, Probe},
    resource::{Change, Document, ResourceKind},
};
use dahliaseamd::{
    configuration::configure,
    controller::{Controller, Outside},
};
use jsonrpsee::{
    core::{RpcResult, async_trait},
    server::Server,
    types::ErrorObjectOwned,
};
use serde_json::json;
use stand_ins::{kv::Kv, serve::free_address, vms::VmList};

const PATIENCE: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(20);

/// A peer that names a generation and hands no configuration over.
struct Peer {
    contact: Contact,
    generation: Arc<AtomicU64>,
    probes: Arc<AtomicU64>,
}

fn refused<T>() -> RpcResult<T> {
    Err(ErrorObjectOwned::owned(1, "not here", None::<()>))
}

#[async_trait]
impl PeerServer for Peer {
    async fn probe(&self, _: Probe) -> RpcResult<Answer> {
        self.probes.fetch_add(1, Ordering::SeqCst);
        let own = Update { contact: self.contact.clone(), start: 1, refutation: 0, health: Health::Alive };
        let generation = self.generation.load(Ordering::SeqCst);
        // Its own copy was never confirmed, so only the majority is left to go on by.
        let digest = Digest { generation, confirmed_ms: u64::MAX, marks: 0, list_ms: u64::MAX };
        Ok(Answer { start: 1, refutation: 0, updates: vec![own], digest, closed_vms: Vec::new(), loads: Vec::new() })
    }

    async fn probe_via(&self, _: Contact) -> RpcResult<Option<(u64, u32)>> {
        Ok(None)
    }

    async fn config(&self) -> RpcResult<Option<Document>> {
        refused()
    }

    async fn marks(&self, _: Marks) -> RpcResult<MarksAnswer> {
        refused()
    }

    async fn all_marks(&self) -> RpcResult<Vec<Marks>> {
        Ok(Vec::new())
    }

    async fn demand(&self) -> RpcResult<DemandReport> {
        Ok(DemandReport::default())
    }

    async fn explain(&self, _: String) -> RpcResult<Option<RequestRecord>> {
        Ok(None)
    }

    async fn status(&self) -> RpcResult<VmStatus> {
        refused()
    }
}

async fn put(address: &str, path: &str, method: &str, body: &serde_json::Value) {
    let client = dahliaseam_border::http::HttpClient::new(dahliaseam_border::http::Reuse::Fresh);
    let req = http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(http_body_util::Full::from(bytes::Bytes::from(body.to_string())))
        .expect("the parts are valid");
    let (status, _) = client.fetch(req, PATIENCE).await.expect("the stand-in answers");
    assert!(status.is_success());
}

async fn wait(what: &str, holds: impl AsyncFn() -> bool) {
    let until = tokio::time::Instant::now() + PATIENCE;
    while !holds().await {
        assert!(tokio::time::Instant::now() < until, "not in time: {what}");
        tokio::time::sleep(LOOK).await;
    }
}

#[tokio::test]
async fn a_majority_does_not_count_while_a_newer_configuration_is_missing() {
    let kv = Kv::start("127.0.0.1:0").await.expect("a free port");
    let vms = VmList::start("127.0.0.1:0").await.expect("a free port");
    let (kv_address, list) = (kv.server().address().to_string(), vms.server().address().to_string());
    let (peer_address, other) = (free_address(), free_address());
    let contact = Contact { vm: "entry-2".into(), hall: "h".into(), address: other.clone() };
    let (generation, probes) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let peer = Peer { contact, generation: Arc::clone(&generation), probes: Arc::clone(&probes) };
    let server = Server::builder().build(&other).await.expect("a free port").start(peer.into_rpc());

    let settings: Settings = serde_json::from_value(json!({
        "vm": "entry-1", "hall": "h", "keyspace": "/catch-up/", "caller_address": free_address(),
        "operator_address": free_address(), "peer_address": peer_address,
        "kv_address": kv_address, "vm_list_address": list,
        "peer_secret": "a-secret-of-this-test", "operator_token": "a-token-of-this-test",
        "timing": { "list_ms": 50, "probe_ms": 50, "confirm_ms": 500, "stop_grace_ms": 50 },
    }))
    .expect("the settings are good");
    let outside = Outside::real(&settings);
    let daemon = Controller::start(settings, outside).await.expect("the daemon starts");
    let entries = json!([
        { "vm": "entry-1", "hall": "h", "address": peer_address, "part": "entry" },
        { "vm": "entry-2", "hall": "h", "address": other, "part": "entry" },
    ]);
    put(&list, "/vms", "PUT", &entries).await;
    let node = Arc::clone(daemon.node());
    let team = Change { kind: ResourceKind::Team, name: "t".into(), based_on: None, spec: Some(json!({ "rate": 1 })) };
    wait("the change is accepted", async || configure::change(&node, std::slice::from_ref(&team)).await.is_ok()).await;

    // The platform is gone; the peer has no newer configuration: go on.
    put(&kv_address, "/fault", "POST", &json!({ "down": true })).await;
    put(&list, "/vms", "PUT", &serde_json::Value::Null).await;
    wait("it goes on by its majority", async || node.standing() == Standing::GoOn).await;

    // The peer names a newer one that it does not hand over.
    generation.store(99, Ordering::SeqCst);
    wait("it is cut off", async || node.standing() == Standing::CutOff).await;
    let before = probes.load(Ordering::SeqCst);
    wait("it is probed further", async || probes.load(Ordering::SeqCst) > before + 5).await;
    assert_eq!(node.standing(), Standing::CutOff, "answers alone do not make it ready");
    let _ = server.stop();
    daemon.abort();
}

//! A daemon that learns of a newer configuration is not ready before it has fetched it.

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
    peer::{DemandReport, Digest, Marks, MarksAnswer, PeerServer, Probe, ProbeAnswer},
    resource::{Change, Document, ResourceKind},
};
use dahliaseamd::{
    configuration::configure,
    controller::{Controller, Dependencies},
};
use jsonrpsee::{
    core::{RpcResult, async_trait},
    server::Server,
    types::ErrorObjectOwned,
};
use serde_json::json;
use stand_ins::{kv::Kv, serve::free_address, vms::VmList};

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A peer that reports a generation but does not hand over the configuration.
struct PeerStandIn {
    contact: Contact,
    generation: Arc<AtomicU64>,
    probes: Arc<AtomicU64>,
}

fn not_implemented<T>() -> RpcResult<T> {
    Err(ErrorObjectOwned::owned(1, "not implemented", None::<()>))
}

#[async_trait]
impl PeerServer for PeerStandIn {
    async fn probe(&self, _: Probe) -> RpcResult<ProbeAnswer> {
        self.probes.fetch_add(1, Ordering::SeqCst);
        let own = Update { contact: self.contact.clone(), start: 1, refutation: 0, health: Health::Alive };
        let generation = self.generation.load(Ordering::SeqCst);
        // Its own copy was never confirmed, so only the majority can keep the daemon ready.
        let digest = Digest { generation, confirmed_ms: u64::MAX, marks: 0, list_ms: u64::MAX };
        Ok(ProbeAnswer {
            start: 1,
            refutation: 0,
            updates: vec![own],
            digest,
            closed_vms: Vec::new(),
            loads: Vec::new(),
        })
    }

    async fn probe_via(&self, _: Contact) -> RpcResult<Option<(u64, u32)>> {
        Ok(None)
    }

    async fn config(&self) -> RpcResult<Option<Document>> {
        not_implemented()
    }

    async fn marks(&self, _: Marks) -> RpcResult<MarksAnswer> {
        not_implemented()
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
        not_implemented()
    }
}

async fn send(address: &str, path: &str, method: &str, body: &serde_json::Value) {
    let client = dahliaseam_border::http::HttpClient::new(dahliaseam_border::http::Reuse::Fresh);
    let req = http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(http_body_util::Full::from(bytes::Bytes::from(body.to_string())))
        .expect("the parts are valid");
    let (status, _) = client.fetch(req, TIMEOUT).await.expect("the stand-in answers");
    assert!(status.is_success());
}

async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let until = tokio::time::Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(tokio::time::Instant::now() < until, "timed out waiting until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test]
async fn a_daemon_stays_cut_off_until_it_has_a_known_newer_configuration() {
    let kv = Kv::start("127.0.0.1:0").await.expect("a free port");
    let vms = VmList::start("127.0.0.1:0").await.expect("a free port");
    let (kv_address, vm_list_address) = (kv.server().address().to_string(), vms.server().address().to_string());
    let (peer_address, stand_in_address) = (free_address(), free_address());
    let contact = Contact { vm: "entry-2".into(), hall: "h".into(), address: stand_in_address.clone() };
    let (generation, probes) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let peer = PeerStandIn { contact, generation: Arc::clone(&generation), probes: Arc::clone(&probes) };
    let server = Server::builder().build(&stand_in_address).await.expect("a free port").start(peer.into_rpc());

    let settings: Settings = serde_json::from_value(json!({
        "vm": "entry-1", "hall": "h", "keyspace": "/catch-up/", "caller_address": free_address(),
        "operator_address": free_address(), "peer_address": peer_address,
        "kv_address": kv_address, "vm_list_address": vm_list_address,
        "peer_secret": "a-secret-of-this-test", "operator_token": "a-token-of-this-test",
        "timing": { "list_ms": 50, "probe_ms": 50, "confirm_ms": 500, "stop_grace_ms": 50 },
    }))
    .expect("the settings are valid");
    let deps = Dependencies::real(&settings);
    let daemon = Controller::start(settings, deps).await.expect("the daemon starts");
    let entries = json!([
        { "vm": "entry-1", "hall": "h", "address": peer_address, "part": "entry" },
        { "vm": "entry-2", "hall": "h", "address": stand_in_address, "part": "entry" },
    ]);
    send(&vm_list_address, "/vms", "PUT", &entries).await;
    let node = Arc::clone(daemon.node());
    let team = Change { kind: ResourceKind::Team, name: "t".into(), based_on: None, spec: Some(json!({ "rate": 1 })) };
    wait_until("the change is accepted", async || configure::change(&node, std::slice::from_ref(&team)).await.is_ok())
        .await;

    // The platform is unreachable and the peer has no newer configuration, so the daemon continues.
    send(&kv_address, "/fault", "POST", &json!({ "down": true })).await;
    send(&vm_list_address, "/vms", "PUT", &serde_json::Value::Null).await;
    wait_until("it continues with its majority", async || node.standing() == Standing::GoOn).await;

    // The peer reports a newer generation, but does not hand the configuration over.
    generation.store(99, Ordering::SeqCst);
    wait_until("it is cut off", async || node.standing() == Standing::CutOff).await;
    let before = probes.load(Ordering::SeqCst);
    wait_until("the peer is probed more than five times again", async || probes.load(Ordering::SeqCst) > before + 5)
        .await;
    assert_eq!(node.standing(), Standing::CutOff, "answers alone do not make it ready");
    let _ = server.stop();
    daemon.abort();
}

//! An accepted configuration is in force at all daemons within seconds and never reverts.
//! Unauthenticated and malformed calls are refused.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use dahliaseam_core::member::Contact;
use dahliaseam_wire::peer::{Marks, PeerClient};
use jsonrpsee::http_client::{HttpClient as RpcClient, HttpClientBuilder};
use porcupine_rs::{Model, Operation, check_operations};
use proofs::{
    check::expect_none,
    cluster::{Cluster, ClusterSetup, PEER_SECRET},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use stand_ins::{history::monotonic_micros, relay::Link};

async fn start(links: bool) -> Cluster {
    Cluster::start(ClusterSetup {
        daemons: 3,
        engines: Vec::new(),
        plain_services: 1,
        links,
        ..ClusterSetup::default()
    })
    .await
}

/// Register that is changed by compare-and-swap on its version.
#[derive(Clone, Debug)]
struct Register;

/// Attempted change.
#[derive(Clone, Debug)]
enum Op {
    /// Change that was based on one version and accepted as another.
    Accepted { based_on: u64, version: u64 },
    /// Change that was rejected because another version was present.
    Conflict { based_on: u64, present: u64 },
    /// Change with an unknown outcome.
    Unknown,
}

impl Model for Register {
    type State = u64;
    type Op = Op;
    type Metadata = ();

    fn init() -> u64 {
        0
    }

    fn step(state: &u64, op: &Op) -> (bool, u64) {
        match op {
            Op::Accepted { based_on, version } => (state == based_on && version > state, *version),
            Op::Conflict { based_on, present } => (state == present && based_on != present, *state),
            // The change may have taken effect as any later version, or not at all. Only the second
            // case is modelled; in the first, operations that saw its version fail the check.
            Op::Unknown => (true, *state),
        }
    }
}

#[test]
fn the_register_check_rejects_a_lost_update() {
    let op = |call_time, return_time, op| Operation::<Register> {
        client_id: None,
        call_time,
        return_time,
        op,
        metadata: None,
    };
    let lost = [
        op(0, 1, Op::Accepted { based_on: 0, version: 5 }),
        op(2, 3, Op::Accepted { based_on: 5, version: 6 }),
        op(4, 5, Op::Accepted { based_on: 5, version: 7 }),
    ];
    assert!(!check_operations(&lost));
    let reverted =
        [op(0, 1, Op::Accepted { based_on: 0, version: 5 }), op(2, 3, Op::Conflict { based_on: 4, present: 3 })];
    assert!(!check_operations(&reverted));
}

/// Times and generations that each daemon reported while ready, by its VM and start number. A
/// restarted daemon is a separate entry.
type Observed = BTreeMap<(String, u64), Vec<(u64, u64)>>;

async fn watch_generations(cluster: &Cluster, stop: &AtomicBool) -> Observed {
    let mut observed = Observed::new();
    while !stop.load(Ordering::Relaxed) {
        for vm in cluster.daemons.keys() {
            let Some(report) = cluster.status(vm).await else { continue };
            let own = report.vms.into_iter().find(|v| v.vm == *vm);
            if let Some(own) = own.filter(|own| own.ready) {
                observed.entry((vm.clone(), own.start)).or_default().push((monotonic_micros(), own.generation));
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    observed
}

fn regressions(observed: &Observed) -> Vec<String> {
    let drops = observed.iter().flat_map(|(who, views)| {
        let drops = views.windows(2).filter(|pair| pair[1].1 < pair[0].1);
        drops.map(move |pair| format!("{who:?} went back from {} to {}", pair[0].1, pair[1].1))
    });
    drops.collect()
}

/// Returns the reports of an older generation more than `within` after a newer one was accepted.
fn stale_views(observed: &Observed, accepted: &[(u64, u64)], within: Duration) -> Vec<String> {
    let mut violations = Vec::new();
    for (who, views) in observed {
        for (at, generation) in views {
            let in_force = accepted.iter().filter(|(when, _)| when + within.as_micros() as u64 <= *at);
            let expected = in_force.map(|(_, version)| *version).max().unwrap_or(0);
            if *generation < expected {
                violations.push(format!("{who:?} still shows {generation} after {expected} was accepted"));
            }
        }
    }
    violations
}

#[test]
fn the_generation_checks_reject_a_regression_and_a_stale_view() {
    let observed = Observed::from([(("a".to_owned(), 1), vec![(10, 4), (20, 5), (30, 4)])]);
    assert_eq!(regressions(&observed).len(), 1);
    assert_eq!(stale_views(&observed, &[(5, 5)], Duration::from_micros(20)).len(), 1);
    assert!(stale_views(&observed, &[(5, 5)], Duration::from_micros(40)).is_empty());
}

/// Changes the rate of one team repeatedly through one daemon, each time based on the version that
/// it last received. Returns the operations, and the accepted versions with their times.
async fn update_repeatedly(
    cluster: &Cluster,
    vm: &str,
    seed: u64,
    rounds: usize,
) -> (Vec<Operation<Register>>, Vec<(u64, u64)>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut ops = Vec::new();
    let mut accepted = Vec::new();
    let mut based_on = 0;
    for _ in 0..rounds {
        let body = json!({ "resource_version": based_on, "spec": { "rate": rng.random_range(1..1000) } });
        let call_time = monotonic_micros().cast_signed();
        let response = cluster.operator_call(vm, "PUT", "/v1/teams/raced", Some(&body)).await;
        let return_time = monotonic_micros().cast_signed();
        let op = match response {
            Ok((status, value)) if status.is_success() => {
                let version = value["generation"].as_u64().expect("the response has a generation");
                accepted.push((return_time.cast_unsigned(), version));
                let op = Op::Accepted { based_on, version };
                based_on = version;
                Some(op)
            }
            Ok((status, value)) if status == 409 => {
                let present = value["present_version"].as_u64().expect("the response has the present version");
                let op = Op::Conflict { based_on, present };
                based_on = present;
                Some(op)
            }
            Ok((_, value)) if value["code"] == "unavailable" => None,
            _ => Some(Op::Unknown),
        };
        ops.extend(op.map(|op| Operation { client_id: None, call_time, return_time, op, metadata: None }));
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..15))).await;
    }
    (ops, accepted)
}

#[tokio::test]
async fn concurrent_updates_while_answers_are_lost() {
    let cluster = start(false).await;
    let stop = Arc::new(AtomicBool::new(false));
    let watching = watch_generations(&cluster, &stop);
    let updating = async {
        let lose_answers = async {
            for _ in 0..5 {
                tokio::time::sleep(Duration::from_millis(120)).await;
                cluster.inject_fault(&cluster.kv_address, &json!({ "lose_answers": 1 })).await;
            }
        };
        let updates = (
            update_repeatedly(&cluster, "entry-1", 1, 30),
            update_repeatedly(&cluster, "entry-2", 2, 30),
            update_repeatedly(&cluster, "entry-3", 3, 30),
        );
        let (a, b, c, ()) = tokio::join!(updates.0, updates.1, updates.2, lose_answers);
        tokio::time::sleep(Duration::from_secs(1)).await;
        stop.store(true, Ordering::Relaxed);
        [a, b, c]
    };
    let (observed, results) = tokio::join!(watching, updating);
    let ops: Vec<_> = results.iter().flat_map(|(ops, _)| ops.clone()).collect();
    let accepted: Vec<_> = results.iter().flat_map(|(_, accepted)| accepted.clone()).collect();
    assert!(accepted.len() > 20, "{} changes were accepted", accepted.len());
    assert!(check_operations(&ops), "the changes are not linearizable: {ops:#?}");
    expect_none("never reverts", &regressions(&observed));
    expect_none("in force everywhere", &stale_views(&observed, &accepted, Duration::from_secs(3)));
}

#[tokio::test]
async fn a_daemon_that_was_cut_off_is_not_ready_until_it_has_caught_up() {
    let cluster = start(true).await;
    let stop = Arc::new(AtomicBool::new(false));
    let watching = watch_generations(&cluster, &stop);
    let changing = async {
        cluster.set_daemon_links("entry-3", Link::Cut);
        let mut accepted = Vec::new();
        for rate in 1..40 {
            let body = json!({ "spec": { "rate": rate } });
            let (status, value) = cluster
                .operator_call("entry-1", "PUT", "/v1/teams/cut", Some(&body))
                .await
                .expect("the daemon responds");
            assert!(status.is_success(), "{value}");
            accepted.push((monotonic_micros(), value["generation"].as_u64().expect("the response has a generation")));
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        assert!(!cluster.is_ready("entry-3").await);
        let body = json!({ "spec": { "rate": 1 } });
        let (status, _) =
            cluster.operator_call("entry-3", "PUT", "/v1/teams/cut", Some(&body)).await.expect("the daemon responds");
        assert_eq!(status, 503, "a daemon without a majority accepts no change");
        cluster.set_daemon_links("entry-3", Link::Pass);
        cluster.wait_until("the daemon is ready again", async || cluster.is_ready("entry-3").await).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
        stop.store(true, Ordering::Relaxed);
        accepted
    };
    let (observed, accepted) = tokio::join!(watching, changing);
    expect_none("never reverts", &regressions(&observed));
    expect_none("in force everywhere", &stale_views(&observed, &accepted, Duration::from_secs(3)));
}

#[tokio::test]
async fn a_daemon_that_starts_during_an_outage_takes_the_newest_configuration_of_its_peers() {
    let mut cluster = start(false).await;
    let generation =
        cluster.apply_until_accepted(&[json!({ "kind": "team", "name": "new", "spec": { "rate": 5 } })]).await;
    cluster
        .wait_until("all daemons have the new generation", async || {
            let report = cluster.status("entry-1").await;
            report.is_some_and(|r| r.vms.iter().all(|vm| vm.generation == generation))
        })
        .await;
    cluster.inject_fault(&cluster.kv_address, &json!({ "down": true })).await;
    cluster.kill_daemon("entry-2");
    cluster.start_daemon("entry-2");
    cluster
        .wait_until("the daemon is ready without the key-value service", async || cluster.is_ready("entry-2").await)
        .await;
    let report = cluster.status("entry-2").await.expect("the daemon responds");
    assert!(report.vms.iter().all(|vm| vm.generation == generation), "{report:?}");
    let got = cluster
        .new_caller("caller")
        .send(
            &cluster.daemons["entry-2"].caller_address,
            &proofs::load::call("stock-ping", 1, &proofs::load::Mix::default()),
        )
        .await;
    assert_eq!(got.outcome, "whole", "{got:?}");
    // No new change can be accepted, and the response says so.
    let body = json!({ "spec": { "rate": 1 } });
    let (status, _) =
        cluster.operator_call("entry-1", "PUT", "/v1/teams/new", Some(&body)).await.expect("the daemon responds");
    assert!(status == 503 || status == 504, "{status}");
}

#[tokio::test]
async fn the_key_value_service_returns_stale_values_after_an_outage() {
    let cluster = start(false).await;
    let stop = Arc::new(AtomicBool::new(false));
    let watching = watch_generations(&cluster, &stop);
    let injecting = async {
        for rate in 1..4 {
            cluster.apply_until_accepted(&[json!({ "kind": "team", "name": "stale", "spec": { "rate": rate } })]).await;
            // Watches break, and the read that follows returns the values before the last change.
            cluster.inject_fault(&cluster.kv_address, &json!({ "down": true })).await;
            tokio::time::sleep(Duration::from_millis(800)).await;
            cluster.inject_fault(&cluster.kv_address, &json!({ "stale_reads": true })).await;
            tokio::time::sleep(Duration::from_millis(1_500)).await;
            cluster.inject_fault(&cluster.kv_address, &json!({})).await;
        }
        stop.store(true, Ordering::Relaxed);
    };
    let (observed, ()) = tokio::join!(watching, injecting);
    assert!(observed.values().all(|views| views.len() > 50), "{} daemons were watched", observed.len());
    expect_none("never reverts", &regressions(&observed));
}

#[tokio::test]
async fn invalid_changes_are_rejected_with_the_field_and_have_no_effect() {
    let cluster = start(false).await;
    let cases: [(&str, Value, &str); 5] = [
        ("/v1/kinds/k", json!({ "spec": { "priority": 1 } }), "spec"),
        ("/v1/teams/t", json!({ "spec": { "rate": -1 } }), "teams.t.rate"),
        (
            "/v1/endpoints/e",
            json!({ "spec": { "pool": "none", "address": "x", "vm": "v", "hall": "h" } }),
            "endpoints.e.pool",
        ),
        ("/v1/teams/t", json!({ "spec": { "rate": 1 }, "colour": "red" }), "colour"),
        ("/v1/teams/t", json!({ "spec": { "rate": "fast" } }), "spec.rate"),
    ];
    let before = cluster.status("entry-1").await.expect("the daemon responds").vms[0].generation;
    for (path, body, field) in cases {
        let (status, value) =
            cluster.operator_call("entry-1", "PUT", path, Some(&body)).await.expect("the daemon responds");
        assert_eq!(status, 422, "{value}");
        let problems = value["problems"].as_array().expect("the response lists problems").clone();
        assert!(problems.iter().any(|p| p.to_string().contains(field)), "{field}: {value}");
    }
    let after = cluster.status("entry-1").await.expect("the daemon responds").vms[0].generation;
    assert_eq!(before, after);
}

fn peer_client(cluster: &Cluster, vm: &str, secret: &str) -> RpcClient {
    let mut headers = http::HeaderMap::new();
    headers.insert("authorization", format!("Bearer {secret}").parse().expect("the header is valid"));
    HttpClientBuilder::default()
        .set_headers(headers)
        .build(format!("http://{}", cluster.daemons[vm].peer_address))
        .expect("the address is valid")
}

fn marks(epoch: u64, sequence: u64, leaving: &[&str]) -> Marks {
    Marks {
        shard: "foreign".to_owned(),
        epoch,
        sequence,
        leaving: leaving.iter().map(|name| (*name).to_owned()).collect(),
        roles: Vec::new(),
    }
}

#[tokio::test]
async fn marks_of_a_holder_without_authority_have_no_effect() {
    let cluster = start(false).await;
    let client = peer_client(&cluster, "entry-1", PEER_SECRET);
    assert!(client.marks(marks(5, 1, &["plain-1"])).await.expect("the daemon responds").taken);
    assert!(!client.marks(marks(4, 9, &[])).await.expect("the daemon responds").taken, "an older holder");
    assert!(
        !client.marks(marks(5, 0, &[])).await.expect("the daemon responds").taken,
        "a late message of the same holder"
    );
    let status = cluster.resource("entry-1", "endpoints", "plain-1").await;
    assert_eq!(status["status"]["open"], false, "{status}");
    // The marks reach the other daemons by gossip.
    cluster
        .wait_until("the other daemons have the marks", async || {
            cluster.resource("entry-3", "endpoints", "plain-1").await["status"]["open"] == false
        })
        .await;
    assert!(client.marks(marks(6, 1, &[])).await.expect("the daemon responds").taken);
    cluster
        .wait_until("the endpoint is open again", async || {
            cluster.resource("entry-3", "endpoints", "plain-1").await["status"]["open"] == true
        })
        .await;
}

#[tokio::test]
async fn unauthenticated_and_malformed_calls_are_refused_and_counted() {
    let cluster = start(false).await;
    let unauthenticated = peer_client(&cluster, "entry-1", "a-secret-that-is-wrong");
    let target = Contact { vm: "x".into(), hall: "y".into(), address: "127.0.0.1:1".into() };
    assert!(unauthenticated.probe_via(target).await.is_err());
    assert!(unauthenticated.marks(marks(99, 1, &["plain-1"])).await.is_err());
    let client = dahliaseam_border::http::HttpClient::new(dahliaseam_border::http::Reuse::Fresh);
    let operator = &cluster.daemons["entry-1"].operator_address;
    let limit = Duration::from_secs(5);
    let req = http::Request::get(format!("http://{operator}/v1/status")).body(http_body_util::Full::default());
    let (status, _) = client.fetch(req.expect("the request is valid"), limit).await.expect("the daemon responds");
    assert_eq!(status, 401);
    let bodies = [
        "",
        "{",
        "[]",
        "{\"jsonrpc\":\"2.0\"}",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"peer_marks\",\"params\":[7]}",
    ];
    for body in bodies {
        let req = http::Request::post(format!("http://{}", cluster.daemons["entry-1"].peer_address))
            .header("authorization", format!("Bearer {PEER_SECRET}"))
            .header("content-type", "application/json")
            .body(http_body_util::Full::from(bytes::Bytes::from(body)));
        let (_, response) = client.fetch(req.expect("the request is valid"), limit).await.expect("the daemon responds");
        assert!(!String::from_utf8_lossy(&response).contains("\"result\""), "{body}: {response:?}");
    }
    let metrics = cluster.metrics("entry-1").await;
    assert!(metrics.contains("dahliaseam_refused_calls_total{from=\"peer\""), "{metrics}");
    assert!(metrics.contains("dahliaseam_refused_calls_total{from=\"operator\""), "{metrics}");
    let got = cluster
        .new_caller("caller")
        .send(
            &cluster.daemons["entry-1"].caller_address,
            &proofs::load::call("stock-ping", 1, &proofs::load::Mix::default()),
        )
        .await;
    assert_eq!(got.outcome, "whole", "requests must still be served: {got:?}");
}

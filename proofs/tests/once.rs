//! Requests that must not be repeated run at most once, and none that ran is reported as not run.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use proofs::{
    check::{expect_none, false_not_run, repeated_keys},
    cluster::{Cluster, ClusterSetup},
    load::{Load, Mix, call},
};
use serde_json::json;
use stand_ins::caller::{Answer, Call};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

async fn start(work_ms: u64) -> Cluster {
    Cluster::start(ClusterSetup { engines: Vec::new(), plain_services: 2, work_ms, ..ClusterSetup::default() }).await
}

fn order_confirm(n: u64) -> Call {
    call("order-confirm", n, &Mix::default())
}

fn check_history(cluster: &Cluster) {
    let history = cluster.history();
    expect_none("at most once", &repeated_keys(&history));
    expect_none("refused requests did not run", &false_not_run(&history));
}

#[tokio::test]
async fn the_same_key_on_two_daemons_at_the_same_moment_and_later() {
    let cluster = start(20).await;
    let caller = cluster.new_caller("caller");
    let addresses = cluster.caller_addresses();
    for n in 0..20 {
        let call = order_confirm(n);
        let (first, second) = tokio::join!(caller.send(&addresses[0], &call), caller.send(&addresses[1], &call));
        let whole = |got: &Answer| got.outcome == "whole" && got.exact;
        assert!(whole(&first) || whole(&second), "{first:?} {second:?}");
        for got in [first, second] {
            assert!(whole(&got) || got.outcome == "unknown", "{got:?}");
        }
        let later = caller.send(&addresses[(n % 2) as usize], &call).await;
        assert!(whole(&later), "the recorded answer must be returned again: {later:?}");
    }
    check_history(&cluster);
}

#[tokio::test]
async fn a_key_used_for_another_request_is_refused() {
    let cluster = start(1).await;
    let caller = cluster.new_caller("caller");
    let address = &cluster.caller_addresses()[0];
    assert_eq!(caller.send(address, &order_confirm(1)).await.outcome, "whole");
    let other = Call { prompt: "another order".into(), ..order_confirm(1) };
    let got = caller.send(address, &other).await;
    assert_eq!((got.status, got.reason.as_str()), (422, "key_reused"), "{got:?}");
    check_history(&cluster);
}

#[tokio::test]
async fn a_request_without_a_required_key_is_refused() {
    let cluster = start(1).await;
    let keyless = Call { key: None, ..order_confirm(1) };
    let got = cluster.new_caller("caller").send(&cluster.caller_addresses()[0], &keyless).await;
    assert_eq!((got.status, got.reason.as_str(), got.outcome.as_str()), (400, "key_missing", "not_run"));
    check_history(&cluster);
}

#[tokio::test]
async fn an_answer_is_lost_after_the_request_ran() {
    let cluster = start(1).await;
    let caller = cluster.new_caller("caller");
    for name in ["plain-1", "plain-2"] {
        cluster.inject_endpoint_fault(name, &json!({ "lose_answers": 4 })).await;
    }
    for n in 0..4 {
        let got = caller.send(&cluster.caller_addresses()[0], &order_confirm(n)).await;
        // The outcome depends on whether the head of the answer arrived before the connection broke.
        assert!(matches!(got.outcome.as_str(), "ran" | "unknown"), "{got:?}");
        let again = caller.send(&cluster.caller_addresses()[1], &order_confirm(n)).await;
        assert_eq!((again.status, &again.outcome), (409, &got.outcome), "{again:?}");
    }
    check_history(&cluster);
}

#[tokio::test]
async fn a_daemon_is_killed_between_claim_and_answer() {
    let mut cluster = start(400).await;
    let caller = cluster.new_caller("caller");
    let vms: Vec<_> = cluster.daemons.keys().cloned().collect();
    let addresses = cluster.caller_addresses();
    let tasks: Vec<_> = (0..8)
        .map(|n| {
            let (caller, address) = (caller.clone(), addresses[0].clone());
            tokio::spawn(async move { caller.send(&address, &order_confirm(n)).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(150)).await;
    cluster.kill_daemon(&vms[0]);
    for task in tasks {
        assert_eq!(task.await.expect("callers do not panic").outcome, "none");
    }
    // A retry through another daemon never runs the request again. It is refused as in progress
    // while the claim's owner may still be running, and with a final outcome afterwards.
    for n in 0..8 {
        let got = caller.send(&addresses[1], &order_confirm(n)).await;
        assert!(got.outcome == "unknown" || got.outcome == "whole", "{got:?}");
    }
    cluster.start_daemon(&vms[0]);
    cluster.wait_until_ready().await;
    for n in 0..8 {
        cluster
            .wait_until("the outcome is final after the claim's owner is known to have terminated", async || {
                let got = caller.send(&addresses[1], &order_confirm(n)).await;
                got.reason == "key_used" || got.outcome == "whole"
            })
            .await;
    }
    check_history(&cluster);
}

#[tokio::test]
async fn the_key_value_service_is_down_then_loses_answers() {
    let cluster = start(1).await;
    let caller = cluster.new_caller("caller");
    let addresses = cluster.caller_addresses();
    cluster.inject_fault(&cluster.kv_address, &json!({ "down": true })).await;
    for n in 0..6 {
        let got = caller.send(&addresses[(n % 2) as usize], &order_confirm(n)).await;
        assert_eq!((got.outcome.as_str(), got.reason.as_str()), ("not_run", "claims_unavailable"), "{got:?}");
        assert!(got.retry_after_ms.is_some());
        // Requests that need no claim are still served.
        let ping = caller.send(&addresses[(n % 2) as usize], &call("stock-ping", n, &Mix::default())).await;
        assert_eq!(ping.outcome, "whole", "{ping:?}");
    }
    cluster.inject_fault(&cluster.kv_address, &json!({ "lose_answers": 5, "slow_ms": 10 })).await;
    cluster
        .wait_until("requests with a key are accepted again", async || {
            let got = caller.send(&addresses[0], &order_confirm(100)).await;
            got.outcome == "whole"
        })
        .await;
    for n in 0..6 {
        cluster
            .wait_until("the refused request runs", async || {
                caller.send(&addresses[(n % 2) as usize], &order_confirm(n)).await.outcome == "whole"
            })
            .await;
    }
    check_history(&cluster);
}

#[tokio::test]
async fn services_refuse_requests_and_crash_under_load() {
    let mut cluster = start(5).await;
    let caller = cluster.new_caller("caller");
    let load = Load::start(&caller, &cluster.caller_addresses(), 8, 7, Mix::default());
    for round in 0..3 {
        cluster.inject_endpoint_fault("plain-2", &json!({ "refuse": 20 })).await;
        load.wait_for_requests(60).await;
        cluster.kill_endpoint("plain-1");
        load.wait_for_requests(60).await;
        cluster.restart_endpoint("plain-1");
        cluster.inject_endpoint_fault("plain-1", &json!({ "lose_answers": round })).await;
    }
    load.finish().await;
    check_history(&cluster);
}

/// When a raw endpoint closes a connection.
#[derive(Clone, Copy, Debug)]
enum CloseTime {
    OnAccept,
    DuringRequest,
    AfterRequest,
    AfterResponse,
}

/// Starts an endpoint that closes connections at the given time. Also returns its count of the
/// requests that it received completely.
async fn raw_endpoint(close_time: CloseTime) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is available");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = vec![0; 4096];
            if matches!(close_time, CloseTime::OnAccept) {
                continue;
            }
            let read = stream.read(&mut buf).await.unwrap_or(0);
            if read == 0 || matches!(close_time, CloseTime::DuringRequest) {
                continue;
            }
            count.fetch_add(1, Ordering::SeqCst);
            if matches!(close_time, CloseTime::AfterResponse) {
                let response = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nyes\n";
                let _ = stream.write_all(response).await;
            }
        }
    });
    (address, received)
}

#[tokio::test]
async fn connections_close_before_during_and_after_the_write() {
    for close_time in [CloseTime::OnAccept, CloseTime::DuringRequest, CloseTime::AfterRequest, CloseTime::AfterResponse]
    {
        let cluster = Cluster::start(ClusterSetup {
            engines: Vec::new(),
            plain_services: 0,
            daemons: 1,
            ..ClusterSetup::default()
        })
        .await;
        let (address, received) = raw_endpoint(close_time).await;
        let spec = json!({ "pool": "till", "address": address, "vm": "entry-1", "hall": "hall-0", "role": "plain" });
        cluster.apply_until_accepted(&[json!({ "kind": "endpoint", "name": "raw", "spec": spec })]).await;
        let caller = cluster.new_caller("caller");
        for n in 0..3 {
            let before = received.load(Ordering::SeqCst);
            let got = caller.send(&cluster.caller_addresses()[0], &order_confirm(n)).await;
            let ran = received.load(Ordering::SeqCst) > before;
            assert!(!(ran && got.outcome == "not_run"), "{close_time:?}: {got:?}");
            if matches!(close_time, CloseTime::AfterResponse) && got.reason != "too_late" {
                assert_eq!(got.outcome, "whole", "{close_time:?}: {got:?}");
            }
        }
        assert!(received.load(Ordering::SeqCst) <= 3, "{close_time:?}: each request runs at most once");
    }
}

/// An answer of a raw endpoint.
fn raw_answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// A second answer that a raw endpoint sends late, in place of the answer to the next request on the connection.
#[derive(Clone, Copy, Debug)]
enum SecondAnswer {
    Rejection,
    Answer,
}

/// Starts an endpoint that rejects the first request on each connection, or answers it, and sends the same again in place of
/// its next answer. Also returns its count of the requests that it ran.
async fn endpoint_that_answers_twice(second: SecondAnswer) -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is available");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    let ran = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&ran);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = Arc::clone(&count);
            tokio::spawn(async move {
                let mut buf = vec![0; 4096];
                for n in 0.. {
                    let read = stream.read(&mut buf).await.unwrap_or(0);
                    if read == 0 {
                        return;
                    }
                    let text = String::from_utf8_lossy(&buf[..read]).into_owned();
                    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body).to_owned();
                    let own = raw_answer("200 OK", "", &format!("done: {body}"));
                    let first = match second {
                        SecondAnswer::Rejection => {
                            raw_answer("503 Service Unavailable", "x-dahliaseam-not-run: 1\r\n", "")
                        }
                        SecondAnswer::Answer => own.clone(),
                    };
                    let runs = n > 0 || matches!(second, SecondAnswer::Answer);
                    count.fetch_add(usize::from(runs), Ordering::SeqCst);
                    let late = if n == 0 { first } else { [stale(second), own].concat() };
                    let _ = stream.write_all(&late).await;
                }
            });
        }
    });
    (address, ran)
}

/// The second answer to the first request of a connection.
fn stale(second: SecondAnswer) -> Vec<u8> {
    match second {
        SecondAnswer::Rejection => raw_answer("503 Service Unavailable", "x-dahliaseam-not-run: 1\r\n", ""),
        SecondAnswer::Answer => raw_answer("200 OK", "", "done: another"),
    }
}

/// Sends repeatable calls to an endpoint that answers twice; returns each answer with the number of runs since the one
/// before.
async fn answers_of_endpoint_that_answers_twice(second: SecondAnswer) -> Vec<(Answer, usize)> {
    let setup = ClusterSetup { engines: Vec::new(), plain_services: 0, daemons: 1, ..ClusterSetup::default() };
    let cluster = Cluster::start(setup).await;
    let (address, ran) = endpoint_that_answers_twice(second).await;
    let spec = json!({ "pool": "till", "address": address, "vm": "entry-1", "hall": "hall-0", "role": "plain" });
    cluster.apply_until_accepted(&[json!({ "kind": "endpoint", "name": "raw", "spec": spec })]).await;
    let caller = cluster.new_caller("caller");
    let mut answers = Vec::new();
    for n in 0..4 {
        let before = ran.load(Ordering::SeqCst);
        let got = caller.send(&cluster.caller_addresses()[0], &call("stock-ping", n, &Mix::default())).await;
        answers.push((got, ran.load(Ordering::SeqCst) - before));
    }
    answers
}

/// Guards against a second rejection that is taken for the answer to the next request on a kept connection: the request ran
/// and its outcome was `not_run`.
#[tokio::test]
async fn a_second_rejection_on_a_kept_connection_is_no_proof_for_the_next_request() {
    for (got, runs) in answers_of_endpoint_that_answers_twice(SecondAnswer::Rejection).await {
        assert!(runs == 0 || got.outcome != "not_run", "{got:?} ran {runs} times");
    }
}

/// Guards against a second answer that is taken for the answer to the next request on a kept connection.
#[tokio::test]
async fn a_second_answer_on_a_kept_connection_is_not_the_next_request_s() {
    for (got, _) in answers_of_endpoint_that_answers_twice(SecondAnswer::Answer).await {
        assert!(got.outcome != "whole" || got.exact, "{got:?}");
    }
}

//! Callers that send much, slowly or without an end, against the process of a daemon that serves declared endpoints.
//!
//! Each test plays one such crowd and checks that the process lives, that its memory and its open files stay within those
//! of the machine, and that ordinary requests are answered while the crowd is connected and after it has left. The tests
//! run one after another.

use proofs::{
    cluster::{Cluster, ClusterSetup},
    crowd::{
        BODY_LIMIT, CROWD, EXCESS, LARGE_BODY, LARGE_CHUNK, LARGE_CHUNKS, PACED_CHUNKS, PIECE, Sender, Target, Usage,
        WHOLE_BUT_ONE,
    },
};
use serde_json::json;
use tokio::sync::Mutex;

/// Maximum number of connections of callers.
const CONNECTIONS: usize = 400;
/// Number of callers that together need more.
const CONNECTION_CROWD: usize = 600;
/// Files that a daemon needs for other purposes.
const OTHER_FILES: usize = 200;
/// Time limit of bodies and heads, in milliseconds: no crowd is ended by it.
const LONG_MS: u64 = 300_000;
const QUICK: &str = "POST /services/till/call HTTP/1.1\r\nHost: shop.example\r\nx-dahliaseam-kind: stock-ping\r\n";

/// Lets one test run at a time.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Plays a crowd against the only daemon of a cluster.
async fn withstand(sender: Sender, count: usize) {
    let _alone = ALONE.lock().await;
    let settings = json!({
        "limits": {"body_bytes": BODY_LIMIT, "header_ms": LONG_MS, "body_ms": LONG_MS, "connections": CONNECTIONS}
    });
    let mut cluster = Cluster::start(ClusterSetup { daemons: 1, settings, ..ClusterSetup::default() }).await;
    let (vm, daemon) = cluster.daemons.iter().next().expect("the cluster has a daemon");
    let (vm, address) = (vm.clone(), daemon.caller_address.parse().expect("valid address"));
    let target = Target { address, quick: QUICK, slow: QUICK };
    let process = cluster.daemon(&vm);
    let usage = Usage::start(process, target, CONNECTIONS + OTHER_FILES);
    usage.check_ordinary(process, "before the crowd").await;
    usage.withstand(process, vec![sender; count]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_large_bodies_that_lack_their_last_byte() {
    let sender = WHOLE_BUT_ONE;
    withstand(sender, CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_large_bodies_in_pieces_that_lack_their_last_byte() {
    let sender = Sender::Sized { length: LARGE_BODY, sent: LARGE_BODY - 1, write: PIECE };
    withstand(sender, CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_large_chunks_without_a_last_one() {
    let sender = LARGE_CHUNKS;
    withstand(sender, CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_small_chunks_one_at_a_time_without_a_last_one() {
    let sender = PACED_CHUNKS;
    withstand(sender, CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_chunked_bodies_far_over_the_limit() {
    let sender = Sender::Chunked { size: LARGE_CHUNK, count: EXCESS / LARGE_CHUNK, pause: None };
    withstand(sender, CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_connections_on_which_nothing_is_sent() {
    let sender = Sender::Nothing;
    withstand(sender, CONNECTION_CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_connections_with_a_small_body_that_lacks_its_last_byte() {
    let sender = Sender::Sized { length: 1_000, sent: 999, write: 999 };
    withstand(sender, CONNECTION_CROWD).await;
}

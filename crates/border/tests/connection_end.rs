//! Requests that are queued at the moment at which their connection ends.
//!
//! The queue between a request's sender and its connection first counts a request, then stores it. A connection that ends in
//! between finds the queue empty. The queue grows by an allocation between these steps, so the allocator of this program
//! can make that moment last until the connection has ended.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    cell::Cell,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use dahliaseam_border::{
    error::CallError,
    http::{HttpClient, Reuse},
    once,
};
use http::Request;
use http_body_util::{BodyExt, Full};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Number of requests after which the queue of a connection grows.
const QUEUE_BLOCK: usize = 32;
/// Minimum size of the allocation with which a queue grows; nothing else that a call allocates is as large.
const MIN_QUEUE_BYTES: usize = (8 << 10) + 1;
/// Time after which a connection whose response was read is idle.
const IDLE_DELAY: Duration = Duration::from_millis(20);
/// Time limit of a call. Its connection ends within milliseconds.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the task of a connection to end once its socket is closed.
const TASK_END_TIME: Duration = Duration::from_millis(50);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

thread_local! {
    static STALLS: Cell<bool> = const { Cell::new(false) };
}
/// A thread waits in the allocator.
static STALLED: AtomicBool = AtomicBool::new(false);
/// The connection of the stalled call has ended.
static ENDED: AtomicBool = AtomicBool::new(false);

struct StallingAllocator;

#[global_allocator]
static ALLOCATOR: StallingAllocator = StallingAllocator;

// SAFETY: all memory comes from the system's allocator, unchanged.
unsafe impl GlobalAlloc for StallingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        if layout.size() >= MIN_QUEUE_BYTES && STALLS.replace(false) {
            STALLED.store(true, Ordering::SeqCst);
            wait_until_set(&ENDED);
        }
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: `ptr` comes from `System` with this layout.
        unsafe { System.dealloc(ptr, layout) }
    }
}

fn wait_until_set(flag: &AtomicBool) {
    let deadline = Instant::now() + TIMEOUT;
    while !flag.load(Ordering::SeqCst) && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Answers requests until a call stalls, then closes the connection.
async fn serve(mut stream: TcpStream, requests: Arc<AtomicUsize>) -> std::io::Result<()> {
    let mut buf = [0; 1_024];
    loop {
        tokio::select! {
            read = stream.read(&mut buf) => {
                if read? == 0 {
                    return Ok(());
                }
                requests.fetch_add(1, Ordering::SeqCst);
                stream.write_all(ANSWER).await?;
            }
            () = stalled() => break,
        }
    }
    stream.shutdown().await?;
    while stream.read(&mut buf).await? > 0 {}
    tokio::time::sleep(TASK_END_TIME).await;
    ENDED.store(true, Ordering::SeqCst);
    Ok(())
}

/// Waits until a call stalls whose connection is open.
async fn stalled() {
    while !STALLED.load(Ordering::SeqCst) || ENDED.load(Ordering::SeqCst) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn request(url: &str) -> Request<Full<Bytes>> {
    Request::get(url).body(Full::default()).expect("the request is valid")
}

/// Guards against a call that waits for ever, since its connection ended while its request was being queued.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_call_whose_connection_ends_while_it_is_queued_is_sent_on_another() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let url = format!("http://{}/", listener.local_addr().expect("the listener is bound"));
    let connections = Arc::new(AtomicUsize::new(0));
    let requests = Arc::new(AtomicUsize::new(0));
    let (accepted, received) = (Arc::clone(&connections), Arc::clone(&requests));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            accepted.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(serve(stream, Arc::clone(&received)));
        }
    });
    let client = HttpClient::new(Reuse::Keep);
    for n in 0..QUEUE_BLOCK {
        let resp = client.send(request(&url)).await.expect("the call is answered");
        resp.into_body().collect().await.expect("the body arrives");
        tokio::time::sleep(IDLE_DELAY).await;
        assert_eq!(connections.load(Ordering::SeqCst), 1, "call {n}: the connection is reused");
    }
    STALLS.set(true);
    let result = tokio::time::timeout(TIMEOUT, client.send(request(&url))).await;
    assert!(ENDED.load(Ordering::SeqCst), "the queue has not grown, or its connection has not ended");
    result.expect("a call ends with its connection").expect("the call is answered on another connection");
    assert_eq!(connections.load(Ordering::SeqCst), 2, "connections");
    assert_eq!(requests.load(Ordering::SeqCst), QUEUE_BLOCK + 1, "requests");
}

/// Guards against a single call that waits for its time limit and counts as sent, since its connection was closed before
/// the call.
#[tokio::test(flavor = "multi_thread")]
async fn a_single_call_on_a_closed_connection_was_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let connecting = async {
        let stream = TcpStream::connect(address).await?;
        drop(listener.accept().await?);
        tokio::time::sleep(IDLE_DELAY).await;
        Ok(stream)
    };
    let result = once::call_on(connecting, request("/"), TIMEOUT).await;
    assert!(matches!(result, Err(CallError::NotSent(_))), "{result:?}");
}

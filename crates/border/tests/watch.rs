//! Watches of the key-value service that are cut short.

use dahliaseam_border::{
    error::CallError,
    etcd::Etcd,
    kv::{KeyValue, WatchEvent},
};
use futures_util::StreamExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const MESSAGE: &str = "{\"result\":{\"events\":[]}}\n";

/// Starts a service whose watches return `text` and end with their connection; returns its address.
async fn start_service(text: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound").to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection is accepted");
        let mut request = Vec::new();
        while !request.ends_with(b"}}") {
            stream.read_buf(&mut request).await.expect("the request arrives");
        }
        let response = format!("HTTP/1.1 200 OK\r\n\r\n{text}");
        stream.write_all(response.as_bytes()).await.expect("the response is read");
    });
    address
}

/// Guards against a watch that ended within a message being taken for one that ended after it.
#[tokio::test]
async fn a_watch_that_ends_within_a_message_is_lost() {
    for end in 0..MESSAGE.len() {
        let address = start_service(format!("{MESSAGE}{}", &MESSAGE[..end])).await;
        let mut events = Etcd::new(&address).watch("key").await.expect("the watch starts");
        assert_eq!(events.next().await, Some(Ok(WatchEvent::Alive)));
        let last = events.next().await;
        let is_lost = matches!(last, Some(Err(CallError::Lost(_))));
        assert_eq!(is_lost, end > 0, "{:?}: {last:?}", &MESSAGE[..end]);
    }
}

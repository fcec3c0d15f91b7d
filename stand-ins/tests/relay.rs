//! What the relay does with the connections of one source address.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use stand_ins::relay::{Link, Relay};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
};

const SOURCE: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 8));
const OTHER: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 0, 0, 9));
/// Time after which nothing more is expected to arrive.
const SILENCE: Duration = Duration::from_millis(100);

/// Starts a server that returns what it receives, and a relay to it.
async fn echo() -> Relay {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port is available");
    let address = listener.local_addr().expect("listener is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut rx, mut tx) = stream.split();
                let _ = tokio::io::copy(&mut rx, &mut tx).await;
            });
        }
    });
    Relay::start(address).await.expect("a free port is available")
}

async fn connect(relay: &Relay, source: IpAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket is available");
    socket.bind(SocketAddr::new(source, 0)).expect("a free port is available");
    socket.connect(relay.address()).await.expect("the relay listens")
}

/// Whether one byte is returned, `None` if nothing happens.
async fn is_echoed(stream: &mut TcpStream) -> Option<bool> {
    let exchange = async {
        stream.write_all(b"x").await?;
        stream.read_exact(&mut [0; 1]).await
    };
    tokio::time::timeout(SILENCE, exchange).await.ok().map(|end| end.is_ok())
}

/// Guards against a partition of one daemon that affects the others.
#[tokio::test]
async fn a_state_for_one_source_address_affects_no_other() {
    let relay = echo().await;
    let (mut source, mut other) = (connect(&relay, SOURCE).await, connect(&relay, OTHER).await);
    relay.set_for(SOURCE, Link::Reset);
    assert_ne!(is_echoed(&mut connect(&relay, SOURCE).await).await, Some(true));
    assert_ne!(is_echoed(&mut source).await, Some(true));
    assert_eq!(is_echoed(&mut other).await, Some(true));
    relay.set_for(SOURCE, Link::Pass);
    assert_eq!(is_echoed(&mut connect(&relay, SOURCE).await).await, Some(true));
}

/// Guards against a link that refuses new connections and breaks the open ones.
#[tokio::test]
async fn open_connections_outlive_the_refusal_of_new_ones() {
    let relay = echo().await;
    let mut open = connect(&relay, SOURCE).await;
    assert_eq!(is_echoed(&mut open).await, Some(true));
    relay.set_for(SOURCE, Link::RefuseNew);
    assert_eq!(is_echoed(&mut connect(&relay, SOURCE).await).await, Some(false));
    assert_eq!(is_echoed(&mut open).await, Some(true));
}

/// Guards against a partition in which connections open.
#[tokio::test]
async fn no_connection_opens_during_a_loss_of_packets() {
    let relay = echo().await;
    let mut open = connect(&relay, SOURCE).await;
    assert_eq!(is_echoed(&mut open).await, Some(true));
    relay.set_for(SOURCE, Link::Blackhole);
    assert!(tokio::time::timeout(SILENCE, connect(&relay, SOURCE)).await.is_err(), "a connection was established");
    assert_eq!(is_echoed(&mut connect(&relay, OTHER).await).await, Some(true));
    assert_eq!(is_echoed(&mut open).await, None);
    relay.set_for(SOURCE, Link::Pass);
    assert_eq!(is_echoed(&mut connect(&relay, SOURCE).await).await, Some(true));
    let mut returned = [0; 1];
    assert!(open.read_exact(&mut returned).await.is_ok(), "the held byte is delivered");
}

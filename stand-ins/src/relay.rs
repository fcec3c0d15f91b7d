//! A TCP relay that stands in for a network link, which tests can hold, cut, reset or slow down.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
};

/// State of the link: what the relay does with connections and data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Link {
    /// Forwards data.
    Pass = 0,
    /// Holds data: connections are accepted, but nothing is forwarded.
    Hold = 1,
    /// Closes connections at once.
    Cut = 2,
    /// Resets connections at once.
    Reset = 3,
    /// Forwards data with a delay.
    Slow = 4,
    /// Forwards data to the target, and holds the data that the target returns.
    HoldBack = 5,
}

impl Link {
    /// Returns the state with this number.
    const fn from_number(number: u8) -> Self {
        match number {
            1 => Self::Hold,
            2 => Self::Cut,
            3 => Self::Reset,
            4 => Self::Slow,
            5 => Self::HoldBack,
            _ => Self::Pass,
        }
    }

    /// Returns whether data in the given direction is held.
    fn is_held(self, is_to_client: bool) -> bool {
        self == Self::Hold || (self == Self::HoldBack && is_to_client)
    }

    const fn closes(self) -> bool {
        matches!(self, Self::Cut | Self::Reset)
    }
}

/// Interval at which a connection checks the state of the link.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay of a slow link.
const SLOW_DELAY: Duration = Duration::from_millis(120);
/// Size of the copy buffer, in bytes.
const BUF_BYTES: usize = 16 << 10;

/// Running relay.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    link: Arc<AtomicU8>,
    task: tokio::task::JoinHandle<()>,
}

impl Relay {
    /// Starts a relay from a free loopback port to `target`.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let link = Arc::new(AtomicU8::new(Link::Pass as u8));
        let state = Arc::clone(&link);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay_connection(stream, target, Arc::clone(&state)));
            }
        });
        Ok(Self { address, link, task })
    }

    /// Address on which the relay listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the relay like a process that exits: open connections are closed, new ones are refused.
    pub fn shut_down(&self) {
        self.task.abort();
        self.set(Link::Cut);
    }

    /// Changes the state of the link.
    pub fn set(&self, link: Link) {
        self.link.store(link as u8, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn current(link: &AtomicU8) -> Link {
    Link::from_number(link.load(Ordering::SeqCst))
}

async fn relay_connection(client: TcpStream, target: SocketAddr, link: Arc<AtomicU8>) {
    if current(&link).closes() {
        reset_if_link_resets(&client, &link);
        return;
    }
    wait_while_held(&link, false).await;
    let Ok(mut target_stream) = TcpStream::connect(target).await else {
        // A port without a listener resets the connection.
        let _ = SockRef::from(&client).set_linger(Some(Duration::ZERO));
        return;
    };
    let mut client = client;
    {
        let (client_rx, client_tx) = client.split();
        let (target_rx, target_tx) = target_stream.split();
        tokio::select! {
            () = copy(client_rx, target_tx, &link, false) => {}
            () = copy(target_rx, client_tx, &link, true) => {}
            () = wait_until_closed(&link) => {}
        }
    }
    reset_if_link_resets(&client, &link);
    reset_if_link_resets(&target_stream, &link);
}

/// Makes the connection reset when it is dropped, if the link is in state [`Link::Reset`].
fn reset_if_link_resets(stream: &TcpStream, link: &AtomicU8) {
    if current(link) == Link::Reset {
        let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    }
}

async fn copy(mut rx: ReadHalf<'_>, mut tx: WriteHalf<'_>, link: &AtomicU8, is_to_client: bool) {
    let mut buf = vec![0; BUF_BYTES];
    while let Ok(n) = rx.read(&mut buf).await {
        if n == 0 {
            return;
        }
        if current(link) == Link::Slow {
            tokio::time::sleep(SLOW_DELAY).await;
        }
        wait_while_held(link, is_to_client).await;
        if tx.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}

async fn wait_while_held(link: &AtomicU8, is_to_client: bool) {
    while current(link).is_held(is_to_client) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn wait_until_closed(link: &AtomicU8) {
    while !current(link).closes() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

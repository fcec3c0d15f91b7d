//! A TCP relay that stands in for a link, and that a test can hold or cut.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

/// What the relay does with bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Link {
    /// It passes them on.
    Pass = 0,
    /// It keeps them, and accepts connections without passing anything on.
    Hold = 1,
    /// It closes connections at once.
    Cut = 2,
}

/// How often a held connection looks whether it may go on.
const LOOK: std::time::Duration = std::time::Duration::from_millis(10);
/// Bytes moved at once.
const CHUNK: usize = 16 << 10;

/// A running relay.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    link: Arc<AtomicU8>,
    task: tokio::task::JoinHandle<()>,
}

impl Relay {
    /// Relay from a free loopback port to `target`.
    ///
    /// # Errors
    /// Why no port can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let link = Arc::new(AtomicU8::new(Link::Pass as u8));
        let state = Arc::clone(&link);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(carry(stream, target, Arc::clone(&state)));
            }
        });
        Ok(Self { address, link, task })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Change what it does.
    pub fn set(&self, link: Link) {
        self.link.store(link as u8, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn carry(near: TcpStream, target: SocketAddr, link: Arc<AtomicU8>) {
    if link.load(Ordering::SeqCst) == Link::Cut as u8 {
        return;
    }
    wait_while_held(&link).await;
    let Ok(far) = TcpStream::connect(target).await else { return };
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    tokio::select! {
        () = copy(near_rx, far_tx, &link) => {}
        () = copy(far_rx, near_tx, &link) => {}
        () = cut(&link) => {}
    }
}

async fn copy(mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, link: &AtomicU8) {
    let mut buf = vec![0; CHUNK];
    while let Ok(n) = rx.read(&mut buf).await {
        if n == 0 {
            return;
        }
        wait_while_held(link).await;
        if tx.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}

async fn wait_while_held(link: &AtomicU8) {
    while link.load(Ordering::SeqCst) == Link::Hold as u8 {
        tokio::time::sleep(LOOK).await;
    }
}

async fn cut(link: &AtomicU8) {
    while link.load(Ordering::SeqCst) != Link::Cut as u8 {
        tokio::time::sleep(LOOK).await;
    }
}

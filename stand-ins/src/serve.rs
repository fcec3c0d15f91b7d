//! Serving a stand-in on a loopback address until it is stopped.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU32, Ordering},
};

use axum::{Router, serve::ListenerExt};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Ports that the system does not give to outgoing connections.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// A loopback address that is free now and that no outgoing connection will take.
///
/// # Panics
/// When no port is free.
#[must_use]
pub fn free_address() -> String {
    let count = u32::from(PORT_RANGE.end - PORT_RANGE.start);
    // Test processes that run side by side begin far apart.
    let first = std::process::id().wrapping_mul(331);
    let ports = (0..count).map(|_| {
        let n = first.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        PORT_RANGE.start + (n % count) as u16
    });
    // Daemons take some of them for datagrams.
    let is_free = |a: &String| std::net::TcpListener::bind(a).is_ok() && std::net::UdpSocket::bind(a).is_ok();
    let free = ports.map(|port| format!("127.0.0.1:{port}")).find(is_free);
    free.expect("a free port")
}

/// A running server; dropping it stops it.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Serve `router` at `address`; port 0 takes a free one.
    ///
    /// # Errors
    /// Why the address cannot be bound.
    pub async fn start(address: &str, router: Router) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        let cancelled = stop.clone();
        let task = tokio::spawn(async move {
            let listener = listener.tap_io(|stream| {
                let _ = stream.set_nodelay(true);
            });
            let server = axum::serve(listener, router);
            tokio::select! {
                _ = server => {}
                () = cancelled.cancelled() => {}
            }
        });
        Ok(Self { address, stop, task })
    }

    /// Where it serves.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serve until the process ends.
    pub async fn serve_forever(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.cancel();
        self.task.abort();
    }
}

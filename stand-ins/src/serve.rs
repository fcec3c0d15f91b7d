//! HTTP server of the stand-ins, and free addresses for tests.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU32, Ordering},
};

use axum::{Router, serve::ListenerExt};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Ports outside the range that the system assigns to outgoing connections.
const PORT_RANGE: std::ops::Range<u16> = 10_000..32_000;

static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address that is free now and that the system gives to no outgoing connection.
///
/// # Panics
/// If no port is free.
#[must_use]
pub fn free_address() -> String {
    let count = u32::from(PORT_RANGE.end - PORT_RANGE.start);
    // Test processes that run in parallel start at ports far apart, so that they do not choose the same one.
    let first = std::process::id().wrapping_mul(331);
    let ports = (0..count).map(|_| {
        let n = first.wrapping_add(NEXT_PORT.fetch_add(1, Ordering::Relaxed));
        PORT_RANGE.start + (n % count) as u16
    });
    // Daemons use some of the ports for UDP too.
    let is_free = |a: &String| std::net::TcpListener::bind(a).is_ok() && std::net::UdpSocket::bind(a).is_ok();
    let free = ports.map(|port| format!("127.0.0.1:{port}")).find(is_free);
    free.expect("a free port is available")
}

/// Running server, which stops when it is dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    task: tokio::task::JoinHandle<()>,
}

impl Server {
    /// Starts to serve `router` at `address`; port 0 selects a free port.
    ///
    /// # Errors
    /// If the address cannot be bound.
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

    /// Address at which it serves.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until the process is killed.
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

//! Serving a stand-in on a loopback address until it is stopped.

use std::net::SocketAddr;

use axum::Router;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

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
        let stopped = stop.clone();
        let task = tokio::spawn(async move {
            let server = axum::serve(listener, router);
            tokio::select! {
                _ = server => {}
                () = stopped.cancelled() => {}
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
    pub async fn forever(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.cancel();
        self.task.abort();
    }
}

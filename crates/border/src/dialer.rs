//! Connections to replicas.

use std::{fmt::Debug, io, net::SocketAddr};

use async_trait::async_trait;
use tokio::net::TcpStream;

/// Opens connections to replicas.
#[async_trait]
pub trait Dialer: Debug + Send + Sync {
    /// Connects to a replica. Callers limit the time.
    ///
    /// # Errors
    /// If no connection is established; [`io::ErrorKind::ConnectionRefused`] if nothing listens at the address.
    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream>;
}

/// Connects over the machine's own network.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer;

#[async_trait]
impl Dialer for TcpDialer {
    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        TcpStream::connect(address).await
    }
}

//! Connections to replicas.

use std::{
    fmt::Debug,
    io,
    net::{IpAddr, SocketAddr},
};

use async_trait::async_trait;
use tokio::net::{TcpSocket, TcpStream};

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
pub struct TcpDialer {
    /// Source address of the connections; `None` if the system chooses it.
    pub source: Option<IpAddr>,
}

#[async_trait]
impl Dialer for TcpDialer {
    async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let Some(source) = self.source else {
            return TcpStream::connect(address).await;
        };
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(address).await
    }
}

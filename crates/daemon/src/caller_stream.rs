//! The connection of a caller, which can be made to end with a reset unless it is closed regularly.
//!
//! A response to HTTP/1.0 may have neither a length nor chunks; then the end of its connection completes it. The system
//! closes the sockets of a process that ends as if their responses were complete, so such a connection is prepared to be
//! reset before the first byte of the response, and closes regularly only after the last one.

use std::{
    io::{IoSlice, Result},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    /// Whether only the end of the connection shows the end of the current response.
    ends_response: Arc<AtomicBool>,
    resets: bool,
}

impl CallerStream {
    /// Wraps a connection; while `ends_response` is set, it ends with a reset once something was written.
    pub(crate) fn new(stream: TcpStream, ends_response: Arc<AtomicBool>) -> Self {
        Self { stream, ends_response, resets: false }
    }

    /// Returns the connection, which now closes regularly.
    ///
    /// # Errors
    /// If the socket cannot be configured.
    pub(crate) fn into_regular(self) -> Result<TcpStream> {
        if self.resets {
            SockRef::from(&self.stream).set_linger(None)?;
        }
        Ok(self.stream)
    }

    fn prepare_write(&mut self) -> Result<()> {
        if self.resets || !self.ends_response.load(Ordering::Relaxed) {
            return Ok(());
        }
        // With a linger time of zero, closing the socket resets the connection.
        SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?;
        self.resets = true;
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

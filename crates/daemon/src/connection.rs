//! One connection of a listener, from its acceptance until it is closed.
//!
//! HTTP/1.1 has no message that announces the close of an idle connection, so a caller may be sending a request on it at
//! that moment. The request would be lost without a response, and its caller could not tell whether it ran. So an idle
//! connection ends with a 408 response that nobody requested (RFC 9110, section 15.5.9), which states that no request was
//! run: a caller that is just sending one gets it as the response, and any other discards it with the connection.

use std::{
    convert::Infallible,
    error::Error,
    future::poll_fn,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Request, Response, Version,
    header::{CONNECTION, CONTENT_LENGTH, HeaderName},
};
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use tokio_util::sync::CancellationToken;

use crate::{
    caller_stream::CallerStream,
    connection_table::{ConnectionHandle, OpenConnection},
    emit,
    listener::ConnectionLimits,
};

/// Time for which a connection is read after its last response. Closing it while a request arrives resets it, and the
/// caller could lose the response.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Maximum time for which the rest of a request is read. A caller on a slow link has sent a large body by then.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(3);

/// Size of the buffer for what is discarded, in bytes.
const DISCARD_BUFFER_BYTES: usize = 16 << 10;

/// Minimum size of the buffer for a head, in bytes; the HTTP library panics below this.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Responses with which a connection is closed while its caller may be sending a request. Each is a complete message
/// and states that no request was run.
#[derive(Clone, Debug)]
pub struct CloseNotices {
    /// When the daemon stops.
    pub stopping: Bytes,
    /// When no request arrived in time.
    pub idle: Bytes,
}

/// Settings of a connection.
#[derive(Debug)]
pub(crate) struct Connection {
    /// Limits for its requests.
    pub(crate) limits: ConnectionLimits,
    /// Cancelled when a graceful stop begins: from then on, each response announces the close of its connection.
    pub(crate) begun: CancellationToken,
    /// Cancelled when the connection must close after its current request.
    pub(crate) closing: CancellationToken,
    /// Responses with which it is closed, if its callers know such responses.
    pub(crate) notices: Option<CloseNotices>,
    /// Its place among the connections of its listener.
    pub(crate) open: OpenConnection,
}

impl Connection {
    /// Serves requests until the connection is closed.
    pub(crate) async fn serve<F, A, B>(self, stream: TcpStream, handler: F)
    where
        F: Fn(Request<Incoming>) -> A + Send + Unpin,
        A: Future<Output = Response<B>> + Send + 'static,
        B: Body + Send + Unpin + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        // Whether the caller knows that the connection closes after the last response.
        let close_announced = Arc::new(AtomicBool::new(false));
        // Whether only the end of the connection shows the end of the last response.
        let ends_response = Arc::new(AtomicBool::new(false));
        let stream = CallerStream::new(stream, Arc::clone(&ends_response));
        let (begun, announced, ends) = (self.begun.clone(), Arc::clone(&close_announced), Arc::clone(&ends_response));
        let evicted = self.open.evicted.clone();
        let handle = self.open.handle.clone();
        let service = service_fn(move |mut req: Request<Incoming>| {
            handle.begin_request(!req.body().is_end_stream());
            req.extensions_mut().insert(handle.clone());
            let is_http10 = req.version() == Version::HTTP_10;
            let requested = is_http10 || announces_close(req.headers());
            let response = handler(req);
            let (begun, announced, ends) = (begun.clone(), Arc::clone(&announced), Arc::clone(&ends));
            let (handle, evicted) = (handle.clone(), evicted.clone());
            Box::pin(async move {
                let mut resp = response.await;
                if begun.is_cancelled() || evicted.is_cancelled() {
                    resp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                announced.store(requested || announces_close(resp.headers()), Ordering::Relaxed);
                let has_length =
                    resp.body().size_hint().exact().is_some() || resp.headers().contains_key(CONTENT_LENGTH);
                ends.store(is_http10 && !has_length, Ordering::Relaxed);
                Ok::<_, Infallible>(resp.map(|body| ServedBody { body, handle }))
            })
        });
        let mut conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.head_timeout)
            .max_buf_size(self.limits.max_head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let ended = tokio::select! {
            ended = poll_fn(|cx| conn.poll_without_shutdown(cx)) => ended,
            () = self.closing.cancelled() => {
                Pin::new(&mut conn).graceful_shutdown();
                poll_fn(|cx| conn.poll_without_shutdown(cx)).await
            }
            () = self.open.evicted.cancelled() => {
                Pin::new(&mut conn).graceful_shutdown();
                // The end of the last response may still have to be written.
                let wait = if self.open.handle.has_served() { LINGER_TIME } else { Duration::ZERO };
                let ended = tokio::time::timeout(wait, poll_fn(|cx| conn.poll_without_shutdown(cx))).await;
                match ended {
                    Ok(ended) => ended,
                    // A request has arrived since the connection was chosen.
                    Err(_) if self.open.handle.is_serving() => poll_fn(|cx| conn.poll_without_shutdown(cx)).await,
                    Err(_) => Ok(()),
                }
            }
        };
        if ended.is_err() && ends_response.load(Ordering::Relaxed) {
            // Dropping the connection resets it, so that the broken response does not look complete.
            return;
        }
        // A connection that closes while a request is being served ends with an error, and gets no notice.
        let notice = match ended {
            _ if close_announced.load(Ordering::Relaxed) => None,
            Ok(()) if self.closing.is_cancelled() => self.notices.map(|notices| notices.stopping),
            Ok(()) if self.open.evicted.is_cancelled() => self.notices.map(|notices| notices.idle),
            Err(e) if e.is_timeout() => self.notices.map(|notices| notices.idle),
            _ => None,
        };
        if let Ok(stream) = conn.into_parts().io.into_inner().into_regular() {
            close(stream, notice, self.open.handle.has_rest()).await;
        }
    }
}

/// Whether the headers state that the connection closes after this message.
fn announces_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all::<HeaderName>(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Body of a response, which ends the phase of its connection when it has been written.
#[derive(Debug)]
struct ServedBody<B> {
    body: B,
    handle: ConnectionHandle,
}

impl<B: Body + Unpin> Body for ServedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for ServedBody<B> {
    fn drop(&mut self) {
        self.handle.end_response();
    }
}

/// Closes a connection, after sending `notice`. The caller may have closed it already, so errors are ignored.
///
/// While the rest of a request may arrive, it is discarded for a time: closing the connection before would reset it, and the
/// caller could lose the response.
async fn close(mut stream: TcpStream, notice: Option<Bytes>, has_rest: bool) {
    if notice.is_none() && !has_rest {
        let _ = stream.shutdown().await;
        return;
    }
    let has_notice = notice.is_some();
    let max_time = if has_rest { MAX_DISCARD_TIME } else { LINGER_TIME };
    let mut discarded = 0;
    let closing = async {
        stream.write_all(&notice.unwrap_or_default()).await?;
        stream.shutdown().await?;
        discard(&mut stream, &mut discarded).await
    };
    let _ = tokio::time::timeout(max_time, closing).await;
    if has_notice && discarded > 0 {
        emit!(info, REQUEST_CROSSED_CLOSE, bytes = discarded);
    }
}

/// Reads until the caller closes the connection or sends nothing for a time, and counts the bytes.
async fn discard(stream: &mut TcpStream, discarded: &mut usize) -> std::io::Result<()> {
    let mut buf = vec![0; DISCARD_BUFFER_BYTES];
    while let Ok(read) = tokio::time::timeout(LINGER_TIME, stream.read(&mut buf)).await {
        match read? {
            0 => break,
            n => *discarded += n,
        }
    }
    Ok(())
}

//! Connections that a task of their own drives.
//!
//! Requests reach the task through a queue. A connection that ends while a request is being queued leaves it there: the
//! queue keeps it as long as a sender exists, and its response never comes. A call therefore owns the only sender and drops
//! it once the task has ended, which returns a request that was not taken.

use std::pin::pin;

use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    client::conn::{
        TrySendError,
        http1::{Builder, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle};

/// HTTP/1.1 connection that sends one request at a time.
#[derive(Debug)]
pub struct Connection<B> {
    requests: SendRequest<B>,
    task: JoinHandle<()>,
}

impl<B> Connection<B>
where
    B: Body<Data: Send, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + Send + 'static,
{
    /// Starts the task of a connection.
    ///
    /// # Errors
    /// If the handshake fails.
    pub async fn start(stream: TcpStream, builder: &Builder) -> hyper::Result<Self> {
        let (requests, driver) = builder.handshake(TokioIo::new(stream)).await?;
        let task = tokio::spawn(async move {
            // The call that waits for a response gets the error.
            let _ = driver.with_upgrades().await;
        });
        Ok(Self { requests, task })
    }

    /// Sends a request and returns the head of the response, with the connection unless it has ended.
    ///
    /// # Errors
    /// With the request if nothing of it was sent.
    pub async fn send(self, req: Request<B>) -> Result<(Response<Incoming>, Option<Self>), TrySendError<Request<B>>> {
        let Self { mut requests, mut task } = self;
        let mut response = pin!(requests.try_send_request(req));
        tokio::select! {
            biased;
            resp = &mut response => return Ok((resp?, Some(Self { requests, task }))),
            _ = &mut task => {}
        }
        // Drops the queue with a request that the task has not taken.
        drop(requests);
        Ok((response.await?, None))
    }
}

impl<B> Connection<B> {
    /// Whether a request can be sent now: the previous response was read to its end.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.requests.is_ready()
    }

    /// Whether the connection accepts no more requests.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }
}

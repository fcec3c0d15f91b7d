//! Connections that a task of their own drives.
//!
//! Requests reach the task through a queue. A connection that ends while a request is being queued leaves it there: the
//! queue keeps it as long as a sender exists, and its response never comes. A call therefore owns the only sender and drops
//! it once the task has ended, which returns a request that was not taken.
//!
//! A server may answer a call a second time, later, where the answer to the next call is expected. An answer is therefore
//! attributed by the identifier that it repeats, and a connection carries no identifier twice.

use std::{
    pin::pin,
    sync::atomic::{AtomicU64, Ordering},
};

use dahliaseam_core::hash;

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

/// Maximum number of identifiers that a connection remembers; one that has carried as many is not kept.
const MAX_IDS: usize = 1_024;

/// Number of the next connection.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Identifier of a call that its answer repeats, as a hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallId(u64);

impl CallId {
    /// The identifier with this text.
    #[must_use]
    pub fn of(id: &str) -> Self {
        Self(hash::bytes(id.as_bytes()))
    }
}

/// The place of a call: its connection, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallNumber {
    /// Number of the connection, unique within this process.
    pub connection: u64,
    /// Number of the call on the connection, from 1.
    pub call: u64,
}

impl CallNumber {
    /// Whether the connection has carried no other call, so that an answer on it can only be to this one.
    #[must_use]
    pub const fn is_first(self) -> bool {
        self.call == 1
    }
}

/// HTTP/1.1 connection that sends one request at a time.
#[derive(Debug)]
pub struct Connection<B> {
    requests: SendRequest<B>,
    task: JoinHandle<()>,
    number: u64,
    calls: u64,
    /// Identifiers of the calls that it has carried.
    ids: Vec<CallId>,
}

/// The head of a response.
#[derive(Debug)]
pub struct Answered<B> {
    /// The response, whose body is still to be read.
    pub resp: Response<Incoming>,
    /// The call that it follows.
    pub number: CallNumber,
    /// The connection, unless it has ended.
    pub conn: Option<Connection<B>>,
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
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        Ok(Self { requests, task, number, calls: 0, ids: Vec::new() })
    }

    /// Sends a request, whose answer repeats `id` if it has one, and returns the head of the response.
    ///
    /// # Errors
    /// With the request if nothing of it was sent.
    pub async fn send(self, req: Request<B>, id: Option<CallId>) -> Result<Answered<B>, TrySendError<Request<B>>> {
        let Self { mut requests, mut task, number: connection, calls, mut ids } = self;
        let number = CallNumber { connection, call: calls + 1 };
        ids.extend(id);
        let mut response = pin!(requests.try_send_request(req));
        tokio::select! {
            biased;
            resp = &mut response => {
                let conn = Self { requests, task, number: connection, calls: number.call, ids };
                return Ok(Answered { resp: resp?, number, conn: Some(conn) });
            }
            _ = &mut task => {}
        }
        // Drops the queue with a request that the task has not taken.
        drop(requests);
        Ok(Answered { resp: response.await?, number, conn: None })
    }
}

impl<B> Connection<B> {
    /// Whether it can carry a call with this identifier, whose answer then differs from those to all calls before.
    #[must_use]
    pub fn can_carry(&self, id: Option<CallId>) -> bool {
        id.is_none_or(|id| !self.ids.contains(&id))
    }

    /// Whether it remembers as many identifiers as it may.
    #[must_use]
    pub const fn is_worn(&self) -> bool {
        self.ids.len() >= MAX_IDS
    }

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

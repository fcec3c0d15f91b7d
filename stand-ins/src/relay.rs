//! A TCP relay that stands in for a network link, which tests can hold, cut, reset or slow down, for all clients or for
//! those with one source address.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, PoisonError, Weak},
    time::{Duration, Instant},
};

use socket2::{SockFilter, SockRef};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
};

/// State of the link: what the relay does with connections and data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Link {
    /// Forwards data.
    #[default]
    Pass,
    /// Holds data: connections are accepted, but nothing is forwarded.
    Hold,
    /// Closes connections at once.
    Cut,
    /// Resets connections at once.
    Reset,
    /// Forwards data with a delay.
    Slow,
    /// Forwards data to the target, and holds the data that the target returns.
    HoldBack,
    /// Loses packets: data is held, and connections do not open. For all clients they open and are reset in the end.
    Blackhole,
    /// Keeps open connections and resets new ones at once.
    RefuseNew,
    /// Loses three packets in ten, each of which is sent again.
    Lossy,
}

impl Link {
    /// Returns whether data in the given direction is held.
    fn is_held(self, is_to_client: bool) -> bool {
        matches!(self, Self::Hold | Self::Blackhole) || (self == Self::HoldBack && is_to_client)
    }

    const fn closes(self) -> bool {
        matches!(self, Self::Cut | Self::Reset)
    }

    const fn refuses(self) -> bool {
        self.closes() || matches!(self, Self::RefuseNew)
    }
}

/// Interval at which a connection checks the state of the link.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay of a slow link.
const SLOW_DELAY: Duration = Duration::from_millis(120);
/// Share of the packets that a lossy link loses.
pub const LOST_SHARE: f64 = 0.3;
/// Time after which a lost packet is sent again for the first time; doubled each further time.
const FIRST_RETRANSMIT_TIME: Duration = Duration::from_millis(200);
/// Time after which a client's kernel stops sending data again that a [`Link::Blackhole`] loses; the daemons set it as
/// their user timeout.
const RETRANSMIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Size of the copy buffer, in bytes.
const BUF_BYTES: usize = 16 << 10;

/// Running relay.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    links: Arc<Links>,
    /// Closed when the task ends.
    listener: Weak<TcpListener>,
    task: tokio::task::JoinHandle<()>,
}

impl Relay {
    /// Starts a relay from a free loopback port to `target`.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0").await?);
        let address = listener.local_addr()?;
        let links = Arc::<Links>::default();
        let weak = Arc::downgrade(&listener);
        let shared = Arc::clone(&links);
        let task = tokio::spawn(async move {
            while let Ok((stream, client)) = listener.accept().await {
                let link = ConnLink { links: Arc::clone(&shared), source: client.ip() };
                tokio::spawn(relay_connection(stream, target, link));
            }
        });
        Ok(Self { address, links, listener: weak, task })
    }

    /// Address on which the relay listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the relay like a process that exits: open connections are closed, new ones are refused.
    pub fn shut_down(&self) {
        self.shut_down_with(Link::Cut);
    }

    /// Refuses new connections, and leaves open ones to this state of the link.
    pub fn shut_down_with(&self, link: Link) {
        self.task.abort();
        self.set(link);
    }

    /// State of the link for all clients.
    #[must_use]
    pub fn state(&self) -> Link {
        *self.links.all.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state of the link.
    pub fn set(&self, link: Link) {
        *self.links.all.lock().unwrap_or_else(PoisonError::into_inner) = link;
    }

    /// Changes the state of the link for clients with this source address, in addition to its state for all.
    ///
    /// # Panics
    /// If the system takes no packet filters.
    pub fn set_for(&self, source: IpAddr, link: Link) {
        let mut by_source = self.links.by_source.lock().unwrap_or_else(PoisonError::into_inner);
        by_source.insert(source, link);
        let lost = by_source.iter().filter(|(_, link)| **link == Link::Blackhole).map(|(source, _)| *source);
        let filter = drop_packets_from(lost);
        if let Some(listener) = self.listener.upgrade() {
            SockRef::from(&*listener).attach_filter(&filter).expect("valid packet filter");
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Builds a packet filter that drops what these IPv4 addresses send.
fn drop_packets_from(sources: impl Iterator<Item = IpAddr>) -> Vec<SockFilter> {
    // Instructions of classic BPF, and the offset of the source address from the start of the IP header.
    const LOAD_WORD: u16 = 0x20;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    const IP_HEADER: u32 = (-0x10_0000_i32).cast_unsigned();
    const SOURCE_OFFSET: u32 = 12;
    let mut filter = vec![SockFilter::new(LOAD_WORD, 0, 0, IP_HEADER + SOURCE_OFFSET)];
    for source in sources {
        if let IpAddr::V4(source) = source {
            filter.push(SockFilter::new(JUMP_IF_EQUAL, 0, 1, source.to_bits()));
            filter.push(SockFilter::new(RETURN, 0, 0, 0));
        }
    }
    filter.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    filter
}

/// States of a link: for all clients, and for some source addresses in addition.
#[derive(Debug, Default)]
struct Links {
    all: Mutex<Link>,
    by_source: Mutex<HashMap<IpAddr, Link>>,
}

/// The link of one connection.
struct ConnLink {
    links: Arc<Links>,
    source: IpAddr,
}

impl ConnLink {
    fn any(&self, matches: impl Fn(Link) -> bool) -> bool {
        let all = *self.links.all.lock().unwrap_or_else(PoisonError::into_inner);
        let by_source = self.links.by_source.lock().unwrap_or_else(PoisonError::into_inner);
        matches(all) || by_source.get(&self.source).copied().is_some_and(matches)
    }

    fn resets(&self) -> bool {
        self.any(|link| matches!(link, Link::Reset | Link::RefuseNew))
    }

    async fn wait_while(&self, matches: impl Fn(Link) -> bool) {
        while self.any(&matches) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn wait_until_closed(&self) {
        while !self.any(Link::closes) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits while data is held; returns whether it is then forwarded.
    async fn deliver(&self, is_to_client: bool) -> bool {
        let since = Instant::now();
        let mut was_lost = false;
        while self.any(|link| link.is_held(is_to_client)) {
            was_lost |= self.any(|link| link == Link::Blackhole);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        is_to_client || !was_lost || since.elapsed() < RETRANSMIT_TIMEOUT
    }
}

async fn relay_connection(mut client: TcpStream, target: SocketAddr, link: ConnLink) {
    if link.any(Link::refuses) {
        if link.resets() {
            reset_on_drop(&client);
        }
        return;
    }
    if link.any(|state| state == Link::Blackhole) {
        link.wait_while(|state| state == Link::Blackhole).await;
        reset_on_drop(&client);
        return;
    }
    link.wait_while(|state| state.is_held(false)).await;
    let Ok(mut target_stream) = TcpStream::connect(target).await else {
        // A port without a listener resets the connection.
        reset_on_drop(&client);
        return;
    };
    let was_reset = {
        let (client_rx, client_tx) = client.split();
        let (target_rx, target_tx) = target_stream.split();
        tokio::select! {
            end = copy(client_rx, target_tx, &link, false) => end == CopyEnd::Reset,
            end = copy(target_rx, client_tx, &link, true) => end == CopyEnd::Reset,
            () = link.wait_until_closed() => false,
        }
    };
    // The target may have closed the connection just before.
    if was_reset || link.any(|state| state == Link::Reset) {
        reset_on_drop(&client);
        reset_on_drop(&target_stream);
    }
}

/// Makes the connection reset when it is dropped.
fn reset_on_drop(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// How one direction of a connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CopyEnd {
    Closed,
    Reset,
}

/// Time until a packet arrives on a lossy link.
fn retransmit_delay() -> Duration {
    let mut delay = Duration::ZERO;
    let mut next = FIRST_RETRANSMIT_TIME;
    while rand::random_bool(LOST_SHARE) {
        delay += next;
        next *= 2;
    }
    delay
}

async fn copy(mut rx: ReadHalf<'_>, mut tx: WriteHalf<'_>, link: &ConnLink, is_to_client: bool) -> CopyEnd {
    let mut buf = vec![0; BUF_BYTES];
    loop {
        let read = rx.read(&mut buf).await;
        if link.any(|state| state == Link::Slow) {
            tokio::time::sleep(SLOW_DELAY).await;
        }
        if link.any(|state| state == Link::Lossy) {
            tokio::time::sleep(retransmit_delay()).await;
        }
        // The end of a connection is held as data is.
        if !link.deliver(is_to_client).await {
            return CopyEnd::Reset;
        }
        match read {
            Ok(0) => return CopyEnd::Closed,
            Ok(n) => {
                if tx.write_all(&buf[..n]).await.is_err() {
                    return CopyEnd::Reset;
                }
            }
            Err(_) => return CopyEnd::Reset,
        }
    }
}

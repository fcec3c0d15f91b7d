//! Crowds of callers that send much, slowly or without an end, and what a process uses meanwhile.
//!
//! The memory of a process includes bytes that have arrived on its connections and are not read yet. Linux only.

use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, tcp::OwnedWriteHalf},
    sync::watch,
    task::JoinSet,
};

use crate::process::{Process, cpu_and_memory};

/// Memory of the machine, in bytes.
pub const MACHINE_BYTES: u64 = 260_000_000;
/// Maximum size of a body, in bytes.
pub const BODY_LIMIT: usize = 4_194_304;
/// Size of a large body within that limit.
pub const LARGE_BODY: usize = 4_000_000;
/// Maximum bytes that one caller sends beyond the limit.
pub const EXCESS: usize = 8_000_000;
/// Number of callers with large bodies.
pub const CROWD: usize = 100;
/// Size of one write of a body that is sent piece by piece.
pub const PIECE: usize = 9_000;
/// Size of a large chunk.
pub const LARGE_CHUNK: usize = 64 << 10;
/// Time in which a caller has sent everything unless the daemon does not read it.
const SEND_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval between two samples of a process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two looks whether a daemon still reads what a crowd has sent.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of looks.
const MAX_LOOKS: usize = 240;
/// Share of a core from which on a daemon is busy.
const BUSY_SHARE: f64 = 0.2;
/// Maximum number of tries of an ordinary request.
const TRIES: usize = 40;
/// Time after which an ordinary request without an answer is sent again, on a new connection.
const TRY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pause between two tries.
const TRY_PAUSE: Duration = Duration::from_millis(250);

/// The body of an ordinary request.
const ORDINARY_BODY: &[u8] = b"body";

/// A caller whose body lacks its last byte.
pub const WHOLE_BUT_ONE: Sender = Sender::Sized { length: LARGE_BODY, sent: LARGE_BODY - 1, write: LARGE_BODY };
/// A caller with large chunks.
pub const LARGE_CHUNKS: Sender = Sender::Chunked { size: LARGE_CHUNK, count: LARGE_BODY / LARGE_CHUNK, pause: None };
/// A caller with many chunks of one byte.
pub const SMALL_CHUNKS: Sender = Sender::Chunked { size: 1, count: 100_000, pause: None };
/// A caller with chunks of one byte, of which each arrives on its own.
pub const PACED_CHUNKS: Sender = Sender::Chunked { size: 1, count: 3_000, pause: Some(Duration::from_millis(1)) };

/// What one caller of a crowd sends.
#[derive(Clone, Copy, Debug)]
pub enum Sender {
    /// Nothing.
    Nothing,
    /// Only a part of a head.
    PartOfHead,
    /// A body with this length, of which so many bytes are sent, in writes of this size.
    Sized {
        /// The stated length.
        length: usize,
        /// Number of bytes that are sent.
        sent: usize,
        /// Size of a write.
        write: usize,
    },
    /// A complete body for the service that never responds, and then more bytes.
    Complete {
        /// Length of the body.
        length: usize,
        /// Number of bytes after it.
        more: usize,
    },
    /// So many chunks of this size and no last one; each in a write of its own with a pause after it, if there is one.
    Chunked {
        /// Size of a chunk.
        size: usize,
        /// Number of chunks.
        count: usize,
        /// Pause after each chunk.
        pause: Option<Duration>,
    },
}

/// Where callers send their requests.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address of the daemon for callers.
    pub address: SocketAddr,
    /// Request line and headers, without framing, of a request to a service that responds at once.
    pub quick: &'static str,
    /// The same of a request to a service that never responds.
    pub slow: &'static str,
}

impl Target {
    fn head(start: &str, framing: &str) -> String {
        static SENT: AtomicU64 = AtomicU64::new(0);
        let id = SENT.fetch_add(1, Ordering::Relaxed);
        format!("{start}X-Request-Id: c{id}\r\n{framing}\r\n")
    }

    /// Sends a complete request on a connection of its own; returns the status of the answer, if there is one.
    pub async fn post(&self, framing: &str, body: &[u8], write: usize) -> Option<u16> {
        let stream = TcpStream::connect(self.address).await.ok()?;
        let (mut rx, mut tx) = stream.into_split();
        tx.write_all(Self::head(self.quick, framing).as_bytes()).await.ok()?;
        for bytes in body.chunks(write) {
            tx.write_all(bytes).await.ok()?;
            tokio::task::yield_now().await;
        }
        read_status(&mut rx).await
    }
}

/// The framing header of a body with a length.
#[must_use]
pub fn sized(length: usize) -> String {
    format!("Content-Length: {length}\r\n")
}

/// The framing header of a chunked body.
pub const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

/// Reads the status of an answer.
async fn read_status(stream: &mut (impl AsyncReadExt + Unpin)) -> Option<u16> {
    let mut answer = Vec::new();
    while !answer.windows(2).any(|end| end == b"\r\n") {
        if stream.read_buf(&mut answer).await.ok()? == 0 {
            return None;
        }
    }
    String::from_utf8_lossy(&answer).split(' ').nth(1)?.parse().ok()
}

impl Sender {
    /// Sends as much as the daemon takes; returns the connection.
    async fn send(self, target: &Target) -> Option<TcpStream> {
        let stream = TcpStream::connect(target.address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (mut rx, mut tx) = stream.into_split();
        let mut answer = [0];
        // A daemon that refuses a request may close its connection while the rest is sent.
        let _ = tokio::select! {
            sent = self.write(target, &mut tx) => sent,
            _ = rx.read_exact(&mut answer) => Ok(()),
        };
        rx.reunite(tx).ok()
    }

    async fn write(self, target: &Target, tx: &mut OwnedWriteHalf) -> std::io::Result<()> {
        match self {
            Self::Nothing => Ok(()),
            Self::PartOfHead => tx.write_all(&target.quick.as_bytes()[..target.quick.len() - 4]).await,
            Self::Sized { length, sent, write } => {
                tx.write_all(Target::head(target.quick, &sized(length)).as_bytes()).await?;
                write_bytes(tx, sent, write).await
            }
            Self::Complete { length, more } => {
                tx.write_all(Target::head(target.slow, &sized(length)).as_bytes()).await?;
                write_bytes(tx, length, LARGE_CHUNK).await?;
                write_bytes(tx, more, LARGE_CHUNK).await
            }
            Self::Chunked { size, count, pause } => {
                tx.write_all(Target::head(target.quick, CHUNKED).as_bytes()).await?;
                let chunk = [format!("{size:x}\r\n").as_bytes(), &vec![b'x'; size], b"\r\n"].concat();
                write_chunks(tx, &chunk, count, pause).await
            }
        }
    }
}

/// Lets so many callers of a crowd send, and stay connected until `time` is over.
pub async fn play(target: Target, sender: Sender, count: usize, time: Duration) {
    let mut callers = JoinSet::new();
    for _ in 0..count {
        let target = target.clone();
        callers.spawn(async move {
            let _conn = sender.send(&target).await;
            std::future::pending::<()>().await;
        });
    }
    tokio::time::sleep(time).await;
}

/// Writes so many bytes of a body, with other callers in between.
async fn write_bytes(tx: &mut OwnedWriteHalf, count: usize, write: usize) -> std::io::Result<()> {
    let bytes = vec![b'x'; write.min(count)];
    let mut left = count;
    while left > 0 {
        let next = left.min(bytes.len());
        tx.write_all(&bytes[..next]).await?;
        left -= next;
        tokio::task::yield_now().await;
    }
    Ok(())
}

/// Writes a chunk so many times.
async fn write_chunks(
    tx: &mut OwnedWriteHalf,
    chunk: &[u8],
    count: usize,
    pause: Option<Duration>,
) -> std::io::Result<()> {
    if let Some(pause) = pause {
        for _ in 0..count {
            tx.write_all(chunk).await?;
            tokio::time::sleep(pause).await;
        }
        return Ok(());
    }
    let together = (LARGE_CHUNK / chunk.len()).clamp(1, count);
    let several = chunk.repeat(together);
    for _ in 0..count / together {
        tx.write_all(&several).await?;
    }
    tx.write_all(&chunk.repeat(count % together)).await
}

/// The largest use of memory and files that was seen.
#[derive(Debug, Default)]
struct Peak {
    bytes: AtomicU64,
    files: AtomicUsize,
    /// Bytes that had arrived and were not read yet.
    unread: AtomicU64,
    is_over: AtomicBool,
}

/// Records what a process uses, until it is dropped.
#[derive(Debug)]
pub struct Usage {
    process: u32,
    target: Target,
    max_files: usize,
    peak: Arc<Peak>,
    sampler: Option<JoinHandle<()>>,
}

impl Usage {
    /// Starts to record what a daemon uses, which may open `max_files` files.
    #[must_use]
    pub fn start(process: &Process, target: Target, max_files: usize) -> Self {
        let peak = Arc::<Peak>::default();
        let (seen, id, port) = (Arc::clone(&peak), process.id(), target.address.port());
        let sampler = Some(std::thread::spawn(move || sample(&seen, id, port)));
        Self { process: process.id(), target, max_files, peak, sampler }
    }

    /// Lets each caller of a crowd send, and checks what must hold while they stay connected and after they have left.
    ///
    /// # Panics
    /// If an ordinary request is not answered, or the process has ended or used more than its machine has.
    pub async fn withstand(&self, process: &mut Process, crowd: Vec<Sender>) {
        let (leave, _) = watch::channel(());
        let mut callers = JoinSet::new();
        let sent = Arc::new(AtomicUsize::new(0));
        let count = crowd.len();
        for sender in crowd {
            let (target, mut left, sent) = (self.target.clone(), leave.subscribe(), Arc::clone(&sent));
            callers.spawn(async move {
                let _conn = tokio::time::timeout(SEND_TIMEOUT, sender.send(&target)).await;
                sent.fetch_add(1, Ordering::Relaxed);
                // Ends when the sender is dropped.
                while left.changed().await.is_ok() {}
            });
        }
        while sent.load(Ordering::Relaxed) < count {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
        self.settle().await;
        self.check_ordinary(process, "beside the crowd").await;
        drop(leave);
        while callers.join_next().await.is_some() {}
        self.check_ordinary(process, "after the crowd").await;
        self.check_limits(process);
    }

    /// Checks that an ordinary caller, who repeats a request that is refused, gets an answer.
    ///
    /// # Panics
    /// If there is none.
    pub async fn check_ordinary(&self, process: &mut Process, when: &str) {
        let framing = sized(ORDINARY_BODY.len());
        for _ in 0..TRIES {
            let answer = self.target.post(&framing, ORDINARY_BODY, ORDINARY_BODY.len());
            if let Ok(Some(200)) = tokio::time::timeout(TRY_TIMEOUT, answer).await {
                return;
            }
            tokio::time::sleep(TRY_PAUSE).await;
        }
        let status = process.exit_status();
        panic!("no answer to an ordinary request {when} in {TRIES} tries; the process: {status:?}; {}", self.text());
    }

    /// Checks that the process lives and has stayed within its machine.
    ///
    /// # Panics
    /// If it has not.
    pub fn check_limits(&self, process: &mut Process) {
        println!("{}", self.text());
        assert_eq!(process.exit_status(), None, "the process lives");
        assert!(self.peak.bytes.load(Ordering::Relaxed) <= MACHINE_BYTES, "memory: {}", self.text());
        assert!(self.peak.files.load(Ordering::Relaxed) <= self.max_files, "files: {}", self.text());
    }

    /// The most bytes that had arrived and were not read yet.
    #[must_use]
    pub fn unread(&self) -> u64 {
        self.peak.unread.load(Ordering::Relaxed)
    }

    fn text(&self) -> String {
        let (bytes, files) = (self.peak.bytes.load(Ordering::Relaxed), self.peak.files.load(Ordering::Relaxed));
        format!("{} MB and {files} files at most", bytes / 1_000_000)
    }

    /// Waits until the daemon has read what was sent, as far as it does, and rests.
    async fn settle(&self) {
        let look = || (bytes_under_way(self.target.address.port()), cpu_and_memory(self.process).0);
        for _ in 0..MAX_LOOKS {
            let (bytes, cpu_s) = look();
            tokio::time::sleep(LOOK_INTERVAL).await;
            let (later_bytes, later_cpu_s) = look();
            if later_bytes == bytes && later_cpu_s - cpu_s < BUSY_SHARE * LOOK_INTERVAL.as_secs_f64() {
                return;
            }
        }
    }
}

impl Drop for Usage {
    fn drop(&mut self) {
        self.peak.is_over.store(true, Ordering::Relaxed);
        if let Some(sampler) = self.sampler.take() {
            let _ = sampler.join();
        }
    }
}

/// Records the largest use of memory and files by a process until its test is over.
fn sample(peak: &Peak, process: u32, port: u16) {
    while !peak.is_over.load(Ordering::Relaxed) {
        let (_, resident) = cpu_and_memory(process);
        let files = fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
        let unread = unread_bytes(port);
        peak.unread.fetch_max(unread, Ordering::Relaxed);
        peak.bytes.fetch_max(resident + unread, Ordering::Relaxed);
        peak.bytes.fetch_max(resident_peak(process), Ordering::Relaxed);
        peak.files.fetch_max(files, Ordering::Relaxed);
        std::thread::sleep(SAMPLE_INTERVAL);
    }
}

/// The largest resident memory that a process has had, in bytes.
fn resident_peak(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    peak.and_then(|text| text.trim().strip_suffix(" kB")?.parse::<u64>().ok()).unwrap_or(0) * 1_024
}

/// The queues of one connection, as the kernel lists them.
struct Queues {
    local_port: u16,
    remote_port: u16,
    /// Bytes that are not acknowledged yet.
    sending: u64,
    /// Bytes that have arrived and are not read yet.
    unread: u64,
}

/// All connections over the loopback interface.
fn connections() -> Vec<Queues> {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let parsed = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, remote, state, queues, ..] = fields[..] else { return None };
        let port = |address: &str| u16::from_str_radix(address.rsplit(':').next()?, 16).ok();
        let (sending, unread) = queues.split_once(':')?;
        let bytes = |text| u64::from_str_radix(text, 16).ok();
        let queues = Queues {
            local_port: port(local)?,
            remote_port: port(remote)?,
            sending: bytes(sending)?,
            unread: bytes(unread)?,
        };
        // In a listening socket the queues count connections.
        (state != "0A").then_some(queues)
    });
    parsed.collect()
}

/// Bytes that have arrived on the connections of a port and are not read yet.
fn unread_bytes(port: u16) -> u64 {
    connections().iter().filter(|conn| conn.local_port == port).map(|conn| conn.unread).sum()
}

/// Bytes that are being sent to a port, or have arrived there and are not read yet.
fn bytes_under_way(port: u16) -> u64 {
    let sending = connections().iter().filter(|conn| conn.remote_port == port).map(|conn| conn.sending).sum::<u64>();
    sending + unread_bytes(port)
}

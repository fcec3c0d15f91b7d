//! Bodies of callers' requests in memory, of which there is a bounded amount.
//!
//! The bytes of a body are copied as they arrive, so that what is counted is what is held: a slice of what the HTTP
//! library has read keeps all of the library's buffer, however short it is. A small body is kept on the heap. The pages of a
//! larger one are mapped for it alone, so they take memory only once they are filled, and return it when the body ends.
//! [`BodyMemory`] decides which body gives way when the memory is used up.

use std::{
    error::Error,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use dahliaseam_core::{
    body_memory::{BodyKey, BodyMemory, GaveWay, SMALL_BODY_BYTES},
    time::Time,
};
use http_body_util::BodyExt;
use hyper::body::Body;
use memmap2::{Advice, MmapMut};
use slotmap::SecondaryMap;
use tokio::sync::Notify;

use crate::{clock::Clock, connection_table::ConnectionHandle};

/// Minimum memory for a body, in bytes.
const MIN_BUFFER_BYTES: usize = 512;

/// Why a body was not received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// The memory for bodies is used up.
    NoMemory,
    /// It broke off.
    Broken(String),
}

impl From<GaveWay> for BodyError {
    fn from(_: GaveWay) -> Self {
        Self::NoMemory
    }
}

/// The bodies of a daemon's requests.
#[derive(Debug)]
pub struct BodyStore {
    clock: Arc<dyn Clock>,
    inner: Mutex<Inner>,
    refused: AtomicU64,
}

#[derive(Debug)]
struct Inner {
    memory: BodyMemory,
    /// Bodies that are being received.
    receiving: SecondaryMap<BodyKey, Receiving>,
}

#[derive(Debug)]
struct Receiving {
    buf: Buffer,
    gave_way: Arc<Notify>,
}

/// The bytes of a body.
#[derive(Debug)]
enum Buffer {
    Heap(Vec<u8>),
    Mapped { pages: MmapMut, length: usize },
}

impl Buffer {
    fn as_slice(&self) -> &[u8] {
        match self {
            Self::Heap(bytes) => bytes,
            Self::Mapped { pages, length } => &pages[..*length],
        }
    }

    /// Bytes that this buffer holds once it has `length` bytes, of at most `max`.
    fn memory_for(length: usize, max: usize) -> usize {
        if length > SMALL_BODY_BYTES {
            return length.next_multiple_of(SMALL_BODY_BYTES);
        }
        length.next_power_of_two().max(MIN_BUFFER_BYTES).min(max.max(length))
    }

    /// Appends bytes; `max` is the maximum length.
    fn append(&mut self, data: &[u8], max: usize) -> std::io::Result<()> {
        let new_length = self.as_slice().len() + data.len();
        if let Self::Heap(bytes) = self {
            if new_length <= SMALL_BODY_BYTES {
                bytes.reserve_exact(Self::memory_for(new_length, max) - bytes.len());
                bytes.extend_from_slice(data);
                return Ok(());
            }
            let mut pages = MmapMut::map_anon(max.max(new_length))?;
            // A huge page would be held as a whole from its first byte on. Kernels without them reject the advice.
            let _ = pages.advise(Advice::NoHugePage);
            pages[..bytes.len()].copy_from_slice(bytes);
            *self = Self::Mapped { pages, length: bytes.len() };
        }
        if let Self::Mapped { pages, length } = self {
            pages[*length..new_length].copy_from_slice(data);
            *length = new_length;
        }
        Ok(())
    }
}

impl BodyStore {
    /// A store that holds bodies of up to `capacity` bytes together.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>, capacity: usize) -> Arc<Self> {
        let inner = Inner { memory: BodyMemory::new(capacity), receiving: SecondaryMap::new() };
        Arc::new(Self { clock, inner: Mutex::new(inner), refused: AtomicU64::new(0) })
    }

    /// Bytes that all bodies hold.
    #[must_use]
    pub fn held(&self) -> usize {
        self.lock().memory.held()
    }

    /// Number of bodies that were refused since the memory was used up.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Receives a body of at most `limit` bytes, which then counts until its last clone is dropped. `conn` is the
    /// connection on which it arrives.
    ///
    /// # Errors
    /// Why it was not received completely.
    pub(crate) async fn receive<B>(
        self: &Arc<Self>,
        body: B,
        limit: usize,
        conn: Option<&ConnectionHandle>,
    ) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin,
    {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        if let Some(conn) = conn {
            conn.receive_body();
        }
        let received = self.receive_all(body, limit, conn).await;
        if received == Err(BodyError::NoMemory) {
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        if let (Ok(_), Some(conn)) = (&received, conn) {
            conn.end_body();
        }
        received
    }

    async fn receive_all<B>(
        self: &Arc<Self>,
        mut body: B,
        limit: usize,
        conn: Option<&ConnectionHandle>,
    ) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin,
    {
        let announced = body.size_hint();
        let reading = self.begin(announced.lower(), limit)?;
        let max = announced.exact().map_or(reading.limit, |length| length as usize);
        loop {
            let frame = tokio::select! {
                biased;
                () = reading.gave_way.notified() => return Err(BodyError::NoMemory),
                frame = body.frame() => frame,
            };
            match frame {
                None => return reading.complete(),
                Some(Err(e)) => return Err(BodyError::Broken(e.into().to_string())),
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if reading.append(&data, max)? == Progress::Granted
                        && let Some(conn) = conn
                    {
                        conn.receive_body();
                    }
                }
            }
        }
    }

    /// Begins to receive a body with at least `lower` bytes.
    fn begin(self: &Arc<Self>, lower: u64, limit: usize) -> Result<Reading, BodyError> {
        let mut inner = self.lock();
        let limit = limit.min(inner.memory.max_body());
        let lower = usize::try_from(lower).ok().filter(|lower| *lower <= limit).ok_or(BodyError::TooLarge)?;
        if !inner.memory.has_room(lower) {
            return Err(BodyError::NoMemory);
        }
        let key = inner.memory.begin(self.clock.now());
        let gave_way = Arc::<Notify>::default();
        let receiving = Receiving { buf: Buffer::Heap(Vec::new()), gave_way: Arc::clone(&gave_way) };
        inner.receiving.insert(key, receiving);
        Ok(Reading { held: Held { store: Arc::clone(self), key }, gave_way, limit })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory of a body, which is free again when this is dropped.
#[derive(Debug)]
struct Held {
    store: Arc<BodyStore>,
    key: BodyKey,
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut inner = self.store.lock();
        inner.receiving.remove(self.key);
        inner.memory.end(self.key);
    }
}

/// A body that is being received.
#[derive(Debug)]
struct Reading {
    held: Held,
    gave_way: Arc<Notify>,
    /// Maximum length in bytes.
    limit: usize,
}

/// Whether more memory was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Granted,
    Sufficient,
}

impl Reading {
    /// Appends bytes to the body, whose length is at most `max`.
    fn append(&self, data: &[u8], max: usize) -> Result<Progress, BodyError> {
        let now: Time = self.held.store.clock.now();
        let inner = &mut *self.held.store.lock();
        let receiving = inner.receiving.get_mut(self.held.key).ok_or(BodyError::NoMemory)?;
        let length = receiving.buf.as_slice().len();
        if length + data.len() > self.limit {
            return Err(BodyError::TooLarge);
        }
        let (has, needs) = (Buffer::memory_for(length, max), Buffer::memory_for(length + data.len(), max));
        let is_grant = length == 0 || needs > has;
        if is_grant {
            for victim in inner.memory.grow(self.held.key, needs, now)? {
                if let Some(victim) = inner.receiving.remove(victim) {
                    victim.gave_way.notify_one();
                }
            }
        }
        let receiving = inner.receiving.get_mut(self.held.key).ok_or(BodyError::NoMemory)?;
        // Without pages for it, the body cannot be held.
        receiving.buf.append(data, max).map_err(|_| BodyError::NoMemory)?;
        Ok(if is_grant { Progress::Granted } else { Progress::Sufficient })
    }

    /// The complete body.
    fn complete(self) -> Result<Bytes, BodyError> {
        let buf = {
            let inner = &mut *self.held.store.lock();
            inner.memory.complete(self.held.key)?;
            inner.receiving.remove(self.held.key).ok_or(BodyError::NoMemory)?.buf
        };
        Ok(Bytes::from_owner(CompleteBody { buf, _held: self.held }))
    }
}

/// A complete body with its memory.
#[derive(Debug)]
struct CompleteBody {
    buf: Buffer,
    _held: Held,
}

impl AsRef<[u8]> for CompleteBody {
    fn as_ref(&self) -> &[u8] {
        self.buf.as_slice()
    }
}

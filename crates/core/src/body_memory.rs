//! Memory for the bodies of requests: how much each holds, and which one gives way when nothing is left.
//!
//! A body is granted memory as its bytes arrive, whatever length was announced, so a caller that sends nothing holds
//! nothing. When the memory is used up, the body that was granted memory longest ago gives way: that of a caller who
//! stopped, or who sends so little at a time that the last grant still suffices. Callers who send at a normal pace were
//! all granted some recently; then the one that needs more now gives way, so that the others complete. A complete body
//! keeps its memory until its request ends. A part of the memory is for small bodies only.

use slotmap::{SlotMap, new_key_type};

use crate::time::{Span, Time};

/// Maximum size of a small body, in bytes; also the steps in which larger ones are granted memory.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// Part of the memory that only small bodies use.
const SMALL_SHARE: usize = 8;
/// Age of its last grant below which a body does not give way to another one: a caller may wait that long for the
/// retransmission of a lost packet.
const MIN_GRANT_AGE: Span = Span::millis(250);

new_key_type! {
    /// Identifies a body.
    pub struct BodyKey;
}

/// What one body holds.
#[derive(Clone, Copy, Debug)]
struct Holding {
    bytes: usize,
    granted_at: Time,
    is_complete: bool,
}

impl Holding {
    const fn is_large(&self) -> bool {
        self.bytes > SMALL_BODY_BYTES
    }
}

/// Memory that is shared by all bodies.
#[derive(Debug)]
pub struct BodyMemory {
    capacity: usize,
    bodies: SlotMap<BodyKey, Holding>,
    held: usize,
    held_by_large: usize,
    held_by_complete: usize,
}

/// The body gives way itself: it has lost its memory and must be refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GaveWay;

impl BodyMemory {
    /// Memory of this many bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { capacity, bodies: SlotMap::with_key(), held: 0, held_by_large: 0, held_by_complete: 0 }
    }

    /// Maximum size of one body, in bytes.
    #[must_use]
    pub const fn max_body(&self) -> usize {
        self.capacity - self.capacity / SMALL_SHARE
    }

    /// Bytes that all bodies hold.
    #[must_use]
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Whether a body with this length can be received unless a complete one ends first.
    #[must_use]
    pub const fn has_room(&self, length: usize) -> bool {
        let capacity = if length > SMALL_BODY_BYTES { self.max_body() } else { self.capacity };
        self.held_by_complete.saturating_add(length) <= capacity
    }

    /// Adds a body that holds nothing yet.
    pub fn begin(&mut self, now: Time) -> BodyKey {
        self.bodies.insert(Holding { bytes: 0, granted_at: now, is_complete: false })
    }

    /// Grants a body that is being received memory for `bytes` in all; returns those that give way to it.
    ///
    /// # Errors
    /// If it gives way itself, or has done so before.
    pub fn grow(&mut self, key: BodyKey, bytes: usize, now: Time) -> Result<Vec<BodyKey>, GaveWay> {
        let mut victims = Vec::new();
        loop {
            let holding = self.bodies.get(key).ok_or(GaveWay)?;
            let grown = Holding { bytes, granted_at: now, ..*holding };
            let Some(lack) = self.lack(holding, &grown) else {
                self.replace(key, grown);
                return Ok(victims);
            };
            let victim = self.oldest(lack).filter(|victim| *victim != key && self.may_give_way(*victim, now));
            let Some(victim) = victim else {
                self.end(key);
                return Err(GaveWay);
            };
            self.end(victim);
            victims.push(victim);
        }
    }

    /// Marks a body as complete: it does not give way any more.
    ///
    /// # Errors
    /// If it gave way before.
    pub fn complete(&mut self, key: BodyKey) -> Result<(), GaveWay> {
        let holding = *self.bodies.get(key).ok_or(GaveWay)?;
        self.replace(key, Holding { is_complete: true, ..holding });
        Ok(())
    }

    /// Removes a body, which may have given way before.
    pub fn end(&mut self, key: BodyKey) {
        if let Some(holding) = self.bodies.remove(key) {
            self.uncount(&holding);
        }
    }

    /// What is lacking for a body to hold more than it does; `None` if nothing is.
    fn lack(&self, holding: &Holding, grown: &Holding) -> Option<Lack> {
        let held_by_large = if holding.is_large() { self.held_by_large - holding.bytes } else { self.held_by_large };
        if self.held - holding.bytes + grown.bytes > self.capacity {
            Some(Lack::Memory)
        } else if grown.is_large() && held_by_large + grown.bytes > self.max_body() {
            Some(Lack::MemoryOfLarge)
        } else {
            None
        }
    }

    /// The body that was granted memory longest ago, among those whose end would help.
    fn oldest(&self, lack: Lack) -> Option<BodyKey> {
        let is_candidate = |holding: &Holding| {
            !holding.is_complete && holding.bytes > 0 && (lack == Lack::Memory || holding.is_large())
        };
        let candidates = self.bodies.iter().filter(|(_, holding)| is_candidate(holding));
        candidates.min_by_key(|(_, holding)| holding.granted_at).map(|(key, _)| key)
    }

    fn may_give_way(&self, key: BodyKey, now: Time) -> bool {
        self.bodies.get(key).is_some_and(|holding| now.since(holding.granted_at) >= MIN_GRANT_AGE)
    }

    fn replace(&mut self, key: BodyKey, new: Holding) {
        let Some(old) = self.bodies.get_mut(key).map(|holding| std::mem::replace(holding, new)) else { return };
        self.uncount(&old);
        self.held += new.bytes;
        self.held_by_large += if new.is_large() { new.bytes } else { 0 };
        self.held_by_complete += if new.is_complete { new.bytes } else { 0 };
    }

    const fn uncount(&mut self, holding: &Holding) {
        self.held -= holding.bytes;
        self.held_by_large -= if holding.is_large() { holding.bytes } else { 0 };
        self.held_by_complete -= if holding.is_complete { holding.bytes } else { 0 };
    }
}

/// What is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lack {
    /// All memory.
    Memory,
    /// The part that large bodies may use.
    MemoryOfLarge,
}

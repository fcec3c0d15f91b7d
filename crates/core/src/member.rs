//! Membership and failure detection of the daemons on entry VMs.
//!
//! The table is seeded from the platform's VM list. In each probe period a daemon probes one other member, in
//! shuffled round-robin order. If no answer comes, it asks a few others to probe that member; if that fails
//! too, the member is suspected, and declared dead unless it refutes in time. Updates are piggybacked on probes
//! and answers, each for a bounded number of messages. This is SWIM (Das, Gupta, Motivala, 2002) with the
//! suspicion mechanism of its section 4.2; the load per daemon does not grow with the number of members.

use std::collections::HashMap;

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::time::{Span, Time};

new_key_type! {
    /// Key of a member in this daemon's table.
    pub struct MemberKey;
}

/// One run of a daemon, identified by its VM and start number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Name of the VM.
    pub vm: String,
    /// Start number, which grows with each start on the VM.
    pub start: u64,
}

/// Address information of a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Name of the VM.
    pub vm: String,
    /// Hall of the VM.
    pub hall: String,
    /// Peer address as `IP:port`.
    pub address: String,
}

/// State of a member as this daemon believes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// Listed by the platform; has not answered yet.
    Listed,
    /// Answers probes.
    Alive,
    /// Did not answer a probe and may still refute.
    Suspect,
    /// Did not refute in time.
    Dead,
    /// Announced that it leaves.
    Left,
}

/// State of one member, as spread between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Address information.
    pub contact: Contact,
    /// Start number of the daemon's run.
    pub start: u64,
    /// Number of suspicions that the member has refuted in this run.
    pub refutation: u32,
    /// Believed state.
    pub health: Health,
}

impl Update {
    /// Whether this update is newer than the known start number, refutation count and state.
    const fn overrides(&self, start: u64, refutation: u32, health: Health) -> bool {
        if self.start != start {
            return self.start > start;
        }
        if self.refutation != refutation {
            return self.refutation > refutation;
        }
        precedence(self.health) > precedence(health)
    }
}

const fn precedence(health: Health) -> u8 {
    match health {
        Health::Listed => 0,
        Health::Alive => 1,
        Health::Suspect => 2,
        Health::Dead => 3,
        Health::Left => 4,
    }
}

/// Row of one member.
#[derive(Clone, Debug)]
pub struct Member {
    /// Address information.
    pub contact: Contact,
    /// Start number of the daemon's run; zero before it is known.
    pub start: u64,
    /// Number of suspicions that the member has refuted in this run.
    pub refutation: u32,
    /// Believed state.
    pub health: Health,
    /// When a suspect is declared dead; for a dead or departed member, when its unlisted row is dropped.
    pub expires_at: Time,
    /// When it last answered this daemon directly.
    pub heard_at: Option<Time>,
    /// Whether the platform currently lists it.
    pub listed: bool,
}

/// Settings of the membership protocol.
#[derive(Clone, Copy, Debug)]
pub struct MemberSettings {
    /// Time between two probes.
    pub probe_period: Span,
    /// Time that a suspect has to refute.
    pub suspicion_timeout: Span,
    /// Number of members that are asked to probe a silent member.
    pub indirect_probers: usize,
    /// Maximum number of queued updates in one message.
    pub updates_per_message: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            probe_period: Span::millis(500),
            suspicion_timeout: Span::millis(2_000),
            indirect_probers: 3,
            updates_per_message: 12,
        }
    }
}

/// Times that an update is sent, per doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: Update,
    sends_left: u32,
}

/// Member table and state of the failure detector.
#[derive(Debug)]
pub struct Members {
    settings: MemberSettings,
    me: Contact,
    start: u64,
    refutation: u32,
    leaving: bool,
    rows: SlotMap<MemberKey, Member>,
    by_vm: HashMap<String, MemberKey>,
    queued_updates: Vec<QueuedUpdate>,
    probe_queue: Vec<MemberKey>,
    next_probe: Time,
    rng: SmallRng,
}

impl Members {
    /// Creates a table that contains only this daemon.
    #[must_use]
    pub fn new(settings: MemberSettings, me: Contact, start: u64, seed: u64) -> Self {
        Self {
            settings,
            me,
            start,
            refutation: 0,
            leaving: false,
            rows: SlotMap::with_key(),
            by_vm: HashMap::new(),
            queued_updates: Vec::new(),
            probe_queue: Vec::new(),
            next_probe: Time::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Incarnation of this daemon.
    #[must_use]
    pub fn me(&self) -> Incarnation {
        Incarnation { vm: self.me.vm.clone(), start: self.start }
    }

    /// Address information of this daemon.
    #[must_use]
    pub const fn contact(&self) -> &Contact {
        &self.me
    }

    /// Iterates over the other members.
    pub fn others(&self) -> impl Iterator<Item = (MemberKey, &Member)> {
        self.rows.iter()
    }

    /// Returns the row of another member.
    #[must_use]
    pub fn get(&self, key: MemberKey) -> Option<&Member> {
        self.rows.get(key)
    }

    /// Returns the row of another member by the name of its VM.
    #[must_use]
    pub fn by_vm(&self, vm: &str) -> Option<&Member> {
        self.by_vm.get(vm).and_then(|key| self.rows.get(*key))
    }

    /// Number of live daemons, including this one.
    #[must_use]
    pub fn live_count(&self) -> usize {
        1 + self.rows.values().filter(|m| is_live(m.health)).count()
    }

    /// Numbers of answering and of listed entry VMs, both including this one.
    #[must_use]
    pub fn reachability(&self) -> (usize, usize) {
        let listed = self.rows.values().filter(|m| m.listed && m.health != Health::Left);
        let answering = listed.clone().filter(|m| m.health == Health::Alive).count();
        (answering + 1, listed.count() + 1)
    }

    /// Whether a process has certainly terminated: it announced as its last act that it leaves, a later run answers
    /// in its place, or its VM was listed by the platform and no longer is.
    #[must_use]
    pub fn is_terminated(&self, process: &Incarnation) -> bool {
        if process.vm == self.me.vm {
            return process.start != self.start;
        }
        self.by_vm(&process.vm).is_some_and(|member| {
            let replaced = member.start > process.start;
            let left = member.start == process.start && member.health == Health::Left;
            let gone = !member.listed && !is_live(member.health);
            replaced || left || gone
        })
    }

    /// Replaces the platform's list of entry VMs.
    pub fn set_listed(&mut self, listed: &[Contact]) {
        for row in self.rows.values_mut() {
            row.listed = false;
        }
        let me = self.me.vm.clone();
        for contact in listed.iter().filter(|c| c.vm != me) {
            let key = self.key_or_insert(contact);
            self.rows[key].listed = true;
            // The platform is authoritative for addresses.
            self.rows[key].contact = contact.clone();
        }
    }

    /// Returns the next member to probe if a probe is due, and expires overdue suspicions.
    pub fn next_probe_target(&mut self, now: Time) -> Option<MemberKey> {
        self.expire(now);
        if !self.next_probe.is_past(now) {
            return None;
        }
        self.next_probe = now + self.settings.probe_period;
        if self.probe_queue.is_empty() {
            self.probe_queue = self.rows.keys().collect();
            self.probe_queue.shuffle(&mut self.rng);
        }
        while let Some(key) = self.probe_queue.pop() {
            if self.rows.get(key).is_some_and(|m| m.health != Health::Left || m.listed) {
                return Some(key);
            }
        }
        None
    }

    /// Random live members to ask for an indirect probe of `key`.
    pub fn indirect_probers(&mut self, key: MemberKey) -> Vec<MemberKey> {
        let mut live: Vec<_> =
            self.rows.iter().filter(|(k, m)| *k != key && m.health == Health::Alive).map(|(k, _)| k).collect();
        live.shuffle(&mut self.rng);
        live.truncate(self.settings.indirect_probers);
        live
    }

    /// Records that the run `start` of `key` answered this daemon.
    pub fn record_answer(&mut self, key: MemberKey, start: u64, refutation: u32, now: Time) {
        let Some(row) = self.rows.get_mut(key) else { return };
        row.heard_at = Some(now);
        let update = Update { contact: row.contact.clone(), start, refutation, health: Health::Alive };
        // A direct answer also clears a suspicion that this daemon raised itself.
        if row.health == Health::Suspect && row.start == start {
            row.health = Health::Alive;
        }
        self.apply_update(&update, now);
    }

    /// Records that neither a direct nor an indirect probe reached `key`.
    pub fn record_unreached(&mut self, key: MemberKey, now: Time) {
        let Some(row) = self.rows.get(key) else { return };
        if row.health != Health::Alive {
            return;
        }
        let update = Update {
            contact: row.contact.clone(),
            start: row.start,
            refutation: row.refutation,
            health: Health::Suspect,
        };
        self.apply_update(&update, now);
    }

    /// Applies updates received from another daemon.
    pub fn apply(&mut self, updates: &[Update], now: Time) {
        for update in updates {
            if update.contact.vm == self.me.vm {
                self.refute(update);
            } else {
                self.apply_update(update, now);
            }
        }
    }

    /// Returns the update by which `key` is suspected or dead, if it is. It is sent with every probe of that member,
    /// which must learn of it to refute it, even after being cut off for long.
    #[must_use]
    pub fn update_to_refute(&self, key: MemberKey) -> Option<Update> {
        let row = self.rows.get(key)?;
        let must_refute = matches!(row.health, Health::Suspect | Health::Dead);
        must_refute.then(|| Update {
            contact: row.contact.clone(),
            start: row.start,
            refutation: row.refutation,
            health: row.health,
        })
    }

    /// Returns the updates for the next message, this daemon's own first.
    pub fn take_updates(&mut self) -> Vec<Update> {
        let mut out = vec![self.own_update()];
        self.queued_updates.sort_by_key(|queued| std::cmp::Reverse(queued.sends_left));
        for queued in self.queued_updates.iter_mut().take(self.settings.updates_per_message) {
            queued.sends_left -= 1;
            out.push(queued.update.clone());
        }
        self.queued_updates.retain(|queued| queued.sends_left > 0);
        out
    }

    /// Makes this daemon announce from now on that it leaves.
    pub const fn announce_leaving(&mut self) {
        self.leaving = true;
    }

    /// Refutation count of this daemon, to be put on answers.
    #[must_use]
    pub const fn refutation(&self) -> u32 {
        self.refutation
    }

    /// Random live member for an exchange in addition to the probes.
    pub fn random_live(&mut self) -> Option<MemberKey> {
        let live: Vec<_> = self.rows.iter().filter(|(_, m)| is_live(m.health)).map(|(k, _)| k).collect();
        (!live.is_empty()).then(|| live[self.rng.random_range(0..live.len())])
    }

    fn own_update(&self) -> Update {
        Update {
            contact: self.me.clone(),
            start: self.start,
            refutation: self.refutation,
            health: if self.leaving { Health::Left } else { Health::Alive },
        }
    }

    fn refute(&mut self, update: &Update) {
        let about_me = update.start == self.start && update.refutation >= self.refutation;
        if about_me && matches!(update.health, Health::Suspect | Health::Dead) {
            self.refutation = update.refutation + 1;
        }
    }

    fn expire(&mut self, now: Time) {
        let due: Vec<_> = self
            .rows
            .values()
            .filter(|m| m.health == Health::Suspect && m.expires_at.is_past(now))
            .map(|m| Update {
                contact: m.contact.clone(),
                start: m.start,
                refutation: m.refutation,
                health: Health::Dead,
            })
            .collect();
        for update in due {
            self.apply_update(&update, now);
        }
        self.rows.retain(|_, m| m.listed || is_live(m.health) || !m.expires_at.is_past(now));
        let rows = &self.rows;
        self.by_vm.retain(|_, key| rows.contains_key(*key));
    }

    fn apply_update(&mut self, update: &Update, now: Time) {
        let key = self.key_or_insert(&update.contact);
        let row = &mut self.rows[key];
        if !update.overrides(row.start, row.refutation, row.health) {
            return;
        }
        if !row.listed {
            row.contact = update.contact.clone();
        }
        row.start = update.start;
        row.refutation = update.refutation;
        row.health = update.health;
        row.expires_at = match update.health {
            Health::Suspect => now + self.settings.suspicion_timeout,
            // Rows of unlisted members are kept for a while, so that late updates do not revive them and others
            // can learn that the process has terminated.
            _ => now + Span(self.settings.suspicion_timeout.0 * DEAD_RETENTION_FACTOR),
        };
        let sends_left = SENDS_PER_DOUBLING * (usize::BITS - self.rows.len().leading_zeros() + 1);
        self.queued_updates.retain(|queued| queued.update.contact.vm != update.contact.vm);
        self.queued_updates.push(QueuedUpdate { update: update.clone(), sends_left });
    }

    fn key_or_insert(&mut self, contact: &Contact) -> MemberKey {
        if let Some(key) = self.by_vm.get(&contact.vm) {
            return *key;
        }
        let key = self.rows.insert(Member {
            contact: contact.clone(),
            start: 0,
            refutation: 0,
            health: Health::Listed,
            expires_at: Time::default(),
            heard_at: None,
            listed: false,
        });
        self.by_vm.insert(contact.vm.clone(), key);
        key
    }
}

/// Retention of dead, unlisted rows, in multiples of the suspicion timeout.
const DEAD_RETENTION_FACTOR: u64 = 300;

const fn is_live(health: Health) -> bool {
    matches!(health, Health::Alive | Health::Suspect)
}

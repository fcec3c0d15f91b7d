//! Which entry VMs are alive, found out by the daemons themselves.
//!
//! The platform's list seeds the table. Each period a daemon probes one other, in a shuffled
//! round; when no answer comes, a few others are asked to probe it; when that fails too, it is
//! suspected, and dead if it does not refute in time. News rides on probes and their answers, a
//! bounded number of times each. This is SWIM (Das, Gupta, Motivala, 2002) with the suspicion of
//! its section 4.2; the cost for a daemon does not grow with their number.

use std::collections::HashMap;

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use crate::time::{Span, Time};

new_key_type! {
    /// Key of a member in this daemon's table.
    pub struct MemberKey;
}

/// One run of a daemon: its VM and the stamp of its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// The VM's name.
    pub vm: String,
    /// Grows with each start on the VM.
    pub start: u64,
}

/// Where a member can be found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// The VM's name.
    pub vm: String,
    /// Its hall.
    pub hall: String,
    /// `IP:port` of its peer address.
    pub address: String,
}

/// What is believed of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It is listed and has not been heard.
    Listed,
    /// It answers.
    Alive,
    /// It did not answer and may refute.
    Suspect,
    /// It did not refute.
    Dead,
    /// It said that it leaves.
    Left,
}

/// News of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Where it is.
    pub contact: Contact,
    /// Stamp of its start.
    pub start: u64,
    /// Counts refutations within one start.
    pub refutation: u32,
    /// What is believed of it.
    pub health: Health,
}

impl Update {
    /// Whether this overrides what is believed under the other three fields.
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

/// One member's row.
#[derive(Clone, Debug)]
pub struct Member {
    /// Where it is.
    pub contact: Contact,
    /// Stamp of its start; zero before it was heard.
    pub start: u64,
    /// Counts its refutations.
    pub refutation: u32,
    /// What is believed of it.
    pub health: Health,
    /// When a suspect counts as dead; meaningless otherwise.
    pub expires_at: Time,
    /// When it last answered this daemon itself.
    pub heard_at: Option<Time>,
    /// Whether the platform lists it now.
    pub listed: bool,
}

/// Settings of membership.
#[derive(Clone, Copy, Debug)]
pub struct MemberSettings {
    /// Time between two probes.
    pub probe_period: Span,
    /// How long a suspect may refute.
    pub suspicion_timeout: Span,
    /// Others asked to probe one that did not answer.
    pub indirect_probers: usize,
    /// News in one message at most.
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

/// How often one piece of news is sent, for each doubling of the members.
const SENDS_PER_DOUBLING: u32 = 3;

#[derive(Clone, Debug)]
struct QueuedUpdate {
    update: Update,
    sends_left: u32,
}

/// The table of members and the state of probing.
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
    /// A table that knows only this daemon.
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

    /// This daemon's incarnation.
    #[must_use]
    pub fn me(&self) -> Incarnation {
        Incarnation { vm: self.me.vm.clone(), start: self.start }
    }

    /// This daemon's contact.
    #[must_use]
    pub const fn contact(&self) -> &Contact {
        &self.me
    }

    /// The other members.
    pub fn others(&self) -> impl Iterator<Item = (MemberKey, &Member)> {
        self.rows.iter()
    }

    /// The row of another member.
    #[must_use]
    pub fn get(&self, key: MemberKey) -> Option<&Member> {
        self.rows.get(key)
    }

    /// The row of another member by its VM's name.
    #[must_use]
    pub fn by_vm(&self, vm: &str) -> Option<&Member> {
        self.by_vm.get(vm).and_then(|key| self.rows.get(*key))
    }

    /// Live daemons, this one among them.
    #[must_use]
    pub fn live_count(&self) -> usize {
        1 + self.rows.values().filter(|m| is_live(m.health)).count()
    }

    /// Listed entry VMs and those of them that answer, this one in both.
    #[must_use]
    pub fn reachability(&self) -> (usize, usize) {
        let listed = self.rows.values().filter(|m| m.listed && m.health != Health::Left);
        let answering = listed.clone().filter(|m| m.health == Health::Alive).count();
        (answering + 1, listed.count() + 1)
    }

    /// Whether a process is known to be over: it said so as its last act, a later one answers in
    /// its place, or the platform listed its VM and no longer does.
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

    /// Take in the platform's list of entry VMs.
    pub fn set_listed(&mut self, listed: &[Contact]) {
        for row in self.rows.values_mut() {
            row.listed = false;
        }
        let me = self.me.vm.clone();
        for contact in listed.iter().filter(|c| c.vm != me) {
            let key = self.key_or_insert(contact);
            self.rows[key].listed = true;
            // The platform knows best where its VMs are.
            self.rows[key].contact = contact.clone();
        }
    }

    /// The member to probe now, if a probe is due.
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

    /// Others to ask for an indirect probe of `key`.
    pub fn indirect_probers(&mut self, key: MemberKey) -> Vec<MemberKey> {
        let mut live: Vec<_> =
            self.rows.iter().filter(|(k, m)| *k != key && m.health == Health::Alive).map(|(k, _)| k).collect();
        live.shuffle(&mut self.rng);
        live.truncate(self.settings.indirect_probers);
        live
    }

    /// Note that `key` answered this daemon as the run that began at `start`.
    pub fn record_answer(&mut self, key: MemberKey, start: u64, refutation: u32, now: Time) {
        let Some(row) = self.rows.get_mut(key) else { return };
        row.heard_at = Some(now);
        let update = Update { contact: row.contact.clone(), start, refutation, health: Health::Alive };
        // An answer is first-hand: it also clears a suspicion that this daemon raised itself.
        if row.health == Health::Suspect && row.start == start {
            row.health = Health::Alive;
        }
        self.apply_update(&update, now);
    }

    /// Note that neither a direct nor an indirect probe reached `key`.
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

    /// Take in news from another.
    pub fn apply(&mut self, updates: &[Update], now: Time) {
        for update in updates {
            if update.contact.vm == self.me.vm {
                self.refute(update);
            } else {
                self.apply_update(update, now);
            }
        }
    }

    /// What a member must know to refute, if it is believed to be suspect or dead. It goes on
    /// every probe of that member, so that one who was cut off for long comes back.
    #[must_use]
    pub fn update_to_refute(&self, key: MemberKey) -> Option<Update> {
        let row = self.rows.get(key)?;
        let accused = matches!(row.health, Health::Suspect | Health::Dead);
        accused.then(|| Update {
            contact: row.contact.clone(),
            start: row.start,
            refutation: row.refutation,
            health: row.health,
        })
    }

    /// News to put on a message, this daemon's own first.
    pub fn take_updates(&mut self) -> Vec<Update> {
        let mut out = vec![self.own_update()];
        self.queued_updates.sort_by_key(|n| std::cmp::Reverse(n.sends_left));
        for queued in self.queued_updates.iter_mut().take(self.settings.updates_per_message) {
            queued.sends_left -= 1;
            out.push(queued.update.clone());
        }
        self.queued_updates.retain(|n| n.sends_left > 0);
        out
    }

    /// From now on this daemon says that it leaves.
    pub const fn announce_leaving(&mut self) {
        self.leaving = true;
    }

    /// This daemon's refutation counter, to put on answers.
    #[must_use]
    pub const fn refutation(&self) -> u32 {
        self.refutation
    }

    /// A random live member, for an exchange beside the probes.
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
            // An unlisted row is kept for a while, so that late news does not revive it and
            // the end of its process can be told.
            _ => now + Span(self.settings.suspicion_timeout.0 * DEAD_RETENTION_FACTOR),
        };
        let sends_left = SENDS_PER_DOUBLING * (usize::BITS - self.rows.len().leading_zeros() + 1);
        self.queued_updates.retain(|n| n.update.contact.vm != update.contact.vm);
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

/// Suspicion times for which a dead and unlisted row is kept.
const DEAD_RETENTION_FACTOR: u64 = 300;

const fn is_live(health: Health) -> bool {
    matches!(health, Health::Alive | Health::Suspect)
}

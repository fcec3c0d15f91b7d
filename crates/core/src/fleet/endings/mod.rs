//! Requests under which replicas ended, and which of them is to blame.
//!
//! A request may end each replica that begins to run it, and its caller asks again at any daemon. So
//! daemons tell each other which requests a replica had when it ended ([`notes`]). All that it had are
//! equal at first; most only stood beside the one that did it. What tells them apart:
//!
//! - An answer that comes whole clears a request everywhere, and speaks for it for a while after: popular look-ups
//!   are often at several replicas that end together.
//! - From two ends on, requests are kept apart: each goes to the replica that its content draws, so two that
//!   were together do not end together again.
//! - From three ends on one is refused, unless others explain them as well: one that was at all of these replicas,
//!   or several that were at two of them at least each; or unless others ended meanwhile that nothing explains, as
//!   when a rack fails. In that doubt it runs again, alone among its like, and is refused from five ends on.
//! - The ends of a request that is refused without doubt count little against others.
//!
//! What is known lapses (`KEEP`, `REFUSE_SHORTLY`), since a replica's next version may survive it.

use std::collections::HashMap;

pub use crate::fleet::endings::{
    notes::{Listeners, RefusedNote, RequestNote},
    record::{KnownBy, Refused, Sound},
};
use crate::{
    content::ContentHash,
    fleet::{
        endings::{
            answered::Answered,
            record::{Cleared, End, Record},
        },
        plan::Isolation,
    },
    time::{Span, Time},
};

mod answered;
pub mod notes;
mod record;

/// Ends from which on a request is refused if nothing speaks against it: one end is chance and two happen
/// when a request's second try follows a replica that fails too.
const ENDS_TO_REFUSE: usize = 3;
/// Ends that another request explains count as one: that other one may have been blamed wrongly, and hide this.
const EXPLAINED_AS_ONE: usize = 3;
/// Ends from which on it is refused in doubt, too: its runs since the doubt ended replicas as well. With four, of those
/// that lost three engines beside others one in fourteen was refused, with five one in seventy (emulation of five
/// full engines and callers that repeat at once).
const ENDS_TO_REFUSE_DOUBTED: usize = 5;
/// Ends from which on a daemon refuses that hears no other: it knows only a part of them.
const ENDS_TO_REFUSE_ALONE: usize = 2;
/// Ends from which on requests are kept apart.
const ENDS_TO_KEEP_APART: usize = 2;
/// Time for which anything is kept after it was last heard of, and for which a request is refused: longer than callers
/// come again by themselves. An operator lets one through that was blamed wrongly before that.
pub const KEEP: Span = Span::millis(600_000);
/// Time for which a request is refused at first where other replicas ended meanwhile, so that it may only have stood
/// beside another one: as long as a caller may think that it was never answered.
const REFUSE_SHORTLY: Span = Span::millis(60_000);
/// Doublings of the time for which a request is refused again at most.
const MOST_DOUBLINGS: u32 = 6;
/// Time for which it is remembered that something speaks for a request, so that older news does not count. One that
/// was refused is remembered for as long as it was: a daemon that was cut off may still say so.
const KEEP_SOUND: Span = Span::millis(60_000);
/// Time in which what other daemons saw of an end is heard, and what is added for each daemon.
const SETTLE: Span = Span::millis(60);
/// See [`SETTLE`]: reports reach hall peers sooner than other halls.
const SETTLE_EACH: Span = Span::millis(1);
/// Time after which the one run in doubt counts as over, if nothing is heard of it: replicas end within a fifth of
/// a second under such a request.
const TRIAL: Span = Span::millis(2_000);
/// A request is in doubt if for each so many of its ends one other replica ended meanwhile that nothing explains.
const UNEXPLAINED: usize = 3;
/// Time before and after each of a request's ends in which others count as of the same trouble.
const MEANWHILE: Span = Span::millis(1_000);
/// Requests that are kept at most, of some 200 bytes: what a hundred full engines have at once.
const MAX_RECORDS: usize = 4_096;

/// How a request is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Like any other.
    Clear,
    /// Replicas ended under it: it is kept apart from others like it.
    Apart(Isolation),
    /// Other daemons' news of the last end may be under way; ask again then.
    Unsettled(Time),
    /// It is not sent to a replica.
    Refused(Refused),
}

/// Why a request is kept apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Replicas that ended under it, by the hash of their identifiers, and how long ago.
    pub ends: Vec<(u32, Span)>,
    /// For how much longer that counts.
    pub left: Span,
    /// Whether this daemon itself lost it so.
    pub own: bool,
}

/// On what grounds a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Grounds {
    /// No other replica ended meanwhile.
    Alone,
    /// Others did, and other requests explain that.
    AmongOthers,
    /// Others may be to blame, but it ended a replica in each of its runs since that was seen.
    Doubted,
}

impl Grounds {
    /// For how long, after it was refused so often before.
    fn refuse_for(self, lapses: u32) -> Span {
        match (lapses, self) {
            (0, Self::Alone) => KEEP,
            (0, _) => REFUSE_SHORTLY,
            (_, _) => Span(KEEP.0 << (lapses - 1).min(MOST_DOUBLINGS)),
        }
    }
}

/// What this daemon knows of such requests.
#[derive(Clone, Debug, Default)]
pub struct Endings {
    records: HashMap<ContentHash, Record>,
    /// Ends of the requests that are surely to blame.
    explained: Vec<End>,
    answered: Answered,
    /// When what did not change is told again, for each kind of listeners.
    again_at: [Time; 2],
}

impl Endings {
    /// Note that a replica ended while it had a request; returns the ends that are known of that.
    pub fn ended(&mut self, content: ContentHash, start_id: u32, at: Time) -> usize {
        if let Some(answered) = self.answered.at(content, at) {
            let record = self.record(content, at);
            clear(record, Cleared { at: answered, sound: Sound::Answered }, at);
            return 0;
        }
        let record = self.record(content, at);
        record.own = true;
        if record.add(End { replica: start_id, at, timed: true }) {
            record.lapses_at = at + KEEP;
            record.schedule_notes(at);
            self.note_explained();
        }
        self.records.get(&content).map_or(0, |record| self.open_ends(record).count())
    }

    /// Note that a replica answered a request to its end, so that it is not to blame.
    pub fn answered(&mut self, content: ContentHash, now: Time) {
        self.answered.note(content, now);
        if let Some(record) = self.records.get_mut(&content)
            && (record.count() > 0 || record.refused.is_some())
        {
            clear(record, Cleared { at: now, sound: Sound::Answered }, now);
            self.note_explained();
        }
    }

    /// Let a request through again; returns whether it was refused.
    pub fn lift(&mut self, content: ContentHash, now: Time) -> bool {
        let Some(record) = self.records.get_mut(&content).filter(|record| record.refused.is_some()) else {
            return false;
        };
        clear(record, Cleared { at: now, sound: Sound::LetThrough }, now);
        self.note_explained();
        true
    }

    /// Note that the store says that a request is refused, for so long by now; returns whether that is new.
    pub fn hear_stored(&mut self, content: ContentHash, ends: u32, age: Span, left: Span, now: Time) -> bool {
        let record = self.record(content, now);
        let since = now - age;
        // Two daemons may write the same entry; one that comes after an operator removed the other's says nothing new.
        if record.refused.is_some() || record.is_over(since) {
            return false;
        }
        record.refused = Some(Refused { ends, since, until: now + left, sure: false, known_by: KnownBy::Store });
        record.lapses_at = now + KEEP.max(left);
        self.note_explained();
        true
    }

    /// Note that the store says that a request is suspected.
    pub fn hear_suspicion(&mut self, content: ContentHash, suspicion: &Suspicion, now: Time) {
        if suspicion.left == Span(0) {
            return;
        }
        let record = self.record(content, now);
        for (replica, age) in &suspicion.ends {
            if record.add(End { replica: *replica, at: now - *age, timed: false }) {
                record.lapses_at = record.lapses_at.max(now + suspicion.left.min(KEEP));
            }
        }
    }

    /// How to treat a request, for one of so many daemons that hears others or not.
    pub fn standing(&mut self, content: ContentHash, daemons: usize, alone: bool, now: Time) -> Standing {
        let Some(record) = self.records.get(&content) else {
            return Standing::Clear;
        };
        if record.refused.is_none() && self.evidence(record) >= ENDS_TO_REFUSE {
            let settled_at = record.last_end() + SETTLE + Span(SETTLE_EACH.0 * daemons as u64);
            if !settled_at.is_past(now) {
                return Standing::Unsettled(settled_at);
            }
            self.judge(now);
        }
        let Some(record) = self.records.get(&content) else {
            return Standing::Clear;
        };
        if let Some(refused) = record.refused {
            return Standing::Refused(refused);
        }
        let ends = self.evidence(record);
        let not_now = Refused { ends: ends as u32, since: now, until: now, sure: false, known_by: KnownBy::Own };
        if alone && ends >= ENDS_TO_REFUSE_ALONE {
            return Standing::Refused(not_now);
        }
        if ends >= ENDS_TO_REFUSE && !record.trial_until.is_past(now) {
            return Standing::Refused(not_now);
        }
        if ends < ENDS_TO_KEEP_APART {
            return Standing::Clear;
        }
        // From here on each replica that it reaches counts.
        let whole = ends >= ENDS_TO_REFUSE || record.lapses > 0;
        Standing::Apart(Isolation { content, single_replica: whole })
    }

    /// Note that a run begins that tells whether a request is to blame.
    pub fn begin_trial(&mut self, content: ContentHash, now: Time) {
        if let Some(record) = self.records.get_mut(&content) {
            record.trial_until = now + TRIAL;
        }
    }

    /// Note that it is over, whatever it told.
    pub fn end_trial(&mut self, content: ContentHash) {
        if let Some(record) = self.records.get_mut(&content) {
            record.trial_until = Time(0);
        }
    }

    /// Whether a request is refused, as far as it was decided.
    #[must_use]
    pub fn is_refused(&self, content: ContentHash) -> bool {
        self.records.get(&content).is_some_and(|record| record.refused.is_some())
    }

    /// What is refused.
    pub fn refused(&self) -> impl Iterator<Item = (ContentHash, Refused)> {
        self.records.iter().filter_map(|(content, record)| Some((*content, record.refused?)))
    }

    /// What is suspected and not refused.
    pub fn suspected(&self, now: Time) -> impl Iterator<Item = (ContentHash, Suspicion)> {
        let suspected = self
            .records
            .iter()
            .filter(|(_, record)| record.refused.is_none() && self.open_ends(record).count() >= ENDS_TO_KEEP_APART);
        suspected.map(move |(content, record)| {
            let ends = record.ends.iter().map(|end| (end.replica, now.since(end.at)));
            (*content, Suspicion { ends: ends.collect(), left: record.lapses_at.since(now), own: record.own })
        })
    }

    /// Forget what is old; returns the requests that are no longer refused.
    pub fn sweep(&mut self, now: Time) -> Vec<ContentHash> {
        let mut lapsed = Vec::new();
        for (content, record) in &mut self.records {
            if record.refused.is_some_and(|refused| refused.until.is_past(now)) {
                lapsed.push(*content);
                record.refused = None;
                // One more end is enough to refuse it again.
                record.ends.truncate(ENDS_TO_REFUSE - 1);
                record.lapses += 1;
                record.lapsed_at = now;
                record.lapses_at = now + KEEP;
            }
        }
        self.records.retain(|_, record| !record.lapses_at.is_past(now));
        self.note_explained();
        lapsed
    }

    /// Requests that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decide on all requests that have enough ends, those with the most first.
    fn judge(&mut self, now: Time) {
        while let Some((ends, content, grounds)) = self.most_to_blame() {
            if let Some(record) = self.records.get_mut(&content) {
                let known_by = if record.own { KnownBy::Own } else { KnownBy::Told };
                let until = now + grounds.refuse_for(record.lapses);
                let sure = grounds != Grounds::Doubted;
                record.refused = Some(Refused { ends: ends as u32, since: now, until, sure, known_by });
                record.lapses_at = until + KEEP;
                record.schedule_notes(now);
            }
            self.note_explained();
        }
    }

    /// The request with the most ends of those that are to be refused and are not yet.
    fn most_to_blame(&self) -> Option<(usize, ContentHash, Grounds)> {
        let candidates = self.records.iter().filter(|(_, record)| record.refused.is_none());
        let blamed = candidates.filter_map(|(content, record)| {
            let evidence = self.evidence(record);
            Some((evidence, *content, self.grounds(*content, record, evidence)?))
        });
        blamed.max_by_key(|(ends, content, _)| (*ends, *content))
    }

    /// On what grounds a request is refused, if it is.
    fn grounds(&self, content: ContentHash, record: &Record, evidence: usize) -> Option<Grounds> {
        if evidence < ENDS_TO_REFUSE {
            return None;
        }
        let ends: &[End] = &self.open_ends(record).collect::<Vec<_>>();
        let others = self.meanwhile(ends);
        let suspects = self.suspects(content);
        let is_explained = |end: &End| suspects.iter().any(|other| other.was_at(end));
        let unexplained = others.iter().filter(|end| !is_explained(end)).count();
        let is_covered = ends.iter().all(is_explained);
        let doubted = is_covered || self.has_equal(content, ends) || unexplained * UNEXPLAINED >= evidence;
        match (doubted, others.is_empty()) {
            (false, true) => Some(Grounds::Alone),
            (false, false) => Some(Grounds::AmongOthers),
            (true, _) if evidence >= ENDS_TO_REFUSE_DOUBTED => Some(Grounds::Doubted),
            (true, _) => None,
        }
    }

    /// Whether another request was at all the replicas that ended under this one.
    fn has_equal(&self, content: ContentHash, ends: &[End]) -> bool {
        self.others(content).any(|other| ends.iter().all(|end| other.was_at(end)))
    }

    /// Other replicas that ended while these did, as far as no refused request explains that.
    fn meanwhile(&self, ends: &[End]) -> Vec<End> {
        let is_meanwhile = |end: &End| ends.iter().any(|own| own.is_within(MEANWHILE, end));
        let mut others: Vec<End> = Vec::new();
        for end in self.records.values().flat_map(|record| self.open_ends(record)).filter(is_meanwhile) {
            if !ends.iter().chain(&others).any(|known| known.is_same(&end)) {
                others.push(end);
            }
        }
        others
    }

    /// Others that were at two ends at least, and so explain these.
    fn suspects(&self, content: ContentHash) -> Vec<&Record> {
        self.others(content).filter(|other| self.open_ends(other).count() >= ENDS_TO_KEEP_APART).collect()
    }

    /// All others that are not refused.
    fn others(&self, content: ContentHash) -> impl Iterator<Item = &Record> {
        let others = self.records.iter().filter(move |(other, record)| **other != content && record.refused.is_none());
        others.map(|(_, record)| record)
    }

    /// A request's ends that none explains which is surely to blame.
    fn open_ends(&self, record: &Record) -> impl Iterator<Item = End> {
        record.unexplained(&self.explained)
    }

    /// How many ends count against a request.
    fn evidence(&self, record: &Record) -> usize {
        let open = self.open_ends(record).count();
        open + (record.count() - open) / EXPLAINED_AS_ONE
    }

    fn note_explained(&mut self) {
        self.explained.clear();
        let sure = |record: &&Record| record.refused.is_some_and(|refused| refused.sure);
        self.explained.extend(self.records.values().filter(sure).flat_map(|record| &record.ends));
    }

    fn record(&mut self, content: ContentHash, now: Time) -> &mut Record {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&content) {
            self.drop_least();
        }
        self.records.entry(content).or_insert_with(|| Record::new(now))
    }

    /// Forget the request that has the fewest ends, and among those the oldest.
    fn drop_least(&mut self) {
        let least = self.records.iter().min_by_key(|(_, r)| (r.refused.is_some(), r.count(), r.last_end()));
        if let Some(content) = least.map(|(content, _)| *content) {
            self.records.remove(&content);
        }
    }
}

/// Note what speaks for a request, and tell it.
fn clear(record: &mut Record, cleared: Cleared, now: Time) {
    let keep = if record.refused.is_some() { KEEP } else { KEEP_SOUND };
    record.clear(cleared);
    record.lapses_at = now + keep;
    record.schedule_notes(now);
}

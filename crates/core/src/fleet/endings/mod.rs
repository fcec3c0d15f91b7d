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
    notes::{Recipients, RefusedNote, RequestNote},
    record::{ClearReason, KnownBy, Refused},
};
use crate::{
    content::ContentHash,
    fleet::{
        endings::{
            answered::RecentAnswers,
            record::{Clearance, Crash, Record},
        },
        plan::Apart,
    },
    time::{Span, Time},
};

mod answered;
pub mod notes;
mod record;

/// Ends from which on a request is refused if nothing speaks against it: one end is chance and two happen
/// when a request's second try follows a replica that fails too.
const CRASHES_TO_REFUSE: usize = 3;
/// Ends that another request explains count as one: that other one may have been blamed wrongly, and hide this.
const EXPLAINED_CRASH_DIVISOR: usize = 3;
/// Ends from which on it is refused in doubt, too: its runs since the doubt ended replicas as well. With four, of those
/// that lost three engines beside others one in fourteen was refused, with five one in seventy (emulation of five
/// full engines and callers that repeat at once).
const CRASHES_TO_REFUSE_AMBIGUOUS: usize = 5;
/// Ends from which on a daemon refuses that hears no other: it knows only a part of them.
const CRASHES_TO_REFUSE_CUT_OFF: usize = 2;
/// Ends from which on requests are kept apart.
const CRASHES_TO_ISOLATE: usize = 2;
/// Time for which anything is kept after it was last heard of, and for which a request is refused: longer than callers
/// come again by themselves. An operator lets one through that was blamed wrongly before that.
pub const RETENTION: Span = Span::millis(600_000);
/// Time for which a request is refused at first where other replicas ended meanwhile, so that it may only have stood
/// beside another one: as long as a caller may think that it was never answered.
const SHORT_REFUSAL: Span = Span::millis(60_000);
/// Doublings of the time for which a request is refused again at most.
const MAX_DOUBLINGS: u32 = 6;
/// Time for which it is remembered that something speaks for a request, so that older news does not count. One that
/// was refused is remembered for as long as it was: a daemon that was cut off may still say so.
const CLEARANCE_RETENTION: Span = Span::millis(60_000);
/// Time in which what other daemons saw of an end is heard, and what is added for each daemon.
const REPORT_DELAY: Span = Span::millis(60);
/// See [`REPORT_DELAY`]: reports reach hall peers sooner than other halls.
const REPORT_DELAY_PER_DAEMON: Span = Span::millis(1);
/// Time after which the one run in doubt counts as over, if nothing is heard of it: replicas end within a fifth of
/// a second under such a request.
const TRIAL_TIMEOUT: Span = Span::millis(2_000);
/// A request is in doubt if for each so many of its ends one other replica ended meanwhile that nothing explains.
const CRASHES_PER_UNEXPLAINED: usize = 3;
/// Time before and after each of a request's ends in which others count as of the same trouble.
const COINCIDENCE_WINDOW: Span = Span::millis(1_000);
/// Requests that are kept at most, of some 200 bytes: what a hundred full engines have at once.
const MAX_RECORDS: usize = 4_096;

/// How a request is to be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Like any other.
    Clear,
    /// Replicas ended under it: it is kept apart from others like it.
    Isolated(Apart),
    /// Other daemons' news of the last end may be under way; ask again then.
    Pending(Time),
    /// It is not sent to a replica.
    Refused(Refused),
}

/// Why a request is kept apart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Replicas that ended under it, by the hash of their identifiers, and how long ago.
    pub crashes: Vec<(u32, Span)>,
    /// For how much longer that counts.
    pub time_left: Span,
    /// Whether this daemon itself lost it so.
    pub observed_here: bool,
}

/// On what grounds a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Grounds {
    /// No other replica ended meanwhile.
    NoOtherCrashes,
    /// Others did, and other requests explain that.
    OthersExplained,
    /// Others may be to blame, but it ended a replica in each of its runs since that was seen.
    Ambiguous,
}

impl Grounds {
    /// For how long, after it was refused so often before.
    fn refusal_period(self, expired_refusals: u32) -> Span {
        match (expired_refusals, self) {
            (0, Self::NoOtherCrashes) => RETENTION,
            (0, _) => SHORT_REFUSAL,
            (_, _) => Span(RETENTION.0 << (expired_refusals - 1).min(MAX_DOUBLINGS)),
        }
    }
}

/// What this daemon knows of such requests.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    records: HashMap<ContentHash, Record>,
    /// Ends of the requests that are surely to blame.
    explained_crashes: Vec<Crash>,
    answers: RecentAnswers,
    /// When what did not change is told again, for each kind of listeners.
    resend_at: [Time; 2],
}

impl CrashTracker {
    /// Note that a replica ended while it had a request; returns the ends that are known of that.
    pub fn record_crash(&mut self, content: ContentHash, start_id: u32, at: Time) -> usize {
        if let Some(answered) = self.answers.last_answer(content, at) {
            let record = self.record_mut(content, at);
            clear_and_report(record, Clearance { at: answered, reason: ClearReason::Answered }, at);
            return 0;
        }
        let record = self.record_mut(content, at);
        record.observed_here = true;
        if record.add_crash(Crash { replica: start_id, at, precise: true }) {
            record.expires_at = at + RETENTION;
            record.schedule_notes(at);
            self.update_explained();
        }
        self.records.get(&content).map_or(0, |record| self.unexplained_crashes(record).count())
    }

    /// Note that a replica answered a request to its end, so that it is not to blame.
    pub fn record_answer(&mut self, content: ContentHash, now: Time) {
        self.answers.record(content, now);
        if let Some(record) = self.records.get_mut(&content)
            && (record.crash_count() > 0 || record.refused.is_some())
        {
            clear_and_report(record, Clearance { at: now, reason: ClearReason::Answered }, now);
            self.update_explained();
        }
    }

    /// Let a request through again; returns whether it was refused.
    pub fn lift(&mut self, content: ContentHash, now: Time) -> bool {
        let Some(record) = self.records.get_mut(&content).filter(|record| record.refused.is_some()) else {
            return false;
        };
        clear_and_report(record, Clearance { at: now, reason: ClearReason::AllowedByOperator }, now);
        self.update_explained();
        true
    }

    /// Note that the store says that a request is refused, for so long by now; returns whether that is new.
    pub fn apply_stored_refusal(
        &mut self,
        content: ContentHash,
        crashes: u32,
        age: Span,
        left: Span,
        now: Time,
    ) -> bool {
        let record = self.record_mut(content, now);
        let since = now - age;
        // Two daemons may write the same entry; one that comes after an operator removed the other's says nothing new.
        if record.refused.is_some() || record.refusal_is_over(since) {
            return false;
        }
        record.refused =
            Some(Refused { crashes, since, until: now + left, unambiguous: false, known_by: KnownBy::Store });
        record.expires_at = now + RETENTION.max(left);
        self.update_explained();
        true
    }

    /// Note that the store says that a request is suspected.
    pub fn apply_stored_suspicion(&mut self, content: ContentHash, suspicion: &Suspicion, now: Time) {
        if suspicion.time_left == Span(0) {
            return;
        }
        let record = self.record_mut(content, now);
        for (replica, age) in &suspicion.crashes {
            if record.add_crash(Crash { replica: *replica, at: now - *age, precise: false }) {
                record.expires_at = record.expires_at.max(now + suspicion.time_left.min(RETENTION));
            }
        }
    }

    /// How to treat a request, for one of so many daemons that hears others or not.
    pub fn verdict(&mut self, content: ContentHash, daemons: usize, cut_off: bool, now: Time) -> Verdict {
        let Some(record) = self.records.get(&content) else {
            return Verdict::Clear;
        };
        if record.refused.is_none() && self.evidence(record) >= CRASHES_TO_REFUSE {
            let settled_at = record.last_crash() + REPORT_DELAY + Span(REPORT_DELAY_PER_DAEMON.0 * daemons as u64);
            if !settled_at.is_past(now) {
                return Verdict::Pending(settled_at);
            }
            self.refuse_culprits(now);
        }
        let Some(record) = self.records.get(&content) else {
            return Verdict::Clear;
        };
        if let Some(refused) = record.refused {
            return Verdict::Refused(refused);
        }
        let crashes = self.evidence(record);
        let not_now =
            Refused { crashes: crashes as u32, since: now, until: now, unambiguous: false, known_by: KnownBy::Own };
        if cut_off && crashes >= CRASHES_TO_REFUSE_CUT_OFF {
            return Verdict::Refused(not_now);
        }
        if crashes >= CRASHES_TO_REFUSE && !record.trial_until.is_past(now) {
            return Verdict::Refused(not_now);
        }
        if crashes < CRASHES_TO_ISOLATE {
            return Verdict::Clear;
        }
        // From here on each replica that it reaches counts.
        let whole = crashes >= CRASHES_TO_REFUSE || record.expired_refusals > 0;
        Verdict::Isolated(Apart { content, whole })
    }

    /// Note that a run begins that tells whether a request is to blame.
    pub fn begin_trial(&mut self, content: ContentHash, now: Time) {
        if let Some(record) = self.records.get_mut(&content) {
            record.trial_until = now + TRIAL_TIMEOUT;
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
        let suspected = self.records.iter().filter(|(_, record)| {
            record.refused.is_none() && self.unexplained_crashes(record).count() >= CRASHES_TO_ISOLATE
        });
        suspected.map(move |(content, record)| {
            let crashes = record.crashes.iter().map(|crash| (crash.replica, now.since(crash.at)));
            (
                *content,
                Suspicion {
                    crashes: crashes.collect(),
                    time_left: record.expires_at.since(now),
                    observed_here: record.observed_here,
                },
            )
        })
    }

    /// Forget what is old; returns the requests that are no longer refused.
    pub fn expire(&mut self, now: Time) -> Vec<ContentHash> {
        let mut lapsed = Vec::new();
        for (content, record) in &mut self.records {
            if record.refused.is_some_and(|refused| refused.until.is_past(now)) {
                lapsed.push(*content);
                record.refused = None;
                // One more end is enough to refuse it again.
                record.crashes.truncate(CRASHES_TO_REFUSE - 1);
                record.expired_refusals += 1;
                record.refusal_expired_at = now;
                record.expires_at = now + RETENTION;
            }
        }
        self.records.retain(|_, record| !record.expires_at.is_past(now));
        self.update_explained();
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
    fn refuse_culprits(&mut self, now: Time) {
        while let Some((crashes, content, grounds)) = self.next_to_refuse() {
            if let Some(record) = self.records.get_mut(&content) {
                let known_by = if record.observed_here { KnownBy::Own } else { KnownBy::Told };
                let until = now + grounds.refusal_period(record.expired_refusals);
                let unambiguous = grounds != Grounds::Ambiguous;
                record.refused = Some(Refused { crashes: crashes as u32, since: now, until, unambiguous, known_by });
                record.expires_at = until + RETENTION;
                record.schedule_notes(now);
            }
            self.update_explained();
        }
    }

    /// The request with the most ends of those that are to be refused and are not yet.
    fn next_to_refuse(&self) -> Option<(usize, ContentHash, Grounds)> {
        let candidates = self.records.iter().filter(|(_, record)| record.refused.is_none());
        let blamed = candidates.filter_map(|(content, record)| {
            let evidence = self.evidence(record);
            Some((evidence, *content, self.grounds_to_refuse(*content, record, evidence)?))
        });
        blamed.max_by_key(|(crashes, content, _)| (*crashes, *content))
    }

    /// On what grounds a request is refused, if it is.
    fn grounds_to_refuse(&self, content: ContentHash, record: &Record, evidence: usize) -> Option<Grounds> {
        if evidence < CRASHES_TO_REFUSE {
            return None;
        }
        let crashes: &[Crash] = &self.unexplained_crashes(record).collect::<Vec<_>>();
        let others = self.coinciding_crashes(crashes);
        let suspects = self.suspects(content);
        let is_explained = |crash: &Crash| suspects.iter().any(|other| other.has_crash(crash));
        let unexplained = others.iter().filter(|crash| !is_explained(crash)).count();
        let is_covered = crashes.iter().all(is_explained);
        let ambiguous =
            is_covered || self.is_covered_by_one(content, crashes) || unexplained * CRASHES_PER_UNEXPLAINED >= evidence;
        match (ambiguous, others.is_empty()) {
            (false, true) => Some(Grounds::NoOtherCrashes),
            (false, false) => Some(Grounds::OthersExplained),
            (true, _) if evidence >= CRASHES_TO_REFUSE_AMBIGUOUS => Some(Grounds::Ambiguous),
            (true, _) => None,
        }
    }

    /// Whether another request was at all the replicas that ended under this one.
    fn is_covered_by_one(&self, content: ContentHash, crashes: &[Crash]) -> bool {
        self.others(content).any(|other| crashes.iter().all(|crash| other.has_crash(crash)))
    }

    /// Other replicas that ended while these did, as far as no refused request explains that.
    fn coinciding_crashes(&self, crashes: &[Crash]) -> Vec<Crash> {
        let coincides = |crash: &Crash| crashes.iter().any(|own| own.is_within(COINCIDENCE_WINDOW, crash));
        let mut others: Vec<Crash> = Vec::new();
        for crash in self.records.values().flat_map(|record| self.unexplained_crashes(record)).filter(coincides) {
            if !crashes.iter().chain(&others).any(|known| known.is_same(&crash)) {
                others.push(crash);
            }
        }
        others
    }

    /// Others that were at two ends at least, and so explain these.
    fn suspects(&self, content: ContentHash) -> Vec<&Record> {
        self.others(content).filter(|other| self.unexplained_crashes(other).count() >= CRASHES_TO_ISOLATE).collect()
    }

    /// All others that are not refused.
    fn others(&self, content: ContentHash) -> impl Iterator<Item = &Record> {
        let others = self.records.iter().filter(move |(other, record)| **other != content && record.refused.is_none());
        others.map(|(_, record)| record)
    }

    /// A request's ends that none explains which is surely to blame.
    fn unexplained_crashes(&self, record: &Record) -> impl Iterator<Item = Crash> {
        record.unexplained_crashes(&self.explained_crashes)
    }

    /// How many ends count against a request.
    fn evidence(&self, record: &Record) -> usize {
        let unexplained = self.unexplained_crashes(record).count();
        unexplained + (record.crash_count() - unexplained) / EXPLAINED_CRASH_DIVISOR
    }

    fn update_explained(&mut self) {
        self.explained_crashes.clear();
        let unambiguous = |record: &&Record| record.refused.is_some_and(|refused| refused.unambiguous);
        self.explained_crashes.extend(self.records.values().filter(unambiguous).flat_map(|record| &record.crashes));
    }

    fn record_mut(&mut self, content: ContentHash, now: Time) -> &mut Record {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&content) {
            self.evict_least_relevant();
        }
        self.records.entry(content).or_insert_with(|| Record::new(now))
    }

    /// Forget the request that has the fewest ends, and among those the oldest.
    fn evict_least_relevant(&mut self) {
        let least = self.records.iter().min_by_key(|(_, r)| (r.refused.is_some(), r.crash_count(), r.last_crash()));
        if let Some(content) = least.map(|(content, _)| *content) {
            self.records.remove(&content);
        }
    }
}

/// Note what speaks for a request, and tell it.
fn clear_and_report(record: &mut Record, clearance: Clearance, now: Time) {
    let retention = if record.refused.is_some() { RETENTION } else { CLEARANCE_RETENTION };
    record.clear(clearance);
    record.expires_at = now + retention;
    record.schedule_notes(now);
}

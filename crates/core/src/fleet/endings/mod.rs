//! Detection of requests that crash the replicas that run them.
//!
//! A request may crash each replica that begins to run it, and its caller may retry at any daemon. Daemons therefore
//! report to each other which requests a replica was running when it crashed ([`notes`]). At first all of these
//! are equally suspect, though most merely ran beside the one at fault. These rules distinguish them:
//!
//! - A complete answer clears a request on all daemons, and crashes shortly after the answer do not count either:
//!   popular look-ups often run on several replicas that crash together.
//! - After two crashes, requests are isolated from each other: each goes to a replica chosen by its content hash, so
//!   that two that ran together are not lost together again.
//! - After three crashes a request is refused, unless the case is ambiguous. It is ambiguous if other requests
//!   explain the crashes as well: one that ran on all of these replicas, or several with at least two crashes each.
//!   It is also ambiguous if other replicas crashed at about the same time without an explanation, as when a rack
//!   fails. An ambiguous request runs again, one run at a time at each daemon (a trial), and is refused after five
//!   crashes.
//! - The crashes of a request that was refused unambiguously count little against others.
//!
//! Parts of prompts are suspected beside requests ([`PartTracker`]): whatever crashes replicas may be in requests that
//! differ in everything else. Crashes of a refused part count little against requests, and a request whose crashes a
//! suspected part explains is an ambiguous case.
//!
//! A crash is any end of a replica that was running requests, whatever the cause. Records and refusals expire
//! (`RETENTION`, `SHORT_REFUSAL`), since the replica's next version may survive the request.

use std::collections::HashMap;

pub use crate::fleet::endings::{
    notes::{Recipients, RefusedNote, RequestNote},
    part_notes::PartNote,
    parts::{ClearedBy, PartChange, PartTracker, PartTreatment},
    record::{ClearReason, KnownBy, Refused},
};
use crate::{
    content::ContentHash,
    fleet::{
        endings::{
            answered::RecentAnswers,
            record::{Clearance, Crash, Record},
        },
        plan::Isolation,
    },
    time::{Span, Time},
};

mod answered;
mod answered_parts;
pub mod notes;
mod part_notes;
mod part_record;
mod parts;
mod record;

/// Crashes after which a request is refused unless the case is ambiguous. One crash is chance, and two occur if
/// the second attempt of a request meets a replica that fails too.
const CRASHES_TO_REFUSE: usize = 3;
/// Number of explained crashes that together count as one. They are not ignored, because the request that explains
/// them may have been refused wrongly and hide this one.
const EXPLAINED_CRASH_DIVISOR: usize = 3;
/// Crashes after which a request is refused in an ambiguous case too: its trials have crashed replicas as well. With
/// four, one in fourteen of the innocent requests that had lost three engines was refused, with five one in seventy,
/// on five full engines with callers that retry at once.
const CRASHES_TO_REFUSE_AMBIGUOUS: usize = 5;
/// Crashes after which a daemon that is cut off from all others refuses a request: it knows only part of the crashes.
const CRASHES_TO_REFUSE_CUT_OFF: usize = 2;
/// Crashes after which a request is isolated from other suspects.
const CRASHES_TO_ISOLATE: usize = 2;
/// Time for which a record is kept after the last report of it, and for which a request is refused.
///
/// It is longer than callers keep retrying on their own. An operator can lift a wrong refusal before it expires.
pub const RETENTION: Span = Span::millis(600_000);
/// Period of a first refusal if other replicas crashed at about the same time, so that the request may merely have run
/// beside the one at fault. It lasts only as long as a caller may believe that it merely received no answer.
const SHORT_REFUSAL: Span = Span::millis(60_000);
/// Maximum number of times that the refusal period doubles when a request is refused again.
const MAX_DOUBLINGS: u32 = 6;
/// Time for which the clearance of a request is kept, so that older reports do not count. If the request was refused,
/// its clearance is kept for [`RETENTION`]: a daemon that was cut off may still report the refusal.
const CLEARANCE_RETENTION: Span = Span::millis(60_000);
/// Time in which the reports of other daemons about a crash arrive; [`REPORT_DELAY_PER_DAEMON`] is added for each
/// daemon.
const REPORT_DELAY: Span = Span::millis(60);
/// Addition to [`REPORT_DELAY`] for each daemon: reports reach other halls later than hall peers.
const REPORT_DELAY_PER_DAEMON: Span = Span::millis(1);
/// Time after which a trial counts as over if its end was not recorded. A request that crashes replicas does so within
/// a fifth of a second.
const TRIAL_TIMEOUT: Span = Span::millis(2_000);
/// A case is ambiguous if other replicas crashed at about the same time without an explanation, at least one for every
/// this many crashes of the request.
const CRASHES_PER_UNEXPLAINED: usize = 3;
/// Time before and after each crash of a request in which other crashes count as related to it.
const COINCIDENCE_WINDOW: Span = Span::millis(1_000);
/// Maximum number of records, of some 200 bytes each: the requests that a hundred full engines have at once.
const MAX_RECORDS: usize = 4_096;

/// How to treat a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Treatment {
    /// Like any other request.
    Clear,
    /// Replicas crashed during it: it is isolated from other suspects.
    Isolated(Isolation),
    /// Other daemons' reports of the last crash may still arrive; ask again at this time.
    Pending(Time),
    /// It may be at fault, and a run that shows whether it is has not ended; ask again later.
    OnTrial,
    /// It must not be sent to any replica.
    Refused(Refused),
}

/// Why a request is suspected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspicion {
    /// Replicas that crashed during it, by `start_id`, and the time since each crash.
    pub crashes: Vec<(u32, Span)>,
    /// Time for which the suspicion still counts.
    pub time_left: Span,
    /// Whether this daemon itself lost the request in a crash.
    pub observed_here: bool,
}

/// Grounds for the refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Grounds {
    /// No other replica crashed at about the same time.
    NoOtherCrashes,
    /// Other replicas crashed as well, and other requests explain that.
    OthersExplained,
    /// Other requests may be at fault, but this one crashed a replica in each of its runs since the case became
    /// ambiguous.
    Ambiguous,
}

impl Grounds {
    /// Period of a refusal after `expired_refusals` earlier ones.
    fn refusal_period(self, expired_refusals: u32) -> Span {
        match (expired_refusals, self) {
            (0, Self::NoOtherCrashes) => RETENTION,
            (0, _) => SHORT_REFUSAL,
            (_, _) => Span(RETENTION.0 << (expired_refusals - 1).min(MAX_DOUBLINGS)),
        }
    }
}

/// What this daemon knows about requests during which replicas crashed.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    records: HashMap<ContentHash, Record>,
    /// Crashes of the requests that were refused unambiguously.
    explained_crashes: Vec<Crash>,
    answers: RecentAnswers,
    /// What is known about the parts of prompts.
    pub parts: PartTracker,
    /// When unchanged notes are next sent, by kind of recipients.
    resend_at: [Time; 2],
}

impl CrashTracker {
    /// Records that a replica crashed while it was running a request; returns how many crashes of the request no
    /// unambiguously refused request explains.
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

    /// Records that a replica answered a request completely, which clears the request.
    pub fn record_answer(&mut self, content: ContentHash, now: Time) {
        self.answers.record(content, now);
        if let Some(record) = self.records.get_mut(&content)
            && (record.crash_count() > 0 || record.refused.is_some())
        {
            clear_and_report(record, Clearance { at: now, reason: ClearReason::Answered }, now);
            self.update_explained();
        }
    }

    /// Whether replicas crashed during the request since it was last cleared.
    #[must_use]
    pub fn is_suspected(&self, content: ContentHash) -> bool {
        self.records.get(&content).is_some_and(|record| record.crash_count() > 0)
    }

    /// Lifts the refusal of a request; returns whether it was refused.
    pub fn lift(&mut self, content: ContentHash, now: Time) -> bool {
        let Some(record) = self.records.get_mut(&content).filter(|record| record.refused.is_some()) else {
            return false;
        };
        clear_and_report(record, Clearance { at: now, reason: ClearReason::AllowedByOperator }, now);
        self.update_explained();
        true
    }

    /// Applies a refusal from the store that was decided `age` ago and holds for `time_left` more; returns whether it
    /// is new.
    pub fn apply_stored_refusal(
        &mut self,
        content: ContentHash,
        crashes: u32,
        age: Span,
        time_left: Span,
        now: Time,
    ) -> bool {
        let record = self.record_mut(content, now);
        let since = now - age;
        // Two daemons may write the same entry. If an operator removes one, the other may arrive later and must not
        // count.
        if record.refused.is_some() || record.refusal_is_over(since) {
            return false;
        }
        record.refused =
            Some(Refused { crashes, since, until: now + time_left, unambiguous: false, known_by: KnownBy::Store });
        record.expires_at = now + RETENTION.max(time_left);
        self.update_explained();
        true
    }

    /// Applies a suspicion from the store.
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

    /// Decides how to treat a request in a deployment of `daemons` daemons; `cut_off` tells whether this one receives no
    /// reports from its peers.
    pub fn treatment(&mut self, content: ContentHash, daemons: usize, cut_off: bool, now: Time) -> Treatment {
        let Some(record) = self.records.get(&content) else {
            return Treatment::Clear;
        };
        if record.refused.is_none() && self.evidence(record) >= CRASHES_TO_REFUSE {
            let settled_at = record.last_crash() + REPORT_DELAY + Span(REPORT_DELAY_PER_DAEMON.0 * daemons as u64);
            if !settled_at.is_past(now) {
                return Treatment::Pending(settled_at);
            }
            self.refuse_culprits(now);
        }
        let Some(record) = self.records.get(&content) else {
            return Treatment::Clear;
        };
        if let Some(refused) = record.refused {
            return Treatment::Refused(refused);
        }
        let evidence = self.evidence(record);
        let temporary =
            Refused { crashes: evidence as u32, since: now, until: now, unambiguous: false, known_by: KnownBy::Own };
        if cut_off && evidence >= CRASHES_TO_REFUSE_CUT_OFF {
            return Treatment::Refused(temporary);
        }
        if evidence >= CRASHES_TO_REFUSE && !record.trial_until.is_past(now) {
            return Treatment::OnTrial;
        }
        if evidence < CRASHES_TO_ISOLATE {
            return Treatment::Clear;
        }
        // Each replica that the request reaches may crash. From the third crash on, or after an expired refusal, it
        // therefore reaches only one.
        let single_replica = evidence >= CRASHES_TO_REFUSE || record.expired_refusals > 0;
        Treatment::Isolated(Isolation { content, single_replica })
    }

    /// Records the start of a trial: a run that shows whether a request is at fault.
    pub fn begin_trial(&mut self, content: ContentHash, now: Time) {
        if let Some(record) = self.records.get_mut(&content) {
            record.trial_until = now + TRIAL_TIMEOUT;
        }
    }

    /// Records the end of a trial, whatever its result.
    pub fn end_trial(&mut self, content: ContentHash) {
        if let Some(record) = self.records.get_mut(&content) {
            record.trial_until = Time(0);
        }
    }

    /// Whether a request is refused by a decision already made.
    #[must_use]
    pub fn is_refused(&self, content: ContentHash) -> bool {
        self.records.get(&content).is_some_and(|record| record.refused.is_some())
    }

    /// The refused requests.
    pub fn refused(&self) -> impl Iterator<Item = (ContentHash, Refused)> {
        self.records.iter().filter_map(|(content, record)| Some((*content, record.refused?)))
    }

    /// The requests that are suspected and not refused.
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

    /// Removes expired refusals and records; returns the requests whose refusal expired.
    pub fn expire(&mut self, now: Time) -> Vec<ContentHash> {
        let mut expired = Vec::new();
        for (content, record) in &mut self.records {
            if record.refused.is_some_and(|refused| refused.until.is_past(now)) {
                expired.push(*content);
                record.refused = None;
                // One more crash is enough to refuse it again.
                record.crashes.truncate(CRASHES_TO_REFUSE - 1);
                record.expired_refusals += 1;
                record.refusal_expired_at = now;
                record.expires_at = now + RETENTION;
            }
        }
        self.records.retain(|_, record| !record.expires_at.is_past(now));
        self.update_explained();
        expired
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Refuses all requests with enough evidence against them, those with the most first.
    fn refuse_culprits(&mut self, now: Time) {
        while let Some((evidence, content, grounds)) = self.next_to_refuse() {
            if let Some(record) = self.records.get_mut(&content) {
                let known_by = if record.observed_here { KnownBy::Own } else { KnownBy::PeerReports };
                let until = now + grounds.refusal_period(record.expired_refusals);
                let unambiguous = grounds != Grounds::Ambiguous;
                record.refused = Some(Refused { crashes: evidence as u32, since: now, until, unambiguous, known_by });
                record.expires_at = until + RETENTION;
                record.schedule_notes(now);
            }
            self.update_explained();
        }
    }

    /// The request with the most evidence against it among those to refuse.
    fn next_to_refuse(&self) -> Option<(usize, ContentHash, Grounds)> {
        let candidates = self.records.iter().filter(|(_, record)| record.refused.is_none());
        let to_refuse = candidates.filter_map(|(content, record)| {
            let evidence = self.evidence(record);
            Some((evidence, *content, self.grounds_to_refuse(*content, record, evidence)?))
        });
        to_refuse.max_by_key(|(evidence, content, _)| (*evidence, *content))
    }

    /// Grounds to refuse a request, if there are any.
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
        let ambiguous = self.parts.covers(crashes)
            || is_covered
            || self.is_covered_by_one(content, crashes)
            || unexplained * CRASHES_PER_UNEXPLAINED >= evidence;
        match (ambiguous, others.is_empty()) {
            (false, true) => Some(Grounds::NoOtherCrashes),
            (false, false) => Some(Grounds::OthersExplained),
            (true, _) if evidence >= CRASHES_TO_REFUSE_AMBIGUOUS => Some(Grounds::Ambiguous),
            (true, _) => None,
        }
    }

    /// Whether a single other request ran on all the replicas that crashed during this one.
    fn is_covered_by_one(&self, content: ContentHash, crashes: &[Crash]) -> bool {
        self.others(content).any(|other| crashes.iter().all(|crash| other.has_crash(crash)))
    }

    /// Crashes of other replicas at about the same time that no unambiguously refused request explains.
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

    /// Other requests with at least two unexplained crashes, which may explain those of this one.
    fn suspects(&self, content: ContentHash) -> Vec<&Record> {
        self.others(content).filter(|other| self.unexplained_crashes(other).count() >= CRASHES_TO_ISOLATE).collect()
    }

    /// All other requests that are not refused.
    fn others(&self, content: ContentHash) -> impl Iterator<Item = &Record> {
        let others = self.records.iter().filter(move |(other, record)| **other != content && record.refused.is_none());
        others.map(|(_, record)| record)
    }

    /// Crashes of a request that no unambiguously refused request and no refused part explains.
    fn unexplained_crashes(&self, record: &Record) -> impl Iterator<Item = Crash> {
        let is_by_part = |crash: &Crash| self.parts.explained_crashes().iter().any(|other| other.is_same(crash));
        record.unexplained_crashes(&self.explained_crashes).filter(move |crash| !is_by_part(crash))
    }

    /// Number of crashes that count against a request.
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

    /// Removes the record with the fewest crashes, of these the oldest; a refused request only if all are refused.
    fn evict_least_relevant(&mut self) {
        let least = self.records.iter().min_by_key(|(_, r)| (r.refused.is_some(), r.crash_count(), r.last_crash()));
        if let Some(content) = least.map(|(content, _)| *content) {
            self.records.remove(&content);
        }
    }
}

/// Clears a request, and schedules reports of it to other daemons.
fn clear_and_report(record: &mut Record, clearance: Clearance, now: Time) {
    let retention = if record.refused.is_some() { RETENTION } else { CLEARANCE_RETENTION };
    record.clear(clearance);
    record.expires_at = now + retention;
    record.schedule_notes(now);
}

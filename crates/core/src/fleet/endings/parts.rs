//! Detection of prompt parts that crash the replicas which begin to write an answer on them.
//!
//! Requests with such a part need not be alike in anything else, so no single request is ever seen twice. Each crash
//! therefore accuses all shared parts of the requests that the replica was running. These rules find the one at fault:
//!
//! - Whatever began to write an answer and went on clears its parts on all daemons. Parts that many sound requests
//!   share are cleared many times a second.
//! - A part counts as suspected after two crashes under different requests; if a single request crashed them all, that
//!   request is at fault. Requests with a suspected part run one at a time (a trial), the others are refused as not run.
//! - After three crashes under three requests a part is refused, for a minute at first, unless the case is ambiguous: other parts with two crashes or more, one or
//!   several, were in all of these crashes, or all but one. An ambiguous part is refused after five crashes, two of them since it became ambiguous.
//!   Until then, smaller sets of crashes are decided first: a part that many requests share is in the crashes of
//!   several others, which explain its crashes once they are refused.
//! - Crashes of a refused part do not count against other parts.

use std::{cmp::Reverse, collections::HashMap};

use crate::{
    content::ContentHash,
    fleet::endings::{
        CRASHES_TO_REFUSE, CRASHES_TO_REFUSE_AMBIGUOUS, Grounds, REPORT_DELAY, REPORT_DELAY_PER_DAEMON, RETENTION,
        Suspicion, TRIAL_TIMEOUT,
        answered_parts::AnsweredParts,
        part_record::{ANSWER_VALIDITY, CRASHES_TO_SUSPECT, PartRecord, REQUESTS_TO_SUSPECT, Trial},
        record::{Crash, KnownBy, Refused},
    },
    prompt::PartId,
    time::{Span, Time},
};

/// Requests that must have crashed replicas for their common part to be refused. A sound part is often in two of them
/// by chance.
const REQUESTS_TO_REFUSE: usize = 3;
/// Crashes since a case became ambiguous after which the part is refused. One may be chance.
const TRIAL_CRASHES_TO_REFUSE: usize = 2;
/// Crashes of a part which no other suspected part has in common with it and which still leave the case ambiguous, since
/// a report of one may be lost.
const MISSING_CRASHES: usize = 1;
/// Time for which a cleared record is kept, so that older reports do not count.
const CLEARED_RETENTION: Span = Span::millis(10_000);
/// Maximum number of records, of some 500 bytes each.
const MAX_RECORDS: usize = 4_096;
/// Maximum number of suspected parts that are compared with each other, those with the most crashes. When a rack fails,
/// hundreds of parts may be suspected for a moment.
const MAX_COMPARED: usize = 64;
/// Maximum number of changes kept for the log.
const MAX_CHANGES: usize = 64;

/// How to treat a request, given the parts of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartTreatment {
    /// Like any other request.
    Clear,
    /// It may run as a trial of its suspected parts.
    Trial,
    /// A part is suspected, and another request tries it out or crashes are still being reported.
    Suspected(PartId),
    /// A part crashes replicas.
    Refused(PartId, Refused),
}

/// A change of what is known about a part, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartChange {
    /// It became suspected.
    Suspected {
        /// The part.
        part: PartId,
        /// Replicas that crashed, by `start_id`.
        replicas: Vec<u32>,
        /// Number of requests that were running then, up to a maximum.
        requests: usize,
    },
    /// It is no longer suspected or refused.
    Cleared {
        /// The part.
        part: PartId,
        /// What cleared it.
        by: ClearedBy,
    },
}

/// What cleared a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClearedBy {
    /// An answer at this daemon.
    Answer,
    /// An answer at another daemon.
    PeerAnswer,
    /// An operator lifted its refusal.
    Operator,
}

impl ClearedBy {
    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::PeerAnswer => "answer of a peer",
            Self::Operator => "operator",
        }
    }
}

/// What this daemon knows about parts during whose requests replicas crashed.
#[derive(Clone, Debug, Default)]
pub struct PartTracker {
    pub(super) records: HashMap<PartId, PartRecord>,
    answers: AnsweredParts,
    /// Crashes of the refused parts.
    explained_crashes: Vec<Crash>,
    /// When unchanged notes are next sent, by kind of recipients.
    pub(super) resend_at: [Time; 2],
    changes: Vec<PartChange>,
}

impl PartTracker {
    /// Records that a replica crashed while it was running a request with these parts.
    pub fn record_crash(&mut self, parts: &[PartId], content: ContentHash, start_id: u32, at: Time) {
        let crash = Crash { replica: start_id, at, precise: true };
        for part in parts {
            let answered_at = self.answers.last_answer(*part);
            if answered_at.is_some_and(|answered| answered + ANSWER_VALIDITY >= at) {
                continue;
            }
            let record = self.record_mut(*part, at);
            record.answered_at = record.answered_at.max(answered_at.unwrap_or_default());
            record.observed_here = true;
            if record.counts(at) {
                record.add_request(short_hash(content));
            }
            if record.add_crash(crash) {
                record.expires_at = record.expires_at.max(at + RETENTION);
                record.schedule_notes(at);
            }
            self.log_if_suspected(*part);
        }
        self.update_explained();
    }

    /// Records that a replica has written an answer on these parts and went on; this clears them.
    pub fn record_answer(&mut self, parts: &[PartId], now: Time) {
        for part in parts {
            self.answers.record(*part, now);
            let is_accused = self.records.get(part).is_some_and(PartRecord::is_accused);
            if is_accused {
                self.clear(*part, now, ClearedBy::Answer, now);
                if let Some(record) = self.records.get_mut(part) {
                    record.schedule_notes(now);
                }
            }
        }
    }

    /// Applies an answer, or the permission of an operator, at the time `at`.
    pub(super) fn clear(&mut self, part: PartId, at: Time, by: ClearedBy, now: Time) {
        let Some(record) = self.records.get_mut(&part) else {
            return;
        };
        match by {
            ClearedBy::Answer | ClearedBy::PeerAnswer => record.answered_at = record.answered_at.max(at),
            ClearedBy::Operator => record.lifted_at = record.lifted_at.max(at),
        }
        let was_refused = record.refused.is_some();
        record.apply_clearance();
        if record.crashes.is_empty() && record.refused.is_none() {
            record.expires_at = now + if was_refused { RETENTION } else { CLEARED_RETENTION };
            if std::mem::take(&mut record.is_logged) || was_refused {
                self.log(PartChange::Cleared { part, by });
            }
        }
        self.update_explained();
    }

    /// Decides how to treat a request with these parts, in a deployment of `daemons` daemons.
    pub fn treatment(&mut self, parts: &[PartId], daemons: usize, now: Time) -> PartTreatment {
        if self.records.is_empty() {
            return PartTreatment::Clear;
        }
        if parts.iter().any(|part| self.may_be_refused(*part)) {
            self.refuse_culprits(daemons, now);
        }
        let mut treatment = PartTreatment::Clear;
        for part in parts {
            let Some(record) = self.records.get(part) else { continue };
            if let Some(refused) = record.refused {
                return PartTreatment::Refused(*part, refused);
            }
            if !self.is_suspect(record) {
                continue;
            }
            let is_on_trial = record.trial.is_some_and(|trial| !trial.until.is_past(now));
            let is_unsettled = self.evidence(record) >= CRASHES_TO_REFUSE && !is_settled(record, daemons, now);
            if is_on_trial || is_unsettled {
                treatment = PartTreatment::Suspected(*part);
            } else if treatment == PartTreatment::Clear {
                treatment = PartTreatment::Trial;
            }
        }
        treatment
    }

    /// Records the start of a trial of the suspected ones of these parts.
    pub fn begin_trial(&mut self, parts: &[PartId], content: ContentHash, now: Time) {
        let trial = Trial { request: short_hash(content), until: now + TRIAL_TIMEOUT, own: true };
        for part in parts {
            if self.records.get(part).is_some_and(|record| self.is_suspect(record))
                && let Some(record) = self.records.get_mut(part)
            {
                record.trial = Some(trial);
                record.schedule_notes(now);
            }
        }
    }

    /// Records the end of a trial, whatever its result.
    pub fn end_trial(&mut self, parts: &[PartId], content: ContentHash, now: Time) {
        for part in parts {
            if let Some(record) = self.records.get_mut(part)
                && let Some(trial) = &mut record.trial
                && trial.own
                && trial.request == short_hash(content)
                && !trial.until.is_past(now)
            {
                trial.until = now;
                record.schedule_notes(now);
            }
        }
    }

    /// Whether one of these parts is suspected or refused.
    #[must_use]
    pub fn is_accused(&self, parts: &[PartId]) -> bool {
        let mut records = parts.iter().filter_map(|part| self.records.get(part));
        records.any(|record| record.refused.is_some() || self.is_suspect(record))
    }

    /// Whether a suspected part was in all of these crashes.
    pub(super) fn covers(&self, crashes: &[Crash]) -> bool {
        let mut accused = self.records.values().filter(|record| record.refused.is_some() || self.is_suspect(record));
        accused.any(|record| crashes.iter().all(|crash| record.has_crash(crash)))
    }

    /// Crashes of the refused parts.
    pub(super) fn explained_crashes(&self) -> &[Crash] {
        &self.explained_crashes
    }

    /// Lifts the refusal of a part; returns whether it was refused.
    pub fn lift(&mut self, part: PartId, now: Time) -> bool {
        if self.records.get(&part).is_none_or(|record| record.refused.is_none()) {
            return false;
        }
        self.clear(part, now, ClearedBy::Operator, now);
        if let Some(record) = self.records.get_mut(&part) {
            record.schedule_notes(now);
        }
        true
    }

    /// Applies a refusal from the store that was decided `age` ago and holds for `time_left` more; returns whether it
    /// is new.
    pub fn apply_stored_refusal(&mut self, part: PartId, crashes: u32, age: Span, time_left: Span, now: Time) -> bool {
        let since = now - age;
        let record = self.record_mut(part, now);
        if record.refused.is_some() || record.refusal_is_over(since) {
            return false;
        }
        let until = now + time_left;
        record.refused = Some(Refused { crashes, since, until, unambiguous: false, known_by: KnownBy::Store });
        record.expires_at = until + RETENTION;
        self.update_explained();
        true
    }

    /// Applies a suspicion from the store. Each crash is taken for that of another request, since it was suspected.
    pub fn apply_stored_suspicion(&mut self, part: PartId, suspicion: &Suspicion, now: Time) {
        if suspicion.time_left == Span(0) {
            return;
        }
        let record = self.record_mut(part, now);
        for (replica, age) in &suspicion.crashes {
            if record.add_crash(Crash { replica: *replica, at: now - *age, precise: false }) {
                record.add_request(*replica);
                record.expires_at = record.expires_at.max(now + suspicion.time_left.min(RETENTION));
            }
        }
    }

    /// The refused parts.
    pub fn refused(&self) -> impl Iterator<Item = (PartId, Refused)> {
        self.records.iter().filter_map(|(part, record)| Some((*part, record.refused?)))
    }

    /// The parts that are suspected and not refused.
    pub fn suspected(&self, now: Time) -> impl Iterator<Item = (PartId, Suspicion)> {
        let suspected = self.records.iter().filter(|(_, record)| record.refused.is_none() && self.is_suspect(record));
        suspected.map(move |(part, record)| {
            let crashes = record.crashes.iter().map(|crash| (crash.replica, now.since(crash.at)));
            (
                *part,
                Suspicion {
                    crashes: crashes.collect(),
                    time_left: record.expires_at.since(now),
                    observed_here: record.observed_here,
                },
            )
        })
    }

    /// Removes expired refusals and records; returns the parts whose refusal expired.
    pub fn expire(&mut self, now: Time) -> Vec<PartId> {
        let mut expired = Vec::new();
        for (part, record) in &mut self.records {
            if record.refused.is_some_and(|refused| refused.until.is_past(now)) {
                expired.push(*part);
                record.refused = None;
                record.refusal_expired_at = now;
                record.crashes.clear();
                record.expired_refusals += 1;
                record.expires_at = now + RETENTION;
            }
        }
        self.records.retain(|_, record| !record.expires_at.is_past(now));
        self.update_explained();
        expired
    }

    /// Returns the changes since the last call, for the log.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        std::mem::take(&mut self.changes)
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

    /// Time of this daemon's last answer on a part, if it is recent.
    pub(super) fn last_answer(&self, part: PartId) -> Option<Time> {
        self.answers.last_answer(part)
    }

    pub(super) fn record_mut(&mut self, part: PartId, now: Time) -> &mut PartRecord {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&part) {
            self.evict_least_relevant();
        }
        self.records.entry(part).or_insert_with(|| PartRecord::new(now + CLEARED_RETENTION))
    }

    /// Removes the record with the fewest crashes, of these the oldest; a refused part only if all are refused.
    fn evict_least_relevant(&mut self) {
        let rank = |r: &PartRecord| (r.refused.is_some(), r.needs_resending(), r.crashes.len(), r.last_crash());
        let least = self.records.iter().min_by_key(|(part, record)| (rank(record), **part));
        if let Some(part) = least.map(|(part, _)| *part) {
            self.records.remove(&part);
        }
    }

    fn unexplained<'a>(&'a self, record: &'a PartRecord) -> impl Iterator<Item = &'a Crash> {
        let is_explained = |crash: &Crash| self.explained_crashes.iter().any(|other| other.is_same(crash));
        record.crashes.iter().filter(move |crash| !is_explained(crash))
    }

    /// Number of crashes that count against a part.
    fn evidence(&self, record: &PartRecord) -> usize {
        // One more crash is enough to refuse a part again.
        let earlier = if record.expired_refusals > 0 { CRASHES_TO_REFUSE - 1 } else { 0 };
        self.unexplained(record).count() + earlier
    }

    fn is_suspect(&self, record: &PartRecord) -> bool {
        let has_differed = record.requests.len() >= REQUESTS_TO_SUSPECT || record.expired_refusals > 0;
        has_differed && self.evidence(record) >= CRASHES_TO_SUSPECT
    }

    fn may_be_refused(&self, part: PartId) -> bool {
        let record = self.records.get(&part).filter(|record| record.refused.is_none());
        record.is_some_and(|record| self.is_suspect(record) && self.evidence(record) >= CRASHES_TO_REFUSE)
    }

    /// Refuses all parts with enough evidence against them.
    fn refuse_culprits(&mut self, daemons: usize, now: Time) {
        while let Some((part, grounds)) = self.next_to_refuse(daemons, now) {
            if let Some(record) = self.records.get_mut(&part) {
                let known_by = if record.observed_here { KnownBy::Own } else { KnownBy::PeerReports };
                let until = now + grounds.refusal_period(record.expired_refusals);
                let unambiguous = grounds != Grounds::Ambiguous;
                let crashes = record.crashes.len() as u32;
                record.refused = Some(Refused { crashes, since: now, until, unambiguous, known_by });
                record.expires_at = until + RETENTION;
                record.trial = None;
                record.schedule_notes(now);
            }
            self.update_explained();
        }
    }

    /// The next part to refuse: an unambiguous case with the most crashes, or else an ambiguous one that was never
    /// answered, with the fewest.
    fn next_to_refuse(&mut self, daemons: usize, now: Time) -> Option<(PartId, Grounds)> {
        // Also those that only one request accuses so far: the next crash may show that they are at fault.
        let mut suspects: Vec<(PartId, Vec<Crash>)> = self
            .records
            .iter()
            .filter(|(_, record)| record.refused.is_none() && self.evidence(record) >= CRASHES_TO_SUSPECT)
            .map(|(part, record)| (*part, self.unexplained(record).copied().collect()))
            .collect();
        suspects.sort_unstable_by_key(|(part, crashes): &(PartId, Vec<Crash>)| (Reverse(crashes.len()), *part));
        suspects.truncate(MAX_COMPARED);
        let mut clear_case: Option<(usize, PartId)> = None;
        let mut ambiguous_case: Option<(bool, Reverse<usize>, PartId)> = None;
        for (part, crashes) in &suspects {
            let Some(record) = self.records.get_mut(part) else { continue };
            let had_refusal = record.expired_refusals > 0;
            let is_enough = crashes.len() >= CRASHES_TO_REFUSE && record.requests.len() >= REQUESTS_TO_REFUSE;
            if !(is_enough || (had_refusal && !crashes.is_empty())) || !is_settled(record, daemons, now) {
                continue;
            }
            let others = || suspects.iter().filter(|(other, _)| other != part).map(|(_, crashes)| crashes);
            let own_crashes = crashes.iter().filter(|crash| !others().any(|other| has(other, crash)));
            let is_ambiguous = own_crashes.count() <= MISSING_CRASHES;
            if had_refusal || !is_ambiguous {
                clear_case = clear_case.max(Some((crashes.len(), *part)));
                continue;
            }
            let never_answered = record.answered_at == Time(0);
            let since = *record.ambiguous_since.get_or_insert(now);
            let later = crashes.iter().filter(|crash| crash.at >= since).count();
            let smaller =
                || others().filter(|other| other.len() < crashes.len() && other.iter().all(|c| has(crashes, c)));
            let is_explained = crashes.iter().all(|crash| smaller().any(|other| has(other, crash)));
            if crashes.len() >= CRASHES_TO_REFUSE_AMBIGUOUS && later >= TRIAL_CRASHES_TO_REFUSE && !is_explained {
                ambiguous_case = ambiguous_case.max(Some((never_answered, Reverse(crashes.len()), *part)));
            }
        }
        let clear_case = clear_case.map(|(_, part)| (part, Grounds::OthersExplained));
        clear_case.or_else(|| ambiguous_case.map(|(_, _, part)| (part, Grounds::Ambiguous)))
    }

    pub(super) fn update_explained(&mut self) {
        self.explained_crashes.clear();
        let refused = self.records.values().filter(|record| record.refused.is_some());
        self.explained_crashes.extend(refused.flat_map(|record| &record.crashes));
    }

    pub(super) fn log_if_suspected(&mut self, part: PartId) {
        let Some(record) = self.records.get(&part) else { return };
        if record.is_logged || !self.is_suspect(record) {
            return;
        }
        let replicas = record.crashes.iter().map(|crash| crash.replica).collect();
        let change = PartChange::Suspected { part, replicas, requests: record.requests.len() };
        self.log(change);
        if let Some(record) = self.records.get_mut(&part) {
            record.is_logged = true;
        }
    }

    fn log(&mut self, change: PartChange) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.push(change);
        }
    }
}

fn has(crashes: &[Crash], crash: &Crash) -> bool {
    crashes.iter().any(|known| known.is_same(crash))
}

/// Whether the reports of other daemons on the last crash have arrived.
fn is_settled(record: &PartRecord, daemons: usize, now: Time) -> bool {
    let delay = REPORT_DELAY + Span(REPORT_DELAY_PER_DAEMON.0 * daemons as u64);
    (record.last_crash() + delay).is_past(now)
}

fn short_hash(content: ContentHash) -> u32 {
    content.0 as u32
}

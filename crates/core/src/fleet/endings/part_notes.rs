//! Notes in the load reports that daemons send each other, about prompt parts during whose requests replicas crashed.

use serde::{Deserialize, Serialize};

use crate::{
    fleet::endings::{
        RETENTION,
        notes::{RESEND_INTERVAL, RESEND_INTERVAL_PER_DAEMON, Recipients, RefusedNote, ago, millis},
        part_record::{PartRecord, Trial},
        parts::{ClearedBy, PartTracker},
        record::{Crash, KnownBy, Refused, Schedule},
    },
    prompt::PartId,
    time::{Span, Time},
};

/// Maximum number of changed notes in one message, some three kilobytes. The rest is sent with the next message.
const MAX_NOTES: usize = 64;
/// Maximum number of unchanged notes in one message, for daemons that have started since or were cut off.
const MAX_RESENT: usize = 8;

/// What is known about one part. Times are ages and remaining periods in milliseconds, as clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartNote {
    /// The part.
    pub part: PartId,
    /// Replicas that crashed during requests with it, by `start_id`, and the milliseconds since each crash.
    pub crashes: Vec<(u32, u32)>,
    /// Short hashes of these requests.
    pub requests: Vec<u32>,
    /// Milliseconds for which the sender keeps this record; a receiver keeps it no longer.
    pub left_ms: u32,
    /// Milliseconds since the last known answer.
    pub answered_ms: Option<u32>,
    /// Milliseconds since an operator lifted its refusal.
    pub lifted_ms: Option<u32>,
    /// The refusal, if it is refused.
    pub refused: Option<RefusedNote>,
    /// Short hash of the request with which the sender tries it out, and the milliseconds left.
    pub trial: Option<(u32, u32)>,
}

impl Recipients {
    const fn part_schedule(self, record: &PartRecord) -> &Schedule {
        match self {
            Self::HallPeers => &record.to_hall_peers,
            Self::OtherHalls => &record.to_other_halls,
        }
    }

    const fn part_schedule_mut(self, record: &mut PartRecord) -> &mut Schedule {
        match self {
            Self::HallPeers => &mut record.to_hall_peers,
            Self::OtherHalls => &mut record.to_other_halls,
        }
    }
}

impl PartTracker {
    /// Returns the notes to send now, and marks them as sent.
    pub fn due_notes(&mut self, to: Recipients, daemons: usize, now: Time) -> Vec<PartNote> {
        let changed = self.records.iter().filter(|(_, record)| to.part_schedule(record).is_due(now));
        let mut due: Vec<(usize, PartId)> = changed.map(|(part, record)| (record.crashes.len(), *part)).collect();
        due.sort_unstable_by(|a, b| b.cmp(a));
        due.truncate(MAX_NOTES);
        let mut due: Vec<PartId> = due.into_iter().map(|(_, part)| part).collect();
        let resend_at = &mut self.resend_at[to as usize];
        if resend_at.is_past(now) {
            *resend_at = now + RESEND_INTERVAL.max(Span(RESEND_INTERVAL_PER_DAEMON.0 * daemons as u64));
            due.extend(self.due_resends(to));
        }
        let mut notes = Vec::with_capacity(due.len());
        for part in due {
            if let Some(record) = self.records.get_mut(&part) {
                to.part_schedule_mut(record).mark_sent(now);
                notes.push(to_note(part, record, now));
            }
        }
        notes
    }

    /// Includes unchanged notes in the next message to hall peers.
    pub fn resend_now(&mut self, now: Time) {
        self.resend_at[Recipients::HallPeers as usize] = now;
    }

    /// The unchanged records to send again: those sent longest ago, refused parts first.
    fn due_resends(&self, to: Recipients) -> Vec<PartId> {
        let lasting = self.records.iter().filter(|(_, r)| r.needs_resending() && !to.part_schedule(r).is_running());
        let mut lasting: Vec<_> =
            lasting.map(|(part, r)| (r.refused.is_none(), to.part_schedule(r).sent_at(), *part)).collect();
        lasting.sort_unstable();
        lasting.truncate(MAX_RESENT);
        lasting.into_iter().map(|(_, _, part)| part).collect()
    }

    /// Applies the notes of another daemon; `from_hall_peer` tells whether this daemon's hall must relay them to other
    /// halls.
    pub fn apply_notes(&mut self, notes: &[PartNote], from_hall_peer: bool, now: Time) {
        for note in notes {
            self.apply_note(note, from_hall_peer, now);
            self.log_if_suspected(note.part);
        }
        if !notes.is_empty() {
            self.update_explained();
        }
    }

    fn apply_note(&mut self, note: &PartNote, from_hall_peer: bool, now: Time) {
        let own_answer = self.last_answer(note.part);
        let record = self.record_mut(note.part, now);
        let state = |record: &PartRecord| {
            (record.crashes.len(), record.requests.len(), record.answered_at, record.lifted_at, record.refused)
        };
        let before = state(record);
        add_crashes(record, note, now);
        apply_refusal(record, note, now);
        if let Some((request, left_ms)) = note.trial {
            apply_trial(record, request, now + Span::millis(u64::from(left_ms)));
        }
        let unheard = own_answer.filter(|at| *at > record.answered_at && record.would_clear(*at));
        let answered = note.answered_ms.map(|ms| ago(ms, now)).filter(|at| *at > record.answered_at);
        let lifted = note.lifted_ms.map(|ms| ago(ms, now)).filter(|at| *at > record.lifted_at);
        if let Some(at) = answered {
            self.clear(note.part, at, ClearedBy::PeerAnswer, now);
        }
        if let Some(at) = lifted {
            self.clear(note.part, at, ClearedBy::Operator, now);
        }
        if let Some(at) = unheard {
            self.clear(note.part, at, ClearedBy::Answer, now);
        }
        if let Some(record) = self.records.get_mut(&note.part) {
            if unheard.is_some() {
                record.schedule_notes(now);
            } else if before != state(record) && from_hall_peer {
                record.to_other_halls.start(now);
            }
        }
    }
}

fn add_crashes(record: &mut PartRecord, note: &PartNote, now: Time) {
    if note.left_ms == 0 {
        return;
    }
    let crashes = note.crashes.iter().map(|(replica, age_ms)| (*replica, ago(*age_ms, now)));
    for (replica, at) in crashes.filter(|(_, at)| record.counts(*at)).collect::<Vec<_>>() {
        if record.add_crash(Crash { replica, at, precise: true }) {
            record.expires_at = record.expires_at.max(now + Span::millis(u64::from(note.left_ms)).min(RETENTION));
        }
        note.requests.iter().for_each(|request| record.add_request(*request));
    }
}

fn apply_refusal(record: &mut PartRecord, note: &PartNote, now: Time) {
    let Some(reported) = note.refused else { return };
    let since = ago(reported.age_ms, now);
    let is_over = record.refusal_is_over(since);
    if is_over && !record.to_hall_peers.is_running() {
        // The sender was cut off when the end of this refusal was reported.
        record.schedule_notes(now);
    } else if !is_over && record.refused.is_none() {
        let until = now + Span::millis(u64::from(reported.left_ms));
        let (crashes, unambiguous) = (reported.crashes, reported.unambiguous);
        record.refused = Some(Refused { crashes, since, until, unambiguous, known_by: KnownBy::Peer });
        record.expires_at = record.expires_at.max(until + RETENTION);
    }
}

/// Applies the start or the end of a trial at another daemon. A trial of this daemon goes on beside it.
fn apply_trial(record: &mut PartRecord, request: u32, until: Time) {
    match &mut record.trial {
        Some(trial) if trial.own && trial.request != request => trial.until = trial.until.max(until),
        Some(trial) if trial.request == request => trial.until = until,
        trial => *trial = Some(Trial { request, until, own: false }),
    }
}

fn to_note(part: PartId, record: &PartRecord, now: Time) -> PartNote {
    let since = |at: Time| (at != Time(0)).then(|| millis(now.since(at)));
    let crashes = record.crashes.iter().filter(|crash| crash.precise);
    PartNote {
        part,
        crashes: crashes.map(|crash| (crash.replica, millis(now.since(crash.at)))).collect(),
        requests: record.requests.clone(),
        left_ms: millis(record.expires_at.since(now)),
        answered_ms: since(record.answered_at),
        lifted_ms: since(record.lifted_at),
        refused: record.refused.map(|refused| RefusedNote {
            crashes: refused.crashes,
            age_ms: millis(now.since(refused.since)),
            left_ms: millis(refused.until.since(now)),
            unambiguous: refused.unambiguous,
        }),
        trial: record.trial.filter(|trial| trial.own).map(|trial| (trial.request, millis(trial.until.since(now)))),
    }
}

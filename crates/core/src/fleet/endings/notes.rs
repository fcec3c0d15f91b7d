//! What daemons report to each other of requests under which replicas ended.

use serde::{Deserialize, Serialize};

use crate::{
    content::ContentHash,
    fleet::endings::{
        CLEARANCE_RETENTION, CrashTracker, RETENTION, clear_and_report,
        record::{ClearReason, Clearance, Crash, KnownBy, Record, Refused, Schedule},
    },
    time::{Span, Time},
};

/// Notes in one message at most: some two kilobytes. What is not sent goes with the next.
const MAX_NOTES: usize = 64;
/// Notes in one message at most that repeat what did not change, for daemons that started since or were cut off.
const MAX_RESENT: usize = 8;
/// Time between two messages with such notes.
const RESEND_INTERVAL: Span = Span::millis(500);
/// What is added to that for each daemon, so that what one hears does not grow with their number: fifty
/// messages a second.
const RESEND_INTERVAL_PER_DAEMON: Span = Span::millis(20);

/// Two notes that a request was answered whole within this time are of the same answer, told again.
const SAME_ANSWER_WINDOW: Span = Span::millis(1_000);

/// What is known of one request. Ages and times left are in milliseconds, as clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestNote {
    /// The request.
    pub content: ContentHash,
    /// Replicas that ended under it, by the hash of their identifiers, and how long ago.
    #[serde(rename = "ends")]
    pub crashes: Vec<(u32, u32)>,
    /// For how much longer the sender keeps that. Who hears it keeps it no longer, or two daemons would tell each other
    /// for ever what each has just forgotten.
    pub left_ms: u32,
    /// What speaks for it, and since when.
    #[serde(rename = "sound")]
    pub clearance: Option<(ClearReason, u32)>,
    /// That it is refused.
    pub refused: Option<RefusedNote>,
}

/// That a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedNote {
    /// Ends that were known.
    #[serde(rename = "ends")]
    pub crashes: u32,
    /// For how long.
    #[serde(rename = "since_ms")]
    pub age_ms: u32,
    /// For how much longer.
    pub left_ms: u32,
    /// Whether no other request explains these ends as well.
    #[serde(rename = "sure")]
    pub unambiguous: bool,
}

/// Whom a message goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// Those that this daemon tells of its own work.
    HallPeers,
    /// Daemons of other halls.
    OtherHalls,
}

impl Recipients {
    const fn schedule(self, record: &Record) -> &Schedule {
        match self {
            Self::HallPeers => &record.to_hall_peers,
            Self::OtherHalls => &record.to_other_halls,
        }
    }

    const fn schedule_mut(self, record: &mut Record) -> &mut Schedule {
        match self {
            Self::HallPeers => &mut record.to_hall_peers,
            Self::OtherHalls => &mut record.to_other_halls,
        }
    }
}

impl CrashTracker {
    /// What is to be sent now, where there are so many daemons.
    pub fn due_notes(&mut self, to: Recipients, daemons: usize, now: Time) -> Vec<RequestNote> {
        let changed = self.records.iter().filter(|(_, record)| to.schedule(record).is_due(now));
        let mut due: Vec<(usize, ContentHash)> =
            changed.map(|(content, record)| (record.crash_count(), *content)).collect();
        due.sort_unstable_by(|a, b| b.cmp(a));
        due.truncate(MAX_NOTES);
        let resend_at = &mut self.resend_at[to as usize];
        if resend_at.is_past(now) {
            *resend_at = now + RESEND_INTERVAL.max(Span(RESEND_INTERVAL_PER_DAEMON.0 * daemons as u64));
            due.extend(self.due_resends(to));
        }
        let mut notes = Vec::with_capacity(due.len());
        for (_, content) in due {
            if let Some(record) = self.records.get_mut(&content) {
                to.schedule_mut(record).mark_sent(now);
                notes.push(to_note(content, record, now));
            }
        }
        notes
    }

    /// Send hall peers again what they must know: one of them has just started.
    pub fn resend_all(&mut self, now: Time) {
        self.resend_at[Recipients::HallPeers as usize] = now;
    }

    /// Those of the requests that others must know for long which were sent longest ago, the refused before others.
    fn due_resends(&self, to: Recipients) -> Vec<(usize, ContentHash)> {
        let due_resends =
            self.records.iter().filter(|(_, record)| record.needs_resending() && !to.schedule(record).is_running());
        let mut due_resends: Vec<_> = due_resends
            .map(|(content, record)| {
                (record.refused.is_none(), to.schedule(record).sent_at(), record.crash_count(), *content)
            })
            .collect();
        due_resends.sort_unstable();
        due_resends.truncate(MAX_RESENT);
        due_resends.into_iter().map(|(_, _, count, content)| (count, content)).collect()
    }

    /// Apply what another daemon reported; `from_hall_peer` if this daemon's hall must relay it.
    pub fn apply_notes(&mut self, notes: &[RequestNote], from_hall_peer: bool, now: Time) {
        for note in notes {
            let answered = self.answers.last_answer(note.content, now);
            let record = self.record_mut(note.content, now);
            if let Some(at) = answered.filter(|_| record.clearance.is_none()) {
                clear_and_report(record, Clearance { at, reason: ClearReason::Answered }, now);
            }
            let is_new = apply_note(record, note, now);
            if is_new && from_hall_peer {
                record.to_other_halls.start(now);
            }
            if is_new && self.is_refused(note.content) {
                self.update_explained();
            }
        }
    }
}

/// Returns whether something is new.
fn apply_note(record: &mut Record, note: &RequestNote, now: Time) -> bool {
    let before = (record.crash_count(), record.clearance, record.refused);
    if let Some(reported) = note.clearance.map(|(reason, ms)| Clearance { at: ago(ms, now), reason })
        && record.clearance.is_none_or(|known| known.at + SAME_ANSWER_WINDOW < reported.at)
    {
        record.clear(reported);
        if record.crash_count() == 0 && record.refused.is_none() {
            record.expires_at = now + CLEARANCE_RETENTION;
        }
    }
    for (replica, age_ms) in &note.crashes {
        let crash = Crash { replica: *replica, at: ago(*age_ms, now), precise: true };
        if note.left_ms > 0 && record.add_crash(crash) {
            record.expires_at = record.expires_at.max(now + Span::millis(u64::from(note.left_ms)).min(RETENTION));
        }
    }
    if let Some(reported) = note.refused {
        let since = ago(reported.age_ms, now);
        let until = now + Span::millis(u64::from(reported.left_ms));
        let is_over = record.refusal_is_over(since);
        if is_over && !record.to_hall_peers.is_running() {
            // The sender was cut off when it was told.
            record.schedule_notes(now);
        } else if !is_over && record.refused.is_none() {
            let (crashes, unambiguous) = (reported.crashes, reported.unambiguous);
            record.refused = Some(Refused { crashes, since, until, unambiguous, known_by: KnownBy::Peer });
            record.expires_at = record.expires_at.max(until);
        }
    }
    before != (record.crash_count(), record.clearance, record.refused)
}

fn to_note(content: ContentHash, record: &Record, now: Time) -> RequestNote {
    RequestNote {
        content,
        // What only the store says all others read there.
        crashes: record
            .crashes
            .iter()
            .filter(|crash| crash.precise)
            .map(|crash| (crash.replica, millis(now.since(crash.at))))
            .collect(),
        left_ms: millis(record.expires_at.since(now)),
        clearance: record.clearance.map(|clearance| (clearance.reason, millis(now.since(clearance.at)))),
        refused: record.refused.map(|refused| RefusedNote {
            crashes: refused.crashes,
            age_ms: millis(now.since(refused.since)),
            left_ms: millis(refused.until.since(now)),
            unambiguous: refused.unambiguous,
        }),
    }
}

fn ago(ms: u32, now: Time) -> Time {
    now - Span::millis(u64::from(ms))
}

fn millis(span: Span) -> u32 {
    span.as_millis().try_into().unwrap_or(u32::MAX)
}

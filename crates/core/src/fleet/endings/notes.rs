//! Notes in the load reports that daemons send each other, about requests during which replicas crashed.

use serde::{Deserialize, Serialize};

use crate::{
    content::ContentHash,
    fleet::endings::{
        CLEARANCE_RETENTION, CrashTracker, RETENTION, clear_and_report,
        record::{ClearReason, Clearance, Crash, KnownBy, Record, Refused, Schedule},
    },
    time::{Span, Time},
};

/// Maximum number of changed notes in one message, some two kilobytes. The rest is sent with the next message.
const MAX_NOTES: usize = 64;
/// Maximum number of unchanged notes in one message, for daemons that have started since or were cut off.
const MAX_RESENT: usize = 8;
/// Minimum time between two messages with unchanged notes.
pub(super) const RESEND_INTERVAL: Span = Span::millis(500);
/// Minimum time between two such messages for each daemon of the deployment, so that what one daemon receives does
/// not grow with their number: fifty messages a second.
pub(super) const RESEND_INTERVAL_PER_DAEMON: Span = Span::millis(20);

/// A reported clearance that is later than the known one by no more than this is the same one, reported again.
const SAME_CLEARANCE_WINDOW: Span = Span::millis(1_000);

/// What is known about one request. Times are ages and remaining periods in milliseconds, as clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestNote {
    /// Content hash of the request.
    pub content: ContentHash,
    /// Replicas that crashed during it, by `start_id`, and the milliseconds since each crash.
    #[serde(rename = "ends")]
    pub crashes: Vec<(u32, u32)>,
    /// Milliseconds for which the sender keeps this record. A receiver keeps it no longer, or two daemons would report
    /// to each other for ever what each has just removed.
    pub left_ms: u32,
    /// Why it was cleared, and the milliseconds since.
    #[serde(rename = "sound")]
    pub clearance: Option<(ClearReason, u32)>,
    /// The refusal, if it is refused.
    pub refused: Option<RefusedNote>,
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedNote {
    /// Number of crashes known at the decision.
    #[serde(rename = "ends")]
    pub crashes: u32,
    /// Milliseconds since the decision.
    #[serde(rename = "since_ms")]
    pub age_ms: u32,
    /// Milliseconds for which the refusal still holds.
    pub left_ms: u32,
    /// Whether no other request explains these crashes as well.
    #[serde(rename = "sure")]
    pub unambiguous: bool,
}

/// Recipients of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// The daemons to which this one reports its own work.
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
    /// Returns the notes to send now, and marks them as sent. The interval between unchanged notes grows with
    /// `daemons`.
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

    /// Includes unchanged notes in the next message to hall peers. Called when one of them has just started.
    pub fn resend_now(&mut self, now: Time) {
        self.resend_at[Recipients::HallPeers as usize] = now;
        self.parts.resend_now(now);
    }

    /// Crash counts and content hashes of the unchanged records to send again: those sent longest ago, refused requests
    /// first.
    fn due_resends(&self, to: Recipients) -> Vec<(usize, ContentHash)> {
        let lasting =
            self.records.iter().filter(|(_, record)| record.needs_resending() && !to.schedule(record).is_running());
        let mut lasting: Vec<_> = lasting
            .map(|(content, record)| {
                (record.refused.is_none(), to.schedule(record).sent_at(), record.crash_count(), *content)
            })
            .collect();
        lasting.sort_unstable();
        lasting.truncate(MAX_RESENT);
        lasting.into_iter().map(|(_, _, count, content)| (count, content)).collect()
    }

    /// Applies the notes of another daemon; `from_hall_peer` tells whether this daemon's hall must relay them to other
    /// halls.
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

/// Applies one note; returns whether it changed the record.
fn apply_note(record: &mut Record, note: &RequestNote, now: Time) -> bool {
    let before = (record.crash_count(), record.clearance, record.refused);
    if let Some(reported) = note.clearance.map(|(reason, ms)| Clearance { at: ago(ms, now), reason })
        && record.clearance.is_none_or(|known| known.at + SAME_CLEARANCE_WINDOW < reported.at)
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
            // The sender was cut off when the end of this refusal was reported.
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
        // Crashes known only from the store are left out: all daemons read them there.
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

pub(super) fn ago(ms: u32, now: Time) -> Time {
    now - Span::millis(u64::from(ms))
}

pub(super) fn millis(span: Span) -> u32 {
    span.as_millis().try_into().unwrap_or(u32::MAX)
}

//! Parts of prompts with recent answers.

use std::collections::HashMap;

use crate::{fleet::endings::part_record::ANSWER_VALIDITY, prompt::PartId, time::Time};

/// Maximum number of parts in each of two generations of recent answers.
const MAX_ANSWERED_PARTS: usize = 4_096;

/// Parts with recent answers of this daemon, in two generations. When a generation is full, only parts of the previous
/// one are added, so that parts which occur once do not displace those that occur often.
#[derive(Clone, Debug, Default)]
pub(super) struct AnsweredParts {
    current: HashMap<PartId, Time>,
    previous: HashMap<PartId, Time>,
    began_at: Time,
}

impl AnsweredParts {
    pub(super) fn record(&mut self, part: PartId, now: Time) {
        if (self.began_at + ANSWER_VALIDITY).is_past(now) {
            self.previous = std::mem::take(&mut self.current);
            self.began_at = now;
        }
        if self.current.len() < MAX_ANSWERED_PARTS || self.previous.contains_key(&part) {
            self.current.insert(part, now);
        }
    }

    pub(super) fn last_answer(&self, part: PartId) -> Option<Time> {
        self.current.get(&part).or_else(|| self.previous.get(&part)).copied()
    }
}

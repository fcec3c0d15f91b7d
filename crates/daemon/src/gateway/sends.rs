//! The sends of one request to replicas, and which answer followed each of them.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use dahliaseam_border::connection::CallNumber;

/// Maximum length in bytes of a foreign identifier in the log.
const MAX_LOGGED_ID: usize = 64;

/// What a replica was to do with a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Only prefill the prompt, which is not a run.
    Prefill,
    /// Serve the request, or decode.
    Serve,
}

/// Number of a send within its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SendId(usize);

/// The identifier that an answer repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
enum AnswerId {
    NoAnswer,
    Own,
    Absent,
    Foreign(Box<str>),
}

impl fmt::Display for AnswerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoAnswer => "-",
            Self::Own => "own",
            Self::Absent => "absent",
            Self::Foreign(id) => id,
        })
    }
}

/// One send.
#[derive(Clone, Debug)]
pub(super) struct SendRecord {
    step: Step,
    replica: Arc<str>,
    number: Option<CallNumber>,
    answer: AnswerId,
    end: &'static str,
}

impl SendRecord {
    /// Number of the connection on which an answer arrived.
    pub(super) fn connection(&self) -> Option<u64> {
        self.number.map(|number| number.connection)
    }

    /// Number of the call on that connection.
    pub(super) fn call(&self) -> Option<u64> {
        self.number.map(|number| number.call)
    }

    /// The identifier that the answer repeats: `own`, `absent`, that of another request, or `-` without an answer.
    pub(super) fn answer_id(&self) -> String {
        self.answer.to_string()
    }
}

impl fmt::Display for SendRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let step = match self.step {
            Step::Prefill => "prefill",
            Step::Serve => "serve",
        };
        write!(f, "{step} {}", self.replica)?;
        if let Some(CallNumber { connection, call }) = self.number {
            write!(f, " connection {connection} call {call} id {}", self.answer)?;
        }
        write!(f, " {}", self.end)
    }
}

/// All sends of a request.
#[derive(Debug, Default)]
pub(super) struct Sends {
    records: Mutex<Vec<SendRecord>>,
}

impl Sends {
    /// Records that a request is about to be sent.
    pub(super) fn begin(&self, step: Step, replica: &Arc<str>) -> SendId {
        let mut records = self.lock();
        records.push(SendRecord {
            step,
            replica: Arc::clone(replica),
            number: None,
            answer: AnswerId::NoAnswer,
            end: "pending",
        });
        SendId(records.len() - 1)
    }

    /// Records the head of an answer, which repeats this identifier.
    pub(super) fn record_answer(&self, id: SendId, number: CallNumber, own: &str, repeated: Option<&str>) {
        let mut records = self.lock();
        let Some(record) = records.get_mut(id.0) else { return };
        record.number = Some(number);
        record.answer = match repeated {
            Some(repeated) if repeated == own => AnswerId::Own,
            Some(repeated) => AnswerId::Foreign(shortened(repeated).into()),
            None => AnswerId::Absent,
        };
    }

    /// Records how the last send ended.
    pub(super) fn record_end(&self, end: &'static str) {
        if let Some(record) = self.lock().last_mut() {
            record.end = end;
        }
    }

    /// The last send, with its number.
    pub(super) fn last(&self) -> Option<(usize, SendRecord)> {
        let records = self.lock();
        Some((records.len(), records.last()?.clone()))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<SendRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Display for Sends {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, record) in self.lock().iter().enumerate() {
            let separator = if n == 0 { "" } else { ", " };
            write!(f, "{separator}{} {record}", n + 1)?;
        }
        Ok(())
    }
}

/// At most [`MAX_LOGGED_ID`] bytes of an identifier.
fn shortened(id: &str) -> &str {
    let end = (0..=id.len().min(MAX_LOGGED_ID)).rev().find(|end| id.is_char_boundary(*end));
    &id[..end.unwrap_or(0)]
}

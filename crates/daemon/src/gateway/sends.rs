//! The sends of one request to replicas, and the proofs that some of them did not run.
//!
//! Each send may have run until there is a proof of the opposite, [`NotRun`], which is made only from the end of that very
//! send: from the error with which it ended before its first byte, or from its own answer. An answer is a send's own if it
//! repeats the identifier of the request, which no connection carries twice, or if the send is the only call on its
//! connection.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use dahliaseam_border::connection::CallNumber;

use crate::gateway::{attempt::CallFailure, upstream::SendError};

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

/// Why it is certain that a replica did not run a send and never will.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Evidence {
    /// Nothing was sent: nothing listens at the address.
    NobodyListens,
    /// Nothing was sent: there was no connection, or it ended before the first byte.
    NotSent(String),
    /// Nothing was sent: no peer opened a tunnel, which says nothing about the replica.
    NoTunnel,
    /// The replica states it in its answer, which has this status.
    Rejected(u16),
    /// The answer states that another replica listens at the address.
    OtherReplica,
}

impl Evidence {
    /// Name used in logs and metrics.
    pub(super) const fn name(&self) -> &'static str {
        match self {
            Self::NobodyListens | Self::NotSent(_) | Self::NoTunnel => "not_sent",
            Self::Rejected(_) => "rejected",
            Self::OtherReplica => "other_replica",
        }
    }

    /// Whether a replica received the send.
    pub(super) const fn arrived(&self) -> bool {
        matches!(self, Self::Rejected(_) | Self::OtherReplica)
    }
}

/// Proof that a send did not run and never will. Only the end of that send makes one.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct NotRun {
    evidence: Evidence,
}

impl NotRun {
    /// What proves it.
    pub(super) const fn evidence(&self) -> &Evidence {
        &self.evidence
    }
}

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
    /// Whether there is a proof that it did not run.
    is_proven: bool,
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
    /// Records that a request is about to be sent. From now on it may have run.
    pub(super) fn begin(&self, step: Step, replica: &Arc<str>) -> OpenSend<'_> {
        let mut records = self.lock();
        records.push(SendRecord {
            step,
            replica: Arc::clone(replica),
            number: None,
            answer: AnswerId::NoAnswer,
            is_proven: false,
            end: "pending",
        });
        OpenSend { sends: self, index: records.len() - 1 }
    }

    /// Number of sends that may have run.
    pub(super) fn possible_runs(&self) -> u32 {
        let records = self.lock();
        records.iter().map(|record| u32::from(record.step == Step::Serve && !record.is_proven)).sum()
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

/// A send whose end is not known yet.
#[derive(Debug)]
pub(super) struct OpenSend<'a> {
    sends: &'a Sends,
    index: usize,
}

impl<'a> OpenSend<'a> {
    /// The send ended without an answer.
    pub(super) fn failed(self, e: SendError) -> CallFailure {
        match e {
            SendError::NobodyListens => CallFailure::NotRun(self.prove(Evidence::NobodyListens)),
            SendError::NoConnection => {
                let why = "no connection within the time limit".to_owned();
                CallFailure::NotRun(self.prove(Evidence::NotSent(why)))
            }
            SendError::NotSent(why) => CallFailure::NotRun(self.prove(Evidence::NotSent(why))),
            SendError::NoTunnel => CallFailure::NotRun(self.prove(Evidence::NoTunnel)),
            SendError::Broke(why) => CallFailure::Broke(why),
            SendError::Lost(why) => CallFailure::Lost(why),
        }
    }

    /// The head of an answer arrived that repeats this identifier.
    ///
    /// # Errors
    /// If it may be the answer to another send.
    pub(super) fn answered(
        self,
        number: CallNumber,
        own: &str,
        repeated: Option<&str>,
    ) -> Result<OwnAnswer<'a>, CallFailure> {
        let answer = match repeated {
            Some(repeated) if repeated == own => AnswerId::Own,
            Some(repeated) => AnswerId::Foreign(shortened(repeated).into()),
            None => AnswerId::Absent,
        };
        if let Some(record) = self.sends.lock().get_mut(self.index) {
            record.number = Some(number);
            record.answer = answer.clone();
        }
        match answer {
            AnswerId::Own => Ok(OwnAnswer { send: self, is_named: true }),
            AnswerId::Absent if number.is_first() => Ok(OwnAnswer { send: self, is_named: false }),
            AnswerId::Absent | AnswerId::NoAnswer => {
                Err(CallFailure::Lost("the response may belong to an earlier request".to_owned()))
            }
            AnswerId::Foreign(_) => Err(CallFailure::Lost("the response belongs to another request".to_owned())),
        }
    }

    fn prove(self, evidence: Evidence) -> NotRun {
        if let Some(record) = self.sends.lock().get_mut(self.index) {
            record.is_proven = true;
        }
        NotRun { evidence }
    }
}

/// The head of an answer that is certainly to one send.
#[derive(Debug)]
pub(super) struct OwnAnswer<'a> {
    send: OpenSend<'a>,
    is_named: bool,
}

impl OwnAnswer<'_> {
    /// Whether it repeats the identifier of the request.
    pub(super) const fn is_named(&self) -> bool {
        self.is_named
    }

    /// It states that the replica did not run the request.
    pub(super) fn rejected(self, status: u16) -> NotRun {
        self.send.prove(Evidence::Rejected(status))
    }

    /// It states that another replica listens at the address.
    pub(super) fn other_replica(self) -> NotRun {
        self.send.prove(Evidence::OtherReplica)
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

//! Passing an answer on as it arrives.
//!
//! A short answer is read whole before any of it is passed on, so a broken one can still be tried
//! elsewhere. A stream is passed on from its first event. One that may be resumed goes on at
//! another replica after it breaks; any other ends as broken, so that nobody takes it for whole.

use bytes::{Bytes, BytesMut};
use dahliaseam_core::{fleet::StepEnd, route::Repeat};
use futures_util::stream;
use http::{Response, header, response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use quick_error::quick_error;

use crate::{
    emit,
    gateway::{
        answer::{AnswerBody, full, pass_on},
        attempt::{Answer, CallFailure},
        ending::Ending,
        request::Job,
        sse::{self, Events},
    },
};

/// Bytes of an answer that is read whole before it is passed on.
const WHOLE: usize = 256 << 10;

quick_error! {
    /// Why an answer that was begun is broken off.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RelayError {
        /// The replica's answer broke off.
        BrokeOff(why: String) {
            display("the answer broke off: {}", why)
        }
        /// The time for it is over.
        TimedOut {
            display("the time for the answer is over")
        }
    }
}

/// An answer of which enough has come.
#[derive(Debug)]
pub(super) enum Begun {
    /// All of it.
    Whole(response::Parts, Bytes),
    /// Its beginning.
    Stream(Box<Answer>, Events, Bytes),
}

/// Read as much of an answer as is needed before it is passed on.
pub(super) async fn begin(job: &Job, mut answer: Answer) -> Result<Begun, CallFailure> {
    let begun = job.gw.until(job.deadline, read_beginning(job, &mut answer)).await;
    let failure = match begun {
        Some(Ok(Beginning::Whole(bytes))) => {
            keep(job, &mut answer);
            let Answer { head, mut work, .. } = answer;
            if job.caller.prompt.is_none() && head.status.is_success() {
                work.plain_over();
            }
            work.ended(StepEnd::Done);
            job.answered();
            return Ok(Begun::Whole(head, bytes));
        }
        Some(Ok(Beginning::Stream(events, bytes))) => {
            answer.work.reading_over(StepEnd::Done);
            return Ok(Begun::Stream(Box::new(answer), events, bytes));
        }
        Some(Err(why)) => CallFailure::Broke(why),
        None => CallFailure::TimedOut,
    };
    answer.work.ended(StepEnd::Failed);
    job.log_failure(&answer.replica, &answer.work, &failure, "begin");
    job.look_if_broken(&answer.replica, &failure).await;
    Err(failure)
}

/// Keep the connection of an answer that was read to its end.
fn keep(job: &Job, answer: &mut Answer) {
    if let Some(conn) = answer.conn.take() {
        job.gw.upstream.keep(answer.replica.address, conn);
    }
}

enum Beginning {
    Whole(Bytes),
    Stream(Events, Bytes),
}

async fn read_beginning(job: &Job, answer: &mut Answer) -> Result<Beginning, String> {
    let is_stream = job.route.stream && answer.head.status.is_success();
    let mut events = Events::default();
    let mut bytes = BytesMut::new();
    loop {
        let Some(frame) = answer.body.frame().await else {
            bytes.extend_from_slice(&events.rest());
            return Ok(Beginning::Whole(bytes.freeze()));
        };
        let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() else {
            continue;
        };
        if !is_stream {
            bytes.extend_from_slice(&data);
            if bytes.len() > WHOLE {
                return Ok(Beginning::Stream(events, bytes.freeze()));
            }
        } else if let Some(whole) = events.push(&data) {
            return Ok(Beginning::Stream(events, whole));
        }
    }
}

/// The answer for the caller.
pub(super) fn answer(job: Job, begun: Begun, mut ending: Ending) -> Response<AnswerBody> {
    ending.first_byte();
    match begun {
        Begun::Whole(mut head, bytes) => {
            ending.set("answered", head.status.as_u16());
            pass_on(&mut head.headers);
            Response::from_parts(head, full(bytes))
        }
        Begun::Stream(answer, events, first) => {
            let mut head = answer_head(&answer);
            pass_on(&mut head.headers);
            if job.route.stream {
                head.headers.remove(header::CONTENT_LENGTH);
            }
            ending.set("caller_left", head.status.as_u16());
            ending.stream(&answer);
            let relay = Relay {
                resumable: job.route.stream && job.route.repeat == Repeat::Allowed,
                last_id: sse::last_id(&first),
                job,
                answer,
                events,
                next: Some(first),
                over: false,
                ending,
            };
            let chunks = stream::unfold(relay, |mut relay| async move { relay.next().await.map(|item| (item, relay)) });
            Response::from_parts(head, BodyExt::boxed_unsync(StreamBody::new(chunks)))
        }
    }
}

fn answer_head(answer: &Answer) -> response::Parts {
    let mut copy = Response::new(()).into_parts().0;
    copy.status = answer.head.status;
    copy.version = answer.head.version;
    copy.headers = answer.head.headers.clone();
    copy
}

/// A stream that is being passed on.
struct Relay {
    job: Job,
    answer: Box<Answer>,
    events: Events,
    next: Option<Bytes>,
    last_id: Option<String>,
    resumable: bool,
    over: bool,
    ending: Ending,
}

type Item = Result<Frame<Bytes>, RelayError>;

impl Relay {
    async fn next(&mut self) -> Option<Item> {
        if let Some(bytes) = self.next.take() {
            return Some(Ok(Frame::data(bytes)));
        }
        if self.over {
            return None;
        }
        loop {
            let read = self.job.gw.until(self.job.deadline, self.answer.body.frame()).await;
            let why = match read {
                None => return Some(Err(self.fail(RelayError::TimedOut))),
                Some(None) => match self.end() {
                    Ok(last) => return last.map(|bytes| Ok(Frame::data(bytes))),
                    Err(why) => why,
                },
                Some(Some(Ok(frame))) => match frame.into_data().ok().and_then(|data| self.take(data)) {
                    Some(bytes) => {
                        self.learn();
                        return Some(Ok(Frame::data(bytes)));
                    }
                    None => continue,
                },
                Some(Some(Err(e))) => e.to_string(),
            };
            if let Err(e) = self.resume(why).await {
                return Some(Err(self.fail(e)));
            }
            if let Some(bytes) = self.next.take() {
                return Some(Ok(Frame::data(bytes)));
            }
        }
    }

    /// What of some new bytes may be passed on.
    fn take(&mut self, data: Bytes) -> Option<Bytes> {
        if !self.resumable {
            return Some(data);
        }
        let whole = self.events.push(&data)?;
        if let Some(id) = sse::last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// The replica ended its answer; returns what is left of it.
    fn end(&mut self) -> Result<Option<Bytes>, String> {
        let rest = self.events.rest();
        let framed = self.answer.head.headers.contains_key(header::TRANSFER_ENCODING)
            || self.answer.head.headers.contains_key(header::CONTENT_LENGTH);
        if !rest.is_empty() && !framed {
            return Err("the connection ended inside an event".to_owned());
        }
        self.over = true;
        keep(&self.job, &mut self.answer);
        self.answer.work.ended(StepEnd::Done);
        self.job.answered();
        if !self.answer.work.was_suspended() {
            let mut fleet = self.job.gw.fleet();
            if self.job.caller.prompt.is_some() {
                fleet.record_answer(&self.job.service, self.answer.work.age(), self.answer.work.is_long());
            }
            fleet.learn_answer(self.answer.work.sent(), &self.ending.passed(), self.job.gw.now());
        }
        self.ending.set("answered", self.answer.head.status.as_u16());
        Ok((!rest.is_empty()).then_some(rest))
    }

    /// Go on at another replica after the last whole event.
    async fn resume(&mut self, why: String) -> Result<(), RelayError> {
        self.answer.work.ended(StepEnd::Failed);
        emit!(
            info,
            STREAM_BROKE,
            request = self.job.caller.id,
            content = %self.job.content,
            replica = %self.answer.replica.id,
            last_event = self.last_id.as_deref().unwrap_or(""),
            why,
            resumable = self.resumable
        );
        self.job.look_at_replica(self.answer.replica.clone()).await;
        if !self.resumable || !self.job.may_repeat() {
            return Err(RelayError::BrokeOff(why));
        }
        let Some(id) = self.last_id.clone() else {
            return Err(RelayError::BrokeOff(why));
        };
        self.events.clear();
        self.job.last_event = Some(id);
        self.job.note_broken(self.answer.work.replica());
        let broke_off = |_| RelayError::BrokeOff(why.clone());
        let answer = loop {
            let plan = self.job.next_plan().await.map_err(broke_off)?;
            match self.job.attempt(&plan).await {
                Ok(answer) => break answer,
                Err(failed) if failed.why == CallFailure::NobodyListens => self.job.note_failed(&plan, &failed),
                Err(failed) => return Err(RelayError::BrokeOff(format!("{:?}", failed.why))),
            }
        };
        if !answer.head.status.is_success() {
            return Err(RelayError::BrokeOff(format!("status {} on resuming", answer.head.status)));
        }
        emit!(info, STREAM_RESUMED, request = self.job.caller.id, replica = %answer.replica.id);
        *self.answer = answer;
        self.ending.stream(&self.answer);
        Ok(())
    }

    /// Another event was passed on; learn from the stream now and then.
    fn learn(&mut self) {
        if let Some(part) = self.ending.event_passed()
            && !self.answer.work.was_suspended()
        {
            self.job.gw.fleet().learn_stream(self.answer.work.sent(), &part);
        }
    }

    fn fail(&mut self, e: RelayError) -> RelayError {
        self.over = true;
        self.ending.set(if e == RelayError::TimedOut { "timed_out" } else { "broke_off" }, 0);
        self.answer.work.ended(StepEnd::Unknown);
        e
    }
}

impl Job {
    /// A replica answered it to its end.
    fn answered(&self) {
        let now = self.gw.now();
        self.gw.fleet().crashes.record_answer(self.content, now);
    }
}

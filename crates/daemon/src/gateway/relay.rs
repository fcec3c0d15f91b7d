//! Relays responses to callers as they arrive.
//!
//! A short response is read completely before any of it is relayed, so that a request whose response breaks off can
//! still be retried at another replica. A stream is relayed from its first event, in whole events. If it breaks and may
//! be resumed, it continues at another replica; any other stream ends with an error, so that the caller does not mistake
//! it for complete.

use bytes::{Bytes, BytesMut};
use dahliaseam_core::{fleet::StepEnd, route::Repeat, time::Time};
use futures_util::stream;
use http::{Response, header, response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use quick_error::quick_error;

use crate::{
    emit,
    gateway::{
        answer::{ResponseBody, full_body, remove_hop_by_hop_headers},
        attempt::{CallFailure, UpstreamResponse},
        body::BodyError,
        ending::AccessLogEntry,
        endings::{PROOF_TIME, Phase},
        request::ActiveRequest,
        sse::ResumePoint,
    },
};

/// Maximum bytes of a response that is read completely before it is relayed.
const MAX_BUFFERED_BYTES: usize = 256 << 10;

quick_error! {
    /// Why a response that was partly relayed is aborted.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum RelayError {
        /// The replica's response broke off.
        BrokeOff(why: String) {
            display("the replica's response broke off: {}", why)
        }
        /// The deadline has passed.
        TimedOut {
            display("the deadline for the response has passed")
        }
    }
}

/// A response of which enough has arrived to start relaying it.
#[derive(Debug)]
pub(super) enum ResponseStart {
    /// The complete response.
    Complete(response::Parts, Bytes),
    /// The start of the response; the bytes are relayed first.
    Stream(Box<UpstreamResponse>, Bytes),
}

/// Reads as much of a response as is needed before it can be relayed.
pub(super) async fn start(req: &ActiveRequest, mut resp: UpstreamResponse) -> Result<ResponseStart, CallFailure> {
    let start = req.gw.timeout_at(req.deadline, read_body_start(req, &mut resp)).await;
    let failure = match start {
        Some(Ok(BodyStart::Complete(bytes))) => {
            keep_connection(req, &mut resp);
            let has_answer = resp.head.status.is_success() && !bytes.is_empty();
            req.record_completed(&resp.replica, resp.body.framing(), has_answer).await;
            let UpstreamResponse { head, mut in_flight, .. } = resp;
            if req.caller.prompt.is_none() && head.status.is_success() {
                in_flight.record_plain_call();
            }
            req.record_answer_time(&in_flight);
            in_flight.set_end(StepEnd::Done);
            return Ok(ResponseStart::Complete(head, bytes));
        }
        Some(Ok(BodyStart::Stream(bytes))) => {
            resp.in_flight.record_prefill_end(StepEnd::Done);
            return Ok(ResponseStart::Stream(Box::new(resp), bytes));
        }
        Some(Err(e)) => CallFailure::Broke(e.to_string()),
        None => CallFailure::TimedOut,
    };
    resp.in_flight.set_end(StepEnd::Failed);
    req.log_failure(&resp.replica, &resp.in_flight, &failure, "begin");
    req.check_replica_if_broken(&resp.replica, &failure, Phase::Begin).await;
    Err(failure)
}

/// Keeps the connection of a response that was read to its end.
fn keep_connection(req: &ActiveRequest, resp: &mut UpstreamResponse) {
    req.gw.upstream.keep(resp.replica.address, resp.conn.take());
}

enum BodyStart {
    Complete(Bytes),
    Stream(Bytes),
}

async fn read_body_start(req: &ActiveRequest, resp: &mut UpstreamResponse) -> Result<BodyStart, BodyError> {
    let is_stream = req.is_stream(&resp.head);
    let mut bytes = BytesMut::new();
    while let Some(data) = resp.body.next().await {
        bytes.extend_from_slice(&data?);
        if is_stream || bytes.len() > MAX_BUFFERED_BYTES {
            return Ok(BodyStart::Stream(bytes.freeze()));
        }
    }
    Ok(BodyStart::Complete(bytes.freeze()))
}

/// Builds the response to the caller.
pub(super) fn respond(
    mut req: ActiveRequest,
    start: ResponseStart,
    mut log_entry: AccessLogEntry,
) -> Response<ResponseBody> {
    log_entry.record_first_byte();
    match start {
        ResponseStart::Complete(mut head, bytes) => {
            log_entry.set_outcome("answered", head.status.as_u16());
            remove_hop_by_hop_headers(&mut head.headers);
            Response::from_parts(head, full_body(bytes))
        }
        ResponseStart::Stream(resp, first) => {
            let mut head = copy_head(&resp);
            remove_hop_by_hop_headers(&mut head.headers);
            if req.route.stream {
                head.headers.remove(header::CONTENT_LENGTH);
            }
            log_entry.set_outcome("caller_left", head.status.as_u16());
            log_entry.start_stream(&resp);
            let resumable = req.is_stream(&resp.head) && req.route.repeat == Repeat::Allowed;
            if !resumable {
                // It is not sent again, so its memory is free for others.
                req.body = Bytes::new();
            }
            let relay = Relay {
                proven_at: Some(req.gw.now() + PROOF_TIME),
                resumable,
                req,
                resp,
                pending: Some(first),
                is_done: false,
                log_entry,
            };
            let chunks = stream::unfold(relay, |mut relay| async move { relay.next().await.map(|item| (item, relay)) });
            Response::from_parts(head, BodyExt::boxed_unsync(StreamBody::new(chunks)))
        }
    }
}

fn copy_head(resp: &UpstreamResponse) -> response::Parts {
    let mut copy = Response::new(()).into_parts().0;
    copy.status = resp.head.status;
    copy.version = resp.head.version;
    copy.headers = resp.head.headers.clone();
    copy
}

/// A stream that is being relayed.
struct Relay {
    req: ActiveRequest,
    resp: Box<UpstreamResponse>,
    pending: Option<Bytes>,
    /// When the replica has written for long enough to clear the parts of the prompt; `None` once it has.
    proven_at: Option<Time>,
    resumable: bool,
    is_done: bool,
    log_entry: AccessLogEntry,
}

type Item = Result<Frame<Bytes>, RelayError>;

impl Relay {
    async fn next(&mut self) -> Option<Item> {
        if let Some(bytes) = self.pending.take() {
            return Some(Ok(Frame::data(bytes)));
        }
        if self.is_done {
            return None;
        }
        loop {
            let why = match self.req.gw.timeout_at(self.req.deadline, self.resp.body.next()).await {
                None => return Some(Err(self.fail(RelayError::TimedOut))),
                Some(None) => {
                    self.finish().await;
                    return None;
                }
                Some(Some(Ok(bytes))) => {
                    self.update_estimates();
                    self.record_proof();
                    return Some(Ok(Frame::data(bytes)));
                }
                Some(Some(Err(e))) => e.to_string(),
            };
            if let Err(e) = self.resume(why).await {
                return Some(Err(self.fail(e)));
            }
            if let Some(bytes) = self.pending.take() {
                return Some(Ok(Frame::data(bytes)));
            }
        }
    }

    /// Records that the replica has completed its response.
    async fn finish(&mut self) {
        self.is_done = true;
        keep_connection(&self.req, &mut self.resp);
        self.resp.in_flight.set_end(StepEnd::Done);
        if !self.resp.in_flight.is_long() {
            self.req.record_answer_time(&self.resp.in_flight);
        }
        if !self.resp.in_flight.was_suspended() {
            let mut fleet = self.req.gw.fleet();
            if self.req.caller.prompt.is_some() {
                fleet.record_answer_time(&self.req.service, self.resp.in_flight.age(), self.resp.in_flight.is_long());
            }
            fleet.learn_finished_stream(self.resp.in_flight.sent(), &self.log_entry.relayed(), self.req.gw.now());
        }
        self.log_entry.record_stream_end(self.resp.body.framing());
        self.log_entry.set_outcome("answered", self.resp.head.status.as_u16());
        let is_success = self.resp.head.status.is_success();
        self.req.record_completed(&self.resp.replica, self.resp.body.framing(), is_success).await;
    }

    /// Resumes the stream at another replica after the last whole event.
    async fn resume(&mut self, why: String) -> Result<(), RelayError> {
        self.resp.in_flight.set_end(StepEnd::Failed);
        self.req.sends.record_end("broke_off");
        emit!(
            info,
            STREAM_BROKE,
            request = self.req.caller.id,
            content = %self.req.content,
            replica = %self.resp.replica.id,
            software = %self.resp.replica.software,
            last_event = self.last_event().unwrap_or(""),
            framing = self.resp.body.framing().name(),
            cut_bytes = self.resp.body.open_bytes(),
            why,
            resumable = self.resumable
        );
        let phase = if self.proven_at.is_none() { Phase::Proven } else { Phase::Begin };
        self.req.check_replica(self.resp.replica.clone(), phase).await;
        if !self.resumable || !self.req.may_retry(self.req.possible_runs()) {
            return Err(RelayError::BrokeOff(why));
        }
        let Some(id) = self.last_event().map(str::to_owned) else {
            return Err(RelayError::BrokeOff(why));
        };
        self.req.last_event = Some(id);
        self.req.record_broken_stream(self.resp.in_flight.replica_key());
        let broke_off = |_| RelayError::BrokeOff(why.clone());
        let resp = loop {
            let plan = self.req.next_plan().await.map_err(broke_off)?;
            match self.req.attempt(&plan).await {
                Ok(resp) => break resp,
                Err(failure) if failure.why.nobody_listens() => self.req.record_failure(&plan, &failure),
                Err(failure) => return Err(RelayError::BrokeOff(format!("{:?}", failure.why))),
            }
        };
        if !resp.head.status.is_success() {
            return Err(RelayError::BrokeOff(format!("status {} when resuming the stream", resp.head.status)));
        }
        emit!(
            info,
            STREAM_RESUMED,
            request = self.req.caller.id,
            replica = %resp.replica.id,
            software = %resp.replica.software
        );
        *self.resp = resp;
        self.proven_at = Some(self.req.gw.now() + PROOF_TIME);
        self.log_entry.start_stream(&self.resp);
        Ok(())
    }

    /// Identifier of the last event that was relayed, if the stream can be resumed after it.
    fn last_event(&self) -> Option<&str> {
        match self.resp.body.resume_point()? {
            ResumePoint::Start => self.req.last_event.as_deref(),
            ResumePoint::After(id) => Some(id),
            ResumePoint::Nowhere => None,
        }
    }

    /// Records a relayed event, and updates the estimates from the stream from time to time.
    fn update_estimates(&mut self) {
        if let Some(part) = self.log_entry.record_event()
            && !self.resp.in_flight.was_suspended()
        {
            self.req.gw.fleet().learn_stream_part(self.resp.in_flight.sent(), &part);
        }
    }

    /// Clears the parts of the prompt once the replica has written for long enough.
    fn record_proof(&mut self) {
        let now = self.req.gw.now();
        if self.proven_at.take_if(|at| at.is_past(now)).is_some() && self.resp.head.status.is_success() {
            self.req.record_proof();
        }
    }

    fn fail(&mut self, e: RelayError) -> RelayError {
        self.is_done = true;
        self.log_entry.set_outcome(if e == RelayError::TimedOut { "timed_out" } else { "broke_off" }, 0);
        self.resp.in_flight.set_end(StepEnd::Unknown);
        e
    }
}

//! Requests during which replicas crash: detecting a crash, and deciding how such a request is handled.

use std::{sync::Arc, time::Duration};

use dahliaseam_core::{
    content::ContentHash,
    fleet::{
        endings::{PartChange, PartTreatment, Refused, Treatment},
        plan::Isolation,
        replica::ReplicaFacts,
    },
    prompt::PartId,
    time::Span,
};

use crate::{
    clock::duration,
    emit,
    gateway::{answer::Refusal, attempt::CallFailure, body::Framing, request::ActiveRequest, state::Gateway},
};

/// Maximum time for which the next attempt of a request waits to learn whether its replica crashed: a few round trips
/// plus the time for which a live replica's connection is observed. A broken link would delay it for longer without any
/// result.
const CHECK_TIMEOUT: Duration = Duration::from_millis(30);

/// Time after its first event from which a stream shows that the parts of its prompt crash no replicas. Those that do
/// crash them within a fifth of a second.
pub(super) const PROOF_TIME: Span = Span::millis(1_000);

/// What a replica was doing for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It was prefilling the prompt.
    Prefill,
    /// It was about to write the answer, or had just begun.
    Begin,
    /// It had written for longer than [`PROOF_TIME`].
    Proven,
}

/// A run of a request at a replica.
#[derive(Clone, Debug)]
struct Run {
    request: String,
    content: ContentHash,
    parts: Arc<[PartId]>,
    phase: Phase,
}

impl Run {
    /// Records that the replica completed its response.
    fn record_answer(&self, gw: &Gateway) {
        let now = gw.now();
        let crashes = &mut gw.fleet().crashes;
        crashes.record_answer(self.content, now);
        if self.phase == Phase::Proven {
            crashes.parts.record_answer(&self.parts, now);
        }
    }
}

/// A run that serves to find out whether a request crashes replicas. Dropping it ends the trial.
#[derive(Debug)]
pub(super) struct Trial {
    gw: Arc<Gateway>,
    content: ContentHash,
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.gw.fleet().crashes.end_trial(self.content);
    }
}

/// A run that serves to find out whether parts of its prompt crash replicas. Dropping it ends the trial.
#[derive(Debug)]
pub(super) struct PartTrial {
    gw: Arc<Gateway>,
    content: ContentHash,
    parts: Arc<[PartId]>,
}

impl Drop for PartTrial {
    fn drop(&mut self) {
        let now = self.gw.now();
        self.gw.fleet().crashes.parts.end_trial(&self.parts, self.content, now);
        self.gw.load_changed.notify_one();
    }
}

impl ActiveRequest {
    /// Starts a trial if it is uncertain whether the request is the cause of the crashes.
    pub(super) fn begin_trial(&self) -> Option<Trial> {
        if !self.isolation.is_some_and(|isolation| isolation.single_replica) {
            return None;
        }
        let now = self.gw.now();
        self.gw.fleet().crashes.begin_trial(self.content, now);
        Some(Trial { gw: Arc::clone(&self.gw), content: self.content })
    }

    fn run(&self, phase: Phase) -> Run {
        Run { request: self.caller.id.clone(), content: self.content, parts: Arc::clone(&self.parts), phase }
    }

    /// Checks whether the replica crashed, if the connection to it broke.
    pub(super) async fn check_replica_if_broken(&self, replica: &ReplicaFacts, why: &CallFailure, phase: Phase) {
        if matches!(why, CallFailure::Broke(_)) {
            self.check_replica(replica.clone(), phase).await;
        }
    }

    /// Checks whether a replica crashed after the connection to it broke, and records that.
    pub(super) async fn check_replica(&self, replica: ReplicaFacts, phase: Phase) {
        let check = record_if_crashed(Arc::clone(&self.gw), self.run(phase), replica);
        // Runs as a separate task so that the result is recorded even if the caller disconnects or the check takes
        // longer than the timeout.
        let check = tokio::spawn(check);
        if let Ok(Err(e)) = tokio::time::timeout(CHECK_TIMEOUT, check).await {
            emit!(error, REPLICA_ENDED, request = self.caller.id, content = %self.content, why = %e);
        }
    }

    /// Records that a replica completed its response. If the response ended with its connection, that is not certain before
    /// the replica is found present. `has_answer` tells whether it is a successful answer and not empty.
    pub(super) async fn record_completed(&self, replica: &ReplicaFacts, framing: Framing, has_answer: bool) {
        let phase = if has_answer { Phase::Proven } else { Phase::Begin };
        if framing != Framing::Close {
            self.run(phase).record_answer(&self.gw);
            return;
        }
        let is_suspected = {
            let crashes = &self.gw.fleet().crashes;
            crashes.is_suspected(self.content) || crashes.parts.is_accused(&self.parts)
        };
        let check = record_closed(Arc::clone(&self.gw), self.run(phase), replica.clone());
        let check = tokio::spawn(check);
        if is_suspected {
            // The caller may repeat the request as soon as it has the response.
            let _ = tokio::time::timeout(CHECK_TIMEOUT, check).await;
        }
    }

    /// Records that a replica has written for longer than [`PROOF_TIME`].
    pub(super) fn record_proof(&mut self) {
        let now = self.gw.now();
        self.gw.fleet().crashes.parts.record_answer(&self.parts, now);
        self.part_trial = None;
    }

    /// Whether replicas are known to crash under the request or a part of its prompt, or a part became suspected and
    /// this run is not its trial.
    pub(super) fn is_accused(&self) -> bool {
        let crashes = &self.gw.fleet().crashes;
        crashes.is_refused(self.content) || (self.part_trial.is_none() && crashes.parts.is_accused(&self.parts))
    }

    /// Determines whether the request may be sent to a replica, and how. Waits while other daemons' reports of its last
    /// crash may still arrive.
    ///
    /// # Errors
    /// The refusal, if replicas crash while running it or the deadline passes during the wait.
    pub(super) async fn check_treatment(&mut self) -> Result<(), Refusal> {
        self.trial = None;
        self.part_trial = None;
        self.check_parts()?;
        loop {
            let now = self.gw.now();
            let treatment = self.gw.fleet().treatment(self.content, now);
            match treatment {
                Treatment::Clear => self.isolation = self.part_trial_isolation(),
                Treatment::Isolated(isolation) => {
                    self.isolation = self.part_trial_isolation().or(Some(isolation));
                }
                Treatment::Pending(until) if !self.deadline.is_past(now) => {
                    self.gw.sleep(duration(until.min(self.deadline).since(now))).await;
                    continue;
                }
                Treatment::Pending(_) => return Err(self.final_refusal()),
                Treatment::OnTrial => return Err(self.refuse_on_trial()),
                Treatment::Refused(refused) => return Err(self.refuse_for_crashes(&refused)),
            }
            return Ok(());
        }
    }

    /// Refuses the request for the parts of its prompt, or begins a trial if one is suspected.
    fn check_parts(&mut self) -> Result<(), Refusal> {
        if self.parts.is_empty() {
            return Ok(());
        }
        let now = self.gw.now();
        let treatment = {
            let mut fleet = self.gw.fleet();
            let treatment = fleet.part_treatment(&self.parts, now);
            if treatment == PartTreatment::Trial {
                fleet.crashes.parts.begin_trial(&self.parts, self.content, now);
            }
            treatment
        };
        match treatment {
            PartTreatment::Clear => Ok(()),
            PartTreatment::Trial => {
                emit!(info, PART_TRIED, request = self.caller.id, parts = part_names(&self.parts));
                let (gw, content) = (Arc::clone(&self.gw), self.content);
                self.part_trial = Some(PartTrial { gw, content, parts: Arc::clone(&self.parts) });
                self.gw.load_changed.notify_one();
                Ok(())
            }
            PartTreatment::Suspected(part) => {
                emit!(info, REFUSED_SUSPECTED, request = self.caller.id, part = %part, ran = self.may_have_run());
                Err(if self.may_have_run() { self.final_refusal() } else { Refusal::PartSuspected })
            }
            PartTreatment::Refused(part, refused) => Err(self.refuse_for_part(part, &refused)),
        }
    }

    fn part_trial_isolation(&self) -> Option<Isolation> {
        self.part_trial.as_ref().map(|trial| Isolation { content: trial.content, single_replica: true })
    }

    fn refuse_for_part(&self, part: PartId, refused: &Refused) -> Refusal {
        let now = self.gw.now();
        emit!(
            info,
            REFUSED_BLAMED,
            request = self.caller.id,
            content = %self.content,
            part = %part,
            route = %self.route.name,
            ends = refused.crashes,
            known_by = refused.known_by.name(),
            age_ms = now.since(refused.since).as_millis(),
            left_ms = refused.until.since(now).as_millis(),
            ran = self.may_have_run()
        );
        if self.may_have_run() { self.final_refusal() } else { Refusal::ReplicasEnded }
    }

    /// Refuses the request while another run of its content shows whether it crashes replicas.
    fn refuse_on_trial(&self) -> Refusal {
        emit!(
            info,
            REFUSED_SUSPECTED,
            request = self.caller.id,
            content = %self.content,
            ran = self.may_have_run()
        );
        if self.may_have_run() { self.final_refusal() } else { Refusal::RequestSuspected }
    }

    fn refuse_for_crashes(&self, refused: &Refused) -> Refusal {
        let now = self.gw.now();
        emit!(
            info,
            REFUSED_BLAMED,
            request = self.caller.id,
            content = %self.content,
            route = %self.route.name,
            ends = refused.crashes,
            known_by = refused.known_by.name(),
            age_ms = now.since(refused.since).as_millis(),
            left_ms = refused.until.since(now).as_millis(),
            ran = self.may_have_run()
        );
        if self.may_have_run() { self.final_refusal() } else { Refusal::ReplicasEnded }
    }
}

/// Records whether a replica completed a response that ended with its connection, or crashed.
async fn record_closed(gw: Arc<Gateway>, run: Run, replica: ReplicaFacts) {
    if gw.is_present(&replica).await && !gw.fleet().is_replaced(&replica) {
        run.record_answer(&gw);
        return;
    }
    // A replica that leaves as planned closes its connections too.
    let has_left = gw.fleet().has_left(&replica);
    if !has_left {
        record_if_crashed(gw, Run { phase: Phase::Begin, ..run }, replica).await;
    }
}

async fn record_if_crashed(gw: Arc<Gateway>, run: Run, replica: ReplicaFacts) {
    let broken_at = gw.now();
    // If a newer start of the replica listens there, the previous process is gone as well.
    if !gw.is_gone(&replica).await && !gw.fleet().is_replaced(&replica) {
        return;
    }
    let (crashes, left_out) = {
        let mut fleet = gw.fleet();
        if run.phase == Phase::Begin {
            fleet.crashes.parts.record_crash(&run.parts, run.content, replica.start_id(), broken_at);
        }
        (
            fleet.crashes.record_crash(run.content, replica.start_id(), broken_at),
            fleet.mark_unreachable(&replica, gw.now()),
        )
    };
    gw.load_changed.notify_one();
    if left_out {
        emit!(warn, REPLICA_LEFT_OUT, replica = %replica.id, end = "nobody listens");
    }
    gw.metrics.lost_request();
    emit!(
        info,
        REPLICA_ENDED,
        request = run.request,
        content = %run.content,
        parts = part_names(&run.parts),
        phase = ?run.phase,
        replica = %replica.id,
        hall = %replica.hall,
        ends = crashes
    );
}

/// Identifiers of parts, for logs.
fn part_names(parts: &[PartId]) -> String {
    let names: Vec<String> = parts.iter().map(PartId::to_string).collect();
    names.join(",")
}

/// Logs which parts became suspected or were cleared.
pub(super) fn log_part_changes(gw: &Gateway) {
    let changes = gw.fleet().crashes.parts.take_changes();
    for change in changes {
        match change {
            PartChange::Suspected { part, replicas, requests } => {
                emit!(warn, PART_SUSPECTED, part = %part, replicas = ?replicas, requests);
            }
            PartChange::Cleared { part, by } => emit!(info, PART_CLEARED, part = %part, by = by.name()),
        }
    }
}

//! Requests during which replicas crash: detecting a crash, and deciding how such a request is handled.

use std::{sync::Arc, time::Duration};

use dahliaseam_core::{
    content::ContentHash,
    fleet::{
        endings::{Refused, Treatment},
        replica::ReplicaFacts,
    },
    prompt::PartId,
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

/// What identifies a request when its replica crashes.
#[derive(Clone, Debug)]
struct Run {
    request: String,
    content: ContentHash,
    parts: Arc<[PartId]>,
}

impl Run {
    /// Identifiers of the prompt's shared parts, for logs.
    fn part_names(&self) -> String {
        let names: Vec<String> = self.parts.iter().map(PartId::to_string).collect();
        names.join(",")
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

    fn run(&self) -> Run {
        Run { request: self.caller.id.clone(), content: self.content, parts: Arc::clone(&self.parts) }
    }

    /// Checks whether the replica crashed, if the connection to it broke.
    pub(super) async fn check_replica_if_broken(&self, replica: &ReplicaFacts, why: &CallFailure) {
        if matches!(why, CallFailure::Broke(_)) {
            self.check_replica(replica.clone()).await;
        }
    }

    /// Checks whether a replica crashed after the connection to it broke, and records that.
    pub(super) async fn check_replica(&self, replica: ReplicaFacts) {
        let check = record_if_crashed(Arc::clone(&self.gw), self.run(), replica);
        // Runs as a separate task so that the result is recorded even if the caller disconnects or the check takes
        // longer than the timeout.
        let check = tokio::spawn(check);
        if let Ok(Err(e)) = tokio::time::timeout(CHECK_TIMEOUT, check).await {
            emit!(error, REPLICA_ENDED, request = self.caller.id, content = %self.content, why = %e);
        }
    }

    /// Records that a replica completed its response. If the response ended with its connection, that is not certain before
    /// the replica is found present.
    pub(super) async fn record_completed(&self, replica: &ReplicaFacts, framing: Framing) {
        if framing != Framing::Close {
            let now = self.gw.now();
            self.gw.fleet().crashes.record_answer(self.content, now);
            return;
        }
        let is_suspected = self.gw.fleet().crashes.is_suspected(self.content);
        let check = record_closed(Arc::clone(&self.gw), self.run(), replica.clone());
        let check = tokio::spawn(check);
        if is_suspected {
            // The caller may repeat the request as soon as it has the response.
            let _ = tokio::time::timeout(CHECK_TIMEOUT, check).await;
        }
    }

    /// Determines whether the request may be sent to a replica, and how. Waits while other daemons' reports of its last
    /// crash may still arrive.
    ///
    /// # Errors
    /// The refusal, if replicas crash while running it or the deadline passes during the wait.
    pub(super) async fn check_treatment(&mut self) -> Result<(), Refusal> {
        self.trial = None;
        loop {
            let now = self.gw.now();
            let treatment = self.gw.fleet().treatment(self.content, now);
            match treatment {
                Treatment::Clear => self.isolation = None,
                Treatment::Isolated(isolation) => self.isolation = Some(isolation),
                Treatment::Pending(until) if !self.deadline.is_past(now) => {
                    self.gw.sleep(duration(until.min(self.deadline).since(now))).await;
                    continue;
                }
                Treatment::Pending(_) => return Err(self.final_refusal()),
                Treatment::Refused(refused) => return Err(self.refuse_for_crashes(&refused)),
            }
            return Ok(());
        }
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
        let now = gw.now();
        gw.fleet().crashes.record_answer(run.content, now);
        return;
    }
    // A replica that leaves as planned closes its connections too.
    let has_left = gw.fleet().has_left(&replica);
    if !has_left {
        record_if_crashed(gw, run, replica).await;
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
        (fleet.crashes.record_crash(run.content, replica.start_id(), broken_at), fleet.mark_unreachable(&replica, gw.now()))
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
        parts = run.part_names(),
        replica = %replica.id,
        hall = %replica.hall,
        ends = crashes
    );
}

//! Requests under which replicas end: seeing that one did, and how such a request is treated.

use std::{sync::Arc, time::Duration};

use dahliaseam_core::{
    content::ContentHash,
    fleet::{
        endings::{Refused, Standing},
        replica::ReplicaFacts,
    },
};

use crate::{
    clock::duration,
    emit,
    gateway::{answer::Refusal, attempt::CallFailure, request::Job, state::Gateway},
};

/// Time for which a request's next try waits for what became of the replica: some times the way there and back and
/// what a living one is listened to. A link that is cut would hold it up for longer, and says nothing.
const LOOK: Duration = Duration::from_millis(30);

/// A run that tells whether a request is to blame. It is over when this is dropped.
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

impl Job {
    /// Begin a run that tells whether it is to blame, if it is in such doubt.
    pub(super) fn begin_trial(&self) -> Option<Trial> {
        if !self.apart.is_some_and(|apart| apart.single_replica) {
            return None;
        }
        let now = self.gw.now();
        self.gw.fleet().crashes.begin_trial(self.content, now);
        Some(Trial { gw: Arc::clone(&self.gw), content: self.content })
    }

    /// If its connection broke, look what became of the replica.
    pub(super) async fn look_if_broken(&self, replica: &ReplicaFacts, why: &CallFailure) {
        if matches!(why, CallFailure::Broke(_)) {
            self.look_at_replica(replica.clone()).await;
        }
    }

    /// Its connection to a replica broke: find out whether the replica ended, and note that.
    pub(super) async fn look_at_replica(&self, replica: ReplicaFacts) {
        let noted = note_if_ended(Arc::clone(&self.gw), self.content, self.caller.id.clone(), replica);
        // A task of its own, so that it is noted also if the caller leaves now, or if it takes longer.
        let noted = tokio::spawn(noted);
        if let Ok(Err(e)) = tokio::time::timeout(LOOK, noted).await {
            emit!(error, REPLICA_ENDED, request = self.caller.id, content = %self.content, why = %e);
        }
    }

    /// Find out whether it may be sent to a replica at all, and how.
    ///
    /// # Errors
    /// The refusal, if replicas end under it.
    pub(super) async fn look_at_standing(&mut self) -> Result<(), Refusal> {
        self.trial = None;
        loop {
            let now = self.gw.now();
            let standing = self.gw.fleet().verdict(self.content, now);
            match standing {
                Standing::Clear => self.apart = None,
                Standing::Apart(apart) => self.apart = Some(apart),
                Standing::Unsettled(until) if !self.deadline.is_past(now) => {
                    self.gw.pause(duration(until.min(self.deadline).since(now))).await;
                    continue;
                }
                Standing::Unsettled(_) => return Err(self.last_word()),
                Standing::Refused(refused) => return Err(self.refuse_blamed(&refused)),
            }
            return Ok(());
        }
    }

    fn refuse_blamed(&self, refused: &Refused) -> Refusal {
        let now = self.gw.now();
        emit!(
            info,
            REFUSED_BLAMED,
            request = self.caller.id,
            content = %self.content,
            route = %self.route.name,
            ends = refused.ends,
            known_by = refused.known_by.name(),
            age_ms = now.since(refused.since).as_millis(),
            left_ms = refused.until.since(now).as_millis(),
            ran = self.has_run()
        );
        if self.has_run() { self.last_word() } else { Refusal::ReplicasEnded }
    }
}

async fn note_if_ended(gw: Arc<Gateway>, content: ContentHash, request: String, replica: ReplicaFacts) {
    let at = gw.now();
    // Where another start of it listens by now this one is over as well.
    if !gw.upstream.is_gone(replica.address).await && !gw.fleet().is_replaced(&replica) {
        return;
    }
    let (ends, left_out) = {
        let mut fleet = gw.fleet();
        (fleet.crashes.ended(content, replica.start_id(), at), fleet.mark_unreachable(&replica, gw.now()))
    };
    gw.load_changed.notify_one();
    if left_out {
        emit!(warn, REPLICA_LEFT_OUT, replica = %replica.id, end = "nobody listens");
    }
    gw.metrics.replica_ended();
    emit!(info, REPLICA_ENDED, request, content = %content, replica = %replica.id, hall = %replica.hall, ends);
}

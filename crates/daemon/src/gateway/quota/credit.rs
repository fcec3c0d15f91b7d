//! Credit for requests, granted by the owners of a quota's shards.

use std::{net::SocketAddr, time::Duration};

use dahliaseam_core::{
    quota::{
        Credit,
        client::{CreditNeed, CreditStep},
        shard::CreditDecision,
        terms::ShardTerms,
    },
    team::Team,
    time::Span,
};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::{
    emit,
    gateway::{answer::Refusal, packet::Packet, peers, quota::lock, state::Gateway},
};

/// Time limit for an owner's reply, after which another owner is asked. A round trip takes a few milliseconds, and some
/// tens if a small VM is busy.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);

/// A request for credit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::gateway) struct CreditRequest {
    number: u64,
    shard: u8,
    team: String,
    units: u64,
}

/// Reply to a request for credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::gateway) struct CreditReply {
    number: u64,
    outcome: CreditOutcome,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum CreditOutcome {
    /// The units were taken; this many are left.
    Granted(u64),
    /// Only this many units are available.
    Denied(u64),
    /// The daemon does not own the shard, or does not know the team's quota.
    NotOwner,
}

/// Takes the cost of a request from its team's quota.
///
/// # Errors
/// The refusal, if not enough of the quota is left or no owner can be reached.
pub(in crate::gateway) async fn take(gw: &Gateway, request: &str, team: &Team, units: u64) -> Result<Credit, Refusal> {
    let Some(terms) = gw.quotas.terms(team) else {
        return Ok(Credit::requested_at(gw.now()));
    };
    let random = gw.random();
    let mut tried = Vec::new();
    loop {
        let asked_at = gw.now();
        let need = CreditNeed { team: &team.name, terms: &terms, cost: units, tie_breaker: random };
        let is_owned = |shard| gw.quotas.owner(shard).is_some();
        let next = lock(&gw.quotas.client).next_step(&need, &tried, is_owned, asked_at);
        let shard = match next {
            CreditStep::Ask(shard) => shard,
            CreditStep::Denied(wait) => return Err(denied(gw, request, team, units, wait)),
            CreditStep::Unavailable => return Err(unavailable(gw, request, team, units, &tried)),
        };
        tried.push(shard);
        let outcome = ask(gw, shard, &team.name, units).await;
        let now = gw.now();
        let mut client = lock(&gw.quotas.client);
        match outcome {
            Some(CreditOutcome::Granted(left)) => {
                client.record_level(&team.name, shard, left as f64, &terms, now);
                let credit = Credit::requested_at(asked_at);
                if credit.is_usable(now) {
                    gw.metrics.quota_units("granted", units);
                    return Ok(credit);
                }
            }
            Some(CreditOutcome::Denied(left)) => client.record_level(&team.name, shard, left as f64, &terms, now),
            Some(CreditOutcome::NotOwner) | None => client.mark_unavailable(shard, now),
        }
    }
}

fn denied(gw: &Gateway, request: &str, team: &Team, units: u64, wait: Option<Span>) -> Refusal {
    let wait_ms = wait.map(Span::as_millis);
    emit!(info, QUOTA_EXCEEDED, request, team = %team.name, units, wait_ms);
    gw.metrics.quota_units("refused", units);
    Refusal::OverQuota { retry_after: wait }
}

fn unavailable(gw: &Gateway, request: &str, team: &Team, units: u64, tried: &[u8]) -> Refusal {
    emit!(warn, QUOTA_UNAVAILABLE, request, team = %team.name, units, shards = ?tried);
    gw.metrics.quota_units("unavailable", units);
    Refusal::QuotaUnavailable
}

/// Asks the owner of a shard; `None` without a reply.
async fn ask(gw: &Gateway, shard: u8, team: &str, units: u64) -> Option<CreditOutcome> {
    let owner = gw.quotas.owner(shard)?;
    if owner.run == gw.run_id {
        return Some(grant(gw, shard, team, units));
    }
    let number = gw.random();
    let (tx, rx) = oneshot::channel();
    lock(&gw.quotas.pending_replies).insert(number, tx);
    let packet = Packet::AskCredit(CreditRequest { number, shard, team: team.to_owned(), units });
    peers::send_packet(gw, &packet, &[owner.address]).await;
    let reply = tokio::time::timeout(REPLY_TIMEOUT, rx).await;
    lock(&gw.quotas.pending_replies).remove(&number);
    reply.ok()?.ok().map(|reply| reply.outcome)
}

/// Replies to a request for credit.
pub(in crate::gateway) async fn handle_request(gw: &Gateway, from: SocketAddr, request: CreditRequest) {
    let outcome = grant(gw, request.shard, &request.team, request.units);
    let reply = CreditReply { number: request.number, outcome };
    peers::send_packet(gw, &Packet::Credit(reply), &[from]).await;
}

pub(in crate::gateway) fn handle_reply(gw: &Gateway, reply: CreditReply) {
    if let Some(tx) = lock(&gw.quotas.pending_replies).remove(&reply.number) {
        // The requester may have stopped waiting and asked another owner.
        let _ = tx.send(reply);
    }
}

fn grant(gw: &Gateway, shard: u8, team: &str, units: u64) -> CreditOutcome {
    let Some(terms) = terms_of(gw, team) else {
        return CreditOutcome::NotOwner;
    };
    let mut owned = lock(&gw.quotas.owned);
    let now = gw.now();
    let Some(owned) = owned.get_mut(&shard).filter(|owned| owned.authority.holds(now)) else {
        return CreditOutcome::NotOwner;
    };
    match owned.buckets.take(team, &terms, units, now) {
        CreditDecision::Granted { left } => CreditOutcome::Granted(left as u64),
        CreditDecision::Denied { left } => CreditOutcome::Denied(left as u64),
    }
}

fn terms_of(gw: &Gateway, team: &str) -> Option<ShardTerms> {
    let table = gw.table()?;
    gw.quotas.terms(table.team(team)?)
}

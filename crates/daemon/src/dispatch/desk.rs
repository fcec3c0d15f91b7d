//! The dispatcher behind a lock, and the channels to the tasks that wait for its decisions.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use dahliaseam_core::{
    choose::{Candidate, Choice, Reason},
    dispatch::{Action, Dispatcher, Policy, Refusal, RetryDecision, Site},
    endpoint::{AdminState, EndpointKey, EngineLoad, PoolKey, Role},
    hash,
    outcome::{AttemptEnd, Outcome},
    request::{RequestKey, RequestSpec},
    time::Time,
};
use dahliaseam_wire::{
    operator::CandidateRecord,
    resource::{Document, EndpointSpec},
};
use slotmap::SecondaryMap;
use tokio::sync::mpsc;

/// Endpoint to which an attempt is sent.
#[derive(Clone, Debug)]
pub struct Target {
    /// Name of the endpoint.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
}

/// Attempt to make.
#[derive(Clone, Debug)]
pub struct Dispatch {
    /// Number of the attempt.
    pub attempt: u32,
    /// Endpoint that generates the answer.
    pub endpoint: Target,
    /// Endpoint that prefills the prompt, if it is another one.
    pub prefill: Option<Target>,
    /// Why the endpoint was chosen.
    pub reason: Reason,
    /// Predicted time to the first token, in milliseconds.
    pub predicted_first_ms: f64,
    /// Candidates that were compared.
    pub candidates: Vec<CandidateRecord>,
}

/// Command to the task of a request.
#[derive(Clone, Debug)]
pub enum Command {
    /// Make an attempt.
    Send(Dispatch),
    /// Stop the attempt and report that it ended in this way.
    Stop(AttemptEnd),
    /// Give the request up.
    Refuse {
        /// Outcome of the request.
        outcome: Outcome,
        /// Why it is refused.
        reason: Refusal,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
        /// Candidates at the last check of the pool.
        candidates: Vec<CandidateRecord>,
    },
}

/// Handle of a submitted request, which receives its commands. Dropping the `ActiveRequest` that holds it cancels the
/// request; dropping the ticket alone does not.
#[derive(Debug)]
pub struct Ticket {
    /// Key of the request.
    pub key: RequestKey,
    commands: mpsc::UnboundedReceiver<Command>,
}

impl Ticket {
    /// Waits for the next command.
    pub async fn next(&mut self) -> Option<Command> {
        self.commands.recv().await
    }

    /// Waits until the dispatcher stops the running attempt, and returns the end to report.
    pub async fn stopped(&mut self) -> AttemptEnd {
        loop {
            match self.next().await {
                Some(Command::Stop(end)) => return end,
                Some(_) => {}
                None => return AttemptEnd::Cancelled,
            }
        }
    }
}

#[derive(Debug)]
struct EndpointInfo {
    target: Target,
    spec: EndpointSpec,
}

#[derive(Debug)]
struct Inner {
    dispatcher: Dispatcher,
    pools: HashMap<String, PoolKey>,
    endpoints: HashMap<String, EndpointKey>,
    by_hash: HashMap<u64, EndpointKey>,
    endpoint_info: SecondaryMap<EndpointKey, EndpointInfo>,
    waiters: HashMap<RequestKey, mpsc::UnboundedSender<Command>>,
}

/// The dispatcher of one daemon, shared by its tasks.
#[derive(Debug)]
pub struct SharedDispatcher {
    inner: Mutex<Inner>,
}

/// State of one endpoint in the dispatcher.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// Role of the endpoint.
    pub role: Role,
    /// Whether it gets new work.
    pub open: bool,
    /// Whether it is ejected after failures.
    pub ejected: bool,
    /// Last load report.
    pub load: EngineLoad,
    /// When the load report was made.
    pub load_at: Time,
    /// Attempts of this daemon in flight at the endpoint.
    pub in_flight: u32,
    /// Concurrency window of the endpoint.
    pub window: f64,
    /// Uncached prompt tokens of this daemon's requests there that have had no token yet.
    pub own_prefill: f64,
}

impl SharedDispatcher {
    /// Creates a dispatcher without pools.
    #[must_use]
    pub fn new(policy: Policy, seed: u64, now: Time) -> Self {
        Self {
            inner: Mutex::new(Inner {
                dispatcher: Dispatcher::new(policy, seed, now),
                pools: HashMap::new(),
                endpoints: HashMap::new(),
                by_hash: HashMap::new(),
                endpoint_info: SecondaryMap::new(),
                waiters: HashMap::new(),
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a newer configuration.
    pub fn configure(&self, doc: &Document, live: usize, now: Time) {
        let mut inner = self.lock();
        inner.remove_obsolete(doc, now);
        for (name, pool) in &doc.pools {
            let rates = pool.spec.rates;
            if let Some(key) = inner.pools.get(name).copied() {
                inner.dispatcher.set_rates(key, rates);
            } else {
                let key = inner.dispatcher.add_pool(rates);
                inner.pools.insert(name.clone(), key);
            }
        }
        let teams = doc.teams.iter().map(|(name, team)| (name.clone(), team.spec.rate));
        inner.dispatcher.set_team_rates(teams.collect(), live, now);
        for (name, endpoint) in &doc.endpoints {
            inner.add_endpoint(name, &endpoint.spec);
        }
    }

    /// Submits a request.
    ///
    /// # Errors
    /// Why it is refused immediately, and when to retry.
    pub fn submit(
        &self,
        pool: &str,
        team: &str,
        spec: impl FnOnce(PoolKey) -> RequestSpec,
        now: Time,
    ) -> Result<Ticket, (Refusal, Time)> {
        let mut inner = self.lock();
        let Some(pool) = inner.pools.get(pool).copied() else {
            return Err((Refusal::NoEndpoint, now));
        };
        let key = inner.dispatcher.submit(team, spec(pool), now)?;
        let (tx, commands) = mpsc::unbounded_channel();
        inner.waiters.insert(key, tx);
        inner.pump(pool, now);
        Ok(Ticket { key, commands })
    }

    /// Records received tokens.
    pub fn progress(&self, key: RequestKey, tokens: u32, now: Time) {
        self.lock().dispatcher.progress(key, tokens, now);
    }

    /// Records how an attempt ended.
    pub fn attempt_ended(&self, key: RequestKey, end: AttemptEnd, at: Site, now: Time) -> RetryDecision {
        let mut inner = self.lock();
        let pool = inner.dispatcher.request(key).map(|r| r.spec.pool);
        let next = inner.dispatcher.attempt_ended(key, end, at, now);
        if let RetryDecision::Finished(_) = next {
            inner.waiters.remove(&key);
        }
        if let Some(pool) = pool {
            inner.pump(pool, now);
        }
        next
    }

    /// Removes a request if it is still present.
    pub fn cancel(&self, key: RequestKey, now: Time) {
        let mut inner = self.lock();
        inner.waiters.remove(&key);
        let pool = inner.dispatcher.request(key).map(|r| r.spec.pool);
        inner.dispatcher.cancel(key, now);
        if let Some(pool) = pool {
            inner.pump(pool, now);
        }
    }

    /// Runs the time-dependent parts of the dispatcher.
    pub fn tick(&self, now: Time) {
        let mut inner = self.lock();
        let actions = inner.dispatcher.tick(now);
        inner.execute(actions, now);
    }

    /// Opens or closes an endpoint to new work; returns whether its state changed.
    pub fn set_admin_state(&self, name: &str, state: AdminState, now: Time) -> bool {
        let mut inner = self.lock();
        let Some(key) = inner.endpoints.get(name).copied() else { return false };
        let previous = inner.dispatcher.endpoint(key).map(|row| row.admin_state);
        let actions = inner.dispatcher.set_admin_state(key, state);
        inner.execute(actions, now);
        previous != Some(state)
    }

    /// Sets the role of an endpoint.
    pub fn set_role(&self, name: &str, role: Role) {
        let mut inner = self.lock();
        if let Some(key) = inner.endpoints.get(name).copied() {
            inner.dispatcher.set_role(key, role);
        }
    }

    /// Applies a load report.
    pub fn observe(&self, name: &str, load: EngineLoad, at: Time) {
        let mut inner = self.lock();
        if let Some(key) = inner.endpoints.get(name).copied() {
            inner.dispatcher.observe(key, load, at);
        }
    }

    /// Applies a load report from a peer, and the number of prompt tokens that the peer itself has outstanding at the
    /// endpoint. `endpoint` is the hash of its name.
    pub fn observe_by_hash(&self, endpoint: u64, load: EngineLoad, at: Time, peer_prefill: f64) {
        let mut inner = self.lock();
        let Some(key) = inner.by_hash.get(&endpoint).copied() else { return };
        inner.dispatcher.observe(key, load, at);
        if let Some(row) = inner.dispatcher.endpoint_mut(key) {
            // Reports of several peers overlap, so a slow moving average is more accurate than a sum.
            row.peer_prefill_tokens = 0.5_f64.mul_add(row.peer_prefill_tokens, 0.5 * peer_prefill);
        }
    }

    /// Records a change in an endpoint's prefix cache.
    pub fn cache_event(&self, name: &str, prefix: u64, cached: bool, now: Time) {
        let mut inner = self.lock();
        let Some(key) = inner.endpoints.get(name).copied() else { return };
        let Some(row) = inner.dispatcher.endpoint_mut(key) else { return };
        if cached {
            row.add_prefix(prefix, now);
        } else {
            row.remove_prefix(prefix);
        }
    }

    /// Numbers of this daemon's requests at an endpoint: those that no planned change may interrupt, and others.
    #[must_use]
    pub fn in_flight(&self, name: &str) -> (usize, usize) {
        let inner = self.lock();
        let key = inner.endpoints.get(name);
        key.map_or((0, 0), |key| inner.dispatcher.in_flight(*key))
    }

    /// Numbers of all requests, and of those that wait.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let inner = self.lock();
        (inner.dispatcher.request_count(), inner.dispatcher.waiting_count())
    }

    /// Demand that arrived at this daemon for a pool: short and long average.
    #[must_use]
    pub fn demand(
        &self,
        pool: &str,
        now: Time,
    ) -> Option<(dahliaseam_core::mix::TokenDemand, dahliaseam_core::mix::TokenDemand)> {
        let inner = self.lock();
        let mix = inner.dispatcher.demand(*inner.pools.get(pool)?)?;
        Some((mix.short(now), mix.long(now)))
    }

    /// All endpoints by name.
    #[must_use]
    pub fn endpoints(&self, now: Time) -> HashMap<String, EndpointView> {
        let inner = self.lock();
        let view = |key: EndpointKey| {
            let row = inner.dispatcher.endpoint(key)?;
            Some(EndpointView {
                role: row.role,
                open: row.is_open(now),
                ejected: row.health.ejected_until(now).is_some(),
                load: row.report,
                load_at: row.report_at,
                in_flight: row.window.in_flight(),
                window: row.window.size(),
                own_prefill: row.own_prefill_tokens,
            })
        };
        let named = inner.endpoints.iter();
        named.filter_map(|(name, key)| Some((name.clone(), view(*key)?))).collect()
    }
}

impl Inner {
    fn remove_obsolete(&mut self, doc: &Document, now: Time) {
        let if_obsolete = |(name, key): (&String, &EndpointKey)| {
            let new = doc.endpoints.get(name).map(|e| &e.spec);
            let unchanged = new.is_some_and(|new| {
                let current = &self.endpoint_info[*key].spec;
                (&new.pool, &new.address) == (&current.pool, &current.address)
            });
            (!unchanged).then(|| (name.clone(), *key))
        };
        let obsolete: Vec<_> = self.endpoints.iter().filter_map(if_obsolete).collect();
        for (name, key) in obsolete {
            self.endpoints.remove(&name);
            self.by_hash.remove(&hash::bytes(name.as_bytes()));
            let actions = self.dispatcher.remove_endpoint(key);
            self.execute(actions, now);
        }
        let pools: HashSet<_> = doc.pools.keys().collect();
        self.pools.retain(|name, _| pools.contains(name));
    }

    fn add_endpoint(&mut self, name: &str, spec: &EndpointSpec) {
        let Some(pool) = self.pools.get(&spec.pool).copied() else { return };
        let Ok(address) = spec.address.parse() else { return };
        let key = if let Some(key) = self.endpoints.get(name) {
            *key
        } else {
            let key = self.dispatcher.add_endpoint(name, pool, spec.role);
            self.endpoints.insert(name.to_owned(), key);
            self.by_hash.insert(hash::bytes(name.as_bytes()), key);
            key
        };
        if let Some(row) = self.dispatcher.endpoint_mut(key) {
            row.adapters = spec.load.iter().map(|item| hash::bytes(item.as_bytes())).collect();
        }
        let target = Target { name: name.to_owned(), address };
        self.endpoint_info.insert(key, EndpointInfo { target, spec: spec.clone() });
    }

    fn pump(&mut self, pool: PoolKey, now: Time) {
        let actions = self.dispatcher.pump(pool, now);
        self.execute(actions, now);
    }

    fn execute(&mut self, actions: Vec<Action>, now: Time) {
        for action in actions {
            let (request, command) = match action {
                Action::Send { request, attempt, choice } => (request, self.send_command(attempt, &choice)),
                Action::Stop { request, end } => (request, Command::Stop(end)),
                Action::Refuse { request, outcome, reason, retry_at, candidates } => {
                    let command = Command::Refuse {
                        outcome,
                        reason,
                        retry_after_ms: retry_at.since(now).as_millis(),
                        candidates: self.candidates(&candidates),
                    };
                    if let Some(tx) = self.waiters.remove(&request) {
                        let _ = tx.send(command);
                    }
                    continue;
                }
            };
            if let Some(tx) = self.waiters.get(&request) {
                let _ = tx.send(command);
            }
        }
    }

    fn send_command(&self, attempt: u32, choice: &Choice) -> Command {
        let target = |key: EndpointKey| self.endpoint_info[key].target.clone();
        Command::Send(Dispatch {
            attempt,
            endpoint: target(choice.chosen.endpoint),
            prefill: choice.chosen.prefill.map(target),
            reason: choice.reason,
            predicted_first_ms: choice.chosen.prediction.first_token * 1_000.0,
            candidates: self.candidates(&choice.candidates),
        })
    }

    fn candidates(&self, candidates: &[Candidate]) -> Vec<CandidateRecord> {
        let name = |key: EndpointKey| self.endpoint_info.get(key).map(|k| k.target.name.clone());
        candidates
            .iter()
            .map(|c| CandidateRecord {
                endpoint: name(c.endpoint).unwrap_or_default(),
                prefill: c.prefill.and_then(name),
                first_ms: c.prediction.first_token * 1_000.0,
                whole_ms: c.prediction.total * 1_000.0,
                skipped: c.skipped,
            })
            .collect()
    }
}

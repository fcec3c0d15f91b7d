//! Simulation of daemons, engines and callers without a network, where some requests crash the engines that run them.
//!
//! By default there are twelve engines of 48 slots. Queries take 20 to 120 ms; their callers send them at most twice,
//! and each time a daemon makes at most two attempts. Chats take three to ten seconds, and a daemon makes only one
//! attempt of each. A fatal request crashes an engine 40 to 130 ms after it starts there, and its caller retries at any
//! daemon 30 to 150 ms after the answer. An engine is back 2.5 to 3.5 s after a crash. Messages take 2 to 12 ms.

use std::collections::HashMap;

use dahliaseam_core::{
    content::ContentHash,
    fleet::{
        endings::{CrashTracker, Recipients, RequestNote, Treatment},
        short_id,
    },
    hash::{self, rendezvous},
    time::{Span, Time},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::setting::{Outage, Scenario};

/// Time after the third crash within which all daemons must know of the request.
pub const REPORT_BOUND: Span = Span::millis(3_000);
/// Maximum number of daemons in a deployment in which all report to each other.
const MAX_FULL_MESH_DAEMONS: usize = 24;
/// Number of halls of a larger deployment.
const HALLS: usize = 3;
/// Time between two reports of a daemon for each peer that it has, but at least [`MIN_SEND_INTERVAL_US`] in total.
const SEND_INTERVAL_PER_PEER_US: u64 = 1_000;
/// Minimum time between two reports of a daemon.
const MIN_SEND_INTERVAL_US: u64 = 10_000;
/// Time between two summaries from one hall to another.
const HALL_SUMMARY_INTERVAL: Span = Span::millis(20);
/// Time until a daemon knows that a replica crashed.
const DETECTION_DELAY: Span = Span::millis(5);
/// Time from a daemon's first message until it accepts callers: it reads the configuration, and the load balancer
/// probes it once.
const STARTUP_TIME: Span = Span::millis(50);
/// Number of contents that many callers request.
const POPULAR_CONTENTS: u64 = 10;
const SLOTS_PER_ENGINE: usize = 48;

/// Result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Attempts of each fatal request later than [`REPORT_BOUND`] after its third crash.
    pub late_attempts: Vec<usize>,
    /// Engines that each fatal request crashed.
    pub crashes: Vec<usize>,
    /// Harmless requests.
    pub other_requests: usize,
    /// Harmless requests that lost an engine three times.
    pub lost_three_engines: usize,
    /// Refusals of harmless requests.
    pub wrongly_refused: usize,
    /// Longest refusal of a harmless request, in milliseconds.
    pub longest_refusal_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Fatal(usize),
    Query,
    Chat,
}

/// A caller's request, over all the times that it is sent.
#[derive(Clone, Debug)]
struct CallerRequest {
    kind: Kind,
    content: ContentHash,
    /// Number of times that its caller may send it, including this time.
    sends_left: usize,
    /// Attempts at engines since its caller last sent it.
    attempts: usize,
    engines_lost: usize,
}

/// An attempt in progress, or the wait of a daemon before the next one.
#[derive(Clone, Debug)]
struct Run {
    request: CallerRequest,
    daemon: usize,
    /// `usize::MAX` during a wait.
    engine: usize,
    ends_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Engine {
    start_count: u64,
    up_from: Time,
}

struct Message {
    deliver_at: Time,
    to: usize,
    from_hall: usize,
    notes: Vec<RequestNote>,
    relayed: bool,
    is_summary: bool,
}

pub struct Simulation {
    scenario: Scenario,
    rng: SmallRng,
    now: Time,
    daemons: Vec<CrashTracker>,
    next_send_at: Vec<Time>,
    /// Time until which a daemon that is starting accepts no callers.
    down_until: Vec<Time>,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    /// Future requests and the times at which they arrive.
    arrivals: Vec<(Time, CallerRequest)>,
    /// Crashes that a daemon has yet to detect.
    detections: Vec<(Time, usize, ContentHash, String)>,
    messages: Vec<Message>,
    third_crash: HashMap<usize, Time>,
    outcome: Outcome,
    next_content: u64,
    outage_at: Time,
    outages: usize,
}

impl Simulation {
    pub fn run(scenario: Scenario) -> Outcome {
        let start = Time(1_000_000_000);
        let mut simulation = Self {
            scenario,
            rng: SmallRng::seed_from_u64(scenario.seed),
            now: start,
            daemons: vec![CrashTracker::default(); scenario.daemons],
            next_send_at: vec![start; scenario.daemons],
            down_until: vec![start; scenario.daemons],
            engines: vec![Engine { start_count: 0, up_from: start }; scenario.engines],
            runs: Vec::new(),
            arrivals: Vec::new(),
            detections: Vec::new(),
            messages: Vec::new(),
            third_crash: HashMap::new(),
            outcome: Outcome {
                late_attempts: vec![0; scenario.fatal_requests],
                crashes: vec![0; scenario.fatal_requests],
                ..Outcome::default()
            },
            next_content: 0,
            outage_at: start + Span::millis(3_000),
            outages: 0,
        };
        for fatal in 0..scenario.fatal_requests {
            for _ in 0..scenario.callers_per_fatal {
                let content = ContentHash(rendezvous(scenario.seed, fatal as u64));
                let request = CallerRequest {
                    kind: Kind::Fatal(fatal),
                    content,
                    sends_left: usize::MAX,
                    attempts: 0,
                    engines_lost: 0,
                };
                simulation.arrivals.push((start + Span::millis(2_000), request));
            }
        }
        let end = start + scenario.duration;
        while simulation.now < end {
            simulation.tick();
        }
        simulation.outcome
    }

    fn tick(&mut self) {
        self.now = self.now + Span::millis(1);
        self.process_arrivals();
        self.inject_outage();
        self.finish_runs();
        self.detect_crashes();
        self.restart_daemons();
        self.send_reports();
        self.receive_messages();
    }

    fn random_span(&mut self, from: u64, to: u64) -> Span {
        Span(self.rng.random_range(from * 1_000..to * 1_000))
    }

    fn process_arrivals(&mut self) {
        for (kind, per_second) in [(Kind::Query, self.scenario.queries_per_second), (Kind::Chat, 20.0)] {
            if self.rng.random_bool(per_second / 1_000.0) {
                self.next_content += 1;
                let is_popular = kind == Kind::Query && self.rng.random_bool(self.scenario.popular_share);
                let number = if is_popular {
                    self.rng.random_range(0..POPULAR_CONTENTS)
                } else {
                    POPULAR_CONTENTS + self.next_content
                };
                let content = ContentHash(rendezvous(self.scenario.seed ^ 0x5eed, number));
                self.outcome.other_requests += 1;
                let sends_left = self.scenario.harmless_sends.0;
                self.arrivals
                    .push((self.now, CallerRequest { kind, content, sends_left, attempts: 0, engines_lost: 0 }));
            }
        }
        let now = self.now;
        let due: Vec<CallerRequest> =
            self.arrivals.extract_if(.., |(at, _)| at.is_past(now)).map(|(_, request)| request).collect();
        for request in due {
            let daemon = self.rng.random_range(0..self.scenario.daemons);
            if self.down_until[daemon].is_past(self.now) {
                self.handle_request(request, daemon);
            } else {
                self.schedule_caller_retry(request);
            }
        }
    }

    /// Handles a request at a daemon, on arrival or after a failed attempt.
    fn handle_request(&mut self, mut request: CallerRequest, daemon: usize) {
        let cut_off = self.scenario.cut_off && daemon == 0 && self.scenario.daemons > 1;
        let daemons = if cut_off { 1 } else { self.scenario.daemons };
        match self.daemons[daemon].treatment(request.content, daemons, cut_off, self.now) {
            Treatment::Pending(until) => self.arrivals.push((until, request)),
            Treatment::Refused(refused) => self.handle_refusal(request, refused.until),
            Treatment::OnTrial => self.handle_refusal(request, self.now),
            treatment => {
                let is_isolated = matches!(treatment, Treatment::Isolated(_));
                let is_single_replica = matches!(treatment, Treatment::Isolated(isolation) if isolation.single_replica);
                let by_content = is_isolated && self.scenario.isolate_suspects;
                let Some(engine) = self.choose_engine(&request, by_content) else {
                    return self.schedule_caller_retry(request);
                };
                request.attempts += 1;
                if let Kind::Fatal(fatal) = request.kind
                    && self.third_crash.get(&fatal).is_some_and(|at| (*at + REPORT_BOUND).is_past(self.now))
                {
                    self.outcome.late_attempts[fatal] += 1;
                }
                let duration = match request.kind {
                    Kind::Fatal(_) => self.random_span(40, 130),
                    Kind::Query => self.random_span(20, 120),
                    Kind::Chat => self.random_span(3_000, 10_000),
                };
                if self.scenario.run_trials && is_single_replica {
                    self.daemons[daemon].begin_trial(request.content, self.now);
                }
                self.runs.push(Run { request, daemon, engine, ends_at: self.now + duration });
            }
        }
    }

    fn choose_engine(&mut self, request: &CallerRequest, by_content: bool) -> Option<usize> {
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].up_from.is_past(self.now))
            .filter(|engine| self.runs.iter().filter(|run| run.engine == *engine).count() < SLOTS_PER_ENGINE)
            .collect();
        if up.is_empty() {
            return None;
        }
        if by_content {
            let rank = |engine: &usize| rendezvous(request.content.0, hash::bytes(self.replica_id(*engine).as_bytes()));
            return up.into_iter().min_by_key(rank);
        }
        Some(up[self.rng.random_range(0..up.len())])
    }

    fn replica_id(&self, engine: usize) -> String {
        format!("i-{engine}-{}", self.engines[engine].start_count)
    }

    fn handle_refusal(&mut self, request: CallerRequest, until: Time) {
        if !matches!(request.kind, Kind::Fatal(_)) {
            self.outcome.wrongly_refused += 1;
            self.outcome.longest_refusal_ms = self.outcome.longest_refusal_ms.max(until.since(self.now).as_millis());
        }
        self.schedule_caller_retry(request);
    }

    /// Lets the caller of an unsuccessful request retry if it has not given up.
    fn schedule_caller_retry(&mut self, mut request: CallerRequest) {
        request.sends_left -= usize::from(request.sends_left != usize::MAX);
        request.attempts = 0;
        if request.sends_left > 0 {
            let (from, to) = if request.sends_left == usize::MAX {
                self.scenario.fatal_retry_ms
            } else {
                self.scenario.harmless_sends.1
            };
            let wait = self.random_span(from, to);
            self.arrivals.push((self.now + wait, request));
        }
    }

    fn inject_outage(&mut self) {
        if !self.outage_at.is_past(self.now) {
            return;
        }
        let engines = self.scenario.engines;
        match self.scenario.outage {
            Outage::None => self.outage_at = Time::NEVER,
            Outage::Rack => {
                for engine in 0..engines / 3 {
                    self.crash_engine(engine);
                }
                self.outages += 1;
                self.outage_at = if self.outages < 2 { self.now + Span::millis(4_000) } else { Time::NEVER };
            }
            Outage::Rolling => {
                self.crash_engine(self.outages % engines);
                self.outages += 1;
                self.outage_at = if self.outages < engines { self.now + Span::millis(80) } else { Time::NEVER };
            }
            Outage::Flap => {
                self.crash_engine(0);
                self.crash_engine(1);
                self.outage_at = self.now + Span::millis(3_600);
            }
        }
    }

    /// Crashes an engine; a daemon detects the crash if it has requests there.
    fn crash_engine(&mut self, engine: usize) {
        let replica = self.replica_id(engine);
        let lost: Vec<Run> = self.runs.extract_if(.., |run| run.engine == engine).collect();
        let downtime = self.random_span(2_500, 3_500);
        self.engines[engine] =
            Engine { start_count: self.engines[engine].start_count + 1, up_from: self.now + downtime };
        for run in lost {
            let at = self.now + DETECTION_DELAY;
            self.detections.push((at, run.daemon, run.request.content, replica.clone()));
            let mut request = run.request;
            request.engines_lost += 1;
            if !matches!(request.kind, Kind::Fatal(_)) && request.engines_lost == 3 {
                self.outcome.lost_three_engines += 1;
            }
            // A daemon does not retry a chat.
            let max_attempts = if request.kind == Kind::Chat { 1 } else { 2 };
            if request.attempts < max_attempts {
                self.schedule_daemon_retry(request, run.daemon);
            } else {
                self.schedule_caller_retry(request);
            }
        }
    }

    /// Lets a daemon retry a request after it has detected the crash.
    fn schedule_daemon_retry(&mut self, request: CallerRequest, daemon: usize) {
        let at = self.now + DETECTION_DELAY;
        self.runs.push(Run { request, daemon, engine: usize::MAX, ends_at: at });
    }

    fn finish_runs(&mut self) {
        let now = self.now;
        let finished: Vec<Run> = self.runs.extract_if(.., |run| run.ends_at.is_past(now)).collect();
        for run in finished {
            if run.engine == usize::MAX {
                self.detect_crashes();
                self.handle_request(run.request, run.daemon);
                continue;
            }
            match run.request.kind {
                Kind::Fatal(fatal) => {
                    self.outcome.crashes[fatal] += 1;
                    if self.outcome.crashes[fatal] == 3 {
                        self.third_crash.insert(fatal, self.now);
                    }
                    let engine = run.engine;
                    self.runs.push(run);
                    self.crash_engine(engine);
                }
                _ => self.daemons[run.daemon].record_answer(run.request.content, self.now),
            }
        }
    }

    fn detect_crashes(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.detections.extract_if(.., |(at, ..)| at.is_past(now)).collect();
        for (_, daemon, content, replica) in due {
            self.daemons[daemon].record_crash(content, short_id(&replica), now);
            self.daemons[daemon].end_trial(content);
            self.next_send_at[daemon] = self.next_send_at[daemon].min(now + Span(MIN_SEND_INTERVAL_US));
        }
    }

    fn restart_daemons(&mut self) {
        let Some(interval) = self.scenario.restart_every else {
            return;
        };
        if self.rng.random_bool(1_000.0 / interval.0 as f64) {
            let daemon = self.rng.random_range(0..self.scenario.daemons);
            self.daemons[daemon] = CrashTracker::default();
            // Its first message tells its peers that it is new. It accepts callers some time later.
            let halls = self.halls();
            let peers = (0..self.scenario.daemons).filter(|peer| peer % halls == daemon % halls && *peer != daemon);
            for peer in peers.collect::<Vec<_>>() {
                self.daemons[peer].resend_now(self.now);
            }
            self.down_until[daemon] = self.now + STARTUP_TIME;
        }
    }

    fn halls(&self) -> usize {
        if self.scenario.daemons <= MAX_FULL_MESH_DAEMONS { 1 } else { HALLS }
    }

    fn send_reports(&mut self) {
        let halls = self.halls();
        for daemon in 0..self.scenario.daemons {
            if !self.next_send_at[daemon].is_past(self.now) {
                continue;
            }
            let peers: Vec<usize> =
                (0..self.scenario.daemons).filter(|peer| peer % halls == daemon % halls && *peer != daemon).collect();
            let interval = MIN_SEND_INTERVAL_US.max(SEND_INTERVAL_PER_PEER_US * peers.len() as u64);
            self.next_send_at[daemon] = self.now + Span(interval);
            let notes = self.daemons[daemon].due_notes(Recipients::HallPeers, self.scenario.daemons, self.now);
            self.send(daemon, &peers, &notes, false, false);
        }
        // The first daemon of each hall sends the summary of its hall to the other halls.
        if halls > 1 && (self.now.0 / 1_000).is_multiple_of(HALL_SUMMARY_INTERVAL.as_millis()) {
            for hall in 0..halls {
                let notes = self.daemons[hall].due_notes(Recipients::OtherHalls, self.scenario.daemons, self.now);
                for other in (0..halls).filter(|other| *other != hall) {
                    let recipient = other + halls * self.rng.random_range(0..self.scenario.daemons / halls);
                    self.send(hall, &[recipient], &notes, true, false);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: &[usize], notes: &[RequestNote], is_summary: bool, relayed: bool) {
        if notes.is_empty() || (self.scenario.cut_off && from == 0) {
            return;
        }
        for to in to {
            if self.rng.random_bool(self.scenario.message_loss) || (self.scenario.cut_off && *to == 0) {
                continue;
            }
            let deliver_at = self.now + self.random_span(2, 12);
            let from_hall = from % self.halls();
            self.messages.push(Message { deliver_at, to: *to, from_hall, notes: notes.to_vec(), relayed, is_summary });
        }
    }

    fn receive_messages(&mut self) {
        let now = self.now;
        let due: Vec<Message> = self.messages.extract_if(.., |message| message.deliver_at.is_past(now)).collect();
        let halls = self.halls();
        for message in due {
            let in_hall = message.from_hall == message.to % halls;
            self.daemons[message.to].apply_notes(&message.notes, in_hall, now);
            if message.is_summary && !message.relayed {
                let own_hall = message.to % halls;
                let peers: Vec<usize> = (0..self.scenario.daemons).filter(|peer| peer % halls == own_hall).collect();
                let peers: Vec<usize> = peers.into_iter().filter(|peer| *peer != message.to).collect();
                let first_new = self.messages.len();
                self.send(message.to, &peers, &message.notes, true, true);
                for sent in &mut self.messages[first_new..] {
                    sent.from_hall = message.from_hall;
                }
            }
        }
    }
}

//! Daemons, engines and callers without a network, where some requests end the engines that run them.
//!
//! The figures are those seen: twelve engines of 48 slots; queries that take 20 to 120 ms and have two tries at
//! each of their caller's two requests; chats that take three to ten seconds; a request that ends an engine 40 to 130 ms
//! after it begins there, and comes again 30 to 150 ms after its answer, at any daemon; engines that are back
//! after 2.5 to 3.5 s. Messages take 2 to 12 ms.

use std::collections::HashMap;

use dahliaseam_core::{
    content::ContentHash,
    fleet::{
        endings::{Endings, Listeners, RequestNote, Standing},
        short_id,
    },
    hash::{self, rendezvous},
    time::{Span, Time},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::setting::{Setting, Trouble};

/// Time from the third end on in which all daemons must know.
pub const CONTACT: Span = Span::millis(3_000);
/// Daemons up to which all tell all.
const ALL_TELL_ALL: usize = 24;
/// Halls of a larger deployment.
const HALLS: usize = 3;
/// Time between two messages for each daemon that is told, and at least.
const EACH_US: u64 = 1_000;
/// See [`EACH_US`].
const SHORTEST_US: u64 = 10_000;
/// Time between two messages of one hall to another.
const SUM_UP: Span = Span::millis(20);
/// Time until a daemon knows that a replica ended.
const SEEN_AFTER: Span = Span::millis(5);
/// Time from a daemon's first message until it takes callers: it reads the configuration, and the balancer asks it
/// once.
const STARTING: Span = Span::millis(50);
/// Contents that many callers ask for.
const POPULAR: u64 = 10;
/// Slots of an engine.
const SLOTS: usize = 48;

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Sends of each request that ends engines, later than the bound after its third end.
    pub late_sends: Vec<usize>,
    /// Engines that ended under each.
    pub ends: Vec<usize>,
    /// Requests of others.
    pub others: usize,
    /// Of these, how many lost an engine three times.
    pub thrice: usize,
    /// Refusals of others as if they ended engines.
    pub refused: usize,
    /// Milliseconds for which one of them was refused, at most.
    pub longest_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Fatal(usize),
    Query,
    Chat,
}

/// A caller's request, over all its tries.
#[derive(Clone, Debug)]
struct Asked {
    kind: Kind,
    content: ContentHash,
    /// Tries that its caller has left, this one included.
    asks_left: usize,
    /// Tries at engines in this one.
    tries: usize,
    ended: usize,
}

#[derive(Clone, Debug)]
struct Run {
    asked: Asked,
    daemon: usize,
    engine: usize,
    over_at: Time,
}

#[derive(Clone, Copy, Debug)]
struct Engine {
    start: u64,
    up_from: Time,
}

struct Message {
    at: Time,
    to: usize,
    from_hall: usize,
    notes: Vec<RequestNote>,
    passed_on: bool,
    sums_up: bool,
}

pub struct World {
    set: Setting,
    rng: SmallRng,
    now: Time,
    daemons: Vec<Endings>,
    tell_at: Vec<Time>,
    /// Until when a daemon that starts takes no callers.
    down_until: Vec<Time>,
    engines: Vec<Engine>,
    runs: Vec<Run>,
    /// Requests that come at a time.
    coming: Vec<(Time, Asked)>,
    /// Ends that a daemon is about to see.
    seen: Vec<(Time, usize, ContentHash, String)>,
    messages: Vec<Message>,
    third_end: HashMap<usize, Time>,
    out: Outcome,
    next: u64,
    trouble_at: Time,
    troubles: usize,
}

impl World {
    pub fn play(set: Setting) -> Outcome {
        let start = Time(1_000_000_000);
        let mut world = Self {
            set,
            rng: SmallRng::seed_from_u64(set.seed),
            now: start,
            daemons: vec![Endings::default(); set.daemons],
            tell_at: vec![start; set.daemons],
            down_until: vec![start; set.daemons],
            engines: vec![Engine { start: 0, up_from: start }; set.engines],
            runs: Vec::new(),
            coming: Vec::new(),
            seen: Vec::new(),
            messages: Vec::new(),
            third_end: HashMap::new(),
            out: Outcome { late_sends: vec![0; set.fatal], ends: vec![0; set.fatal], ..Outcome::default() },
            next: 0,
            trouble_at: start + Span::millis(3_000),
            troubles: 0,
        };
        for fatal in 0..set.fatal {
            for _ in 0..set.callers {
                let content = ContentHash(rendezvous(set.seed, fatal as u64));
                let asked = Asked { kind: Kind::Fatal(fatal), content, asks_left: usize::MAX, tries: 0, ended: 0 };
                world.coming.push((start + Span::millis(2_000), asked));
            }
        }
        let over = start + set.length;
        while world.now < over {
            world.tick();
        }
        world.out
    }

    fn tick(&mut self) {
        self.now = self.now + Span::millis(1);
        self.callers();
        self.trouble();
        self.runs_end();
        self.ends_are_seen();
        self.restart();
        self.tell();
        self.hear();
    }

    fn ms(&mut self, from: u64, to: u64) -> Span {
        Span(self.rng.random_range(from * 1_000..to * 1_000))
    }

    fn callers(&mut self) {
        for (kind, a_second) in [(Kind::Query, self.set.queries), (Kind::Chat, 20.0)] {
            if self.rng.random_bool(a_second / 1_000.0) {
                self.next += 1;
                let is_popular = kind == Kind::Query && self.rng.random_bool(self.set.popular);
                let number = if is_popular { self.rng.random_range(0..POPULAR) } else { POPULAR + self.next };
                let content = ContentHash(rendezvous(self.set.seed ^ 0x5eed, number));
                self.out.others += 1;
                let asks_left = self.set.asks.0;
                self.coming.push((self.now, Asked { kind, content, asks_left, tries: 0, ended: 0 }));
            }
        }
        let now = self.now;
        let due: Vec<Asked> = self.coming.extract_if(.., |(at, _)| at.is_past(now)).map(|(_, asked)| asked).collect();
        for asked in due {
            let daemon = self.rng.random_range(0..self.set.daemons);
            if self.down_until[daemon].is_past(self.now) {
                self.ask(asked, daemon);
            } else {
                self.come_back(asked);
            }
        }
    }

    /// A daemon has a request, anew or after a try.
    fn ask(&mut self, mut asked: Asked, daemon: usize) {
        let alone = self.set.cut_off && daemon == 0 && self.set.daemons > 1;
        let daemons = if alone { 1 } else { self.set.daemons };
        match self.daemons[daemon].standing(asked.content, daemons, alone, self.now) {
            Standing::Unsettled(until) => self.coming.push((until, asked)),
            Standing::Refused(refused) => self.refused(asked, refused.until),
            standing => {
                let is_apart = matches!(standing, Standing::Apart(_));
                let is_whole = matches!(standing, Standing::Apart(apart) if apart.single_replica);
                let drawn = is_apart && self.set.apart;
                let Some(engine) = self.place(&asked, drawn) else {
                    return self.come_back(asked);
                };
                asked.tries += 1;
                if let Kind::Fatal(fatal) = asked.kind
                    && self.third_end.get(&fatal).is_some_and(|at| (*at + CONTACT).is_past(self.now))
                {
                    self.out.late_sends[fatal] += 1;
                }
                let took = match asked.kind {
                    Kind::Fatal(_) => self.ms(40, 130),
                    Kind::Query => self.ms(20, 120),
                    Kind::Chat => self.ms(3_000, 10_000),
                };
                if self.set.trial && is_whole {
                    self.daemons[daemon].begin_trial(asked.content, self.now);
                }
                self.runs.push(Run { asked, daemon, engine, over_at: self.now + took });
            }
        }
    }

    fn place(&mut self, asked: &Asked, drawn: bool) -> Option<usize> {
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|engine| self.engines[*engine].up_from.is_past(self.now))
            .filter(|engine| self.runs.iter().filter(|run| run.engine == *engine).count() < SLOTS)
            .collect();
        if up.is_empty() {
            return None;
        }
        if drawn {
            let draw = |engine: &usize| rendezvous(asked.content.0, hash::bytes(self.name(*engine).as_bytes()));
            return up.into_iter().min_by_key(draw);
        }
        Some(up[self.rng.random_range(0..up.len())])
    }

    fn name(&self, engine: usize) -> String {
        format!("i-{engine}-{}", self.engines[engine].start)
    }

    fn refused(&mut self, asked: Asked, until: Time) {
        if !matches!(asked.kind, Kind::Fatal(_)) {
            self.out.refused += 1;
            self.out.longest_ms = self.out.longest_ms.max(until.since(self.now).as_millis());
        }
        self.come_back(asked);
    }

    /// Its caller got an answer that is no success, and may come again.
    fn come_back(&mut self, mut asked: Asked) {
        asked.asks_left -= usize::from(asked.asks_left != usize::MAX);
        asked.tries = 0;
        if asked.asks_left > 0 {
            let (from, to) = if asked.asks_left == usize::MAX { self.set.again_ms } else { self.set.asks.1 };
            let wait = self.ms(from, to);
            self.coming.push((self.now + wait, asked));
        }
    }

    fn trouble(&mut self) {
        if !self.trouble_at.is_past(self.now) {
            return;
        }
        let engines = self.set.engines;
        match self.set.trouble {
            Trouble::None => self.trouble_at = Time::NEVER,
            Trouble::Rack => {
                for engine in 0..engines / 3 {
                    self.end(engine);
                }
                self.troubles += 1;
                self.trouble_at = if self.troubles < 2 { self.now + Span::millis(4_000) } else { Time::NEVER };
            }
            Trouble::Row => {
                self.end(self.troubles % engines);
                self.troubles += 1;
                self.trouble_at = if self.troubles < engines { self.now + Span::millis(80) } else { Time::NEVER };
            }
            Trouble::Flap => {
                self.end(0);
                self.end(1);
                self.trouble_at = self.now + Span::millis(3_600);
            }
        }
    }

    /// An engine ends; each daemon sees it by the requests that it has there.
    fn end(&mut self, engine: usize) {
        let replica = self.name(engine);
        let lost: Vec<Run> = self.runs.extract_if(.., |run| run.engine == engine).collect();
        let away = self.ms(2_500, 3_500);
        self.engines[engine] = Engine { start: self.engines[engine].start + 1, up_from: self.now + away };
        for run in lost {
            let at = self.now + SEEN_AFTER;
            self.seen.push((at, run.daemon, run.asked.content, replica.clone()));
            let mut asked = run.asked;
            asked.ended += 1;
            if !matches!(asked.kind, Kind::Fatal(_)) && asked.ended == 3 {
                self.out.thrice += 1;
            }
            // A chat is not tried again by its daemon.
            let tries = if asked.kind == Kind::Chat { 1 } else { 2 };
            if asked.tries < tries { self.wait(asked, run.daemon) } else { self.come_back(asked) }
        }
    }

    /// It stays with its daemon, which looks at the replica first.
    fn wait(&mut self, asked: Asked, daemon: usize) {
        let at = self.now + SEEN_AFTER;
        self.runs.push(Run { asked, daemon, engine: usize::MAX, over_at: at });
    }

    fn runs_end(&mut self) {
        let now = self.now;
        let over: Vec<Run> = self.runs.extract_if(.., |run| run.over_at.is_past(now)).collect();
        for run in over {
            if run.engine == usize::MAX {
                self.ends_are_seen();
                self.ask(run.asked, run.daemon);
                continue;
            }
            match run.asked.kind {
                Kind::Fatal(fatal) => {
                    self.out.ends[fatal] += 1;
                    if self.out.ends[fatal] == 3 {
                        self.third_end.insert(fatal, self.now);
                    }
                    let engine = run.engine;
                    self.runs.push(run);
                    self.end(engine);
                }
                _ => self.daemons[run.daemon].answered(run.asked.content, self.now),
            }
        }
    }

    fn ends_are_seen(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.seen.extract_if(.., |(at, ..)| at.is_past(now)).collect();
        for (_, daemon, content, replica) in due {
            self.daemons[daemon].ended(content, short_id(&replica), now);
            self.daemons[daemon].end_trial(content);
            self.tell_at[daemon] = self.tell_at[daemon].min(now + Span(SHORTEST_US));
        }
    }

    fn restart(&mut self) {
        let Some(every) = self.set.restart_every else {
            return;
        };
        if self.rng.random_bool(1_000.0 / every.0 as f64) {
            let daemon = self.rng.random_range(0..self.set.daemons);
            self.daemons[daemon] = Endings::default();
            // Its first message tells its mates that it is new; it takes callers some time after that.
            let halls = self.halls();
            let mates = (0..self.set.daemons).filter(|mate| mate % halls == daemon % halls && *mate != daemon);
            for mate in mates.collect::<Vec<_>>() {
                self.daemons[mate].resend_all(self.now);
            }
            self.down_until[daemon] = self.now + STARTING;
        }
    }

    fn halls(&self) -> usize {
        if self.set.daemons <= ALL_TELL_ALL { 1 } else { HALLS }
    }

    fn tell(&mut self) {
        let halls = self.halls();
        for daemon in 0..self.set.daemons {
            if !self.tell_at[daemon].is_past(self.now) {
                continue;
            }
            let mates: Vec<usize> =
                (0..self.set.daemons).filter(|mate| mate % halls == daemon % halls && *mate != daemon).collect();
            let pace = SHORTEST_US.max(EACH_US * mates.len() as u64);
            self.tell_at[daemon] = self.now + Span(pace);
            let notes = self.daemons[daemon].notes(Listeners::HallPeers, self.set.daemons, self.now);
            self.send(daemon, &mates, &notes, false, false);
        }
        // The first daemon of each hall sums it up for the others.
        if halls > 1 && (self.now.0 / 1_000).is_multiple_of(SUM_UP.as_millis()) {
            for hall in 0..halls {
                let notes = self.daemons[hall].notes(Listeners::Halls, self.set.daemons, self.now);
                for other in (0..halls).filter(|other| *other != hall) {
                    let one = other + halls * self.rng.random_range(0..self.set.daemons / halls);
                    self.send(hall, &[one], &notes, true, false);
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: &[usize], notes: &[RequestNote], sums_up: bool, passed_on: bool) {
        if notes.is_empty() || (self.set.cut_off && from == 0) {
            return;
        }
        for to in to {
            if self.rng.random_bool(self.set.loss) || (self.set.cut_off && *to == 0) {
                continue;
            }
            let at = self.now + self.ms(2, 12);
            let from_hall = from % self.halls();
            self.messages.push(Message { at, to: *to, from_hall, notes: notes.to_vec(), passed_on, sums_up });
        }
    }

    fn hear(&mut self) {
        let now = self.now;
        let due: Vec<Message> = self.messages.extract_if(.., |message| message.at.is_past(now)).collect();
        let halls = self.halls();
        for message in due {
            let in_hall = message.from_hall == message.to % halls;
            self.daemons[message.to].apply_notes(&message.notes, in_hall, now);
            if message.sums_up && !message.passed_on {
                let own = message.to % halls;
                let mates: Vec<usize> = (0..self.set.daemons).filter(|mate| mate % halls == own).collect();
                let mates: Vec<usize> = mates.into_iter().filter(|mate| *mate != message.to).collect();
                let before = self.messages.len();
                self.send(message.to, &mates, &message.notes, true, true);
                for sent in &mut self.messages[before..] {
                    sent.from_hall = message.from_hall;
                }
            }
        }
    }
}

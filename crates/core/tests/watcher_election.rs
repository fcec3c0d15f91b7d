//! Election of the store watchers in a hall of many daemons.
//!
//! Sixty daemons of one hall start together. The store has no changes, is unreachable, answers only some of the
//! daemons, or loses its watchers. The tests limit the number of calls and the time until the store is watched. Reports
//! between daemons are as old as in a hall of that size (60 to 400 ms).

use dahliaseam_core::{
    time::{Span, Time},
    watcher_election::{Election, ElectionTiming, HallPeer, Priority, WATCHERS},
};

/// Number of daemons in the hall.
const DAEMONS: usize = 60;
/// Number of daemons with a faster link than the others.
const FAST_LINKS: usize = 3;
/// Time between two checks of a daemon.
const CHECK_INTERVAL: Span = Span::millis(100);
/// Time until a change at one daemon is known to the others.
const REPORT_DELAY: Span = Span::millis(400);
/// Time until the store answers.
const ANSWER_DELAY: Span = Span::millis(4);
const TIMING: ElectionTiming = ElectionTiming { watch_deadline: Span::millis(5_000) };

#[derive(Debug)]
struct Daemon {
    priority: Priority,
    alive: bool,
    store_answers: bool,
    election: Election,
    watching: bool,
    /// When the store last answered it.
    answered_at: Option<Time>,
    /// Its reports: the time of each, and the time of the store's last answer if it watches.
    reports: Vec<(Time, Option<Time>)>,
    next_check: Time,
    /// When the running call ends.
    call_ends_at: Option<Time>,
    last_heard: Time,
}

#[derive(Debug)]
struct Hall {
    now: Time,
    daemons: Vec<Daemon>,
    calls: usize,
}

impl Hall {
    fn new() -> Self {
        let daemon = |n: usize| Daemon {
            priority: Priority { link_mbps: if n < FAST_LINKS { 200 } else { 20 }, run: n as u64 },
            alive: true,
            store_answers: true,
            election: Election::default(),
            watching: false,
            answered_at: None,
            reports: Vec::new(),
            next_check: Time(1_000_000 + n as u64 * 1_700),
            call_ends_at: None,
            last_heard: Time(0),
        };
        Self { now: Time(1_000_000), daemons: (0..DAEMONS).map(daemon).collect(), calls: 0 }
    }

    /// What peers know of a daemon after the delay of its reports.
    fn peer_view(&self, of: &Daemon) -> HallPeer {
        let known = of.reports.iter().rev().find(|(at, _)| (*at + REPORT_DELAY).is_past(self.now));
        let heard_at = if of.alive { self.now } else { of.last_heard };
        HallPeer { priority: of.priority, heard_at, watched_at: known.and_then(|(_, watched_at)| *watched_at) }
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while !end.is_past(self.now) {
            self.now = self.now + Span::millis(1);
            for n in 0..DAEMONS {
                self.step(n);
            }
        }
    }

    fn step(&mut self, n: usize) {
        let now = self.now;
        let peers: Vec<HallPeer> = if self.is_check_due(n) {
            self.daemons.iter().map(|daemon| self.peer_view(daemon)).collect()
        } else {
            Vec::new()
        };
        let is_due = self.is_check_due(n);
        let daemon = &mut self.daemons[n];
        if !daemon.alive {
            return;
        }
        if let Some(end) = daemon.call_ends_at.filter(|end| end.is_past(now)) {
            daemon.call_ends_at = None;
            if daemon.store_answers {
                daemon.election.record_answer();
                daemon.answered_at = Some(end);
                daemon.next_check = now + Span::millis(250);
            } else {
                daemon.next_check = now + daemon.election.record_failure(TIMING);
            }
            daemon.reports.push((now, daemon.answered_at));
            return;
        }
        if !is_due {
            return;
        }
        let elected = daemon.election.is_elected(daemon.watching, daemon.priority, &peers, TIMING, now);
        daemon.watching = elected;
        if elected {
            self.calls += 1;
            let wait = if daemon.store_answers { daemon.election.next_wait(TIMING) } else { Span::default() };
            daemon.call_ends_at = Some(now + wait + ANSWER_DELAY);
        } else {
            daemon.reports.push((now, None));
            daemon.next_check = now + CHECK_INTERVAL;
        }
    }

    fn is_check_due(&self, n: usize) -> bool {
        let daemon = &self.daemons[n];
        daemon.alive && daemon.call_ends_at.is_none() && daemon.next_check.is_past(self.now)
    }

    fn watching(&self) -> Vec<usize> {
        let watching = self.daemons.iter().enumerate().filter(|(_, daemon)| daemon.alive && daemon.watching);
        watching.map(|(n, _)| n).collect()
    }

    fn kill(&mut self, n: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[n];
        daemon.alive = false;
        daemon.watching = false;
        daemon.last_heard = now;
    }

    fn set_store_answers(&mut self, store_answers: bool) {
        for daemon in &mut self.daemons {
            daemon.store_answers = store_answers;
        }
    }

    fn is_watched(&self) -> bool {
        self.daemons.iter().any(|daemon| {
            daemon.alive
                && daemon.answered_at.is_some_and(|at| self.now.since(at) < TIMING.max_wait() + Span::millis(500))
        })
    }
}

#[test]
fn two_daemons_watch_quiet_store_and_others_never_start() {
    let mut hall = Hall::new();
    hall.run(Span::seconds(5.0));
    assert_eq!(hall.watching(), vec![FAST_LINKS - 2, FAST_LINKS - 1]);
    let before = hall.calls;
    hall.run(Span::seconds(60.0));
    assert_eq!(hall.watching(), vec![FAST_LINKS - 2, FAST_LINKS - 1]);
    // Each call of a watcher takes the time that it waits for changes, and is followed by a pause.
    let calls = hall.calls - before;
    assert!(calls <= WATCHERS * 27, "{calls} calls in a minute");
}

#[test]
fn others_take_over_within_seconds_when_both_watchers_die() {
    let mut hall = Hall::new();
    hall.run(Span::seconds(5.0));
    for n in hall.watching() {
        hall.kill(n);
    }
    let before = hall.calls;
    // Silence timeout of a peer, a few election delays, and an answer.
    hall.run(Span::millis(1_500));
    assert!(!hall.watching().is_empty(), "no daemon watches");
    hall.run(Span::seconds(5.0));
    assert!(hall.is_watched());
    assert!(hall.calls - before < 30, "{} calls for one change of watchers", hall.calls - before);
    assert_eq!(hall.watching().len(), WATCHERS);
}

#[test]
fn call_rate_is_bounded_while_store_is_unreachable() {
    let mut hall = Hall::new();
    hall.run(Span::seconds(5.0));
    hall.set_store_answers(false);
    hall.run(Span::seconds(5.0));
    let before = hall.calls;
    hall.run(Span::seconds(20.0));
    let calls_per_second = (hall.calls - before) / 20;
    assert!(calls_per_second <= 30, "{calls_per_second} calls per second");
    hall.set_store_answers(true);
    hall.run(Span::seconds(3.0));
    assert!(hall.is_watched(), "the hall watches the store again within 3 s");
    hall.run(Span::seconds(4.0));
    assert_eq!(hall.watching().len(), WATCHERS);
}

#[test]
fn only_daemon_with_store_access_watches_for_hall() {
    let mut hall = Hall::new();
    hall.set_store_answers(false);
    hall.daemons[FAST_LINKS + 4].store_answers = true;
    hall.run(TIMING.watch_deadline + Span::seconds(3.0));
    assert!(hall.is_watched());
    assert!(hall.watching().contains(&(FAST_LINKS + 4)));
}

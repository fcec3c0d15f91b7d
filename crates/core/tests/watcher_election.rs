//! Turns at following the store, in halls of many daemons.
//!
//! The load: sixty daemons of one hall that start together before a store that is quiet, goes away,
//! answers only some of them, or loses the daemons that follow it. Figures are counts of calls and
//! times, with news among mates as old as a hall of that size makes it (60 to 400 ms).

use dahliaseam_core::{
    time::{Span, Time},
    watcher_election::{Election, ElectionTiming, HallPeer, Priority, WATCHERS},
};

/// Daemons of the hall.
const DAEMONS: usize = 60;
/// Daemons of it whose links are better than the others'.
const BETTER: usize = 3;
/// Time between two looks of a daemon.
const LOOK: Span = Span::millis(100);
/// Time until a change of one daemon is known to the others.
const NEWS: Span = Span::millis(400);
/// Time that an answer of the store takes.
const ANSWER: Span = Span::millis(4);
const TERMS: ElectionTiming = ElectionTiming { watch_deadline: Span::millis(5_000) };

#[derive(Debug)]
struct Daemon {
    rank: Priority,
    alive: bool,
    served: bool,
    turn: Election,
    watching: bool,
    /// When the store last answered it, and what others know of that.
    answered_at: Option<Time>,
    told: Vec<(Time, Option<Time>)>,
    next_look: Time,
    /// End of the call under way.
    call_over: Option<Time>,
    heard: Time,
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
            rank: Priority { link_mbps: if n < BETTER { 200 } else { 20 }, run: n as u64 },
            alive: true,
            served: true,
            turn: Election::default(),
            watching: false,
            answered_at: None,
            told: Vec::new(),
            next_look: Time(1_000_000 + n as u64 * 1_700),
            call_over: None,
            heard: Time(0),
        };
        Self { now: Time(1_000_000), daemons: (0..DAEMONS).map(daemon).collect(), calls: 0 }
    }

    /// What is known of a daemon after the time that news takes.
    fn mate(&self, of: &Daemon) -> HallPeer {
        let known = of.told.iter().rev().find(|(at, _)| (*at + NEWS).is_past(self.now));
        let heard_at = if of.alive { self.now } else { of.heard };
        HallPeer { priority: of.rank, heard_at, watched_at: known.and_then(|(_, followed)| *followed) }
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
        let mates: Vec<HallPeer> =
            if self.is_free(n) { self.daemons.iter().map(|daemon| self.mate(daemon)).collect() } else { Vec::new() };
        let due_now = self.is_free(n);
        let daemon = &mut self.daemons[n];
        if !daemon.alive {
            return;
        }
        if let Some(over) = daemon.call_over.filter(|over| over.is_past(now)) {
            daemon.call_over = None;
            if daemon.served {
                daemon.turn.record_answer();
                daemon.answered_at = Some(over);
                daemon.next_look = now + Span::millis(250);
            } else {
                daemon.next_look = now + daemon.turn.record_failure(TERMS);
            }
            daemon.told.push((now, daemon.answered_at));
            return;
        }
        if !due_now {
            return;
        }
        let due = daemon.turn.is_elected(daemon.watching, daemon.rank, &mates, TERMS, now);
        daemon.watching = due;
        if due {
            self.calls += 1;
            let wait = if daemon.served { daemon.turn.next_wait(TERMS) } else { Span::default() };
            daemon.call_over = Some(now + wait + ANSWER);
        } else {
            daemon.told.push((now, None));
            daemon.next_look = now + LOOK;
        }
    }

    fn is_free(&self, n: usize) -> bool {
        let daemon = &self.daemons[n];
        daemon.alive && daemon.call_over.is_none() && daemon.next_look.is_past(self.now)
    }

    fn watching(&self) -> Vec<usize> {
        let following = self.daemons.iter().enumerate().filter(|(_, daemon)| daemon.alive && daemon.watching);
        following.map(|(n, _)| n).collect()
    }

    fn kill(&mut self, n: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[n];
        daemon.alive = false;
        daemon.watching = false;
        daemon.heard = now;
    }

    fn serve_all(&mut self, served: bool) {
        for daemon in &mut self.daemons {
            daemon.served = served;
        }
    }

    fn is_followed(&self) -> bool {
        self.daemons.iter().any(|daemon| {
            daemon.alive
                && daemon.answered_at.is_some_and(|at| self.now.since(at) < TERMS.max_wait() + Span::millis(500))
        })
    }
}

#[test]
fn two_daemons_follow_a_quiet_store_and_the_others_never_take_turns() {
    let mut hall = Hall::new();
    hall.run(Span::seconds(5.0));
    assert_eq!(hall.watching(), vec![BETTER - 2, BETTER - 1]);
    let before = hall.calls;
    hall.run(Span::seconds(60.0));
    assert_eq!(hall.watching(), vec![BETTER - 2, BETTER - 1]);
    // A call of each follower takes its wait and the pause after it.
    let calls = hall.calls - before;
    assert!(calls <= WATCHERS * 27, "{calls} calls in a minute");
}

#[test]
fn others_take_over_within_seconds_when_both_followers_are_gone() {
    let mut hall = Hall::new();
    hall.run(Span::seconds(5.0));
    for n in hall.watching() {
        hall.kill(n);
    }
    let before = hall.calls;
    // Silence of a mate, a few turns, and an answer.
    hall.run(Span::millis(1_500));
    assert!(!hall.watching().is_empty(), "nobody follows");
    hall.run(Span::seconds(5.0));
    assert!(hall.is_followed());
    assert!(hall.calls - before < 30, "{} calls for one change of followers", hall.calls - before);
    assert_eq!(hall.watching().len(), WATCHERS);
}

#[test]
fn a_hall_whose_store_is_away_asks_some_ten_times_a_second_and_settles_after() {
    let mut hall = Hall::new();
    hall.run(Span::seconds(5.0));
    hall.serve_all(false);
    hall.run(Span::seconds(5.0));
    let before = hall.calls;
    hall.run(Span::seconds(20.0));
    let a_second = (hall.calls - before) / 20;
    assert!(a_second <= 30, "{a_second} calls a second");
    hall.serve_all(true);
    hall.run(Span::seconds(3.0));
    assert!(hall.is_followed(), "the hall follows again within the time allowed");
    hall.run(Span::seconds(4.0));
    assert_eq!(hall.watching().len(), WATCHERS);
}

#[test]
fn the_one_daemon_that_the_store_answers_follows_it_for_the_hall() {
    let mut hall = Hall::new();
    hall.serve_all(false);
    hall.daemons[BETTER + 4].served = true;
    hall.run(TERMS.watch_deadline + Span::seconds(3.0));
    assert!(hall.is_followed());
    assert!(hall.watching().contains(&(BETTER + 4)));
}

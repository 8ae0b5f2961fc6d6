//! What the accounts get while targets crash one after another, with the pool alone and its own
//! clock.

mod engines;

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
    ops::Range,
    time::Duration, //
};

use engines::{
    ENGINE,
    engines,
    millis, //
};
use redwingyard::{
    ids::Sequence,
    mesh::{
        Scope,
        Source, //
    },
    pool::{
        Fault,
        Output,
        Pool,
        Prompt,
        PromptPart,
        RequestSpec,
        Settings,
        TargetSpec, //
    }, //
};
use rstest::rstest;

/// The prompt tokens that an engine reads in a millisecond.
const READ_RATE: u64 = 112;

/// The time from the end of reading to the first event of a stream.
const FIRST_TIME: Duration = Duration::from_millis(45);

/// The tokens that all engines together produce in a second, as the rules state it.
const TOKEN_RATE: u64 = 900_000;

/// The time from the first event of a stream to its last.
const STREAM_TIME: Duration = Duration::from_millis(1_500);

/// The time between two requests: more than the engines can serve.
const ARRIVAL_INTERVAL: Duration = Duration::from_micros(2_300);

/// The number of engines.
const ENGINES: u32 = 12;

/// The number of accounts; the first one asks for five times its share.
const ACCOUNTS: u32 = 8;

/// The account that asks for more than its share.
const LARGE: u32 = 1;

/// One of the accounts that ask for no more than the others.
const OTHER: u32 = 3;

/// The prompt part that crashes the engines that are about to answer it.
const DEADLY: &str = "deadly";

/// The times at which engines crash where no part does it, in milliseconds.
const CRASHES: [u64; 3] = [12_000, 12_700, 13_400];

/// The time after which the successor of a crashed engine joins.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// When requests with the deadly part come, in milliseconds.
const DEADLY_TIME: Range<u64> = 12_000..26_000;

/// The seconds that begin twice the contact time of the users' rules, 3 s, after the last crash, with
/// two seconds to spare.
const AFTER: Range<u64> = 22..28;

/// The length of a play.
const END: Duration = Duration::from_secs(36);

/// Why engines crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Three of them, at [`CRASHES`].
    Failure,
    /// Each that is about to answer a request with [`DEADLY`].
    Part,
}

/// What happens at a time of the clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Gossip,
    /// A request of an account, and whether it was refused before.
    Arrive(u32, bool),
    First(Key),
    End(Key),
    Crash(u32),
    Join(u32),
}

/// A router and its sequence number of a request.
type Key = (usize, Sequence);

/// A request at an engine.
struct Run {
    target: u32,
    asked: Asked,
    /// When its answer begins or, once it has, ends.
    due: Duration,
}

/// A request that has not ended.
#[derive(Clone, Copy)]
struct Asked {
    account: u32,
    /// Whether it has the deadly part.
    deadly: bool,
    /// Whether it was refused before.
    again: bool,
}

/// Some routers, their engines and their requests.
struct World {
    pools: Vec<Pool>,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u32, Event)>>,
    serial: u32,
    targets: Vec<TargetSpec>,
    /// When each engine has read all prompts that it got.
    read: BTreeMap<u32, Duration>,
    /// The requests that have not ended.
    asked: BTreeMap<Key, Asked>,
    runs: BTreeMap<Key, Run>,
    /// The account and second of each request that was asked, and of each answer that began.
    arrived: Vec<(u32, u64)>,
    begun: Vec<(u32, u64)>,
    crashes: usize,
}

impl World {
    fn new(routers: usize) -> Self {
        let targets = engines(ENGINES);
        let pool = |rank| {
            let mut pool = Pool::new(Settings::default());
            let shares = (1..=ACCOUNTS).map(|account| (account, 1));
            pool.set_shares(shares.collect(), Some(TOKEN_RATE));
            pool.set_targets(Duration::ZERO, targets.clone());
            pool.set_routers(Duration::ZERO, routers);
            pool.set_rank(rank as u32);
            pool
        };
        Self {
            pools: (0..routers).map(pool).collect(),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            serial: 0,
            targets,
            read: BTreeMap::new(),
            asked: BTreeMap::new(),
            runs: BTreeMap::new(),
            arrived: Vec::new(),
            begun: Vec::new(),
            crashes: 0,
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at, self.serial, event)));
    }

    fn perform(&mut self, router: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send {
                    sequence,
                    target,
                    unread_tokens,
                    ..
                } => self.send((router, sequence), target, unread_tokens),
                Output::Refuse {
                    sequence, retry, ..
                } => {
                    let asked = self.asked[&(router, sequence)];
                    self.end((router, sequence), false);
                    self.ask_again(asked, retry);
                }
                Output::Keep { .. } => {}
                Output::Expire { sequence } => self.end((router, sequence), false),
                Output::Abandon { sequence } => self.lose((router, sequence)),
            }
        }
    }

    /// Lets a caller that was refused once come back in time.
    fn ask_again(&mut self, asked: Asked, retry: Duration) {
        if !asked.again && !asked.deadly {
            self.schedule(self.now + retry, Event::Arrive(asked.account, true));
        }
    }

    fn end(&mut self, key: Key, answered: bool) {
        self.asked.remove(&key);
        self.runs.remove(&key);
        let outputs = self.pools[key.0].end(self.now, key.1, answered);
        self.perform(key.0, outputs);
    }

    fn send(&mut self, key: Key, target: u32, unread: u64) {
        if !self.is_up(target) {
            // The engine is down and not yet gone from the registry.
            return self.fail(key, Fault::Unreachable);
        }
        let asked = self.asked[&key];
        let read = self.read.entry(target).or_default();
        *read = (*read).max(self.now) + millis(unread / READ_RATE + 5);
        let due = *read + FIRST_TIME;
        let run = Run { target, asked, due };
        self.runs.insert(key, run);
        self.schedule(due, Event::First(key));
    }

    /// Returns a request whose time has come; an event may be that of an earlier attempt.
    fn due_run(&mut self, key: Key) -> Option<&mut Run> {
        let now = self.now;
        self.runs.get_mut(&key).filter(|run| run.due == now)
    }

    fn is_up(&self, target: u32) -> bool {
        self.targets.iter().any(|spec| spec.target == target)
    }

    fn lose(&mut self, key: Key) {
        self.runs.remove(&key);
        let pool = &mut self.pools[key.0];
        if let Some(target) = pool.record_break(self.now, key.1) {
            if self.is_up(target) {
                self.pools[key.0].target_alive(target);
            } else {
                let outputs = self.pools[key.0].target_crashed(self.now, target);
                self.perform(key.0, outputs);
            }
        }
        self.fail(key, Fault::Lost);
    }

    fn fail(&mut self, key: Key, fault: Fault) {
        let pool = &mut self.pools[key.0];
        let outputs = pool.fail(self.now, key.1, fault);
        let again = pool.decide_retry(self.now, key.1, fault).is_allowed();
        self.perform(key.0, outputs);
        if !again {
            return self.end(key, false);
        }
        let outputs = self.pools[key.0].requeue(self.now, key.1);
        self.perform(key.0, outputs);
    }

    fn arrive(&mut self, account: u32, again: bool, with_part: bool) {
        self.serial += 1;
        let i = self.serial;
        let router = i as usize % self.pools.len();
        let session = format!("session-{account}-{}", i % 13);
        let own = format!("own-{i}");
        let at = self.now.as_millis() as u64;
        let deadly = with_part && DEADLY_TIME.contains(&at) && i.is_multiple_of(25);
        let mut parts = vec![("system", 512), (&session[..], 4_870)];
        if deadly {
            parts.push((DEADLY, 100));
        }
        parts.push((&own, 2_000));
        let input = parts.iter().map(|(_, tokens)| tokens).sum();
        let spec = RequestSpec {
            account,
            service: ENGINE,
            idempotent: true,
            attempts: 2,
            objective: millis(600),
            deadline: self.now + millis(15_000),
            read_delay: Duration::ZERO,
            client_timeout: Some(millis(2_400)),
            prompt: Some(Prompt {
                parts: PromptPart::chain(parts),
                input,
                output: 380,
            }),
        };
        let asked = Asked {
            account,
            deadly,
            again,
        };
        if !again && !deadly {
            self.arrived.push((account, self.now.as_secs()));
        }
        let pool = &mut self.pools[router];
        if let Some((_, retry)) = pool.refuse_early(self.now, &spec) {
            return self.ask_again(asked, retry);
        }
        let (sequence, outputs) = pool.enqueue(self.now, spec);
        self.asked.insert((router, sequence), asked);
        self.perform(router, outputs);
    }

    /// Passes the reports of each router to all others.
    fn gossip(&mut self) {
        let reports = self.pools.iter_mut().map(|pool| {
            let loads = pool.loads(Scope::Router);
            let usage = pool.usage_reports(self.now, Scope::Router);
            (loads, usage, pool.part_reports(self.now))
        });
        let reports: Vec<_> = reports.collect();
        for (from, (loads, usage, parts)) in reports.iter().enumerate() {
            for to in (0..self.pools.len()).filter(|to| *to != from) {
                let pool = &mut self.pools[to];
                pool.merge_peer(self.now, Source::router(from as u32), loads, usage);
                let outputs = pool.merge_parts(self.now, parts);
                self.perform(to, outputs);
            }
        }
    }

    fn crash(&mut self, target: u32) {
        let before = self.targets.len();
        self.targets.retain(|spec| spec.target != target);
        if self.targets.len() == before {
            return;
        }
        self.crashes += 1;
        self.schedule(self.now + RETURN_TIME, Event::Join(target));
        let lost = self.runs.iter().filter(|(_, run)| run.target == target);
        let lost: Vec<_> = lost.map(|(key, _)| *key).collect();
        for key in lost {
            if self.runs.contains_key(&key) {
                self.lose(key);
            }
        }
    }

    fn step(&mut self, event: Event, with_part: bool) {
        match event {
            Event::Tick(router) => {
                let outputs = self.pools[router].tick(self.now);
                self.perform(router, outputs);
                self.schedule(self.now + millis(10), event);
            }
            Event::Gossip => {
                self.gossip();
                self.schedule(self.now + millis(100), event);
            }
            Event::Arrive(account, again) => self.arrive(account, again, with_part),
            Event::First(key) => {
                let due = self.now + STREAM_TIME;
                let Some(run) = self.due_run(key) else {
                    return;
                };
                let asked = run.asked;
                if asked.deadly {
                    let target = run.target;
                    return self.crash(target);
                }
                run.due = due;
                if !asked.again {
                    self.begun.push((asked.account, self.now.as_secs()));
                }
                let pool = &mut self.pools[key.0];
                let outputs = pool.first_byte(self.now, key.1);
                pool.events(self.now, key.1, 4);
                self.perform(key.0, outputs);
                self.schedule(due, Event::End(key));
            }
            Event::End(key) => {
                if self.due_run(key).is_some() {
                    self.end(key, true);
                }
            }
            Event::Crash(target) => self.crash(target),
            Event::Join(target) => {
                let mut spec = engines(1).remove(0);
                spec.target = target + 100;
                self.targets.push(spec);
                for router in 0..self.pools.len() {
                    let outputs = self.pools[router].set_targets(self.now, self.targets.clone());
                    self.perform(router, outputs);
                }
            }
        }
    }

    /// Plays [`END`] long.
    fn play(mut self, cause: Cause) -> Self {
        for router in 0..self.pools.len() {
            self.schedule(Duration::ZERO, Event::Tick(router));
        }
        self.schedule(millis(5), Event::Gossip);
        let mut at = Duration::ZERO;
        let mut turn = 0;
        while at < END {
            // The large account sends as much as five of the others.
            turn = (turn + 1) % (ACCOUNTS + 4);
            let account = if turn < 5 { LARGE } else { turn - 3 };
            self.schedule(at, Event::Arrive(account, false));
            at += ARRIVAL_INTERVAL;
        }
        if cause == Cause::Failure {
            for (i, at) in CRASHES.iter().enumerate() {
                self.schedule(millis(*at), Event::Crash(i as u32 * 4 + 1));
            }
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > END {
                break;
            }
            self.now = at;
            self.step(event, cause == Cause::Part);
        }
        self
    }

    /// Returns the part of an account's first attempts in a span of seconds that began.
    fn begun_part(&self, account: u32, seconds: Range<u64>) -> f64 {
        let count = |list: &[(u32, u64)]| {
            let own = list
                .iter()
                .filter(|(id, at)| *id == account && seconds.contains(at));
            own.count() as f64
        };
        count(&self.begun) / count(&self.arrived)
    }
}

/// After the last crash, the account that asks for more than its share must soon begin at least half
/// as often as before, whether or not a prompt part was the cause.
#[rstest]
fn an_account_is_served_again_after_crashes(
    #[values(Cause::Failure, Cause::Part)] cause: Cause,
    #[values(1, 4, 10)] routers: usize,
) {
    let world = World::new(routers).play(cause);
    println!("{cause:?}, {routers} routers, {} crashes", world.crashes);
    for start in (3..END.as_secs()).step_by(3) {
        let [large, other] =
            [LARGE, OTHER].map(|account| world.begun_part(account, start..start + 3));
        println!("{start:>3} s  large {large:.2}  other {other:.2}");
    }
    let before = world.begun_part(LARGE, 6..CRASHES[0] / 1_000);
    let after = world.begun_part(LARGE, AFTER);
    assert!(world.crashes >= CRASHES.len(), "{} crashes", world.crashes);
    assert!(
        after >= before / 2.0,
        "{before:.2} before, {after:.2} after"
    );
}

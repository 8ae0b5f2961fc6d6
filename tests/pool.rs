//! The pool's decisions: placement, refusals, retries and fair order, without a network.

use std::time::{
    Duration,
    Instant, //
};

use redwingyard::{
    mesh::{
        Scope,
        Source, //
    },
    pool::{
        Ask,
        Fault,
        Ledger,
        Load,
        Output,
        Part,
        Pool,
        Prompt,
        Refusal,
        Seat,
        Settings,
        Standing, //
    },
    wire::{
        AccountUsage,
        Beacon, //
    }, //
};
use rstest::rstest;

const PLAIN: u32 = 1;
const ENGINE: u32 = 2;
const OBJECTIVE: Duration = Duration::from_millis(400);

fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn plain_seats(count: u32) -> Vec<Seat> {
    let seat = |target| Seat {
        target,
        service: PLAIN,
        slots: 2,
        ..Seat::default()
    };
    (1..=count).map(seat).collect()
}

fn engines(count: u32) -> Vec<Seat> {
    let seat = |target| Seat {
        target,
        service: ENGINE,
        slots: 64,
        memory: 500_000,
        ..Seat::default()
    };
    (1..=count).map(seat).collect()
}

fn pool(seats: Vec<Seat>) -> Pool {
    let mut pool = Pool::new(Settings::default());
    pool.seats(Duration::ZERO, seats);
    pool
}

fn ask(account: u32) -> Ask {
    Ask {
        account,
        service: PLAIN,
        idempotent: true,
        attempts: 2,
        objective: OBJECTIVE,
        deadline: millis(5_000),
        unread: Duration::ZERO,
        patience: None,
        prompt: None,
    }
}

fn prompt(account: u32, session: &str, own: u64) -> Ask {
    let unique = format!("{session}-{own}");
    Ask {
        service: ENGINE,
        prompt: Some(Prompt {
            parts: Part::chain([("system", 500), (session, 4_500), (&unique, own)]),
            input: 5_000 + own,
            output: 100,
        }),
        ..ask(account)
    }
}

fn sent(outs: &[Output]) -> Vec<u32> {
    let target = |out: &Output| match out {
        Output::Send { target, .. } => Some(*target),
        _ => None,
    };
    outs.iter().filter_map(target).collect()
}

fn refused(outs: &[Output]) -> Vec<(Refusal, Duration)> {
    let cause = |out: &Output| match out {
        Output::Refuse { cause, retry, .. } => Some((*cause, *retry)),
        _ => None,
    };
    outs.iter().filter_map(cause).collect()
}

#[test]
fn a_service_without_targets_refuses_at_once() {
    let (_, outs) = pool(Vec::new()).arrive(Duration::ZERO, ask(7));
    assert!(matches!(refused(&outs)[..], [(Refusal::NoTarget, _)]));
}

#[test]
fn what_waits_too_long_is_refused_with_a_time_that_the_caller_has() {
    let mut pool = pool(plain_seats(1));
    let arrived: Vec<_> = (0..5)
        .map(|_| pool.arrive(Duration::ZERO, ask(7)))
        .collect();
    let placed = arrived.iter().filter(|(_, outs)| !sent(outs).is_empty());
    assert_eq!(placed.count(), 4, "two for each slot");
    assert_eq!(pool.tick(millis(50)), []);
    let outs = pool.tick(OBJECTIVE);
    let [(Refusal::Waited, retry)] = refused(&outs)[..] else {
        panic!("{outs:?}");
    };
    assert!(retry <= millis(1_500), "{retry:?}");
}

#[test]
fn a_caller_that_has_gone_frees_its_place() {
    let mut pool = pool(plain_seats(1));
    let arrived: Vec<_> = (0..5)
        .map(|_| pool.arrive(Duration::ZERO, ask(7)).0)
        .collect();
    assert!(sent(&pool.end(millis(10), arrived[4], false)).is_empty());
    assert!(sent(&pool.end(millis(10), arrived[0], false)).is_empty());
    assert_eq!(pool.active(), 3);
    assert_eq!(sent(&pool.arrive(millis(11), ask(7)).1), [1]);
}

struct Repeat {
    idempotent: bool,
    fault: Fault,
    again: bool,
}

#[rstest]
#[case::safe_lost(Repeat { idempotent: true, fault: Fault::Lost, again: true })]
#[case::safe_error(Repeat { idempotent: true, fault: Fault::Error, again: true })]
#[case::write_lost(Repeat { idempotent: false, fault: Fault::Lost, again: false })]
#[case::write_error(Repeat { idempotent: false, fault: Fault::Error, again: false })]
#[case::write_refused(Repeat { idempotent: false, fault: Fault::Refused, again: true })]
#[case::write_unreachable(Repeat { idempotent: false, fault: Fault::Unreachable, again: true })]
#[case::write_moved(Repeat { idempotent: false, fault: Fault::Moved, again: true })]
fn only_what_may_repeat_is_tried_again(#[case] case: Repeat) {
    let mut pool = pool(plain_seats(2));
    let ask = Ask {
        idempotent: case.idempotent,
        ..ask(7)
    };
    let (sequence, outs) = pool.arrive(Duration::ZERO, ask);
    let first = sent(&outs)[0];
    pool.fail(millis(5), sequence, case.fault);
    assert_eq!(pool.may_repeat(sequence, case.fault), case.again);
    if case.again {
        let second = sent(&pool.again(millis(5), sequence));
        assert_eq!(second.len(), 1);
        assert_ne!(second[0], first);
    }
}

#[test]
fn retries_stay_within_their_budget() {
    let mut pool = Pool::new(Settings {
        retries: 3,
        ..Settings::default()
    });
    pool.seats(Duration::ZERO, plain_seats(2));
    let mut again = 0;
    for i in 0..100 {
        let now = millis(10 * i);
        let (sequence, outs) = pool.arrive(now, ask(7));
        assert_eq!(sent(&outs).len(), 1);
        pool.fail(now, sequence, Fault::Lost);
        again += u32::from(pool.may_repeat(sequence, Fault::Lost));
        pool.end(now, sequence, false);
    }
    assert!((12..=13).contains(&again), "{again} of 3 and a tenth");
}

#[test]
fn a_target_that_cannot_be_reached_is_avoided_but_not_the_last_one() {
    let mut pool = pool(plain_seats(2));
    let (first, outs) = pool.arrive(Duration::ZERO, ask(7));
    let dead = sent(&outs)[0];
    pool.fail(millis(1), first, Fault::Unreachable);
    for i in 0..3 {
        let (_, outs) = pool.arrive(millis(2 + i), ask(7));
        assert_ne!(sent(&outs), [dead]);
    }
    let last: Vec<_> = plain_seats(2)
        .into_iter()
        .filter(|seat| seat.target == dead)
        .collect();
    pool.seats(millis(10), last);
    assert_eq!(sent(&pool.arrive(millis(11), ask(7)).1), [dead]);
}

#[test]
fn a_target_that_has_left_gets_nothing_that_waits() {
    let mut pool = pool(plain_seats(1));
    for _ in 0..5 {
        pool.arrive(Duration::ZERO, ask(7));
    }
    assert!(sent(&pool.seats(millis(10), Vec::new())).is_empty());
    assert!(sent(&pool.end(millis(11), 1, false)).is_empty());
}

#[test]
fn silence_ends_the_attempt_of_what_may_repeat() {
    let mut pool = pool(plain_seats(2));
    let (sequence, _) = pool.arrive(Duration::ZERO, ask(7));
    assert_eq!(pool.tick(OBJECTIVE * 3), []);
    assert_eq!(pool.tick(OBJECTIVE * 4), [Output::Abandon { sequence }]);
    assert_eq!(pool.tick(millis(5_000)), [Output::Expire { sequence }]);
}

#[test]
fn a_session_stays_where_its_prompt_is_kept() {
    let mut pool = pool(engines(6));
    let mut targets = Vec::new();
    for i in 0..12 {
        let now = millis(300 * i);
        let (sequence, outs) = pool.arrive(now, prompt(7, "s", 100 + i));
        targets.extend(sent(&outs));
        pool.first(now + millis(60), sequence);
        pool.end(now + millis(200), sequence, true);
    }
    targets.dedup();
    assert_eq!(targets.len(), 1, "{targets:?}");
}

/// Two routers that have never exchanged anything send a session to the same engine.
#[test]
fn routers_agree_on_the_home_of_a_session() {
    let home = |seed| {
        let mut pool = Pool::new(Settings {
            seed,
            ..Settings::default()
        });
        pool.seats(Duration::ZERO, engines(6));
        sent(&pool.arrive(Duration::ZERO, prompt(7, "s", 100)).1)
    };
    assert_eq!(home(1), home(2));
}

#[test]
fn an_engine_gets_no_more_than_it_can_begin_in_time() {
    let mut pool = pool(engines(1));
    let mut placed = 0;
    for i in 0..40 {
        let (_, outs) = pool.arrive(Duration::ZERO, prompt(7, &format!("s{i}"), 1_000));
        placed += sent(&outs).len();
    }
    // At 80 tokens a millisecond, 6,000 tokens each, within 0.8 of 400 ms.
    assert!((2..=4).contains(&placed), "{placed}");
}

#[test]
fn what_other_routers_have_at_an_engine_counts() {
    let mut pool = pool(engines(1));
    let load = Load {
        target: 1,
        running: 3,
        unread: 60_000,
        ..Load::default()
    };
    pool.peer(Duration::ZERO, Source::router(9), &[load], &[]);
    let (_, outs) = pool.arrive(Duration::ZERO, prompt(7, "s", 1_000));
    assert!(sent(&outs).is_empty());
    // The other router is not heard any more.
    pool.tick(millis(1_000));
    let (_, outs) = pool.arrive(millis(1_001), prompt(7, "s", 1_000));
    assert_eq!(sent(&outs), [1]);
}

/// The load: a router that has not run for two seconds finds that a target has said nothing.
#[test]
fn a_target_is_not_blamed_for_the_routers_own_delay() {
    let mut pool = pool(plain_seats(2));
    let (sequence, outs) = pool.arrive(Duration::ZERO, ask(7));
    assert_eq!(sent(&outs).len(), 1);
    pool.excuse(millis(2_000), millis(1_900));
    assert_eq!(pool.tick(millis(2_000)), []);
    assert_eq!(pool.tick(millis(3_899)), []);
    // It stays silent while the router is in time.
    assert_eq!(pool.tick(millis(3_900)), [Output::Abandon { sequence }]);
}

/// Runs two engines in steps of 10 ms, each answer beginning after eight, and returns the
/// account and the step of each request that was sent.
fn serve(steps: u64, took: u64, arrivals: impl Fn(u64) -> Vec<u32>) -> Vec<(u32, u64)> {
    let mut pool = pool(engines(2));
    pool.set_shares(Default::default(), Some(60_000));
    let mut flying = Vec::new();
    let mut begun = Vec::new();
    for step in 0..steps {
        let now = millis(10 * step);
        let mut outs = Vec::new();
        for (sent, sequence) in &flying {
            if step == sent + 8 {
                outs.extend(pool.first(now, *sequence));
            }
            if step == sent + took {
                outs.extend(pool.end(now, *sequence, true));
            }
        }
        for account in arrivals(step) {
            let session = format!("{account}-{step}");
            outs.extend(pool.arrive(now, prompt(account, &session, 1_000)).1);
        }
        outs.extend(pool.tick(now));
        for out in outs {
            if let Output::Send { sequence, .. } = out {
                flying.push((step, sequence));
                let account = pool.account(sequence).expect("it has not ended");
                begun.push((account, step));
            }
        }
    }
    begun
}

/// Counts what is in a list for an account from one step on.
fn count(list: &[(u32, u64)], account: u32, from: u64) -> usize {
    let matches = |(other, step): &&(u32, u64)| *other == account && *step >= from;
    list.iter().filter(matches).count()
}

/// The load: one account sends ten times as much as each of two others, twice what the
/// engines can take.
#[test]
fn a_flood_does_not_keep_others_from_their_share() {
    let arrivals = |step| match step % 20 {
        5 => vec![1],
        15 => vec![2],
        even if even % 2 == 0 => vec![0],
        _ => Vec::new(),
    };
    let begun = serve(1_000, 8, arrivals);
    for account in 1..3 {
        let count = count(&begun, account, 0);
        assert!(count >= 45, "account {account}: {count} of 50");
    }
}

/// The load: one account has had all for four seconds while nobody else asked for anything;
/// then two others begin as well, each asking for more than the engines can take.
#[test]
fn service_that_nobody_waited_for_is_not_held_against_an_account() {
    let from = 400;
    let arrivals = |step| match step {
        step if step >= from => vec![1, 2, 3],
        step if step % 4 == 0 => vec![1],
        _ => Vec::new(),
    };
    let begun = serve(from + 200, 40, arrivals);
    let counts: Vec<_> = (1..4).map(|account| count(&begun, account, from)).collect();
    assert!(counts[0] * 10 >= counts[1] * 7, "{counts:?}");
}

struct Ahead {
    account: u32,
    refused: Vec<u32>,
    sent: bool,
}

/// The load: an engine with half of its places taken. Account 1 has had 900,000 tokens,
/// account 2 has had 300,000 and wants more, account 3 wants little; an even share is 595,000.
#[rstest]
#[case::far_ahead(Ahead { account: 1, refused: vec![2, 3], sent: false })]
#[case::behind(Ahead { account: 2, refused: vec![2, 3], sent: true })]
#[case::ahead_of_one_that_gets_all(Ahead { account: 1, refused: vec![3], sent: true })]
fn an_account_far_ahead_leaves_places_to_those_behind(#[case] case: Ahead) {
    let mut pool = pool(engines(1));
    pool.set_shares(Default::default(), Some(300_000));
    let load = Load {
        target: 1,
        running: 12,
        ..Load::default()
    };
    let tally = |account, usage| AccountUsage { account, usage };
    let standing = Standing {
        service: ENGINE,
        given: vec![tally(1, 900_000), tally(2, 300_000)],
        asked: vec![tally(1, 4_000_000), tally(2, 2_000_000), tally(3, 10_000)],
        refused: case.refused,
    };
    pool.peer(Duration::ZERO, Source::router(9), &[load], &[standing]);
    let (_, outs) = pool.arrive(millis(1), prompt(case.account, "s", 1_000));
    assert_eq!(!sent(&outs).is_empty(), case.sent);
}

struct Home {
    account: u32,
    sent: bool,
}

/// The load: the engine that keeps a session's parts is full, another one is idle. Account 1
/// has had 900,000 tokens, account 2 has had 300,000 and wants as much.
#[rstest]
#[case::ahead(Home { account: 1, sent: false })]
#[case::behind(Home { account: 2, sent: true })]
fn an_account_that_is_behind_does_not_wait_for_its_home(#[case] case: Home) {
    let ask = || prompt(case.account, "s", 1_000);
    let home = sent(&pool(engines(2)).arrive(Duration::ZERO, ask()).1)[0];
    let mut pool = pool(engines(2));
    pool.set_shares(Default::default(), Some(1_000_000));
    let load = Load {
        target: home,
        running: 64,
        ..Load::default()
    };
    let tally = |account, usage| AccountUsage { account, usage };
    let standing = Standing {
        service: ENGINE,
        given: vec![tally(1, 900_000), tally(2, 300_000)],
        asked: vec![tally(1, 2_000_000), tally(2, 2_000_000)],
        refused: Vec::new(),
    };
    pool.peer(Duration::ZERO, Source::router(9), &[load], &[standing]);
    let (_, outs) = pool.arrive(millis(1), ask());
    assert_eq!(!sent(&outs).is_empty(), case.sent);
}

/// The load: five thousand accounts ask for more than the targets can take.
#[test]
fn what_peers_are_told_fits_into_a_datagram() {
    let mut ledger = Ledger::default();
    for account in 1..=5_000 {
        ledger.ask(Duration::ZERO, account, u64::from(account) * 1_000_000);
        ledger.refuse(Duration::ZERO, account);
        ledger.charge(Duration::ZERO, account, u64::from(account) * 1_000_000);
    }
    let standing = Standing {
        service: ENGINE,
        given: ledger.given(Duration::ZERO, Scope::Router),
        asked: ledger.asked(Duration::ZERO, Scope::Router),
        refused: ledger.refused(Duration::ZERO, Scope::Router),
    };
    // Those that have the most are told.
    assert!(standing.asked.iter().all(|tally| tally.account > 4_000));
    let beacon = Beacon {
        incarnation: u64::MAX,
        usages: vec![standing],
        ..Beacon::default()
    };
    let bytes = beacon.encode().expect("it can be encoded").len();
    assert!(bytes < 60_000, "{bytes}");
}

/// The load: a thousand accounts wait while nothing can be sent. Each arrival looks at each of
/// them once, not once for each other one.
#[test]
fn many_waiting_accounts_cost_little() {
    let mut pool = pool(engines(1));
    let load = Load {
        target: 1,
        running: 64,
        ..Load::default()
    };
    pool.peer(Duration::ZERO, Source::router(9), &[load], &[]);
    let begun = Instant::now();
    for account in 1..=1_000 {
        pool.arrive(millis(1), prompt(account, "s", 1_000));
    }
    assert_eq!(pool.active(), 1_000);
    assert!(
        begun.elapsed() < Duration::from_secs(20),
        "{:?}",
        begun.elapsed()
    );
}

/// The load: an account sends far more than is served. What could not be queued is refused as
/// [`Pool::arrive`] would refuse it, and nothing of it is kept.
#[test]
fn a_flood_is_turned_away_without_being_taken_in() {
    let mut pool = pool(plain_seats(1));
    // Departures every 30 ms tell the queue's pace.
    let mut now = Duration::ZERO;
    let mut flying: Vec<_> = (0..4).map(|_| pool.arrive(now, ask(7)).0).collect();
    for _ in 0..10 {
        now += millis(30);
        flying.push(pool.arrive(now, ask(7)).0);
        pool.end(now, flying.remove(0), true);
    }
    for _ in 0..20 {
        pool.arrive(now, ask(7));
    }
    let (active, waiting) = (pool.active(), pool.waiting().map(|(_, count)| count).max());
    assert!(waiting.is_some_and(|count| count > 0));
    let (cause, retry) = pool
        .turn_away(now, &ask(7))
        .expect("it would wait too long");
    assert_eq!(cause, Refusal::Overload);
    assert!((millis(300)..=millis(1_500)).contains(&retry), "{retry:?}");
    assert_eq!(pool.active(), active);
    let standings = pool.standings(now, Scope::Router);
    assert_eq!(standings[0].refused, [7]);
    // An account that has had nothing goes ahead of it.
    assert_eq!(pool.turn_away(now, &ask(8)), None);
}

struct Late {
    unread: u64,
    /// The time until the deadline.
    left: u64,
    patience: Option<u64>,
    refused: bool,
}

/// The load: a process without processor time reads requests late, and is as late again when it
/// sends them and passes on their answers. What is sent then is worked on after its caller has
/// gone.
#[rstest]
#[case::in_time(Late { unread: 0, left: 1, patience: None, refused: false })]
#[case::over(Late { unread: 0, left: 0, patience: None, refused: true })]
#[case::over_for_long(Late { unread: 2_000, left: 0, patience: None, refused: true })]
#[case::time_enough(Late { unread: 500, left: 1_600, patience: None, refused: false })]
#[case::too_little_time(Late { unread: 500, left: 1_400, patience: None, refused: true })]
#[case::patient_enough(Late { unread: 400, left: 9_000, patience: Some(2_000), refused: false })]
#[case::not_patient_enough(Late { unread: 600, left: 9_000, patience: Some(2_000), refused: true })]
#[case::patience_over(Late { unread: 2_500, left: 9_000, patience: Some(2_000), refused: true })]
#[case::less_time_than_patience(Late { unread: 400, left: 1_000, patience: Some(2_000), refused: true })]
fn what_its_caller_would_not_wait_for_is_refused_at_once(#[case] case: Late) {
    let mut pool = pool(plain_seats(1));
    let now = millis(10_000);
    let ask = Ask {
        deadline: now + millis(case.left),
        unread: millis(case.unread),
        patience: case.patience.map(millis),
        ..ask(7)
    };
    let turned = pool.turn_away(now, &ask);
    assert_eq!(
        turned.map(|(cause, _)| cause),
        case.refused.then_some(Refusal::Late)
    );
    assert_eq!(pool.active(), 0);
    if let Some((_, retry)) = turned {
        assert!(retry <= millis(case.left), "{retry:?}");
        let standings = pool.standings(now, Scope::Router);
        assert_eq!(standings[0].refused, [7]);
    }
}

/// The load: all slots are taken, and the account that waits longest has had the most.
#[test]
fn the_account_that_has_had_the_least_is_next() {
    let mut pool = pool(plain_seats(1));
    let standing = Standing {
        service: PLAIN,
        given: vec![AccountUsage {
            account: 1,
            usage: 900_000,
        }],
        ..Standing::default()
    };
    pool.peer(Duration::ZERO, Source::router(9), &[], &[standing]);
    let filling: Vec<_> = (0..4).map(|_| pool.arrive(millis(1), ask(3)).0).collect();
    pool.arrive(millis(2), ask(1));
    let (least, outs) = pool.arrive(millis(3), ask(2));
    assert!(sent(&outs).is_empty());
    let outs = pool.end(millis(4), filling[0], true);
    let [Output::Send { sequence, .. }] = outs[..] else {
        panic!("{outs:?}");
    };
    assert_eq!(sequence, least);
}

#[test]
fn peers_are_told_what_was_given_and_refused() {
    let mut pool = pool(plain_seats(1));
    for _ in 0..5 {
        pool.arrive(Duration::ZERO, ask(7));
    }
    pool.tick(OBJECTIVE);
    let standings = pool.standings(OBJECTIVE, Scope::Router);
    let [
        Standing {
            given,
            asked,
            refused,
            ..
        },
    ] = &standings[..]
    else {
        panic!("{standings:?}");
    };
    assert_eq!((given.len(), asked.len(), &refused[..]), (1, 1, &[7][..]));
    assert!(given[0].usage < asked[0].usage);
}

//! A router's answers: truthful refusals, bounded queues, retries and resumption.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use redwingyard::{
    ids::{
        Sequence,
        Target, //
    },
    router::{
        Ask,
        Bounds,
        Cause,
        Input,
        Output,
        Ran,
        Refusal,
        Reply,
        Router,
        Settings, //
    },
    wire::{
        AttemptId,
        Chunk,
        End,
        Head,
        Message,
        Reason, //
    }, //
};
use rstest::rstest;

const SERVICE: u32 = 1;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn router(bounds: Bounds) -> Router {
    Router::new(Settings {
        router: 1,
        incarnation: 9,
        bounds,
        seed: 3,
    })
}

fn ask(account: u32, write: bool) -> Ask {
    Ask {
        account,
        service: SERVICE,
        head: Rc::new(head(0)),
        body: Bytes::new(),
        write: write.then_some(1),
        bid: None,
        conversation: None,
        limit: secs(30),
    }
}

fn head(status: u16) -> Head {
    Head {
        status,
        method: String::new(),
        path: String::new(),
        fields: Vec::new(),
    }
}

fn up(router: &mut Router, now: Duration, target: Target, incarnation: u64) -> Vec<Output> {
    let input = Input::Up {
        target,
        service: SERVICE,
        incarnation,
    };
    router.step(now, input)
}

fn tell(router: &mut Router, now: Duration, target: Target, message: Message) -> Vec<Output> {
    router.step(now, Input::Message { target, message })
}

fn offer(router: &mut Router, now: Duration, target: Target, slots: u32) -> Vec<Output> {
    tell(router, now, target, Message::Offer { slots, stamp: 1 })
}

fn dispatched(outs: &[Output]) -> Option<(Target, AttemptId)> {
    outs.iter().find_map(|out| match out {
        Output::Send(target, Message::Dispatch(dispatch)) => Some((*target, dispatch.id)),
        _ => None,
    })
}

fn replies(outs: &[Output], sequence: Sequence) -> Vec<Reply> {
    outs.iter()
        .filter_map(|out| match out {
            Output::Reply(to, reply) if *to == sequence => Some(reply.clone()),
            _ => None,
        })
        .collect()
}

fn part(id: AttemptId, offset: u64, data: &'static str, length: Option<u64>) -> Message {
    Message::Chunk(Chunk {
        id,
        offset,
        head: (offset == 0).then(|| Rc::new(head(200))),
        data: Bytes::from_static(data.as_bytes()),
        end: length.map(|length| {
            Rc::new(End {
                length,
                trailers: Vec::new(),
            })
        }),
    })
}

/// A router with one request at target 7.
fn flying(write: bool) -> (Router, Sequence, AttemptId) {
    let mut router = router(Bounds::default());
    up(&mut router, secs(0), 7, 70);
    offer(&mut router, secs(0), 7, 1);
    let (sequence, outs) = router.arrive(secs(0), ask(1, write));
    let (target, id) = dispatched(&outs).expect("an offered slot is used at once");
    assert_eq!(target, 7);
    (router, sequence, id)
}

struct Refused {
    write: bool,
    reason: Reason,
    refusal: Option<(Cause, Ran)>,
}

#[rstest]
#[case::key_reused(Refused {
    write: true,
    reason: Reason::KeyReused,
    refusal: Some((Cause::KeyReused, Ran::No)),
})]
#[case::key_done(Refused {
    write: true,
    reason: Reason::KeyDone,
    refusal: Some((Cause::KeyDone, Ran::Yes)),
})]
#[case::key_unknown(Refused {
    write: true,
    reason: Reason::KeyUnknown,
    refusal: Some((Cause::KeyUnknown, Ran::Unknown)),
})]
#[case::failed_write(Refused {
    write: true,
    reason: Reason::Failed,
    refusal: Some((Cause::TargetLost, Ran::Unknown)),
})]
#[case::failed_read_is_retried(Refused { write: false, reason: Reason::Failed, refusal: None })]
#[case::busy_is_queued_again(Refused { write: true, reason: Reason::Busy, refusal: None })]
fn refusals_are_true(#[case] case: Refused) {
    let (mut router, sequence, id) = flying(case.write);
    let reason = case.reason;
    let outs = tell(&mut router, secs(1), 7, Message::Refused { id, reason });
    let got = replies(&outs, sequence).first().map(|reply| match reply {
        Reply::Refuse(Refusal { cause, ran, .. }) => (*cause, *ran),
        other => panic!("{other:?}"),
    });
    assert_eq!(got, case.refusal);
    assert_eq!(router.active(), usize::from(case.refusal.is_none()));
}

#[test]
fn a_deadline_before_dispatch_is_not_run() {
    let mut router = router(Bounds::default());
    let (sequence, _) = router.arrive(secs(0), ask(1, true));
    let outs = router.step(secs(31), Input::Tick);
    let refusal = Refusal {
        cause: Cause::Deadline,
        ran: Ran::No,
        retry: Some(secs(1)),
    };
    assert_eq!(replies(&outs, sequence), [Reply::Refuse(refusal)]);
}

/// The attempt did not run, but the caller's request with this key may.
#[test]
fn a_key_that_runs_elsewhere_until_the_deadline_is_unknown() {
    let text = "generation 1 # kim\ntarget svc t # kim\n";
    let rules = redwingyard::rules::from_str(text).expect("the rules are valid");
    let mut router = router(Bounds::default());
    router.step(secs(0), Input::Rules(Rc::new(rules)));
    let (target, service) = (redwingyard::ids::id("t"), redwingyard::ids::id("svc"));
    let input = Input::Up {
        target,
        service,
        incarnation: 70,
    };
    router.step(secs(0), input);
    offer(&mut router, secs(0), target, 1);
    let bid = redwingyard::wire::IdempotencyKey {
        key: 1,
        issued: None,
        fingerprint: 1,
    };
    let keyed = Ask {
        service,
        bid: Some(bid),
        ..ask(1, true)
    };
    let (sequence, outs) = router.arrive(secs(0), keyed);
    let (_, id) = dispatched(&outs).expect("the owner has offered a slot");
    let reason = Reason::KeyRunning;
    tell(
        &mut router,
        secs(29),
        target,
        Message::Refused { id, reason },
    );
    let outs = router.step(secs(31), Input::Tick);
    let [Reply::Refuse(refusal)] = replies(&outs, sequence)[..] else {
        panic!("{outs:?}");
    };
    assert_eq!(
        (refusal.cause, refusal.ran),
        (Cause::KeyRunning, Ran::Unknown)
    );
}

#[test]
fn a_deadline_after_dispatch_is_unknown_and_cancels() {
    let (mut router, sequence, id) = flying(true);
    let outs = router.step(secs(31), Input::Tick);
    assert!(outs.contains(&Output::Send(7, Message::Cancel { id })));
    let [Reply::Refuse(refusal)] = replies(&outs, sequence)[..] else {
        panic!("{outs:?}");
    };
    assert_eq!((refusal.cause, refusal.ran), (Cause::Timeout, Ran::Unknown));
}

#[test]
fn a_write_at_a_restarted_sidecar_is_unknown_at_once() {
    let (mut router, sequence, _) = flying(true);
    router.step(secs(1), Input::Down { target: 7 });
    let outs = up(&mut router, secs(2), 7, 71);
    let [Reply::Refuse(refusal)] = replies(&outs, sequence)[..] else {
        panic!("{outs:?}");
    };
    assert_eq!(
        (refusal.cause, refusal.ran),
        (Cause::TargetLost, Ran::Unknown)
    );
}

#[test]
fn a_read_at_a_lost_sidecar_is_tried_elsewhere() {
    let (mut router, _, id) = flying(false);
    up(&mut router, secs(1), 8, 80);
    offer(&mut router, secs(1), 8, 1);
    router.step(secs(1), Input::Down { target: 7 });
    let mut outs = router.step(secs(3), Input::Tick);
    outs.extend(router.step(secs(3), Input::Tick));
    let (target, again) = dispatched(&outs).expect("the request is tried again");
    assert_eq!(
        (target, again.sequence, again.attempt),
        (8, id.sequence, id.attempt + 1)
    );
    // The first answer comes late and crosses the second.
    let late = tell(&mut router, secs(4), 7, part(id, 0, "old", Some(3)));
    assert!(replies(&late, id.sequence).is_empty());
    let outs = tell(&mut router, secs(4), 8, part(again, 0, "new", Some(3)));
    assert_eq!(replies(&outs, id.sequence).len(), 3);
}

/// Fails without the question on a new link or the check of offsets in `Router::part`.
#[test]
fn a_stream_resumes_where_it_was_cut() {
    let (mut router, sequence, id) = flying(true);
    tell(&mut router, secs(1), 7, part(id, 0, "abc", None));
    router.step(secs(1), Input::Down { target: 7 });
    let outs = up(&mut router, secs(2), 7, 70);
    let offset = 3;
    let query = Message::Query {
        id,
        stamp: 1,
        offset,
    };
    assert!(outs.contains(&Output::Send(7, query)));
    let outs = tell(&mut router, secs(2), 7, part(id, 1, "bcde", Some(5)));
    let got = replies(&outs, sequence);
    assert_eq!(got[0], Reply::Data(Bytes::from_static(b"de")));
    assert!(matches!(got[1], Reply::End(_)));
}

#[test]
fn a_short_answer_is_never_ended() {
    let (mut router, sequence, id) = flying(true);
    let outs = tell(&mut router, secs(1), 7, part(id, 0, "abc", Some(9)));
    let ended = |reply: &Reply| matches!(reply, Reply::End(_));
    assert!(!replies(&outs, sequence).iter().any(ended));
    router.step(secs(2), Input::Down { target: 7 });
    let outs = router.step(secs(8), Input::Tick);
    assert_eq!(replies(&outs, sequence), [Reply::Break]);
}

#[test]
fn a_flood_is_refused_first_and_bounded() {
    let bounds = Bounds {
        account: 100,
        total: 150,
        ..Bounds::default()
    };
    let mut router = router(bounds);
    let mut refused = 0;
    for _ in 0..100_000 {
        let (sequence, outs) = router.arrive(secs(0), ask(1, false));
        refused += replies(&outs, sequence).len();
    }
    assert_eq!((refused, router.active()), (99_900, 100));
    for i in 0..100 {
        let (sequence, outs) = router.arrive(secs(0), ask(2 + i, false));
        assert!(
            replies(&outs, sequence).is_empty(),
            "account {i} is not refused"
        );
    }
    assert_eq!(router.active(), 150);
}

#[test]
fn retries_stay_below_a_tenth() {
    let mut router = router(Bounds::default());
    up(&mut router, secs(0), 7, 70);
    let mut retried = 0;
    for i in 0..2_000_u64 {
        offer(&mut router, secs(i), 7, 1);
        let (_, outs) = router.arrive(secs(i), ask(1, false));
        let (_, id) = dispatched(&outs).expect("an offered slot is used");
        let reason = Reason::Failed;
        let outs = tell(&mut router, secs(i), 7, Message::Refused { id, reason });
        let retry =
            |out: &&Output| matches!(out, Output::Log(redwingyard::router::Event::Retry { .. }));
        retried += outs.iter().filter(retry).count();
        let waiting: Vec<_> = router.backlog().collect();
        assert!(waiting.len() <= 1);
        // What was queued again is refused by its own caller's leaving.
        router.step(secs(i), Input::Gone(id.sequence));
    }
    assert!(retried <= 2_000 / 10 + 10, "{retried} retries");
    assert!(retried >= 200, "{retried} retries");
}

#[test]
fn a_draining_router_cuts_no_request() {
    let (mut router, sequence, id) = flying(true);
    assert!(
        !router
            .step(secs(1), Input::Drain)
            .contains(&Output::Drained)
    );
    let (late, outs) = router.arrive(secs(1), ask(1, false));
    let [Reply::Refuse(refusal)] = replies(&outs, late)[..] else {
        panic!("{outs:?}");
    };
    assert_eq!((refusal.cause, refusal.ran), (Cause::Draining, Ran::No));
    let outs = tell(&mut router, secs(2), 7, part(id, 0, "abc", Some(3)));
    assert_eq!(replies(&outs, sequence).len(), 3);
    assert!(outs.contains(&Output::Drained));
}

#[test]
fn a_queue_that_cannot_be_served_in_time_refuses_early() {
    let mut router = router(Bounds::default());
    up(&mut router, secs(0), 7, 70);
    for i in 0..40 {
        let mut slow = ask(1, false);
        slow.limit = secs(1_000);
        router.arrive(secs(0), slow);
        if i < 10 {
            continue;
        }
        let grant = Message::Grant {
            grant: i,
            account: 1,
            stamp: 1,
        };
        tell(&mut router, secs(i * 5), 7, grant);
    }
    // Ten wait and one leaves each five seconds, so thirty seconds do not do.
    let (sequence, outs) = router.arrive(secs(200), ask(1, false));
    let [Reply::Refuse(refusal)] = replies(&outs, sequence)[..] else {
        panic!("{outs:?}");
    };
    assert_eq!((refusal.cause, refusal.ran), (Cause::Overload, Ran::No));
    assert!(refusal.retry.is_some_and(|retry| retry > secs(30)));
}

//! The router's state machine: refusals, queue bounds, the retry budget, resumption and drain.

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
        Bounds,
        Cause,
        Input,
        Output,
        Ran,
        Refusal,
        Reply,
        RequestSpec,
        RetryLimits,
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

/// Returns a router at which each request earns its own retry.
fn router(bounds: Bounds) -> Router {
    let retry = RetryLimits {
        ratio: 2.0,
        ..RetryLimits::default()
    };
    router_with(bounds, retry)
}

fn router_with(bounds: Bounds, retry: RetryLimits) -> Router {
    Router::new(Settings {
        router: 1,
        incarnation: 9,
        bounds,
        retry,
        seed: 3,
    })
}

fn spec(account: u32, write: bool) -> RequestSpec {
    RequestSpec {
        account,
        service: SERVICE,
        head: Rc::new(head(0)),
        body: Bytes::new(),
        write: write.then_some(1),
        key: None,
        conversation: None,
        timeout: secs(30),
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

fn link_up(router: &mut Router, now: Duration, target: Target, incarnation: u64) -> Vec<Output> {
    let input = Input::SidecarUp {
        target,
        service: SERVICE,
        incarnation,
    };
    router.step(now, input)
}

fn receive(router: &mut Router, now: Duration, target: Target, message: Message) -> Vec<Output> {
    router.step(now, Input::SidecarMessage { target, message })
}

fn offer(router: &mut Router, now: Duration, target: Target, slots: u32) -> Vec<Output> {
    receive(router, now, target, Message::Offer { slots, stamp: 1 })
}

fn dispatched(outputs: &[Output]) -> Option<(Target, AttemptId)> {
    outputs.iter().find_map(|out| match out {
        Output::Send(target, Message::Dispatch(dispatch)) => Some((*target, dispatch.id)),
        _ => None,
    })
}

fn replies(outputs: &[Output], sequence: Sequence) -> Vec<Reply> {
    outputs
        .iter()
        .filter_map(|out| match out {
            Output::Reply(to, reply) if *to == sequence => Some(reply.clone()),
            _ => None,
        })
        .collect()
}

fn chunk(id: AttemptId, offset: u64, data: &'static str, length: Option<u64>) -> Message {
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

/// Returns a router with one request dispatched to target 7.
fn dispatched_request(write: bool) -> (Router, Sequence, AttemptId) {
    let mut router = router(Bounds::default());
    link_up(&mut router, secs(0), 7, 70);
    offer(&mut router, secs(0), 7, 1);
    let (sequence, outputs) = router.arrive(secs(0), spec(1, write));
    let (target, id) =
        dispatched(&outputs).expect("the request is dispatched to the offered slot at once");
    assert_eq!(target, 7);
    (router, sequence, id)
}

/// A sidecar's refusal of an attempt, and the refusal that the caller gets, if any.
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
fn refusal_says_whether_the_request_ran(#[case] case: Refused) {
    let (mut router, sequence, id) = dispatched_request(case.write);
    let reason = case.reason;
    let outputs = receive(&mut router, secs(1), 7, Message::Refused { id, reason });
    let actual = replies(&outputs, sequence)
        .first()
        .map(|reply| match reply {
            Reply::Refuse(Refusal { cause, ran, .. }) => (*cause, *ran),
            other => panic!("{other:?}"),
        });
    assert_eq!(actual, case.refusal);
    assert_eq!(router.active(), usize::from(case.refusal.is_none()));
}

#[test]
fn request_past_its_deadline_in_the_queue_did_not_run() {
    let mut router = router(Bounds::default());
    let (sequence, _) = router.arrive(secs(0), spec(1, true));
    let outputs = router.step(secs(31), Input::Tick);
    let refusal = Refusal {
        cause: Cause::Deadline,
        ran: Ran::No,
        retry: Some(secs(1)),
    };
    assert_eq!(replies(&outputs, sequence), [Reply::Refuse(refusal)]);
}

/// The refused attempt did not run, but another request with the same idempotency key was
/// running, so the router must not say that the request did not run.
#[test]
fn request_whose_key_runs_until_the_deadline_may_have_run() {
    let text = "generation 1 # kim\ntarget svc t # kim\n";
    let rules = redwingyard::rules::from_str(text).expect("the rules are valid");
    let mut router = router(Bounds::default());
    router.step(secs(0), Input::Rules(Rc::new(rules)));
    let (target, service) = (redwingyard::ids::id("t"), redwingyard::ids::id("svc"));
    let input = Input::SidecarUp {
        target,
        service,
        incarnation: 70,
    };
    router.step(secs(0), input);
    offer(&mut router, secs(0), target, 1);
    let key = redwingyard::wire::IdempotencyKey {
        key: 1,
        issued: None,
        fingerprint: 1,
    };
    let request = RequestSpec {
        service,
        key: Some(key),
        ..spec(1, true)
    };
    let (sequence, outputs) = router.arrive(secs(0), request);
    let (_, id) = dispatched(&outputs).expect("the request is dispatched to the owner of its key");
    let reason = Reason::KeyRunning;
    receive(
        &mut router,
        secs(29),
        target,
        Message::Refused { id, reason },
    );
    let outputs = router.step(secs(31), Input::Tick);
    let [Reply::Refuse(refusal)] = replies(&outputs, sequence)[..] else {
        panic!("{outputs:?}");
    };
    assert_eq!(
        (refusal.cause, refusal.ran),
        (Cause::KeyRunning, Ran::Unknown)
    );
}

#[test]
fn timeout_after_dispatch_cancels_and_may_have_run() {
    let (mut router, sequence, id) = dispatched_request(true);
    let outputs = router.step(secs(31), Input::Tick);
    assert!(outputs.contains(&Output::Send(7, Message::Cancel { id })));
    let [Reply::Refuse(refusal)] = replies(&outputs, sequence)[..] else {
        panic!("{outputs:?}");
    };
    assert_eq!((refusal.cause, refusal.ran), (Cause::Timeout, Ran::Unknown));
}

#[test]
fn write_at_a_restarted_sidecar_is_refused_at_once() {
    let (mut router, sequence, _) = dispatched_request(true);
    router.step(secs(1), Input::SidecarDown { target: 7 });
    let outputs = link_up(&mut router, secs(2), 7, 71);
    let [Reply::Refuse(refusal)] = replies(&outputs, sequence)[..] else {
        panic!("{outputs:?}");
    };
    assert_eq!(
        (refusal.cause, refusal.ran),
        (Cause::TargetLost, Ran::Unknown)
    );
}

#[test]
fn read_at_a_lost_sidecar_is_retried_at_another() {
    let (mut router, _, id) = dispatched_request(false);
    link_up(&mut router, secs(1), 8, 80);
    offer(&mut router, secs(1), 8, 1);
    router.step(secs(1), Input::SidecarDown { target: 7 });
    let mut outputs = router.step(secs(3), Input::Tick);
    outputs.extend(router.step(secs(3), Input::Tick));
    let (target, again) =
        dispatched(&outputs).expect("the request is dispatched to the other sidecar");
    assert_eq!(
        (target, again.sequence, again.attempt),
        (8, id.sequence, id.attempt + 1)
    );
    // The answer of the lost attempt arrives late and must be dropped.
    let late = receive(&mut router, secs(4), 7, chunk(id, 0, "old", Some(3)));
    assert!(replies(&late, id.sequence).is_empty());
    let outputs = receive(&mut router, secs(4), 8, chunk(again, 0, "new", Some(3)));
    assert_eq!(replies(&outputs, id.sequence).len(), 3);
}

/// Fails if the router sends no query on a new link, or if `Router::accept_chunk` does not skip
/// the bytes before the expected offset.
#[test]
fn answer_resumes_at_the_offset_where_its_link_was_lost() {
    let (mut router, sequence, id) = dispatched_request(true);
    receive(&mut router, secs(1), 7, chunk(id, 0, "abc", None));
    router.step(secs(1), Input::SidecarDown { target: 7 });
    let outputs = link_up(&mut router, secs(2), 7, 70);
    let offset = 3;
    let query = Message::Query {
        id,
        stamp: 1,
        offset,
    };
    assert!(outputs.contains(&Output::Send(7, query)));
    let outputs = receive(&mut router, secs(2), 7, chunk(id, 1, "bcde", Some(5)));
    let actual = replies(&outputs, sequence);
    assert_eq!(actual[0], Reply::Data(Bytes::from_static(b"de")));
    assert!(matches!(actual[1], Reply::End(_)));
}

#[test]
fn answer_shorter_than_its_length_is_never_ended() {
    let (mut router, sequence, id) = dispatched_request(true);
    let outputs = receive(&mut router, secs(1), 7, chunk(id, 0, "abc", Some(9)));
    let ended = |reply: &Reply| matches!(reply, Reply::End(_));
    assert!(!replies(&outputs, sequence).iter().any(ended));
    router.step(secs(2), Input::SidecarDown { target: 7 });
    let outputs = router.step(secs(8), Input::Tick);
    assert_eq!(replies(&outputs, sequence), [Reply::Break]);
}

#[test]
fn account_that_floods_is_bounded_and_refused_first() {
    let bounds = Bounds {
        account: 100,
        total: 150,
        ..Bounds::default()
    };
    let mut router = router(bounds);
    let mut refused = 0;
    for _ in 0..100_000 {
        let (sequence, outputs) = router.arrive(secs(0), spec(1, false));
        refused += replies(&outputs, sequence).len();
    }
    assert_eq!((refused, router.active()), (99_900, 100));
    for i in 0..100 {
        let (sequence, outputs) = router.arrive(secs(0), spec(2 + i, false));
        assert!(
            replies(&outputs, sequence).is_empty(),
            "the request of light account {i} must be queued"
        );
    }
    assert_eq!(router.active(), 150);
}

#[test]
fn retries_stay_within_a_tenth_of_the_requests() {
    let mut router = router_with(Bounds::default(), RetryLimits::default());
    link_up(&mut router, secs(0), 7, 70);
    let mut retried = 0;
    for i in 0..2_000_u64 {
        offer(&mut router, secs(i), 7, 1);
        let (_, outputs) = router.arrive(secs(i), spec(1, false));
        let (_, id) = dispatched(&outputs).expect("the request is dispatched to the offered slot");
        let reason = Reason::Failed;
        let outputs = receive(&mut router, secs(i), 7, Message::Refused { id, reason });
        let retry =
            |out: &&Output| matches!(out, Output::Log(redwingyard::router::Event::Retry { .. }));
        retried += outputs.iter().filter(retry).count();
        let waiting: Vec<_> = router.backlog().collect();
        assert!(waiting.len() <= 1);
        // The caller disconnects, which removes the request if it was queued again.
        router.step(secs(i), Input::CallerGone(id.sequence));
    }
    assert!(
        retried <= 2_000 / 10,
        "{retried} retries exceed the budget of 200"
    );
    assert!(
        retried >= 200,
        "{retried} retries are fewer than the budget of 200"
    );
}

#[test]
fn draining_router_refuses_new_requests_and_finishes_the_others() {
    let (mut router, sequence, id) = dispatched_request(true);
    assert!(
        !router
            .step(secs(1), Input::Drain)
            .contains(&Output::Drained)
    );
    let (late, outputs) = router.arrive(secs(1), spec(1, false));
    let [Reply::Refuse(refusal)] = replies(&outputs, late)[..] else {
        panic!("{outputs:?}");
    };
    assert_eq!((refusal.cause, refusal.ran), (Cause::Draining, Ran::No));
    let outputs = receive(&mut router, secs(2), 7, chunk(id, 0, "abc", Some(3)));
    assert_eq!(replies(&outputs, sequence).len(), 3);
    assert!(outputs.contains(&Output::Drained));
}

/// A request whose time had passed while its body was read was sent to a target.
#[test]
fn request_whose_time_has_passed_on_arrival_is_not_dispatched() {
    let mut router = router(Bounds::default());
    link_up(&mut router, secs(0), 7, 70);
    offer(&mut router, secs(0), 7, 1);
    let mut late = spec(1, true);
    late.timeout = secs(0);
    let (sequence, outputs) = router.arrive(secs(0), late);
    assert_eq!(dispatched(&outputs), None);
    let [Reply::Refuse(refusal)] = replies(&outputs, sequence)[..] else {
        panic!("{outputs:?}");
    };
    assert_eq!((refusal.cause, refusal.ran), (Cause::Deadline, Ran::No));
}

#[test]
fn request_whose_expected_wait_exceeds_its_timeout_is_refused_at_once() {
    let mut router = router(Bounds::default());
    link_up(&mut router, secs(0), 7, 70);
    for i in 0..40 {
        let mut request = spec(1, false);
        request.timeout = secs(1_000);
        router.arrive(secs(0), request);
        if i < 10 {
            continue;
        }
        let grant = Message::Grant {
            grant: i,
            account: 1,
            stamp: 1,
        };
        receive(&mut router, secs(i * 5), 7, grant);
    }
    // Ten requests wait and one departs each five seconds, so the expected wait of fifty
    // seconds exceeds the timeout of thirty.
    let (sequence, outputs) = router.arrive(secs(200), spec(1, false));
    let [Reply::Refuse(refusal)] = replies(&outputs, sequence)[..] else {
        panic!("{outputs:?}");
    };
    assert_eq!((refusal.cause, refusal.ran), (Cause::Overload, Ran::No));
    assert!(refusal.retry.is_some_and(|retry| retry > secs(30)));
}

/// How far a request has come when its router ends, and what its caller gets.
struct Ended {
    dispatched: bool,
    begun: bool,
    refusal: Option<(Cause, Ran)>,
}

#[rstest]
#[case::queued(Ended { dispatched: false, begun: false, refusal: Some((Cause::Draining, Ran::No)) })]
#[case::dispatched(Ended { dispatched: true, begun: false, refusal: Some((Cause::Timeout, Ran::Unknown)) })]
#[case::begun(Ended { dispatched: true, begun: true, refusal: None })]
fn a_router_that_ends_leaves_no_request_without_an_answer(#[case] case: Ended) {
    let (mut router, mut sequence, id) = dispatched_request(true);
    if case.begun {
        receive(&mut router, secs(1), 7, chunk(id, 0, "a", None));
    }
    if !case.dispatched {
        sequence = router.arrive(secs(1), spec(1, true)).0;
    }
    let outputs = router.step(secs(2), Input::Close);
    let actual = match &replies(&outputs, sequence)[..] {
        [Reply::Refuse(refusal)] => Some((refusal.cause, refusal.ran)),
        [Reply::Break] => None,
        other => panic!("{other:?}"),
    };
    assert_eq!(actual, case.refusal);
    assert_eq!(router.active(), 0);
    assert!(outputs.contains(&Output::Drained));
}

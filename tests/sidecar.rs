//! Admission control of a sidecar: refusals, records of attempts, idempotency keys, and that no
//! attempt runs twice.

use std::{
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;
use redwingyard::{
    ids::id,
    rules,
    sidecar::{
        Input,
        Output,
        Settings,
        Sidecar, //
    },
    wire::{
        AttemptId,
        Dispatch,
        End,
        Head,
        IdempotencyKey,
        Message,
        Reason, //
    }, //
};
use rstest::rstest;

const ROUTER: u32 = 5;
const INCARNATION: u64 = 77;
const RULES: &str = "generation 1 # kim\ntarget svc t # kim\nshare * a 1 # kim\n";

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn sidecar(text: &str) -> Sidecar {
    let mut sidecar = Sidecar::new(Settings {
        target: id("t"),
        service: id("svc"),
        slots: 2,
        incarnation: INCARNATION,
        epoch_offset: secs(1_000_000),
    });
    let rules = rules::from_str(text).expect("the rules are valid");
    sidecar.step(secs(0), Input::Rules(Rc::new(rules)));
    let up = Input::Up {
        router: ROUTER,
        incarnation: 9,
    };
    sidecar.step(secs(0), up);
    sidecar
}

fn head(status: u16) -> Head {
    Head {
        status,
        method: "POST".to_owned(),
        path: "/".to_owned(),
        fields: Vec::new(),
    }
}

fn dispatch(sequence: u64, stamp: Duration) -> Dispatch {
    Dispatch {
        id: AttemptId {
            incarnation: 9,
            sequence,
            attempt: 1,
        },
        incarnation: INCARNATION,
        stamp: stamp.as_millis() as u64,
        grant: 0,
        account: id("a"),
        write: true,
        key: None,
        generation: 1,
        head: Rc::new(head(0)),
        body: Bytes::new(),
    }
}

fn send(sidecar: &mut Sidecar, now: Duration, message: Message) -> Vec<Output> {
    let router = ROUTER;
    sidecar.step(now, Input::Message { router, message })
}

fn submit(sidecar: &mut Sidecar, now: Duration, dispatch: Dispatch) -> Vec<Output> {
    send(sidecar, now, Message::Dispatch(Rc::new(dispatch)))
}

fn runs(outputs: &[Output]) -> usize {
    outputs
        .iter()
        .filter(|out| matches!(out, Output::Run(_)))
        .count()
}

fn refusal(outputs: &[Output]) -> Option<Reason> {
    outputs.iter().find_map(|out| match out {
        Output::Send(_, Message::Refused { reason, .. }) => Some(*reason),
        _ => None,
    })
}

fn finish(sidecar: &mut Sidecar, now: Duration, sequence: u64) -> Vec<Output> {
    let answer = Input::Answer {
        id: dispatch(sequence, secs(0)).id,
        head: Some(head(200)),
        data: Bytes::from_static(b"saved"),
        end: Some(End {
            length: 5,
            trailers: Vec::new(),
        }),
    };
    sidecar.step(now, answer)
}

struct Refused {
    rules: &'static str,
    change: fn(&mut Dispatch),
    now: u64,
    reason: Reason,
}

/// Each case fails without the line of `Sidecar::admit`, `Sidecar::resolve_key` or `Keys::claim`
/// that returns its reason.
#[rstest]
#[case::other_incarnation(Refused {
    rules: RULES,
    change: |dispatch| dispatch.incarnation += 1,
    now: 1,
    reason: Reason::Stale,
})]
#[case::late(Refused { rules: RULES, change: |_| {}, now: 12, reason: Reason::Expired })]
#[case::leaving(Refused {
    rules: "generation 1 # kim\ntarget svc t # kim\nleaving t # kim\n",
    change: |_| {},
    now: 1,
    reason: Reason::Leaving,
})]
#[case::not_listed(Refused {
    rules: "generation 1 # kim\ntarget svc u # kim\n",
    change: |_| {},
    now: 1,
    reason: Reason::Leaving,
})]
#[case::key_of_another_generation(Refused {
    rules: RULES,
    change: |dispatch| {
        dispatch.key = Some(IdempotencyKey { key: 1, issued: None, fingerprint: 1 });
        dispatch.generation = 2;
    },
    now: 1,
    reason: Reason::Generation,
})]
#[case::opaque_key_at_a_new_sidecar(Refused {
    rules: RULES,
    change: |dispatch| dispatch.key = Some(IdempotencyKey { key: 1, issued: None, fingerprint: 1 }),
    now: 1,
    reason: Reason::KeyUnknown,
})]
#[case::key_older_than_the_sidecar(Refused {
    rules: RULES,
    change: |dispatch| {
        let issued = Some(secs(999_999).as_millis() as u64);
        dispatch.key = Some(IdempotencyKey { key: 1, issued, fingerprint: 1 });
    },
    now: 5,
    reason: Reason::KeyUnknown,
})]
fn refuses(#[case] case: Refused) {
    let mut sidecar = sidecar(case.rules);
    let mut dispatch = dispatch(1, secs(1));
    (case.change)(&mut dispatch);
    let outputs = submit(&mut sidecar, secs(case.now), dispatch);
    assert_eq!((runs(&outputs), refusal(&outputs)), (0, Some(case.reason)));
}

#[test]
fn dispatch_beyond_the_slots_is_refused_as_busy() {
    let mut sidecar = sidecar(RULES);
    for i in 1..=2 {
        assert_eq!(
            runs(&submit(&mut sidecar, secs(1), dispatch(i, secs(1)))),
            1
        );
    }
    let outputs = submit(&mut sidecar, secs(1), dispatch(3, secs(1)));
    assert_eq!((runs(&outputs), refusal(&outputs)), (0, Some(Reason::Busy)));
}

struct RefusedCopy {
    /// Makes the sidecar refuse the first copy of dispatch 3.
    block: fn(&mut Sidecar),
    /// Removes the cause, so that only the record can prevent a later copy from running.
    unblock: fn(&mut Sidecar),
    reason: Reason,
}

fn install_rules(sidecar: &mut Sidecar, text: &str) {
    let rules = rules::from_str(text).expect("the rules are valid");
    sidecar.step(secs(2), Input::Rules(Rc::new(rules)));
}

/// A refusal means that the request did not run, so no later copy of its dispatch may run. Fails
/// without `records.close` in `Sidecar::refuse`.
#[rstest]
#[case::busy(RefusedCopy {
    block: |sidecar| {
        for i in 1..=2 {
            submit(sidecar, secs(1), dispatch(i, secs(1)));
        }
    },
    unblock: |sidecar| {
        for i in 1..=2 {
            finish(sidecar, secs(3), i);
        }
    },
    reason: Reason::Busy,
})]
#[case::leaving(RefusedCopy {
    block: |sidecar| {
        let leaving = RULES.replace("generation 1", "generation 2") + "leaving t # kim\n";
        install_rules(sidecar, &leaving);
    },
    unblock: |sidecar| install_rules(sidecar, &RULES.replace("generation 1", "generation 3")),
    reason: Reason::Leaving,
})]
fn a_copy_of_a_refused_dispatch_does_not_run_later(#[case] case: RefusedCopy) {
    let mut sidecar = sidecar(RULES);
    (case.block)(&mut sidecar);
    let outputs = submit(&mut sidecar, secs(2), dispatch(3, secs(1)));
    assert_eq!((runs(&outputs), refusal(&outputs)), (0, Some(case.reason)));
    (case.unblock)(&mut sidecar);
    let other = submit(&mut sidecar, secs(4), dispatch(4, secs(3)));
    assert_eq!(
        runs(&other),
        1,
        "a new dispatch runs once the cause is removed"
    );
    finish(&mut sidecar, secs(4), 4);
    let copy = submit(&mut sidecar, secs(5), dispatch(3, secs(1)));
    assert_eq!((runs(&copy), refusal(&copy)), (0, Some(case.reason)));
}

/// Fails without the lookup of the record at the start of `Sidecar::dispatch`.
#[test]
fn a_repeated_dispatch_does_not_run_again() {
    let mut sidecar = sidecar(RULES);
    assert_eq!(
        runs(&submit(&mut sidecar, secs(1), dispatch(1, secs(1)))),
        1
    );
    assert_eq!(
        runs(&submit(&mut sidecar, secs(2), dispatch(1, secs(1)))),
        0
    );
    finish(&mut sidecar, secs(3), 1);
    let outputs = submit(&mut sidecar, secs(4), dispatch(1, secs(1)));
    assert_eq!(runs(&outputs), 0);
    sidecar.step(secs(59), Input::Tick);
    let late = submit(&mut sidecar, secs(60), dispatch(1, secs(1)));
    assert_eq!((runs(&late), refusal(&late)), (0, Some(Reason::Expired)));
}

/// A query was answered with "not run", so the dispatch may not run when it arrives later. Fails
/// without the record that `Records::presume_aborted` adds.
#[test]
fn a_queried_attempt_without_a_record_never_runs() {
    let mut sidecar = sidecar(RULES);
    let id = dispatch(1, secs(1)).id;
    let query = Message::Query {
        id,
        stamp: 1_000,
        offset: 0,
    };
    let outputs = send(&mut sidecar, secs(2), query);
    assert_eq!(refusal(&outputs), Some(Reason::Cancelled));
    let outputs = submit(&mut sidecar, secs(3), dispatch(1, secs(1)));
    assert_eq!(
        (runs(&outputs), refusal(&outputs)),
        (0, Some(Reason::Cancelled))
    );
}

#[test]
fn a_late_query_is_answered_as_forgotten() {
    let mut sidecar = sidecar(RULES);
    let id = dispatch(1, secs(1)).id;
    let query = Message::Query {
        id,
        stamp: 1_000,
        offset: 0,
    };
    let outputs = send(&mut sidecar, secs(30), query);
    assert_eq!(refusal(&outputs), Some(Reason::Forgotten));
}

#[test]
fn a_repeated_key_gets_the_first_answer() {
    let mut sidecar = sidecar(RULES);
    let issued = Some(secs(1_000_010).as_millis() as u64);
    let key = IdempotencyKey {
        key: 1,
        issued,
        fingerprint: 1,
    };
    let with_key = |sequence, key| Dispatch {
        key: Some(key),
        ..dispatch(sequence, secs(11))
    };
    let now = secs(11);
    assert_eq!(runs(&submit(&mut sidecar, now, with_key(1, key))), 1);
    let outputs = submit(&mut sidecar, now, with_key(2, key));
    assert_eq!(refusal(&outputs), Some(Reason::KeyRunning));
    finish(&mut sidecar, now, 1);
    let outputs = submit(&mut sidecar, now, with_key(3, key));
    assert_eq!(runs(&outputs), 0);
    let replayed = outputs.iter().any(|out| {
        matches!(out, Output::Send(_, Message::Chunk(chunk)) if chunk.data == "saved" && chunk.end.is_some())
    });
    assert!(replayed, "{outputs:?}");
    let other = IdempotencyKey {
        fingerprint: 2,
        ..key
    };
    let outputs = submit(&mut sidecar, now, with_key(4, other));
    assert_eq!(refusal(&outputs), Some(Reason::KeyReused));
}

#[test]
fn a_cancelled_write_runs_to_its_end() {
    let mut sidecar = sidecar(RULES);
    submit(&mut sidecar, secs(1), dispatch(1, secs(1)));
    let id = dispatch(1, secs(1)).id;
    let outputs = send(&mut sidecar, secs(2), Message::Cancel { id });
    assert!(!outputs.contains(&Output::Abort(id)));
    let read = Dispatch {
        write: false,
        ..dispatch(2, secs(1))
    };
    submit(&mut sidecar, secs(1), read);
    let id = dispatch(2, secs(1)).id;
    let outputs = send(&mut sidecar, secs(2), Message::Cancel { id });
    assert!(outputs.contains(&Output::Abort(id)));
}

#[test]
fn draining_ends_with_the_last_attempt() {
    let mut sidecar = sidecar(RULES);
    submit(&mut sidecar, secs(1), dispatch(1, secs(1)));
    assert!(
        !sidecar
            .step(secs(2), Input::Drain)
            .contains(&Output::Drained)
    );
    let outputs = submit(&mut sidecar, secs(2), dispatch(2, secs(1)));
    assert_eq!(refusal(&outputs), Some(Reason::Leaving));
    assert!(finish(&mut sidecar, secs(3), 1).contains(&Output::Drained));
}

#[test]
fn grants_are_limited_to_slots_plus_extra_grants() {
    let mut sidecar = sidecar(RULES);
    let demand = Message::Demand {
        account: id("a"),
        waiting: 1_000,
        sidecars: 1,
    };
    let outputs = send(&mut sidecar, secs(1), demand);
    let grants = outputs
        .iter()
        .filter(|out| matches!(out, Output::Send(_, Message::Grant { .. })));
    // Two slots, and one extra grant for a round trip of 2 ms at a cost of 50 ms.
    assert_eq!(grants.count(), 3);
}

#[test]
fn records_expire_after_the_dispatch_lifetime() {
    let mut sidecar = sidecar(RULES);
    for i in 1..=100 {
        submit(&mut sidecar, secs(1), dispatch(i, secs(1)));
        finish(&mut sidecar, secs(1), i);
    }
    assert_eq!(sidecar.records().len(), 100);
    sidecar.step(secs(12), Input::Tick);
    assert!(sidecar.records().is_empty());
}

//! The wire codec under hostile bytes.

use redwingyard::wire::{
    AttemptId,
    Decoder,
    Error,
    MAX_FRAME,
    Message,
    PROTOCOL_VERSION,
    Reason,
    encode, //
};
use rstest::rstest;

fn message(i: u64) -> Message {
    let id = AttemptId {
        incarnation: i,
        sequence: i * 7,
        attempt: 1,
    };
    match i % 3 {
        0 => Message::Refused {
            id,
            reason: Reason::Busy,
        },
        1 => Message::Rules("generation 1 # kim\n".to_owned()),
        _ => Message::Query {
            id,
            stamp: i,
            offset: 9,
        },
    }
}

#[test]
fn survives_any_split() {
    let messages: Vec<_> = (0..30).map(message).collect();
    let bytes: Vec<u8> = messages.iter().flat_map(encode).collect();
    for size in 1..40 {
        let mut decoder = Decoder::default();
        let mut got = Vec::new();
        for piece in bytes.chunks(size) {
            decoder.extend(piece);
            while let Some(message) = decoder.next_message().expect("valid messages") {
                got.push(message);
            }
        }
        assert_eq!(got, messages);
    }
}

#[test]
fn noise_is_an_error_or_nothing() {
    let mut rng = fastrand::Rng::with_seed(11);
    let mut errors = 0;
    for _ in 0..20_000 {
        let mut bytes = encode(&message(rng.u64(..30)));
        for _ in 0..rng.usize(1..6) {
            let at = rng.usize(..bytes.len());
            bytes[at] = rng.u8(..);
        }
        let mut decoder = Decoder::default();
        decoder.extend(&bytes);
        errors += usize::from(decoder.next_message().is_err());
    }
    assert!(errors > 1_000, "only {errors} frames were refused");
}

struct Bad {
    bytes: Vec<u8>,
    error: &'static str,
}

#[rstest]
#[case::empty_frame(Bad { bytes: vec![0; 8], error: "a frame of 0 bytes is too large" })]
#[case::huge(Bad {
    bytes: (MAX_FRAME as u32 + 1).to_le_bytes().to_vec(),
    error: "a frame of 4194305 bytes is too large",
})]
#[case::version(Bad {
    bytes: vec![1, 0, 0, 0, PROTOCOL_VERSION + 1],
    error: "version 2 is not supported",
})]
fn refuses(#[case] case: Bad) {
    let mut decoder = Decoder::default();
    decoder.extend(&case.bytes);
    let err: Error = decoder.next_message().expect_err("the frame is refused");
    assert_eq!(err.to_string(), case.error);
}

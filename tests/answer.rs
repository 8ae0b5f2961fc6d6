//! Tests of where the events of a stream end, and of what an answer without framing lacks.

use bytes::Bytes;
use redwingyard::answer::{
    EventSplitter,
    Flaw,
    Framing,
    Progress,
    TargetState, //
};
use rstest::rstest;

struct LineEnds {
    /// Two events, the line ends of which are marked by the case.
    events: [&'static str; 2],
}

/// Each event ends with a blank line, whichever line ends the target writes.
#[rstest]
#[case::lf(LineEnds { events: ["id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"] })]
#[case::cr_lf(LineEnds { events: ["id: 1\r\ndata: a\r\n\r\n", "id: 2\r\ndata: b\r\n\r\n"] })]
#[case::cr(LineEnds { events: ["id: 1\rdata: a\r\r", "id: 2\rdata: b\r\r"] })]
#[case::mixed(LineEnds { events: ["id: 1\r\ndata: a\n\r\n", "id: 2\ndata: b\r\n\n"] })]
fn an_event_is_seen_to_end_with_any_line_end(#[case] case: LineEnds) {
    let [first, second] = case.events;
    let text = format!("{first}{second}");
    for cut in 0..=text.len() {
        let mut splitter = EventSplitter::default();
        let mut progress = Progress::new(Framing::Connection, true);
        let mut passed = Vec::new();
        let mut count = 0;
        for piece in [&text[..cut], &text[cut..]] {
            let whole = splitter.push(Bytes::copy_from_slice(piece.as_bytes()));
            passed.extend(whole.expect("no event is repeated"));
            count += progress.push(piece.as_bytes());
        }
        assert_eq!(String::from_utf8_lossy(&passed), text, "cut at {cut}");
        assert_eq!(splitter.start_continuation(), Some("2"), "cut at {cut}");
        assert_eq!((count, progress.flaw()), (2, None), "cut at {cut}");
        // A stream that ends at the cut lacks nothing only between two events.
        let mut progress = Progress::new(Framing::Connection, true);
        let mut splitter = EventSplitter::default();
        progress.push(&text.as_bytes()[..cut]);
        let whole = splitter.push(Bytes::copy_from_slice(&text.as_bytes()[..cut]));
        let expected = match cut {
            0 => Some(Flaw::NoEvent),
            _ if whole.as_ref().is_ok_and(|whole| whole.len() == cut) => None,
            _ => Some(Flaw::InsideEvent),
        };
        assert_eq!(progress.flaw(), expected, "ends at {cut}");
    }
}

struct End {
    framing: Framing,
    stream: bool,
    body: &'static str,
    /// Whether the answer is whole if its target is alive, leaving, crashed or unknown.
    whole: [bool; 4],
}

#[rstest]
#[case::framed(End { framing: Framing::Chunks, stream: true, body: "id: 1\nda", whole: [true; 4] })]
#[case::plain(End {
    framing: Framing::Connection, stream: false, body: "sizes", whole: [true, true, false, true],
})]
#[case::empty(End {
    framing: Framing::Connection, stream: false, body: "", whole: [true, true, false, true],
})]
#[case::between_events(End {
    framing: Framing::Connection, stream: true, body: "id: 1\ndata: a\n\n",
    whole: [true, true, false, true],
})]
#[case::inside_an_event(End {
    framing: Framing::Connection, stream: true, body: "id: 1\ndata: a\n\nid", whole: [false; 4],
})]
#[case::no_event(End {
    framing: Framing::Connection, stream: true, body: "\n\n", whole: [false; 4],
})]
fn the_end_of_an_answer_is_judged_by_its_bytes_and_its_target(#[case] case: End) {
    let mut progress = Progress::new(case.framing, case.stream);
    progress.push(case.body.as_bytes());
    let states = [
        TargetState::Alive,
        TargetState::Leaving,
        TargetState::Crashed,
        TargetState::Unknown,
    ];
    let whole = states.map(|state| progress.judge(state).is_ok());
    assert_eq!(whole, case.whole);
}

//! Ordinary callers of an idle service, and the rule on answers at their route's timeout.

use std::{
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use crate::{Outcome, Run, http::Conn};

/// The figures of the sheet.
pub const TIMEOUT_MS: u32 = 1_200;
const BUDGET_MS: u32 = 2_500;
pub const ORDINARY: usize = 20;
/// The time from the start from which on calls count: `contactMs`.
const WARM: u128 = 3_000;

/// One call of an ordinary caller.
struct Call {
    began: u128,
    took: u128,
    /// The status; 0 if the caller gave up at its time budget.
    status: u16,
}

/// Sends a request and returns the status of a whole answer; 0 if there is none.
pub fn ask(conn: &mut Conn, text: &str) -> u16 {
    let answer = conn.send(text.as_bytes()).and_then(|()| conn.head());
    let Ok(Some(head)) = answer else {
        return 0;
    };
    match conn.body(&head, false).1 {
        true => head.status(),
        false => 0,
    }
}

/// Asks for a chart again and again, and gives each call up at its time budget.
fn ordinary(
    front: SocketAddr,
    start: Instant,
    end: Instant,
    i: usize,
    keys: &[&'static str],
) -> Vec<Call> {
    let budget = Duration::from_millis(u64::from(BUDGET_MS));
    let (mut calls, mut serial, mut kept) = (Vec::new(), 0, None);
    while Instant::now() < end {
        serial += 1;
        let began = Instant::now();
        let conn = kept.take().or_else(|| {
            let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
            Some(Conn::new(stream))
        });
        let status = conn.map_or(0, |mut conn| {
            let _ = conn.stream.set_read_timeout(Some(budget.saturating_sub(began.elapsed()).max(Duration::from_millis(1))));
            let text = format!(
                "GET /lookup/2f HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: o{i}-{serial}\r\nDeadline: {BUDGET_MS}\r\nCredential: {}\r\n\r\n",
                keys[i % keys.len()]
            );
            let status = ask(&mut conn, &text);
            kept = (status != 0).then_some(conn);
            status
        });
        calls.push(Call {
            began: (began - start).as_millis(),
            took: began.elapsed().as_millis(),
            status,
        });
        thread::sleep(Duration::from_millis(100));
    }
    calls
}

/// The calls of all ordinary callers.
pub struct Calls(Vec<Call>);

impl Calls {
    /// Lets the ordinary callers call until the end.
    pub fn make(
        front: SocketAddr,
        start: Instant,
        end: Instant,
        keys: &'static [&'static str],
    ) -> Self {
        let call = |i| thread::spawn(move || ordinary(front, start, end, i, keys));
        let callers: Vec<_> = (0..ORDINARY).map(call).collect();
        let calls = callers
            .into_iter()
            .flat_map(|caller| caller.join().unwrap_or_default());
        let mut calls: Vec<_> = calls.collect();
        calls.sort_by_key(|call| call.began);
        Self(calls)
    }

    /// Writes each call to the record.
    pub fn note(&self, run: &mut Run) {
        for call in &self.0 {
            let what = if call.status == 0 {
                "no answer".to_owned()
            } else {
                call.status.to_string()
            };
            run.record.push_str(&format!(
                "ordinary call at {} ms: {what} after {} ms\n",
                call.began, call.took
            ));
        }
    }

    /// Judges the answers at the route's timeout and half a second later.
    pub fn judge(&self, run: &mut Run) -> Outcome {
        let counted: Vec<_> = self.0.iter().filter(|call| call.began >= WARM).collect();
        let timeout = u128::from(TIMEOUT_MS);
        let without = |limit: u128| counted.iter().filter(|call| call.took > limit).count();
        let (at, later) = (without(timeout), without(timeout + 500));
        let good = counted.iter().filter(|call| call.status == 200).count();
        let longest = counted.iter().map(|call| call.took).max().unwrap_or(0);
        run.note(&format!(
            "ordinary calls: {}, {good} answered with success, the longest took {longest} ms",
            counted.len()
        ));
        run.note(&format!("{at} had no answer at their route's timeout of {TIMEOUT_MS} ms, and {later} of them none half a second later"));
        if good == 0 && !run.trouble {
            return Outcome::Failed;
        }
        match later >= 8 && later * 2 > at {
            true => Outcome::Broken,
            false => Outcome::Held,
        }
    }
}

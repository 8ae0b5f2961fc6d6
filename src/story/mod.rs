//! What happened to one request, told from the log lines of all processes.
//!
//! ```
//! let log = "\
//! time_ms=1000 level=info event=refuse sequence=7 cause=overload retry_ms=460 waiting=8
//! time_ms=1000 level=info event=end request=r1 sequence=7 account=stall-1 route=fit \
//!     generation=2 outcome=refused-overload took_ms=0 left_ms=2786";
//! let story = redwingyard::story::explain("r1", [("gateway-1", log)]).unwrap();
//! assert!(story.starts_with("request r1 at gateway-1: refused-overload after 0 ms\n"));
//! assert!(redwingyard::story::explain("r2", [("gateway-1", log)]).is_none());
//! ```

mod line;
mod terms;

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt::Write, //
};

use line::Line;

/// The time before a request's first line, in milliseconds, in which a process's changes of
/// belief belong to its story: two reads of the store.
const BEFORE: u64 = 2_000;

/// A request as one start of a process counts it.
type Key = (String, u32, String);

/// A line with the start of its process that it belongs to.
struct Placed {
    line: Line,
    start: u32,
}

/// Tells what happened to a request, or returns `None` where no line names it.
///
/// Each log comes with the name of its process, for lines that don't begin with one.
pub fn explain<'a>(id: &str, logs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Option<String> {
    let lines = read(logs);
    let named = lines
        .iter()
        .filter(|placed| placed.line.get("request") == Some(id));
    let named: Vec<_> = named.collect();
    let first = named.iter().map(|placed| placed.line.time).min()?;
    let keys: BTreeSet<Key> = named.iter().filter_map(|placed| placed.key()).collect();
    let targets: BTreeSet<_> = named
        .iter()
        .filter_map(|placed| placed.line.get("target"))
        .collect();
    let starts: BTreeSet<_> = named.iter().map(|placed| placed.origin()).collect();
    let about = |placed: &&Placed| placed.is_about(id, &keys);
    let about: Vec<_> = lines.iter().filter(about).collect();
    let begun = about.iter().map(|placed| placed.line.time).min()?;
    let ended = about.iter().map(|placed| placed.line.time).max()?;
    let believed = |placed: &&Placed| {
        let line = &placed.line;
        let known = line
            .get("target")
            .is_none_or(|target| targets.contains(target));
        let near = (begun.saturating_sub(BEFORE)..=ended).contains(&line.time);
        terms::is_belief(&line.event) && near && known && starts.contains(&placed.origin())
    };
    let mut story: Vec<_> = lines.iter().filter(believed).chain(about).collect();
    story.sort_by_key(|placed| placed.line.time);
    let mut text = headline(id, &named);
    for placed in story {
        let offset = placed.line.time as i64 - first as i64;
        let _ = writeln!(text, "{offset:>7} ms  {}", placed.line.describe());
    }
    Some(text)
}

fn read<'a>(logs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Vec<Placed> {
    let mut starts: BTreeMap<String, u32> = BTreeMap::new();
    let mut lines = Vec::new();
    for (name, log) in logs {
        for line in log.lines().filter_map(|text| Line::parse(name, text)) {
            let start = starts.entry(line.process.clone()).or_default();
            *start += u32::from(line.event == "start");
            let start = *start;
            lines.push(Placed { line, start });
        }
    }
    lines
}

/// Says how each attempt of the caller ended, and what that means.
fn headline(id: &str, named: &[&Placed]) -> String {
    let mut text = String::new();
    let ends = named.iter().map(|placed| &placed.line);
    for line in ends.filter(|line| terms::is_end(&line.event)) {
        let outcome = line.get("outcome").or(line.get("cause")).unwrap_or("?");
        let _ = write!(text, "request {id} at {}: {outcome}", line.process);
        if let Some(took) = line.get("took_ms") {
            let _ = write!(text, " after {took} ms");
        }
        let _ = writeln!(text, "\n{}", terms::meaning(outcome));
    }
    if text.is_empty() {
        let _ = writeln!(text, "request {id}: no line says how it ended");
    }
    text
}

impl Placed {
    /// Returns the process and its start.
    fn origin(&self) -> (&str, u32) {
        (&self.line.process, self.start)
    }

    fn key(&self) -> Option<Key> {
        let sequence = self.line.get("sequence")?;
        Some((self.line.process.clone(), self.start, sequence.to_owned()))
    }

    /// Returns whether the line names the request, or its number at its process.
    fn is_about(&self, id: &str, keys: &BTreeSet<Key>) -> bool {
        match self.line.get("request") {
            Some(request) => request == id,
            None => self.key().is_some_and(|key| keys.contains(&key)),
        }
    }
}

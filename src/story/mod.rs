//! Explains what happened to one request, from the log lines of all processes.
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

/// How long before a request's first line, in milliseconds, a change of the process's state is
/// still included in the explanation: the time of two reads of the store.
const CONTEXT_MS: u64 = 2_000;

/// A request's process, the run of the process, and the request's sequence number in that run.
type RequestKey = (String, u32, String);

/// A line and the run of its process that logged it.
struct LogLine {
    line: Line,
    /// The number of times that the process had started by then.
    run: u32,
}

/// Explains what happened to a request, or returns `None` if no line names it.
///
/// Each log is given with the name of a process, which is used for lines without a process name.
pub fn explain<'a>(id: &str, logs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Option<String> {
    let lines = read(logs);
    let named = lines
        .iter()
        .filter(|entry| entry.line.get("request") == Some(id));
    let named: Vec<_> = named.collect();
    let first = named.iter().map(|entry| entry.line.time).min()?;
    let keys: BTreeSet<RequestKey> = named.iter().filter_map(|entry| entry.key()).collect();
    let targets: BTreeSet<_> = named
        .iter()
        .filter_map(|entry| entry.line.get("target"))
        .collect();
    let runs: BTreeSet<_> = named.iter().map(|entry| entry.process_run()).collect();
    let belongs = |entry: &&LogLine| entry.belongs_to(id, &keys);
    let own: Vec<_> = lines.iter().filter(belongs).collect();
    let begun = own.iter().map(|entry| entry.line.time).min()?;
    let ended = own.iter().map(|entry| entry.line.time).max()?;
    let is_context = |entry: &&LogLine| {
        let line = &entry.line;
        let relevant = line
            .get("target")
            .is_none_or(|target| targets.contains(target));
        let near = (begun.saturating_sub(CONTEXT_MS)..=ended).contains(&line.time);
        terms::is_state_change(&line.event)
            && near
            && relevant
            && runs.contains(&entry.process_run())
    };
    let mut story: Vec<_> = lines.iter().filter(is_context).chain(own).collect();
    story.sort_by_key(|entry| entry.line.time);
    let mut text = headline(id, &named);
    for entry in story {
        let offset = entry.line.time as i64 - first as i64;
        let _ = writeln!(text, "{offset:>7} ms  {}", entry.line.describe());
    }
    Some(text)
}

/// Parses the events in the logs and counts the runs of each process.
fn read<'a>(logs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Vec<LogLine> {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    let mut lines = Vec::new();
    for (name, log) in logs {
        for line in log.lines().filter_map(|text| Line::parse(name, text)) {
            let run = runs.entry(line.process.clone()).or_default();
            *run += u32::from(line.event == "start");
            let run = *run;
            lines.push(LogLine { line, run });
        }
    }
    lines
}

/// Returns how each attempt of the caller ended, and what that outcome means.
fn headline(id: &str, named: &[&LogLine]) -> String {
    let mut text = String::new();
    let ends = named.iter().map(|entry| &entry.line);
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

impl LogLine {
    fn process_run(&self) -> (&str, u32) {
        (&self.line.process, self.run)
    }

    fn key(&self) -> Option<RequestKey> {
        let sequence = self.line.get("sequence")?;
        Some((self.line.process.clone(), self.run, sequence.to_owned()))
    }

    /// Returns whether the line names the request, or has one of its sequence numbers in the same
    /// run of the process.
    fn belongs_to(&self, id: &str, keys: &BTreeSet<RequestKey>) -> bool {
        match self.line.get("request") {
            Some(request) => request == id,
            None => self.key().is_some_and(|key| keys.contains(&key)),
        }
    }
}

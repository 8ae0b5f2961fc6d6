//! Parses a line of a log, which consists of fields `key=value`.

use std::fmt::Write;

use super::terms;

/// The first field of a log line; the last word before it, if there is one, names the process.
const TIME: &str = "time_ms=";

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Line {
    pub(super) process: String,
    /// The time since the Unix epoch, in milliseconds.
    pub(super) time: u64,
    pub(super) event: String,
    fields: Vec<(String, String)>,
}

impl Line {
    /// Parses a line, or returns `None` if it is not an event of a process. A line without a
    /// process name belongs to the process `default_name`.
    pub(super) fn parse(default_name: &str, text: &str) -> Option<Self> {
        let start = text.find(TIME)?;
        let process = text[..start]
            .split_whitespace()
            .last()
            .unwrap_or(default_name);
        let mut time = None;
        let mut event = None;
        let mut fields = Vec::new();
        for (key, value) in Fields(&text[start..]) {
            match key {
                "time_ms" => time = value.parse().ok(),
                "event" => event = Some(value.to_owned()),
                "level" => {}
                _ => fields.push((key.to_owned(), value.to_owned())),
            }
        }
        Some(Self {
            process: process.to_owned(),
            time: time?,
            event: event?,
            fields,
        })
    }

    pub(super) fn get(&self, key: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(name, _)| name == key);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the event in words, with all fields except those that identify the request.
    pub(super) fn describe(&self) -> String {
        let mut text = format!("{}  {}", self.process, terms::phrase(&self.event));
        for (key, value) in &self.fields {
            if !matches!(key.as_str(), "request" | "sequence") {
                let _ = write!(text, " {key}={value}");
            }
        }
        text
    }
}

/// Iterates over the fields of a line; a value in quotes may contain spaces.
struct Fields<'a>(&'a str);

impl<'a> Iterator for Fields<'a> {
    type Item = (&'a str, &'a str);

    fn next(&mut self) -> Option<Self::Item> {
        let text = self.0.trim_start();
        let (key, rest) = text.split_once('=')?;
        let end = match rest.strip_prefix('"') {
            Some(quoted) => quoted.find('"')? + 2,
            None => rest.find(char::is_whitespace).unwrap_or(rest.len()),
        };
        let (value, rest) = rest.split_at(end);
        self.0 = rest;
        Some((key, value))
    }
}

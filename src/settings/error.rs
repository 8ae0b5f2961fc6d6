//! Errors in the settings, each with its line and column.

use derive_more::{
    Display,
    Error, //
};

/// The kind of an error in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Category {
    /// The text is not valid JSON.
    #[display("syntax")]
    Syntax,
    /// A field is unknown, missing or of the wrong type.
    #[display("data")]
    Data,
    /// Fields contradict each other or are out of range.
    #[display("contradiction")]
    Contradiction,
}

/// Why settings are refused.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("line {line} column {column}: {detail}")]
pub struct Error {
    /// What kind of error it is.
    pub category: Category,
    /// The line, counted from one.
    pub line: usize,
    /// The column, counted from one.
    pub column: usize,
    /// What is wrong.
    pub detail: String,
}

impl From<serde_json::Error> for Error {
    fn from(err: serde_json::Error) -> Self {
        let category = match err.classify() {
            serde_json::error::Category::Data => Category::Data,
            _ => Category::Syntax,
        };
        let text = err.to_string();
        let suffix = format!(" at line {} column {}", err.line(), err.column());
        let detail = text.strip_suffix(&suffix).unwrap_or(&text).to_owned();
        Self {
            category,
            line: err.line(),
            column: err.column(),
            detail,
        }
    }
}

//! Errors of the rules file, each with its line and column.

use derive_more::{
    Display,
    Error, //
};

/// The kind of an error in a rules file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Category {
    /// A line is not of the form of any rule.
    #[display("syntax")]
    Syntax,
    /// A value is outside its range or contradicts another line.
    #[display("data")]
    Data,
    /// A line does not name the person who asked for it.
    #[display("attribution")]
    Attribution,
}

/// One error in a rules file.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("line {line} column {column}: {detail}")]
pub struct Error {
    /// The kind of the error.
    pub category: Category,
    /// The line, counted from one.
    pub line: usize,
    /// The column in characters, counted from one.
    pub column: usize,
    /// The description of the error.
    pub detail: String,
}

/// All errors in a rules file, ordered by line and column.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub struct Errors(#[error(not(source))] pub Vec<Error>);

impl std::fmt::Display for Errors {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (i, err) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{err}")?;
        }
        Ok(())
    }
}

//! What is wrong with a text or a message, with the place where it stands and what is allowed.

use std::{error, fmt};

use serde::Serialize;

/// Longest part of a refused value that is shown, in characters.
const MAX_SHOWN_CHARS: usize = 64;

/// One thing that is wrong with settings, an inventory or a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Line in the text, from 1; 0 where there is no text, as in a change.
    pub line: usize,
    /// Column in the line, in characters from 1; 0 where it is not known.
    pub column: usize,
    /// The field, such as `holding.lease_ms` or `workers[hal-a-01].address`; may be empty.
    pub field: String,
    /// The refused value as written; empty where there is none or where it is secret.
    pub value: String,
    /// What is wrong, in one phrase.
    pub message: String,
    /// Unit of the field; empty where it has none.
    pub unit: &'static str,
    /// What is allowed, such as `500 to 60000`; empty where the message says all.
    pub allowed: String,
}

impl Problem {
    /// A problem of `field`, without a place.
    pub fn new(field: impl Into<String>, message: impl Into<String>) -> Self {
        Self { field: field.into(), message: message.into(), ..Self::default() }
    }

    /// A number outside of `min` to `max`.
    pub(crate) fn out_of_range(
        field: impl Into<String>,
        value: u64,
        (min, max): (u64, u64),
        unit: &'static str,
    ) -> Self {
        let allowed = format!("{min} to {max}");
        let message = format!("must be {allowed} {unit}");
        Self { unit, allowed, ..Self::new(field, message.trim_end()).with_value(value) }
    }

    /// Adds the refused value.
    #[must_use]
    pub(crate) fn with_value(mut self, value: impl fmt::Display) -> Self {
        self.value = value.to_string().chars().take(MAX_SHOWN_CHARS).collect();
        self
    }

    /// Adds what is allowed.
    #[must_use]
    pub(crate) fn with_allowed(mut self, allowed: impl Into<String>) -> Self {
        self.allowed = allowed.into();
        self
    }

    /// Adds the place in the text.
    #[must_use]
    pub(crate) fn at(mut self, (line, column): (usize, usize)) -> Self {
        (self.line, self.column) = (line, column);
        self
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(f, "line {}: ", self.line)?;
        }
        if !self.field.is_empty() {
            f.write_str(&self.field)?;
            if !self.value.is_empty() {
                write!(f, " = {}", self.value)?;
            }
            f.write_str(": ")?;
        }
        f.write_str(&self.message)
    }
}

impl error::Error for Problem {}

/// `Ok(value)` where there is no problem; else all of them in the order of the text.
pub(crate) fn unless<T>(problems: Vec<Problem>, value: T) -> Result<T, Vec<Problem>> {
    if problems.is_empty() { Ok(value) } else { Err(sorted(problems)) }
}

/// The problems in the order of the text.
pub(crate) fn sorted(mut problems: Vec<Problem>) -> Vec<Problem> {
    problems.sort_by_key(|problem| (problem.line, problem.column));
    problems
}

//! Validation problems in texts and messages, with their position and the allowed values.

use std::{error, fmt};

use serde::Serialize;

/// Maximum number of characters of a rejected value that are shown.
const MAX_SHOWN_CHARS: usize = 64;

/// One validation problem in settings, an inventory or a change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Line number in the text, from 1; 0 if there is no text, as for a change.
    pub line: usize,
    /// Column in the line, in characters from 1; 0 if it is not known.
    pub column: usize,
    /// Path of the field, such as `holding.lease_ms` or `workers[hal-a-01].address`; may be empty.
    pub field: String,
    /// The rejected value as written; empty if there is none or if it is secret.
    pub value: String,
    /// Short description of the problem, to be read after the field and its value.
    pub message: String,
    /// Unit of the field; empty if it has none.
    pub unit: &'static str,
    /// Description of the allowed values, such as `500 to 60000`; empty if the message is sufficient.
    pub allowed: String,
}

impl Problem {
    /// Creates a problem of `field` without a position in a text.
    pub fn new(field: impl Into<String>, message: impl Into<String>) -> Self {
        Self { field: field.into(), message: message.into(), ..Self::default() }
    }

    /// Creates a problem for a number outside the range from `min` to `max`.
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

    /// Sets the rejected value, shortened to [`MAX_SHOWN_CHARS`].
    #[must_use]
    pub(crate) fn with_value(mut self, value: impl fmt::Display) -> Self {
        self.value = value.to_string().chars().take(MAX_SHOWN_CHARS).collect();
        self
    }

    /// Sets the description of the allowed values.
    #[must_use]
    pub(crate) fn with_allowed(mut self, allowed: impl Into<String>) -> Self {
        self.allowed = allowed.into();
        self
    }

    /// Sets the position in the text.
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

/// Returns `Ok(value)` if there are no problems, and otherwise all problems in the order of the text.
pub(crate) fn ok_if_none<T>(problems: Vec<Problem>, value: T) -> Result<T, Vec<Problem>> {
    if problems.is_empty() { Ok(value) } else { Err(sorted(problems)) }
}

/// Sorts problems by their position in the text.
pub(crate) fn sorted(mut problems: Vec<Problem>) -> Vec<Problem> {
    problems.sort_by_key(|problem| (problem.line, problem.column));
    problems
}

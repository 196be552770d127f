//! A parsed TOML document that knows the position of each value and can be checked against a [`Shape`].

use std::{iter, mem};

use serde::de::DeserializeOwned;
use toml::{
    Spanned,
    de::{DeTable, DeValue, Deserializer, Error},
};

use crate::{
    nearest,
    problem::Problem,
    shape::{Member, Shape},
};

/// A parsed TOML document.
pub(crate) struct Document<'a> {
    lines: Lines<'a>,
    root: Spanned<DeTable<'a>>,
}

impl<'a> Document<'a> {
    /// Parses `text`. Only the syntax is checked.
    pub(crate) fn parse(text: &'a str) -> Result<Self, Vec<Problem>> {
        let lines = Lines::new(text);
        match DeTable::parse(text) {
            Ok(root) => Ok(Self { lines, root }),
            Err(err) => Err(vec![lines.syntax_problem(&err)]),
        }
    }

    /// Returns a problem for each unknown key and each value of the wrong type.
    pub(crate) fn verify(&self, members: &[Member]) -> Vec<Problem> {
        let mut verifier = Verifier { lines: &self.lines, problems: Vec::new() };
        verifier.table("", self.root.get_ref(), members);
        verifier.problems
    }

    /// Deserialises the document, ignoring unknown keys.
    pub(crate) fn decode<T: DeserializeOwned>(
        &self,
        members: &[Member],
    ) -> Result<T, Vec<Problem>> {
        let mut known = self.root.clone();
        drop_unknown(known.get_mut(), members);
        T::deserialize(Deserializer::from(known))
            .map_err(|err| vec![self.lines.syntax_problem(&err)])
    }

    /// Returns the line and column of the value at `path`, such as `workers[3].address`.
    ///
    /// If the value is absent, this is the position of the innermost enclosing table that is present, or the start of
    /// the text if there is none.
    pub(crate) fn locate(&self, path: &str) -> (usize, usize) {
        let mut offset = 0;
        let mut table = self.root.get_ref();
        for segment in path.split('.') {
            let (key, index) = split_index(segment);
            let Some(value) = table.iter().find(|(k, _)| k.get_ref() == key).map(|(_, v)| v) else {
                break;
            };
            let item = index.and_then(|i| value.get_ref().as_array()?.get(i)).unwrap_or(value);
            offset = item.span().start;
            let Some(inner) = item.get_ref().as_table() else { break };
            table = inner;
        }
        self.lines.line_and_column(offset)
    }
}

/// Removes the keys of a table that are not in `members`, recursively.
fn drop_unknown(table: &mut DeTable<'_>, members: &[Member]) {
    let known = mem::take(table).into_iter().filter_map(|(key, mut value)| {
        let member = members.iter().find(|member| member.key == key.get_ref())?;
        drop_unknown_in(value.get_mut(), &member.shape);
        Some((key, value))
    });
    *table = known.collect();
}

/// Removes unknown keys from all tables within a value.
fn drop_unknown_in(value: &mut DeValue<'_>, shape: &Shape) {
    match (value, shape) {
        (DeValue::Table(table), Shape::Table(members)) => drop_unknown(table, members),
        (DeValue::Array(items), Shape::List(shape)) => {
            items.iter_mut().for_each(|item| drop_unknown_in(item.get_mut(), shape));
        }
        _ => {}
    }
}

/// Splits a path segment such as `workers[3]` into its key and index.
fn split_index(segment: &str) -> (&str, Option<usize>) {
    match segment.split_once('[') {
        Some((key, index)) => (key, index.trim_end_matches(']').parse().ok()),
        None => (segment, None),
    }
}

/// Converts byte offsets in a text to lines and columns.
struct Lines<'a> {
    text: &'a str,
    /// Byte offset of the start of each line.
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Self {
        let newlines = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self { text, starts: iter::once(0).chain(newlines).collect() }
    }

    /// Returns the line and column of a byte offset, both counted from 1.
    fn line_and_column(&self, offset: usize) -> (usize, usize) {
        let line = self.starts.partition_point(|start| *start <= offset);
        let before = self.text.get(self.starts[line - 1]..offset).unwrap_or_default();
        (line, before.chars().count() + 1)
    }

    /// Converts an error of the TOML parser to a problem.
    fn syntax_problem(&self, err: &Error) -> Problem {
        let position = self.line_and_column(err.span().map_or(0, |span| span.start));
        // The parser's message may quote the document on further lines, so only the first line is used.
        Problem::new("", err.message().lines().next().unwrap_or("not valid TOML")).at(position)
    }
}

/// Walks a document and its shape in parallel and collects the differences.
struct Verifier<'a> {
    lines: &'a Lines<'a>,
    problems: Vec<Problem>,
}

impl Verifier<'_> {
    fn table(&mut self, path: &str, table: &DeTable<'_>, members: &[Member]) {
        for (key, value) in table {
            let name = key.get_ref().as_ref();
            let field = join(path, name);
            match members.iter().find(|m| m.key == name) {
                Some(member) => self.value(&field, value, &member.shape),
                None => self.unknown_key(field, key.span().start, name, members),
            }
        }
    }

    fn unknown_key(&mut self, field: String, offset: usize, name: &str, members: &[Member]) {
        let keys = || members.iter().map(|m| m.key);
        let message = match nearest::nearest(name, keys()) {
            Some(known) => format!("unknown key; did you mean `{known}`?"),
            None => "unknown key".to_owned(),
        };
        let allowed = keys().collect::<Vec<_>>().join(", ");
        let problem = Problem::new(field, message).with_allowed(allowed);
        self.problems.push(problem.at(self.lines.line_and_column(offset)));
    }

    /// Checks a value against its shape. Problems do not include the values of strings, since some are secret.
    fn value(&mut self, field: &str, value: &Spanned<DeValue<'_>>, shape: &Shape) {
        match (shape, value.get_ref()) {
            (Shape::Text, DeValue::String(_)) | (Shape::Flag, DeValue::Boolean(_)) => {}
            (Shape::Whole(max), DeValue::Integer(number)) => {
                let digits = number.as_str().replace('_', "");
                let parsed = i128::from_str_radix(&digits, number.radix());
                if !parsed.is_ok_and(|n| (0..=i128::from(*max)).contains(&n)) {
                    let allowed = format!("0 to {max}");
                    let problem = Problem::new(field, format!("must be {allowed}"));
                    let problem = problem.with_value(digits).with_allowed(allowed);
                    self.problems.push(problem.at(self.lines.line_and_column(value.span().start)));
                }
            }
            (Shape::List(shape), DeValue::Array(items)) => {
                for (i, item) in items.iter().enumerate() {
                    self.value(&format!("{field}[{i}]"), item, shape);
                }
            }
            (Shape::Table(members), DeValue::Table(table)) => self.table(field, table, members),
            (_, other) => self.wrong_type(field, value.span().start, shape, other),
        }
    }

    fn wrong_type(&mut self, field: &str, offset: usize, shape: &Shape, value: &DeValue<'_>) {
        let expected = match shape {
            Shape::Text => "a string",
            Shape::Whole(_) => "a whole number",
            Shape::Flag => "true or false",
            Shape::List(_) => "a list",
            Shape::Table(_) => "a table",
        };
        let message = format!("must be {expected}, is {}", value.type_str());
        let problem = Problem::new(field, message).with_allowed(expected);
        self.problems.push(problem.at(self.lines.line_and_column(offset)));
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

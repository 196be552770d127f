//! What a command hands back: text for people, JSON for scripts, and how to exit.

use std::io::{self, Write};

use lilacpass_schema::v1;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::{
    error::{Error, Result},
    exit::Exit,
};

/// The form in which results are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Text and tables for people.
    #[default]
    Human,
    /// One JSON document for scripts.
    Json,
}

/// The outcome of a command that got as far as an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Text for people, without the last newline.
    pub human: String,
    /// The same for scripts. An answer of the server stands here as it came, so that a field that
    /// this version of the tool does not know gets through.
    pub json: Value,
    /// How to exit.
    pub exit: Exit,
}

impl Report {
    /// A report of success.
    pub fn ok(human: impl Into<String>, json: Value) -> Self {
        Self { human: human.into(), json, exit: Exit::Ok }
    }

    /// A report of success on an `answer` of the server, which `render` makes readable.
    ///
    /// With [`Format::Json`] the answer is passed on without being understood.
    pub fn from_response<T: DeserializeOwned>(
        format: Format,
        response: Value,
        render: impl FnOnce(&T) -> String,
    ) -> Result<Self> {
        if format == Format::Json {
            return Ok(Self::ok("", response));
        }
        let view = decode(&response)?;
        Ok(Self::ok(render(&view), response))
    }

    /// Writes the report to `out` in the form asked for.
    pub fn write(&self, format: Format, out: &mut impl Write) -> io::Result<()> {
        match format {
            Format::Human if self.human.is_empty() => Ok(()),
            Format::Human => writeln!(out, "{}", self.human),
            Format::Json => writeln!(out, "{:#}", self.json),
        }
    }
}

/// Reads a JSON value as a message of the schema.
pub fn decode<T: DeserializeOwned>(value: &Value) -> Result<T> {
    T::deserialize(value).map_err(|err| Error::InvalidResponse(err.to_string()))
}

/// Writes a message of the schema as a JSON value.
pub fn encode<T: Serialize>(message: &T) -> Value {
    serde_json::to_value(message).unwrap_or(Value::Null)
}

/// An error as the JSON document that a script reads from standard output.
pub fn error_json(error: &Error) -> Value {
    encode::<v1::Problem>(&error.to_problem())
}

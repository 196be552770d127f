//! Result of a command: text for people, JSON for scripts, and the exit code.

use std::io::{self, Write};

use lilacpass_schema::v1;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::{
    error::{Error, Result},
    exit::Exit,
};

/// Output format of results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Text and tables for people.
    #[default]
    Human,
    /// One JSON document for scripts.
    Json,
}

/// Result of a command that completed.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Text for people, without the final newline.
    pub human: String,
    /// JSON document for scripts. A response of the server is kept as received, so that fields that are unknown to this
    /// version of the tool are passed through.
    pub json: Value,
    /// Outcome that determines the exit code.
    pub exit: Exit,
}

impl Report {
    /// Creates a report of success.
    pub fn ok(human: impl Into<String>, json: Value) -> Self {
        Self { human: human.into(), json, exit: Exit::Ok }
    }

    /// Creates a report of success for a response of the server, whose text is produced by `render`.
    ///
    /// With [`Format::Json`] the response is passed through without being decoded.
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

    /// Writes the report to `out` in the given format.
    pub fn write(&self, format: Format, out: &mut impl Write) -> io::Result<()> {
        match format {
            Format::Human if self.human.is_empty() => Ok(()),
            Format::Human => writeln!(out, "{}", self.human),
            Format::Json => writeln!(out, "{:#}", self.json),
        }
    }
}

/// Decodes a JSON value as a message of the schema.
pub fn decode<T: DeserializeOwned>(value: &Value) -> Result<T> {
    T::deserialize(value).map_err(|err| Error::InvalidResponse(err.to_string()))
}

/// Encodes a message of the schema as a JSON value.
pub fn encode<T: Serialize>(message: &T) -> Value {
    serde_json::to_value(message).unwrap_or(Value::Null)
}

/// Encodes an error as the JSON problem document that scripts read from standard output.
pub fn error_json(error: &Error) -> Value {
    encode::<v1::Problem>(&error.to_problem())
}

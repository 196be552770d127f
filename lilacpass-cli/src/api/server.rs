//! The address of an entry instance.

use std::{fmt, str::FromStr};

/// Address of the server if none is specified.
pub const DEFAULT_SERVER: &str = "http://127.0.0.1:7070";

const HTTP: &str = "http://";
const HTTPS: &str = "https://";

/// Address of an entry instance in the form `http://host:port`, without a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server(String);

impl Server {
    /// Returns the URL of `path`, which must begin with a slash.
    pub fn url(&self, path: &str) -> String {
        format!("{}{path}", self.0)
    }
}

impl fmt::Display for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Server {
    type Err = String;

    /// Parses `http://host:port` or `host:port`.
    fn from_str(text: &str) -> Result<Self, String> {
        if text.starts_with(HTTPS) {
            return Err("https is not supported yet; use http".to_owned());
        }
        let authority = text.strip_prefix(HTTP).unwrap_or(text).trim_end_matches('/');
        let well_formed = |c: char| c.is_ascii_alphanumeric() || "-._:[]".contains(c);
        if authority.is_empty() || !authority.chars().all(well_formed) {
            return Err(format!("{text:?} is not of the form http://host:port"));
        }
        Ok(Self(format!("{HTTP}{authority}")))
    }
}

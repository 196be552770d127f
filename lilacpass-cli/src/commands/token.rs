//! `token new`: creates an access token offline.

use lilacpass_config::access;
use lilacpass_schema::v1;
use serde_json::json;

use crate::{
    args::NewTokenArgs,
    commands::files,
    error::{Error, Result},
    report::Report,
};

/// Creates a token whose lifetime, if limited, starts at `now_unix_ms`, in milliseconds since 1970.
pub fn new(args: &NewTokenArgs, now_unix_ms: u64) -> Result<Report> {
    const MS_PER_S: u64 = 1_000;
    if args.team.is_some() && args.role != access::Role::Team {
        return Err(Error::Usage("--team requires --role team".to_owned()));
    }
    let (token, entry) = access::new_token(&args.name);
    let lifetime_s = args.expires_in.map(|lifetime| lifetime.as_secs());
    let entry = v1::AccessToken {
        role: args.role.to_string(),
        team: args.team.as_ref().map(ToString::to_string).unwrap_or_default(),
        expires_unix_s: lifetime_s.map_or(0, |s| now_unix_ms / MS_PER_S + s),
        ..entry
    };
    let configuration = v1::Configuration { tokens: vec![entry.clone()], ..Default::default() };
    let human = format!(
        "The token, which is shown only once; pass it on through a secure channel:\n\n{token}\n\n\
         The entry for the configuration file:\n\n{}",
        files::to_toml(&configuration)
    );
    Ok(Report::ok(human, json!({ "token": token, "entry": entry })))
}

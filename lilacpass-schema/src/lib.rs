//! Messages, records and settings of lilacpass, generated from the files in `proto/`.
//!
//! Regenerate with `cargo run -p lilacpass-codegen`. CI checks that the generated code is up to date.

/// Generated code of version 1 of the schema.
#[allow(missing_docs, unreachable_pub, unused_qualifications, clippy::all, clippy::pedantic)]
#[allow(clippy::semicolon_if_nothing_returned, clippy::uninlined_format_args)]
#[rustfmt::skip]
#[path = "generated/lilacpass.v1.rs"]
pub mod v1;

//! Generates files from the `.proto` files of `lilacpass-schema`: the Rust code of the messages, and the OpenAPI
//! description of the HTTP interface.
//!
//! `cargo run -p lilacpass-codegen` writes both files. With `--check`, it writes nothing, and exits with code 1 if the
//! committed files are out of date.

mod openapi;
mod operations;
mod schema;

use std::{
    env, error, fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use prost_types::{DescriptorProto, FileDescriptorProto, FileDescriptorSet};

const PROTO_DIR: &str = "lilacpass-schema/proto";
const GENERATED_DIR: &str = "lilacpass-schema/src/generated";
const GENERATED_FILE: &str = "lilacpass.v1.rs";
const OPENAPI_FILE: &str = "docs/openapi.json";

/// Attribute of all messages and enums, which allows reading and writing them as TOML and JSON.
const SERDE_DERIVE: &str = "#[derive(serde::Serialize, serde::Deserialize)]";
/// Attribute of messages that people write: unknown fields are rejected, so that typing errors are noticed.
const SERDE_STRICT: &str = "#[serde(default, deny_unknown_fields)]";
/// Attribute of messages that programs write: unknown fields are ignored, so that a client can read the responses of a
/// newer daemon during a rolling upgrade.
const SERDE_LENIENT: &str = "#[serde(default)]";

/// Files that contain only messages that people write.
const STRICT_FILES: [&str; 2] = ["config.proto", "settings.proto"];
/// Messages in other files that people write.
const STRICT_MESSAGES: [&str; 3] = ["Amount", "ChangeRequest", "JobSpec"];

fn main() -> ExitCode {
    let check = env::args().any(|arg| arg == "--check");
    match run(check) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("generated files are out of date: run `cargo run -p lilacpass-codegen`");
            ExitCode::FAILURE
        }
        Err(err) => {
            eprintln!("code generation failed: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Compares the generated files with the committed ones, or overwrites these if `check` is false. Returns whether the
/// committed files are up to date.
fn run(check: bool) -> Result<bool, Box<dyn error::Error>> {
    let descriptors = protox::compile(proto_files()?, [PROTO_DIR])?;
    let openapi = openapi::text(&descriptors, is_strict)?;
    let code = code(descriptors)?;
    let generated = [
        (Path::new(GENERATED_DIR).join(GENERATED_FILE), code),
        (PathBuf::from(OPENAPI_FILE), openapi),
    ];
    if check {
        let is_same = |(path, text): &(PathBuf, String)| {
            fs::read_to_string(path).is_ok_and(|old| old == *text)
        };
        return Ok(generated.iter().all(is_same));
    }
    fs::create_dir_all(GENERATED_DIR)?;
    for (path, text) in generated {
        fs::write(path, text)?;
    }
    Ok(true)
}

/// Generates the code of the messages in a temporary directory and returns its text.
fn code(descriptors: FileDescriptorSet) -> Result<String, Box<dyn error::Error>> {
    let scratch = env::temp_dir().join(format!("lilacpass-codegen-{}", std::process::id()));
    fs::create_dir_all(&scratch)?;
    let generated = generate(descriptors, &scratch);
    let text = generated.and_then(|()| Ok(fs::read_to_string(scratch.join(GENERATED_FILE))?));
    fs::remove_dir_all(&scratch)?;
    text
}

/// Generates the code of the messages into `out_dir`.
fn generate(descriptors: FileDescriptorSet, out_dir: &Path) -> Result<(), Box<dyn error::Error>> {
    let mut config = tonic_prost_build::Config::new();
    config.message_attribute(".", SERDE_DERIVE);
    for file in &descriptors.file {
        for message in &file.message_type {
            let attribute = if is_strict(file, message) { SERDE_STRICT } else { SERDE_LENIENT };
            config.message_attribute(format!(".lilacpass.v1.{}", message.name()), attribute);
        }
    }
    config.enum_attribute(".", SERDE_DERIVE);
    // People write the oneof of a configuration step in the form `{ set_rules = { .. } }`.
    config.enum_attribute("lilacpass.v1.ConfigOp.op", "#[serde(rename_all = \"snake_case\")]");
    tonic_prost_build::configure().out_dir(out_dir).compile_fds_with_config(descriptors, config)?;
    Ok(())
}

/// Returns whether people write this message, so that unknown fields must be rejected.
fn is_strict(file: &FileDescriptorProto, message: &DescriptorProto) -> bool {
    STRICT_FILES.contains(&file.name()) || STRICT_MESSAGES.contains(&message.name())
}

/// Returns the paths of all `.proto` files in a fixed order, so that the output is reproducible.
fn proto_files() -> Result<Vec<PathBuf>, Box<dyn error::Error>> {
    let mut files: Vec<PathBuf> = fs::read_dir(PROTO_DIR)?
        .filter_map(|entry| entry.ok().map(|e| e.path()))
        .filter(|path| path.extension().is_some_and(|ext| ext == "proto"))
        .collect();
    files.sort();
    Ok(files)
}

//! Regenerates the committed code of `lilacpass-schema` from its `.proto` files.
//!
//! `cargo run -p lilacpass-codegen` writes it; with `--check` nothing is written and the exit
//! code is 1 where the committed code differs.

use std::{
    env, error, fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

const PROTO_DIR: &str = "lilacpass-schema/proto";
const GENERATED_DIR: &str = "lilacpass-schema/src/generated";
const GENERATED_FILE: &str = "lilacpass.v1.rs";

/// All messages can be written as TOML and JSON.
const SERDE_DERIVE: &str = "#[derive(serde::Serialize, serde::Deserialize)]";
/// What people write is read strictly: an unknown field is an error.
const SERDE_STRICT: &str = "#[serde(default, deny_unknown_fields)]";
/// What programs write is read leniently, so that a tool understands the answers of a newer daemon
/// while instances are upgraded one after the other.
const SERDE_LENIENT: &str = "#[serde(default)]";

/// Files whose messages people write.
const STRICT_FILES: [&str; 2] = ["config.proto", "settings.proto"];
/// Messages of other files that people write.
const STRICT_MESSAGES: [&str; 3] = ["Amount", "ChangeRequest", "JobSpec"];

fn main() -> ExitCode {
    let check = env::args().any(|arg| arg == "--check");
    match run(check) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("generated code is out of date: run `cargo run -p lilacpass-codegen`");
            ExitCode::FAILURE
        }
        Err(err) => {
            eprintln!("code generation failed: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Generates into a scratch directory, then compares with or replaces the committed file.
/// Returns whether the committed file is up to date.
fn run(check: bool) -> Result<bool, Box<dyn error::Error>> {
    let scratch = env::temp_dir().join(format!("lilacpass-codegen-{}", std::process::id()));
    fs::create_dir_all(&scratch)?;
    let generated = generate(&scratch);
    let text = generated.and_then(|()| Ok(fs::read_to_string(scratch.join(GENERATED_FILE))?));
    fs::remove_dir_all(&scratch)?;
    let text = text?;
    let committed = Path::new(GENERATED_DIR).join(GENERATED_FILE);
    if check {
        return Ok(fs::read_to_string(&committed).is_ok_and(|old| old == text));
    }
    fs::create_dir_all(GENERATED_DIR)?;
    fs::write(&committed, text)?;
    Ok(true)
}

fn generate(out_dir: &Path) -> Result<(), Box<dyn error::Error>> {
    let descriptors = protox::compile(proto_files()?, [PROTO_DIR])?;
    let mut config = tonic_prost_build::Config::new();
    config.message_attribute(".", SERDE_DERIVE);
    for file in &descriptors.file {
        for message in &file.message_type {
            let strict =
                STRICT_FILES.contains(&file.name()) || STRICT_MESSAGES.contains(&message.name());
            let attribute = if strict { SERDE_STRICT } else { SERDE_LENIENT };
            config.message_attribute(format!(".lilacpass.v1.{}", message.name()), attribute);
        }
    }
    config.enum_attribute(".", SERDE_DERIVE);
    // Oneofs of the configuration are written by people, as `{ set_rules = { .. } }`.
    config.enum_attribute("lilacpass.v1.ConfigOp.op", "#[serde(rename_all = \"snake_case\")]");
    tonic_prost_build::configure().out_dir(out_dir).compile_fds_with_config(descriptors, config)?;
    Ok(())
}

fn proto_files() -> Result<Vec<PathBuf>, Box<dyn error::Error>> {
    let mut files: Vec<PathBuf> = fs::read_dir(PROTO_DIR)?
        .filter_map(|entry| entry.ok().map(|e| e.path()))
        .filter(|path| path.extension().is_some_and(|ext| ext == "proto"))
        .collect();
    files.sort();
    Ok(files)
}

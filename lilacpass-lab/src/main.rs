//! The tool that compares policies.

use std::process::ExitCode;

fn main() -> ExitCode {
    lilacpass_lab::cli::run()
}

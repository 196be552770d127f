//! The program `lilacpass-lab`, which compares scheduling policies of the leader.

use std::process::ExitCode;

fn main() -> ExitCode {
    lilacpass_lab::cli::run()
}

//! The program that runs one instance; see the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    lilacpass_node::run()
}

//! The program that runs one instance; see the library.

use std::process::ExitCode;

use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    lilacpass_node::run()
}

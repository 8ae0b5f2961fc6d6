//! The `redwingyard` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    redwingyard::cli::main(&args).into()
}

//! Command-line entry point.

use std::process::ExitCode;

use cardamombridge::cli;
use clap::Parser;

fn main() -> ExitCode {
    let cli = match cli::Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) => return usage(&error),
    };
    match cli::run(cli) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("cardamombridge: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Prints help or a usage error; clap's own exit code 2 means a refused plan here.
fn usage(error: &clap::Error) -> ExitCode {
    let printed = error.print();
    if error.use_stderr() || printed.is_err() {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

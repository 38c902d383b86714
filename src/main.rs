//! Command-line entry point.

use std::process::ExitCode;

use cardamombridge::cli;
use clap::Parser;

fn main() -> ExitCode {
    match cli::run(cli::Cli::parse()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("cardamombridge: {error:#}");
            ExitCode::FAILURE
        }
    }
}

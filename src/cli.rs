//! The command line.

use std::process::ExitCode;

use clap::{
    Parser,
    Subcommand, //
};

/// Multi-region inference gateway.
#[derive(Debug, Parser)]
#[command(name = "cardamombridge", version, about)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {}

/// Runs the command and returns the exit code of the process.
pub fn run(cli: Cli) -> anyhow::Result<ExitCode> {
    match cli.command {}
}

//! The command line.

use std::{
    io::stdout,
    process::ExitCode, //
};

use clap::{
    Parser,
    Subcommand, //
};

use crate::{
    experiment::{
        self,
        ExperimentArgs, //
    },
    load::{
        self,
        LoadArgs, //
    }, //
};

/// Multi-region inference gateway.
#[derive(Debug, Parser)]
#[command(name = "cardamombridge", version, about)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Compare policies on a seeded workload in virtual time.
    Experiment(ExperimentArgs),
    /// Measure the latency that a host adds to requests.
    Load(LoadArgs),
}

/// Runs the command and returns the exit code of the process.
pub fn run(cli: Cli) -> anyhow::Result<ExitCode> {
    match cli.command {
        Command::Experiment(args) => experiment::run(&args, &mut stdout().lock())?,
        Command::Load(args) => load::run(&args, &mut stdout().lock())?,
    }
    Ok(ExitCode::SUCCESS)
}

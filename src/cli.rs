//! The command line.

use std::{
    io::stdout,
    path::PathBuf,
    process::ExitCode, //
};

use clap::{
    Args,
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
    },
    serve,
    settings, //
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
    /// Run one entry host until SIGTERM or SIGINT.
    Serve(SettingsFile),
    /// Check or print settings.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Compare policies on a seeded workload in virtual time.
    Experiment(ExperimentArgs),
    /// Measure the latency that a host adds to requests.
    Load(LoadArgs),
}

#[derive(Debug, Subcommand)]
enum SettingsCommand {
    /// Check a settings file; start nothing.
    Check(SettingsFile),
    /// Print all settings in force, defaults included.
    Show(SettingsFile),
}

#[derive(Debug, Args)]
struct SettingsFile {
    /// Settings of the host, in INI.
    #[arg(value_name = "SETTINGS.ini")]
    path: PathBuf,
}

/// Runs the command and returns the exit code of the process.
pub fn run(cli: Cli) -> anyhow::Result<ExitCode> {
    match cli.command {
        Command::Serve(file) => serve::run(&file.path),
        Command::Settings(SettingsCommand::Check(file)) => settings::check(&file.path),
        Command::Settings(SettingsCommand::Show(file)) => settings::show(&file.path),
        Command::Experiment(args) => {
            experiment::run(&args, &mut stdout().lock())?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Load(args) => {
            load::run(&args, &mut stdout().lock())?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

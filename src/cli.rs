//! The command line.

use std::{
    io::{
        self,
        stdout, //
    },
    path::PathBuf,
    process::ExitCode, //
};

use clap::{
    Args,
    CommandFactory,
    Parser,
    Subcommand, //
};
use clap_complete::Shell;

use crate::{
    capacity::{
        self,
        CapacityArgs, //
    },
    demo::{
        self,
        DemoArgs, //
    },
    experiment::{
        self,
        ExperimentArgs, //
    },
    gateway,
    load::{
        self,
        LoadArgs, //
    },
    operator::{
        self,
        OperatorCommand, //
    },
    serve,
    settings, //
};

/// Multi-region inference gateway.
#[derive(Debug, Parser)]
#[command(name = "cardamombridge", version, about)]
#[command(
    after_help = "Exit codes: 0 success, 1 error, 2 plan refused or in conflict, \
        3 requests were cut off at shutdown."
)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run one entry host until SIGTERM or SIGINT.
    Serve(SettingsFile),
    /// Run one host of the gateway for the platform until SIGTERM or SIGINT.
    Gateway(GatewayFile),
    /// Run three regions with stand-ins on loopback and a fixed script.
    Demo(DemoArgs),
    /// Check or print settings.
    #[command(subcommand)]
    Settings(SettingsCommand),
    #[command(flatten)]
    Operator(OperatorCommand),
    /// Compare policies on a seeded workload in virtual time.
    Experiment(ExperimentArgs),
    /// Measure the latency that a host adds to requests.
    Load(LoadArgs),
    /// Measure what each role of a host costs as its load grows.
    Capacity(CapacityArgs),
    /// Print a completion script for a shell.
    #[command(after_help = "Example:\n  \
        cardamombridge completions bash > cardamombridge.bash")]
    Completions {
        /// The shell.
        shell: Shell,
    },
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

#[derive(Debug, Args)]
struct GatewayFile {
    /// Settings of the host, in INI.
    #[arg(value_name = "SETTINGS.ini", env = "CARDAMOMBRIDGE_CONFIG")]
    path: PathBuf,
}

/// Runs the command and returns the exit code of the process.
pub fn run(cli: Cli) -> anyhow::Result<ExitCode> {
    match cli.command {
        Command::Serve(file) => serve::run(&file.path),
        Command::Gateway(file) => gateway::start::run(&file.path),
        Command::Demo(args) => demo::run(&args),
        Command::Settings(SettingsCommand::Check(file)) => settings::check(&file.path),
        Command::Settings(SettingsCommand::Show(file)) => settings::show(&file.path),
        Command::Operator(command) => operator::run(&command),
        Command::Experiment(args) => {
            experiment::run(&args, &mut stdout().lock())?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Load(args) => {
            load::run(&args, &mut stdout().lock())?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Capacity(args) => {
            capacity::run(&args, &mut stdout().lock())?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Completions { shell } => {
            print_completions(shell);
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn print_completions(shell: Shell) {
    let mut command = Cli::command();
    let name = command.get_name().to_owned();
    clap_complete::generate(shell, &mut command, name, &mut io::stdout());
}

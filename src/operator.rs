//! The operators' commands, which speak to a host's administration interface.

use std::{
    fmt,
    fs,
    io::{
        self,
        Write, //
    },
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode, //
};

use anyhow::Context;
use clap::{
    Args,
    Subcommand, //
};
use serde::Serialize;

use crate::{
    admin::HistoryText,
    admin_client::{
        AdminClient,
        AdminClientError, //
    },
    clock,
    intent_file,
    plan::Plan, //
};

/// Exit code when a plan is refused or conflicts with another change.
const EXIT_REFUSED: u8 = 2;

/// Commands that go to a host's administration interface.
#[derive(Debug, Subcommand)]
pub enum OperatorCommand {
    /// Plan and confirm changes of the configuration.
    Intent {
        /// What to do.
        #[command(subcommand)]
        command: IntentCommand,
    },
    /// Show the state of a host and of what it knows.
    #[command(after_help = "Example:\n  \
        cardamombridge status --admin 127.0.0.1:7400 --key-file operator.key")]
    Status {
        /// Where to ask.
        #[command(flatten)]
        admin: AdminArgs,
    },
    /// Show how fast callers use up their allowed misses.
    #[command(after_help = "Example:\n  \
        cardamombridge burn --admin 127.0.0.1:7400 --key-file operator.key --json")]
    Burn {
        /// Where to ask.
        #[command(flatten)]
        admin: AdminArgs,
    },
}

/// Commands for the configuration.
#[derive(Debug, Subcommand)]
pub enum IntentCommand {
    /// Show what an intent file would change, without changing anything.
    #[command(after_help = "Examples:\n  \
        cardamombridge intent plan callers.ini --out callers.plan \\\n    \
        --admin 127.0.0.1:7400 --key-file operator.key\n\n\
        An intent file states whole objects; others stay as they are:\n  \
        [model/stain-advice]\n  version = 2.1\n  prefill_micros_per_ktok = 300u\n  \
        decode_micros_per_ktok = 900u\n\n  [service/old-orders]\n  remove = true")]
    Plan {
        /// Intent file.
        file: PathBuf,
        /// Write the plan to this file, for `intent confirm`.
        #[arg(long, value_name = "PLAN")]
        out: Option<PathBuf>,
        /// Where to ask.
        #[command(flatten)]
        admin: AdminArgs,
    },
    /// Put a plan into force and report region by region.
    #[command(after_help = "Example:\n  \
        cardamombridge intent confirm callers.plan \\\n    \
        --admin 127.0.0.1:7400 --key-file operator.key\n\n\
        Confirming the same plan again is harmless and reports the same revision.")]
    Confirm {
        /// Plan written by `intent plan --out`.
        plan: PathBuf,
        /// Where to ask.
        #[command(flatten)]
        admin: AdminArgs,
    },
    /// Show the last accepted changes, newest first.
    #[command(after_help = "Example:\n  \
        cardamombridge intent history --admin 127.0.0.1:7400 --key-file operator.key")]
    History {
        /// Where to ask.
        #[command(flatten)]
        admin: AdminArgs,
    },
}

/// Where the administration interface is and which key to use.
#[derive(Debug, Args)]
pub struct AdminArgs {
    /// Address of a host's operators' interface.
    #[arg(long, value_name = "ADDRESS")]
    admin: SocketAddr,
    /// File with the operator key.
    #[arg(long, value_name = "FILE")]
    key_file: PathBuf,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

impl AdminArgs {
    fn client(&self) -> Result<AdminClient, AdminClientError> {
        AdminClient::from_key_file(self.admin, &self.key_file)
    }

    /// Prints an answer as JSON or as text, which ends in a line break of its own.
    fn print<Value, Text>(&self, value: &Value, text: &Text) -> anyhow::Result<()>
    where
        Value: Serialize,
        Text: fmt::Display,
    {
        let mut stdout = io::stdout().lock();
        if self.json {
            serde_json::to_writer_pretty(&mut stdout, value)?;
            writeln!(stdout)?;
        } else {
            write!(stdout, "{text}")?;
        }
        stdout.flush()?;
        Ok(())
    }
}

/// Runs one command and returns the exit code of the process.
pub fn run(command: &OperatorCommand) -> anyhow::Result<ExitCode> {
    let result = match command {
        OperatorCommand::Intent { command } => run_intent(command),
        OperatorCommand::Status { admin } => run_status(admin),
        OperatorCommand::Burn { admin } => run_burn(admin),
    };
    match result {
        Ok(()) => Ok(ExitCode::SUCCESS),
        Err(error) if is_refusal(&error) => {
            eprintln!("cardamombridge: {error:#}");
            Ok(ExitCode::from(EXIT_REFUSED))
        }
        Err(error) => Err(error),
    }
}

fn is_refusal(error: &anyhow::Error) -> bool {
    error
        .downcast_ref::<AdminClientError>()
        .is_some_and(AdminClientError::is_refusal)
}

fn run_intent(command: &IntentCommand) -> anyhow::Result<()> {
    match command {
        IntentCommand::Plan { file, out, admin } => {
            let text = fs::read_to_string(file)
                .with_context(|| format!("intent file {} cannot be read", file.display()))?;
            // Parsing here first names the file in errors.
            intent_file::parse(&file.display().to_string(), &text)?;
            let answer = admin.client()?.plan(&text)?;
            if let Some(out) = out {
                let plan = serde_json::to_vec_pretty(&answer.plan)?;
                fs::write(out, plan)
                    .with_context(|| format!("plan {} cannot be written", out.display()))?;
            }
            admin.print(&answer.plan, &answer.text)
        }
        IntentCommand::Confirm { plan, admin } => {
            let text = fs::read_to_string(plan)
                .with_context(|| format!("plan {} cannot be read", plan.display()))?;
            let plan: Plan = serde_json::from_str(&text)
                .with_context(|| format!("{} is not a plan", plan.display()))?;
            let confirmed = admin.client()?.confirm(&plan)?;
            admin.print(&confirmed, &confirmed)
        }
        IntentCommand::History { admin } => {
            let changes = admin.client()?.history()?;
            admin.print(&changes, &HistoryText::new(&changes, clock::now()))
        }
    }
}

fn run_status(admin: &AdminArgs) -> anyhow::Result<()> {
    let status = admin.client()?.status()?;
    admin.print(&status, &status)
}

fn run_burn(admin: &AdminArgs) -> anyhow::Result<()> {
    let answer = admin.client()?.burn()?;
    admin.print(&answer.report, &answer.table)
}

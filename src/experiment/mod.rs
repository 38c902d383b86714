//! Replays a workload under several policies and compares what they cost.
//!
//! The workload is seeded and skewed, at the size of a customer, and squeezes a
//! day with its offset peaks into the given length. One region loses its engines
//! and gets them back with cold caches, and one is cut off for a while. This is
//! not a general simulator of clusters: an event queue, the engine model of the
//! stand-ins, and the decision library driven by its events and actions alone.

pub mod customer;
pub mod fleet;
pub mod measure;
pub mod workload;
pub mod world;

use std::{
    io::Write,
    str::FromStr,
    time::Duration, //
};

use anyhow::Context as _;
use clap::{
    Args,
    ValueEnum, //
};
use serde::Serialize;

use self::{
    customer::{
        Customer,
        CustomerName, //
    },
    measure::Measures,
    workload::Workload,
    world::{
        FaultPlan,
        World, //
    }, //
};
use crate::decision::policy::{
    Policy,
    Routing, //
};

/// All policies, the one under test first.
pub const ROUTINGS: [Routing; 5] = [
    Routing::Adaptive,
    Routing::Random,
    Routing::RoundRobin,
    Routing::LeastReported,
    Routing::HomeOnly,
];

/// Which customers are replayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Choice {
    /// Drevotón Vzorky.
    Drevoton,
    /// Consorcio Marcos del Plata.
    Consorcio,
    /// Both.
    Both,
}

/// Options of the experiment.
#[derive(Debug, Clone, Args)]
pub struct ExperimentArgs {
    /// Customer whose system is replayed.
    #[arg(long, value_enum, default_value = "both")]
    pub customer: Choice,
    /// Seed of the workload and of the decisions.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Length of the day in virtual seconds.
    #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u64).range(1..=86_400))]
    pub seconds: u64,
    /// Leave out the region that returns cold and the one that is cut off.
    #[arg(long)]
    pub without_faults: bool,
    /// Parameter of the policy to change, such as `away_margin_ms=300`.
    #[arg(long = "set", value_name = "NAME=VALUE")]
    pub changes: Vec<PolicyChange>,
    /// Print one JSON object for each policy instead of a table.
    #[arg(long)]
    pub json: bool,
}

/// A parameter of the policy with another value.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyChange {
    /// Name of the field.
    pub name: String,
    /// Its value.
    pub value: serde_json::Value,
}

impl FromStr for PolicyChange {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let (name, value) = text
            .split_once('=')
            .with_context(|| format!("{text:?} is not a parameter: expected NAME=VALUE"))?;
        let value = serde_json::from_str(value)
            .with_context(|| format!("{value:?} is not a value for {name}: expected JSON"))?;
        Ok(Self {
            name: name.to_owned(),
            value,
        })
    }
}

/// The customer's policy with the changes of the command line.
fn changed_policy(name: CustomerName, changes: &[PolicyChange]) -> anyhow::Result<Policy> {
    let mut fields = serde_json::to_value(Policy::new(name.weight()))?;
    for change in changes {
        // A name that the policy does not have is reported by the next step.
        fields[&change.name] = change.value.clone();
    }
    serde_json::from_value(fields).context("invalid parameter of the policy")
}

/// The result of one policy.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyResult {
    /// Customer.
    pub customer: &'static str,
    /// Policy.
    pub routing: Routing,
    /// Seed.
    pub seed: u64,
    /// What it has cost.
    pub measures: Measures,
}

/// Replays the day of a customer under one policy.
pub fn replay(
    name: CustomerName,
    policy: &Policy,
    seed: u64,
    length: Duration,
    faults: Option<FaultPlan>,
) -> PolicyResult {
    let customer = Customer::new(name);
    let workload = Workload::new(&customer, seed, length);
    let replay = World::new(&customer, &workload, policy, seed, length, faults).run();
    PolicyResult {
        customer: label(name),
        routing: policy.routing,
        seed,
        measures: Measures::new(&workload.jobs, &replay.traces, &replay.totals),
    }
}

/// Runs the experiment and prints its results.
pub fn run<W>(args: &ExperimentArgs, out: &mut W) -> anyhow::Result<()>
where
    W: Write,
{
    let customers: &[CustomerName] = match args.customer {
        Choice::Drevoton => &[CustomerName::Drevoton],
        Choice::Consorcio => &[CustomerName::Consorcio],
        Choice::Both => &[CustomerName::Drevoton, CustomerName::Consorcio],
    };
    let length = Duration::from_secs(args.seconds);
    let faults = (!args.without_faults).then(FaultPlan::default);
    for name in customers {
        let policy = changed_policy(*name, &args.changes)?;
        if !args.json {
            write_header(*name, args, out)?;
        }
        for routing in ROUTINGS {
            let policy = Policy {
                routing,
                ..policy.clone()
            };
            let result = replay(*name, &policy, args.seed, length, faults);
            if args.json {
                writeln!(out, "{}", serde_json::to_string(&result)?)?;
            } else {
                write_row(&result, out)?;
            }
        }
    }
    Ok(())
}

fn label(name: CustomerName) -> &'static str {
    match name {
        CustomerName::Drevoton => "drevoton",
        CustomerName::Consorcio => "consorcio",
    }
}

fn routing_label(routing: Routing) -> &'static str {
    match routing {
        Routing::Adaptive => "adaptive",
        Routing::Random => "random",
        Routing::RoundRobin => "round robin",
        Routing::LeastReported => "least load",
        Routing::HomeOnly => "home only",
    }
}

fn write_header<W>(name: CustomerName, args: &ExperimentArgs, out: &mut W) -> anyhow::Result<()>
where
    W: Write,
{
    writeln!(
        out,
        "{}: seed {}, {} virtual seconds\n\
         {:<12}{:>9}{:>11}{:>24}{:>24}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}  digest",
        label(name),
        args.seed,
        args.seconds,
        "policy",
        "cost",
        "cost/1000",
        "first token ms 50/95/99",
        "whole ms 50/95/99",
        "late %",
        "away %",
        "refus %",
        "cache %",
        "wasted",
        "WAN MB",
    )?;
    Ok(())
}

fn write_row<W>(result: &PolicyResult, out: &mut W) -> anyhow::Result<()>
where
    W: Write,
{
    let m = &result.measures;
    let first = format!("{}/{}/{}", m.first_p50_ms, m.first_p95_ms, m.first_p99_ms);
    let whole = format!("{}/{}/{}", m.whole_p50_ms, m.whole_p95_ms, m.whole_p99_ms);
    writeln!(
        out,
        "{:<12}{:>9.3}{:>11.4}{first:>24}{whole:>24}{:>8.2}{:>8.2}{:>8.2}{:>8.1}{:>9}{:>9}  {:016x}",
        routing_label(result.routing),
        m.cost_micros.0 as f64 / 1e6,
        m.cost_per_kanswer_micros.0 as f64 / 1e6,
        m.late_permille / 10.0,
        m.away_permille / 10.0,
        m.refused_permille / 10.0,
        m.cached_permille / 10.0,
        m.wasted.0,
        m.wan.0 / 1_000_000,
        m.digest,
    )?;
    Ok(())
}

//! Settings of a gateway host, read from an INI file.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path, //
};

use compact_str::CompactString;

use super::{
    fleet::ColdBounds,
    hosts::HostInfo,
    retry_budget::RetryBounds, //
};
use crate::{
    config::{
        ConfigError,
        read_text, //
    },
    ini_file::{
        IniError,
        IniFile,
        Section, //
    },
    logs, //
};

const HOST_KEYS: &[&str] = &[
    "name",
    "region",
    "data_centre",
    "capacity",
    "caller_address",
    "ready_address",
    "directory_address",
    "peer_address",
    "metrics_address",
    "seeds",
];
const LIMIT_KEYS: &[&str] = &[
    "shutdown_s",
    "cold_factor",
    "cold_slack",
    "retry_ratio",
    "retry_slack",
    "retry_window_s",
];
/// Unit of [`HostInfo::capacity`], in parts of a core.
const CAPACITY_PER_CORE: f64 = 1_000.0;

/// Settings of a gateway host.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// This host, as others are told.
    pub host: HostInfo,
    /// Where the platform asks whether the host takes requests.
    pub ready_address: SocketAddr,
    /// Where callers ask which hosts to use.
    pub directory_address: SocketAddr,
    /// Where metrics are served, if they are.
    pub metrics_address: Option<SocketAddr>,
    /// Hosts to ask while the store is away at the start.
    pub seeds: Vec<SocketAddr>,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// Shortest lease that the store grants.
    pub min_lease_ms: u64,
    /// Region of each data centre.
    pub regions: BTreeMap<CompactString, CompactString>,
    /// Time between the signal to stop and the end of the process.
    pub shutdown_ms: u64,
    /// Limit on requests to cold endpoints.
    pub cold: ColdBounds,
    /// Limit on repeated requests.
    pub retry: RetryBounds,
    /// Filter for log lines, as `tracing` reads it.
    pub log_filter: CompactString,
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        Ok(Self::parse(path, &read_text(path)?)?)
    }

    /// Checks settings that were read from `path`.
    pub fn parse(path: &Path, text: &str) -> Result<Self, IniError> {
        let file = IniFile::parse(path, text)?;
        file.reject_unknown_sections(
            |name| ["host", "store", "data_centres", "limits", "logs"].contains(&name),
            "one of host, store, data_centres, limits, logs",
        )?;
        let host = file.known_section("host", HOST_KEYS)?;
        let store = file.known_section("store", &["address", "min_lease_ms"])?;
        let limits = file.known_section("limits", LIMIT_KEYS)?;
        let logs = file.known_section("logs", &["filter"])?;
        let info = HostInfo {
            name: file.value(host, "name")?,
            region: file.value(host, "region")?,
            data_centre: file.value(host, "data_centre")?,
            caller_address: file.value(host, "caller_address")?,
            peer_address: file.value(host, "peer_address")?,
            capacity: (positive(&file, host, "capacity")? * CAPACITY_PER_CORE) as u32,
        };
        // All hosts listen on the same port; the port of a seed is that of
        // another interface.
        let peer_port = info.peer_address.port();
        let regions = regions(&file)?;
        file.check(
            host,
            "data_centre",
            "a data centre that [data_centres] maps to the host's region",
            |_| regions.get(&info.data_centre) == Some(&info.region),
        )?;
        let log_filter: CompactString = file.value(logs, "filter")?;
        file.check(
            logs,
            "filter",
            "directives such as info or warn,cardamombridge::gateway=debug",
            logs::is_valid_filter,
        )?;
        Ok(Self {
            host: info,
            ready_address: file.value(host, "ready_address")?,
            directory_address: file.value(host, "directory_address")?,
            seeds: file
                .list::<SocketAddr>(host, "seeds")?
                .into_iter()
                .map(|seed| SocketAddr::new(seed.ip(), peer_port))
                .collect(),
            metrics_address: file.optional(host, "metrics_address")?,
            store_address: file.value(store, "address")?,
            min_lease_ms: file.value(store, "min_lease_ms")?,
            regions,
            shutdown_ms: millis(positive(&file, limits, "shutdown_s")?),
            cold: ColdBounds {
                factor: positive(&file, limits, "cold_factor")?,
                slack: positive(&file, limits, "cold_slack")?,
            },
            retry: RetryBounds {
                ratio: positive(&file, limits, "retry_ratio")?,
                slack: positive(&file, limits, "retry_slack")?,
                window_ms: millis(positive(&file, limits, "retry_window_s")?),
            },
            log_filter,
        })
    }
}

fn regions(file: &IniFile) -> Result<BTreeMap<CompactString, CompactString>, IniError> {
    let section = file.require("data_centres")?;
    Ok(section
        .entries
        .iter()
        .map(|entry| (entry.key.clone(), entry.value.clone()))
        .collect())
}

/// A number from 0.
fn positive(file: &IniFile, section: &Section, key: &str) -> Result<f64, IniError> {
    let text: CompactString = file.value(section, key)?;
    let number: f64 = text.parse().unwrap_or(f64::NAN);
    file.check(section, key, "a number from 0", |_| number >= 0.0)?;
    Ok(number)
}

fn millis(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}

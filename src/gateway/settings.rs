//! Settings of a gateway host, read from an INI file.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::Path, //
};

use compact_str::CompactString;

use super::{
    bound::ColdBounds,
    buffer_budget::DEFAULT_MEMORY_MB,
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
    "memory_mb",
];
/// Units of [`HostInfo::capacity`] per core.
const CAPACITY_PER_CORE: f64 = 1_000.0;

/// Settings of a gateway host.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewaySettings {
    /// This host, as other hosts know it.
    pub host: HostInfo,
    /// Address of the readiness check.
    pub ready_address: SocketAddr,
    /// Address at which callers ask for the hosts to use.
    pub directory_address: SocketAddr,
    /// Address at which metrics are served; none if they are not.
    pub metrics_address: Option<SocketAddr>,
    /// Peer addresses of hosts from which changes are fetched if the store is
    /// unreachable at the start.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Shortest lease that the store grants.
    pub min_lease_ms: u64,
    /// Region of each data centre.
    pub regions: BTreeMap<CompactString, CompactString>,
    /// Time between the signal to stop and the end of the process.
    pub shutdown_ms: u64,
    /// Limit on requests to cold endpoints.
    pub cold: ColdBounds,
    /// Limit on retries.
    pub retry: RetryBounds,
    /// Memory that the process may use, in megabytes.
    pub memory_mb: u64,
    /// Filter for log lines, in the syntax of `tracing`.
    pub log_filter: CompactString,
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        Ok(Self::parse(path, &read_text(path)?)?)
    }

    /// Parses and checks the text of the settings file at `path`.
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
        let host_info = HostInfo {
            name: file.value(host, "name")?,
            region: file.value(host, "region")?,
            data_centre: file.value(host, "data_centre")?,
            caller_address: file.value(host, "caller_address")?,
            peer_address: file.value(host, "peer_address")?,
            capacity: (non_negative(&file, host, "capacity")? * CAPACITY_PER_CORE) as u32,
        };
        // All hosts listen for peers on the same port; the port in a seed's address
        // belongs to another of its interfaces.
        let peer_port = host_info.peer_address.port();
        let regions = regions(&file)?;
        file.check(
            host,
            "data_centre",
            "a data centre that [data_centres] maps to the host's region",
            |_| regions.get(&host_info.data_centre) == Some(&host_info.region),
        )?;
        let log_filter: CompactString = file.value(logs, "filter")?;
        file.check(
            logs,
            "filter",
            "directives such as info or warn,cardamombridge::gateway=debug",
            logs::is_valid_filter,
        )?;
        Ok(Self {
            host: host_info,
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
            shutdown_ms: seconds_to_ms(non_negative(&file, limits, "shutdown_s")?),
            cold: ColdBounds {
                factor: non_negative(&file, limits, "cold_factor")?,
                slack: non_negative(&file, limits, "cold_slack")?,
            },
            retry: RetryBounds {
                ratio: non_negative(&file, limits, "retry_ratio")?,
                slack: non_negative(&file, limits, "retry_slack")?,
                window_ms: seconds_to_ms(non_negative(&file, limits, "retry_window_s")?),
            },
            memory_mb: memory_mb(&file, limits)?,
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

/// Reads the memory of the process; a default without the key.
fn memory_mb(file: &IniFile, limits: &Section) -> Result<u64, IniError> {
    match file.optional::<CompactString>(limits, "memory_mb")? {
        Some(_) => Ok(non_negative(file, limits, "memory_mb")? as u64),
        None => Ok(DEFAULT_MEMORY_MB),
    }
}

/// Reads a number that is at least 0.
fn non_negative(file: &IniFile, section: &Section, key: &str) -> Result<f64, IniError> {
    let text: CompactString = file.value(section, key)?;
    let number: f64 = text.parse().unwrap_or(f64::NAN);
    file.check(section, key, "a number of at least 0", |_| number >= 0.0)?;
    Ok(number)
}

fn seconds_to_ms(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}

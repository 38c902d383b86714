//! Settings of one host, read from an INI file and checked as a whole.

use std::{
    fs,
    io,
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    }, //
};

use compact_str::{
    CompactString,
    format_compact, //
};
use thiserror::Error;

use crate::{
    decision::{
        RegionLink,
        policy::Weight, //
    },
    ini_file::{
        self,
        IniError,
        IniFile,
        Section, //
    },
    logs::{
        self,
        LogFormat, //
    },
    ticket::token::MIN_KEY_BYTES,
    types::{
        DataCentreId,
        HostId,
        MbitPerSecond,
        Millis,
        RegionId, //
    }, //
};

const SECTIONS: &[&str] = &[
    "host", "platform", "keys", "peers", "limits", "policy", "logs", "metrics",
];
const LINK_SECTION_PREFIX: &str = "link.";
const FILTER_EXPECTED: &str = "directives such as info or warn,cardamombridge::peer=debug";
const DEFAULT_MAX_CONNECTIONS: usize = 2_048;
const DEFAULT_DRAIN_LIMIT_MS: Millis = Millis(60_000);

/// Why the settings cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A file could not be read.
    #[error("could not read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The content is wrong.
    #[error(transparent)]
    Content(#[from] IniError),
    /// A key file holds too little.
    #[error("{}: the key has {found_bytes} bytes, expected at least {MIN_KEY_BYTES}", path.display())]
    ShortKey {
        /// The file.
        path: PathBuf,
        /// Length of its content.
        found_bytes: usize,
    },
}

/// Settings of one host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    /// Name of this host.
    pub host: HostId,
    /// Its region.
    pub region: RegionId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other hosts connect, for TCP and UDP.
    pub peer_address: SocketAddr,
    /// Where other hosts reach this one, if it is not `peer_address`.
    pub advertised_peer_address: Option<SocketAddr>,
    /// Where operators connect.
    pub admin_address: SocketAddr,
    /// The platform's key-value service and list.
    pub platform_address: SocketAddr,
    /// File with the key that all hosts share.
    pub cluster_key_file: PathBuf,
    /// File with the operators' key.
    pub operator_key_file: PathBuf,
    /// Other hosts to contact at the start.
    pub seeds: Vec<SocketAddr>,
    /// Links to the other regions.
    pub links: Vec<RegionLink>,
    /// Most caller connections at the same time.
    pub max_connections: usize,
    /// Longest wait for requests in progress at shutdown.
    pub drain_limit_ms: Millis,
    /// What the decisions weigh most.
    pub weight: Weight,
    /// How log lines are written.
    pub log_format: LogFormat,
    /// Filter for log lines, as `tracing` reads it.
    pub log_filter: CompactString,
    /// StatsD address for metrics, if they are sent.
    pub statsd_address: Option<SocketAddr>,
}

impl Config {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        Ok(Self::parse(path, &read_text(path)?)?)
    }

    /// Checks settings that were read from `path`.
    pub fn parse(path: &Path, text: &str) -> Result<Self, IniError> {
        let file = IniFile::parse(path, text)?;
        file.reject_unknown_sections(
            |name| SECTIONS.contains(&name) || name.starts_with(LINK_SECTION_PREFIX),
            &format_compact!("one of {} and link.REGION", SECTIONS.join(", ")),
        )?;
        let host = file.known_section(
            "host",
            &[
                "name",
                "region",
                "data_centre",
                "caller_address",
                "peer_address",
                "advertised_peer_address",
                "admin_address",
            ],
        )?;
        let platform = file.known_section("platform", &["address"])?;
        let keys = file.known_section("keys", &["cluster_key_file", "operator_key_file"])?;
        let peers = optional_section(&file, "peers", &["seeds"])?;
        let limits = optional_section(&file, "limits", &["max_connections", "drain_limit"])?;
        let policy = optional_section(&file, "policy", &["weigh"])?;
        let logs = optional_section(&file, "logs", &["format", "filter"])?;
        let metrics = optional_section(&file, "metrics", &["statsd_address"])?;

        let max_connections = file.optional(&limits, "max_connections")?;
        file.check(&limits, "max_connections", "a number from 1", |_| {
            max_connections != Some(0)
        })?;
        let drain_limit_ms = file.optional(&limits, "drain_limit")?;
        let log_format = file.optional(&logs, "format")?;
        let log_filter = file.optional(&logs, "filter")?;
        file.check(&logs, "filter", FILTER_EXPECTED, logs::is_valid_filter)?;
        check_listeners(&file, host)?;
        Ok(Self {
            host: file.value(host, "name")?,
            region: file.value(host, "region")?,
            data_centre: file.value(host, "data_centre")?,
            caller_address: file.value(host, "caller_address")?,
            peer_address: file.value(host, "peer_address")?,
            advertised_peer_address: file.optional(host, "advertised_peer_address")?,
            admin_address: file.value(host, "admin_address")?,
            platform_address: file.value(platform, "address")?,
            cluster_key_file: file.value(keys, "cluster_key_file")?,
            operator_key_file: file.value(keys, "operator_key_file")?,
            seeds: file.list(&peers, "seeds")?,
            links: read_links(&file)?,
            max_connections: max_connections.unwrap_or(DEFAULT_MAX_CONNECTIONS),
            drain_limit_ms: drain_limit_ms.unwrap_or(DEFAULT_DRAIN_LIMIT_MS),
            weight: file.optional(&policy, "weigh")?.unwrap_or_default(),
            log_format: log_format.unwrap_or(LogFormat::Text),
            log_filter: log_filter.unwrap_or_else(|| "info".into()),
            statsd_address: file.optional(&metrics, "statsd_address")?,
        })
    }

    /// The address that other hosts are told.
    pub fn peer_address_for_others(&self) -> SocketAddr {
        self.advertised_peer_address.unwrap_or(self.peer_address)
    }

    /// All values in force as an INI text, defaults included.
    pub fn to_ini(&self) -> String {
        let text = |value: &dyn std::fmt::Display| value.to_string();
        let path = |value: &Path| value.display().to_string();
        let seeds: Vec<String> = self.seeds.iter().map(SocketAddr::to_string).collect();
        let link_names: Vec<CompactString> = self
            .links
            .iter()
            .map(|link| format_compact!("{LINK_SECTION_PREFIX}{}", link.region))
            .collect();
        let mut sections = vec![
            (
                "host",
                vec![
                    ("name", text(&self.host)),
                    ("region", text(&self.region)),
                    ("data_centre", text(&self.data_centre)),
                    ("caller_address", text(&self.caller_address)),
                    ("peer_address", text(&self.peer_address)),
                    ("admin_address", text(&self.admin_address)),
                ],
            ),
            ("platform", vec![("address", text(&self.platform_address))]),
            (
                "keys",
                vec![
                    ("cluster_key_file", path(&self.cluster_key_file)),
                    ("operator_key_file", path(&self.operator_key_file)),
                ],
            ),
            ("peers", vec![("seeds", seeds.join(", "))]),
            (
                "limits",
                vec![
                    ("max_connections", text(&self.max_connections)),
                    ("drain_limit", text(&self.drain_limit_ms)),
                ],
            ),
            ("policy", vec![("weigh", text(&self.weight))]),
            (
                "logs",
                vec![
                    ("format", text(&self.log_format)),
                    ("filter", text(&self.log_filter)),
                ],
            ),
        ];
        if let Some(address) = &self.advertised_peer_address {
            sections[0]
                .1
                .push(("advertised_peer_address", text(address)));
        }
        if let Some(address) = &self.statsd_address {
            sections.push(("metrics", vec![("statsd_address", text(address))]));
        }
        for (name, link) in link_names.iter().zip(&self.links) {
            let entries = vec![
                ("latency", text(&link.latency_ms)),
                ("rate", text(&link.rate)),
            ];
            sections.push((name, entries));
        }
        ini_file::write(sections)
    }
}

/// Reads a settings file.
pub fn read_text(path: &Path) -> Result<String, ConfigError> {
    fs::read_to_string(path).map_err(|source| ConfigError::Read {
        path: path.to_path_buf(),
        source,
    })
}

/// Reads a key file; white space at the end does not count.
pub fn read_key(path: &Path) -> Result<Vec<u8>, ConfigError> {
    let bytes = fs::read(path).map_err(|source| ConfigError::Read {
        path: path.to_path_buf(),
        source,
    })?;
    let key = bytes.trim_ascii_end().to_vec();
    if key.len() < MIN_KEY_BYTES {
        return Err(ConfigError::ShortKey {
            path: path.to_path_buf(),
            found_bytes: key.len(),
        });
    }
    Ok(key)
}

fn optional_section(file: &IniFile, name: &str, keys: &[&str]) -> Result<Section, IniError> {
    if file.section(name).is_some() {
        return file.known_section(name, keys).cloned();
    }
    Ok(Section {
        name: name.into(),
        line: 1,
        entries: Vec::new(),
    })
}

/// Two TCP listeners cannot share an address, unless the system picks the port.
fn check_listeners(file: &IniFile, host: &Section) -> Result<(), IniError> {
    const KEYS: [&str; 3] = ["caller_address", "peer_address", "admin_address"];
    let mut taken: Vec<SocketAddr> = Vec::new();
    for key in KEYS {
        let address: SocketAddr = file.value(host, key)?;
        let is_free = address.port() == 0 || !taken.contains(&address);
        file.check(host, key, "an address that no other key has", |_| is_free)?;
        taken.push(address);
    }
    let is_advertised = host.entry("advertised_peer_address").is_some();
    let expected = "an address that others can reach, or advertised_peer_address as well";
    file.check(host, "peer_address", expected, |text| {
        let address: Result<SocketAddr, _> = text.parse();
        is_advertised || address.is_ok_and(|address| !address.ip().is_unspecified())
    })
}

fn read_links(file: &IniFile) -> Result<Vec<RegionLink>, IniError> {
    let mut links = Vec::new();
    for section in &file.sections {
        let Some(region) = section.name.strip_prefix(LINK_SECTION_PREFIX) else {
            continue;
        };
        file.reject_unknown_keys(section, &["latency", "rate"])?;
        let region: RegionId = region.parse().map_err(|_| {
            file.error(
                section.line,
                ini_file::IniProblem::UnknownSection {
                    section: section.name.clone(),
                    expected: "a region after the dot".into(),
                },
            )
        })?;
        let latency_ms: Millis = file.value(section, "latency")?;
        let rate: MbitPerSecond = file.value(section, "rate")?;
        file.check(section, "rate", "a rate above 0Mbit/s", |_| rate.0 > 0)?;
        links.push(RegionLink {
            region,
            latency_ms,
            rate,
        });
    }
    Ok(links)
}

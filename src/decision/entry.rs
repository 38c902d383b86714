//! The hosts to which a caller should send its requests.
//!
//! Rendezvous hashing orders the hosts differently for each caller. Removing a
//! host therefore affects only the callers that used it, and a caller keeps using
//! the same hosts, which know where the prefixes of its prompts are cached.

use std::net::SocketAddr;

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    policy::Policy,
    residency::AllowedRegions,
    view::View, //
};
use crate::types::{
    CallerId,
    HostId,
    Millis,
    RegionId, //
};

/// A list with fewer hosts is valid only for a short time.
const SHORT_LIST: usize = 2;

/// A host that callers may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryHost {
    /// The host.
    pub host: HostId,
    /// Region of the host.
    pub region: RegionId,
    /// Address for callers.
    pub address: SocketAddr,
    /// Whether the host has many more requests than others of its region, which
    /// are then listed first.
    pub is_overloaded: bool,
}

/// Entry hosts of a caller, in order of preference.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryList {
    /// Hosts in the order in which to try them.
    pub hosts: Vec<EntryHost>,
    /// How long the caller should use this list.
    pub use_ms: Millis,
}

/// Returns the ready hosts of this region and those in the summaries of other
/// regions.
pub fn known_hosts(
    view: &View,
    now_ms: Millis,
    own_region: &RegionId,
    policy: &Policy,
) -> Vec<EntryHost> {
    let own = view
        .ready_hosts(now_ms, own_region, policy)
        .map(|state| EntryHost {
            host: state.heartbeat.host.clone(),
            region: own_region.clone(),
            address: state.heartbeat.caller_address,
            is_overloaded: state.is_overloaded,
        });
    let regions = view.summaries.keys().filter(|region| *region != own_region);
    let others = regions.flat_map(|region| {
        let hosts = view.forward_hosts(now_ms, region, policy);
        hosts.into_iter().map(|host| EntryHost {
            host: host.host.clone(),
            region: region.clone(),
            address: host.caller_address,
            is_overloaded: false,
        })
    });
    own.chain(others).collect()
}

/// Orders the hosts of the allowed regions for a caller.
///
/// The caller's home region comes first, then the other regions in the order of
/// its intent. Within a region, hosts that are not overloaded come first, in the
/// order of the caller's rendezvous hashes.
pub fn entry_hosts(
    caller: &CallerId,
    home: &RegionId,
    allowed: &AllowedRegions,
    hosts: &[EntryHost],
    policy: &Policy,
) -> EntryList {
    let others = allowed.iter().filter(|region| *region != home);
    let home = Some(home).filter(|home| allowed.contains(home));
    let regions = home.into_iter().chain(others);
    let ordered: Vec<EntryHost> = regions
        .flat_map(|region| ordered_in(caller, region, hosts))
        .collect();
    let is_short = ordered.len() < SHORT_LIST || ordered[0].is_overloaded;
    EntryList {
        hosts: ordered,
        use_ms: match is_short {
            true => policy.entry_short_use_ms,
            false => policy.entry_use_ms,
        },
    }
}

fn ordered_in(caller: &CallerId, region: &RegionId, hosts: &[EntryHost]) -> Vec<EntryHost> {
    let in_region = hosts.iter().filter(|host| host.region == *region);
    let mut ordered: Vec<EntryHost> = in_region.cloned().collect();
    let seed = xxh3_64_with_seed(caller.as_str().as_bytes(), 0);
    ordered.sort_by_key(|host| {
        let weight = xxh3_64_with_seed(host.host.as_str().as_bytes(), seed);
        (host.is_overloaded, std::cmp::Reverse(weight))
    });
    ordered
}

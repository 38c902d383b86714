//! Endpoints by id, with the ones kept apart that need attention.
//!
//! Timers run many times a second, and few endpoints have anything to do for them. The table keeps
//! for each [`Concern`] the endpoints that it may apply to, so that a timer asks no others. All
//! changes pass through the table, which looks at a changed endpoint again before the next change.
//! A set may hold endpoints that it no longer applies to, because time has passed; the exact
//! condition is up to its user. It lacks none: time alone makes no concern apply. In case that a
//! change is missed all the same, [`EndpointTable::rescan`] looks at all endpoints.

use std::{
    cell::Cell,
    collections::{
        BTreeMap,
        HashMap, //
    },
    ops::Bound, //
};

use compact_str::CompactString;
use slab::Slab;

use super::{
    endpoint::{
        Endpoint,
        EndpointHash,
        LoadShare, //
    },
    endpoint_limit::LimitReport,
    software_version::SoftwareVersion, //
};

/// Keys of endpoints by their ids.
type Members = BTreeMap<CompactString, usize>;

/// Why an endpoint needs attention.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Concern {
    /// It may be bound.
    Bound,
    /// It names how many requests it can turn away.
    Brittle,
    /// This host has requests in progress there.
    Busy,
    /// Other hosts have requests in progress there.
    PeerBusy,
    /// Streams of this host have a pace there.
    Paced,
    /// Its start is in doubt.
    Doubted,
    /// It states that it is leaving.
    Leaving,
    /// Its announcement has ended or is about to.
    Withdrawn,
    /// Other hosts are told of its limit or cold time.
    Reported,
}

impl Concern {
    /// All concerns.
    pub const ALL: [Self; 9] = [
        Self::Bound,
        Self::Brittle,
        Self::Busy,
        Self::PeerBusy,
        Self::Paced,
        Self::Doubted,
        Self::Leaving,
        Self::Withdrawn,
        Self::Reported,
    ];

    /// Returns whether it may apply to an endpoint at `now_ms` or later.
    pub fn may_apply(self, endpoint: &Endpoint, now_ms: u64) -> bool {
        match self {
            Self::Bound => {
                let may_be_cold = endpoint.is_cold(now_ms) || endpoint.start_doubt().is_some();
                endpoint.limit().is_some()
                    || endpoint.is_brittle()
                    || (endpoint.cold_rate.is_some() && may_be_cold)
            }
            Self::Brittle => endpoint.is_brittle(),
            Self::Busy => endpoint.own_load.active > 0,
            Self::PeerBusy => endpoint.peer_load != LoadShare::default(),
            Self::Paced => endpoint.pace.pace(now_ms).is_some(),
            Self::Doubted => endpoint.start_doubt().is_some(),
            Self::Leaving => endpoint.statements.is_leaving,
            Self::Withdrawn => endpoint.is_withdrawn(),
            Self::Reported => LimitReport::of_limited(endpoint, now_ms).is_some(),
        }
    }

    fn bit(self) -> u16 {
        1 << self as u16
    }
}

/// Returns the concerns that may apply to an endpoint, as bits.
fn concerns_of(endpoint: &Endpoint, now_ms: u64) -> u16 {
    let applying = Concern::ALL
        .into_iter()
        .filter(|concern| concern.may_apply(endpoint, now_ms));
    applying.fold(0, |bits, concern| bits | concern.bit())
}

/// An endpoint and where the table has listed it.
#[derive(Debug)]
struct Entry {
    endpoint: Endpoint,
    /// Concerns under which it is listed, as bits.
    concerns: u16,
    /// Service and version under which it is listed.
    service: CompactString,
    software_version: SoftwareVersion,
    /// Whether it is listed under these.
    is_listed: bool,
    /// Latest round of host counts that was applied to it.
    room_round: u64,
}

/// All endpoints that a host knows.
#[derive(Debug, Default)]
pub struct EndpointTable {
    entries: Slab<Entry>,
    ids: Members,
    hashes: BTreeMap<(EndpointHash, CompactString), usize>,
    /// Endpoints by concern.
    concerned: [Members; Concern::ALL.len()],
    /// Endpoints by service and region.
    groups: BTreeMap<CompactString, BTreeMap<CompactString, Members>>,
    /// Number of endpoints of each version, by service.
    versions: BTreeMap<CompactString, BTreeMap<SoftwareVersion, usize>>,
    /// Endpoint that may have changed since it was listed.
    touched: Option<usize>,
    /// Latest time that the table was told.
    now_ms: u64,
    /// Number of live hosts of the region, when it was last set, and how often.
    host_count: u32,
    room_ms: u64,
    room_round: u64,
    visit_count: Cell<u64>,
    /// Number of times that an endpoint was changed, added or removed.
    change_count: u64,
}

impl EndpointTable {
    /// Returns an endpoint by its id.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        let key = *self.ids.get(id)?;
        self.count_visits(1);
        Some(&self.entries[key].endpoint)
    }

    /// Returns an endpoint by its id for changes.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Endpoint> {
        let key = *self.ids.get(id)?;
        Some(self.touch(key))
    }

    /// Returns the endpoint whose id has a hash.
    pub fn get_by_hash(&self, hash: EndpointHash) -> Option<&Endpoint> {
        let key = self.keys_of_hash(hash).next()?;
        self.count_visits(1);
        Some(&self.entries[key].endpoint)
    }

    /// Returns the endpoint whose id has a hash for changes.
    pub fn get_mut_by_hash(&mut self, hash: EndpointHash) -> Option<&mut Endpoint> {
        let key = self.keys_of_hash(hash).next()?;
        Some(self.touch(key))
    }

    /// Adds an endpoint, which replaces one with the same id.
    pub fn insert(&mut self, endpoint: Endpoint) {
        self.remove(&endpoint.id.clone());
        self.change_count += 1;
        let id = endpoint.id.clone();
        let entry = Entry {
            concerns: 0,
            service: endpoint.announcement.service.clone(),
            software_version: endpoint.announcement.software_version.clone(),
            is_listed: false,
            room_round: self.room_round,
            endpoint,
        };
        let hash = entry.endpoint.hash;
        let key = self.entries.insert(entry);
        self.hashes.insert((hash, id.clone()), key);
        self.ids.insert(id, key);
        self.list_announcement(key);
        self.list_concerns(key);
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &str) -> Option<Endpoint> {
        let key = *self.ids.get(id)?;
        self.settle();
        self.change_count += 1;
        self.unlist_announcement(key);
        self.ids.remove(id);
        let entry = self.entries.remove(key);
        self.hashes
            .remove(&(entry.endpoint.hash, entry.endpoint.id.clone()));
        for concern in Concern::ALL {
            self.concerned[concern as usize].remove(id);
        }
        Some(entry.endpoint)
    }

    /// Iterates over all endpoints, in the order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &Endpoint> {
        self.ids.values().map(|key| self.visit(*key))
    }

    /// Returns the ids of all endpoints, in order.
    pub fn ids(&self) -> impl Iterator<Item = &CompactString> {
        self.ids.keys()
    }

    /// Changes all endpoints.
    pub fn change_all<F>(&mut self, mut change: F)
    where
        F: FnMut(&mut Endpoint),
    {
        let keys: Vec<usize> = self.ids.values().copied().collect();
        for key in keys {
            change(self.touch(key));
        }
        self.settle();
    }

    /// Iterates over the endpoints that a concern may apply to, in the order of their ids.
    pub fn concerned(&self, concern: Concern) -> impl Iterator<Item = &Endpoint> {
        let is_listed = |key: &usize| self.entries[*key].concerns & concern.bit() != 0;
        let unlisted = self.touched.filter(|key| !is_listed(key));
        self.with_unlisted(Some(&self.concerned[concern as usize]), unlisted)
    }

    /// Returns the number of endpoints with requests of this host in progress.
    pub fn busy_count(&self) -> usize {
        let listed_count = self.concerned[Concern::Busy as usize].len();
        let Some(entry) = self.touched.map(|key| &self.entries[key]) else {
            return listed_count;
        };
        let is_listed = entry.concerns & Concern::Busy.bit() != 0;
        let is_busy = Concern::Busy.may_apply(&entry.endpoint, self.now_ms);
        listed_count + usize::from(is_busy) - usize::from(is_listed)
    }

    /// Iterates over the endpoints of a service in a region, in the order of their ids.
    pub fn of_service<'a>(
        &'a self,
        region: &'a str,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Endpoint> + 'a {
        let regions = self.groups.get(service);
        let members = regions.and_then(|regions| regions.get(region));
        let is_listed = |key: &usize| {
            let entry = &self.entries[*key];
            entry.service == service && entry.endpoint.region == region
        };
        let unlisted = self.touched.filter(|key| !is_listed(key));
        let endpoints = self.with_unlisted(members, unlisted);
        endpoints.filter(move |endpoint| {
            endpoint.announcement.service == service && endpoint.region == region
        })
    }

    /// Returns the software versions of each service's endpoints.
    ///
    /// Changes by [`EndpointTable::get_mut`] count after [`EndpointTable::settle`].
    pub fn versions(&self) -> &BTreeMap<CompactString, BTreeMap<SoftwareVersion, usize>> {
        &self.versions
    }

    /// Replaces the load that other hosts place at the endpoints, by the hashes of their ids.
    pub fn set_peer_loads(&mut self, shares: &HashMap<EndpointHash, LoadShare>) {
        self.settle();
        let known = self.concerned[Concern::PeerBusy as usize].values().copied();
        let mut keys: Vec<usize> = known.collect();
        for hash in shares.keys() {
            keys.extend(self.keys_of_hash(*hash));
        }
        keys.sort_unstable();
        keys.dedup();
        for key in keys {
            let endpoint = self.visit(key);
            let share = shares.get(&endpoint.hash).copied().unwrap_or_default();
            if endpoint.peer_load != share {
                self.touch(key).peer_load = share;
            }
        }
        self.settle();
    }

    /// Sets the number of live hosts of the region.
    ///
    /// Only brittle endpoints need it at once. The others get it, as of the time at which it was
    /// set, before they change.
    pub fn set_host_count(&mut self, host_count: u32, now_ms: u64) {
        self.settle();
        self.now_ms = self.now_ms.max(now_ms);
        let is_changed = host_count != self.host_count;
        let keys: Vec<usize> = match is_changed {
            true => self.ids.values().copied().collect(),
            false => {
                let brittle = &self.concerned[Concern::Brittle as usize];
                brittle.values().copied().collect()
            }
        };
        for key in &keys {
            self.apply_host_count(*key);
        }
        self.change_count += 1;
        self.host_count = host_count;
        self.room_ms = now_ms;
        self.room_round += 1;
        for key in keys {
            self.apply_host_count(key);
        }
    }

    /// Lists the endpoint that was changed last.
    pub fn settle(&mut self) {
        if let Some(key) = self.touched.take() {
            self.list_announcement(key);
            self.list_concerns(key);
        }
    }

    /// Looks at all endpoints; returns the number of those that were not listed as they should be.
    pub fn rescan(&mut self, now_ms: u64) -> usize {
        self.settle();
        self.now_ms = self.now_ms.max(now_ms);
        let keys: Vec<usize> = self.ids.values().copied().collect();
        let mut missed_count = 0;
        for key in keys {
            let is_announcement_missed = self.list_announcement(key);
            let added = self.list_concerns(key);
            missed_count += usize::from(is_announcement_missed || added != 0);
        }
        missed_count
    }

    /// Returns how many endpoints were looked at or changed, for a measure of the work; without
    /// those of [`EndpointTable::rescan`].
    pub fn visit_count(&self) -> u64 {
        self.visit_count.get()
    }

    /// Returns a number that is another one after each change of an endpoint.
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    fn count_visits(&self, count: u64) {
        self.visit_count.set(self.visit_count.get() + count);
    }

    fn visit(&self, key: usize) -> &Endpoint {
        self.count_visits(1);
        &self.entries[key].endpoint
    }

    fn keys_of_hash(&self, hash: EndpointHash) -> impl Iterator<Item = usize> {
        self.hashes
            .range((hash, CompactString::default())..)
            .take_while(move |((other, _), _)| *other == hash)
            .map(|(_, key)| *key)
    }

    /// Returns an endpoint for changes, after it is up to date.
    fn touch(&mut self, key: usize) -> &mut Endpoint {
        if self.touched != Some(key) {
            self.settle();
            self.touched = Some(key);
        }
        self.apply_host_count(key);
        self.change_count += 1;
        self.count_visits(1);
        &mut self.entries[key].endpoint
    }

    fn apply_host_count(&mut self, key: usize) {
        let entry = &mut self.entries[key];
        if entry.room_round != self.room_round {
            entry.room_round = self.room_round;
            entry.endpoint.set_host_count(self.host_count, self.room_ms);
        }
    }

    /// Iterates over listed endpoints and one that is not listed, in the order of their ids.
    fn with_unlisted<'a>(
        &'a self,
        members: Option<&'a Members>,
        unlisted: Option<usize>,
    ) -> impl Iterator<Item = &'a Endpoint> + 'a {
        let id = unlisted.map(|key| self.entries[key].endpoint.id.as_str());
        let end = id.map_or(Bound::Unbounded, Bound::Excluded);
        let before = keys_in(members, Bound::Unbounded, end);
        let after = id.map(|id| keys_in(members, Bound::Excluded(id), Bound::Unbounded));
        let after = after.into_iter().flatten();
        let keys = before.chain(unlisted).chain(after);
        keys.map(|key| self.visit(key))
    }

    /// Lists an endpoint under its service and version; returns whether that has changed.
    fn list_announcement(&mut self, key: usize) -> bool {
        let entry = &self.entries[key];
        let announcement = &entry.endpoint.announcement;
        let is_same = entry.service == announcement.service
            && entry.software_version == announcement.software_version;
        if entry.is_listed && is_same {
            return false;
        }
        self.unlist_announcement(key);
        let entry = &mut self.entries[key];
        entry.is_listed = true;
        let endpoint = &entry.endpoint;
        entry.service = endpoint.announcement.service.clone();
        entry.software_version = endpoint.announcement.software_version.clone();
        let regions = self.groups.entry(entry.service.clone()).or_default();
        let members = regions.entry(endpoint.region.clone()).or_default();
        members.insert(endpoint.id.clone(), key);
        let versions = self.versions.entry(entry.service.clone()).or_default();
        *versions.entry(entry.software_version.clone()).or_default() += 1;
        true
    }

    fn unlist_announcement(&mut self, key: usize) {
        let entry = &mut self.entries[key];
        if !std::mem::take(&mut entry.is_listed) {
            return;
        }
        let regions = self.groups.get_mut(&entry.service);
        let members = regions.and_then(|regions| regions.get_mut(&entry.endpoint.region));
        if let Some(members) = members {
            members.remove(&entry.endpoint.id);
        }
        let Some(versions) = self.versions.get_mut(&entry.service) else {
            return;
        };
        if let Some(count) = versions.get_mut(&entry.software_version) {
            *count -= 1;
        }
        versions.retain(|_, count| *count > 0);
        if versions.is_empty() {
            self.versions.remove(&entry.service);
        }
    }

    /// Lists an endpoint under its concerns; returns the ones that were added, as bits.
    fn list_concerns(&mut self, key: usize) -> u16 {
        let entry = &mut self.entries[key];
        let concerns = concerns_of(&entry.endpoint, self.now_ms);
        let before = std::mem::replace(&mut entry.concerns, concerns);
        if concerns == before {
            return 0;
        }
        let id = &entry.endpoint.id;
        for concern in Concern::ALL {
            let members = &mut self.concerned[concern as usize];
            match (before & concern.bit() != 0, concerns & concern.bit() != 0) {
                (false, true) => {
                    members.insert(id.clone(), key);
                }
                (true, false) => {
                    members.remove(id);
                }
                _ => {}
            }
        }
        concerns & !before
    }
}

fn keys_in<'a>(
    members: Option<&'a Members>,
    from: Bound<&str>,
    to: Bound<&str>,
) -> impl Iterator<Item = usize> + use<'a> {
    let range = members.map(|members| members.range::<str, _>((from, to)));
    let range = range.into_iter().flatten();
    range.map(|(_, key)| *key)
}

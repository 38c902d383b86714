//! Enforces the allotments of client accounts: charges requests, exchanges what is used with other
//! hosts, and refuses what is beyond.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use compact_str::CompactString;

use super::{
    account::{
        Account,
        Allotment,
        AllotmentUnit, //
    },
    allotment_exchange::{
        AccountHash,
        RELAY_COUNT,
        relay_order, //
    },
    allotment_state::Charge,
    hosts::HostInfo,
    reactor::Reactor,
    request::RequestMetadata,
    response::GatewayResponse,
    serve_accounts::Rejection, //
};

/// Interval at which the relays are determined.
const RELAY_CHOICE_MS: u64 = 500;

/// Returns the units of an allotment that a request costs.
pub fn cost_of(allotment: &Allotment, metadata: &RequestMetadata) -> u64 {
    match allotment.unit {
        AllotmentUnit::Requests => 1,
        AllotmentUnit::Tokens { plain_tokens } => {
            let stated = metadata.prompt_tokens.0 + metadata.max_output_tokens.0;
            if stated > 0 { stated } else { plain_tokens }
        }
    }
}

impl Reactor {
    /// Charges a request of a caller to its account.
    ///
    /// # Errors
    ///
    /// Fails with status 429 if the account has used its allotment.
    pub(super) fn charge_account(
        &mut self,
        account: Option<&Account>,
        metadata: &RequestMetadata,
    ) -> Result<Option<Charge>, Rejection> {
        let Some((account, allotment)) =
            account.and_then(|account| Some((account, account.allotment?)))
        else {
            return Ok(None);
        };
        let now_ms = self.now_ms();
        let possible_count = self.hosts.possible_count(now_ms);
        let hash = AccountHash::new(&account.name);
        let units = cost_of(&allotment, metadata);
        let attempt = metadata.attempt();
        let charge = self
            .allotments
            .charge(hash, units, attempt, possible_count, now_ms);
        let is_admitted = charge.is_ok();
        self.telemetry
            .count_units(&account.name, units, is_admitted);
        charge.map_err(|retry_ms| Rejection {
            cause: "account has used its allotment",
            response: GatewayResponse {
                status: 429,
                ..GatewayResponse::refusal(retry_ms)
            },
            account: Some((account.name.clone(), self.allotments.level(hash))),
        })
    }

    /// Returns the time until something about allotments is due.
    pub(super) fn allotment_wait(&self) -> Duration {
        match self.allotments.is_used() {
            true => Duration::from_millis(self.allotments.wait_ms(self.now_ms())),
            false => Duration::MAX,
        }
    }

    /// Reports use to the relays, and passes it on if this host is one.
    pub(super) fn follow_allotments(&mut self, now_ms: u64) {
        if !self.allotments.is_used() {
            return;
        }
        if now_ms >= self.next_relay_choice_ms {
            self.next_relay_choice_ms = now_ms + RELAY_CHOICE_MS;
            self.choose_relays(now_ms);
            for (account, level) in self.allotments.levels() {
                self.telemetry.set_level(account, level);
            }
        }
        if !self.allotments.tick(now_ms) {
            return;
        }
        let possible_count = self.hosts.possible_count(now_ms);
        for outgoing in self.allotments.take_due(possible_count, now_ms) {
            let hosts = outgoing.hosts.iter();
            let peers: Vec<SocketAddr> = hosts
                .filter_map(|host| self.hosts.peer_address(host))
                .collect();
            if !peers.is_empty() {
                self.send_packet(&outgoing.packet, &peers);
            }
        }
    }

    fn choose_relays(&mut self, now_ms: u64) {
        let own_region = &self.settings.host.region;
        let relays = relay_names(self.hosts.heard_in_region(now_ms));
        let mut by_region: BTreeMap<CompactString, Vec<HostInfo>> = BTreeMap::new();
        for host in self.hosts.live(now_ms) {
            if host.region != *own_region {
                let region = by_region.entry(host.region.clone()).or_default();
                region.push(host.clone());
            }
        }
        let others = by_region.into_values().flat_map(relay_names).collect();
        self.allotments.set_relays(relays, others, now_ms);
    }
}

/// Returns the names of the relays of a region with these hosts, in order.
fn relay_names(hosts: Vec<HostInfo>) -> Vec<CompactString> {
    let relays = relay_order(hosts).into_iter().take(RELAY_COUNT);
    relays.map(|relay| relay.name).collect()
}

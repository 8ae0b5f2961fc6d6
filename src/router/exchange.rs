//! Figures exchanged with sidecars and other routers.

use std::time::Duration;

use super::{
    Output,
    Router,
    queue::Owner, //
};
use crate::{
    fair::{
        EXCHANGE_INTERVAL,
        UsageTable, //
    },
    ids::{
        self,
        Service,
        Target,
        Time, //
    },
    member,
    wire::{
        Message,
        Report, //
    }, //
};

/// The bytes of an account in an exchange.
const ENTRY_BYTES: usize = 9;

/// The links of a router in the tree: its parent and its children.
const MAX_TREE_LINKS: usize = 1 + member::FAN_OUT;

/// What exchanges may send and receive a second.
const WAVE_BYTES_PER_SECOND: u64 = 8_000;

impl Router {
    pub(super) fn observe(&mut self, now: Time, owner: Owner) {
        let waiting = self.queues.len(owner) as u32;
        let me = self.settings.router;
        self.table_mut(owner.0)
            .set_backlog(now, me, owner.1, waiting);
    }

    pub(super) fn table_mut(&mut self, service: Service) -> &mut UsageTable {
        let peers = &self.peers;
        let me = member::rank(self.settings.router);
        self.tables.entry(service).or_insert_with(|| {
            let mut table = UsageTable::new(service);
            for peer in peers {
                table.add_link(*peer, member::rank(*peer) < me);
            }
            table
        })
    }

    pub(super) fn report(&mut self, now: Time, target: Target, report: &Report) {
        let link = &self.links[&target];
        let (service, incarnation) = (link.service, link.incarnation);
        let table = self.table_mut(service);
        table.apply_report(now, target, incarnation, report);
    }

    pub(super) fn peer_up(&mut self, router: ids::Router) {
        self.peers.insert(router);
        let upward = member::rank(router) < member::rank(self.settings.router);
        for table in self.tables.values_mut() {
            table.add_link(router, upward);
        }
    }

    pub(super) fn peer_down(&mut self, router: ids::Router) {
        self.peers.remove(&router);
        for table in self.tables.values_mut() {
            table.remove_link(router);
        }
    }

    pub(super) fn peer_message(&mut self, now: Time, router: ids::Router, message: Message) {
        let Message::Exchange(exchanges) = message else {
            return;
        };
        if !self.peers.contains(&router) {
            return;
        }
        for exchange in &exchanges {
            let table = self.table_mut(exchange.service);
            table.merge(now, router, exchange);
        }
        if self.parent() == Some(router) {
            // The leaves of the tree start the next wave together.
            self.exchanged = now;
            return self.exchange_down(now);
        }
        self.heard.insert(router);
        let whole = self.children().all(|child| self.heard.contains(&child));
        if whole && now >= self.exchanged + self.wave_interval() / 2 {
            self.exchange_up(now);
        }
    }

    /// Returns the peer towards the root of the exchange tree.
    pub(super) fn parent(&self) -> Option<ids::Router> {
        let me = member::rank(self.settings.router);
        let lower = self.peers.iter().filter(|peer| member::rank(**peer) < me);
        lower.min_by_key(|peer| member::rank(**peer)).copied()
    }

    pub(super) fn children(&self) -> impl Iterator<Item = ids::Router> {
        let parent = self.parent();
        let peers = self.peers.iter().copied();
        peers.filter(move |peer| Some(*peer) != parent)
    }

    /// Returns the interval of waves, longer where many accounts wait, so that what they
    /// carry stays within a budget.
    pub(super) fn wave_interval(&self) -> Duration {
        let tables = self.tables.values();
        let entries: usize = tables.map(|table| table.backlogged().count()).sum();
        let links = self.peers.len().min(MAX_TREE_LINKS);
        let bytes = (entries * ENTRY_BYTES * links * 2) as u64;
        let needed = Duration::from_millis(bytes * 1_000 / WAVE_BYTES_PER_SECOND);
        EXCHANGE_INTERVAL.max(needed)
    }

    /// Sends a wave of figures towards the root, or turns it around there.
    pub(super) fn exchange_up(&mut self, now: Time) {
        self.exchanged = now;
        self.heard.clear();
        for table in self.tables.values_mut() {
            table.clear_local_backlogs();
        }
        let owners: Vec<_> = self.queues.iter().map(|(owner, _)| owner).collect();
        for owner in owners {
            self.observe(now, owner);
        }
        for table in self.tables.values_mut() {
            table.tick(now);
        }
        match self.parent() {
            Some(parent) => self.exchange(parent),
            None => self.exchange_down(now),
        }
    }

    /// Sends a wave of figures towards the leaves of the tree and to sidecars.
    pub(super) fn exchange_down(&mut self, now: Time) {
        let interval = self.wave_interval().as_millis() as u32;
        let children: Vec<_> = self.children().collect();
        for child in children {
            self.exchange(child);
        }
        for table in self.tables.values_mut() {
            for (target, mut totals) in table.all_totals(now) {
                totals.interval = interval;
                self.outs
                    .push(Output::Send(target, Message::Totals(totals)));
            }
        }
    }

    pub(super) fn exchange(&mut self, peer: ids::Router) {
        let tables = self.tables.values_mut();
        let exchanges: Vec<_> = tables
            .filter_map(|table| table.next_exchange(peer))
            .collect();
        let message = Message::Exchange(exchanges);
        self.outs.push(Output::SendPeer(peer, message));
    }
}

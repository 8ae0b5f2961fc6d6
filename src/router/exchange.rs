//! Exchange of usage and backlogs with sidecars and other routers.
//!
//! An exchange round goes through the tree of routers: from the leaves to the root, and then
//! from the root back to the leaves and the sidecars.

use std::time::Duration;

use super::{
    Output,
    Router,
    queue::QueueId, //
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

/// The size of an account's entry in an exchange, in bytes.
const ENTRY_BYTES: usize = 9;

/// The most links of a router in the tree: its parent and its children.
const MAX_TREE_LINKS: usize = 1 + member::FAN_OUT;

/// The budget for exchanges at one router, sent and received, in bytes per second.
const EXCHANGE_BYTES_PER_SECOND: u64 = 8_000;

impl Router {
    /// Records the length of a queue in the usage table of its service.
    pub(super) fn record_backlog(&mut self, now: Time, queue_id: QueueId) {
        let waiting = self.queues.len(queue_id) as u32;
        let me = self.settings.router;
        self.table_mut(queue_id.0)
            .set_backlog(now, me, queue_id.1, waiting);
    }

    /// Returns the usage table of a service, and creates it if there is none.
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

    /// Applies a sidecar's report to the usage table of its service.
    pub(super) fn apply_report(&mut self, now: Time, target: Target, report: &Report) {
        let link = &self.links[&target];
        let (service, incarnation) = (link.service, link.incarnation);
        let table = self.table_mut(service);
        table.apply_report(now, target, incarnation, report);
    }

    /// Adds the link to another router to all usage tables.
    pub(super) fn peer_up(&mut self, router: ids::Router) {
        self.peers.insert(router);
        let upward = member::rank(router) < member::rank(self.settings.router);
        for table in self.tables.values_mut() {
            table.add_link(router, upward);
        }
    }

    /// Removes the link to another router from all usage tables.
    pub(super) fn peer_down(&mut self, router: ids::Router) {
        self.peers.remove(&router);
        for table in self.tables.values_mut() {
            table.remove_link(router);
        }
    }

    /// Merges a peer's exchange. One from the parent is followed by exchanges to the children;
    /// once all children have sent one, this router sends its own to the parent.
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
            // The exchange from the root reaches all leaves, so they start the next round at
            // about the same time.
            self.last_round = now;
            return self.exchange_down(now);
        }
        self.reported.insert(router);
        let complete = self.children().all(|child| self.reported.contains(&child));
        if complete && now >= self.last_round + self.round_interval() / 2 {
            self.exchange_up(now);
        }
    }

    /// Returns the peer towards the root of the exchange tree.
    pub(super) fn parent(&self) -> Option<ids::Router> {
        let me = member::rank(self.settings.router);
        let lower = self.peers.iter().filter(|peer| member::rank(**peer) < me);
        lower.min_by_key(|peer| member::rank(**peer)).copied()
    }

    /// Returns the peers other than the parent.
    pub(super) fn children(&self) -> impl Iterator<Item = ids::Router> {
        let parent = self.parent();
        let peers = self.peers.iter().copied();
        peers.filter(move |peer| Some(*peer) != parent)
    }

    /// Returns the interval of exchange rounds. It grows with the number of backlogged
    /// accounts, so that the rounds stay within [`EXCHANGE_BYTES_PER_SECOND`].
    pub(super) fn round_interval(&self) -> Duration {
        let tables = self.tables.values();
        let entries: usize = tables.map(|table| table.backlogged().count()).sum();
        let links = self.peers.len().min(MAX_TREE_LINKS);
        let bytes = (entries * ENTRY_BYTES * links * 2) as u64;
        let needed = Duration::from_millis(bytes * 1_000 / EXCHANGE_BYTES_PER_SECOND);
        EXCHANGE_INTERVAL.max(needed)
    }

    /// Refreshes this router's own backlogs and sends an exchange to the parent; the root
    /// sends exchanges to its children instead.
    pub(super) fn exchange_up(&mut self, now: Time) {
        self.last_round = now;
        self.reported.clear();
        for table in self.tables.values_mut() {
            table.clear_local_backlogs();
        }
        let queue_ids: Vec<_> = self.queues.iter().map(|(queue_id, _)| queue_id).collect();
        for queue_id in queue_ids {
            self.record_backlog(now, queue_id);
        }
        for table in self.tables.values_mut() {
            table.tick(now);
        }
        match self.parent() {
            Some(parent) => self.send_exchange(parent),
            None => self.exchange_down(now),
        }
    }

    /// Sends an exchange to each child, and totals to the sidecars.
    pub(super) fn exchange_down(&mut self, now: Time) {
        let interval = self.round_interval().as_millis() as u32;
        let children: Vec<_> = self.children().collect();
        for child in children {
            self.send_exchange(child);
        }
        for table in self.tables.values_mut() {
            for (target, mut totals) in table.all_totals(now) {
                totals.interval = interval;
                self.outputs
                    .push(Output::Send(target, Message::Totals(totals)));
            }
        }
    }

    /// Sends a peer an exchange of all usage tables.
    pub(super) fn send_exchange(&mut self, peer: ids::Router) {
        let tables = self.tables.values_mut();
        let exchanges: Vec<_> = tables
            .filter_map(|table| table.next_exchange(peer))
            .collect();
        let message = Message::Exchange(exchanges);
        self.outputs.push(Output::SendPeer(peer, message));
    }
}

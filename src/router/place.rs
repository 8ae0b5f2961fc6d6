//! Placement: which target gets a request, and which sidecars know of it.

use std::{
    rc::Rc,
    time::Duration, //
};

use super::{
    Cause,
    Event,
    Output,
    Ran,
    Router,
    Waiter,
    queue::Owner,
    request::{
        Flight,
        Request,
        Stage, //
    }, //
};
use crate::{
    ids::{
        Account,
        Sequence,
        Service,
        Target,
        Time,
        rendezvous_weight, //
    },
    wire::{
        Dispatch,
        Message, //
    }, //
};

/// The time that an offer is used.
const OFFER_LIFE: Duration = Duration::from_secs(8);

impl Router {
    /// Hands a request to a target that has offered a slot, or queues it.
    pub(super) fn place(&mut self, now: Time, sequence: Sequence) {
        let request = &self.requests[&sequence];
        let owner = (request.ask.service, request.ask.account);
        if self.queues.len(owner) == 0
            && let Some(target) = self.open_target(now, request)
        {
            return self.use_offer(now, sequence, target);
        }
        let waiter = self.waiter(sequence);
        let first = self.queues.len(owner) == 0;
        if let Some(evicted) = self.queues.push(owner, waiter) {
            self.refuse(evicted, Cause::QueueFull, Ran::No);
        }
        if first {
            self.observe(now, owner);
        }
        self.tell(now, owner);
    }

    pub(super) fn waiter(&self, sequence: Sequence) -> Waiter {
        let request = &self.requests[&sequence];
        let ask = &request.ask;
        let owner = |key| self.rules.key_owner(ask.service, key);
        let conversation = ask.conversation;
        let favourite = conversation.and_then(|key| self.favourite(ask.service, key, |_| true));
        Waiter {
            sequence,
            bound: request.key().map(|key| owner(key).unwrap_or_default()),
            favourite,
            bytes: ask.body.len(),
        }
    }

    /// Returns the linked target that a conversation belongs to.
    pub(super) fn favourite(
        &self,
        service: Service,
        key: u64,
        may: impl Fn(Target) -> bool,
    ) -> Option<Target> {
        let members = self.members.get(&service)?;
        members
            .iter()
            .copied()
            .filter(|target| may(*target))
            .max_by_key(|target| rendezvous_weight(*target, key))
    }

    /// Returns a target that has offered a slot for a request.
    pub(super) fn open_target(&self, now: Time, request: &Request) -> Option<Target> {
        let service = request.ask.service;
        let open = |target: Target| {
            let link = &self.links[&target];
            link.offer > 0 && now < link.offered + OFFER_LIFE
        };
        if let Some(key) = request.key() {
            let owner = self.rules.key_owner(service, key)?;
            let linked = self.links.contains_key(&owner);
            return (linked && open(owner)).then_some(owner);
        }
        if let Some(key) = request.ask.conversation {
            return self.favourite(service, key, open);
        }
        let members = self.members.get(&service)?;
        members
            .iter()
            .copied()
            .filter(|target| open(*target))
            .max_by_key(|target| {
                (
                    self.links[target].offer,
                    rendezvous_weight(*target, self.last),
                )
            })
    }

    pub(super) fn use_offer(&mut self, now: Time, sequence: Sequence, target: Target) {
        let Some(link) = self.links.get_mut(&target) else {
            return;
        };
        link.offer -= 1;
        let stamp = link.stamp;
        self.dispatch(now, sequence, target, stamp, 0);
    }

    pub(super) fn dispatch(
        &mut self,
        now: Time,
        sequence: Sequence,
        target: Target,
        stamp: u64,
        grant: u64,
    ) {
        let incarnation = self.links[&target].incarnation;
        let request = self
            .requests
            .get_mut(&sequence)
            .expect("the request is kept");
        request.stage = Stage::Flying(Flight {
            target,
            incarnation,
            stamp,
            lost: None,
            acked: 0,
        });
        request.received = 0;
        self.flights.entry(target).or_default().insert(sequence);
        let request = &self.requests[&sequence];
        let id = self.id_of(sequence, request);
        let ask = &request.ask;
        let share = self.rules.share_entry(ask.service, ask.account);
        self.outs.push(Output::Log(Event::Route {
            id,
            account: self.rules.name(ask.account),
            target: self.rules.name(target),
            why: if grant > 0 { "grant" } else { "offer" },
            waited: now.saturating_sub(request.arrived).as_micros(),
            share: share.map_or(0, |entry| entry.line),
            write: ask.write.unwrap_or(0),
        }));
        let dispatch = Dispatch {
            id,
            incarnation,
            stamp,
            grant,
            account: ask.account,
            write: ask.write.is_some(),
            key: ask.bid,
            generation: self.rules.generation(),
            head: ask.head.clone(),
            body: ask.body.clone(),
        };
        let message = Message::Dispatch(Rc::new(dispatch));
        self.outs.push(Output::Send(target, message));
        // The two share a packet.
        if let Some(done) = self.done.remove(&target) {
            self.outs.push(Output::Send(target, Message::Done(done)));
        }
    }

    /// Tells sidecars how many requests wait in a queue, as far as they should know.
    pub(super) fn tell(&mut self, now: Time, owner: Owner) {
        let waiting = self.queues.unbound(owner);
        let bound = self.queues.bound_targets(owner);
        let members = self.members.get(&owner.0).map_or(&[][..], Vec::as_slice);
        let probes = self.probes.entry(owner).or_default();
        if bound.is_empty() && !probes.is_due(now, waiting, members.len()) {
            return;
        }
        let reach = probes.reach(now, waiting);
        let mut targets = probes.targets();
        targets.extend(bound);
        let more = reach.min(members.len()).saturating_sub(probes.len());
        if more > 0 {
            let start = self.rng.usize(..members.len());
            let around = members[start..].iter().chain(&members[..start]);
            let fresh = around.filter(|target| !probes.knows(**target)).take(more);
            targets.extend(fresh);
        }
        targets.sort_unstable();
        targets.dedup();
        let sidecars = targets.len() as u32;
        for target in targets {
            let count = self.queues.available(owner, target) as u32;
            if self.links.contains_key(&target) && probes.tell(target, count) {
                let account = owner.1;
                let waiting = count;
                let message = Message::Demand {
                    account,
                    waiting,
                    sidecars,
                };
                self.outs.push(Output::Send(target, message));
            }
        }
        if waiting == 0 && probes.is_empty() {
            self.probes.remove(&owner);
        }
    }

    pub(super) fn offer(&mut self, now: Time, target: Target, slots: u32, stamp: u64) {
        let Some(link) = self.links.get_mut(&target) else {
            return;
        };
        link.offer = slots;
        link.stamp = stamp;
        link.offered = now;
        let service = link.service;
        self.drain_offers(now, service);
    }

    /// Gives offered slots to queued requests, the account with the least service first.
    pub(super) fn drain_offers(&mut self, now: Time, service: Service) {
        let members = self.members.get(&service).cloned().unwrap_or_default();
        for target in members {
            while self.links[&target].offer > 0 {
                let usage = |account| {
                    let table = self.tables.get(&service);
                    table.map_or(0, |table| table.usage(account))
                };
                let queues = self.queues.iter().map(|(owner, _)| owner);
                let ours = queues.filter(|owner| owner.0 == service);
                let able = ours.filter(|owner| self.queues.available(*owner, target) > 0);
                let Some(owner) = able.min_by_key(|owner| (usage(owner.1), owner.1)) else {
                    break;
                };
                let Some(sequence) = self.queues.pop(now, owner, target) else {
                    break;
                };
                self.use_offer(now, sequence, target);
                self.tell(now, owner);
            }
        }
    }

    pub(super) fn grant(
        &mut self,
        now: Time,
        target: Target,
        grant: u64,
        account: Account,
        stamp: u64,
    ) {
        let owner = (self.links[&target].service, account);
        if let Some(probes) = self.probes.get_mut(&owner) {
            probes.use_one(target);
        }
        match self.queues.pop(now, owner, target) {
            Some(sequence) => self.dispatch(now, sequence, target, stamp, grant),
            None => {
                let message = Message::Decline { grant };
                self.outs.push(Output::Send(target, message));
            }
        }
        self.tell(now, owner);
    }
}

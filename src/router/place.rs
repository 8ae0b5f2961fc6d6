//! Placement: which target gets a request, and which sidecars are sent its queue's length.

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
    queue::QueueId,
    request::{
        Attempt,
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

/// The time after which an offer of slots is stale.
const OFFER_TTL: Duration = Duration::from_secs(8);

impl Router {
    /// Dispatches a request to a target that has offered a slot, or queues it.
    ///
    /// The request is queued in any case if others of its account wait for the service.
    pub(super) fn place(&mut self, now: Time, sequence: Sequence) {
        let request = &self.requests[&sequence];
        let queue_id = (request.spec.service, request.spec.account);
        if self.queues.len(queue_id) == 0
            && let Some(target) = self.open_target(now, request)
        {
            return self.use_offer(now, sequence, target);
        }
        let waiter = self.waiter(sequence);
        let was_empty = self.queues.len(queue_id) == 0;
        if let Some(evicted) = self.queues.push(queue_id, waiter) {
            self.refuse(evicted, Cause::QueueFull, Ran::No);
        }
        if was_empty {
            self.record_backlog(now, queue_id);
        }
        self.announce(now, queue_id);
    }

    /// Returns the queue entry of a request.
    pub(super) fn waiter(&self, sequence: Sequence) -> Waiter {
        let request = &self.requests[&sequence];
        let spec = &request.spec;
        let key_owner = |key| self.rules.idempotency_owner(spec.service, key);
        let conversation = spec.conversation;
        let preferred =
            conversation.and_then(|key| self.preferred_target(spec.service, key, |_| true));
        Waiter {
            sequence,
            pinned: request
                .owner_key()
                .map(|key| key_owner(key).unwrap_or_default()),
            preferred,
            bytes: spec.body.len(),
        }
    }

    /// Returns the target for a conversation by rendezvous hashing over the linked targets
    /// that pass the filter `allowed`.
    pub(super) fn preferred_target(
        &self,
        service: Service,
        key: u64,
        allowed: impl Fn(Target) -> bool,
    ) -> Option<Target> {
        let members = self.members.get(&service)?;
        members
            .iter()
            .copied()
            .filter(|target| allowed(*target))
            .max_by_key(|target| rendezvous_weight(*target, key))
    }

    /// Returns a target with an offered slot for a request.
    ///
    /// A request with an idempotency key may run only at the owner of the key. One of a
    /// conversation goes to its preferred target among those with offers, and any other to
    /// the target that offers the most slots.
    pub(super) fn open_target(&self, now: Time, request: &Request) -> Option<Target> {
        let service = request.spec.service;
        let open = |target: Target| {
            let link = &self.links[&target];
            link.slots > 0 && now < link.offered + OFFER_TTL
        };
        if let Some(key) = request.owner_key() {
            let owner = self.rules.idempotency_owner(service, key)?;
            let linked = self.links.contains_key(&owner);
            return (linked && open(owner)).then_some(owner);
        }
        if let Some(key) = request.spec.conversation {
            return self.preferred_target(service, key, open);
        }
        let members = self.members.get(&service)?;
        members
            .iter()
            .copied()
            .filter(|target| open(*target))
            .max_by_key(|target| {
                (
                    self.links[target].slots,
                    rendezvous_weight(*target, self.newest),
                )
            })
    }

    /// Dispatches a request to a target with one of its offered slots.
    pub(super) fn use_offer(&mut self, now: Time, sequence: Sequence, target: Target) {
        let Some(link) = self.links.get_mut(&target) else {
            return;
        };
        link.slots -= 1;
        let stamp = link.stamp;
        self.dispatch(now, sequence, target, stamp, 0);
    }

    /// Sends a request to a sidecar, by a grant or, where `grant` is zero, by an offer.
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
            .expect("a request to dispatch is in the request table");
        request.stage = Stage::Dispatched(Attempt {
            target,
            incarnation,
            stamp,
            lost: None,
            acked: 0,
        });
        request.received = 0;
        self.in_flight.entry(target).or_default().insert(sequence);
        let request = &self.requests[&sequence];
        let id = self.attempt_id(sequence, request);
        let spec = &request.spec;
        let share = self.rules.share_entry(spec.service, spec.account);
        self.outputs.push(Output::Log(Event::Route {
            id,
            account: self.rules.name(spec.account),
            target: self.rules.name(target),
            why: if grant > 0 { "grant" } else { "offer" },
            waited: now.saturating_sub(request.arrived).as_micros(),
            share: share.map_or(0, |entry| entry.line),
            write: spec.write.unwrap_or(0),
        }));
        let dispatch = Dispatch {
            id,
            incarnation,
            stamp,
            grant,
            account: spec.account,
            write: spec.write.is_some(),
            key: spec.key,
            generation: self.rules.generation(),
            head: spec.head.clone(),
            body: spec.body.clone(),
        };
        let message = Message::Dispatch(Rc::new(dispatch));
        self.outputs.push(Output::Send(target, message));
        // Sent right after the dispatch, so that the two share a packet.
        if let Some(done) = self.done.remove(&target) {
            self.outputs.push(Output::Send(target, Message::Done(done)));
        }
    }

    /// Sends the number of waiting requests of a queue to the sidecars that need it.
    ///
    /// These are the sidecars that were sent a number before, the targets to which requests are
    /// pinned, and further targets at random up to the number that `Probes::reach` returns.
    pub(super) fn announce(&mut self, now: Time, queue_id: QueueId) {
        let waiting = self.queues.unpinned(queue_id);
        let pinned = self.queues.pinned_targets(queue_id);
        let members = self.members.get(&queue_id.0).map_or(&[][..], Vec::as_slice);
        let probes = self.probes.entry(queue_id).or_default();
        if pinned.is_empty() && !probes.is_due(now, waiting, members.len()) {
            return;
        }
        let reach = probes.reach(now, waiting);
        let mut targets = probes.targets();
        targets.extend(pinned);
        let additional = reach.min(members.len()).saturating_sub(probes.len());
        if additional > 0 {
            let start = self.rng.usize(..members.len());
            let rotated = members[start..].iter().chain(&members[..start]);
            let fresh = rotated
                .filter(|target| !probes.contains(**target))
                .take(additional);
            targets.extend(fresh);
        }
        targets.sort_unstable();
        targets.dedup();
        let sidecars = targets.len() as u32;
        for target in targets {
            let count = self.queues.available(queue_id, target) as u32;
            if self.links.contains_key(&target) && probes.update(target, count) {
                let account = queue_id.1;
                let waiting = count;
                let message = Message::Demand {
                    account,
                    waiting,
                    sidecars,
                };
                self.outputs.push(Output::Send(target, message));
            }
        }
        if waiting == 0 && probes.is_empty() {
            self.probes.remove(&queue_id);
        }
    }

    /// Records a sidecar's offer of slots and dispatches queued requests to it.
    pub(super) fn apply_offer(&mut self, now: Time, target: Target, slots: u32, stamp: u64) {
        let Some(link) = self.links.get_mut(&target) else {
            return;
        };
        link.slots = slots;
        link.stamp = stamp;
        link.offered = now;
        let service = link.service;
        self.use_offers(now, service);
    }

    /// Dispatches queued requests to offered slots, the account with the least usage first.
    pub(super) fn use_offers(&mut self, now: Time, service: Service) {
        let members = self.members.get(&service).cloned().unwrap_or_default();
        for target in members {
            while self.links[&target].slots > 0 {
                let usage = |account| {
                    let table = self.tables.get(&service);
                    table.map_or(0, |table| table.usage(account))
                };
                let queues = self.queues.iter().map(|(queue_id, _)| queue_id);
                let queue_ids = queues.filter(|queue_id| queue_id.0 == service);
                let eligible =
                    queue_ids.filter(|queue_id| self.queues.available(*queue_id, target) > 0);
                let Some(queue_id) =
                    eligible.min_by_key(|queue_id| (usage(queue_id.1), queue_id.1))
                else {
                    break;
                };
                let Some(sequence) = self.queues.pop(now, queue_id, target) else {
                    break;
                };
                self.use_offer(now, sequence, target);
                self.announce(now, queue_id);
            }
        }
    }

    /// Dispatches the next request of an account to the sidecar that granted a slot, or
    /// declines the grant if none waits.
    pub(super) fn apply_grant(
        &mut self,
        now: Time,
        target: Target,
        grant: u64,
        account: Account,
        stamp: u64,
    ) {
        let queue_id = (self.links[&target].service, account);
        if let Some(probes) = self.probes.get_mut(&queue_id) {
            probes.consume(target);
        }
        match self.queues.pop(now, queue_id, target) {
            Some(sequence) => self.dispatch(now, sequence, target, stamp, grant),
            None => {
                let message = Message::Decline { grant };
                self.outputs.push(Output::Send(target, message));
            }
        }
        self.announce(now, queue_id);
    }
}

//! Slots: who is invited to them, and who may use them unasked.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use super::{
    Event,
    Output,
    Sidecar,
    core::{
        Grant,
        smooth, //
    }, //
};
use crate::{
    fair,
    ids::{
        Account,
        Router,
        Time,
        Usage,
        rendezvous_weight, //
    },
    wire::Message, //
};

/// The time that a grant waits for its dispatch.
const GRANT_LIFE: Duration = Duration::from_millis(100);

/// The time that a router which let a grant lapse gets no other.
const MUTE_TIME: Duration = Duration::from_millis(500);

/// The share of a request's cost below which a round trip is not worth hiding.
const AHEAD_RATIO: u32 = 400;

/// The interval at which a standing offer is stamped anew.
const OFFER_INTERVAL: Duration = Duration::from_secs(3);

impl Sidecar {
    pub(super) fn drop_grants(&mut self, router: Router) {
        self.grants.retain(|_, grant| grant.router != router);
    }

    pub(super) fn demand(
        &mut self,
        now: Time,
        router: Router,
        account: Account,
        waiting: u32,
        reach: u32,
    ) {
        if waiting > 0 {
            let backlogged: Vec<_> = self.backlogged().collect();
            if !backlogged.contains(&account) && !self.recent.contains_key(&account) {
                self.view.activate(account, backlogged.into_iter());
            }
            self.recent.insert(account, now);
            self.reaches.insert(account, reach);
        }
        let Some(link) = self.links.get_mut(&router) else {
            return;
        };
        match waiting {
            0 => link.demand.remove(&account),
            _ => link.demand.insert(account, waiting),
        };
    }

    /// Ends a grant and returns its account.
    pub(super) fn settle(&mut self, now: Time, grant: u64) -> Option<Account> {
        let grant = self.grants.remove(&grant)?;
        let sample = now.saturating_sub(grant.since);
        self.round_trip = smooth(self.round_trip, sample);
        if let Some(link) = self.links.get_mut(&grant.router) {
            reduce(&mut link.granted, grant.account);
            reduce(&mut link.demand, grant.account);
        }
        Some(grant.account)
    }

    /// Returns the other sidecars that decide on an account's requests alike.
    pub(super) fn others(&self, account: Account) -> u32 {
        let reach = self.reaches.get(&account);
        reach.map_or(0, |reach| reach.saturating_sub(1))
    }

    pub(super) fn expire_grants(&mut self, now: Time) {
        let late = |grant: &Grant| now > grant.since + GRANT_LIFE;
        for grant in self.grants.values().filter(|grant| late(grant)) {
            if let Some(link) = self.links.get_mut(&grant.router) {
                link.muted = now + MUTE_TIME;
                reduce(&mut link.granted, grant.account);
            }
        }
        self.grants.retain(|_, grant| !late(grant));
    }

    /// Returns the accounts that wait at linked routers.
    pub(super) fn backlogged(&self) -> impl Iterator<Item = Account> {
        let accounts: BTreeSet<_> = self
            .links
            .values()
            .flat_map(|link| link.demand.keys().copied())
            .collect();
        accounts.into_iter()
    }

    /// Returns the slots that neither grants nor attempts take.
    pub(super) fn free(&self, now: Time) -> u32 {
        let slots = self.limit.slots(now);
        slots.saturating_sub(self.taken() as u32)
    }

    /// Returns the grants to give beyond the slots, so that none waits for a message.
    pub(super) fn ahead(&self) -> u32 {
        if self.round_trip * AHEAD_RATIO < self.cost {
            return 0;
        }
        let slots = f64::from(self.limit.max());
        let ratio = self.round_trip.as_secs_f64() / self.cost.as_secs_f64().max(1e-6);
        (slots * ratio).ceil().min(slots) as u32
    }

    /// Grants free slots to the accounts with the least service.
    pub(super) fn grant(&mut self, now: Time) {
        let slots = self.limit.slots(now);
        if slots == 0 {
            return;
        }
        let slots = slots + self.ahead();
        if self.taken() as u32 >= slots {
            return;
        }
        let mut waiting = self.waiting(now);
        let advances = self.advances(now);
        let mut advances: BTreeMap<_, _> = waiting
            .keys()
            .map(|account| (*account, advances.get(account).copied().unwrap_or_default()))
            .collect();
        while (self.taken() as u32) < slots {
            let advanced = waiting.keys().map(|account| (*account, advances[account]));
            let Some(account) = self.view.next_account(advanced) else {
                break;
            };
            let routers = waiting.get_mut(&account).expect("the account waits");
            let router = self.draw(routers);
            if routers.is_empty() {
                waiting.remove(&account);
            }
            let alike = Usage::from(self.others(account) + 1);
            *advances.entry(account).or_default() += self.expected(account) * alike;
            self.issue(now, router, account);
        }
    }

    /// Returns where requests wait that no grant covers.
    pub(super) fn waiting(&self, now: Time) -> BTreeMap<Account, Vec<(u32, Router)>> {
        let mut waiting: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (router, link) in &self.links {
            if now < link.muted {
                continue;
            }
            for (account, count) in &link.demand {
                let granted = link.granted.get(account).copied().unwrap_or_default();
                let left = count.saturating_sub(granted);
                if left > 0 {
                    waiting.entry(*account).or_default().push((left, *router));
                }
            }
        }
        waiting
    }

    /// Returns the usage still expected of what runs or is granted here, by account.
    pub(super) fn advances(&self, now: Time) -> BTreeMap<Account, Usage> {
        let mut advances: BTreeMap<Account, Usage> = BTreeMap::new();
        for run in self.runs.values() {
            let account = run.dispatch.account;
            let spent = now.saturating_sub(run.since);
            let share = self.rules.share(self.settings.service, account);
            let uncharged = fair::usage(spent.saturating_sub(run.charged), share);
            let left = self
                .expected(account)
                .saturating_sub(fair::usage(spent, share));
            *advances.entry(account).or_default() += uncharged + left;
        }
        let granted = self.grants.values().map(|grant| grant.account);
        let ready = self.ready.iter().map(|dispatch| dispatch.account);
        for account in granted.chain(ready) {
            *advances.entry(account).or_default() += self.expected(account);
        }
        for (account, advance) in &mut advances {
            *advance *= Usage::from(self.others(*account) + 1);
        }
        advances
    }

    /// Returns the usage that one request of an account is expected to take.
    pub(super) fn expected(&self, account: Account) -> Usage {
        let cost = self.costs.get(&account).unwrap_or(&self.cost);
        fair::usage(*cost, self.rules.share(self.settings.service, account))
    }

    /// Takes one request out of those that wait at `routers`, in proportion to them.
    pub(super) fn draw(&self, routers: &mut Vec<(u32, Router)>) -> Router {
        let total: u64 = routers.iter().map(|(left, _)| u64::from(*left)).sum();
        let mut at = rendezvous_weight(self.settings.target, self.serial) % total.max(1);
        let found = routers.iter().position(|(left, _)| {
            let here = at < u64::from(*left);
            at = at.saturating_sub(u64::from(*left));
            here
        });
        let found = found.unwrap_or_default();
        let (left, router) = &mut routers[found];
        *left -= 1;
        let (left, router) = (*left, *router);
        if left == 0 {
            routers.swap_remove(found);
        }
        router
    }

    pub(super) fn issue(&mut self, now: Time, router: Router, account: Account) {
        self.serial += 1;
        let grant = self.serial;
        let since = now;
        self.grants.insert(
            grant,
            Grant {
                router,
                account,
                since,
            },
        );
        if let Some(link) = self.links.get_mut(&router) {
            *link.granted.entry(account).or_default() += 1;
        }
        self.view.advance_time(account);
        let usage = self.view.usage(account);
        self.outs.push(Output::Log(Event::Grant {
            grant,
            account: self.rules.name(account),
            router,
            usage,
        }));
        let stamp = now.as_millis() as u64;
        let message = Message::Grant {
            grant,
            account,
            stamp,
        };
        self.outs.push(Output::Send(router, message));
    }

    /// Tells routers of free slots when nothing waits, and when there are none left.
    pub(super) fn offer(&mut self, now: Time, leaving: bool) {
        let waits = self.links.values().any(|link| !link.demand.is_empty());
        let free = match leaving || waits {
            true => 0,
            false => self.free(now),
        };
        let stamp = now.as_millis() as u64;
        for (router, link) in &mut self.links {
            let rough = free >= link.offered * 2 || free * 2 <= link.offered;
            let changed = free != link.offered && rough;
            let old = free > 0 && now >= link.stamped + OFFER_INTERVAL;
            if changed || old {
                link.offered = free;
                link.stamped = now;
                let message = Message::Offer { slots: free, stamp };
                self.outs.push(Output::Send(*router, message));
            }
        }
    }
}

fn reduce(counts: &mut BTreeMap<Account, u32>, account: Account) {
    if let Some(count) = counts.get_mut(&account) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&account);
        }
    }
}

//! Slot allocation: grants, which reserve a slot for one request of an account, and offers,
//! which let routers use free slots without a grant.

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
        moving_average, //
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

/// The time after which a grant without a dispatch is withdrawn.
const GRANT_TIMEOUT: Duration = Duration::from_millis(100);

/// The time for which a router gets no grants after one of its grants timed out. Any message
/// from the router ends it early.
const GRANT_COOLDOWN: Duration = Duration::from_millis(500);

/// The cost of a request, in round trips, above which no extra grants are issued: a slot that stays
/// idle for one round trip then loses too little capacity to justify extra grants.
const MAX_COST_IN_ROUND_TRIPS: u32 = 400;

/// The interval at which an unchanged offer is sent again with a new time stamp. Dispatches
/// carry the stamp, and one older than `DISPATCH_LIFETIME` is refused.
const OFFER_REFRESH_INTERVAL: Duration = Duration::from_secs(3);

impl Sidecar {
    /// Drops the grants of a router whose link has changed.
    pub(super) fn drop_grants(&mut self, router: Router) {
        self.grants.retain(|_, grant| grant.router != router);
    }

    /// Records how many requests of an account wait at a router. An account that was idle is
    /// first raised to the level of the backlogged ones.
    pub(super) fn demand(
        &mut self,
        now: Time,
        router: Router,
        account: Account,
        waiting: u32,
        sidecars: u32,
    ) {
        if waiting > 0 {
            let backlogged: Vec<_> = self.backlogged().collect();
            if !backlogged.contains(&account) && !self.last_backlogged.contains_key(&account) {
                self.view.activate(account, backlogged.into_iter());
            }
            self.last_backlogged.insert(account, now);
            self.probed.insert(account, sidecars);
        }
        let Some(link) = self.links.get_mut(&router) else {
            return;
        };
        match waiting {
            0 => link.demand.remove(&account),
            _ => link.demand.insert(account, waiting),
        };
    }

    /// Removes a grant that was used or declined, updates the round-trip average and returns
    /// the grant's account.
    pub(super) fn close_grant(&mut self, now: Time, grant: u64) -> Option<Account> {
        let grant = self.grants.remove(&grant)?;
        let sample = now.saturating_sub(grant.since);
        self.round_trip = moving_average(self.round_trip, sample);
        if let Some(link) = self.links.get_mut(&grant.router) {
            decrement(&mut link.granted, grant.account);
            decrement(&mut link.demand, grant.account);
        }
        Some(grant.account)
    }

    /// Returns the number of other sidecars to which a router has sent the length of an account's
    /// queue. They see the same totals and therefore make the same decisions.
    pub(super) fn other_sidecars(&self, account: Account) -> u32 {
        let sidecars = self.probed.get(&account);
        sidecars.map_or(0, |sidecars| sidecars.saturating_sub(1))
    }

    /// Withdraws the grants that have timed out and starts the cooldown of their routers.
    pub(super) fn expire_grants(&mut self, now: Time) {
        let late = |grant: &Grant| now > grant.since + GRANT_TIMEOUT;
        for grant in self.grants.values().filter(|grant| late(grant)) {
            if let Some(link) = self.links.get_mut(&grant.router) {
                link.cooldown_end = now + GRANT_COOLDOWN;
                decrement(&mut link.granted, grant.account);
            }
        }
        self.grants.retain(|_, grant| !late(grant));
    }

    /// Returns the accounts that have requests waiting at linked routers.
    pub(super) fn backlogged(&self) -> impl Iterator<Item = Account> {
        let accounts: BTreeSet<_> = self
            .links
            .values()
            .flat_map(|link| link.demand.keys().copied())
            .collect();
        accounts.into_iter()
    }

    /// Returns the number of slots that are taken neither by grants nor by attempts.
    pub(super) fn free_slots(&self, now: Time) -> u32 {
        let slots = self.limit.slots(now);
        slots.saturating_sub(self.taken() as u32)
    }

    /// Returns the number of grants to issue beyond the slots, so that no slot stays idle for
    /// the round trip between a grant and its dispatch.
    pub(super) fn extra_grants(&self) -> u32 {
        if self.round_trip * MAX_COST_IN_ROUND_TRIPS < self.cost {
            return 0;
        }
        let slots = f64::from(self.limit.max());
        let ratio = self.round_trip.as_secs_f64() / self.cost.as_secs_f64().max(1e-6);
        (slots * ratio).ceil().min(slots) as u32
    }

    /// Grants free slots to the backlogged accounts with the least usage.
    pub(super) fn grant(&mut self, now: Time) {
        let slots = self.limit.slots(now);
        if slots == 0 {
            return;
        }
        let slots = slots + self.extra_grants();
        if self.taken() as u32 >= slots {
            return;
        }
        let mut waiting = self.waiting(now);
        let in_flight = self.in_flight_usage(now);
        let mut in_flight: BTreeMap<_, _> = waiting
            .keys()
            .map(|account| {
                (
                    *account,
                    in_flight.get(account).copied().unwrap_or_default(),
                )
            })
            .collect();
        while (self.taken() as u32) < slots {
            let candidates = waiting.keys().map(|account| (*account, in_flight[account]));
            let Some(account) = self.view.next_account(candidates) else {
                break;
            };
            let routers = waiting
                .get_mut(&account)
                .expect("an account returned by `UsageView::next_account` is in `waiting`");
            let router = self.pick_router(routers);
            if routers.is_empty() {
                waiting.remove(&account);
            }
            let sidecars = Usage::from(self.other_sidecars(account) + 1);
            *in_flight.entry(account).or_default() += self.expected_usage(account) * sidecars;
            self.issue(now, router, account);
        }
    }

    /// Returns, by account, each router with waiting requests that no grant covers, and the number
    /// of these requests. Routers in their cooldown are left out.
    pub(super) fn waiting(&self, now: Time) -> BTreeMap<Account, Vec<(u32, Router)>> {
        let mut waiting: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (router, link) in &self.links {
            if now < link.cooldown_end {
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

    /// Returns, by account, the usage that attempts and grants of this sidecar are expected to
    /// add and that is not yet charged. It is multiplied by the number of sidecars that decide
    /// in the same way.
    pub(super) fn in_flight_usage(&self, now: Time) -> BTreeMap<Account, Usage> {
        let mut in_flight: BTreeMap<Account, Usage> = BTreeMap::new();
        for run in self.runs.values() {
            let account = run.dispatch.account;
            let elapsed = now.saturating_sub(run.since);
            let share = self.rules.share(self.settings.service, account);
            let uncharged = fair::usage(elapsed.saturating_sub(run.charged), share);
            let left = self
                .expected_usage(account)
                .saturating_sub(fair::usage(elapsed, share));
            *in_flight.entry(account).or_default() += uncharged + left;
        }
        let granted = self.grants.values().map(|grant| grant.account);
        let ready = self.ready.iter().map(|dispatch| dispatch.account);
        for account in granted.chain(ready) {
            *in_flight.entry(account).or_default() += self.expected_usage(account);
        }
        for (account, usage) in &mut in_flight {
            *usage *= Usage::from(self.other_sidecars(*account) + 1);
        }
        in_flight
    }

    /// Returns the usage expected of one request of an account, from its average cost.
    pub(super) fn expected_usage(&self, account: Account) -> Usage {
        let cost = self.costs.get(&account).unwrap_or(&self.cost);
        fair::usage(*cost, self.rules.share(self.settings.service, account))
    }

    /// Picks a router with a probability in proportion to the requests that wait there, and
    /// subtracts one request from its number.
    pub(super) fn pick_router(&self, routers: &mut Vec<(u32, Router)>) -> Router {
        let total: u64 = routers.iter().map(|(left, _)| u64::from(*left)).sum();
        let mut at = rendezvous_weight(self.settings.target, self.last_grant) % total.max(1);
        let found = routers.iter().position(|(left, _)| {
            let is_here = at < u64::from(*left);
            at = at.saturating_sub(u64::from(*left));
            is_here
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

    /// Records a grant and sends it to a router.
    pub(super) fn issue(&mut self, now: Time, router: Router, account: Account) {
        self.last_grant += 1;
        let grant = self.last_grant;
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
        self.outputs.push(Output::Log(Event::Grant {
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
        self.outputs.push(Output::Send(router, message));
    }

    /// Offers the free slots to all routers, or withdraws the offers by offering zero slots while
    /// requests wait or the target is `leaving`. An offer is sent again only where the number has
    /// at least doubled or halved, or, unless it is zero, after [`OFFER_REFRESH_INTERVAL`].
    pub(super) fn offer(&mut self, now: Time, leaving: bool) {
        let has_backlog = self.links.values().any(|link| !link.demand.is_empty());
        let free = match leaving || has_backlog {
            true => 0,
            false => self.free_slots(now),
        };
        let stamp = now.as_millis() as u64;
        for (router, link) in &mut self.links {
            let doubled_or_halved = free >= link.offered * 2 || free * 2 <= link.offered;
            let changed = free != link.offered && doubled_or_halved;
            let expiring = free > 0 && now >= link.offered_at + OFFER_REFRESH_INTERVAL;
            if changed || expiring {
                link.offered = free;
                link.offered_at = now;
                let message = Message::Offer { slots: free, stamp };
                self.outputs.push(Output::Send(*router, message));
            }
        }
    }
}

/// Subtracts one from an account's count and removes the entry at zero.
fn decrement(counts: &mut BTreeMap<Account, u32>, account: Account) {
    if let Some(count) = counts.get_mut(&account) {
        *count -= 1;
        if *count == 0 {
            counts.remove(&account);
        }
    }
}

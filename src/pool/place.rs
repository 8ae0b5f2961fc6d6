//! Placement: which waiting request goes to which target, and when.
//!
//! It answers two loads. Past capacity, a request is sent only where its first byte is
//! expected in time, so that what is sent is served in time, and the order among accounts
//! decides who that is. Below capacity, prompts go where their parts are kept.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::Duration, //
};

use super::{
    Ask,
    Order,
    Pool,
    Prompt,
    core::{
        Request,
        Stage, //
    },
    member::Member,
    pace::millis, //
};
use crate::ids::{
    Account,
    Sequence,
    Service,
    Target,
    Time,
    rendezvous_weight, //
};

/// The part of the objective that a request may wait at the router; the rest is for the
/// target.
const HOLD_PART: f64 = 0.25;

/// The part of the objective in which the first byte must be expected.
const DUE_PART: f64 = 0.75;

/// The tokens that an engine may have to read before a prompt that is too long to be read in
/// time anywhere: one chunk of today's engines.
const IDLE_TOKENS: u64 = 4_096;

/// The part of an engine's memory that is planned for; beyond it the engine preempts.
const MEMORY_PART: f64 = 0.9;

/// What it costs to leave the failure domain, in milliseconds of waiting.
const DOMAIN_COST: f64 = 12.0;

/// What a target that always fails costs, in milliseconds of waiting.
const FAILING_COST: f64 = 2_000.0;

/// The shared tokens that are worth a wait for an engine that keeps them.
const FAR_TOKENS: u64 = 400;

/// The parts of the shared tokens that the engines to which they hash are presumed to keep,
/// by rank: other routers send there as well.
const PRESUMED_PARTS: [f64; 2] = [0.9, 0.4];

/// How much more than its own time it counts to read a shared part again: the tokens take
/// time from other requests, and push out parts that others share.
const REREAD_COST: f64 = 3.0;

/// The requests of a plain target for each of its slots; more would wait too long there.
const PLAIN_FILL: u32 = 2;

/// The cost of each request per slot at a plain target, in milliseconds.
const PLAIN_COST: f64 = 30.0;

/// The least time between two looks through a queue: a small part of the shortest objective.
const PUMP_INTERVAL: Duration = Duration::from_millis(5);

/// The requests of one account that are looked at for one that can be sent.
const LOOK_AHEAD: usize = 8;

/// The targets where the shared part of a prompt is at home.
type Homes = [Option<Target>; PRESUMED_PARTS.len()];

/// The place of an account among those that wait; the first one is the greatest.
type Rank = Reverse<(u64, Account)>;

/// What holds for a request at every target.
struct Terms {
    /// The homes of its prompt's shared part.
    homes: Homes,
    /// The part of an engine that is open to its account.
    open: f64,
    /// How long it waits for an engine that keeps its shared part.
    home_wait: Duration,
    /// Whether other routers send to the same targets.
    shared: bool,
}

/// A target that can take a request now.
pub(super) struct Choice {
    pub(super) target: Target,
    cost: f64,
    /// The expected time to the first byte.
    pub(super) first: Duration,
    /// The prompt tokens that it is expected to read.
    pub(super) unread: u64,
    /// The target's rank among the homes of the prompt's shared part.
    pub(super) rank: Option<usize>,
}

impl Pool {
    /// Sends a request that has just been queued, if a target can take it. Places that have become
    /// free go to those that wait first.
    pub(super) fn pump_arrival(&mut self, now: Time, service: Service, account: Account) {
        let Some(lane) = self.lanes.get(&service) else {
            return;
        };
        if lane.due {
            return self.pump(now, service);
        }
        // What waits longer had no choice when it was looked at, and capacity has only shrunk.
        let order = Order::new(&lane.ledger, now, self.rate);
        if let Some((sequence, choice)) = self.next_request(now, service, account, &order) {
            self.send(now, sequence, choice);
        }
    }

    /// Sends waiting requests of a service where a place has become free, but looks through the
    /// queue only now and then: that takes longer than all else that is done for a request.
    pub(super) fn pump_soon(&mut self, now: Time, service: Service) {
        let lane = self.lane(service);
        lane.due = true;
        if lane.pumped.is_none_or(|at| now >= at + PUMP_INTERVAL) {
            self.pump(now, service);
        }
    }

    /// Sends waiting requests of a service while targets can take them.
    pub(super) fn pump(&mut self, now: Time, service: Service) {
        let lane = self.lane(service);
        lane.due = false;
        lane.pumped = Some(now);
        let lane = &self.lanes[&service];
        if lane.queue.is_empty() {
            return;
        }
        let order = Order::new(&lane.ledger, now, self.rate);
        let accounts = lane.queue.lines().map(|(account, _)| account);
        let ranked = accounts.filter_map(|account| self.rank(now, service, account));
        let mut waiting: BinaryHeap<_> = ranked.collect();
        while let Some(Reverse((_, account))) = waiting.pop() {
            // An account without a choice has none later: capacity only shrinks in this loop.
            if let Some((sequence, choice)) = self.next_request(now, service, account, &order) {
                self.send(now, sequence, choice);
                waiting.extend(self.rank(now, service, account));
            }
        }
    }

    /// Returns the place of an account among those that wait, if it does: the one that has had
    /// the least service is first.
    fn rank(&self, now: Time, service: Service, account: Account) -> Option<Rank> {
        let lane = self.lanes.get(&service)?;
        let front = *lane.queue.line(account)?.front()?;
        let place = match self.settings.baseline {
            true => front,
            false => lane.ledger.usage(now, account),
        };
        Some(Reverse((place, account)))
    }

    fn next_request(
        &self,
        now: Time,
        service: Service,
        account: Account,
        order: &Order,
    ) -> Option<(Sequence, Choice)> {
        let lane = self.lanes.get(&service)?;
        let standing = lane.ledger.standing(now, account);
        let open = order.open_part(standing.usage);
        let home_part = order.home_part(&standing);
        let line = lane.queue.line(account)?;
        let mut sequences = line.iter().take(LOOK_AHEAD);
        sequences.find_map(|sequence| {
            let request = &self.requests[sequence];
            Some((*sequence, self.choose(now, request, open, home_part)?))
        })
    }

    /// Returns the best target that can take a request now.
    fn choose(&self, now: Time, request: &Request, open: f64, home_part: f64) -> Option<Choice> {
        debug_assert!(matches!(request.stage, Stage::Waiting));
        let lane = self.lanes.get(&request.ask.service)?;
        let members = lane
            .members
            .iter()
            .filter_map(|target| self.members.get(target));
        let fresh = |member: &&Member| {
            let tried = request.tried.contains(&member.seat.target);
            !tried && member.health.resting(now).is_zero()
        };
        let fresh: Vec<_> = members.filter(fresh).collect();
        let trusted = |member: &&&Member| !member.health.is_avoided(now);
        let trusted: Vec<_> = fresh.iter().filter(trusted).copied().collect();
        // When all are avoided, none is worse than the others.
        let members = if trusted.is_empty() { &fresh } else { &trusted };
        let failing = members.iter().map(|member| member.health.failing());
        let least = failing.fold(1.0, f64::min);
        let terms = Terms {
            homes: self.homes(&request.ask, members),
            open,
            home_wait: request.ask.objective.mul_f64(home_part),
            shared: self.routers > 1 || !self.sources.is_empty(),
        };
        let choices = members.iter().filter_map(|member| {
            let mut choice = match self.settings.baseline {
                true => least_busy(member),
                false => self.consider(now, request, member, &terms)?,
            };
            choice.cost += (member.health.failing() - least) * FAILING_COST;
            Some(choice)
        });
        choices.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns the engines to which the shared part of a prompt hashes at every router, the
    /// first one first.
    fn homes(&self, ask: &Ask, members: &[&Member]) -> Homes {
        let part = ask.prompt.as_ref().and_then(Prompt::shared);
        let mut homes = Homes::default();
        if let Some(part) = part {
            let targets = members.iter().map(|member| member.seat.target);
            let mut ranked: Vec<_> = targets.collect();
            ranked.sort_by_key(|target| Reverse(rendezvous_weight(*target, part.path)));
            for (home, target) in homes.iter_mut().zip(ranked) {
                *home = Some(target);
            }
        }
        homes
    }

    fn consider(
        &self,
        now: Time,
        request: &Request,
        member: &Member,
        terms: &Terms,
    ) -> Option<Choice> {
        let mut choice = match &request.ask.prompt {
            Some(_) if member.seat.memory > 0 => engine(now, request, member, terms)?,
            _ => plain(member)?,
        };
        if member.seat.domain != self.settings.domain {
            choice.cost += DOMAIN_COST;
        }
        Some(choice)
    }
}

/// Returns how long a request may wait at the router.
pub(super) fn hold(ask: &Ask) -> Duration {
    ask.objective.mul_f64(HOLD_PART)
}

/// Considers a model engine: its batch, its memory, and the time to the first event.
fn engine(now: Time, request: &Request, member: &Member, terms: &Terms) -> Option<Choice> {
    let ask = &request.ask;
    let prompt = ask.prompt.as_ref()?;
    let target = member.seat.target;
    let load = member.load();
    let rank = terms.homes.iter().position(|home| *home == Some(target));
    let presumed = match terms.shared {
        true => rank.map_or(0.0, |rank| PRESUMED_PARTS[rank]),
        false => 0.0,
    };
    let shared = prompt.shared_tokens();
    let kept = member.cache.kept(&prompt.parts);
    let kept = kept.max((shared as f64 * presumed) as u64);
    let unread = prompt.input.saturating_sub(kept);
    let first = member.pace.expect(load.unread + unread);
    let waited = now.saturating_sub(request.arrived);
    let timely = waited + first <= ask.objective.mul_f64(DUE_PART * terms.open);
    let limit = f64::from(member.batch.limit()) * terms.open;
    let idle = (IDLE_TOKENS as f64 * terms.open) as u64;
    let needed = load.memory + prompt.input + prompt.output;
    let fits = needed as f64 <= member.seat.memory as f64 * MEMORY_PART || load.running == 0;
    if f64::from(load.running) >= limit || !fits || !(timely || load.unread < idle) {
        return None;
    }
    let again = shared.saturating_sub(kept);
    if rank != Some(0) && again >= FAR_TOKENS && waited < terms.home_wait {
        return None;
    }
    let cost = millis(first) + again as f64 * member.pace.slope() * REREAD_COST;
    Some(Choice {
        target,
        cost,
        first,
        unread,
        rank,
    })
}

/// Considers a plain target: its slots.
fn plain(member: &Member) -> Option<Choice> {
    let slots = member.seat.slots.max(1);
    let running = member.load().running;
    if running >= slots * PLAIN_FILL {
        return None;
    }
    let fill = f64::from(running + 1) / f64::from(slots);
    Some(Choice {
        target: member.seat.target,
        cost: fill * PLAIN_COST,
        first: Duration::ZERO,
        unread: 0,
        rank: None,
    })
}

/// Considers a target as the baseline does: by the requests that this router has there.
fn least_busy(member: &Member) -> Choice {
    Choice {
        target: member.seat.target,
        cost: f64::from(member.own.running),
        first: Duration::ZERO,
        unread: 0,
        rank: None,
    }
}

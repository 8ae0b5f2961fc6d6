//! Placement: which waiting request is sent to which target, and when.
//!
//! When demand exceeds capacity, a request is sent only to a target whose first byte is expected
//! within the objective. The requests that are sent are thus served in time, and the usage of the
//! accounts decides which requests these are. When capacity is sufficient, a prompt is sent to an
//! engine that has its prefix cached.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::Duration, //
};

use super::{
    Fairness,
    LatencyModel,
    Pool,
    Prompt,
    RequestSpec,
    Standing,
    TargetView,
    core::{
        Request,
        Stage, //
    },
    latency::millis,
    member::Member,
    spare::has_shared_room,
    suspect::Admission, //
};
use crate::ids::{
    Account,
    Part,
    Sequence,
    Service,
    Target,
    Time,
    rendezvous_weight, //
};

/// The fraction of the objective that a request may wait at the router. The rest is left for the
/// target.
const MAX_WAIT_FRACTION: f64 = 0.25;

/// The fraction of the objective within which the first byte must be expected.
const FIRST_BYTE_FRACTION: f64 = 0.75;

/// A prompt whose first byte is not expected in time is sent only to an engine with fewer prompt
/// tokens than this left to read: one prefill chunk of current engines. Otherwise a prompt that is
/// too long for the objective would never be sent.
const MAX_IDLE_BACKLOG: u64 = 4_096;

/// The fraction of an engine's KV cache that may be planned for requests. An engine that fills up
/// further preempts requests.
const MEMORY_FRACTION: f64 = 0.9;

/// The cost of a target in another failure domain, in milliseconds of waiting.
const DOMAIN_COST_MS: f64 = 12.0;

/// The cost of a failure rate of 1, in milliseconds of waiting.
const FAILURE_COST_MS: f64 = 2_000.0;

/// The cost of a request at a target that may crash, in milliseconds of waiting.
const TRIAL_COST_MS: f64 = 1_000.0;

/// The uncached shared tokens from which on a request first waits for its home engine.
const MIN_UNCACHED_TOKENS: u64 = 400;

/// The fractions of a prompt's shared tokens that its home engines are presumed to have cached, by
/// rank, because other routers send prompts with the same prefix there as well.
const PRESUMED_CACHED: [f64; 2] = [0.9, 0.4];

/// The same where both home engines take requests at once, so that each keeps the prefix.
const PRESUMED_AT_BOTH: [f64; 2] = [0.9, 0.8];

/// The cost of reading shared tokens that are not cached, as a multiple of the reading time.
/// Reading them delays other requests and evicts cached parts that other prompts share.
const RECOMPUTE_FACTOR: f64 = 3.0;

/// The most requests per slot at a target that is not an engine. More would wait too long there.
pub(super) const REQUESTS_PER_SLOT: u32 = 2;

/// The cost of one request per slot at a target that is not an engine, in milliseconds.
const SLOT_COST_MS: f64 = 30.0;

/// The shortest time between a dispatch of a whole queue and the next one that a first byte
/// triggers: a small fraction of the shortest objective.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(5);

/// How many requests at the front of an account's queue are tried for one that can be sent.
const LOOK_AHEAD: usize = 8;

/// The number of routers that may look at a target at a time: few enough that their reports come in
/// time.
pub(super) const ROUTERS_AT_ONCE: usize = 4;

/// The least number of targets that are drawn at random for a request, beside its home engines.
const MIN_DRAWN: usize = 4;

/// The number of draws for each target that is wanted, as some that are drawn are not available.
const MAX_DRAWS: usize = 4;

/// The number of engines in the order in which they become home engines of a prompt.
const RANKED_HOMES: usize = 4;

/// The home engines of a prompt: those to which its shared prefix hashes first, in order of rank.
type Homes = [Option<Target>; PRESUMED_CACHED.len()];

/// The priority of an account in the heap of waiting accounts: the one with the smallest key comes
/// first.
type Priority = Reverse<(u64, Account)>;

/// The inputs of a placement that are the same for every target.
struct Constraints {
    homes: Homes,
    /// The fraction of an engine that the request's account may use.
    allowed: f64,
    /// How long the request waits for its home engine before it may be sent to another one.
    home_wait: Duration,
    /// Whether other routers send to the same targets.
    multiple: bool,
    /// Whether targets state how fast they work.
    stated: bool,
    /// The model of the engines that state their speed.
    latency: LatencyModel,
}

/// A target that can take a request now.
pub(super) struct Candidate {
    pub(super) target: Target,
    /// The cost in milliseconds of waiting, or in requests under the baseline policy. The candidate
    /// with the lowest cost is chosen.
    cost: f64,
    /// The expected time to the first byte.
    pub(super) first_byte: Duration,
    /// The prompt tokens that the target is not expected to have cached and has to read.
    pub(super) unread_tokens: u64,
    /// The target's rank among the home engines of the prompt.
    pub(super) rank: Option<usize>,
    /// The suspect part that the request is sent to try.
    pub(super) trial: Option<Part>,
    pub(super) standing: Standing,
    /// The load of the target and the limit on it.
    pub(super) view: TargetView,
}

impl Pool {
    /// Sends a request of an account that has just queued one, if a target can take it. Where
    /// capacity has become free since the last dispatch, the whole queue is dispatched instead, so
    /// that the accounts with the least usage get it first.
    pub(super) fn dispatch_arrival(&mut self, now: Time, service: Service, account: Account) {
        let supply = self.supply(now, service);
        let Some(state) = self.services.get_mut(&service) else {
            return;
        };
        if state.dispatch_due {
            return self.dispatch(now, service);
        }
        let fairness = state.fairness(now, supply);
        // Other accounts need not be tried: no target could take their requests at the last
        // dispatch, and no request or report has freed capacity since. Capacity that becomes free
        // with time, such as at the end of a backoff, is used at the next tick.
        if let Some((sequence, candidate)) = self.next_request(now, service, account, &fairness) {
            self.send(now, sequence, candidate);
        }
    }

    /// Dispatches a service's queue after capacity has become free, unless that happened less than
    /// [`DISPATCH_INTERVAL`] ago. A dispatch takes longer than all other work for a request.
    pub(super) fn dispatch_soon(&mut self, now: Time, service: Service) {
        let state = self.service_mut(service);
        state.dispatch_due = true;
        if state
            .last_dispatch
            .is_none_or(|at| now >= at + DISPATCH_INTERVAL)
        {
            self.dispatch(now, service);
        }
    }

    /// Sends a service's waiting requests, in order of account priority, while targets can take
    /// them.
    pub(super) fn dispatch(&mut self, now: Time, service: Service) {
        let supply = self.supply(now, service);
        let state = self.service_mut(service);
        state.dispatch_due = false;
        state.last_dispatch = Some(now);
        if state.queue.is_empty() {
            return;
        }
        let fairness = state.fairness(now, supply);
        let accounts = self.services[&service]
            .queue
            .accounts()
            .map(|(account, _)| account);
        let ranked = accounts.filter_map(|account| self.priority(now, service, account));
        let mut waiting: BinaryHeap<_> = ranked.collect();
        while let Some(Reverse((_, account))) = waiting.pop() {
            // Capacity only shrinks in this loop, so an account without a candidate gets none later
            // and is dropped from the heap.
            if let Some((sequence, candidate)) = self.next_request(now, service, account, &fairness)
            {
                self.send(now, sequence, candidate);
                waiting.extend(self.priority(now, service, account));
            }
        }
    }

    /// Returns the priority of an account, if it has a waiting request. The account with the least
    /// usage comes first; under the baseline policy, the account with the oldest request does.
    fn priority(&self, now: Time, service: Service, account: Account) -> Option<Priority> {
        let state = self.services.get(&service)?;
        let front = *state.queue.of_account(account)?.front()?;
        let key = match self.settings.baseline {
            true => front,
            false => state.ledger.usage(now, account),
        };
        Some(Reverse((key, account)))
    }

    /// Returns when the turns of an account begin at this router; see [`Fairness::is_turn`].
    fn phase(&self, account: Account) -> f64 {
        rendezvous_weight(account, self.settings.seed) as f64 / u64::MAX as f64
    }

    /// Returns the first of an account's waiting requests that can be sent, and its target.
    fn next_request(
        &self,
        now: Time,
        service: Service,
        account: Account,
        fairness: &Fairness,
    ) -> Option<(Sequence, Candidate)> {
        let state = self.services.get(&service)?;
        let flow = state.ledger.flow(now, account);
        if fairness.is_held(&flow) || !fairness.is_turn(now, &flow, self.phase(account)) {
            return None;
        }
        let standing = fairness.standing(&flow);
        let home_fraction = fairness.home_fraction(&standing.recent);
        let queue = state.queue.of_account(account)?;
        let mut sequences = queue.iter().take(LOOK_AHEAD);
        sequences.find_map(|sequence| {
            let request = &self.requests[sequence];
            Some((
                *sequence,
                self.choose(now, *sequence, request, standing, home_fraction)?,
            ))
        })
    }

    /// Returns the best target that can take a request now, of those that are looked at.
    fn choose(
        &self,
        now: Time,
        sequence: Sequence,
        request: &Request,
        standing: Standing,
        home_fraction: f64,
    ) -> Option<Candidate> {
        debug_assert!(matches!(request.stage, Stage::Waiting));
        let admission = self.admission(now, request);
        if admission == Admission::Wait {
            return None;
        }
        let homes = self.available_homes(now, request);
        let mut members = self.draw(now, sequence, request, &homes);
        if members.is_empty() {
            // None that is available was drawn. Where every target is backing off, none is excluded for
            // it; elsewhere its failure rate makes one that is backing off the last choice.
            let targets = self.services.get(&request.spec.service)?.members.iter();
            let targets = targets.filter_map(|target| self.eligible(now, request, *target));
            members = targets.collect();
            self.retain_open(now, &mut members);
        }
        let rates = members.iter().map(|member| member.health.failure_rate());
        let lowest = rates.fold(1.0, f64::min);
        let constraints = Constraints {
            homes,
            allowed: standing.allowed,
            home_wait: request.spec.objective.mul_f64(home_fraction),
            multiple: self.routers > 1 || !self.sources.is_empty(),
            stated: self.services.get(&request.spec.service)?.stated,
            latency: self.services.get(&request.spec.service)?.latency,
        };
        let candidates = members.iter().filter_map(|member| {
            let mut candidate = match self.settings.baseline {
                true => baseline_candidate(member),
                false => self.evaluate(now, request, member, &constraints)?,
            };
            candidate.standing = standing;
            candidate.view.load = member.load();
            candidate.cost += (member.health.failure_rate() - lowest) * FAILURE_COST_MS;
            if let Admission::Trial(part) = admission {
                // If the target crashes, the fewest other requests are lost.
                candidate.cost += f64::from(member.load().running) * TRIAL_COST_MS;
                candidate.trial = Some(part);
            }
            Some(candidate)
        });
        candidates.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns a target if a request may be sent there, whether it has failed before or not and in
    /// whatever order routers join its slow start.
    fn eligible(&self, now: Time, request: &Request, target: Target) -> Option<&Member> {
        let member = self.members.get(&target)?;
        let tried = request.tried.contains(&target);
        let rests = !member.health.cooldown_left(now).is_zero();
        (!tried && !rests && member.has_room() && self.warmup.permits(now, target))
            .then_some(member)
    }

    /// Returns a target if a request may be sent there, it is not backing off, and it is this router's
    /// turn in its slow start.
    fn available(&self, now: Time, request: &Request, target: Target) -> Option<&Member> {
        let member = self.eligible(now, request, target)?;
        (!member.health.is_backing_off(now) && self.is_turn(now, member)).then_some(member)
    }

    /// Returns the home engines of a prompt in order of rank, by rendezvous hashing of its shared
    /// prefix, and the engines that take the place of unavailable ones. Every router with the same
    /// targets gets the same result.
    pub(super) fn rank_homes(&self, spec: &RequestSpec) -> Vec<Target> {
        let part = spec.prompt.as_ref().and_then(Prompt::shared);
        let (Some(part), Some(state)) = (part, self.services.get(&spec.service)) else {
            return Vec::new();
        };
        let weigh = |target: &Target| Reverse(rendezvous_weight(*target, part.path));
        let mut targets = state.members.clone();
        if targets.len() > RANKED_HOMES {
            targets.select_nth_unstable_by_key(RANKED_HOMES, weigh);
            targets.truncate(RANKED_HOMES);
        }
        targets.sort_unstable_by_key(weigh);
        targets
    }

    /// Returns the home engines of a request's prompt that are available.
    fn available_homes(&self, now: Time, request: &Request) -> Homes {
        let ranked = request.homes.iter().copied();
        let available = ranked.filter(|target| self.available(now, request, *target).is_some());
        let mut homes = Homes::default();
        for (home, target) in homes.iter_mut().zip(available) {
            *home = Some(target);
        }
        homes
    }

    /// Returns the targets that are looked at for a request: its home engines and some that are drawn
    /// anew each time.
    ///
    /// Routers that all chose among all targets would all choose the same few, until their reports
    /// about these arrive (Mitzenmacher, "How Useful Is Old Information?", 2000). The more routers
    /// there are, the fewer targets each of them looks at.
    fn draw(
        &self,
        now: Time,
        sequence: Sequence,
        request: &Request,
        homes: &Homes,
    ) -> Vec<&Member> {
        let Some(state) = self.services.get(&request.spec.service) else {
            return Vec::new();
        };
        let listed = &state.members;
        let is_other = |target: &Target| !homes.contains(&Some(*target));
        let member = |target: Target| self.available(now, request, target);
        let mut members: Vec<_> = homes.iter().flatten().copied().filter_map(member).collect();
        let wanted = (listed.len() * ROUTERS_AT_ONCE).div_ceil(self.routers);
        let wanted = wanted.max(MIN_DRAWN);
        if wanted + members.len() >= listed.len() {
            members.extend(listed.iter().copied().filter(is_other).filter_map(member));
            return members;
        }
        let mut rng =
            fastrand::Rng::with_seed(self.settings.seed ^ sequence ^ now.as_nanos() as u64);
        let mut drawn = Vec::with_capacity(wanted);
        for _ in 0..wanted * MAX_DRAWS {
            let target = listed[rng.usize(..listed.len())];
            if is_other(&target) && !drawn.contains(&target) && member(target).is_some() {
                drawn.push(target);
            }
            if drawn.len() == wanted {
                break;
            }
        }
        members.extend(drawn.into_iter().filter_map(member));
        members
    }

    /// Returns a target as a candidate for a request, unless it can't take the request now.
    fn evaluate(
        &self,
        now: Time,
        request: &Request,
        member: &Member,
        constraints: &Constraints,
    ) -> Option<Candidate> {
        let mut candidate = match &request.spec.prompt {
            Some(_) if member.spec.kv_capacity > 0 => {
                engine_candidate(now, request, member, constraints)?
            }
            _ => plain_candidate(member)?,
        };
        if member.spec.domain != self.settings.domain {
            candidate.cost += DOMAIN_COST_MS;
        }
        Some(candidate)
    }
}

/// Returns how long a request may wait in the queue of the router.
pub(super) fn max_wait(spec: &RequestSpec) -> Duration {
    spec.objective.mul_f64(MAX_WAIT_FRACTION)
}

/// Evaluates a model engine by its concurrency limit, its KV cache and the expected time to the
/// first byte.
fn engine_candidate(
    now: Time,
    request: &Request,
    member: &Member,
    constraints: &Constraints,
) -> Option<Candidate> {
    let spec = &request.spec;
    let prompt = spec.prompt.as_ref()?;
    let target = member.spec.target;
    let load = member.load();
    let rank = constraints
        .homes
        .iter()
        .position(|home| *home == Some(target));
    let presumed = match (constraints.multiple, constraints.stated) {
        (true, true) => rank.map_or(0.0, |rank| PRESUMED_AT_BOTH[rank]),
        (true, false) => rank.map_or(0.0, |rank| PRESUMED_CACHED[rank]),
        (false, _) => 0.0,
    };
    let shared = prompt.shared_tokens();
    let cached = member.cache.cached_tokens(&prompt.parts);
    let cached = cached.max((shared as f64 * presumed) as u64);
    let unread_tokens = prompt.input.saturating_sub(cached);
    let (model, slowdown) = member.model(now, &constraints.latency);
    let usual = model.predict(load.unread_tokens + unread_tokens);
    let first_byte = usual.mul_f64(slowdown);
    let waited = now.saturating_sub(request.arrived);
    let allowed = match constraints.stated && has_shared_room(member) {
        true => 1.0,
        false => constraints.allowed,
    };
    let in_time = waited + first_byte <= spec.objective.mul_f64(FIRST_BYTE_FRACTION * allowed);
    let limit = f64::from(member.concurrency.limit()) * allowed;
    let max_backlog = (MAX_IDLE_BACKLOG as f64 * allowed) as u64;
    let needed = load.kv_tokens + prompt.input + prompt.output;
    let fits =
        needed as f64 <= member.spec.kv_capacity as f64 * MEMORY_FRACTION || load.running == 0;
    if f64::from(load.running) >= limit || !fits || !(in_time || load.unread_tokens < max_backlog) {
        return None;
    }
    let uncached = shared.saturating_sub(cached);
    let is_home = match constraints.stated {
        true => rank.is_some(),
        false => rank == Some(0),
    };
    if !is_home && uncached >= MIN_UNCACHED_TOKENS && waited < constraints.home_wait {
        return None;
    }
    let delayed = match constraints.stated {
        true => RECOMPUTE_FACTOR.max(f64::from(load.running)),
        false => RECOMPUTE_FACTOR,
    };
    let reading = uncached as f64 * model.slope() * slowdown;
    let cost = millis(first_byte) + reading * delayed;
    Some(Candidate {
        target,
        cost,
        first_byte,
        unread_tokens,
        rank,
        trial: None,
        standing: Standing::default(),
        view: TargetView {
            limit: limit.ceil() as u32,
            slowdown: (slowdown * 100.0).round() as u32,
            ..TargetView::default()
        },
    })
}

/// Evaluates a target that is not an engine by its slots.
fn plain_candidate(member: &Member) -> Option<Candidate> {
    let slots = member.spec.slots.max(1);
    let running = member.load().running;
    if running >= slots * REQUESTS_PER_SLOT {
        return None;
    }
    let fill = f64::from(running + 1) / f64::from(slots);
    Some(Candidate {
        target: member.spec.target,
        cost: fill * SLOT_COST_MS,
        first_byte: Duration::ZERO,
        unread_tokens: 0,
        rank: None,
        trial: None,
        standing: Standing::default(),
        view: TargetView {
            limit: slots * REQUESTS_PER_SLOT,
            ..TargetView::default()
        },
    })
}

/// Evaluates a target by the baseline policy: by the requests that this router has there.
fn baseline_candidate(member: &Member) -> Candidate {
    Candidate {
        target: member.spec.target,
        cost: f64::from(member.own.running),
        first_byte: Duration::ZERO,
        unread_tokens: 0,
        rank: None,
        trial: None,
        standing: Standing::default(),
        view: TargetView::default(),
    }
}

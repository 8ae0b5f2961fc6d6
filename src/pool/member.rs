//! A target of the pool with its load, its health and the models of its engine.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration, //
};

use super::{
    ConcurrencyLimit,
    EngineSpeed,
    Health,
    LatencyModel,
    Pace,
    PrefixCache,
    Prompt,
    TargetSpec,
    quarantine::Unanswered, //
};
use crate::{
    ids::{
        Target,
        Time, //
    },
    mesh::{
        Scope,
        Source, //
    }, //
};

/// The fraction of an engine's KV cache that is assumed to hold prompts after their use. Running
/// requests take the rest.
const CACHE_FRACTION: f64 = 0.4;

data! {
    /// The load of a target from one router, or from several together.
    #[derive(Copy, Default)]
    pub struct Load {
        /// The target.
        pub target: Target,
        /// The requests that have not ended.
        pub running: u32,
        /// The prompt tokens that the target has yet to read.
        pub unread_tokens: u64,
        /// The tokens of KV cache that the requests occupy.
        pub kv_tokens: u64,
        /// The requests whose first byte has arrived.
        pub streaming: u32,
    }
}

/// The load that a target states in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatedLoad {
    /// The requests that it runs.
    pub running: u32,
    /// The requests that wait in its queue.
    pub waiting: u32,
    /// The requests that it can run at a time.
    pub slots: u32,
    /// The time that work takes on its VM now, in percent of the usual time, if it says so.
    pub speed: Option<u32>,
}

/// What a pool knew of a target when it sent a request there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TargetView {
    /// The load from all routers together, without the request itself.
    pub load: Load,
    /// The running requests from which on the request would not have been sent there.
    pub limit: u32,
    /// The age of the oldest report that counts as load.
    pub age: Duration,
    /// The number of sources whose last report is too old to count.
    pub expired: usize,
    /// The time that the engine was expected to take, in percent of what its model says; zero for a
    /// target that is not an engine.
    pub slowdown: u32,
}

/// An attempt whose answer has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// When the request was sent.
    pub sent: Time,
    /// The time to the first byte that was expected then.
    pub expected: Duration,
    /// The load that the target is now believed to have from all routers.
    pub load: Load,
    /// The percentage of its model's time that the target was expected to take; see [`TargetView`].
    pub slowdown: u32,
}

/// The load that one request adds to its target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Claim {
    /// The prompt tokens that the target has yet to read for the request.
    pub(super) unread_tokens: u64,
    /// The tokens of KV cache that no other request shares.
    pub(super) kv_tokens: u64,
    /// The prompt tokens that the target had yet to read when the request was sent, for this
    /// request and all earlier ones.
    pub(super) ahead: u64,
    /// Whether the first byte has arrived.
    pub(super) read: bool,
    /// The path of the last shared part, and the tokens of the shared prefix.
    pub(super) shared: Option<(u64, u64)>,
}

/// A target with this router's state of it.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) spec: TargetSpec,
    /// The load from this router.
    pub(super) own: Load,
    /// The load that each source has reported last, and when that was.
    pub(super) peers: BTreeMap<Source, (Load, Time)>,
    pub(super) cache: PrefixCache,
    pub(super) health: Health,
    pub(super) latency: LatencyModel,
    pub(super) speed: EngineSpeed,
    pub(super) concurrency: ConcurrencyLimit,
    /// What the target had not begun to answer when its connections broke.
    pub(super) unanswered: Unanswered,
    /// The target's slow start, while it lasts.
    pub(super) pace: Option<Pace>,
    /// The number of this router's requests that use each shared prefix, by its path.
    shared: HashMap<u64, u32>,
}

impl Member {
    pub(super) fn new(spec: TargetSpec) -> Self {
        let mut member = Self {
            own: Load {
                target: spec.target,
                ..Load::default()
            },
            peers: BTreeMap::new(),
            cache: PrefixCache::default(),
            health: Health::default(),
            latency: LatencyModel::default(),
            speed: EngineSpeed::default(),
            concurrency: ConcurrencyLimit::new(spec.slots),
            unanswered: Unanswered::default(),
            pace: None,
            shared: HashMap::new(),
            spec,
        };
        member.set_cache_share(1);
        member
    }

    /// Resizes the estimated prefix cache to this router's share of it, as the prompts of `routers`
    /// routers evict each other.
    pub(super) fn set_cache_share(&mut self, routers: usize) {
        let capacity = self.spec.kv_capacity as f64 * CACHE_FRACTION / routers as f64;
        self.cache.resize(capacity as u64);
    }

    /// Updates the target from the feed. A target that has restarted has an empty cache, and its
    /// health and its speed are reset.
    pub(super) fn update(&mut self, spec: TargetSpec) {
        if spec.born != self.spec.born {
            self.cache.clear();
            self.health = Health::default();
            self.speed = EngineSpeed::default();
            self.unanswered = Unanswered::default();
        }
        self.spec = spec;
    }

    /// Returns the load from this router and all others together.
    pub(super) fn load(&self) -> Load {
        self.sum(self.peers.values())
    }

    /// Returns the load that this router reports for a scope: its own and that of sources with a
    /// narrower scope.
    pub(super) fn scope_load(&self, scope: Scope) -> Load {
        let narrower = self.peers.range(..Source { scope, id: 0 });
        self.sum(narrower.map(|(_, load)| load))
    }

    fn sum<'a>(&self, peers: impl Iterator<Item = &'a (Load, Time)>) -> Load {
        let mut load = self.own;
        for (peer, _) in peers {
            load.running = load.running.saturating_add(peer.running);
            load.unread_tokens = load.unread_tokens.saturating_add(peer.unread_tokens);
            load.kv_tokens = load.kv_tokens.saturating_add(peer.kv_tokens);
            load.streaming = load.streaming.saturating_add(peer.streaming);
        }
        load
    }

    /// Adds the load of a request that is sent.
    pub(super) fn claim(&mut self, prompt: Option<&Prompt>, unread_tokens: u64) -> Claim {
        self.own.running += 1;
        if let Some(pace) = &mut self.pace {
            pace.record_send();
        }
        let Some(prompt) = prompt else {
            return Claim::default();
        };
        let shared = prompt
            .shared()
            .map(|part| (part.path, prompt.shared_tokens()));
        let shared_tokens = shared.map_or(0, |(_, tokens)| tokens);
        let claim = Claim {
            unread_tokens,
            kv_tokens: (prompt.input + prompt.output).saturating_sub(shared_tokens),
            ahead: self.load().unread_tokens + unread_tokens,
            read: false,
            shared,
        };
        self.own.unread_tokens += claim.unread_tokens;
        self.own.kv_tokens += claim.kv_tokens;
        if let Some((path, tokens)) = shared {
            let users = self.shared.entry(path).or_default();
            *users += 1;
            if *users == 1 {
                self.own.kv_tokens += tokens;
            }
        }
        self.cache.insert(&prompt.parts);
        claim
    }

    /// Records that the target has read a request's prompt and its first byte has arrived.
    pub(super) fn finish_prefill(&mut self, claim: &mut Claim) {
        self.own.unread_tokens = self.own.unread_tokens.saturating_sub(claim.unread_tokens);
        claim.unread_tokens = 0;
        self.own.streaming += u32::from(!claim.read);
        claim.read = true;
    }

    /// Removes the load of a request that has ended.
    pub(super) fn release(&mut self, mut claim: Claim) {
        self.finish_prefill(&mut claim);
        self.own.streaming = self.own.streaming.saturating_sub(1);
        self.own.running = self.own.running.saturating_sub(1);
        self.own.kv_tokens = self.own.kv_tokens.saturating_sub(claim.kv_tokens);
        let Some((path, tokens)) = claim.shared else {
            return;
        };
        if let Some(users) = self.shared.get_mut(&path) {
            *users -= 1;
            if *users == 0 {
                self.shared.remove(&path);
                self.own.kv_tokens = self.own.kv_tokens.saturating_sub(tokens);
            }
        }
    }
}

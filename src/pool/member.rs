//! A target of the pool with its load.

use std::collections::{
    BTreeMap,
    HashMap, //
};

use super::{
    ConcurrencyLimit,
    Health,
    LatencyModel,
    PrefixCache,
    Prompt,
    TargetSpec, //
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

/// The part of an engine's memory that prompts are believed to stay in after their use; the
/// rest is taken by what runs.
const KEPT_PART: f64 = 0.4;

data! {
    /// What one router, or several together, have at a target.
    #[derive(Copy, Default)]
    pub struct Load {
        /// The target.
        pub target: Target,
        /// The requests that have not ended.
        pub running: u32,
        /// The prompt tokens that are still to be read.
        pub unread_tokens: u64,
        /// The tokens of engine memory that requests take.
        pub kv_tokens: u64,
        /// The requests whose first byte has arrived.
        pub streaming: u32,
    }
}

/// A request's part of a target's load.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Claim {
    /// The prompt tokens to read.
    pub(super) unread_tokens: u64,
    /// The tokens of memory that no other request shares.
    pub(super) kv_tokens: u64,
    /// The prompt tokens to read when it was sent, all requests together.
    pub(super) ahead: u64,
    /// Whether the first byte has arrived.
    pub(super) read: bool,
    /// The deepest shared part, with the tokens up to it.
    pub(super) shared: Option<(u64, u64)>,
}

/// A target with what this router knows of it.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) seat: TargetSpec,
    pub(super) own: Load,
    pub(super) peers: BTreeMap<Source, (Load, Time)>,
    pub(super) cache: PrefixCache,
    pub(super) health: Health,
    pub(super) pace: LatencyModel,
    pub(super) batch: ConcurrencyLimit,
    shared: HashMap<u64, u32>,
}

impl Member {
    pub(super) fn new(seat: TargetSpec) -> Self {
        let mut member = Self {
            own: Load {
                target: seat.target,
                ..Load::default()
            },
            peers: BTreeMap::new(),
            cache: PrefixCache::default(),
            health: Health::default(),
            pace: LatencyModel::default(),
            batch: ConcurrencyLimit::new(seat.slots),
            shared: HashMap::new(),
            seat,
        };
        member.share_memory(1);
        member
    }

    /// Sets how many routers' prompts push each other out of the target's memory.
    pub(super) fn share_memory(&mut self, routers: usize) {
        let kept = self.seat.kv_capacity as f64 * KEPT_PART / routers as f64;
        self.cache.resize(kept as u64);
    }

    /// Takes in what the feed says now; a target that has started again has forgotten all.
    pub(super) fn update(&mut self, seat: TargetSpec) {
        if seat.born != self.seat.born {
            self.cache.clear();
            self.health = Health::default();
        }
        self.seat = seat;
    }

    /// Returns the load of this router and of all others together.
    pub(super) fn load(&self) -> Load {
        self.sum(self.peers.values())
    }

    /// Returns the load that stands for a scope: that of this router and of narrower scopes.
    pub(super) fn load_of(&self, scope: Scope) -> Load {
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

    /// Counts a request that is sent.
    pub(super) fn claim(&mut self, prompt: Option<&Prompt>, unread_tokens: u64) -> Claim {
        self.own.running += 1;
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

    /// Counts a prompt that has been read.
    pub(super) fn read(&mut self, claim: &mut Claim) {
        self.own.unread_tokens = self.own.unread_tokens.saturating_sub(claim.unread_tokens);
        claim.unread_tokens = 0;
        self.own.streaming += u32::from(!claim.read);
        claim.read = true;
    }

    /// Counts a request that has ended.
    pub(super) fn release(&mut self, mut claim: Claim) {
        self.read(&mut claim);
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

//! The idempotency keys for which a sidecar is responsible.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    rc::Rc,
    time::Duration, //
};

use bytes::Bytes;

use crate::{
    ids::Time,
    wire::{
        End,
        Head,
        IdempotencyKey,
        Reason, //
    }, //
};

/// The time for which a key is kept after its first use.
pub const KEY_LIFETIME: Duration = Duration::from_secs(600);

/// The largest tolerated difference between the clocks of a caller and a sidecar.
const CLOCK_SKEW: Duration = Duration::from_secs(2);

/// The time within which new rules reach every process.
const RULES_PROPAGATION_TIME: Duration = Duration::from_secs(10);

/// The largest answer body, in bytes, that is cached for requests that repeat a key.
pub(super) const MAX_CACHED_BYTES: u64 = 16 << 10;

/// The cached answer of a request with a key.
pub(super) type CachedAnswer = (Rc<Head>, Bytes, Rc<End>);

/// What is known of the request that used a key.
#[derive(Clone, Debug)]
enum KeyState {
    Running,
    /// The request has ended; the answer is `None` where it was too large to cache.
    Done(Option<CachedAnswer>),
    /// The target failed while the request ran, so its effect is unknown.
    Unknown,
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    state: KeyState,
    until: Time,
}

/// What to do with a request that carries a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// The key has not been used before; run the request.
    Run,
    /// The key's request has been answered; send the cached answer.
    Replay(Rc<Head>, Bytes, Rc<End>),
    /// Refuse the request.
    Refuse(Reason),
}

/// The keys used at one sidecar incarnation.
///
/// A sidecar that has just started, or has just become the owner of a key, has no record of
/// the keys that an earlier owner ran. It runs a request only if its key contains the time of
/// issue (UUID version 7) and was issued after this sidecar became the owner. It runs requests
/// with opaque keys once it has been the owner for [`KEY_LIFETIME`].
#[derive(Debug)]
pub struct Keys {
    entries: HashMap<u128, Entry>,
    expiry: VecDeque<(Time, u128)>,
    epoch_offset: Duration,
    owned_since: Time,
    /// Keys issued after this time cannot have run at an earlier owner.
    trusted_after: Time,
}

impl Keys {
    /// Creates an empty set; `epoch_offset` is the time from the Unix epoch to the process's start.
    pub fn new(epoch_offset: Duration) -> Self {
        Self {
            entries: HashMap::new(),
            expiry: VecDeque::new(),
            epoch_offset,
            owned_since: Time::ZERO,
            trusted_after: CLOCK_SKEW,
        }
    }

    /// Records that the owners of keys have changed, so that other targets may have run
    /// requests with the keys that this sidecar owns now.
    pub fn reassign(&mut self, now: Time) {
        self.owned_since = now;
        self.trusted_after = now + RULES_PROPAGATION_TIME + CLOCK_SKEW;
    }

    /// Decides on a request with a key. Where the request is to run, its key is recorded as
    /// running.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::{sidecar::{KEY_LIFETIME, Keys, KeyDecision}, wire::{IdempotencyKey, Reason}};
    /// let key = IdempotencyKey { key: 7, issued: None, fingerprint: 1 };
    /// let mut keys = Keys::new(Duration::ZERO);
    /// let early = keys.claim(Duration::from_secs(1), &key);
    /// assert_eq!(early, KeyDecision::Refuse(Reason::KeyUnknown));
    /// assert_eq!(keys.claim(KEY_LIFETIME, &key), KeyDecision::Run);
    /// assert_eq!(keys.claim(KEY_LIFETIME, &key), KeyDecision::Refuse(Reason::KeyRunning));
    /// ```
    pub fn claim(&mut self, now: Time, key: &IdempotencyKey) -> KeyDecision {
        if let Some(entry) = self.entries.get(&key.key) {
            if entry.fingerprint != key.fingerprint {
                return KeyDecision::Refuse(Reason::KeyReused);
            }
            return match &entry.state {
                KeyState::Running => KeyDecision::Refuse(Reason::KeyRunning),
                KeyState::Done(None) => KeyDecision::Refuse(Reason::KeyDone),
                KeyState::Unknown => KeyDecision::Refuse(Reason::KeyUnknown),
                KeyState::Done(Some((head, body, end))) => {
                    KeyDecision::Replay(head.clone(), body.clone(), end.clone())
                }
            };
        }
        if !self.is_new(now, key) {
            return KeyDecision::Refuse(Reason::KeyUnknown);
        }
        let entry = Entry {
            fingerprint: key.fingerprint,
            state: KeyState::Running,
            until: now + KEY_LIFETIME,
        };
        self.expiry.push_back((entry.until, key.key));
        self.entries.insert(key.key, entry);
        KeyDecision::Run
    }

    /// Removes a key whose request did not run, so that it can be used again.
    pub fn release(&mut self, key: u128) {
        self.entries.remove(&key);
    }

    /// Records that a key's request has ended, with its answer where that is small enough to
    /// be cached.
    pub(super) fn record_answer(&mut self, key: u128, cached: Option<CachedAnswer>) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.state = KeyState::Done(cached);
        }
    }

    /// Records that the target failed while a key's request ran, so that its effect is unknown.
    pub fn mark_unknown(&mut self, key: u128) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.state = KeyState::Unknown;
        }
    }

    /// Removes the keys whose lifetime is over, except those of running requests.
    pub fn expire(&mut self, now: Time) {
        while let Some((until, key)) = self.expiry.front().copied() {
            if until > now {
                break;
            }
            self.expiry.pop_front();
            // A key that was released and claimed again has a later expiry in the queue.
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            if entry.until > until {
                continue;
            }
            if matches!(entry.state, KeyState::Running) {
                entry.until = now + KEY_LIFETIME;
                self.expiry.push_back((entry.until, key));
            } else {
                self.entries.remove(&key);
            }
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether it is certain that no request with this key has run before, here or at
    /// an earlier owner.
    fn is_new(&self, now: Time, key: &IdempotencyKey) -> bool {
        let Some(issued) = key.issued.map(Duration::from_millis) else {
            return now >= self.owned_since + KEY_LIFETIME;
        };
        let remembered = (self.epoch_offset + now).saturating_sub(KEY_LIFETIME - CLOCK_SKEW);
        issued > self.epoch_offset + self.trusted_after && issued > remembered
    }
}

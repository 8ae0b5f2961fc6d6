//! The idempotency keys that a sidecar owns.

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

/// The time that a key is remembered after its first use.
pub const KEY_LIFETIME: Duration = Duration::from_secs(600);

/// The largest difference between the clocks of a caller and a sidecar.
const CLOCK_SKEW: Duration = Duration::from_secs(2);

/// The time in which new rules reach every process.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// The largest answer that is kept for a repeated key, in bytes.
pub(super) const MAX_KEPT: u64 = 16 << 10;

/// The answer of a request with a key.
pub(super) type Kept = (Rc<Head>, Bytes, Rc<End>);

#[derive(Clone, Debug)]
enum Use {
    Running,
    Done(Option<Kept>),
    Unknown,
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    used: Use,
    until: Time,
}

/// What to do with a request that carries a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyDecision {
    /// The key has never been used; run the request.
    Run,
    /// The key has an answer; send it.
    Replay(Rc<Head>, Bytes, Rc<End>),
    /// Answer with a refusal.
    Refuse(Reason),
}

/// The keys used at one sidecar incarnation.
///
/// A newborn owner cannot know which keys ran before it. It runs only keys that carry
/// their time of issue (UUID version 7) and were issued under its own ownership, and
/// opaque keys once it has owned them for [`KEY_LIFETIME`].
#[derive(Debug)]
pub struct Keys {
    uses: HashMap<u128, Entry>,
    expiry: VecDeque<(Time, u128)>,
    epoch_offset: Duration,
    since: Time,
    trusted: Time,
}

impl Keys {
    /// Creates an empty set; `wall` is the time from the Unix epoch to the process's start.
    pub fn new(epoch_offset: Duration) -> Self {
        Self {
            uses: HashMap::new(),
            expiry: VecDeque::new(),
            epoch_offset,
            since: Time::ZERO,
            trusted: CLOCK_SKEW,
        }
    }

    /// Notes that other targets may have owned some keys until now.
    pub fn reassign(&mut self, now: Time) {
        self.since = now;
        self.trusted = now + SETTLE_TIME + CLOCK_SKEW;
    }

    /// Decides on a request and, where it is to run, notes the use of its key.
    ///
    /// ```
    /// use std::time::Duration;
    /// use redwingyard::{sidecar::{KEY_LIFETIME, Keys, KeyDecision}, wire::{IdempotencyKey, Reason}};
    /// let bid = IdempotencyKey { key: 7, issued: None, fingerprint: 1 };
    /// let mut keys = Keys::new(Duration::ZERO);
    /// let early = keys.claim(Duration::from_secs(1), &bid);
    /// assert_eq!(early, KeyDecision::Refuse(Reason::KeyUnknown));
    /// assert_eq!(keys.claim(KEY_LIFETIME, &bid), KeyDecision::Run);
    /// assert_eq!(keys.claim(KEY_LIFETIME, &bid), KeyDecision::Refuse(Reason::KeyRunning));
    /// ```
    pub fn claim(&mut self, now: Time, bid: &IdempotencyKey) -> KeyDecision {
        if let Some(entry) = self.uses.get(&bid.key) {
            if entry.fingerprint != bid.fingerprint {
                return KeyDecision::Refuse(Reason::KeyReused);
            }
            return match &entry.used {
                Use::Running => KeyDecision::Refuse(Reason::KeyRunning),
                Use::Done(None) => KeyDecision::Refuse(Reason::KeyDone),
                Use::Unknown => KeyDecision::Refuse(Reason::KeyUnknown),
                Use::Done(Some((head, body, end))) => {
                    KeyDecision::Replay(head.clone(), body.clone(), end.clone())
                }
            };
        }
        if !self.is_new(now, bid) {
            return KeyDecision::Refuse(Reason::KeyUnknown);
        }
        let entry = Entry {
            fingerprint: bid.fingerprint,
            used: Use::Running,
            until: now + KEY_LIFETIME,
        };
        self.expiry.push_back((entry.until, bid.key));
        self.uses.insert(bid.key, entry);
        KeyDecision::Run
    }

    /// Takes back the use of a key whose request did not run.
    pub fn release(&mut self, key: u128) {
        self.uses.remove(&key);
    }

    /// Notes the answer of a key's request, if it is small enough to keep.
    pub(super) fn finish(&mut self, key: u128, kept: Option<Kept>) {
        if let Some(entry) = self.uses.get_mut(&key) {
            entry.used = Use::Done(kept);
        }
    }

    /// Notes that a key's request broke off while it ran.
    pub fn lose(&mut self, key: u128) {
        if let Some(entry) = self.uses.get_mut(&key) {
            entry.used = Use::Unknown;
        }
    }

    /// Drops the keys that are past their life and not running.
    pub fn expire(&mut self, now: Time) {
        while let Some((until, key)) = self.expiry.front().copied() {
            if until > now {
                break;
            }
            self.expiry.pop_front();
            // A key that was released and claimed again has a later end.
            let Some(entry) = self.uses.get_mut(&key) else {
                continue;
            };
            if entry.until > until {
                continue;
            }
            if matches!(entry.used, Use::Running) {
                entry.until = now + KEY_LIFETIME;
                self.expiry.push_back((entry.until, key));
            } else {
                self.uses.remove(&key);
            }
        }
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.uses.len()
    }

    /// Returns whether no key is in use.
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty()
    }

    /// Returns whether no owner can have run the key before.
    fn is_new(&self, now: Time, bid: &IdempotencyKey) -> bool {
        let Some(issued) = bid.issued.map(Duration::from_millis) else {
            return now >= self.since + KEY_LIFETIME;
        };
        let remembered = (self.epoch_offset + now).saturating_sub(KEY_LIFETIME - CLOCK_SKEW);
        issued > self.epoch_offset + self.trusted && issued > remembered
    }
}

//! How much a process may hold in memory for its callers.
//!
//! It answers callers who send more than the VM has memory for. A process that takes in all that
//! arrives is killed by the system, and each of its callers loses an answer; one that counts what
//! it has promised room to refuses the rest while that can still be said.

use std::sync::{
    Arc,
    atomic::{
        AtomicUsize,
        Ordering, //
    }, //
};

/// The memory of a process without callers, in bytes: rules, targets, what is learnt of engines.
const OWN_MEMORY: usize = 24 << 20;

/// The memory of a caller's connection with a request, in bytes: hyper's buffer, a body of today's
/// prompts, the tasks, and a part of a connection to a target.
const CONNECTION_MEMORY: usize = 28 << 10;

/// The connections that always have room, so that a process which was given too little memory
/// serves a few callers nevertheless.
const LEAST_CONNECTIONS: usize = 64;

/// The bytes of a body that [`CONNECTION_MEMORY`] counts already.
const COUNTED_BODY: usize = 8 << 10;

/// The part of the limit beyond which a process that measures itself is short of memory. The rest
/// is for what has arrived and lies unread.
const SHORT_PART: f64 = 0.9;

/// The part of the limit that must be counted before the measured figure bounds anything: below
/// it, most of that is memory which has been freed and will be used again.
const USED_PART: f64 = 0.25;

/// The part of the room beside [`OWN_MEMORY`] that bodies and answers may take, so that they do not
/// keep callers out who send none.
const HELD_PART: f64 = 0.5;

/// What a process holds in memory for its callers, and how much it may hold.
///
/// ```
/// use redwingyard::pool::MemoryBudget;
/// let memory = MemoryBudget::new(Some(32 << 20));
/// let body = memory.reserve(3 << 20).expect("there is room");
/// assert!(memory.reserve(3 << 20).is_none());
/// drop(body);
/// assert!(memory.reserve(3 << 20).is_some());
/// ```
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<State>);

#[derive(Debug)]
struct State {
    /// The memory that the process may take, in bytes.
    limit: usize,
    connections: AtomicUsize,
    /// The bytes of bodies and answers that are promised room.
    held: AtomicUsize,
    /// What the process was last seen to take, in bytes.
    resident: AtomicUsize,
}

impl MemoryBudget {
    /// How many times more connections are taken at all than are kept after a refusal: some of
    /// them are about to close.
    pub const HARD_LIMIT_FACTOR: usize = 2;

    /// Creates the account of a process that may take so many bytes.
    pub fn new(limit: Option<usize>) -> Self {
        Self(Arc::new(State {
            limit: limit.unwrap_or(usize::MAX),
            connections: AtomicUsize::new(0),
            held: AtomicUsize::new(0),
            resident: AtomicUsize::new(0),
        }))
    }

    /// Returns the connections for which there is memory while nothing else is held.
    pub fn max_connections(&self) -> usize {
        self.0.limit.saturating_sub(OWN_MEMORY) / CONNECTION_MEMORY
    }

    /// Counts a connection that is taken, until what is returned is dropped.
    #[must_use]
    pub fn track_connection(&self) -> ConnectionGuard {
        self.0.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.clone())
    }

    /// Returns the connections that are open.
    pub fn connections(&self) -> usize {
        self.0.connections.load(Ordering::Relaxed)
    }

    /// Returns the bytes that are promised room, beside those of connections.
    pub fn reserved(&self) -> usize {
        self.0.held.load(Ordering::Relaxed)
    }

    /// Returns whether idle connections would keep new callers out, where there are to be no more
    /// than `most` of them.
    pub fn is_near_limit(&self, most: usize) -> bool {
        self.connections() > most || self.is_short()
    }

    /// Returns whether no further caller can be borne.
    pub fn is_full(&self, most: usize) -> bool {
        self.connections() > most.saturating_mul(Self::HARD_LIMIT_FACTOR) || !self.has_room()
    }

    /// Returns whether a further connection has room.
    pub fn has_room(&self) -> bool {
        let few = self.connections() < LEAST_CONNECTIONS;
        few || !self.is_bound() && self.left() >= CONNECTION_MEMORY
    }

    /// Promises room to a body or an answer; `None` where there is none.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut holding = Reservation {
            memory: self.clone(),
            bytes: 0,
            counted: 0,
        };
        holding.grow(bytes).then_some(holding)
    }

    /// Notes what the process takes, as the system counts it.
    ///
    /// Returns whether it is short of memory where that changes.
    ///
    /// ```
    /// use redwingyard::pool::MemoryBudget;
    /// let memory = MemoryBudget::new(Some(88 << 20));
    /// assert_eq!(memory.measure(60 << 20), None);
    /// assert_eq!(memory.measure(80 << 20), Some(true));
    /// assert_eq!(memory.measure(60 << 20), Some(false));
    /// ```
    pub fn measure(&self, resident: usize) -> Option<bool> {
        let was = self.is_short();
        self.0.resident.store(resident, Ordering::Relaxed);
        let short = self.is_short();
        (was != short).then_some(short)
    }

    /// Returns what the process was last seen to take, in bytes.
    pub fn resident(&self) -> usize {
        self.0.resident.load(Ordering::Relaxed)
    }

    /// Returns whether the process takes nearly all that it may.
    pub fn is_short(&self) -> bool {
        self.resident() as f64 > self.0.limit as f64 * SHORT_PART
    }

    /// Returns whether what callers hold makes the process short of memory.
    fn is_bound(&self) -> bool {
        self.is_short() && self.counted() as f64 > self.0.limit as f64 * USED_PART
    }

    /// Returns what is counted for callers.
    fn counted(&self) -> usize {
        let connections = self.connections().saturating_mul(CONNECTION_MEMORY);
        connections + self.reserved()
    }

    fn left(&self) -> usize {
        let room = self.0.limit.saturating_sub(OWN_MEMORY);
        room.saturating_sub(self.counted())
    }

    /// Returns the bytes that bodies and answers may still be promised.
    fn left_to_hold(&self) -> usize {
        let room = self.0.limit.saturating_sub(OWN_MEMORY) as f64;
        let most = (room * HELD_PART) as usize;
        most.saturating_sub(self.reserved()).min(self.left())
    }
}

/// A connection that is open.
#[derive(Debug)]
pub struct ConnectionGuard(MemoryBudget);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Room that is promised to a body or an answer, until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: MemoryBudget,
    /// The size that it was promised for.
    bytes: usize,
    /// What of it is counted as held.
    counted: usize,
}

impl Reservation {
    /// Extends the promise to a size; returns `false`, and changes nothing, where there is no room.
    ///
    /// A process whose callers make it short of memory keeps one promise at a time.
    pub fn grow(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        let counted = bytes.saturating_sub(COUNTED_BODY);
        let more = counted - self.counted;
        let others = self.memory.reserved() - self.counted;
        let short = more > 0 && others > 0 && self.memory.is_bound();
        if short || more > self.memory.left_to_hold() {
            return false;
        }
        self.memory.0.held.fetch_add(more, Ordering::Relaxed);
        self.bytes = bytes;
        self.counted = counted;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let held = &self.memory.0.held;
        held.fetch_sub(self.counted, Ordering::Relaxed);
    }
}

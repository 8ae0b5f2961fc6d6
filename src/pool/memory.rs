//! The memory budget of a process for its callers' connections, bodies and answers.
//!
//! Callers may send more than the VM has memory for. A process that reads everything that arrives
//! is killed by the system, and all of its callers lose their answers. A process that counts the
//! memory it has reserved refuses further requests while it can still answer them.

use std::sync::{
    Arc,
    atomic::{
        AtomicUsize,
        Ordering, //
    }, //
};

/// The memory of a process without callers, in bytes: rules, targets and the models of engines.
const BASE_MEMORY: usize = 24 << 20;

/// The memory of a caller's connection with a request, in bytes: hyper's buffers, the body of a
/// typical prompt, and the tasks.
const CONNECTION_MEMORY: usize = 28 << 10;

/// The memory of a connection to a target, in bytes: hyper's buffers and its queue of requests.
const TARGET_CONNECTION_MEMORY: usize = 24 << 10;

/// The number of connections that are always accepted, so that a process with too low a memory
/// limit still serves a few callers.
const MIN_CONNECTIONS: usize = 64;

/// The connections to targets that may be in use or about to close beyond one for each caller's
/// connection: those of probes, and of attempts that have just ended.
const SPARE_TARGETS: usize = 8;

/// The bytes of a body that are already included in [`CONNECTION_MEMORY`].
const INCLUDED_BODY: usize = 8 << 10;

/// The bytes of a head that are already included in [`CONNECTION_MEMORY`]: twice those of an ordinary
/// one, as a buffer doubles.
const INCLUDED_HEAD: usize = 16 << 10;

/// The bytes of an answer that are already included in [`CONNECTION_MEMORY`]: those of a short one.
const INCLUDED_ANSWER: usize = 2 << 10;

/// The fraction of the limit above which the measured memory means that the process is low on
/// memory. The rest is for data that has arrived and has not been read yet.
const LOW_MEMORY_FRACTION: f64 = 0.9;

/// The fraction of the limit that must be counted for callers before the measured memory restricts
/// them. Below it, most of the measured memory has been freed and will be reused.
const MIN_COUNTED_FRACTION: f64 = 0.5;

/// The fraction of the memory beside [`BASE_MEMORY`] that bodies and answers may take, so that
/// callers without a body can still connect.
const RESERVABLE_FRACTION: f64 = 0.5;

/// The same for a reservation of an answer, which can be passed on without one.
const ANSWER_FRACTION: f64 = 0.25;

/// The part of these fractions that reservations above [`SMALL_RESERVATION`] may take, so that callers
/// with large bodies leave room for those with small ones.
const LARGE_FRACTION: f64 = 0.8;

/// The largest reservation that may take the whole fraction, in bytes.
const SMALL_RESERVATION: usize = 64 << 10;

/// The fraction of the memory beside [`BASE_MEMORY`] that bodies and answers leave for new
/// connections, however many there are.
const CONNECTION_RESERVE: f64 = 0.125;

/// The memory that a process has reserved for its callers, and the limit on it.
///
/// ```
/// use redwingyard::pool::MemoryBudget;
/// let memory = MemoryBudget::new(Some(32 << 20));
/// let body = memory.reserve(3 << 20).expect("3 MiB are available");
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
    /// The open connections to targets.
    target_connections: AtomicUsize,
    /// Those of them that no request uses.
    idle_targets: AtomicUsize,
    /// The bytes that are reserved for bodies and answers.
    reserved: AtomicUsize,
    /// The last measured resident memory of the process, in bytes.
    resident: AtomicUsize,
}

impl MemoryBudget {
    /// The connections at which the process stops accepting new ones, as a multiple of those above
    /// which it closes each connection after a refusal. Some of the connections between the two
    /// limits are about to be closed.
    pub const HARD_LIMIT_FACTOR: usize = 2;

    /// Creates the budget of a process whose memory is limited to `limit` bytes, or not at all.
    pub fn new(limit: Option<usize>) -> Self {
        Self(Arc::new(State {
            limit: limit.unwrap_or(usize::MAX),
            connections: AtomicUsize::new(0),
            target_connections: AtomicUsize::new(0),
            idle_targets: AtomicUsize::new(0),
            reserved: AtomicUsize::new(0),
            resident: AtomicUsize::new(0),
        }))
    }

    /// Returns the number of connections that fit into memory while no body or answer is reserved.
    pub fn max_connections(&self) -> usize {
        self.0.limit.saturating_sub(BASE_MEMORY) / CONNECTION_MEMORY
    }

    /// Counts an accepted connection until the returned guard is dropped.
    #[must_use]
    pub fn track_connection(&self) -> ConnectionGuard {
        self.0.connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.clone())
    }

    /// Counts a connection to a target until the returned guard is dropped.
    ///
    /// ```
    /// use redwingyard::pool::MemoryBudget;
    /// let memory = MemoryBudget::new(Some(26 << 20));
    /// let open: Vec<_> = (0..50).map(|_| memory.track_target_connection()).collect();
    /// assert!(memory.reserve(1 << 20).is_none());
    /// drop(open);
    /// assert!(memory.reserve(1 << 20).is_some());
    /// ```
    #[must_use]
    pub fn track_target_connection(&self) -> TargetConnectionGuard {
        let count = &self.0.target_connections;
        count.fetch_add(1, Ordering::Relaxed);
        TargetConnectionGuard(self.clone())
    }

    /// Counts a connection to a target as idle until the returned guard is dropped.
    #[must_use]
    pub fn track_idle_target(&self) -> IdleTargetGuard {
        self.0.idle_targets.fetch_add(1, Ordering::Relaxed);
        IdleTargetGuard(self.clone())
    }

    /// Returns whether there may be one more connection to a target: each request of a caller's
    /// connection needs only one. Those beyond are about to close.
    ///
    /// ```
    /// use redwingyard::pool::MemoryBudget;
    /// let memory = MemoryBudget::new(None);
    /// let open: Vec<_> = (0..200).map(|_| memory.track_target_connection()).collect();
    /// assert!(!memory.may_connect());
    /// let idle: Vec<_> = (0..200).map(|_| memory.track_idle_target()).collect();
    /// assert!(memory.may_connect());
    /// ```
    pub fn may_connect(&self) -> bool {
        let open = self.0.target_connections.load(Ordering::Relaxed);
        let idle = self.0.idle_targets.load(Ordering::Relaxed);
        open.saturating_sub(idle) < self.connections().max(MIN_CONNECTIONS) + SPARE_TARGETS
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.0.connections.load(Ordering::Relaxed)
    }

    /// Returns the bytes that are reserved for bodies and answers, without the memory of
    /// connections.
    pub fn reserved(&self) -> usize {
        self.0.reserved.load(Ordering::Relaxed)
    }

    /// Returns whether there are more than `most` connections or the process is low on memory, so
    /// that idle connections could prevent new ones.
    pub fn is_near_limit(&self, most: usize) -> bool {
        self.connections() > most || self.is_low()
    }

    /// Returns whether no further connection may be accepted.
    pub fn is_full(&self, most: usize) -> bool {
        self.connections() > most.saturating_mul(Self::HARD_LIMIT_FACTOR) || !self.has_room()
    }

    /// Returns whether there is memory for one more connection.
    pub fn has_room(&self) -> bool {
        let few = self.connections() < MIN_CONNECTIONS;
        few || !self.is_constrained() && self.available() >= CONNECTION_MEMORY
    }

    /// Reserves memory for a body, or returns `None` if there is not enough.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation {
            memory: self.clone(),
            fraction: RESERVABLE_FRACTION,
            included: INCLUDED_BODY,
            bytes: 0,
            counted: 0,
        };
        reservation.grow(bytes).then_some(reservation)
    }

    /// Returns a reservation for the head of a request that has no bytes yet.
    ///
    /// ```
    /// use redwingyard::pool::MemoryBudget;
    /// let memory = MemoryBudget::new(Some(32 << 20));
    /// let mut head = memory.reserve_head();
    /// assert!(head.grow(16 << 10));
    /// assert_eq!(memory.reserved(), 0);
    /// assert!(head.grow(64 << 10));
    /// assert_eq!(memory.reserved(), 48 << 10);
    /// ```
    pub fn reserve_head(&self) -> Reservation {
        Reservation {
            memory: self.clone(),
            fraction: RESERVABLE_FRACTION,
            included: INCLUDED_HEAD,
            bytes: 0,
            counted: 0,
        }
    }

    /// Returns a reservation for an answer, or a part of it, that has no bytes yet.
    ///
    /// ```
    /// use redwingyard::pool::MemoryBudget;
    /// let memory = MemoryBudget::new(Some(32 << 20));
    /// let mut event = memory.reserve_answer();
    /// assert!(event.resize(1 << 20));
    /// assert!(!event.resize(3 << 20));
    /// assert!(event.resize(10));
    /// assert_eq!(memory.reserved(), 0);
    /// ```
    pub fn reserve_answer(&self) -> Reservation {
        Reservation {
            memory: self.clone(),
            fraction: ANSWER_FRACTION,
            included: INCLUDED_ANSWER,
            bytes: 0,
            counted: 0,
        }
    }

    /// Records the resident memory of the process in bytes, as the system counts it.
    ///
    /// Returns whether the process is low on memory if that has changed, and `None` otherwise.
    ///
    /// ```
    /// use redwingyard::pool::MemoryBudget;
    /// let memory = MemoryBudget::new(Some(88 << 20));
    /// assert_eq!(memory.measure(60 << 20), None);
    /// assert_eq!(memory.measure(80 << 20), Some(true));
    /// assert_eq!(memory.measure(60 << 20), Some(false));
    /// ```
    pub fn measure(&self, resident: usize) -> Option<bool> {
        let was_low = self.is_low();
        self.0.resident.store(resident, Ordering::Relaxed);
        let low = self.is_low();
        (was_low != low).then_some(low)
    }

    /// Returns the last measured resident memory of the process, in bytes.
    pub fn resident(&self) -> usize {
        self.0.resident.load(Ordering::Relaxed)
    }

    /// Returns whether the process takes nearly all the memory that it may.
    pub fn is_low(&self) -> bool {
        self.resident() as f64 > self.0.limit as f64 * LOW_MEMORY_FRACTION
    }

    /// Returns whether the process is low on memory and callers account for a substantial part of
    /// it.
    fn is_constrained(&self) -> bool {
        self.is_low() && self.counted() as f64 > self.0.limit as f64 * MIN_COUNTED_FRACTION
    }

    /// Returns the bytes that are counted for connections, bodies and answers.
    fn counted(&self) -> usize {
        let connections = self.connections().saturating_mul(CONNECTION_MEMORY);
        let targets = self.0.target_connections.load(Ordering::Relaxed);
        connections + targets.saturating_mul(TARGET_CONNECTION_MEMORY) + self.reserved()
    }

    /// Returns the bytes that are not yet counted for callers.
    fn available(&self) -> usize {
        let room = self.0.limit.saturating_sub(BASE_MEMORY);
        room.saturating_sub(self.counted())
    }

    /// Returns the bytes that may still be reserved, where bodies and answers may take a fraction of the
    /// memory.
    fn reservable(&self, fraction: f64) -> usize {
        let room = self.0.limit.saturating_sub(BASE_MEMORY) as f64;
        let most = (room * fraction) as usize;
        let left = self.available();
        let left = left.saturating_sub((room * CONNECTION_RESERVE) as usize);
        most.saturating_sub(self.reserved()).min(left)
    }
}

/// Counts an open connection until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard(MemoryBudget);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts an open connection to a target until it is dropped.
#[derive(Debug)]
pub struct TargetConnectionGuard(MemoryBudget);

impl Drop for TargetConnectionGuard {
    fn drop(&mut self) {
        let count = &self.0.0.target_connections;
        count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts an idle connection to a target until it is dropped.
#[derive(Debug)]
pub struct IdleTargetGuard(MemoryBudget);

impl Drop for IdleTargetGuard {
    fn drop(&mut self) {
        self.0.0.idle_targets.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Memory that is reserved for a body or an answer until this is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: MemoryBudget,
    /// The fraction of the memory that may be reserved for this and all others.
    fraction: f64,
    /// The bytes that need not be reserved, as they are part of what a connection takes.
    included: usize,
    /// The size of the body or answer that the reservation covers.
    bytes: usize,
    /// The bytes of it that are counted as reserved: those beyond `included`.
    counted: usize,
}

impl Reservation {
    /// Extends the reservation to `bytes`. Returns `false` and changes nothing if there is not
    /// enough memory.
    ///
    /// While callers make the process low on memory, only one reservation may grow beyond what is
    /// included in the memory of its connection. Large reservations leave a part of the memory for
    /// small ones, unless there is no other.
    pub fn grow(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        let counted = bytes.saturating_sub(self.included);
        let more = counted - self.counted;
        if more == 0 {
            self.bytes = bytes;
            return true;
        }
        let others = self.memory.reserved() - self.counted;
        let blocked = others > 0 && self.memory.is_constrained();
        let large = others > 0 && counted > SMALL_RESERVATION;
        let fraction = match large {
            true => self.fraction * LARGE_FRACTION,
            false => self.fraction,
        };
        if blocked || more > self.memory.reservable(fraction) {
            return false;
        }
        self.memory.0.reserved.fetch_add(more, Ordering::Relaxed);
        self.bytes = bytes;
        self.counted = counted;
        true
    }

    /// Changes the reservation to `bytes`. Returns `false` and changes nothing if there is not enough
    /// memory.
    pub fn resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            return self.grow(bytes);
        }
        let counted = bytes.saturating_sub(self.included);
        let reserved = &self.memory.0.reserved;
        reserved.fetch_sub(self.counted - counted, Ordering::Relaxed);
        self.bytes = bytes;
        self.counted = counted;
        true
    }

    /// Returns whether anything is reserved beyond what a connection takes.
    pub fn is_counted(&self) -> bool {
        self.counted > 0
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let reserved = &self.memory.0.reserved;
        reserved.fetch_sub(self.counted, Ordering::Relaxed);
    }
}

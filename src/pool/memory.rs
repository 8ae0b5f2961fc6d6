//! The memory that a process takes, and what it may take.

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

/// The part of the limit beyond which a process that measures itself is short of memory. The rest
/// is for what has arrived and lies unread.
const SHORT_PART: f64 = 0.9;

/// The memory that a process takes, and what it may take.
///
/// ```
/// use redwingyard::pool::Memory;
/// let memory = Memory::new(Some(88 << 20));
/// assert_eq!(memory.measure(60 << 20), None);
/// assert_eq!(memory.measure(80 << 20), Some(true));
/// assert_eq!(memory.measure(81 << 20), None);
/// assert_eq!(memory.measure(60 << 20), Some(false));
/// ```
#[derive(Clone, Debug)]
pub struct Memory(Arc<State>);

#[derive(Debug)]
struct State {
    /// The memory that the process may take, in bytes.
    limit: usize,
    connections: AtomicUsize,
    /// What the process was last seen to take, in bytes.
    resident: AtomicUsize,
}

impl Memory {
    /// Creates the account of a process that may take so many bytes.
    pub fn new(limit: Option<usize>) -> Self {
        Self(Arc::new(State {
            limit: limit.unwrap_or(usize::MAX),
            connections: AtomicUsize::new(0),
            resident: AtomicUsize::new(0),
        }))
    }

    /// Returns the connections for which there is memory while nothing else is held.
    pub fn most_connections(&self) -> usize {
        self.0.limit.saturating_sub(OWN_MEMORY) / CONNECTION_MEMORY
    }

    /// Counts a connection that is taken.
    pub fn open(&self) {
        self.0.connections.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a connection that has closed.
    pub fn close(&self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the connections that are open.
    pub fn connections(&self) -> usize {
        self.0.connections.load(Ordering::Relaxed)
    }

    /// Notes what the process takes, as the system counts it.
    ///
    /// Returns whether it is short of memory where that changes.
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
}

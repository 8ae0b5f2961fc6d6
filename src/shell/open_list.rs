//! A list of entries of which some end without being removed.

/// The smallest number of entries at which the list is searched for ended ones.
const MIN_LIMIT: usize = 64;

/// A list from which ended entries are removed as it grows. Adding an entry takes constant time on
/// average, so a process that is flooded with connections does not walk all of them for each.
#[derive(Debug)]
pub(super) struct OpenList<T> {
    entries: Vec<T>,
    /// The number of entries at which ended ones are removed next.
    limit: usize,
}

impl<T> Default for OpenList<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            limit: MIN_LIMIT,
        }
    }
}

impl<T> OpenList<T> {
    /// Adds an entry; `is_open` tells whether another one has not ended.
    pub(super) fn push(&mut self, entry: T, is_open: impl FnMut(&T) -> bool) {
        if self.entries.len() >= self.limit {
            self.entries.retain(is_open);
            self.limit = MIN_LIMIT.max(2 * self.entries.len());
        }
        self.entries.push(entry);
    }

    /// Returns all entries, ended ones included.
    pub(super) fn iter(&self) -> impl Iterator<Item = &T> {
        self.entries.iter()
    }

    /// Takes out all entries, ended ones included.
    pub(super) fn take(&mut self) -> Vec<T> {
        std::mem::take(&mut self.entries)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The number of entries that stay open, and of all that are added.
    const OPEN: u32 = 5_000;
    const ADDED: u32 = 20_000;

    /// Guards against a walk over all open connections for each new one.
    #[test]
    fn adding_an_entry_checks_few_others() {
        let mut list = OpenList::default();
        let mut checks = 0;
        for i in 0..ADDED {
            list.push(i, |entry| {
                checks += 1;
                *entry < OPEN
            });
        }
        assert!(checks <= 4 * ADDED, "{checks} checks");
        assert!(list.iter().count() <= 2 * OPEN as usize + 1);
        assert!((0..OPEN).eq(list.take().into_iter().take(OPEN as usize)));
    }
}

//! An allocator that counts the bytes in use.

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    sync::atomic::{
        AtomicIsize,
        Ordering, //
    }, //
};

static IN_USE: AtomicIsize = AtomicIsize::new(0);

struct Counting;

// SAFETY: Every call is passed on unchanged to the system's allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        IN_USE.fetch_add(layout.size() as isize, Ordering::Relaxed);
        // SAFETY: The caller keeps the contract of `GlobalAlloc::alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        IN_USE.fetch_sub(layout.size() as isize, Ordering::Relaxed);
        // SAFETY: The caller keeps the contract of `GlobalAlloc::dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Returns what `make` returns and the bytes that it keeps in use.
pub(super) fn held<T>(make: impl FnOnce() -> T) -> (T, f64) {
    let before = IN_USE.load(Ordering::Relaxed);
    let kept = make();
    let after = IN_USE.load(Ordering::Relaxed);
    (kept, (after - before) as f64)
}

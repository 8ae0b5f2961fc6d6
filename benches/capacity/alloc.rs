//! A global allocator that counts the allocated bytes.

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

/// The bytes that are allocated at present.
static ALLOCATED: AtomicIsize = AtomicIsize::new(0);

/// Passes calls to the system's allocator and counts the bytes.
struct CountingAllocator;

// SAFETY: Each call is passed unchanged to the system's allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size() as isize, Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `GlobalAlloc::alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size() as isize, Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `GlobalAlloc::dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Returns the value that `build` returns and the bytes that `build` allocated and did not free.
pub(super) fn allocated_bytes<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let before = ALLOCATED.load(Ordering::Relaxed);
    let value = build();
    let after = ALLOCATED.load(Ordering::Relaxed);
    (value, (after - before) as f64)
}

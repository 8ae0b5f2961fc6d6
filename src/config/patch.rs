//! Line-based patches of a rules text, which are sent instead of the whole text of a new
//! generation.

use similar::{
    Algorithm,
    DiffOp,
    capture_diff_slices, //
};

use crate::wire::{
    Edit,
    Patch,
    RulesVersion, //
};

/// Returns the lines of a text, each with its line ending.
fn lines(text: &str) -> Vec<&str> {
    text.split_inclusive('\n').collect()
}

/// Returns the patch that turns `old`, which is in force as version `base`, into `new`.
///
/// ```
/// use redwingyard::{config::{apply, patch}, wire::RulesVersion};
/// let (old, new) = ("a\nb\nc\n", "a\nx\nc\nd\n");
/// let patch = patch(old, new, RulesVersion::default());
/// assert_eq!(patch.edits.len(), 2);
/// assert_eq!(apply(old, &patch).as_deref(), Some(new));
/// ```
pub fn patch(old: &str, new: &str, base: RulesVersion) -> Patch {
    let (old, new) = (lines(old), lines(new));
    let ops = capture_diff_slices(Algorithm::Myers, &old, &new);
    let mut edits = Vec::new();
    let (mut line, mut at) = (0, 0);
    // The positions in insertions are not reliable, so they are computed from the lengths of
    // the operations, which are in order.
    for op in ops {
        let (removed, inserted) = (op.old_range().len(), op.new_range().len());
        if !matches!(op, DiffOp::Equal { .. }) {
            edits.push(Edit {
                line: line as u32,
                removed: removed as u32,
                inserted: new[at..at + inserted].concat(),
            });
        }
        line += removed;
        at += inserted;
    }
    Patch { base, edits }
}

/// Returns the result of applying a patch to `old`, or `None` where the patch refers to lines
/// that `old` does not have.
pub fn apply(old: &str, patch: &Patch) -> Option<String> {
    let lines = lines(old);
    let mut text = String::with_capacity(old.len());
    let mut at = 0;
    for edit in &patch.edits {
        let from = edit.line as usize;
        let to = from.checked_add(edit.removed as usize)?;
        text.extend(lines.get(at..from)?.iter().copied());
        text.push_str(&edit.inserted);
        lines.get(from..to)?;
        at = to;
    }
    text.extend(lines.get(at..)?.iter().copied());
    Some(text)
}

//! Changes of a rules text, so that a new generation need not travel whole.

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

/// Returns the lines of a text, each with its end.
fn lines(text: &str) -> Vec<&str> {
    text.split_inclusive('\n').collect()
}

/// Returns what turns `old`, which is in force as `base`, into `new`.
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
    // The positions that insertions carry are not reliable; the lengths in order are.
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

/// Returns the text that a patch makes of `old`; none where its lines do not fit.
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

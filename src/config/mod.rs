//! The rules in force at a process, and their propagation between processes.

mod patch;

pub use patch::{
    apply,
    patch, //
};

use std::rc::Rc;

use derive_more::{
    Display,
    Error, //
};

use crate::{
    ids::Generation,
    rules::{
        self,
        Rules, //
    },
    wire::{
        Patch,
        RulesVersion, //
    }, //
};

/// The reason why a rules text was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The text is not a valid rules file.
    #[display("{_0}")]
    Invalid(rules::Errors),
    /// The text is older than the rules in force.
    #[display("generation {offered} is older than generation {current}, which is in force")]
    Older {
        /// The generation of the text.
        offered: Generation,
        /// The generation in force.
        current: Generation,
    },
    /// Another text of the same generation is in force.
    #[display("generation {_0} is in force with another text")]
    Conflict(#[error(not(source))] Generation),
}

/// What to do after a comparison with the version that a peer has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncAction {
    /// Nothing: both have the same rules.
    Same,
    /// Fetch the rules of the peer, which are newer.
    Fetch,
    /// Wait for the peer, which has older rules, to fetch the newer ones.
    Wait,
    /// Report a conflict: the generations are the same, but the texts differ.
    Conflict,
}

/// The rules in force at one process. They are never replaced by an older generation while the
/// process runs.
#[derive(Clone, Debug, Default)]
pub struct Store {
    text: Rc<str>,
    rules: Rc<Rules>,
}

impl Store {
    /// Returns the rules in force.
    pub fn rules(&self) -> &Rc<Rules> {
        &self.rules
    }

    /// Returns the text in force.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the version in force. Generation zero means that there are no rules yet.
    pub fn version(&self) -> RulesVersion {
        RulesVersion {
            generation: self.rules.generation(),
            digest: self.rules.digest(),
        }
    }

    /// Puts a rules text into force and returns whether this changed the rules.
    ///
    /// ```
    /// use redwingyard::config::Store;
    /// let mut store = Store::default();
    /// assert!(store.install("generation 2 # kim\n")?);
    /// assert!(!store.install("generation 2 # kim\n")?);
    /// assert!(store.install("generation 1 # kim\n").is_err());
    /// # Ok::<(), redwingyard::config::Error>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Fails where the text is invalid, older than the one in force, or another text of the same
    /// generation. The rules in force then stay in force.
    pub fn install(&mut self, text: &str) -> Result<bool, Error> {
        let rules = rules::from_str(text).map_err(Error::Invalid)?;
        let current = self.version();
        if rules.generation() < current.generation {
            return Err(Error::Older {
                offered: rules.generation(),
                current: current.generation,
            });
        }
        if rules.generation() == current.generation {
            return match rules.digest() == current.digest {
                true => Ok(false),
                false => Err(Error::Conflict(current.generation)),
            };
        }
        self.text = text.into();
        self.rules = Rc::new(rules);
        Ok(true)
    }

    /// Applies a patch to the text in force and puts the result into force.
    ///
    /// Returns `None` where the patch does not apply to the text in force. The caller then needs
    /// the whole text.
    ///
    /// # Errors
    ///
    /// Fails as [`Store::install`] does.
    pub fn install_patch(&mut self, patch: &Patch) -> Option<Result<bool, Error>> {
        if patch.base != self.version() {
            return None;
        }
        let text = apply(&self.text, patch)?;
        Some(self.install(&text))
    }

    /// Compares the version in force with that of a peer.
    ///
    /// ```
    /// use redwingyard::{config::{SyncAction, Store}, wire::RulesVersion};
    /// let store = Store::default();
    /// assert_eq!(store.compare(RulesVersion { generation: 3, digest: 9 }), SyncAction::Fetch);
    /// ```
    pub fn compare(&self, peer: RulesVersion) -> SyncAction {
        let current = self.version();
        if peer == current {
            return SyncAction::Same;
        }
        match peer.generation.cmp(&current.generation) {
            std::cmp::Ordering::Greater => SyncAction::Fetch,
            std::cmp::Ordering::Less => SyncAction::Wait,
            std::cmp::Ordering::Equal => SyncAction::Conflict,
        }
    }
}

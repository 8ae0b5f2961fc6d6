//! The rules in force and how they spread between processes.

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

/// Why a text does not come into force.
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

/// What follows from the version that a peer has in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncAction {
    /// Both have the same rules.
    Same,
    /// The peer has newer rules; ask for them.
    Fetch,
    /// The peer has older rules; it will ask.
    Wait,
    /// Both have the same generation with other texts.
    Conflict,
}

/// The rules in force at one process; they never revert while it lives.
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

    /// Returns the version in force; generation zero means none.
    pub fn version(&self) -> RulesVersion {
        RulesVersion {
            generation: self.rules.generation(),
            digest: self.rules.digest(),
        }
    }

    /// Brings a text into force and returns whether it changed the rules.
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
    /// Fails where the text is invalid, older than what is in force, or another text of
    /// the same generation. What was in force stays in force.
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

    /// Brings the text that a patch makes of the text in force into force.
    ///
    /// Returns `None` where the patch is of another text; the whole text is needed then.
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

    /// Compares with the version that a peer has in force.
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

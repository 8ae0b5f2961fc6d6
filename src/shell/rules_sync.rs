//! The rules in force at a process: they are installed from the configuration service or from
//! peers, and announced to peers.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc, //
};

use super::Clock;
use crate::{
    config::{
        self,
        Store, //
        SyncAction,
    },
    ids::Time,
    rules::Rules,
    wire::{
        Message,
        Patch,
        RulesVersion, //
    }, //
};

/// Rules that have just come into force.
pub(super) struct Adopted {
    pub(super) rules: Rc<Rules>,
    pub(super) version: RulesVersion,
    /// The changes, for peers that had the same rules before. `None` if this process had no rules
    /// before; peers that have older rules then fetch the whole text.
    pub(super) patch: Option<Rc<Patch>>,
}

impl Adopted {
    /// Returns the message that announces the rules to peers.
    pub(super) fn announcement(&self) -> Message {
        match &self.patch {
            Some(patch) => Message::Patch(patch.clone()),
            None => Message::Heartbeat(self.version),
        }
    }
}

/// What the caller does after a peer's message was handled.
pub(super) enum RulesOutcome {
    /// The message is not about rules. The caller handles it.
    Unrelated(Message),
    /// Send this message to the peer.
    Reply(Message),
    /// New rules have come into force. Apply and announce them.
    Adopted(Adopted),
    /// Nothing more.
    Done,
}

/// The rules in force, kept in step with those of the peers: the process fetches newer rules and
/// serves its own.
#[derive(Debug, Default)]
pub(super) struct RulesSync {
    store: RefCell<Store>,
    /// When the rules came into force, or zero while there are none.
    adopted_at: Cell<Time>,
}

impl RulesSync {
    /// Returns the rules in force.
    pub(super) fn rules(&self) -> Rc<Rules> {
        self.store.borrow().rules().clone()
    }

    /// Returns the version in force.
    pub(super) fn version(&self) -> RulesVersion {
        self.store.borrow().version()
    }

    pub(super) fn adopted_at(&self) -> Time {
        self.adopted_at.get()
    }

    /// Puts a rules text into force and returns the rules if they are new. A text that is invalid,
    /// older or in conflict is only logged, with its `source`.
    pub(super) fn install(&self, clock: &Clock, text: &str, source: &str) -> Option<Adopted> {
        let old = self.store.borrow().clone();
        let result = self.store.borrow_mut().install(text);
        self.adopt(clock, &old, result, source)
    }

    /// Handles a peer's message about rules.
    pub(super) fn handle(&self, clock: &Clock, message: Message) -> RulesOutcome {
        match message {
            Message::Heartbeat(version) => self.compare(version),
            Message::FetchRules => {
                let text = self.store.borrow().text().to_owned();
                RulesOutcome::Reply(Message::Rules(text))
            }
            Message::Rules(text) => outcome(self.install(clock, &text, "peer")),
            Message::Patch(patch) => {
                let old = self.store.borrow().clone();
                let result = self.store.borrow_mut().install_patch(&patch);
                match result {
                    Some(result) => outcome(self.adopt(clock, &old, result, "patch")),
                    None => RulesOutcome::Reply(Message::FetchRules),
                }
            }
            other => RulesOutcome::Unrelated(other),
        }
    }

    /// Compares a peer's version with the one in force. Fetches newer rules, and logs a conflict.
    fn compare(&self, version: RulesVersion) -> RulesOutcome {
        match self.store.borrow().compare(version) {
            SyncAction::Fetch => RulesOutcome::Reply(Message::FetchRules),
            SyncAction::Conflict => {
                log::error!("event=rules-conflict {}", format_version(version));
                RulesOutcome::Done
            }
            SyncAction::Same | SyncAction::Wait => RulesOutcome::Done,
        }
    }

    /// Evaluates the result of an installation, for which `old` is the state before it.
    fn adopt(
        &self,
        clock: &Clock,
        old: &Store,
        result: Result<bool, config::Error>,
        source: &str,
    ) -> Option<Adopted> {
        match result {
            Ok(false) => None,
            Ok(true) => {
                let store = self.store.borrow();
                let version = store.version();
                self.adopted_at.set(clock.now());
                log::info!("event=rules {} source={source}", format_version(version));
                let had_rules = old.version().generation > 0;
                let patch = || config::patch(old.text(), store.text(), old.version());
                Some(Adopted {
                    rules: store.rules().clone(),
                    version,
                    patch: had_rules.then(|| Rc::new(patch())),
                })
            }
            Err(err) => {
                log_rejection(&err, source);
                None
            }
        }
    }
}

fn outcome(adopted: Option<Adopted>) -> RulesOutcome {
    adopted.map_or(RulesOutcome::Done, RulesOutcome::Adopted)
}

/// Formats a version for the log.
fn format_version(version: RulesVersion) -> String {
    format!(
        "generation={} digest={:016x}",
        version.generation, version.digest
    )
}

/// Logs why a rules text was rejected.
fn log_rejection(err: &config::Error, source: &str) {
    if let config::Error::Older { .. } = err {
        log::info!("event=rules-older source={source} error=\"{err}\"");
        return;
    }
    for line in err.to_string().lines() {
        log::error!("event=rules-refused source={source} error=\"{line}\"");
    }
}

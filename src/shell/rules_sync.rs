//! The rules of a process: how they come into force and spread to its peers.

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
    /// What changed, for peers that had the same rules before; none at a process that
    /// had no rules, whose peers ask for the text if they are behind.
    pub(super) patch: Option<Rc<Patch>>,
}

impl Adopted {
    /// Returns what to tell peers.
    pub(super) fn announcement(&self) -> Message {
        match &self.patch {
            Some(patch) => Message::Patch(patch.clone()),
            None => Message::Heartbeat(self.version),
        }
    }
}

/// What follows from a peer's message.
pub(super) enum RulesOutcome {
    /// It is not about rules.
    Unrelated(Message),
    /// Send an answer to the peer.
    Reply(Message),
    /// Other rules are in force.
    Adopted(Adopted),
    /// Nothing.
    Done,
}

/// Holds the rules in force and speaks with peers about them.
#[derive(Debug, Default)]
pub(super) struct RulesSync {
    store: RefCell<Store>,
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

    /// Returns when the rules came into force.
    pub(super) fn adopted_at(&self) -> Time {
        self.adopted_at.get()
    }

    /// Offers a text and returns what came into force.
    pub(super) fn install(&self, clock: &Clock, text: &str, source: &str) -> Option<Adopted> {
        let old = self.store.borrow().clone();
        let result = self.store.borrow_mut().install(text);
        self.adopt(clock, &old, result, source)
    }

    /// Handles a peer's message.
    pub(super) fn handle(&self, clock: &Clock, message: Message) -> RulesOutcome {
        match message {
            Message::Heartbeat(version) => self.compare(version),
            Message::FetchRules => {
                let text = self.store.borrow().text().to_owned();
                RulesOutcome::Reply(Message::Rules(text))
            }
            Message::Rules(text) => done(self.install(clock, &text, "peer")),
            Message::Patch(patch) => {
                let old = self.store.borrow().clone();
                let result = self.store.borrow_mut().install_patch(&patch);
                match result {
                    Some(result) => done(self.adopt(clock, &old, result, "patch")),
                    None => RulesOutcome::Reply(Message::FetchRules),
                }
            }
            other => RulesOutcome::Unrelated(other),
        }
    }

    fn compare(&self, version: RulesVersion) -> RulesOutcome {
        match self.store.borrow().compare(version) {
            SyncAction::Fetch => RulesOutcome::Reply(Message::FetchRules),
            SyncAction::Conflict => {
                log::error!("event=rules-conflict {}", fields(version));
                RulesOutcome::Done
            }
            SyncAction::Same | SyncAction::Wait => RulesOutcome::Done,
        }
    }

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
                log::info!("event=rules {} source={source}", fields(version));
                let known = old.version().generation > 0;
                let patch = || config::patch(old.text(), store.text(), old.version());
                Some(Adopted {
                    rules: store.rules().clone(),
                    version,
                    patch: known.then(|| Rc::new(patch())),
                })
            }
            Err(err) => {
                log_refusal(&err, source);
                None
            }
        }
    }
}

fn done(adopted: Option<Adopted>) -> RulesOutcome {
    adopted.map_or(RulesOutcome::Done, RulesOutcome::Adopted)
}

fn fields(version: RulesVersion) -> String {
    format!(
        "generation={} digest={:016x}",
        version.generation, version.digest
    )
}

/// Logs a rules text that does not come into force.
fn log_refusal(err: &config::Error, source: &str) {
    if let config::Error::Older { .. } = err {
        log::info!("event=rules-older source={source} error=\"{err}\"");
        return;
    }
    for line in err.to_string().lines() {
        log::error!("event=rules-refused source={source} error=\"{line}\"");
    }
}

//! What routers tell each other about their targets and accounts.

use super::{
    Load,
    Pool,
    Standing,
    core::Lane,
    member::Member, //
};
use crate::ids::{
    Router,
    Service,
    Time, //
};

impl Pool {
    /// Takes in what another router has at the targets and has given to accounts.
    pub fn peer(&mut self, now: Time, router: Router, loads: &[Load], standings: &[Standing]) {
        self.routers.insert(router, now);
        let routers = self.routers.len() + 1;
        for member in self.members.values_mut() {
            member.peers.remove(&router);
            member.share_memory(routers);
        }
        for load in loads {
            if let Some(member) = self.members.get_mut(&load.target) {
                member.peers.insert(router, (*load, now));
            }
        }
        for standing in standings {
            let ledger = &mut self.lane(standing.service).ledger;
            ledger.merge(now, router, standing);
        }
    }

    /// Returns what this router has at the targets.
    pub fn loads(&self) -> Vec<Load> {
        let busy = |member: &&Member| member.own.running > 0;
        let members = self.members.values().filter(busy);
        members.map(|member| member.own).collect()
    }

    /// Returns what this router has given to accounts lately, and what they asked for.
    pub fn standings(&self, now: Time) -> Vec<Standing> {
        let standing = |(service, lane): (&Service, &Lane)| Standing {
            service: *service,
            given: lane.ledger.given(now),
            asked: lane.ledger.asked(now),
            refused: lane.ledger.refused(now),
        };
        self.lanes.iter().map(standing).collect()
    }
}

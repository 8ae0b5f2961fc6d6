//! Spare capacity: how many engines of a service have room for any account's request.
//!
//! Answers the load in which some accounts send far more than their share, and others are refused
//! somewhere for want of anything but engines. An account may then be held to its share, or throttled,
//! only while that serves others: engines that are mostly idle take requests of every account, and the
//! rest of each of them stays for accounts that have received less.

use std::time::Duration;

use super::{
    Member,
    Pool,
    ServiceState, //
};
use crate::ids::{
    Service,
    Target,
    Time, //
};

/// The fraction of an engine's limit up to which it takes requests of any account.
const SHARED_FRACTION: f64 = 0.4;

/// The prompt tokens that an engine may have to read and still take requests of any account: one
/// prefill chunk of current engines.
const SHARED_BACKLOG: u64 = 4_096;

/// The fraction of the engines with room for any account from which on none is held or refused for an
/// expected wait. Placement looks at several engines, so one of them then almost certainly has room.
const SPARE_FRACTION: f64 = 0.25;

/// The most engines whose load is looked at for one estimate.
const MAX_SAMPLED: usize = 64;

/// The time for which an estimate is used: that of a comparison of accounts.
const SPARE_TTL: Duration = Duration::from_millis(20);

/// Returns whether an engine has room for a request of any account.
pub(super) fn has_shared_room(member: &Member) -> bool {
    let load = member.load();
    let limit = f64::from(member.concurrency.limit()) * SHARED_FRACTION;
    f64::from(load.running) < limit && load.unread_tokens < SHARED_BACKLOG
}

impl Pool {
    /// Returns whether targets of any service state how fast they work.
    pub fn states_speed(&self) -> bool {
        self.services.values().any(|state| state.stated)
    }

    /// Returns whether a service has engines to spare, as found within [`SPARE_TTL`].
    pub(super) fn spare(&mut self, now: Time, service: Service) -> bool {
        let Some(state) = self.services.get(&service) else {
            return false;
        };
        if let Some((at, spare)) = state.spare
            && now < at + SPARE_TTL
        {
            return spare;
        }
        let spare = state.stated && self.has_spare(now, state);
        self.service_mut(service).spare = Some((now, spare));
        spare
    }

    /// Returns whether a service has engines to spare.
    fn has_spare(&self, now: Time, state: &ServiceState) -> bool {
        let listed = &state.members;
        let step = listed.len().div_ceil(MAX_SAMPLED).max(1);
        let start = (now.as_millis() as usize) % step;
        let sampled = listed.iter().skip(start).step_by(step);
        let member = |target: &Target| self.members.get(target);
        let usable = sampled.filter_map(member).filter(|member| {
            member.spec.kv_capacity > 0
                && !member.health.is_backing_off(now)
                && member.health.cooldown_left(now).is_zero()
        });
        let (mut all, mut open) = (0, 0);
        for member in usable {
            all += 1;
            open += usize::from(has_shared_room(member));
        }
        all > 0 && open as f64 >= all as f64 * SPARE_FRACTION
    }
}
